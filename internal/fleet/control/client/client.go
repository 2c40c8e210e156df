// Package client is the operators' side of the fleet: connections to agents, concurrent calls to
// many of them, and the run of an operation on them. It holds the leases of the operations that it
// runs and reports what the agents' records say.
//
// It does not decide what an operation does next: that is package rollout, for stages package
// stage, and for the verdict on a stage package canary.
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

// UnreachableError reports an agent that did not answer. The call may have been carried out; every
// method may be called again.
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
	return "look whether the host's agent runs and whether its address in the inventory is right"
}

// Agent is the client of one host's agent. It connects at the first call, and again when its
// connection has ended.
type Agent struct {
	Host     inventory.Host
	fleet    *Fleet
	mu       sync.Mutex
	conn     *msgpackrpc.Client
	dialSlot chan struct{} // holds one value while somebody connects

	seenMu sync.Mutex
	seen   time.Time
}

// Seen returns when the agent last answered; zero is never.
func (a *Agent) Seen() time.Time {
	a.seenMu.Lock()
	defer a.seenMu.Unlock()
	return a.seen
}

// Call calls a method of the agent. An error is an *api.Error, which the agent returned, or an
// *UnreachableError. A connection that turns out to be dead is replaced once.
func (a *Agent) Call(ctx context.Context, method string, in, out any) error {
	return a.CallFor(ctx, a.fleet.Timeout, method, in, out)
}

// CallFor is Call with a timeout of its own.
func (a *Agent) CallFor(ctx context.Context, limit time.Duration, method string, in, out any) error {
	ctx, cancel := context.WithTimeout(ctx, limit)
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

// callError returns the error of a call that got no answer.
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

// dropConnection closes a connection and forgets it, unless it has been replaced.
func (a *Agent) dropConnection(conn *msgpackrpc.Client) {
	a.mu.Lock()
	if a.conn == conn {
		a.conn = nil
	}
	a.mu.Unlock()
	conn.Close()
}

// maxMessage bounds a message of an agent, in bytes.
const maxMessage = 4 << 20

// connect returns the open connection or a new one. fresh says that it is new.
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
	conn, err = connect.Dial(ctx, target, a.fleet.Who, msgpackrpc.Limits{Message: maxMessage, Send: a.fleet.Timeout})
	if err != nil {
		return nil, false, err
	}
	a.mu.Lock()
	a.conn = conn
	a.mu.Unlock()
	return conn, true, nil
}
