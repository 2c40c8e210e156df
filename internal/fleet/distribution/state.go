package distribution

import (
	"cmp"
	"maps"
	"slices"
	"strings"
)

// Limits bound a State.
type Limits struct {
	Resources int // that are there at once
	History   int // changes that are kept
}

// DefaultLimits are those of a fleet of tens of thousands of servers.
func DefaultLimits() Limits { return Limits{Resources: 20000, History: 20000} }

// Change is a line of the history: which resource a revision concerns, and whom it concerned
// before.
type Change struct {
	Revision Revision `msgpack:"revision" json:"revision"`
	Name     string   `msgpack:"name" json:"name"`
	Scope    Scope    `msgpack:"scope" json:"scope"`
	Before   *Scope   `msgpack:"before,omitempty" json:"before,omitempty"` // nil: it was not there
	Removed  bool     `msgpack:"removed,omitempty" json:"removed,omitempty"`
}

// concerns says whether the change has to reach the interest.
func (c *Change) concerns(interest Interest) bool {
	return !c.Removed && interest.Concerned(c.Name, c.Scope) || c.Before != nil && interest.Concerned(c.Name, *c.Before)
}

// Update is a part of a State, or what changed in it.
type Update struct {
	// After is the revision that a delta, or a page of a snapshot, goes on from. It is zero
	// where a snapshot begins.
	After    Revision `msgpack:"after" json:"after"`
	Revision Revision `msgpack:"revision" json:"revision"` // that the reader holds then
	Snapshot bool     `msgpack:"snapshot,omitempty" json:"snapshot,omitempty"`
	// More says that the update goes on: the reader asks again with Query.After at Revision
	// and, of a snapshot, with Query.Began.
	More bool `msgpack:"more,omitempty" json:"more,omitempty"`
	// Began is the revision at which a snapshot that goes on was begun.
	Began     Revision       `msgpack:"began" json:"began"`
	Resources List[Resource] `msgpack:"resources,omitempty" json:"resources,omitempty"` // by revision
	Changes   List[Change]   `msgpack:"changes,omitempty" json:"changes,omitempty"`     // of a delta, for relays
}

// Empty says that an update brings nothing but its revision.
func (u *Update) Empty() bool { return !u.Snapshot && len(u.Resources) == 0 && len(u.Changes) == 0 }

// Query is what a reader asks a State for.
type Query struct {
	After Revision // that the reader holds
	Began Revision // of a snapshot that the reader goes on with; zero: none
	Bytes int      // of one update, about; 0: no bound
	// Interest narrows the answer down; nil is everything, with the history.
	Interest *Interest
}

// State is the settings of a fleet at a revision with the history before it: the writer's, or
// a relay's copy.
type State struct {
	limits    Limits
	revision  Revision
	compacted Revision // the history holds what came after it
	resources map[string]Resource
	history   []Change // by revision
}

// NewState returns a State before the first change.
func NewState(limits Limits) *State {
	return &State{limits: limits, resources: make(map[string]Resource)}
}

// Revision is that of the latest change.
func (s *State) Revision() Revision { return s.revision }

// Resource returns a resource that is there.
func (s *State) Resource(name string) (Resource, bool) {
	r, ok := s.resources[name]
	return r, ok
}

// Resources returns all resources by name.
func (s *State) Resources() []Resource {
	return slices.SortedFunc(maps.Values(s.resources), compareNames)
}

func compareNames(x, y Resource) int { return strings.Compare(x.Name, y.Name) }

func compareRevisions(x, y Resource) int {
	return cmp.Or(x.Revision.Compare(y.Revision), strings.Compare(x.Name, y.Name))
}

// Read answers a reader: with what changed after the revision that it holds or, where the
// history does not hold that, with a snapshot. The error is of *AheadError where the reader
// holds more than the State.
func (s *State) Read(query Query) (Update, error) {
	for _, asked := range []Revision{query.After, query.Began} {
		if asked.After(s.revision) {
			return Update{}, &AheadError{Have: s.revision, Requested: asked}
		}
	}
	if !query.Began.IsZero() && s.historyCovers(query.Began) {
		return s.snapshot(query), nil
	}
	if query.Began.IsZero() && s.historyCovers(query.After) {
		return s.delta(query), nil
	}
	query.After, query.Began = Revision{}, s.revision
	return s.snapshot(query), nil
}

// historyCovers says whether the history holds all that came after a revision.
func (s *State) historyCovers(after Revision) bool {
	return after.Epoch == s.revision.Epoch && !s.compacted.After(after)
}

// changesAfter is the end of the history.
func (s *State) changesAfter(after Revision) []Change {
	first, _ := slices.BinarySearchFunc(s.history, after, func(c Change, after Revision) int {
		if c.Revision.After(after) {
			return 1
		}
		return -1
	})
	return s.history[first:]
}

// Concerned returns the revision of the latest change after the given one that concerns the
// interest, and false if none does.
func (s *State) Concerned(after Revision, interest Interest) (Revision, bool) {
	changes := s.changesAfter(after)
	for n := len(changes) - 1; n >= 0; n-- {
		if changes[n].concerns(interest) {
			return changes[n].Revision, true
		}
	}
	return Revision{}, false
}

func (s *State) delta(query Query) Update {
	changes := s.changesAfter(query.After)
	update := Update{After: query.After, Revision: s.revision}
	update.Resources = s.changedResources(changes, query.Interest)
	if query.Interest == nil {
		update.Changes = slices.Clone(changes)
	}
	update.truncate(query.Bytes)
	return update
}

// changedResources returns the resources of the changes as they are now, each once, and marks those
// that are there no more for the interest as removed.
func (s *State) changedResources(changes []Change, interest *Interest) []Resource {
	latest := make(map[string]Resource)
	for n := range changes {
		change := &changes[n]
		if interest == nil || change.concerns(*interest) {
			latest[change.Name] = s.visibleTo(interest, change)
		}
	}
	return slices.SortedFunc(maps.Values(latest), compareRevisions)
}

// visibleTo is the resource of a change as the interest sees it now. Where it is there no more, it
// has the revision of the change that took it away from the interest, the last that concerns
// it: a page that ends between that and a later change must hold it.
func (s *State) visibleTo(interest *Interest, change *Change) Resource {
	r, exists := s.resources[change.Name]
	if exists && (interest == nil || interest.Concerned(r.Name, r.Scope)) {
		return r
	}
	return removedResource(change.Name, change.Revision)
}

func (s *State) snapshot(query Query) Update {
	update := Update{Snapshot: true, After: query.After, Revision: s.revision, Began: query.Began}
	for _, r := range s.resources {
		if r.Revision.After(query.After) && (query.Interest == nil || query.Interest.Concerned(r.Name, r.Scope)) {
			update.Resources = append(update.Resources, r)
		}
	}
	// What the reader got before and is there no more.
	for _, r := range s.changedResources(s.changesAfter(query.Began), query.Interest) {
		if r.Removed && r.Revision.After(query.After) {
			update.Resources = append(update.Resources, r)
		}
	}
	slices.SortFunc(update.Resources, compareRevisions)
	update.truncate(query.Bytes)
	return update
}

