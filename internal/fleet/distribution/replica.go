package distribution

import (
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"strings"
)

// Replica is a subscriber's copy of the settings: the resources whose scope selects one of its
// instances. A Replica is not safe for concurrent use.
type Replica struct {
	revision  Revision
	epoch     int64  // the highest known epoch; updates of lower epochs are rejected
	interest  string // key of the interest that the copy was made for
	resources map[string]Resource
}

// NewReplica returns an empty copy for an interest.
func NewReplica(interest Interest) *Replica {
	return &Replica{interest: interest.key(), resources: make(map[string]Resource)}
}

// Revision returns the revision that the copy holds.
func (r *Replica) Revision() Revision { return r.revision }

// Apply applies a complete update and reports whether it changed any resource. Errors are
// *InvalidError and *FencedError; the copy is then unchanged.
func (r *Replica) Apply(update Update) (changed bool, err error) {
	if update.Revision.Epoch < r.epoch {
		return false, &FencedError{Epoch: update.Revision.Epoch, Known: r.epoch}
	}
	if err := checkUpdate(&update, r.revision); err != nil {
		return false, err
	}
	if update.Snapshot {
		before := r.resources
		r.resources = make(map[string]Resource)
		for _, resource := range update.Resources {
			r.resources[resource.Name] = resource
		}
		r.setRevision(update.Revision)
		return !maps.EqualFunc(before, r.resources, sameRevision), nil
	}
	for _, resource := range update.Resources {
		if resource.Removed {
			delete(r.resources, resource.Name)
		} else {
			r.resources[resource.Name] = resource
		}
	}
	r.setRevision(update.Revision)
	return len(update.Resources) > 0, nil
}

func (r *Replica) setRevision(revision Revision) { r.revision, r.epoch = revision, revision.Epoch }

func sameRevision(x, y Resource) bool { return x.Revision == y.Revision && x.Hash == y.Hash }

// ResourcesFor returns the resources that apply to an instance of the host, in merge order.
func (r *Replica) ResourcesFor(host string, labels map[string]string) []Resource {
	var matching []Resource
	for _, resource := range r.resources {
		if resource.Scope.Matches(resource.Name, host, labels) {
			matching = append(matching, resource)
		}
	}
	sortInMergeOrder(matching)
	return matching
}

// key returns a text that is the same for two interests only if they are equal.
func (i Interest) key() string {
	text, err := json.Marshal(i)
	if err != nil {
		panic(err) // an interest contains only strings, which always encode
	}
	return string(text)
}

// Keys of a subscriber's stored entries.
const (
	replicaKey     = "replica"
	replicaPrefix  = "replica/"
	acceptedPrefix = "accepted/"
)

// replicaHeader is the stored form of a Replica without its resources.
type replicaHeader struct {
	Revision Revision `json:"revision"`
	Epoch    int64    `json:"epoch"`
	Interest string   `json:"interest"`
}

// Batch returns the entries that store the copy. before is the copy as it was last stored, or nil if
// it has not been stored.
func (r *Replica) Batch(before *Replica) Batch {
	batch := Batch{Put: []Entry{newEntry(replicaKey, replicaHeader{Revision: r.revision, Epoch: r.epoch, Interest: r.interest})}}
	for name, resource := range r.resources {
		if before == nil || !sameRevision(before.resources[name], resource) {
			batch.Put = append(batch.Put, newEntry(replicaPrefix+name, resource))
		}
	}
	if before == nil {
		return batch
	}
	for name := range before.resources {
		if _, exists := r.resources[name]; !exists {
			batch.Drop = append(batch.Drop, replicaPrefix+name)
		}
	}
	return batch
}

// Clone returns a copy of the replica, such as the one to pass to Batch later.
func (r *Replica) Clone() *Replica {
	return &Replica{revision: r.revision, epoch: r.epoch, interest: r.interest, resources: maps.Clone(r.resources)}
}

// RestoreReplica returns the copy in the stored entries. A copy made for another interest has no
// revision, so that the next update is a snapshot; its epoch is retained.
func RestoreReplica(interest Interest, entries []Entry) (*Replica, error) {
	r := NewReplica(interest)
	for _, entry := range entries {
		var err error
		switch {
		case entry.Key == replicaKey:
			var stored replicaHeader
			err = json.Unmarshal(entry.Value, &stored)
			r.epoch = stored.Epoch
			if stored.Interest == r.interest {
				r.revision = stored.Revision
			}
		case strings.HasPrefix(entry.Key, replicaPrefix):
			var resource Resource
			if err = json.Unmarshal(entry.Value, &resource); err == nil {
				err = resource.Check()
			}
			r.resources[resource.Name] = resource
		}
		if err != nil {
			return nil, fmt.Errorf("settings: entry %q: %w", entry.Key, err)
		}
	}
	return r, nil
}

// Names returns the names of the copy's resources, sorted.
func (r *Replica) Names() []string { return slices.Sorted(maps.Keys(r.resources)) }
