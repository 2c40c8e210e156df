package node

import (
	"context"
	"sync"
	"testing"
	"time"

	"martendrum/internal/fleet/api"
	"martendrum/internal/fleet/distribution"
)

// scriptedConn is a connection where the test receives each poll and acknowledgement, and answers it.
type scriptedConn struct {
	polls   chan *api.SettingsWatchIn // each poll as it is made
	answers chan error                // responses to polls; nil for an empty update
	acks    chan *api.SettingsAckIn   // each acknowledgement as it is made
	ackErr  chan error                // responses to acknowledgements
	closed  chan struct{}
	once    sync.Once
}

func newScriptedConn() *scriptedConn {
	return &scriptedConn{polls: make(chan *api.SettingsWatchIn), answers: make(chan error),
		acks: make(chan *api.SettingsAckIn), ackErr: make(chan error), closed: make(chan struct{})}
}

func (c *scriptedConn) Call(ctx context.Context, method string, in, _ any) error {
	sent, answered := true, make(<-chan error)
	switch request := in.(type) {
	case *api.SettingsWatchIn:
		copied := *request
		select {
		case c.polls <- &copied:
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

// settlingReplica is a Replica that the test makes settled. It ignores updates.
type settlingReplica struct {
	mu    sync.Mutex
	state distribution.HostState
}

func (r *settlingReplica) Apply(distribution.Update) error { return nil }

func (r *settlingReplica) State() distribution.HostState {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.state
}

func (r *settlingReplica) settle() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.state.Settled = true
}

// runSubscriber runs a subscriber of one relay until the end of the test. Its dials return the given
// connections, in order.
func runSubscriber(t *testing.T, replica Replica, conns ...*scriptedConn) *Subscriber {
	t.Helper()
	dialed := make(chan *scriptedConn, len(conns))
	for _, conn := range conns {
		dialed <- conn
	}
	s := NewSubscriber(SubscriberConfig{
		Interest: distribution.Interest{Host: "host"}, Relays: []distribution.Relay{{Name: "relay"}},
		Limits: distribution.DefaultLimits(), Replica: replica,
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
	returned := make(chan struct{})
	go func() {
		defer close(returned)
		s.Run(ctx)
	}()
	t.Cleanup(func() {
		cancel()
		<-returned
	})
	return s
}

// receive returns the next value, or fails the test after ten seconds.
func receive[T any](t *testing.T, what string, values <-chan T) T {
	t.Helper()
	select {
	case value := <-values:
		return value
	case <-time.After(10 * time.Second):
		t.Fatalf("%s was not received within 10 seconds", what)
		panic("not reached")
	}
}

// A state that changes while the first poll of a connection is open is acknowledged once the poll has
// been answered, and that poll does not wait for changes.
func TestChangeBeforeConnectionAnswersIsAcknowledged(t *testing.T) {
	replica, conn := &settlingReplica{}, newScriptedConn()
	s := runSubscriber(t, replica, conn)
	first := receive(t, "the first poll", conn.polls)
	if first.State == nil || first.State.Settled {
		t.Fatalf("first poll has the state %+v, want one that is not settled", first.State)
	}
	if first.Wait != 0 {
		t.Errorf("first poll has a wait of %v, want 0", first.Wait)
	}
	replica.settle()
	s.StateChanged()
	conn.answers <- nil
	if acked := receive(t, "the acknowledgement", conn.acks); !acked.State.Settled {
		t.Errorf("acknowledged state is %+v, want a settled one", acked.State)
	}
	conn.ackErr <- nil
	if next := receive(t, "the second poll", conn.polls); next.Wait == 0 {
		t.Error("second poll has no wait, want one")
	}
}

// A state that changes while an acknowledgement on an earlier connection is open is acknowledged on
// the next connection.
func TestChangeDuringLostAcknowledgementIsAcknowledged(t *testing.T) {
	replica, first, second := &settlingReplica{}, newScriptedConn(), newScriptedConn()
	s := runSubscriber(t, replica, first, second)
	receive(t, "the first poll", first.polls)
	first.answers <- nil
	receive(t, "the second poll", first.polls)
	s.StateChanged()
	receive(t, "the first acknowledgement", first.acks)
	first.answers <- context.DeadlineExceeded
	receive(t, "the first poll of the next connection", second.polls)
	replica.settle()
	s.StateChanged()
	second.answers <- nil
	first.ackErr <- context.DeadlineExceeded
	if acked := receive(t, "the acknowledgement", second.acks); !acked.State.Settled {
		t.Errorf("acknowledged state is %+v, want a settled one", acked.State)
	}
	second.ackErr <- nil
}
