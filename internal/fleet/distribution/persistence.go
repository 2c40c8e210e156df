package distribution

import (
	"encoding/json"
	"fmt"
	"slices"
	"strings"
)

// Entry is a key and a value in a store.
type Entry struct {
	Key   string
	Value []byte
}

// Batch is a set of entries to write and to delete in one transaction. It must be on disk before
// the change that it belongs to takes effect.
type Batch struct {
	Put  []Entry
	Drop []string // keys
}

// Prefixes of entry keys, and the key of the entry that holds the revision.
const (
	resourcePrefix = "resource/"
	changePrefix   = "change/"
	revisionKey    = "revision"
)

// stateHeader is the stored form of a State without its resources and history.
type stateHeader struct {
	Revision  Revision `json:"revision"`
	Compacted Revision `json:"compacted"`
}

// changeKey returns the key of a change's entry. Keys have the order of the revisions.
func changeKey(r Revision) string {
	return fmt.Sprintf("%s%020d.%020d", changePrefix, r.Epoch, r.Number)
}

// newEntry returns the entry that stores a value as JSON.
func newEntry(key string, value any) Entry {
	data, err := json.Marshal(value)
	if err != nil {
		panic(err) // the types that this package stores always encode
	}
	return Entry{Key: key, Value: data}
}

// resourceEntry returns the entry that stores a resource.
func resourceEntry(r *Resource) Entry { return newEntry(resourcePrefix+r.Name, r) }

// Restore returns the State in the stored entries. Entries with unknown keys are ignored. An entry
// that is not valid is an error.
func Restore(limits Limits, entries []Entry) (*State, error) {
	s := NewState(limits)
	for _, entry := range entries {
		var err error
		switch {
		case strings.HasPrefix(entry.Key, resourcePrefix):
			var resource Resource
			if err = json.Unmarshal(entry.Value, &resource); err == nil {
				err = resource.Check()
			}
			s.resources[resource.Name] = resource
		case strings.HasPrefix(entry.Key, changePrefix):
			var change Change
			err = json.Unmarshal(entry.Value, &change)
			s.history = append(s.history, change)
		case entry.Key == revisionKey:
			var header stateHeader
			err = json.Unmarshal(entry.Value, &header)
			s.revision, s.compacted = header.Revision, header.Compacted
		}
		if err != nil {
			return nil, fmt.Errorf("settings: entry %q: %w", entry.Key, err)
		}
	}
	slices.SortFunc(s.history, func(x, y Change) int { return x.Revision.Compare(y.Revision) })
	return s, nil
}
