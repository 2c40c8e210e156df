package distribution

import (
	"cmp"
	"slices"
	"strings"
)

// Status counts the hosts by their progress towards a revision.
type Status struct {
	Revision    Revision `msgpack:"revision" json:"revision"` // as requested, or the latest
	Latest      Revision `msgpack:"latest" json:"latest"`     // latest revision at the relay that answers
	Hosts       int      `msgpack:"hosts" json:"hosts"`       // all known hosts
	InForce     int      `msgpack:"in_force" json:"in_force"` // hosts with the revision in force at all of their instances in its scope
	Rejected    int      `msgpack:"refused" json:"refused"`   // an instance rejected a change; its last accepted settings are in force
	Behind      int      `msgpack:"behind" json:"behind"`     // connected, and not yet at the revision
	Unavailable int      `msgpack:"away" json:"away"`         // not connected, and not at the revision according to the last report
	// Missing lists some of the hosts where the revision is not in force, those with rejections
	// first.
	Missing []HostReport `msgpack:"missing,omitempty" json:"missing,omitempty"`
}

// Status counts the hosts by their progress towards a revision; the zero revision means the latest.
// It lists up to limit hosts where the revision is not in force.
func (g *Registry) Status(revision Revision, limit int) Status {
	if revision.IsZero() {
		revision = g.position
	}
	status := Status{Revision: revision, Latest: g.position}
	var missing []missingHost
	for _, record := range g.hosts {
		state := g.reportedState(record)
		status.Hosts++
		switch progressOf(revision, record.report.Present, state) {
		case inForce:
			status.InForce++
			continue
		case rejected:
			status.Rejected++
		case behind:
			status.Behind++
		case unavailable:
			status.Unavailable++
		}
		missing = append(missing, missingHost{record: record, rejections: len(state.Rejections)})
	}
	status.Missing = g.missingReports(missing, limit)
	return status
}

// missingHost is a host where a revision is not in force.
type missingHost struct {
	record     *hostRecord
	rejections int // number of the host's rejections
}

// missingReports returns up to limit of the hosts' reports, those with rejections first.
func (g *Registry) missingReports(missing []missingHost, limit int) []HostReport {
	if limit <= 0 || len(missing) == 0 {
		return nil
	}
	slices.SortFunc(missing, func(x, y missingHost) int {
		return cmp.Or(y.rejections-x.rejections, strings.Compare(x.record.report.Host, y.record.report.Host))
	})
	var reports []HostReport
	for _, host := range missing[:min(len(missing), limit)] {
		report := host.record.report
		report.State = g.reportedState(host.record)
		reports = append(reports, report)
	}
	return reports
}

// applyProgress is a host's progress towards a revision.
type applyProgress int

const (
	inForce     applyProgress = iota // the revision is in force
	rejected                         // an instance rejected a change up to the revision
	behind                           // connected, and not yet at the revision
	unavailable                      // not connected, and not known to be at the revision
)

// progressOf returns the progress of a host with the given state towards a revision. present reports
// whether the host is connected.
func progressOf(revision Revision, present bool, state HostState) applyProgress {
	if slices.ContainsFunc(state.Rejections, func(r Rejection) bool { return !r.Revision.After(revision) }) {
		return rejected
	}
	if !revision.After(state.Applied) {
		return inForce
	}
	if present {
		return behind
	}
	return unavailable
}

// Add adds the counts of another relay's subscribers, and keeps up to limit missing hosts. A host
// that both relays know is counted twice.
func (s *Status) Add(other Status, limit int) {
	if other.Latest.After(s.Latest) {
		s.Latest = other.Latest
	}
	if other.Revision.After(s.Revision) {
		s.Revision = other.Revision
	}
	s.Hosts += other.Hosts
	s.InForce += other.InForce
	s.Rejected += other.Rejected
	s.Behind += other.Behind
	s.Unavailable += other.Unavailable
	s.Missing = append(s.Missing, other.Missing...)
	s.Missing = s.Missing[:min(len(s.Missing), limit)]
}
