package distribution

import (
	"cmp"
	"fmt"
	"strconv"
	"strings"
)

// Revision is the position of a change in the total order of all changes of a fleet's settings. The
// zero value is before the first change.
type Revision struct {
	// Epoch is the writer's term; each promotion of a writer raises it.
	Epoch int64 `msgpack:"e" json:"epoch"`
	// Number counts the changes of all epochs.
	Number int64 `msgpack:"n" json:"number"`
}

// Compare returns -1, 0 or 1 as r is before, at or after other.
func (r Revision) Compare(other Revision) int {
	return cmp.Or(cmp.Compare(r.Epoch, other.Epoch), cmp.Compare(r.Number, other.Number))
}

// After reports whether r is after other.
func (r Revision) After(other Revision) bool { return r.Compare(other) > 0 }

// IsZero reports whether r is before the first change.
func (r Revision) IsZero() bool { return r == Revision{} }

// String returns the form that ParseRevision accepts, such as "1.42".
func (r Revision) String() string { return fmt.Sprintf("%d.%d", r.Epoch, r.Number) }

// ParseRevision parses the form of String and no other: no signs and no leading zeros.
func ParseRevision(text string) (Revision, error) {
	epoch, number, _ := strings.Cut(text, ".")
	e, errEpoch := strconv.ParseUint(epoch, 10, 63)
	n, errNumber := strconv.ParseUint(number, 10, 63)
	revision := Revision{Epoch: int64(e), Number: int64(n)}
	if errEpoch != nil || errNumber != nil || revision.String() != text {
		return Revision{}, &InvalidError{What: "revision", Name: text, Reason: "want EPOCH.NUMBER, such as 1.42"}
	}
	return revision, nil
}
