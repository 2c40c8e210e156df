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
	Reason   string   `msgpack:"reason" json:"reason"` // the instance's own, maxReason bytes
}

// maxReason bounds a refusal's reason, in bytes.
const maxReason = 300

// Applier decides which settings one instance is given when. Changes that come within a short
// time are tried together. Where the instance refuses them they are tried one at a time, so
// that a refused revision neither replaces the last accepted one nor keeps others back.
type Applier struct {
	instance string
	coalesce time.Duration

	wanted   map[string]Resource
	accepted map[string]Resource  // in force, the last that the instance took
	refused  map[string]Rejection // by resource; of the revision that is wanted
	since    time.Time            // when the first of the pending changes came
	alone    bool                 // pending changes are tried one at a time
	trying   map[string]Resource  // wanted ones of the attempt, Removed where they are to go
}

// NewApplier returns an Applier without settings. coalesce is how long a change waits for
// others.
func NewApplier(instance string, coalesce time.Duration) *Applier {
	return &Applier{instance: instance, coalesce: coalesce, wanted: make(map[string]Resource),
		accepted: make(map[string]Resource), refused: make(map[string]Rejection)}
}

// Want tells which resources concern the instance now.
func (a *Applier) Want(now time.Time, resources []Resource) {
	a.wanted = make(map[string]Resource, len(resources))
	for _, r := range resources {
		a.wanted[r.Name] = r
	}
	maps.DeleteFunc(a.refused, func(name string, refusal Rejection) bool {
		return a.wantedNow(name).Revision != refusal.Revision
	})
	switch {
	case len(a.pending()) == 0:
		a.since, a.alone = time.Time{}, false
	case a.since.IsZero():
		a.since = now
	}
}

// wantedNow is the wanted resource of a name, Removed where none is wanted.
func (a *Applier) wantedNow(name string) Resource {
	if r, ok := a.wanted[name]; ok {
		return r
	}
	return Resource{Name: name, Removed: true}
}

// pending returns what is wanted and neither accepted nor refused, by revision.
func (a *Applier) pending() []Resource {
	var pending []Resource
	for name, r := range a.wanted {
		if _, refused := a.refused[name]; !refused && !sameRevision(a.accepted[name], r) {
			pending = append(pending, r)
		}
	}
	for name := range a.accepted {
		if _, wanted := a.wanted[name]; !wanted {
			if _, refused := a.refused[name]; !refused {
				pending = append(pending, a.wantedNow(name))
			}
		}
	}
	slices.SortFunc(pending, compareRevisions)
	return pending
}

// Pending says whether changes wait to be tried or are being tried.
func (a *Applier) Pending() bool { return a.trying != nil || len(a.pending()) > 0 }

// Due is when the next attempt may begin; false if there is nothing to try.
func (a *Applier) Due() (time.Time, bool) {
	if a.trying != nil || len(a.pending()) == 0 {
		return time.Time{}, false
	}
	if a.alone {
		return a.since, true
	}
	return a.since.Add(a.coalesce), true
}

// Begin begins an attempt, and returns the settings that it gives the instance in the order
// in which they are merged. Done must follow.
func (a *Applier) Begin() []Resource {
	pending := a.pending()
	if a.alone && len(pending) > 1 {
		pending = pending[:1]
	}
	a.trying = make(map[string]Resource, len(pending))
	next := maps.Clone(a.accepted)
	for _, r := range pending {
		a.trying[r.Name] = r
		if r.Removed {
			delete(next, r.Name)
		} else {
			next[r.Name] = r
		}
	}
	return merged(next)
}

// Abandon ends an attempt that came to no answer: the instance ended, or an operation took
// it. The same is tried again later.
func (a *Applier) Abandon() { a.trying = nil }

// Done ends an attempt with the instance's answer. Afterwards Accepted is what has to be in
// the instance's file.
func (a *Applier) Done(accepted bool, reason string) {
	trying := a.trying
	a.trying = nil
	switch {
	case accepted:
		for name, r := range trying {
			if r.Removed {
				delete(a.accepted, name)
			} else {
				a.accepted[name] = r
			}
		}
	case len(trying) > 1:
		a.alone = true
	default:
		a.refuse(trying, reason)
	}
	if len(a.pending()) == 0 {
		a.since, a.alone = time.Time{}, false
	}
}

// refuse notes what the instance turned down, unless another revision of it, or none, is
// wanted by now: that is tried as if nothing had been refused.
func (a *Applier) refuse(tried map[string]Resource, reason string) {
	reason = strings.ToValidUTF8(reason[:min(len(reason), maxReason)], "")
	for name, r := range tried {
		if a.wantedNow(name).Revision == r.Revision {
			a.refused[name] = Rejection{Instance: a.instance, Resource: name, Revision: r.Revision, Reason: reason}
		}
	}
}

// Forgive lets refused revisions be tried again: the instance runs another program.
func (a *Applier) Forgive(now time.Time) {
	clear(a.refused)
	if len(a.pending()) > 0 && a.since.IsZero() {
		a.since = now
	}
}

// Accepted returns the settings that the instance took last, in the order in which they are
// merged.
func (a *Applier) Accepted() []Resource { return merged(a.accepted) }

func merged(resources map[string]Resource) []Resource {
	ordered := slices.Collect(maps.Values(resources))
	inMergeOrder(ordered)
	return ordered
}

// Rejections returns the refusals that stand, by resource.
func (a *Applier) Rejections() []Rejection {
	var refusals []Rejection
	for _, name := range slices.Sorted(maps.Keys(a.refused)) {
		refusals = append(refusals, a.refused[name])
	}
	return refusals
}

// appliedEntry keeps what an instance accepted and refused.
type appliedEntry struct {
	Accepted   []Resource  `json:"accepted"`
	Rejections []Rejection `json:"refused,omitempty"`
}

// Entry is the row that keeps what the instance accepted and refused.
func (a *Applier) Entry() Entry {
	return row(acceptedPrefix+a.instance, appliedEntry{Accepted: a.Accepted(), Rejections: a.Rejections()})
}

// Restore takes over what the rows hold of the instance. Until Want says otherwise the accepted
// settings are the wanted ones, so that a restart takes nothing out of force.
func (a *Applier) Restore(rows []Entry) error {
	for _, line := range rows {
		if line.Key != acceptedPrefix+a.instance {
			continue
		}
		var kept appliedEntry
		if err := json.Unmarshal(line.Value, &kept); err != nil {
			return fmt.Errorf("settings: row %q: %w", line.Key, err)
		}
		for _, r := range kept.Accepted {
			if err := r.Check(); err != nil {
				return fmt.Errorf("settings: row %q: %w", line.Key, err)
			}
			a.accepted[r.Name], a.wanted[r.Name] = r, r
		}
		for _, refusal := range kept.Rejections {
			a.refused[refusal.Resource] = refusal
		}
	}
	return nil
}
