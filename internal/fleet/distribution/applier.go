package distribution

import (
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"
)

// Rejection reports a revision that an instance rejected.
type Rejection struct {
	Instance string   `msgpack:"instance" json:"instance"`
	Resource string   `msgpack:"resource" json:"resource"`
	Revision Revision `msgpack:"revision" json:"revision"`
	Reason   string   `msgpack:"reason" json:"reason"` // as given by the instance, cut to maxReasonBytes
}

// maxReasonBytes is the maximum length of a Rejection's reason.
const maxReasonBytes = 300

// Applier decides which settings an instance is given, and when. Changes that arrive within the
// coalescing delay are tried in one attempt. If the instance rejects them they are retried one at a
// time, so that a rejected revision neither replaces the last accepted one nor blocks the others. An
// Applier is not safe for concurrent use.
type Applier struct {
	instance string
	coalesce time.Duration

	wanted       map[string]Resource
	accepted     map[string]Resource  // in force: the settings that the instance accepted last
	rejected     map[string]Rejection // by resource; only for revisions that are still wanted
	pendingSince time.Time            // arrival of the first pending change; zero if there is none
	oneByOne     bool                 // after a rejected batch: pending changes are tried one at a time
	attempt      map[string]Resource  // changes of the running attempt, by resource; nil if none is running
}

// NewApplier returns an Applier without settings for the named instance. coalesce is how long a
// change waits for further changes before the attempt.
func NewApplier(instance string, coalesce time.Duration) *Applier {
	return &Applier{instance: instance, coalesce: coalesce, wanted: make(map[string]Resource),
		accepted: make(map[string]Resource), rejected: make(map[string]Rejection)}
}

// SetWanted sets the resources that apply to the instance now.
func (a *Applier) SetWanted(now time.Time, resources []Resource) {
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

// wantedResource returns the wanted resource of a name, with Removed set if none is wanted.
func (a *Applier) wantedResource(name string) Resource {
	if r, ok := a.wanted[name]; ok {
		return r
	}
	return Resource{Name: name, Removed: true}
}

// pending returns the wanted changes that are neither accepted nor rejected, ordered by revision.
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

// Pending reports whether changes wait for an attempt or are part of the running one.
func (a *Applier) Pending() bool { return a.attempt != nil || len(a.pending()) > 0 }

// Due returns the earliest time of the next attempt, and false if no change is pending or an attempt
// is running.
func (a *Applier) Due() (time.Time, bool) {
	if a.attempt != nil || len(a.pending()) == 0 {
		return time.Time{}, false
	}
	if a.oneByOne {
		return a.pendingSince, true
	}
	return a.pendingSince.Add(a.coalesce), true
}

// BeginAttempt starts an attempt and returns the settings to give to the instance, in merge order. The
// caller must end the attempt with EndAttempt or AbandonAttempt before the next call.
func (a *Applier) BeginAttempt() []Resource {
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

// AbandonAttempt ends an attempt without the instance's answer, because the instance exited or another
// operation took it over. The attempt's changes are retried later.
func (a *Applier) AbandonAttempt() { a.attempt = nil }

// EndAttempt ends an attempt with the instance's answer. reason is why the instance rejected the settings.
// The caller must then write what Accepted returns to the instance's settings file.
func (a *Applier) EndAttempt(accepted bool, reason string) {
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

// reject records a rejection, unless the wanted revision has changed since the attempt began: the new
// revision is tried like any other.
func (a *Applier) reject(attempted map[string]Resource, reason string) {
	reason = strings.ToValidUTF8(reason[:min(len(reason), maxReasonBytes)], "")
	for name, r := range attempted {
		if a.wantedResource(name).Revision == r.Revision {
			a.rejected[name] = Rejection{Instance: a.instance, Resource: name, Revision: r.Revision, Reason: reason}
		}
	}
}

// RetryRejected discards the rejections so that their revisions are retried, for example because the
// instance now runs another version of its program.
func (a *Applier) RetryRejected(now time.Time) {
	clear(a.rejected)
	if len(a.pending()) > 0 && a.pendingSince.IsZero() {
		a.pendingSince = now
	}
}

// Accepted returns the settings that the instance accepted last, in merge order.
func (a *Applier) Accepted() []Resource { return mergeOrdered(a.accepted) }

// mergeOrdered returns the resources in merge order.
func mergeOrdered(resources map[string]Resource) []Resource {
	ordered := slices.Collect(maps.Values(resources))
	sortInMergeOrder(ordered)
	return ordered
}

// Rejections returns the rejections that still apply, ordered by resource.
func (a *Applier) Rejections() []Rejection {
	var rejections []Rejection
	for _, name := range slices.Sorted(maps.Keys(a.rejected)) {
		rejections = append(rejections, a.rejected[name])
	}
	return rejections
}

// appliedEntry is the stored form of an Applier.
type appliedEntry struct {
	Accepted   []Resource  `json:"accepted"`
	Rejections []Rejection `json:"refused,omitempty"`
}

// Entry returns the entry that stores the accepted settings and the rejections.
func (a *Applier) Entry() Entry {
	return newEntry(acceptedPrefix+a.instance, appliedEntry{Accepted: a.Accepted(), Rejections: a.Rejections()})
}

// Restore loads the instance's accepted settings and rejections from the stored entries. Until the
// first call of SetWanted the accepted settings are also the wanted ones, so that a restart removes no
// settings from the instance.
func (a *Applier) Restore(entries []Entry) error {
	for _, entry := range entries {
		if entry.Key != acceptedPrefix+a.instance {
			continue
		}
		var stored appliedEntry
		if err := json.Unmarshal(entry.Value, &stored); err != nil {
			return fmt.Errorf("settings: entry %q: %w", entry.Key, err)
		}
		for _, r := range stored.Accepted {
			if err := r.Check(); err != nil {
				return fmt.Errorf("settings: entry %q: %w", entry.Key, err)
			}
			a.accepted[r.Name], a.wanted[r.Name] = r, r
		}
		for _, rejection := range stored.Rejections {
			a.rejected[rejection.Resource] = rejection
		}
	}
	return nil
}
