package distribution

import (
	"maps"
	"time"
)

// MaxHosts is the maximum number of hosts that a Registry knows.
const MaxHosts = 1 << 16

// hostRetention is how long a Registry remembers a disconnected host.
const hostRetention = 24 * time.Hour

// hostRecord is a host in a Registry.
type hostRecord struct {
	report HostReport
	// The remaining fields are set for this relay's own subscribers only.
	interest     Interest
	latestChange Revision // latest change that affects the interest
	lastPoll     time.Time
}

// Registry tracks the progress of hosts: a relay's own subscribers and, at the writer, the hosts of
// all relays. A Registry is not safe for concurrent use.
type Registry struct {
	relay     string                 // name of this relay
	limit     int                    // maximum number of own subscribers
	present   int                    // number of own subscribers that are present
	position  Revision               // revision of the relay's own copy
	reported  Revision               // position at the last call of PositionChanged
	positions map[string]Revision    // of other relays, by relay name
	hosts     map[string]*hostRecord // by host name
	dirty     map[string]bool        // own subscribers whose report has changed since Reports returned it
}

// NewRegistry returns an empty Registry of the named relay. limit is the maximum number of its
// subscribers.
func NewRegistry(relay string, limit int) *Registry {
	return &Registry{relay: relay, limit: limit, positions: make(map[string]Revision),
		hosts: make(map[string]*hostRecord), dirty: make(map[string]bool)}
}

// Join adds a subscriber, or continues one under a new session. The subscriber counts as behind
// until it holds the relay's position, or RecordRead shows that no change that it lacks is in its
// interest. Errors are *FullError, and *InvalidError if the host has a later session.
func (g *Registry) Join(now time.Time, interest Interest, session int64, state HostState) error {
	record := g.hosts[interest.Host]
	if record != nil && record.report.Session > session {
		return &InvalidError{What: "session", Name: interest.Host, Reason: "the host has opened a later session"}
	}
	joins := record == nil || !record.report.Present || record.report.Relay != g.relay
	if joins && (g.present >= g.limit || record == nil && len(g.hosts) >= MaxHosts) {
		return &FullError{Limit: g.limit}
	}
	if joins {
		g.present++
	}
	if record == nil {
		record = &hostRecord{}
		g.hosts[interest.Host] = record
	}
	record.interest, record.latestChange, record.lastPoll = interest, g.position, now
	record.report = HostReport{Host: interest.Host, Session: session, Present: true, Since: now.UTC(), Relay: g.relay}
	g.setState(record, state)
	return nil
}

// RecordPoll records a subscriber's poll. It returns false if the session is not open here.
func (g *Registry) RecordPoll(now time.Time, host string, session int64) bool {
	record := g.subscriber(host, session)
	if record != nil {
		record.lastPoll = now
	}
	return record != nil
}

// Interest returns the interest of a present subscriber, and false if the session is not open here.
func (g *Registry) Interest(host string, session int64) (Interest, bool) {
	if record := g.subscriber(host, session); record != nil {
		return record.interest, true
	}
	return Interest{}, false
}

// ExpireSilent marks subscribers as absent that have not polled for longer than timeout: their
// machine is lost or unreachable, and the connection did not report it.
func (g *Registry) ExpireSilent(now time.Time, timeout time.Duration) {
	for host, record := range g.hosts {
		if record.report.Relay == g.relay && record.report.Present && now.Sub(record.lastPoll) > timeout {
			g.Leave(now, host, record.report.Session)
		}
	}
}

// RecordRead records the update that was read for a subscriber's poll. It is also called for an empty
// update where the poll continues to wait instead of returning it.
func (g *Registry) RecordRead(host string, session int64, update *Update) {
	record := g.subscriber(host, session)
	if record == nil {
		return
	}
	before := record.latestChange
	switch {
	case before.After(update.Revision):
		// A later change in the interest has arrived since the update was read.
	case update.Empty():
		// No change after update.After is in the interest. An earlier change in the interest
		// stays recorded, because a subscriber does not acknowledge an empty update.
		if before.After(update.After) {
			record.latestChange = update.After
		}
	default:
		record.latestChange = update.Revision
	}
	if record.latestChange != before {
		g.dirty[host] = true
	}
}

// Acknowledge records a subscriber's report on its own progress. It does nothing if the session is
// not open here.
func (g *Registry) Acknowledge(host string, session int64, state HostState) {
	if record := g.subscriber(host, session); record != nil {
		g.setState(record, state)
	}
}

// subscriber returns a present subscriber of this relay, or nil if the session is not open here.
func (g *Registry) subscriber(host string, session int64) *hostRecord {
	record := g.hosts[host]
	if record == nil || record.report.Session != session || record.report.Relay != g.relay || !record.report.Present {
		return nil
	}
	return record
}

// setState records a subscriber's state, which the next call of Reports includes.
func (g *Registry) setState(record *hostRecord, state HostState) {
	record.report.State = state.bounded()
	g.dirty[record.report.Host] = true
}

// Leave records that a subscriber's connection has ended. It does nothing if the session is not open
// here.
func (g *Registry) Leave(now time.Time, host string, session int64) {
	record := g.subscriber(host, session)
	if record == nil {
		return
	}
	record.report.State = g.effectiveState(record)
	record.report.Present, record.report.Since = false, now.UTC()
	g.present--
	g.dirty[host] = true
}

// Subscribers returns the number of this relay's present subscribers.
func (g *Registry) Subscribers() int { return g.present }

// Advance records the new revision of the relay's own copy. A subscriber whose interest no new change
// affects counts as being at that revision without receiving an update.
func (g *Registry) Advance(state *State) {
	before := g.position
	g.position = state.Revision()
	for host, record := range g.hosts {
		if record.report.Relay != g.relay || !record.report.Present {
			continue
		}
		if !state.historyCovers(before) {
			record.latestChange = g.position
			g.dirty[host] = true
			continue
		}
		if latest, ok := state.LatestChange(before, record.interest); ok {
			record.latestChange = latest
			g.dirty[host] = true
		}
	}
}

// effectiveState returns the state of one of the relay's own subscribers. A settled subscriber that
// has received every change in its interest counts as being at the relay's position, although it
// has not received the changes outside its interest.
func (g *Registry) effectiveState(record *hostRecord) HostState {
	state := record.report.State
	if state.Settled && !record.latestChange.After(state.Received) {
		if g.position.After(state.Received) {
			state.Received, state.Applied = g.position, g.position
		}
	} else {
		state.Settled = false
	}
	return state
}

// Reports returns up to limit changed reports on the relay's own subscribers, which then no longer
// count as changed. all is true if no changed reports are left.
func (g *Registry) Reports(limit int) (reports []HostReport, all bool) {
	for host := range g.dirty {
		if len(reports) >= limit {
			return reports, false
		}
		delete(g.dirty, host)
		record := g.hosts[host]
		if record == nil || record.report.Relay != g.relay {
			continue
		}
		report := record.report
		if report.Present {
			report.State = g.effectiveState(record)
		}
		reports = append(reports, report)
	}
	return reports, true
}

// ReportAll makes Reports return the reports on all subscribers again, because the receiver has lost
// the earlier ones.
func (g *Registry) ReportAll() {
	for host, record := range g.hosts {
		if record.report.Relay == g.relay {
			g.dirty[host] = true
		}
	}
}

// PositionChanged reports whether the position has changed since the previous call.
func (g *Registry) PositionChanged() bool {
	changed := g.position != g.reported
	g.reported = g.position
	return changed
}

// Position returns the revision of the relay's own copy.
func (g *Registry) Position() Revision { return g.position }

// MergeReports adds another relay's reports. Of two reports on one host the one with the later
// session is retained. position is the other relay's position, or zero while more reports follow. A
// relay that reconnects reports all of its subscribers. If it was restarted in the meantime the caller
// calls RelayLost first, because the relay may not know its earlier subscribers.
func (g *Registry) MergeReports(relay string, position Revision, reports []HostReport) {
	if !position.IsZero() {
		g.positions[relay] = position
	}
	for _, report := range reports {
		record := g.hosts[report.Host]
		if record != nil && record.report.Session > report.Session {
			continue
		}
		if record == nil {
			if len(g.hosts) >= MaxHosts {
				continue
			}
			record = &hostRecord{}
			g.hosts[report.Host] = record
		}
		if record.report.Relay == g.relay && record.report.Present {
			g.present-- // the subscriber has moved to another relay
		}
		report.Relay = relay
		record.report, record.interest = report, Interest{}
	}
}

// RelayLost records that a relay no longer reports. Its hosts count as absent until a relay reports
// them again.
func (g *Registry) RelayLost(now time.Time, relay string) {
	for _, record := range g.hosts {
		if record.report.Relay == relay && record.report.Present {
			record.report.State = g.reportedState(record)
			record.report.Present, record.report.Since = false, now.UTC()
		}
	}
	delete(g.positions, relay)
}

// ForgetAbsent removes hosts that have been absent for longer than hostRetention.
func (g *Registry) ForgetAbsent(now time.Time) {
	maps.DeleteFunc(g.hosts, func(host string, record *hostRecord) bool {
		forgotten := !record.report.Present && now.Sub(record.report.Since) > hostRetention
		if forgotten {
			delete(g.dirty, host)
		}
		return forgotten
	})
}

// reportedState returns a host's state. A present and settled host counts as being at its relay's
// position.
func (g *Registry) reportedState(record *hostRecord) HostState {
	if record.report.Relay == g.relay {
		if record.report.Present {
			return g.effectiveState(record)
		}
		return record.report.State
	}
	state := record.report.State
	position := g.positions[record.report.Relay]
	if record.report.Present && state.Settled && position.After(state.Applied) {
		state.Received, state.Applied = position, position
	}
	return state
}
