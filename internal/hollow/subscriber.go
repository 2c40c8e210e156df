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

// maxMessage bounds the bytes of a message on a connection to a relay, as in an agent.
const maxMessage = 2 << 20

// SubscriberConfig is the configuration of a Subscriber.
type SubscriberConfig struct {
	Host     Host
	Relays   []distribution.Relay
	TLS      *tls.Config
	Coalesce time.Duration // how long a change waits for further changes, to apply them together
	Accept   time.Duration // how long the instance takes to accept settings; 0: it accepts at once
	// Accepted is called for each resource that the instance accepted. The Subscriber's lock is
	// held: Accepted must not call its methods.
	Accepted func(resource distribution.Resource, at time.Time)
	// Settled is called once, when the copy holds all settings of the fleet for this host and the
	// instance has accepted them for the first time. It must not call the Subscriber's methods.
	Settled func(at time.Time)
}

// Subscriber is a hollow host with one instance. It does nothing before Run is called.
type Subscriber struct {
	cfg    SubscriberConfig
	labels map[string]string
	loop   *node.Subscriber

	mu        sync.Mutex
	replica   *distribution.Replica
	applier   *distribution.Applier
	accepted  map[string]distribution.Revision // revisions for which Accepted was called, by resource
	applied   distribution.Revision            // the latest revision at which State found all settings applied
	settled   bool                             // cfg.Settled was called
	accepting bool                             // the instance has got settings that it has not accepted yet
	timer     *time.Timer                      // for the next call of begin or accept; nil: none is due
	closed    bool
}

// NewSubscriber returns a Subscriber; Run starts it.
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

// Run follows relays until ctx ends. When it returns, all goroutines and timers of the Subscriber
// have been stopped. It must be called only once.
func (s *Subscriber) Run(ctx context.Context) {
	s.loop.Run(ctx)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closed = true
	if s.timer != nil {
		s.timer.Stop()
	}
}

// Connected reports whether the subscriber is connected to a relay.
func (s *Subscriber) Connected() bool { return s.loop.Relay() != "" }

// dial connects to a relay with mutual TLS.
func (s *Subscriber) dial(ctx context.Context, relay distribution.Relay) (node.Conn, error) {
	target := connect.Target{Agent: relay.Name, Address: relay.Address, TLS: s.cfg.TLS}
	client, err := connect.Dial(ctx, target, "hollow "+s.cfg.Host.Name, msgpackrpc.Limits{Message: maxMessage})
	if err != nil {
		return nil, err
	}
	return connect.Caller{Client: client}, nil
}

// Apply implements node.Replica.
func (s *Subscriber) Apply(update distribution.Update) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	changed, err := s.replica.Apply(update)
	if err != nil {
		return err
	}
	now := time.Now()
	if changed {
		s.applier.SetWanted(now, s.replica.ResourcesFor(s.cfg.Host.Name, s.labels))
	}
	s.schedule(now)
	s.reportSettled(now)
	return nil
}

// State implements node.Replica.
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

// schedule sets the timer for begin if there are settings to apply and no attempt is in progress.
// The caller holds s.mu.
func (s *Subscriber) schedule(now time.Time) {
	if s.closed || s.timer != nil || s.accepting {
		return
	}
	due, pending := s.applier.Due()
	if pending {
		s.timer = time.AfterFunc(due.Sub(now), s.begin)
	}
}

// begin hands the wanted settings to the instance, which accepts them after cfg.Accept.
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
	s.applier.BeginAttempt()
	s.accepting = true
	if s.cfg.Accept > 0 {
		s.timer = time.AfterFunc(s.cfg.Accept, s.accept)
		s.mu.Unlock()
		return
	}
	s.mu.Unlock()
	s.accept()
}

// accept carries out the instance's acceptance of the settings that it was given, and has the
// relay informed of it.
func (s *Subscriber) accept() {
	if s.finishAccept() {
		s.loop.StateChanged()
	}
}

// finishAccept does the part of accept that needs s.mu, which it locks. It returns false if the
// subscriber was closed.
func (s *Subscriber) finishAccept() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.timer = nil
	if s.closed {
		return false
	}
	now := time.Now()
	s.accepting = false
	s.applier.EndAttempt(true, "")
	for _, resource := range s.applier.Accepted() {
		if s.accepted[resource.Name] != resource.Revision {
			s.accepted[resource.Name] = resource.Revision
			s.cfg.Accepted(resource, now)
		}
	}
	s.schedule(now)
	s.reportSettled(now)
	return true
}

// reportSettled calls cfg.Settled when all settings are in force for the first time. The caller
// holds s.mu.
func (s *Subscriber) reportSettled(now time.Time) {
	if s.settled || s.replica.Revision().IsZero() || s.applier.Pending() {
		return
	}
	s.settled = true
	s.cfg.Settled(now)
}
