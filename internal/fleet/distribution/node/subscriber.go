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

// Replica is a subscriber's copy and whatever acts on its changes. Its methods are safe for
// concurrent use.
type Replica interface {
	// Take applies and stores a complete update. An error leaves the copy unchanged.
	Take(update distribution.Update) error
	// State returns the host's progress.
	State() distribution.HostState
}

// SubscriberConfig configures a Subscriber.
type SubscriberConfig struct {
	Interest distribution.Interest
	Region   string // of the host; "" if unknown
	Zone     string
	Relays   []distribution.Relay
	Limits   distribution.Limits
	Dial     Dialer
	Replica  Replica
}

// Subscriber keeps a copy up to date. It polls one relay at a time, and changes to the next one
// when that fails. Run is its loop.
type Subscriber struct {
	config  SubscriberConfig
	chooser *distribution.Chooser

	mu            sync.Mutex
	session       int64  // of the latest connection
	conn          Conn   // nil while not connected
	relay         string // of conn
	acknowledging bool
	stale         bool // the state has changed since the last acknowledgement
	lastErr       error
	failed        int // consecutive failures of relays
	goroutines    sync.WaitGroup
}

// preferenceInterval is the approximate interval between checks whether a preferred relay is
// available again. It is spread widely, so that subscribers do not return to a relay all at once.
const preferenceInterval = 30 * time.Second

// NewSubscriber returns a Subscriber, which starts with Run.
func NewSubscriber(config SubscriberConfig) *Subscriber {
	return &Subscriber{config: config, chooser: distribution.NewChooser(config.Interest.Host, config.Region, config.Zone, config.Relays)}
}

// Run polls relays until ctx ends. All of its goroutines have ended when it returns.
func (s *Subscriber) Run(ctx context.Context) {
	defer s.goroutines.Wait()
	for ctx.Err() == nil {
		relay, wait := s.chooser.Next(time.Now(), rand.Float64)
		if !sleep(ctx, wait) {
			return
		}
		err := s.followRelay(ctx, relay)
		if err == nil || ctx.Err() != nil {
			continue // a preferred relay is available again
		}
		s.chooser.Failed(time.Now(), relay.Name)
		s.recordFailure(err)
	}
}

// recordFailure records a failed relay, and logs when all relays have failed in a row.
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

// Err returns nil while a relay answers, and otherwise a *distribution.UnreachableError.
func (s *Subscriber) Err() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.lastErr == nil {
		return nil
	}
	return &distribution.UnreachableError{Tried: s.failed, Last: s.lastErr}
}

// Relay returns the name of the connected relay, "" if there is none.
func (s *Subscriber) Relay() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.relay
}

// nextSession returns a session above all earlier ones. Those of an earlier process of the host are
// included, unless the clock was set back. The session begins with the copy's state as read after
// this call.
func (s *Subscriber) nextSession(now time.Time) int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.session = max(s.session+1, now.UnixMicro())
	s.stale = false
	return s.session
}

// followRelay connects to a relay and polls it until it fails. It returns nil when a preferred
// relay is available again.
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
	// The first call of a connection does not wait, because acknowledgements are sent only
	// after it has been answered.
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
		// Jitter keeps the waits of many hosts from ending together.
		in.Wait = watchWait*3/4 + rand.N(watchWait/4)
		if now := time.Now(); now.After(move) {
			if s.chooser.Better(now, relay.Name) {
				return nil
			}
			move = now.Add(preferenceInterval/3 + rand.N(preferenceInterval))
		}
	}
}

// connected records the connection in use, and sends an acknowledgement if the state has changed
// since the session began.
func (s *Subscriber) connected(conn Conn, relay string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.conn, s.relay = conn, relay
	if conn != nil {
		s.lastErr, s.failed = nil, 0
		s.startAcknowledging()
	}
}

// watch makes one poll and applies its update.
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
	empty := complete.Empty()
	if err := s.config.Replica.Take(*complete); err != nil {
		return err
	}
	if empty {
		return nil // an empty update needs no acknowledgement
	}
	s.Changed()
	return nil
}

// Changed schedules an acknowledgement of the copy's changed state, on the next connection if there
// is none now. It does not block.
func (s *Subscriber) Changed() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stale = true
	s.startAcknowledging()
}

// startAcknowledging starts the acknowledgement of a stale state unless one is running. The caller
// holds mu.
func (s *Subscriber) startAcknowledging() {
	if !s.stale || s.acknowledging || s.conn == nil {
		return
	}
	s.acknowledging = true
	s.goroutines.Go(s.acknowledge)
}

// acknowledge sends the host's state to the relay in use until it is up to date. A failed call is
// not retried: the connection is closed, and the next one begins with the current state.
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
