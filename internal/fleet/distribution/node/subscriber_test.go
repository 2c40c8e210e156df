package node

import (
	"context"
	"sync"
	"testing"
	"time"

	"martendrum/internal/fleet/api"
	"martendrum/internal/fleet/distribution"
)

// scriptedConn is a connection whose polls and acknowledgements the test answers.
type scriptedConn struct {
	watches chan *api.SettingsWatchIn // each poll as it is made
	answers chan error                // responses to polls
	acks    chan *api.SettingsAckIn
	ackErr  chan error // responses to acknowledgements
	closed  chan struct{}
	once    sync.Once
}

func newScriptedConn() *scriptedConn {
	return &scriptedConn{watches: make(chan *api.SettingsWatchIn), answers: make(chan error),
		acks: make(chan *api.SettingsAckIn), ackErr: make(chan error), closed: make(chan struct{})}
}

func (c *scriptedConn) Call(ctx context.Context, method string, in, _ any) error {
	sent, answered := true, make(<-chan error)
	switch request := in.(type) {
	case *api.SettingsWatchIn:
		copied := *request
		select {
		case c.watches <- &copied:
			answered = c.answers
		case <-ctx.Done():
			sent = false
		}
	case *api.SettingsAckIn:
		select {
		case c.acks <- request:
			answered = c.ackErr
		case <-ctx.Done():
			sent = false
		}
	}
	if !sent {
		return ctx.Err()
	}
	select {
	case err := <-answered:
		return err
	case <-ctx.Done():
		return ctx.Err()
	}
}

func (c *scriptedConn) Close() error {
	c.once.Do(func() { close(c.closed) })
	return nil
}

// settlingReplica is a copy whose state the test sets.
type settlingReplica struct {
	mu    sync.Mutex
	state distribution.HostState
}

func (c *settlingReplica) Take(distribution.Update) error { return nil }

func (c *settlingReplica) State() distribution.HostState {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.state
}

func (c *settlingReplica) settle() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.state.Settled = true
}

// runSubscriber runs a subscriber of one relay over the given connections, in order.
func runSubscriber(t *testing.T, copied Replica, conns ...*scriptedConn) *Subscriber {
	t.Helper()
	dialed := make(chan *scriptedConn, len(conns))
	for _, conn := range conns {
		dialed <- conn
	}
	s := NewSubscriber(SubscriberConfig{
		Interest: distribution.Interest{Host: "host"}, Relays: []distribution.Relay{{Name: "relay"}},
		Limits: distribution.DefaultLimits(), Replica: copied,
		Dial: func(ctx context.Context, _ distribution.Relay) (Conn, error) {
			select {
			case conn := <-dialed:
				return conn, nil
			case <-ctx.Done():
				return nil, ctx.Err()
			}
		},
	})
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		s.Run(ctx)
	}()
	t.Cleanup(func() {
		cancel()
		<-ended
	})
	return s
}

// receive returns the next value, or fails the test after ten seconds.
func receive[T any](t *testing.T, what string, from <-chan T) T {
	t.Helper()
	select {
	case value := <-from:
		return value
	case <-time.After(10 * time.Second):
		t.Fatalf("%s did not come", what)
		panic("not reached")
	}
}

// A state that changes while the first call of a connection is open is acknowledged once the call
// has been answered, and that call does not wait for changes.
func TestChangeBeforeConnectionAnswersIsAcknowledged(t *testing.T) {
	copied, conn := &settlingReplica{}, newScriptedConn()
	s := runSubscriber(t, copied, conn)
	first := receive(t, "the first watch", conn.watches)
	if first.State == nil || first.State.Settled {
		t.Fatalf("the connection begins with the state %+v", first.State)
	}
	if first.Wait != 0 {
		t.Errorf("the first watch waits %v", first.Wait)
	}
	copied.settle()
	s.Changed()
	conn.answers <- nil
	if acked := receive(t, "the acknowledgement", conn.acks); !acked.State.Settled {
		t.Errorf("acknowledged %+v", acked.State)
	}
	conn.ackErr <- nil
	if next := receive(t, "the second watch", conn.watches); next.Wait == 0 {
		t.Error("the second watch does not wait")
	}
}

// A state that changes while an acknowledgement on an earlier connection is open is acknowledged on
// the next connection.
func TestChangeDuringLostAcknowledgementIsAcknowledged(t *testing.T) {
	copied, first, second := &settlingReplica{}, newScriptedConn(), newScriptedConn()
	s := runSubscriber(t, copied, first, second)
	receive(t, "the first watch", first.watches)
	first.answers <- nil
	receive(t, "the second watch", first.watches)
	s.Changed()
	receive(t, "the first acknowledgement", first.acks)
	first.answers <- context.DeadlineExceeded
	receive(t, "the next connection's watch", second.watches)
	copied.settle()
	s.Changed()
	second.answers <- nil
	first.ackErr <- context.DeadlineExceeded
	if acked := receive(t, "the acknowledgement", second.acks); !acked.State.Settled {
		t.Errorf("acknowledged %+v", acked.State)
	}
	second.ackErr <- nil
}
