package distribution

import (
	"cmp"
	"maps"
	"slices"
	"strings"
)

// Limits bound a State.
type Limits struct {
	Resources int // maximum number of resources
	History   int // number of changes retained
}

// DefaultLimits returns the limits for a fleet of tens of thousands of servers.
func DefaultLimits() Limits { return Limits{Resources: 20000, History: 20000} }

// Change is an entry of the history: a resource that a revision changed, and its scope before and
// after.
type Change struct {
	Revision Revision `msgpack:"revision" json:"revision"`
	Name     string   `msgpack:"name" json:"name"`
	Scope    Scope    `msgpack:"scope" json:"scope"`
	Before   *Scope   `msgpack:"before,omitempty" json:"before,omitempty"` // nil: the resource did not exist
	Removed  bool     `msgpack:"removed,omitempty" json:"removed,omitempty"`
}

// concerns reports whether the interest must receive the change.
func (c *Change) concerns(interest Interest) bool {
	return !c.Removed && interest.Concerned(c.Name, c.Scope) || c.Before != nil && interest.Concerned(c.Name, *c.Before)
}

// Update is a State's contents, or the changes since an earlier revision.
type Update struct {
	// After is the revision that a delta, or a page of a snapshot, continues from. It is zero
	// on the first page of a snapshot.
	After    Revision `msgpack:"after" json:"after"`
	Revision Revision `msgpack:"revision" json:"revision"` // that the reader holds afterwards
	Snapshot bool     `msgpack:"snapshot,omitempty" json:"snapshot,omitempty"`
	// More reports that further pages follow. The reader requests the next page with
	// Query.After at Revision and, for a snapshot, with Query.Began.
	More bool `msgpack:"more,omitempty" json:"more,omitempty"`
	// Began is the revision at which a paged snapshot began.
	Began     Revision       `msgpack:"began" json:"began"`
	Resources List[Resource] `msgpack:"resources,omitempty" json:"resources,omitempty"` // by revision
	Changes   List[Change]   `msgpack:"changes,omitempty" json:"changes,omitempty"`     // of a delta, for relays
}

// Empty reports whether an update brings nothing but its revision.
func (u *Update) Empty() bool { return !u.Snapshot && len(u.Resources) == 0 && len(u.Changes) == 0 }

// Query is a reader's request to a State.
type Query struct {
	After Revision // revision that the reader holds
	Began Revision // of the snapshot that the reader continues; zero: none
	Bytes int      // approximate size of the update; 0: unlimited
	// Interest restricts the update; nil requests everything, with the history.
	Interest *Interest
}

// State is the settings of a fleet at one revision, and the history before it. The writer holds the
// authoritative one, each relay a copy.
type State struct {
	limits    Limits
	revision  Revision
	compacted Revision // the history holds all later changes
	resources map[string]Resource
	history   []Change // by revision
}

// NewState returns a State before the first change.
func NewState(limits Limits) *State {
	return &State{limits: limits, resources: make(map[string]Resource)}
}

// Revision returns the revision of the latest change.
func (s *State) Revision() Revision { return s.revision }

// Resource returns a resource, and false if it does not exist.
func (s *State) Resource(name string) (Resource, bool) {
	r, ok := s.resources[name]
	return r, ok
}

// Resources returns all resources, ordered by name.
func (s *State) Resources() []Resource {
	return slices.SortedFunc(maps.Values(s.resources), compareNames)
}

func compareNames(x, y Resource) int { return strings.Compare(x.Name, y.Name) }

func compareRevisions(x, y Resource) int {
	return cmp.Or(x.Revision.Compare(y.Revision), strings.Compare(x.Name, y.Name))
}

// Read answers a query with the changes since the reader's revision or, where the history does not
// reach back that far, with a snapshot. The error is an *AheadError if the reader holds a later
// revision than the State.
func (s *State) Read(query Query) (Update, error) {
	for _, requested := range []Revision{query.After, query.Began} {
		if requested.After(s.revision) {
			return Update{}, &AheadError{Have: s.revision, Requested: requested}
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

// historyCovers reports whether the history holds all changes since a revision.
func (s *State) historyCovers(after Revision) bool {
	return after.Epoch == s.revision.Epoch && !s.compacted.After(after)
}

// changesAfter returns the part of the history that follows a revision.
func (s *State) changesAfter(after Revision) []Change {
	first, _ := slices.BinarySearchFunc(s.history, after, func(c Change, after Revision) int {
		if c.Revision.After(after) {
			return 1
		}
		return -1
	})
	return s.history[first:]
}

// Concerned returns the revision of the latest change after the given one that the interest must
// receive, and false if there is none.
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

// changedResources returns the current resources of the changes, each once. Those that the interest
// no longer covers are marked as removed.
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

// visibleTo returns the resource of a change as the interest sees it now. A resource that was removed
// has the revision of the change that removed it from the interest, which is the last that concerns
// it: a page that ends between that change and a later one must hold it.
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
	// Resources of earlier pages that have been removed since.
	for _, r := range s.changedResources(s.changesAfter(query.Began), query.Interest) {
		if r.Removed && r.Revision.After(query.After) {
			update.Resources = append(update.Resources, r)
		}
	}
	slices.SortFunc(update.Resources, compareRevisions)
	update.truncate(query.Bytes)
	return update
}
