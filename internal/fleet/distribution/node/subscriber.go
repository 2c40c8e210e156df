package node

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"sync"
	"time"

	"martendrum/internal/fleet/api"
	"martendrum/internal/fleet/distribution"
)

// Replica is a subscriber's copy and those who act on it. Its methods may be called from several
// goroutines.
type Replica interface {
	// Take takes a whole update and keeps it; an error leaves the copy as it is.
	Take(update distribution.Update) error
	// State says how far the host is.
	State() distribution.HostState
}

// SubscriberConfig is what a Subscriber is told.
type SubscriberConfig struct {
	Interest distribution.Interest
	Region   string // of the host, "" if not known
	Zone     string
	Relays   []distribution.Relay
	Limits   distribution.Limits
	Dial     Dialer
	Replica  Replica
}

// Subscriber keeps a copy up to date: it asks one relay at a time, and goes on with the next
// one when that fails. Run is its loop.
type Subscriber struct {
	config  SubscriberConfig
	chooser *distribution.Chooser

	mu            sync.Mutex
	session       int64  // of the latest connection
	conn          Conn   // nil: not connected
	relay         string // of conn
	acknowledging bool
	stale         bool // the state has changed since the last acknowledgement
	lastErr       error
	failed        int // relays in a row
	goroutines    sync.WaitGroup
}

// preferenceInterval is about how often a subscriber looks whether a relay that it would rather ask is
// back. It is spread wide, so that a relay that returns is not asked by all at once.
const preferenceInterval = 30 * time.Second

// NewSubscriber returns a Subscriber that does not run yet.
func NewSubscriber(config SubscriberConfig) *Subscriber {
	return &Subscriber{config: config, chooser: distribution.NewChooser(config.Interest.Host, config.Region, config.Zone, config.Relays)}
}

// Run asks relays until ctx ends. Nothing of it runs when it returns.
func (s *Subscriber) Run(ctx context.Context) {
	defer s.goroutines.Wait()
	for ctx.Err() == nil {
		relay, wait := s.chooser.Next(time.Now(), rand.Float64)
		if !sleep(ctx, wait) {
			return
		}
		err := s.followRelay(ctx, relay)
		if err == nil || ctx.Err() != nil {
			continue // it moves to a relay that it would rather ask
		}
		s.chooser.Failed(time.Now(), relay.Name)
		s.recordFailure(err)
	}
}

// recordFailure remembers a failure, and logs when none of the relays is left.
func (s *Subscriber) recordFailure(err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lastErr = err
	s.failed++
	if s.failed == len(s.config.Relays) {
		unreachable := &distribution.UnreachableError{Tried: s.failed, Last: err}
		slog.Warn("no relay answers", "host", s.config.Interest.Host, "err", unreachable, "advice", unreachable.Advice())
	}
}

// Err is nil while a relay answers, else of *distribution.UnreachableError.
func (s *Subscriber) Err() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.lastErr == nil {
		return nil
	}
	return &distribution.UnreachableError{Tried: s.failed, Last: s.lastErr}
}

// Relay is the relay that answers, "" for none.
func (s *Subscriber) Relay() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.relay
}

// nextSession is above all earlier ones, those of an earlier process of the host among them
// unless the clock went back. It begins with the copy's state as it is after this call.
func (s *Subscriber) nextSession(now time.Time) int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.session = max(s.session+1, now.UnixMicro())
	s.stale = false
	return s.session
}

// followRelay connects to a relay and follows it until it fails, or nil where another is better.
func (s *Subscriber) followRelay(ctx context.Context, relay distribution.Relay) error {
	dialing, cancel := context.WithTimeout(ctx, dialTimeout)
	conn, err := s.config.Dial(dialing, relay)
	cancel()
	if err != nil {
		return err
	}
	session := s.nextSession(time.Now())
	defer func() {
		s.connected(nil, "")
		conn.Close()
	}()
	reader := distribution.NewReader(s.config.Limits)
	move := time.Now().Add(preferenceInterval/3 + rand.N(preferenceInterval))
	state := s.config.Replica.State()
	// A connection's first call does not wait: acknowledgements go out once it is answered.
	in := &api.SettingsWatchIn{Host: s.config.Interest.Host, Session: session, Interest: &s.config.Interest, State: &state}
	for {
		if err := s.watch(ctx, conn, reader, in); err != nil {
			return err
		}
		if in.Interest != nil {
			in.Interest, in.State = nil, nil
			s.chooser.Served(relay.Name)
			s.connected(conn, relay.Name)
		}
		// The waits of many hosts must not end together.
		in.Wait = watchWait*3/4 + rand.N(watchWait/4)
		if now := time.Now(); now.After(move) {
			if s.chooser.Better(now, relay.Name) {
				return nil
			}
			move = now.Add(preferenceInterval/3 + rand.N(preferenceInterval))
		}
	}
}

// connected notes the connection in use, and that a relay answers. What has changed since the
// session began is acknowledged.
func (s *Subscriber) connected(conn Conn, relay string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.conn, s.relay = conn, relay
	if conn != nil {
		s.lastErr, s.failed = nil, 0
		s.startAcknowledging()
	}
}

// watch makes one call and takes what it brings.
func (s *Subscriber) watch(ctx context.Context, conn Conn, reader *distribution.Reader, in *api.SettingsWatchIn) error {
	query := reader.Query(s.config.Replica.State().Received, nil)
	in.After, in.Began = query.After, query.Began
	var out api.SettingsWatchOut
	if err := call(ctx, conn, watchWait+watchSlack, api.SettingsWatch, in, &out); err != nil {
		return err
	}
	complete, err := reader.Take(out.Update)
	if err != nil || complete == nil {
		return err
	}
	quiet := complete.Empty()
	if err := s.config.Replica.Take(*complete); err != nil {
		return err
	}
	if quiet {
		return nil // the relay knows
	}
	s.Changed()
	return nil
}

// Changed tells that the copy's state has changed: the relay is told, over the next connection
// where there is none. It does not wait.
func (s *Subscriber) Changed() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stale = true
	s.startAcknowledging()
}

// startAcknowledging has a stale state acknowledged, unless that is under way; the lock is held.
func (s *Subscriber) startAcknowledging() {
	if !s.stale || s.acknowledging || s.conn == nil {
		return
	}
	s.acknowledging = true
	s.goroutines.Go(s.acknowledge)
}

// acknowledge tells the relay in use how far the host is until nothing is new. A call that
// fails is not made again: its connection fails with it, and the next one begins with the state.
func (s *Subscriber) acknowledge() {
	for {
		s.mu.Lock()
		conn, session := s.conn, s.session
		if !s.stale || conn == nil {
			s.acknowledging = false
			s.mu.Unlock()
			return
		}
		s.stale = false
		s.mu.Unlock()
		in := &api.SettingsAckIn{Host: s.config.Interest.Host, Session: session, State: s.config.Replica.State()}
		if err := call(context.Background(), conn, callTimeout, api.SettingsAck, in, nil); err != nil {
			conn.Close()
		}
	}
}
