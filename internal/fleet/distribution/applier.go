package distribution

import (
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"
)

// Rejection is a revision that an instance turned down.
type Rejection struct {
	Instance string   `msgpack:"instance" json:"instance"`
	Resource string   `msgpack:"resource" json:"resource"`
	Revision Revision `msgpack:"revision" json:"revision"`
	Reason   string   `msgpack:"reason" json:"reason"` // the instance's own, maxReasonBytes bytes
}

// maxReasonBytes bounds a refusal's reason, in bytes.
const maxReasonBytes = 300

// Applier decides which settings one instance is given when. Changes that come within a short
// time are tried together. Where the instance refuses them they are tried one at a time, so
// that a refused revision neither replaces the last accepted one nor keeps others back.
type Applier struct {
	instance string
	coalesce time.Duration

	wanted       map[string]Resource
	accepted     map[string]Resource  // in force, the last that the instance took
	rejected     map[string]Rejection // by resource; of the revision that is wanted
	pendingSince time.Time            // when the first of the pending changes came
	oneByOne     bool                 // pending changes are tried one at a time
	attempt      map[string]Resource  // wanted ones of the attempt, Removed where they are to go
}

// NewApplier returns an Applier without settings. coalesce is how long a change waits for
// others.
func NewApplier(instance string, coalesce time.Duration) *Applier {
	return &Applier{instance: instance, coalesce: coalesce, wanted: make(map[string]Resource),
		accepted: make(map[string]Resource), rejected: make(map[string]Rejection)}
}

// Want tells which resources concern the instance now.
func (a *Applier) Want(now time.Time, resources []Resource) {
	a.wanted = make(map[string]Resource, len(resources))
	for _, r := range resources {
		a.wanted[r.Name] = r
	}
	maps.DeleteFunc(a.rejected, func(name string, rejection Rejection) bool {
		return a.wantedResource(name).Revision != rejection.Revision
	})
	switch {
	case len(a.pending()) == 0:
		a.pendingSince, a.oneByOne = time.Time{}, false
	case a.pendingSince.IsZero():
		a.pendingSince = now
	}
}

// wantedResource is the wanted resource of a name, Removed where none is wanted.
func (a *Applier) wantedResource(name string) Resource {
	if r, ok := a.wanted[name]; ok {
		return r
	}
	return Resource{Name: name, Removed: true}
}

// pending returns what is wanted and neither accepted nor refused, by revision.
func (a *Applier) pending() []Resource {
	var pending []Resource
	for name, r := range a.wanted {
		if _, rejected := a.rejected[name]; !rejected && !sameRevision(a.accepted[name], r) {
			pending = append(pending, r)
		}
	}
	for name := range a.accepted {
		if _, wanted := a.wanted[name]; !wanted {
			if _, rejected := a.rejected[name]; !rejected {
				pending = append(pending, a.wantedResource(name))
			}
		}
	}
	slices.SortFunc(pending, compareRevisions)
	return pending
}

// Pending says whether changes wait to be tried or are being tried.
func (a *Applier) Pending() bool { return a.attempt != nil || len(a.pending()) > 0 }

// Due is when the next attempt may begin; false if there is nothing to try.
func (a *Applier) Due() (time.Time, bool) {
	if a.attempt != nil || len(a.pending()) == 0 {
		return time.Time{}, false
	}
	if a.oneByOne {
		return a.pendingSince, true
	}
	return a.pendingSince.Add(a.coalesce), true
}

// Begin begins an attempt, and returns the settings that it gives the instance in the order
// in which they are merged. Done must follow.
func (a *Applier) Begin() []Resource {
	pending := a.pending()
	if a.oneByOne && len(pending) > 1 {
		pending = pending[:1]
	}
	a.attempt = make(map[string]Resource, len(pending))
	next := maps.Clone(a.accepted)
	for _, r := range pending {
		a.attempt[r.Name] = r
		if r.Removed {
			delete(next, r.Name)
		} else {
			next[r.Name] = r
		}
	}
	return mergeOrdered(next)
}

// Abandon ends an attempt that came to no answer: the instance ended, or an operation took
// it. The same is tried again later.
func (a *Applier) Abandon() { a.attempt = nil }

// Done ends an attempt with the instance's answer. Afterwards Accepted is what has to be in
// the instance's file.
func (a *Applier) Done(accepted bool, reason string) {
	attempt := a.attempt
	a.attempt = nil
	switch {
	case accepted:
		for name, r := range attempt {
			if r.Removed {
				delete(a.accepted, name)
			} else {
				a.accepted[name] = r
			}
		}
	case len(attempt) > 1:
		a.oneByOne = true
	default:
		a.reject(attempt, reason)
	}
	if len(a.pending()) == 0 {
		a.pendingSince, a.oneByOne = time.Time{}, false
	}
}

// reject notes what the instance turned down, unless another revision of it, or none, is
// wanted by now: that is tried as if nothing had been refused.
func (a *Applier) reject(tried map[string]Resource, reason string) {
	reason = strings.ToValidUTF8(reason[:min(len(reason), maxReasonBytes)], "")
	for name, r := range tried {
		if a.wantedResource(name).Revision == r.Revision {
			a.rejected[name] = Rejection{Instance: a.instance, Resource: name, Revision: r.Revision, Reason: reason}
		}
	}
}

// Forgive lets refused revisions be tried again: the instance runs another program.
func (a *Applier) Forgive(now time.Time) {
	clear(a.rejected)
	if len(a.pending()) > 0 && a.pendingSince.IsZero() {
		a.pendingSince = now
	}
}

// Accepted returns the settings that the instance took last, in the order in which they are
// merged.
func (a *Applier) Accepted() []Resource { return mergeOrdered(a.accepted) }

func mergeOrdered(resources map[string]Resource) []Resource {
	ordered := slices.Collect(maps.Values(resources))
	inMergeOrder(ordered)
	return ordered
}

// Rejections returns the refusals that stand, by resource.
func (a *Applier) Rejections() []Rejection {
	var rejections []Rejection
	for _, name := range slices.Sorted(maps.Keys(a.rejected)) {
		rejections = append(rejections, a.rejected[name])
	}
	return rejections
}

// appliedEntry keeps what an instance accepted and refused.
type appliedEntry struct {
	Accepted   []Resource  `json:"accepted"`
	Rejections []Rejection `json:"refused,omitempty"`
}

// Entry is the row that keeps what the instance accepted and refused.
func (a *Applier) Entry() Entry {
	return newEntry(acceptedPrefix+a.instance, appliedEntry{Accepted: a.Accepted(), Rejections: a.Rejections()})
}

// Restore takes over what the rows hold of the instance. Until Want says otherwise the accepted
// settings are the wanted ones, so that a restart takes nothing out of force.
func (a *Applier) Restore(rows []Entry) error {
	for _, line := range rows {
		if line.Key != acceptedPrefix+a.instance {
			continue
		}
		var stored appliedEntry
		if err := json.Unmarshal(line.Value, &stored); err != nil {
			return fmt.Errorf("settings: row %q: %w", line.Key, err)
		}
		for _, r := range stored.Accepted {
			if err := r.Check(); err != nil {
				return fmt.Errorf("settings: row %q: %w", line.Key, err)
			}
			a.accepted[r.Name], a.wanted[r.Name] = r, r
		}
		for _, rejection := range stored.Rejections {
			a.rejected[rejection.Resource] = rejection
		}
	}
	return nil
}
