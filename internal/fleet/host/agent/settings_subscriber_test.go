package agent

import (
	"context"
	"errors"
	"sync"
	"testing"
	"time"

	"martendrum/internal/fleet/api"
	"martendrum/internal/fleet/distribution"
	"martendrum/internal/fleet/distribution/node"
)

// hostCopy is a replica whose state a test sets.
type hostCopy struct {
	mu    sync.Mutex
	state distribution.HostState
}

func (c *hostCopy) Take(distribution.Update) error { return nil }

func (c *hostCopy) State() distribution.HostState {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.state
}

func (c *hostCopy) settle() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.state.Settled = true
}

// relayConn is a connection to a simulated relay: calls wait until the test answers.
type relayConn struct {
	calls  chan relayCall
	closed chan struct{}
	once   sync.Once
}

// relayCall is a call in flight; a value sent to answer ends it.
type relayCall struct {
	method string
	in     any
	answer chan error
}

var errClosed = errors.New("closed")

func newRelayConn() *relayConn {
	return &relayConn{calls: make(chan relayCall), closed: make(chan struct{})}
}

func (c *relayConn) Call(ctx context.Context, method string, in, _ any) error {
	call := relayCall{method: method, in: in, answer: make(chan error, 1)}
	select {
	case c.calls <- call:
	case <-ctx.Done():
		return ctx.Err()
	case <-c.closed:
		return errClosed
	}
	select {
	case err := <-call.answer:
		return err
	case <-ctx.Done():
		return ctx.Err()
	case <-c.closed:
		return errClosed
	}
}

func (c *relayConn) Close() error {
	c.once.Do(func() { close(c.closed) })
	return nil
}

// next returns the next call of a method; those of other methods are answered.
func (c *relayConn) next(t *testing.T, method string) relayCall {
	t.Helper()
	timeout := time.After(10 * time.Second)
	for {
		select {
		case call := <-c.calls:
			if call.method == method {
				return call
			}
			call.answer <- nil
		case <-timeout:
			t.Fatalf("no call of %s", method)
		}
	}
}

// subscribe runs a subscriber of one relay whose connections are conns, in turn.
func subscribe(t *testing.T, held *hostCopy, conns ...*relayConn) *node.Subscriber {
	t.Helper()
	dialled := make(chan *relayConn, len(conns))
	for _, conn := range conns {
		dialled <- conn
	}
	subscriber := node.NewSubscriber(node.SubscriberConfig{
		Interest: distribution.Interest{Host: "host"}, Relays: []distribution.Relay{{Name: "relay"}},
		Limits: distribution.DefaultLimits(), Replica: held,
		Dial: func(ctx context.Context, _ distribution.Relay) (node.Conn, error) {
			select {
			case conn := <-dialled:
				return conn, nil
			case <-ctx.Done():
				return nil, ctx.Err()
			}
		},
	})
	ctx, cancel := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	wg.Go(func() { subscriber.Run(ctx) })
	t.Cleanup(func() {
		cancel()
		wg.Wait()
	})
	return subscriber
}

// settledAck waits for an acknowledgement of a settled host.
func settledAck(t *testing.T, conn *relayConn) {
	t.Helper()
	for {
		call := conn.next(t, api.SettingsAck)
		call.answer <- nil
		if call.in.(*api.SettingsAckIn).State.Settled {
			return
		}
	}
}

// A state that changes during the first call of a connection is acknowledged once the relay has
// answered: that call carried the earlier state.
func TestChangeDuringFirstWatchIsAcknowledged(t *testing.T) {
	held, conn := &hostCopy{}, newRelayConn()
	subscriber := subscribe(t, held, conn)
	first := conn.next(t, api.SettingsWatch)
	if state := first.in.(*api.SettingsWatchIn).State; state == nil || state.Settled {
		t.Fatalf("the connection begins with the state %+v", state)
	}
	held.settle()
	subscriber.Changed()
	first.answer <- nil
	settledAck(t, conn)
}

// A state that changes while an acknowledgement is lost with its connection is acknowledged on the
// next connection.
func TestChangeDuringLostAckIsAcknowledged(t *testing.T) {
	held, lost, next := &hostCopy{}, newRelayConn(), newRelayConn()
	subscriber := subscribe(t, held, lost, next)
	lost.next(t, api.SettingsWatch).answer <- nil
	subscriber.Changed()
	ack := lost.next(t, api.SettingsAck)
	lost.Close() // ends the call; the subscriber dials again
	first := next.next(t, api.SettingsWatch)
	held.settle()
	subscriber.Changed()
	ack.answer <- nil
	first.answer <- nil
	settledAck(t, next)
}
