package distribution

import (
	"slices"
)

// step is a prepared change of a State that has not been applied.
type step struct {
	batch        Batch
	resources    []Resource // those marked Removed are deleted
	removed      []string   // names of further resources to delete
	changes      []Change
	revision     Revision
	compacted    Revision
	resetHistory bool // the earlier history is discarded: the step is a snapshot or begins an epoch
}

// prepare returns the step with its Batch and the revision up to which the history is compacted.
func (s *State) prepare(next step) step {
	for n := range next.resources {
		r := &next.resources[n]
		if r.Removed {
			next.batch.Drop = append(next.batch.Drop, resourcePrefix+r.Name)
		} else {
			next.batch.Put = append(next.batch.Put, resourceEntry(r))
		}
	}
	for _, name := range next.removed {
		next.batch.Drop = append(next.batch.Drop, resourcePrefix+name)
	}
	next.compacted = s.compacted
	earlier := s.history
	if next.resetHistory {
		next.compacted = next.revision
		for _, c := range earlier {
			next.batch.Drop = append(next.batch.Drop, changeKey(c.Revision))
		}
		earlier = nil
	}
	excess := max(len(earlier)+len(next.changes)-s.limits.History, 0)
	for _, c := range earlier[:min(excess, len(earlier))] {
		next.compacted = c.Revision
		next.batch.Drop = append(next.batch.Drop, changeKey(c.Revision))
	}
	if excess > len(earlier) { // only the last changes of a long update are retained
		first := excess - len(earlier)
		next.compacted = next.changes[first-1].Revision
		next.changes = next.changes[first:]
	}
	for _, c := range next.changes {
		next.batch.Put = append(next.batch.Put, newEntry(changeKey(c.Revision), c))
	}
	next.batch.Put = append(next.batch.Put, newEntry(revisionKey, stateHeader{Revision: next.revision, Compacted: next.compacted}))
	return next
}

// commit applies a prepared step whose Batch is on disk.
func (s *State) commit(next step) {
	for _, r := range next.resources {
		if r.Removed {
			delete(s.resources, r.Name)
		} else {
			s.resources[r.Name] = r
		}
	}
	for _, name := range next.removed {
		delete(s.resources, name)
	}
	if next.resetHistory {
		s.history = nil
	}
	s.history = append(s.history, next.changes...)
	s.revision, s.compacted = next.revision, next.compacted
	first := len(s.history) - len(s.changesAfter(s.compacted))
	s.history = slices.Delete(s.history, 0, first)
}
