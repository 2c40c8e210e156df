// Package client lets an operator's command control a fleet: it connects to agents, calls many of
// them concurrently, and runs operations on them. While it runs an operation it holds the
// operation's leases. Its reports are built from what the agents have recorded.
//
// It does not decide what an operation does next. Package rollout decides on the steps, package
// stage on the stages of a staged change, and package canary gives the verdict on a stage.
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

// UnreachableError reports an agent that did not answer. The call may have been carried out. All
// methods are idempotent, so the caller may repeat it.
type UnreachableError struct {
	Host string
	Err  error
}

// Error implements error.
func (e *UnreachableError) Error() string {
	return fmt.Sprintf("host %s: no answer: %v", e.Host, e.Err)
}

// Unwrap returns the cause.
func (e *UnreachableError) Unwrap() error { return e.Err }

// Advice says what an operator can do.
func (e *UnreachableError) Advice() string {
	return "check that the host's agent is running and that its address in the inventory is correct"
}

// Agent is the client of one host's agent. It connects on the first call and reconnects on the
// first call after its connection has ended. Its methods may be called concurrently.
type Agent struct {
	Host     inventory.Host
	fleet    *Fleet
	mu       sync.Mutex
	conn     *msgpackrpc.Client
	dialSlot chan struct{} // holds one value while a goroutine connects

	seenMu sync.Mutex
	seen   time.Time
}

// Seen returns when the agent last answered, or the zero time if it never has.
func (a *Agent) Seen() time.Time {
	a.seenMu.Lock()
	defer a.seenMu.Unlock()
	return a.seen
}

// Call calls a method of the agent with the timeout of the fleet. An error is an *api.Error if
// the agent answered with an error, otherwise an *UnreachableError. If an existing connection turns
// out to be dead, Call repeats the call once on a new connection.
func (a *Agent) Call(ctx context.Context, method string, in, out any) error {
	return a.CallFor(ctx, a.fleet.Timeout, method, in, out)
}

// CallFor is like Call, but with the given timeout in place of the fleet's.
func (a *Agent) CallFor(ctx context.Context, timeout time.Duration, method string, in, out any) error {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	for mayRetry := true; ; mayRetry = false {
		conn, fresh, err := a.connect(ctx)
		if err != nil {
			return a.callError(err)
		}
		err = conn.Call(ctx, method, []any{in}, out)
		if err == nil {
			a.markSeen()
			return nil
		}
		if remote, ok := errors.AsType[*msgpackrpc.RemoteError](err); ok {
			a.markSeen()
			if rejection, ok := errors.AsType[*api.Error](connect.RejectionReason(err)); ok {
				return rejection
			}
			return api.Errorf(api.Internal, "host %s: %v", a.Host.Name, remote)
		}
		a.dropConnection(conn)
		if fresh || !mayRetry || ctx.Err() != nil {
			return a.callError(err)
		}
	}
}

// callError returns the error for a call that could not be sent or got no answer: the agent's own
// *api.Error if it rejected the call api.Hello of a new connection, and otherwise an
// *UnreachableError.
func (a *Agent) callError(err error) error {
	if e, ok := errors.AsType[*api.Error](err); ok {
		return e
	}
	return &UnreachableError{Host: a.Host.Name, Err: err}
}

// markSeen records that the agent has answered.
func (a *Agent) markSeen() {
	a.seenMu.Lock()
	defer a.seenMu.Unlock()
	a.seen = time.Now()
}

// dropConnection closes a connection. If it is still the agent's current one, the next call opens a
// new one.
func (a *Agent) dropConnection(conn *msgpackrpc.Client) {
	a.mu.Lock()
	if a.conn == conn {
		a.conn = nil
	}
	a.mu.Unlock()
	conn.Close()
}

// maxMessageBytes bounds the size of a message from an agent.
const maxMessageBytes = 4 << 20

// connect returns the open connection, or opens a new one if there is none. fresh reports whether the
// connection is new.
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
	conn, err = connect.Dial(ctx, target, a.fleet.Who, msgpackrpc.Limits{Message: maxMessageBytes, Send: a.fleet.Timeout})
	if err != nil {
		return nil, false, err
	}
	a.mu.Lock()
	a.conn = conn
	a.mu.Unlock()
	return conn, true, nil
}
