package distribution

import (
	"maps"
	"time"
)

// MaxHosts is how many hosts a Registry knows.
const MaxHosts = 1 << 16

// hostRetention is how long a host that is away is known.
const hostRetention = 24 * time.Hour

// hostRecord is a host in a Registry.
type hostRecord struct {
	report HostReport
	// Of a subscriber of this relay: what it wants, and the latest change that concerns it.
	interest  Interest
	concerned Revision
	seen      time.Time // when it asked last
}

// Registry knows how far each host is: a relay's own subscribers, and at the writer the hosts
// of all relays.
type Registry struct {
	relay     string // its own name
	limit     int    // subscribers of its own
	present   int
	position  Revision            // of its own copy
	reported  Revision            // position as Moved was last asked
	positions map[string]Revision // of other relays
	hosts     map[string]*hostRecord
	dirty     map[string]bool // own subscribers whose report has changed
}

// NewRegistry returns an empty Registry of the named relay with room for so many subscribers.
func NewRegistry(relay string, limit int) *Registry {
	return &Registry{relay: relay, limit: limit, positions: make(map[string]Revision),
		hosts: make(map[string]*hostRecord), dirty: make(map[string]bool)}
}

// Join takes a subscriber in, or one that was there under an earlier session. It counts as
// behind until it holds the relay's position, or Told says that nothing it lacks concerns it.
// Errors are of *FullError; of *InvalidError where the host is known by a later session.
func (g *Registry) Join(now time.Time, interest Interest, session int64, state HostState) error {
	e := g.hosts[interest.Host]
	if e != nil && e.report.Session > session {
		return &InvalidError{What: "session", Name: interest.Host, Reason: "a later one is open"}
	}
	fresh := e == nil || !e.report.Present || e.report.Relay != g.relay
	if fresh && (g.present >= g.limit || e == nil && len(g.hosts) >= MaxHosts) {
		return &FullError{Limit: g.limit}
	}
	if fresh {
		g.present++
	}
	if e == nil {
		e = &hostRecord{}
		g.hosts[interest.Host] = e
	}
	e.interest, e.concerned, e.seen = interest, g.position, now
	e.report = HostReport{Host: interest.Host, Session: session, Present: true, Since: now.UTC(), Relay: g.relay}
	g.setState(e, state)
	return nil
}

// Seen notes that a subscriber asks; false says that this session is none here.
func (g *Registry) Seen(now time.Time, host string, session int64) bool {
	e := g.subscriber(host, session)
	if e != nil {
		e.seen = now
	}
	return e != nil
}

// Interest is what a subscriber that is present wants; false if that session is none here.
func (g *Registry) Interest(host string, session int64) (Interest, bool) {
	if e := g.subscriber(host, session); e != nil {
		return e.interest, true
	}
	return Interest{}, false
}

// Sweep takes those for away that have not asked for so long: their machine is lost, or cut
// off, and their connection never told.
func (g *Registry) Sweep(now time.Time, silent time.Duration) {
	for host, e := range g.hosts {
		if e.report.Relay == g.relay && e.report.Present && now.Sub(e.seen) > silent {
			g.Leave(now, host, e.report.Session)
		}
	}
}

// Acknowledged notes what was read for a subscriber: an update that it is sent, or an empty one, also
// where its call goes on to wait instead of being answered with that.
func (g *Registry) Acknowledged(host string, session int64, update *Update) {
	e := g.subscriber(host, session)
	if e == nil {
		return
	}
	before := e.concerned
	switch {
	case before.After(update.Revision):
		// A later change has come since the update was read.
	case update.Empty():
		// Nothing after update.After concerns it. What concerned it before that stays: a
		// subscriber goes on from an empty update without a word of having received it.
		if before.After(update.After) {
			e.concerned = update.After
		}
	default:
		e.concerned = update.Revision
	}
	if e.concerned != before {
		g.dirty[host] = true
	}
}

// Acknowledge takes what a subscriber says of itself.
func (g *Registry) Acknowledge(host string, session int64, state HostState) {
	if e := g.subscriber(host, session); e != nil {
		g.setState(e, state)
	}
}

// subscriber is a present subscriber of this relay, nil if that session is none.
func (g *Registry) subscriber(host string, session int64) *hostRecord {
	e := g.hosts[host]
	if e == nil || e.report.Session != session || e.report.Relay != g.relay || !e.report.Present {
		return nil
	}
	return e
}

func (g *Registry) setState(e *hostRecord, state HostState) {
	e.report.State = state.bounded()
	g.dirty[e.report.Host] = true
}

// Leave notes that a subscriber's connection has ended.
func (g *Registry) Leave(now time.Time, host string, session int64) {
	e := g.subscriber(host, session)
	if e == nil {
		return
	}
	e.report.State = g.effectiveState(e)
	e.report.Present, e.report.Since = false, now.UTC()
	g.present--
	g.dirty[host] = true
}

// Subscribers is how many of its own are present.
func (g *Registry) Subscribers() int { return g.present }

// Advance notes that the relay's own copy has moved on: who is not concerned by the changes
// holds the new revision without being told.
func (g *Registry) Advance(state *State) {
	before := g.position
	g.position = state.Revision()
	for host, e := range g.hosts {
		if e.report.Relay != g.relay || !e.report.Present {
			continue
		}
		if !state.historyCovers(before) {
			e.concerned = g.position
			g.dirty[host] = true
			continue
		}
		if concerned, ok := state.Concerned(before, e.interest); ok {
			e.concerned = concerned
			g.dirty[host] = true
		}
	}
}

// effectiveState is the state of one's own subscriber with what it need not be told: one that is
// settled, and has received all that concerns it, is at the relay's position.
func (g *Registry) effectiveState(e *hostRecord) HostState {
	state := e.report.State
	if state.Settled && !e.concerned.After(state.Received) {
		if g.position.After(state.Received) {
			state.Received, state.Applied = g.position, g.position
		}
	} else {
		state.Settled = false
	}
	return state
}

// Reports takes out up to most reports of one's own subscribers that have changed, and says
// whether these were all.
func (g *Registry) Reports(limit int) (reports []HostReport, all bool) {
	for host := range g.dirty {
		if len(reports) >= limit {
			return reports, false
		}
		delete(g.dirty, host)
		e := g.hosts[host]
		if e == nil || e.report.Relay != g.relay {
			continue
		}
		report := e.report
		if report.Present {
			report.State = g.effectiveState(e)
		}
		reports = append(reports, report)
	}
	return reports, true
}

// ReportAll lets Reports begin anew: who takes them has forgotten what it was told.
func (g *Registry) ReportAll() {
	for host, e := range g.hosts {
		if e.report.Relay == g.relay {
			g.dirty[host] = true
		}
	}
}

// Changed says whether the position has changed since Moved was last asked.
func (g *Registry) Changed() bool {
	moved := g.position != g.reported
	g.reported = g.position
	return moved
}

// Position is that of the relay's own copy.
func (g *Registry) Position() Revision { return g.position }

// Merge takes what another relay reports; of two reports of a host the later session's
// counts. position is the zero value while more reports follow. A relay that connects anew
// reports all of its subscribers, after Lost was called for it: it may not know those that it
// had before it was restarted.
func (g *Registry) Merge(relay string, position Revision, reports []HostReport) {
	if !position.IsZero() {
		g.positions[relay] = position
	}
	for _, report := range reports {
		e := g.hosts[report.Host]
		if e != nil && e.report.Session > report.Session {
			continue
		}
		if e == nil {
			if len(g.hosts) >= MaxHosts {
				continue
			}
			e = &hostRecord{}
			g.hosts[report.Host] = e
		}
		if e.report.Relay == g.relay && e.report.Present {
			g.present-- // it went on to another relay
		}
		report.Relay = relay
		e.report, e.interest = report, Interest{}
	}
}

// Lost notes that a relay reports no more: its hosts are away until they turn up elsewhere.
func (g *Registry) Lost(now time.Time, relay string) {
	for _, e := range g.hosts {
		if e.report.Relay == relay && e.report.Present {
			e.report.State = g.reportedState(e)
			e.report.Present, e.report.Since = false, now.UTC()
		}
	}
	delete(g.positions, relay)
}

// Forget drops hosts that have been away for a day.
func (g *Registry) Forget(now time.Time) {
	maps.DeleteFunc(g.hosts, func(host string, e *hostRecord) bool {
		forgotten := !e.report.Present && now.Sub(e.report.Since) > hostRetention
		if forgotten {
			delete(g.dirty, host)
		}
		return forgotten
	})
}

// reportedState is a host's state with what its relay's position tells.
func (g *Registry) reportedState(e *hostRecord) HostState {
	if e.report.Relay == g.relay {
		if e.report.Present {
			return g.effectiveState(e)
		}
		return e.report.State
	}
	state := e.report.State
	position := g.positions[e.report.Relay]
	if e.report.Present && state.Settled && position.After(state.Applied) {
		state.Received, state.Applied = position, position
	}
	return state
}

