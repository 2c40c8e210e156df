package hollow

import (
	"context"
	"crypto/tls"
	"sync"
	"time"

	"martendrum/internal/fleet/connect"
	"martendrum/internal/fleet/distribution"
	"martendrum/internal/fleet/distribution/node"
	"martendrum/internal/msgpackrpc"
)

// maxMessage bounds a message of a connection to a relay, as agents bound it.
const maxMessage = 2 << 20

// SubscriberConfig is the configuration of a Subscriber.
type SubscriberConfig struct {
	Host     Host
	Relays   []distribution.Relay
	TLS      *tls.Config
	Coalesce time.Duration // how long a change waits for others
	Accept   time.Duration // that the instance takes to accept settings
	// Accepted is called for each resource that the instance accepted. It must not call back.
	Accepted func(resource distribution.Resource, at time.Time)
	// Settled is called once the copy holds the fleet's state and the instance has accepted it,
	// the first time only. It must not call back.
	Settled func(at time.Time)
}

// Subscriber is one hollow host with one instance. Run is its loop.
type Subscriber struct {
	cfg    SubscriberConfig
	labels map[string]string
	loop   *node.Subscriber

	mu       sync.Mutex
	replica  *distribution.Replica
	applier  *distribution.Applier
	accepted map[string]distribution.Revision // for which Accepted was called
	applied  distribution.Revision            // the last at which the instance was settled
	settled  bool                             // Settled was called
	trying   bool                             // the instance has settings that it did not accept yet
	timer    *time.Timer                      // of the next step; nil: none
	closed   bool
}

// NewSubscriber returns a Subscriber that does not run yet.
func NewSubscriber(cfg SubscriberConfig) *Subscriber {
	labels := cfg.Host.Labels()
	interest := distribution.Interest{Host: cfg.Host.Name, Instances: []map[string]string{labels}}
	s := &Subscriber{cfg: cfg, labels: labels, replica: distribution.NewReplica(interest),
		applier:  distribution.NewApplier(cfg.Host.Name, cfg.Coalesce),
		accepted: make(map[string]distribution.Revision)}
	s.loop = node.NewSubscriber(node.SubscriberConfig{
		Interest: interest, Region: cfg.Host.Region, Zone: cfg.Host.Zone, Relays: cfg.Relays,
		Limits: distribution.DefaultLimits(), Dial: s.dial, Replica: s,
	})
	return s
}

// Run follows relays until ctx ends. Nothing of the subscriber runs when it returns.
func (s *Subscriber) Run(ctx context.Context) {
	s.loop.Run(ctx)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closed = true
	if s.timer != nil {
		s.timer.Stop()
	}
}

// Connected says whether a relay answers.
func (s *Subscriber) Connected() bool { return s.loop.Relay() != "" }

func (s *Subscriber) dial(ctx context.Context, relay distribution.Relay) (node.Conn, error) {
	target := connect.Target{Agent: relay.Name, Address: relay.Address, TLS: s.cfg.TLS}
	client, err := connect.Dial(ctx, target, "hollow "+s.cfg.Host.Name, msgpackrpc.Limits{Message: maxMessage})
	if err != nil {
		return nil, err
	}
	return connect.Caller{Client: client}, nil
}

// Take implements node.Copy.
func (s *Subscriber) Take(update distribution.Update) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	changed, err := s.replica.Take(update)
	if err != nil {
		return err
	}
	now := time.Now()
	if changed {
		s.applier.Want(now, s.replica.For(s.cfg.Host.Name, s.labels))
	}
	s.schedule(now)
	s.noteSettled(now)
	return nil
}

// State implements node.Copy.
func (s *Subscriber) State() distribution.HostState {
	s.mu.Lock()
	defer s.mu.Unlock()
	state := distribution.HostState{Received: s.replica.Revision(), Settled: !s.applier.Pending()}
	if state.Settled {
		s.applied = state.Received
	}
	state.Applied = s.applied
	return state
}

// schedule sets the timer of the next step, if there is one to make; the lock is held.
func (s *Subscriber) schedule(now time.Time) {
	if s.closed || s.timer != nil || s.trying {
		return
	}
	due, pending := s.applier.Due()
	if pending {
		s.timer = time.AfterFunc(due.Sub(now), s.begin)
	}
}

// begin gives the instance what is wanted.
func (s *Subscriber) begin() {
	s.mu.Lock()
	s.timer = nil
	due, pending := s.applier.Due()
	now := time.Now()
	if s.closed || !pending || now.Before(due) {
		s.schedule(now)
		s.mu.Unlock()
		return
	}
	s.applier.Begin()
	s.trying = true
	if s.cfg.Accept > 0 {
		s.timer = time.AfterFunc(s.cfg.Accept, s.accept)
		s.mu.Unlock()
		return
	}
	s.mu.Unlock()
	s.accept()
}

// accept is the instance's answer.
func (s *Subscriber) accept() {
	if s.acceptLocked() {
		s.loop.Changed()
	}
}

func (s *Subscriber) acceptLocked() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.timer = nil
	if s.closed {
		return false
	}
	now := time.Now()
	s.trying = false
	s.applier.Done(true, "")
	for _, resource := range s.applier.Accepted() {
		if s.accepted[resource.Name] != resource.Revision {
			s.accepted[resource.Name] = resource.Revision
			s.cfg.Accepted(resource, now)
		}
	}
	s.schedule(now)
	s.noteSettled(now)
	return true
}

// noteSettled calls Settled when the complete state is in force for the first time. The lock
// is held.
func (s *Subscriber) noteSettled(now time.Time) {
	if s.settled || s.replica.Revision().IsZero() || s.applier.Pending() {
		return
	}
	s.settled = true
	s.cfg.Settled(now)
}
