package distribution

import (
	"bytes"
	"slices"
	"time"
)

// Put is an operator's request to change a resource.
type Put struct {
	Name    string `msgpack:"name"`
	Scope   Scope  `msgpack:"scope"`
	Content []byte `msgpack:"content,omitempty"`
	Remove  bool   `msgpack:"remove,omitempty"`
	// If, where set, is the revision that the resource must be at. The zero revision means that
	// the resource must not exist.
	If     *Revision `msgpack:"if,omitempty"`
	Author string    `msgpack:"author,omitempty"`
}

// Step is a prepared change of a State. Its Batch must be on disk before State.Apply applies it.
// Only one Step may be outstanding at a time.
type Step struct{ step step }

// Batch returns the entries that must be on disk before the step is applied.
func (s *Step) Batch() Batch { return s.step.batch }

// Apply applies a prepared step whose Batch is on disk.
func (s *State) Apply(next *Step) { s.commit(next.step) }

// Propose prepares a change of the log in the given epoch. The returned resource has the revision
// that the change gets. A change without effect has a nil Step and returns the current resource,
// which makes a retry after a lost response idempotent. Errors are *InvalidError, *ConflictError,
// *LimitError and, for an epoch that has ended, *FencedError.
func (s *State) Propose(now time.Time, epoch int64, put Put) (Resource, *Step, error) {
	if epoch < s.revision.Epoch {
		return Resource{}, nil, &FencedError{Epoch: epoch, Known: s.revision.Epoch}
	}
	next := Resource{Name: put.Name, Scope: put.Scope.clone(), Content: bytes.Clone(put.Content), Removed: put.Remove,
		Author: put.Author, At: now.UTC(), Revision: Revision{Epoch: epoch, Number: s.revision.Number + 1}}
	if next.Removed {
		next.Scope, next.Content = Scope{}, nil
	}
	next.Hash = hashOf(&next)
	if err := next.Check(); err != nil {
		return Resource{}, nil, err
	}
	current, exists := s.resources[put.Name]
	if exists && current.Hash == next.Hash {
		return current, nil, nil
	}
	if !exists && next.Removed {
		removed, err := s.earlierRemoval(&put)
		return removed, nil, err
	}
	if put.If != nil && *put.If != current.Revision {
		return Resource{}, nil, &ConflictError{Name: put.Name, Want: *put.If, Current: current.Revision}
	}
	if !exists && len(s.resources) >= s.limits.Resources {
		return Resource{}, nil, &LimitError{What: "resources", Limit: s.limits.Resources}
	}
	change := Change{Revision: next.Revision, Name: next.Name, Scope: next.Scope, Removed: next.Removed}
	if exists {
		before := current.Scope
		change.Before = &before
	}
	prepared := s.prepare(step{resources: []Resource{next}, changes: []Change{change}, revision: next.Revision})
	return next, &Step{prepared}, nil
}

// earlierRemoval returns the result for the removal of a resource that does not exist: the tombstone
// of the earlier removal, if the history still holds it, because the removal may be a retry.
// Otherwise the error is a *ConflictError or an *InvalidError.
func (s *State) earlierRemoval(put *Put) (Resource, error) {
	for _, change := range slices.Backward(s.history) {
		if change.Name == put.Name {
			return removedResource(change.Name, change.Revision), nil
		}
	}
	if put.If != nil && !put.If.IsZero() {
		return Resource{}, &ConflictError{Name: put.Name, Want: *put.If}
	}
	return Resource{}, &InvalidError{What: "name", Name: put.Name, Reason: "the resource to remove does not exist"}
}

// Promote prepares the step that makes the State the log of a new epoch, which must be above all
// known ones. Readers of earlier epochs get a snapshot.
func (s *State) Promote(epoch int64) *Step {
	return &Step{s.prepare(step{revision: Revision{Epoch: epoch, Number: s.revision.Number}, resetHistory: true})}
}

// PrepareUpdate prepares the step that applies an update to a relay's copy. It returns nil for an
// update without changes. Errors are *InvalidError for an update that is malformed or does not
// follow the copy's revision, and *FencedError for an update of an earlier epoch.
func (s *State) PrepareUpdate(update Update) (*Step, error) {
	if err := checkUpdate(&update, s.revision); err != nil {
		return nil, err
	}
	if update.Snapshot {
		stored := make(map[string]bool)
		for _, r := range update.Resources {
			stored[r.Name] = true
		}
		next := step{resources: update.Resources, revision: update.Revision, resetHistory: true}
		for name := range s.resources {
			if !stored[name] {
				next.removed = append(next.removed, name)
			}
		}
		return &Step{s.prepare(next)}, nil
	}
	if update.Revision == s.revision {
		return nil, nil
	}
	return &Step{s.prepare(step{resources: update.Resources, changes: update.Changes, revision: update.Revision})}, nil
}

// checkUpdate returns an error if a copy at the held revision must not accept the update.
func checkUpdate(update *Update, held Revision) error {
	switch {
	case update.Revision.Epoch < held.Epoch:
		return &FencedError{Epoch: update.Revision.Epoch, Known: held.Epoch}
	case held.After(update.Revision):
		return update.invalid("it is earlier than the copy's revision " + held.String())
	case update.More || update.Snapshot && !update.After.IsZero():
		return update.invalid("it is incomplete")
	case !update.Snapshot && update.After != held:
		return update.invalid("it continues from " + update.After.String() + "; the copy is at " + held.String())
	case !update.Snapshot && update.Revision.Epoch != held.Epoch && !held.IsZero():
		return update.invalid("a new epoch must begin with a snapshot")
	}
	if err := update.checkResources(); err != nil {
		return err
	}
	return update.checkChanges()
}

// invalid returns an *InvalidError about the update.
func (u *Update) invalid(reason string) error {
	return &InvalidError{What: "update", Name: u.Revision.String(), Reason: reason}
}

// contains reports whether a revision lies within the update.
func (u *Update) contains(revision Revision) bool {
	return revision.After(u.After) && !revision.After(u.Revision)
}

// checkResources returns an *InvalidError unless all resources are valid and lie within the update.
func (u *Update) checkResources() error {
	seen := make(map[string]bool, len(u.Resources))
	for n := range u.Resources {
		r := &u.Resources[n]
		if err := r.Check(); err != nil {
			return err
		}
		if seen[r.Name] || !u.contains(r.Revision) {
			return u.invalid("resource " + r.Name + " is duplicated or lies outside the update; its revision is " + r.Revision.String())
		}
		if u.Snapshot && r.Removed {
			return u.invalid("a snapshot contains the removed resource " + r.Name)
		}
		seen[r.Name] = true
	}
	return nil
}

// checkChanges returns an *InvalidError unless all changes are valid, ordered and lie within the
// update.
func (u *Update) checkChanges() error {
	previous := u.After
	for n := range u.Changes {
		change := &u.Changes[n]
		if !u.contains(change.Revision) || !change.Revision.After(previous) {
			return u.invalid("a change of revision " + change.Revision.String() + " is out of order or outside the update; the revision before it is " + previous.String())
		}
		if err := change.check(); err != nil {
			return err
		}
		previous = change.Revision
	}
	return nil
}

// check validates a change received from another relay.
func (c *Change) check() error {
	if !namePattern.MatchString(c.Name) {
		return &InvalidError{What: "name", Name: c.Name, Reason: "invalid in a change; " + nameRequirement}
	}
	if err := c.Scope.check(c.Name); err != nil {
		return err
	}
	if c.Before == nil {
		return nil
	}
	return c.Before.check(c.Name)
}
