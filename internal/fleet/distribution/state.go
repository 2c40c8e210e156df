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
	History   int // maximum number of changes retained
}

// DefaultLimits returns the limits for a fleet of tens of thousands of servers.
func DefaultLimits() Limits { return Limits{Resources: 20000, History: 20000} }

// Change is an entry of the history: the resource that a revision changed, with its scope before and
// after the change.
type Change struct {
	Revision Revision `msgpack:"revision" json:"revision"`
	Name     string   `msgpack:"name" json:"name"`
	Scope    Scope    `msgpack:"scope" json:"scope"`
	Before   *Scope   `msgpack:"before,omitempty" json:"before,omitempty"` // nil: the resource did not exist
	Removed  bool     `msgpack:"removed,omitempty" json:"removed,omitempty"`
}

// affects reports whether a reader with the interest must receive the change: the resource was in
// the interest before the change or is in it afterwards.
func (c *Change) affects(interest Interest) bool {
	return !c.Removed && interest.Includes(c.Name, c.Scope) || c.Before != nil && interest.Includes(c.Name, *c.Before)
}

// Update is a State's contents, or the changes since an earlier revision.
type Update struct {
	// After is the revision that a delta, or a page of a snapshot, continues from. It is zero
	// on the first page of a snapshot.
	After    Revision `msgpack:"after" json:"after"`
	Revision Revision `msgpack:"revision" json:"revision"` // the reader's revision after the update
	Snapshot bool     `msgpack:"snapshot,omitempty" json:"snapshot,omitempty"`
	// More reports that further pages follow. The reader requests the next page with
	// Query.After at Revision and, for a snapshot, with Query.Began.
	More bool `msgpack:"more,omitempty" json:"more,omitempty"`
	// Began is the revision at which a paged snapshot began.
	Began     Revision       `msgpack:"began" json:"began"`
	Resources List[Resource] `msgpack:"resources,omitempty" json:"resources,omitempty"` // ordered by revision
	Changes   List[Change]   `msgpack:"changes,omitempty" json:"changes,omitempty"`     // only in a delta for a relay
}

// Empty reports whether an update contains only a revision.
func (u *Update) Empty() bool { return !u.Snapshot && len(u.Resources) == 0 && len(u.Changes) == 0 }

// Query is a reader's request to a State.
type Query struct {
	After Revision // revision that the reader holds
	Began Revision // Update.Began of the snapshot that the reader continues; zero if there is none
	Bytes int      // approximate maximum size of the update; 0 means unlimited
	// Interest restricts the update to the resources that it includes; nil requests all resources
	// and, in a delta, the history.
	Interest *Interest
}

// State is the settings of a fleet at one revision, and the history before it. The writer holds the
// authoritative State, and each other relay a copy of it. A State is not safe for concurrent use.
type State struct {
	limits    Limits
	revision  Revision
	compacted Revision // the history holds all changes after this revision
	resources map[string]Resource
	history   []Change // ordered by revision
}

// NewState returns an empty State, which is before the first change.
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

// compareNames orders resources by name.
func compareNames(x, y Resource) int { return strings.Compare(x.Name, y.Name) }

// compareRevisions orders resources by revision, then by name.
func compareRevisions(x, y Resource) int {
	return cmp.Or(x.Revision.Compare(y.Revision), strings.Compare(x.Name, y.Name))
}

// Read answers a query with the changes since the reader's revision or, where the history does not
// reach back that far, with a snapshot. The error is an *AheadError if the reader holds a later
// revision than the State.
func (s *State) Read(query Query) (Update, error) {
	for _, requested := range []Revision{query.After, query.Began} {
		if requested.After(s.revision) {
			return Update{}, &AheadError{Current: s.revision, Requested: requested}
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

// LatestChange returns the revision of the latest change after the given revision that a reader with
// the interest must receive, and false if there is none.
func (s *State) LatestChange(after Revision, interest Interest) (Revision, bool) {
	changes := s.changesAfter(after)
	for n := len(changes) - 1; n >= 0; n-- {
		if changes[n].affects(interest) {
			return changes[n].Revision, true
		}
	}
	return Revision{}, false
}

// delta returns the changes after query.After, which the history must cover.
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

// changedResources returns the current version of each resource that the changes affect. Resources
// that the interest no longer includes are marked as removed.
func (s *State) changedResources(changes []Change, interest *Interest) []Resource {
	latest := make(map[string]Resource)
	for n := range changes {
		change := &changes[n]
		if interest == nil || change.affects(*interest) {
			latest[change.Name] = s.visibleTo(interest, change)
		}
	}
	return slices.SortedFunc(maps.Values(latest), compareRevisions)
}

// visibleTo returns the changed resource as a reader with the interest sees it now. A tombstone has
// the revision of the change that removed the resource from the interest, which is the last change
// that affects the interest: a page that ends between that change and a later one must contain the
// tombstone.
func (s *State) visibleTo(interest *Interest, change *Change) Resource {
	r, exists := s.resources[change.Name]
	if exists && (interest == nil || interest.Includes(r.Name, r.Scope)) {
		return r
	}
	return removedResource(change.Name, change.Revision)
}

// snapshot returns a page of a snapshot that began at query.Began: the resources after query.After.
func (s *State) snapshot(query Query) Update {
	update := Update{Snapshot: true, After: query.After, Revision: s.revision, Began: query.Began}
	for _, r := range s.resources {
		if r.Revision.After(query.After) && (query.Interest == nil || query.Interest.Includes(r.Name, r.Scope)) {
			update.Resources = append(update.Resources, r)
		}
	}
	// Resources of earlier pages may have been removed since; the reader needs their tombstones.
	for _, r := range s.changedResources(s.changesAfter(query.Began), query.Interest) {
		if r.Removed && r.Revision.After(query.After) {
			update.Resources = append(update.Resources, r)
		}
	}
	slices.SortFunc(update.Resources, compareRevisions)
	update.truncate(query.Bytes)
	return update
}
