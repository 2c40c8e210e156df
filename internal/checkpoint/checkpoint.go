// Package checkpoint stores what a sidecar has learned on a durable disk, for its next start, also
// after a power loss. It owns one file, which it replaces atomically: the file is written, synced
// and renamed, and has a version, a checksum and the sidecar's name. A file that is damaged, empty,
// too old, of another version or of another sidecar is reported and ignored; no sidecar depends on
// its checkpoint. Package recovery decides which parts of it are still valid, see
// recovery.Retained.
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
	// Version is the version of the file's format. It changes with the meaning of any field.
	Version = 1
	// MaxFileSize is the maximum size of a file, in bytes: a snapshot and its envelope.
	MaxFileSize = handover.MaxSnapshotSize + 4<<10
	// MaxAge is the maximum age of a file; an older one is of no more use than none.
	MaxAge = 24 * time.Hour

	// maxClockError is how far in the future the time of a file may be.
	maxClockError   = time.Second
	filePermissions = 0o600
)

// Checkpoint is the content of a file.
type Checkpoint struct {
	Name        string                  `json:"name"`   // the sidecar's address
	SavedAt     int64                   `json:"saved"`  // Unix time in ms
	Incarnation uint64                  `json:"life"`   // incarnation of the sidecar among its peers
	Demand      float64                 `json:"demand"` // usual requests per second
	Learned     martendrum.LearnedState `json:"learned"`
}

// Reason is the reason why a file is not trusted.
type Reason string

// The reasons of a NotTrustedError.
const (
	Empty        Reason = "empty"
	Damaged      Reason = "torn or damaged"
	Expired      Reason = "too old, or from the future"
	OtherSidecar Reason = "of another sidecar"
	OtherVersion Reason = "of another version"
	Unreadable   Reason = "not readable"
)

// NotTrustedError reports why a file was ignored.
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

// Advice returns the operator's next step.
func (e *NotTrustedError) Advice() string {
	switch e.Reason {
	case OtherSidecar:
		return "configure a separate file for each sidecar; this one starts without learned state and does not change the file"
	case Unreadable:
		return "check the file's owner and mode, and the disk; the sidecar starts without learned state"
	}
	return "none needed: the sidecar starts without learned state and replaces the file"
}

// envelope is the format of the file. Sum is the CRC-32C of Body.
type envelope struct {
	Version int             `json:"version"`
	Sum     uint32          `json:"sum"`
	Body    json.RawMessage `json:"body"`
}

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// Save replaces the file at path atomically. It returns an error if the file would be larger than
// MaxFileSize.
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
		return fmt.Errorf("checkpoint: file would have %d bytes, the maximum is %d", len(data), MaxFileSize)
	}
	if err := renameio.WriteFile(path, data, filePermissions); err != nil {
		return fmt.Errorf("checkpoint: %w", err)
	}
	return nil
}

// Load reads the file of the sidecar with the given name, and returns its content and its age. If
// there is no file, the Checkpoint and the error are nil. All errors are of type *NotTrustedError.
func Load(path, name string, now time.Time) (*Checkpoint, time.Duration, error) {
	data, err := read(path)
	if errors.Is(err, fs.ErrNotExist) {
		return nil, 0, nil
	}
	if err != nil {
		return nil, 0, &NotTrustedError{path, Unreadable, err}
	}
	body, notTrusted := open(data)
	if notTrusted != nil {
		notTrusted.Path = path
		return nil, 0, notTrusted
	}
	var checkpoint Checkpoint
	if err := json.Unmarshal(body, &checkpoint); err != nil {
		return nil, 0, &NotTrustedError{path, Damaged, err}
	}
	if checkpoint.Name != name {
		return nil, 0, &NotTrustedError{path, OtherSidecar, fmt.Errorf("the file contains the name %q, want %q", checkpoint.Name, name)}
	}
	// The file outlives a boot of the machine, so its age is by the wall clock. After a step of
	// the clock, a file that appears too old or from the future is rejected. One that appears
	// too young is accepted, because it contains only hints.
	age := now.Sub(time.UnixMilli(checkpoint.SavedAt))
	if age < -maxClockError || age > MaxAge {
		return nil, 0, &NotTrustedError{path, Expired, fmt.Errorf("saved %v ago", age.Round(time.Second))}
	}
	if !(checkpoint.Demand >= 0) { // also rejects NaN
		return nil, 0, &NotTrustedError{path, Damaged, fmt.Errorf("the demand is %v", checkpoint.Demand)}
	}
	if err := handover.CheckLearned(&checkpoint.Learned); err != nil {
		return nil, 0, &NotTrustedError{path, Damaged, err}
	}
	return &checkpoint, max(0, age), nil
}

// read reads a file, but at most one byte more than MaxFileSize.
func read(path string) ([]byte, error) {
	file, err := os.Open(path)
	if err != nil {
		return nil, err
	}
	defer file.Close()
	return io.ReadAll(io.LimitReader(file, MaxFileSize+1))
}

// open checks the envelope of a file's data and returns its body. The caller sets the path in the
// error.
func open(data []byte) (json.RawMessage, *NotTrustedError) {
	var decoded envelope
	switch err := json.Unmarshal(data, &decoded); {
	case len(data) == 0:
		return nil, &NotTrustedError{Reason: Empty}
	case len(data) > MaxFileSize:
		return nil, &NotTrustedError{Reason: Damaged, cause: fmt.Errorf("larger than %d bytes", MaxFileSize)}
	case err != nil:
		return nil, &NotTrustedError{Reason: Damaged, cause: err}
	case decoded.Version != Version:
		return nil, &NotTrustedError{Reason: OtherVersion, cause: fmt.Errorf("the file has version %d, this sidecar reads version %d", decoded.Version, Version)}
	case crc32.Checksum(decoded.Body, castagnoli) != decoded.Sum:
		return nil, &NotTrustedError{Reason: Damaged, cause: errors.New("the checksum is wrong")}
	}
	return decoded.Body, nil
}
