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

// fakeReplica is a host's replica whose state a test sets. It ignores updates.
type fakeReplica struct {
	mu    sync.Mutex
	state distribution.HostState
}

func (c *fakeReplica) Apply(distribution.Update) error { return nil }

func (c *fakeReplica) State() distribution.HostState {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.state
}

func (c *fakeReplica) settle() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.state.Settled = true
}

// relayConn is a connection to a simulated relay. A call waits until the test answers it.
type relayConn struct {
	calls  chan relayCall
	closed chan struct{}
	once   sync.Once
}

// relayCall is a call in flight. The value sent to answer is the call's result.
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

// nextCall returns the next call of a method, and answers the calls of other methods before it.
func (c *relayConn) nextCall(t *testing.T, method string) relayCall {
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
			t.Fatalf("no call of %s within 10 s", method)
		}
	}
}

// startSubscriber runs a subscriber of one relay until the end of the test. Each dial returns the
// next of conns.
func startSubscriber(t *testing.T, replica *fakeReplica, conns ...*relayConn) *node.Subscriber {
	t.Helper()
	undialled := make(chan *relayConn, len(conns))
	for _, conn := range conns {
		undialled <- conn
	}
	subscriber := node.NewSubscriber(node.SubscriberConfig{
		Interest: distribution.Interest{Host: "host"}, Relays: []distribution.Relay{{Name: "relay"}},
		Limits: distribution.DefaultLimits(), Replica: replica,
		Dial: func(ctx context.Context, _ distribution.Relay) (node.Conn, error) {
			select {
			case conn := <-undialled:
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

// waitForSettledAck waits until the host acknowledges that it is settled.
func waitForSettledAck(t *testing.T, conn *relayConn) {
	t.Helper()
	for {
		call := conn.nextCall(t, api.SettingsAck)
		call.answer <- nil
		if call.in.(*api.SettingsAckIn).State.Settled {
			return
		}
	}
}

// If the host's state changes during the first call of a connection, the new state is acknowledged
// once the relay has answered, because that call carried the earlier state.
func TestChangeDuringFirstWatchIsAcknowledged(t *testing.T) {
	replica, conn := &fakeReplica{}, newRelayConn()
	subscriber := startSubscriber(t, replica, conn)
	first := conn.nextCall(t, api.SettingsWatch)
	if state := first.in.(*api.SettingsWatchIn).State; state == nil || state.Settled {
		t.Fatalf("first call of the connection has the state %+v, want one that is not settled", state)
	}
	replica.settle()
	subscriber.StateChanged()
	first.answer <- nil
	waitForSettledAck(t, conn)
}

// If a connection is lost with an acknowledgement in flight, and the host's state changes during the
// first call of the next connection, the new state is acknowledged on the next connection.
func TestChangeDuringLostAckIsAcknowledged(t *testing.T) {
	replica, lost, next := &fakeReplica{}, newRelayConn(), newRelayConn()
	subscriber := startSubscriber(t, replica, lost, next)
	lost.nextCall(t, api.SettingsWatch).answer <- nil
	subscriber.StateChanged()
	ack := lost.nextCall(t, api.SettingsAck)
	lost.Close() // ends the call; the subscriber dials again
	first := next.nextCall(t, api.SettingsWatch)
	replica.settle()
	subscriber.StateChanged()
	ack.answer <- nil
	first.answer <- nil
	waitForSettledAck(t, next)
}
