// Package client is the operators' side of the fleet: connections to agents, calls
// to many at once, and the run of an operation over them. What an operation does
// next is decided in package rollout.
package client

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"martendrum/internal/fleet/api"
	"martendrum/internal/fleet/connect"
	"martendrum/internal/fleet/control/inventory"
	"martendrum/internal/msgpackrpc"
)

// UnreachableError is an agent without an answer. What was asked of it may have
// been done; every method may be asked again.
type UnreachableError struct {
	Host string
	Err  error
}

func (e *UnreachableError) Error() string {
	return fmt.Sprintf("host %s: no answer: %v", e.Host, e.Err)
}

func (e *UnreachableError) Unwrap() error { return e.Err }

// Agent is a host's agent as seen from here. It connects when it is asked
// something, and anew when a connection has ended.
type Agent struct {
	Host     inventory.Host
	fleet    *Fleet
	mu       sync.Mutex
	conn     *msgpackrpc.Client
	dialSlot chan struct{} // held while connecting

	seenMu sync.Mutex
	seen   time.Time
}

// Seen is when the agent last answered this command; zero for never.
func (a *Agent) Seen() time.Time {
	a.seenMu.Lock()
	defer a.seenMu.Unlock()
	return a.seen
}

// Call asks the agent. Errors are *api.Error where it said no, and
// *UnreachableError. A connection that turns out to be dead is replaced once.
func (a *Agent) Call(ctx context.Context, method string, in, out any) error {
	return a.CallFor(ctx, a.fleet.Timeout, method, in, out)
}

// CallFor is Call with a time of its own.
func (a *Agent) CallFor(ctx context.Context, limit time.Duration, method string, in, out any) error {
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	for again := true; ; again = false {
		conn, fresh, err := a.connect(ctx)
		if err != nil {
			return a.callError(err)
		}
		err = conn.Call(ctx, method, []any{in}, out)
		if err == nil {
			a.markSeen()
			return nil
		}
		if said, ok := errors.AsType[*msgpackrpc.RemoteError](err); ok {
			a.markSeen()
			if refusal, ok := errors.AsType[*api.Error](connect.RejectionReason(err)); ok {
				return refusal
			}
			return api.Errorf(api.Internal, "host %s: %v", a.Host.Name, said)
		}
		a.dropConnection(conn)
		if fresh || !again || ctx.Err() != nil {
			return a.callError(err)
		}
	}
}

func (a *Agent) callError(err error) error {
	if e, ok := errors.AsType[*api.Error](err); ok {
		return e
	}
	return &UnreachableError{Host: a.Host.Name, Err: err}
}

func (a *Agent) markSeen() {
	a.seenMu.Lock()
	defer a.seenMu.Unlock()
	a.seen = time.Now()
}

func (a *Agent) dropConnection(conn *msgpackrpc.Client) {
	a.mu.Lock()
	if a.conn == conn {
		a.conn = nil
	}
	a.mu.Unlock()
	conn.Close()
}

// connect returns the open connection or makes one; fresh if it was made now.
func (a *Agent) connect(ctx context.Context) (conn *msgpackrpc.Client, fresh bool, err error) {
	select {
	case a.dialSlot <- struct{}{}:
		defer func() { <-a.dialSlot }()
	case <-ctx.Done():
		return nil, false, ctx.Err()
	}
	a.mu.Lock()
	conn = a.conn
	a.mu.Unlock()
	if conn != nil && conn.Err() == nil {
		return conn, false, nil
	}
	target := connect.Target{Agent: a.Host.Name, Address: a.Host.Address, TLS: a.fleet.tls}
	conn, err = connect.Dial(ctx, target, a.fleet.Who, msgpackrpc.Limits{Message: 4 << 20, Send: a.fleet.Timeout})
	if err != nil {
		return nil, false, err
	}
	a.mu.Lock()
	a.conn = conn
	a.mu.Unlock()
	return conn, true, nil
}
