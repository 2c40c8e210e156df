// Package checkpoint stores what a sidecar has learned on a durable disk, for its next
// start, also after a power loss. It owns one file, which is replaced atomically: written,
// synced and renamed, with a version, a checksum and the sidecar's name. A file that is
// damaged, empty, too old, of another version or of another sidecar is reported and
// ignored; nothing depends on one. What of it is still valid is decided by package
// recovery, see recovery.Kept.
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
	// MaxFileSize is the longest file, in bytes: a snapshot and its envelope.
	MaxFileSize = handover.MaxSnapshotSize + 4<<10
	// MaxAge is how old a file may be; an older one is of no more use than none.
	MaxAge = 24 * time.Hour

	// maxClockError is how far in the future a file may be.
	maxClockError   = time.Second
	filePermissions = 0o600
)

// Checkpoint is what is stored.
type Checkpoint struct {
	Name        string                  `json:"name"`   // the sidecar's address
	SavedAt     int64                   `json:"saved"`  // Unix time in ms
	Incarnation uint64                  `json:"life"`   // its incarnation among peers
	Demand      float64                 `json:"demand"` // usual requests a second
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

// NotTrustedError says why a file was ignored.
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

// envelope is the file's form. Sum is the CRC-32C of Body.
type envelope struct {
	Version int             `json:"version"`
	Sum     uint32          `json:"sum"`
	Body    json.RawMessage `json:"body"`
}

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// Save replaces the file atomically.
func Save(path string, checkpoint Checkpoint) error {
	body, err := json.Marshal(checkpoint)
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
	if err := renameio.WriteFile(path, data, filePermissions); err != nil {
		return fmt.Errorf("checkpoint: %w", err)
	}
	return nil
}

// Load reads the file of the sidecar of that name and returns its age; nil if there is
// none. The error of a file that can't be trusted is a *NotTrustedError.
func Load(path, name string, now time.Time) (*Checkpoint, time.Duration, error) {
	data, err := read(path)
	if errors.Is(err, fs.ErrNotExist) {
		return nil, 0, nil
	}
	if err != nil {
		return nil, 0, &NotTrustedError{path, Unreadable, err}
	}
	body, refused := open(data)
	if refused != nil {
		refused.Path = path
		return nil, 0, refused
	}
	var checkpoint Checkpoint
	if err := json.Unmarshal(body, &checkpoint); err != nil {
		return nil, 0, &NotTrustedError{path, Damaged, err}
	}
	if checkpoint.Name != name {
		return nil, 0, &NotTrustedError{path, OtherSidecar, fmt.Errorf("of %q", checkpoint.Name)}
	}
	// The file outlives the machine, so its age is by the wall clock. After a step of the
	// clock, a file that seems too old or from the future is rejected; one that seems too
	// young is accepted, as what it holds are hints.
	age := now.Sub(time.UnixMilli(checkpoint.SavedAt))
	if age < -maxClockError || age > MaxAge {
		return nil, 0, &NotTrustedError{path, Expired, fmt.Errorf("saved %v ago", age.Round(time.Second))}
	}
	if !(checkpoint.Demand >= 0) { // also rejects NaN
		return nil, 0, &NotTrustedError{path, Damaged, fmt.Errorf("a demand of %v", checkpoint.Demand)}
	}
	if err := handover.CheckLearned(&checkpoint.Learned); err != nil {
		return nil, 0, &NotTrustedError{path, Damaged, err}
	}
	return &checkpoint, max(0, age), nil
}

// read reads a file up to one byte past MaxFileSize.
func read(path string) ([]byte, error) {
	file, err := os.Open(path)
	if err != nil {
		return nil, err
	}
	defer file.Close()
	return io.ReadAll(io.LimitReader(file, MaxFileSize+1))
}

// open checks the envelope and returns its body. The caller sets the path of the error.
func open(data []byte) (json.RawMessage, *NotTrustedError) {
	var in envelope
	switch err := json.Unmarshal(data, &in); {
	case len(data) == 0:
		return nil, &NotTrustedError{Reason: Empty}
	case len(data) > MaxFileSize:
		return nil, &NotTrustedError{Reason: Damaged, cause: fmt.Errorf("over %d bytes", MaxFileSize)}
	case err != nil:
		return nil, &NotTrustedError{Reason: Damaged, cause: err}
	case in.Version != Version:
		return nil, &NotTrustedError{Reason: OtherVersion, cause: fmt.Errorf("version %d, and this is %d", in.Version, Version)}
	case crc32.Checksum(in.Body, castagnoli) != in.Sum:
		return nil, &NotTrustedError{Reason: Damaged, cause: errors.New("the checksum is wrong")}
	}
	return in.Body, nil
}
