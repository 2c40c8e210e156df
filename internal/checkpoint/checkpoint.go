// Package checkpoint keeps what one sidecar has learned on a disk that lasts, for its next
// life, also after a power loss. It owns one file: written whole by a rename after a sync,
// with a version, a checksum and the sidecar's name. A file that is torn, empty, too old,
// of another version or another sidecar is told for what it is and left aside; nothing
// depends on one. What of it is still true is not decided here, see recovery.Kept.
package checkpoint

import (
	"encoding/json"
	"errors"
	"fmt"
	"hash/crc32"
	"io"
	"io/fs"
	"os"
	"time"

	"github.com/google/renameio/v2"

	"martendrum"
	"martendrum/internal/handover"
)

const (
	// Version changes with the meaning of any field.
	Version = 1
	// MaxFileSize is the longest file, in bytes.
	MaxFileSize = handover.MaxSnapshotSize + 4<<10
	// MaxAge is how old a file may be: past it a start from nothing knows as much.
	MaxAge = 24 * time.Hour
)

// Checkpoint is what is kept.
type Checkpoint struct {
	Name        string                  `json:"name"`   // of the sidecar, by its address
	SavedAt     int64                   `json:"saved"`  // Unix time in ms
	Incarnation uint64                  `json:"life"`   // its number among peers
	Demand      float64                 `json:"demand"` // requests a second that usually come
	Learned     martendrum.LearnedState `json:"learned"`
}

// Reason a file is not trusted.
type Reason string

// The reasons.
const (
	Empty        Reason = "empty"
	Damaged      Reason = "torn or damaged"
	Expired      Reason = "too old, or of a time to come"
	OtherSidecar Reason = "of another sidecar"
	OtherVersion Reason = "of another version"
	Unreadable   Reason = "not readable"
)

// NotTrustedError says why a file was left aside.
type NotTrustedError struct {
	Path   string
	Reason Reason
	cause  error
}

// Error implements error.
func (e *NotTrustedError) Error() string {
	if e.cause == nil {
		return fmt.Sprintf("checkpoint %s: %s", e.Path, e.Reason)
	}
	return fmt.Sprintf("checkpoint %s: %s: %v", e.Path, e.Reason, e.cause)
}

// Unwrap returns the cause, nil if there is none.
func (e *NotTrustedError) Unwrap() error { return e.cause }

// Advice says what an operator can do.
func (e *NotTrustedError) Advice() string {
	switch e.Reason {
	case OtherSidecar:
		return "give each sidecar a file of its own; this one starts from nothing and leaves the file as it is"
	case Unreadable:
		return "look at the file's owner and mode, and at the disk; the sidecar starts from nothing"
	}
	return "nothing: the sidecar starts from nothing and writes the file anew"
}

// envelope is the form on the disk. Sum is the CRC-32C of Body as it stands.
type envelope struct {
	Version int             `json:"version"`
	Sum     uint32          `json:"sum"`
	Body    json.RawMessage `json:"body"`
}

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// Save writes c in place of what was there, whole or not at all.
func Save(path string, c Checkpoint) error {
	body, err := json.Marshal(c)
	if err != nil {
		return fmt.Errorf("checkpoint: %w", err)
	}
	data, err := json.Marshal(envelope{Version, crc32.Checksum(body, castagnoli), body})
	if err != nil {
		return fmt.Errorf("checkpoint: %w", err)
	}
	if len(data) > MaxFileSize {
		return fmt.Errorf("checkpoint: %d bytes, %d at most", len(data), MaxFileSize)
	}
	if err := renameio.WriteFile(path, data, 0o600); err != nil {
		return fmt.Errorf("checkpoint: %w", err)
	}
	return nil
}

// Load reads the file of the sidecar of that name, and how old it is; nil if there is
// none. Whatever can't be trusted is a *NotTrustedError.
func Load(path, name string, now time.Time) (*Checkpoint, time.Duration, error) {
	f, err := os.Open(path)
	if errors.Is(err, fs.ErrNotExist) {
		return nil, 0, nil
	}
	not := func(why Reason, err error) (*Checkpoint, time.Duration, error) {
		return nil, 0, &NotTrustedError{path, why, err}
	}
	if err != nil {
		return not(Unreadable, err)
	}
	defer f.Close()
	data, err := io.ReadAll(io.LimitReader(f, MaxFileSize+1))
	if err != nil {
		return not(Unreadable, err)
	}
	var in envelope
	var c Checkpoint
	switch err := json.Unmarshal(data, &in); {
	case len(data) == 0:
		return not(Empty, nil)
	case len(data) > MaxFileSize:
		return not(Damaged, fmt.Errorf("over %d bytes", MaxFileSize))
	case err != nil:
		return not(Damaged, err)
	case in.Version != Version:
		return not(OtherVersion, fmt.Errorf("version %d, and this is %d", in.Version, Version))
	case crc32.Checksum(in.Body, castagnoli) != in.Sum:
		return not(Damaged, errors.New("the checksum is wrong"))
	}
	if err := json.Unmarshal(in.Body, &c); err != nil {
		return not(Damaged, err)
	}
	if c.Name != name {
		return not(OtherSidecar, fmt.Errorf("of %q", c.Name))
	}
	// The file outlives the machine, so the age is by the wall clock. A step makes it wrong:
	// too old or from the future is not taken; too young is taken, as the hint it is.
	age := now.Sub(time.UnixMilli(c.SavedAt))
	if age < -time.Second || age > MaxAge {
		return not(Expired, fmt.Errorf("saved %v ago", age.Round(time.Second)))
	}
	if !(c.Demand >= 0) {
		return not(Damaged, fmt.Errorf("a demand of %v", c.Demand))
	}
	if err := handover.CheckLearned(&c.Learned); err != nil {
		return not(Damaged, err)
	}
	return &c, max(0, age), nil
}
