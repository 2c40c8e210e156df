package distribution

import (
	"maps"
	"time"
)

// MaxHosts is the maximum number of hosts that a Registry knows.
const MaxHosts = 1 << 16

// hostRetention is how long a disconnected host is remembered.
const hostRetention = 24 * time.Hour

// hostRecord is a host in a Registry.
type hostRecord struct {
	report HostReport
	// Only of this relay's subscribers: the interest, and the latest change within it.
	interest  Interest
	concerned Revision
	seen      time.Time // time of the last poll
}

// Registry tracks the progress of hosts: a relay's own subscribers and, at the writer, the hosts of
// all relays.
type Registry struct {
	relay     string // name of this relay
	limit     int    // maximum number of own subscribers
	present   int
	position  Revision            // revision of the relay's own copy
	reported  Revision            // position at the last call of Changed
	positions map[string]Revision // of other relays
	hosts     map[string]*hostRecord
	dirty     map[string]bool // own subscribers whose report has changed
}

// NewRegistry returns an empty Registry of the named relay. limit is the maximum number of its
// subscribers.
func NewRegistry(relay string, limit int) *Registry {
	return &Registry{relay: relay, limit: limit, positions: make(map[string]Revision),
		hosts: make(map[string]*hostRecord), dirty: make(map[string]bool)}
}

// Join adds a subscriber, or continues one under a new session. The subscriber counts as behind
// until it holds the relay's position, or Acknowledged shows that nothing it lacks is in its
// interest. Errors are *FullError, and *InvalidError if the host has a later session.
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

// Seen records a subscriber's poll. It returns false if the session is not open here.
func (g *Registry) Seen(now time.Time, host string, session int64) bool {
	e := g.subscriber(host, session)
	if e != nil {
		e.seen = now
	}
	return e != nil
}

// Interest returns the interest of a present subscriber, and false if the session is not open here.
func (g *Registry) Interest(host string, session int64) (Interest, bool) {
	if e := g.subscriber(host, session); e != nil {
		return e.interest, true
	}
	return Interest{}, false
}

// Sweep marks subscribers as absent that have not polled for longer than silent: their machine is
// lost or unreachable, and the connection did not report it.
func (g *Registry) Sweep(now time.Time, silent time.Duration) {
	for host, e := range g.hosts {
		if e.report.Relay == g.relay && e.report.Present && now.Sub(e.seen) > silent {
			g.Leave(now, host, e.report.Session)
		}
	}
}

// Acknowledged records the update that was read for a subscriber. It is also called for an empty
// update whose call continues to wait instead of returning it.
func (g *Registry) Acknowledged(host string, session int64, update *Update) {
	e := g.subscriber(host, session)
	if e == nil {
		return
	}
	before := e.concerned
	switch {
	case before.After(update.Revision):
		// A later change has arrived since the update was read.
	case update.Empty():
		// Nothing after update.After is in its interest. An earlier change that is stays
		// recorded, because a subscriber does not acknowledge an empty update.
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

// Acknowledge records a subscriber's report on its own progress.
func (g *Registry) Acknowledge(host string, session int64, state HostState) {
	if e := g.subscriber(host, session); e != nil {
		g.setState(e, state)
	}
}

// subscriber returns a present subscriber of this relay, and nil if the session is not open here.
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

// Leave records that a subscriber's connection has ended.
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

// Subscribers returns the number of this relay's present subscribers.
func (g *Registry) Subscribers() int { return g.present }

// Advance records the new revision of the relay's own copy. A subscriber without a change in its
// interest holds that revision without receiving an update.
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

// effectiveState returns the state of one of the relay's own subscribers. A settled subscriber that
// has received every change in its interest counts as being at the relay's position, although it
// has not received the changes outside its interest.
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

// Reports removes and returns up to limit changed reports of the relay's own subscribers, and
// reports whether none are left.
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

// ReportAll makes Reports start again with all subscribers, because the receiver has lost the
// earlier reports.
func (g *Registry) ReportAll() {
	for host, e := range g.hosts {
		if e.report.Relay == g.relay {
			g.dirty[host] = true
		}
	}
}

// Changed reports whether the position has changed since the previous call.
func (g *Registry) Changed() bool {
	moved := g.position != g.reported
	g.reported = g.position
	return moved
}

// Position returns the revision of the relay's own copy.
func (g *Registry) Position() Revision { return g.position }

// Merge adds another relay's reports. Of two reports of a host the one of the later session wins.
// position is zero while more reports follow. A relay that reconnects reports all of its
// subscribers, and the caller calls Lost for it first: after a restart the relay may not know its
// earlier subscribers.
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
			g.present-- // it has moved to another relay
		}
		report.Relay = relay
		e.report, e.interest = report, Interest{}
	}
}

// Lost records that a relay no longer reports. Its hosts count as absent until another relay
// reports them.
func (g *Registry) Lost(now time.Time, relay string) {
	for _, e := range g.hosts {
		if e.report.Relay == relay && e.report.Present {
			e.report.State = g.reportedState(e)
			e.report.Present, e.report.Since = false, now.UTC()
		}
	}
	delete(g.positions, relay)
}

// Forget drops hosts that have been absent for longer than hostRetention.
func (g *Registry) Forget(now time.Time) {
	maps.DeleteFunc(g.hosts, func(host string, e *hostRecord) bool {
		forgotten := !e.report.Present && now.Sub(e.report.Since) > hostRetention
		if forgotten {
			delete(g.dirty, host)
		}
		return forgotten
	})
}

// reportedState returns a host's state, brought forward to its relay's position where it is
// settled.
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
