// Package connect opens connections to agents: it dials an address of the inventory's form,
// sends the hello and checks which agent answers. It does not pool, retry or reopen
// connections.
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
	Agent   string      // its name
	Address string      // unix:PATH, tls:HOST:PORT, or tcp:HOST:PORT without TLS
	TLS     *tls.Config // for tls: addresses
}

// Dial connects to an agent and sends the hello for caller. If the agent rejects it, the
// error is an *api.Error. ctx bounds dialing and the hello, not the connection.
func Dial(ctx context.Context, target Target, caller string, limits msgpackrpc.Limits) (*msgpackrpc.Client, error) {
	nc, err := dial(ctx, target)
	if err != nil {
		return nil, err
	}
	conn := msgpackrpc.NewClient(nc, limits, nil)
	var hello api.HelloOut
	err = conn.Call(ctx, api.Hello, []any{&api.HelloIn{Oldest: api.Oldest, Version: api.Version, Client: caller}}, &hello)
	if err == nil && hello.Agent != target.Agent {
		err = fmt.Errorf("the agent at %s is %q: the inventory is wrong, or the address is another's", target.Address, hello.Agent)
	}
	if err != nil {
		conn.Close()
		return nil, RejectionReason(err)
	}
	return conn, nil
}

// dial opens the connection for the kind of the address; an unknown kind is dialed as TCP.
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

// RejectionReason returns the *api.Error that an agent answered with, or err itself if it
// answered with none.
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

// Caller makes calls whose only parameter is a map. The error of a rejected call is an
// *api.Error.
type Caller struct{ *msgpackrpc.Client }

// Call makes a call. out may be nil.
func (c Caller) Call(ctx context.Context, method string, in, out any) error {
	return RejectionReason(c.Client.Call(ctx, method, []any{in}, out))
}
