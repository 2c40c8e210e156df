package distribution

import (
	"slices"
)

// step is a change of a State that was worked out and not made yet.
type step struct {
	batch        Batch
	resources    []Resource // removed ones are taken out
	removed      []string   // resources that are there no more, beside those
	changes      []Change
	revision     Revision
	compacted    Revision
	resetHistory bool // a snapshot: the history begins anew
}

// prepare works out the rows of a step.
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
	old := s.history
	if next.resetHistory {
		next.compacted = next.revision
		for _, c := range old {
			next.batch.Drop = append(next.batch.Drop, changeKey(c.Revision))
		}
		old = nil
	}
	over := max(len(old)+len(next.changes)-s.limits.History, 0)
	for _, c := range old[:min(over, len(old))] {
		next.compacted = c.Revision
		next.batch.Drop = append(next.batch.Drop, changeKey(c.Revision))
	}
	if over > len(old) { // a long update: of its changes too only the last are kept
		first := over - len(old)
		next.compacted = next.changes[first-1].Revision
		next.changes = next.changes[first:]
	}
	for _, c := range next.changes {
		next.batch.Put = append(next.batch.Put, newEntry(changeKey(c.Revision), c))
	}
	next.batch.Put = append(next.batch.Put, newEntry(revisionKey, stateHeader{Revision: next.revision, Compacted: next.compacted}))
	return next
}

// commit makes a step that was prepared and is on disk.
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
