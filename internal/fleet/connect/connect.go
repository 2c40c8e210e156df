// Package connect opens connections to agents: it dials an address in the form of the
// inventory, makes the call api.Hello and checks which agent answers. It does not pool, retry
// or reopen connections.
package connect

import (
	"context"
	"crypto/tls"
	"errors"
	"fmt"
	"net"
	"strings"

	"github.com/vmihailenco/msgpack/v5"

	"martendrum/internal/fleet/api"
	"martendrum/internal/msgpackrpc"
)

// Target is an agent and how to reach it.
type Target struct {
	Agent   string      // name that the agent must answer with
	Address string      // unix:PATH, tls:HOST:PORT, or tcp:HOST:PORT without TLS
	TLS     *tls.Config // for tls: addresses
}

// Dial connects to an agent and makes the call api.Hello with the name of the caller. If the
// agent rejects the call, the error is an *api.Error. ctx bounds the dialing and the call, but
// not the lifetime of the connection. The caller of Dial must close the connection.
func Dial(ctx context.Context, target Target, caller string, limits msgpackrpc.Limits) (*msgpackrpc.Client, error) {
	netConn, err := dial(ctx, target)
	if err != nil {
		return nil, err
	}
	conn := msgpackrpc.NewClient(netConn, limits, nil)
	var hello api.HelloOut
	err = conn.Call(ctx, api.Hello, []any{&api.HelloIn{Oldest: api.Oldest, Version: api.Version, Client: caller}}, &hello)
	if err == nil && hello.Agent != target.Agent {
		err = fmt.Errorf("the agent at %s is %q: the inventory is wrong, or the address belongs to another agent", target.Address, hello.Agent)
	}
	if err != nil {
		conn.Close()
		return nil, RejectionReason(err)
	}
	return conn, nil
}

// dial opens the connection for the kind of the address. A kind other than tls and unix is
// dialed as TCP.
func dial(ctx context.Context, target Target) (net.Conn, error) {
	kind, rest, _ := strings.Cut(target.Address, ":")
	switch kind {
	case "tls":
		return (&tls.Dialer{Config: target.TLS}).DialContext(ctx, "tcp", rest)
	case "unix":
		return (&net.Dialer{}).DialContext(ctx, "unix", rest)
	}
	return (&net.Dialer{}).DialContext(ctx, "tcp", rest)
}

// RejectionReason returns the *api.Error with which an agent rejected a call, given the error
// of the call. It returns err itself if the agent did not answer with an *api.Error.
func RejectionReason(err error) error {
	remote, ok := errors.AsType[*msgpackrpc.RemoteError](err)
	if !ok {
		return err
	}
	rejection := &api.Error{}
	if msgpack.Unmarshal(remote.Value, rejection) != nil || rejection.Code == "" {
		return err
	}
	return rejection
}

// Caller is a connection for calls whose only parameter is a map, such as those of package
// api. The error of a rejected call is an *api.Error.
type Caller struct{ *msgpackrpc.Client }

// Call calls a method with the parameter in and stores the result in out, which may be nil.
func (c Caller) Call(ctx context.Context, method string, in, out any) error {
	return RejectionReason(c.Client.Call(ctx, method, []any{in}, out))
}
