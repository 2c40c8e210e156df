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

// Replica is a subscriber's copy of the settings, together with the code that applies its changes to
// the host's instances. Its methods must be safe for concurrent use.
type Replica interface {
	// Apply applies and stores a complete update. On an error the copy is unchanged.
	Apply(update distribution.Update) error
	// State returns the host's report on its progress.
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

// Subscriber keeps a Replica up to date. It polls one relay at a time, and changes to the next relay
// when a poll fails. Run is its loop; the other methods are safe for concurrent use.
type Subscriber struct {
	config  SubscriberConfig
	chooser *distribution.Chooser

	mu            sync.Mutex
	session       int64  // of the latest connection
	conn          Conn   // nil while not connected
	relay         string // name of the relay of conn
	acknowledging bool   // the goroutine of acknowledge is running
	stale         bool   // the state has changed since the last acknowledgement
	lastErr       error  // of the last failed relay; nil while a relay answers
	failures      int    // consecutive failures of relays
	goroutines    sync.WaitGroup
}

// preferenceInterval is the approximate interval between checks whether a preferred relay is
// available again. It is spread widely, so that subscribers do not return to a relay all at once.
const preferenceInterval = 30 * time.Second

// NewSubscriber returns a Subscriber. It does nothing until Run is called.
func NewSubscriber(config SubscriberConfig) *Subscriber {
	return &Subscriber{config: config, chooser: distribution.NewChooser(config.Interest.Host, config.Region, config.Zone, config.Relays)}
}

// Run polls relays until ctx ends. It may be called once. When it returns, all goroutines of the
// Subscriber have ended.
func (s *Subscriber) Run(ctx context.Context) {
	defer s.goroutines.Wait()
	for ctx.Err() == nil {
		relay, wait := s.chooser.Next(time.Now(), rand.Float64)
		if !sleep(ctx, wait) {
			return
		}
		err := s.followRelay(ctx, relay)
		if err == nil || ctx.Err() != nil {
			continue // a nil error means that a preferred relay is available again
		}
		s.chooser.Failed(time.Now(), relay.Name)
		s.recordFailure(err)
	}
}

// recordFailure records a failed relay. It logs once when there were as many consecutive failures as
// there are relays.
func (s *Subscriber) recordFailure(err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lastErr = err
	s.failures++
	if s.failures == len(s.config.Relays) {
		unreachable := &distribution.UnreachableError{Tried: s.failures, Last: err}
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
	return &distribution.UnreachableError{Tried: s.failures, Last: s.lastErr}
}

// Relay returns the name of the connected relay, or "" if there is none.
func (s *Subscriber) Relay() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.relay
}

// nextSession returns a session number above all earlier ones of the host, including those of an
// earlier process unless the clock was set back. The caller must read the state for the session's first
// poll after this call, so that no later change of the state is missed.
func (s *Subscriber) nextSession(now time.Time) int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.session = max(s.session+1, now.UnixMicro())
	s.stale = false
	return s.session
}

// followRelay connects to a relay and polls it until a call fails, or returns nil once a preferred
// relay is available again.
func (s *Subscriber) followRelay(ctx context.Context, relay distribution.Relay) error {
	dialCtx, cancel := context.WithTimeout(ctx, dialTimeout)
	conn, err := s.config.Dial(dialCtx, relay)
	cancel()
	if err != nil {
		return err
	}
	session := s.nextSession(time.Now())
	defer func() {
		s.setConnection(nil, "")
		conn.Close()
	}()
	reader := distribution.NewReader(s.config.Limits)
	nextCheck := time.Now().Add(preferenceInterval/3 + rand.N(preferenceInterval))
	state := s.config.Replica.State()
	// The first call of a connection does not wait, because acknowledgements are sent only
	// after it has been answered.
	in := &api.SettingsWatchIn{Host: s.config.Interest.Host, Session: session, Interest: &s.config.Interest, State: &state}
	for {
		if err := s.poll(ctx, conn, reader, in); err != nil {
			return err
		}
		if in.Interest != nil {
			in.Interest, in.State = nil, nil
			s.chooser.Succeeded(relay.Name)
			s.setConnection(conn, relay.Name)
		}
		// Jitter keeps the waits of many hosts from ending together.
		in.Wait = watchWait*3/4 + rand.N(watchWait/4)
		if now := time.Now(); now.After(nextCheck) {
			if s.chooser.HasBetter(now, relay.Name) {
				return nil
			}
			nextCheck = now.Add(preferenceInterval/3 + rand.N(preferenceInterval))
		}
	}
}

// setConnection records the connection in use, nil for none, and sends an acknowledgement if the state
// has changed since the session began.
func (s *Subscriber) setConnection(conn Conn, relay string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.conn, s.relay = conn, relay
	if conn != nil {
		s.lastErr, s.failures = nil, 0
		s.startAcknowledging()
	}
}

// poll makes one poll and applies the update once it is complete.
func (s *Subscriber) poll(ctx context.Context, conn Conn, reader *distribution.Reader, in *api.SettingsWatchIn) error {
	query := reader.Query(s.config.Replica.State().Received, nil)
	in.After, in.SnapshotRevision = query.After, query.Began
	var out api.SettingsWatchOut
	if err := call(ctx, conn, watchWait+watchSlack, api.SettingsWatch, in, &out); err != nil {
		return err
	}
	complete, err := reader.AddPage(out.Update)
	if err != nil || complete == nil {
		return err
	}
	empty := complete.Empty()
	if err := s.config.Replica.Apply(*complete); err != nil {
		return err
	}
	if empty {
		return nil // an empty update needs no acknowledgement
	}
	s.StateChanged()
	return nil
}

// StateChanged schedules an acknowledgement, because the state of the Replica has changed. Without a
// connection the acknowledgement is sent on the next one. StateChanged does not block.
func (s *Subscriber) StateChanged() {
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

// acknowledge sends the host's state to the connected relay until no change is left to acknowledge. A
// failed call is not retried: the connection is closed, and the next one begins with the current
// state.
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
