package distribution

import (
	"encoding/json"
	"fmt"
	"slices"
	"strings"
)

// Entry is a line of what a store keeps; Batch is rows to write and to delete in one
// transaction.
type Entry struct {
	Key   string
	Value []byte
}

// Batch is what must be on disk before the change that it comes with is acted on.
type Batch struct {
	Put  []Entry
	Drop []string // keys
}

// Prefixes of the rows' keys, and the key of the row that holds the revision.
const (
	resourcePrefix = "resource/"
	changePrefix   = "change/"
	revisionKey    = "revision"
)

// stateHeader is the row that says where a State stands.
type stateHeader struct {
	Revision  Revision `json:"revision"`
	Compacted Revision `json:"compacted"`
}

func changeKey(r Revision) string {
	return fmt.Sprintf("%s%020d.%020d", changePrefix, r.Epoch, r.Number)
}

func newEntry(key string, value any) Entry {
	data, err := json.Marshal(value)
	if err != nil {
		panic(err) // types of this package's own
	}
	return Entry{Key: key, Value: data}
}

func resourceEntry(r *Resource) Entry { return newEntry(resourcePrefix+r.Name, r) }

// Restore returns the State that the rows hold. Rows with other keys are left alone.
func Restore(limits Limits, rows []Entry) (*State, error) {
	s := NewState(limits)
	for _, r := range rows {
		var err error
		switch {
		case strings.HasPrefix(r.Key, resourcePrefix):
			var resource Resource
			if err = json.Unmarshal(r.Value, &resource); err == nil {
				err = resource.Check()
			}
			s.resources[resource.Name] = resource
		case strings.HasPrefix(r.Key, changePrefix):
			var change Change
			err = json.Unmarshal(r.Value, &change)
			s.history = append(s.history, change)
		case r.Key == revisionKey:
			var at stateHeader
			err = json.Unmarshal(r.Value, &at)
			s.revision, s.compacted = at.Revision, at.Compacted
		}
		if err != nil {
			return nil, fmt.Errorf("settings: row %q: %w", r.Key, err)
		}
	}
	slices.SortFunc(s.history, func(x, y Change) int { return x.Revision.Compare(y.Revision) })
	return s, nil
}

