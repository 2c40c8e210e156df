package distribution

import "time"

// Put is a change that an operator asks for.
type Put struct {
	Name    string `msgpack:"name"`
	Scope   Scope  `msgpack:"scope"`
	Content []byte `msgpack:"content,omitempty"`
	Remove  bool   `msgpack:"remove,omitempty"`
	// If, where set, is the revision that the resource must be at; zero: it must be new.
	If     *Revision `msgpack:"if,omitempty"`
	Author string    `msgpack:"author,omitempty"`
}

// Step is a change of a State that has to be on disk, by its Batch, before it is made by
// State.Make. While one is outstanding no other may be prepared.
type Step struct{ step step }

// Batch returns what has to be on disk first.
func (s *Step) Batch() Batch { return s.step.batch }

// Make makes a prepared step whose Batch is on disk.
func (s *State) Make(next *Step) { s.take(next.step) }

// Propose works out a change of the log in the given epoch. A change that would change
// nothing has a nil Step: whoever asks again after a lost answer is answered with what is. The
// returned resource has the revision that the change gets. Errors are of *InvalidError,
// *ConflictError, *LimitError.
func (s *State) Propose(now time.Time, epoch int64, put Put) (Resource, *Step, error) {
	next := Resource{Name: put.Name, Scope: put.Scope.clone(), Content: put.Content, Removed: put.Remove,
		Author: put.Author, At: now.UTC(), Revision: Revision{Epoch: epoch, Number: s.revision.Number + 1}}
	if next.Removed {
		next.Scope, next.Content = Scope{}, nil
	}
	next.Hash = hashOf(&next)
	if err := next.Check(); err != nil {
		return Resource{}, nil, err
	}
	current, there := s.resources[put.Name]
	if there && current.Hash == next.Hash {
		return current, nil, nil
	}
	if !there && next.Removed {
		return Resource{}, nil, &ConflictError{Name: put.Name, Want: orZero(put.If)}
	}
	if put.If != nil && *put.If != current.Revision {
		return Resource{}, nil, &ConflictError{Name: put.Name, Want: *put.If, Current: current.Revision}
	}
	if !there && len(s.resources) >= s.limits.Resources {
		return Resource{}, nil, &LimitError{What: "resources", Most: s.limits.Resources}
	}
	change := Change{Revision: next.Revision, Name: next.Name, Scope: next.Scope, Removed: next.Removed}
	if there {
		before := current.Scope
		change.Before = &before
	}
	prepared := s.prepare(step{resources: []Resource{next}, changes: []Change{change}, revision: next.Revision})
	return next, &Step{prepared}, nil
}

func orZero(r *Revision) Revision {
	if r == nil {
		return Revision{}
	}
	return *r
}

// Promote works out the step by which the State becomes the log of a new epoch, above all
// that are known. Readers of earlier epochs get a snapshot.
func (s *State) Promote(epoch int64) *Step {
	return &Step{s.prepare(step{revision: Revision{Epoch: epoch, Number: s.revision.Number}, fresh: true})}
}

// Follow works out the step by which a relay's copy takes an update. It returns nil for one
// that brings nothing. Errors are of *InvalidError where the update can't be, and of
// *FencedError where it is of an earlier epoch; the copy stays as it is.
func (s *State) Follow(update Update) (*Step, error) {
	if err := checkUpdate(&update, s.revision); err != nil {
		return nil, err
	}
	if update.Snapshot {
		kept := make(map[string]bool)
		for _, r := range update.Resources {
			kept[r.Name] = true
		}
		next := step{resources: update.Resources, revision: update.Revision, fresh: true}
		for name := range s.resources {
			if !kept[name] {
				next.drop = append(next.drop, name)
			}
		}
		return &Step{s.prepare(next)}, nil
	}
	if update.Revision == s.revision {
		return nil, nil
	}
	return &Step{s.prepare(step{resources: update.Resources, changes: update.Changes, revision: update.Revision})}, nil
}

// checkUpdate says whether a copy at held may take an update.
func checkUpdate(update *Update, held Revision) error {
	invalid := func(reason string) error {
		return &InvalidError{What: "update", Name: update.Revision.String(), Reason: reason}
	}
	switch {
	case update.Revision.Epoch < held.Epoch:
		return &FencedError{Epoch: update.Revision.Epoch, Known: held.Epoch}
	case held.After(update.Revision):
		return invalid("it goes back behind " + held.String())
	case update.More:
		return invalid("it is not whole")
	case !update.Snapshot && update.After != held:
		return invalid("it goes on from " + update.After.String() + " and not from " + held.String())
	case !update.Snapshot && update.Revision.Epoch != held.Epoch && !held.IsZero():
		return invalid("a new epoch begins with a snapshot")
	}
	seen := make(map[string]bool)
	for n := range update.Resources {
		r := &update.Resources[n]
		if err := r.Check(); err != nil {
			return err
		}
		if seen[r.Name] || r.Revision.After(update.Revision) {
			return invalid("resource " + r.Name + " is there twice or of a later revision")
		}
		seen[r.Name] = true
	}
	for _, c := range update.Changes {
		if !c.Revision.After(update.After) || c.Revision.After(update.Revision) {
			return invalid("a change of revision " + c.Revision.String())
		}
	}
	return nil
}
