package main

import (
	"errors"
	"log/slog"
	"time"

	"martendrum/internal/checkpoint"
)

// checkpointInterval is how often the checkpoint is written.
const checkpointInterval = 10 * time.Second

// checkpointFile is the file of a sidecar's checkpoint, with the content that the previous process
// left in it.
type checkpointFile struct {
	path     string                 // empty: no checkpoint is read or written
	name     string                 // name of the sidecar; a file with another name is another sidecar's
	previous *checkpoint.Checkpoint // checkpoint of the previous process; nil: none
	age      time.Duration          // age of previous when it was loaded
	savedAt  time.Time              // time of the last save, or of the start
}

// load reads the checkpoint of the previous process, if there is a file. A file that can't be
// trusted is logged and ignored.
func (f *checkpointFile) load(now time.Time) {
	if f.path == "" {
		return
	}
	var err error
	f.previous, f.age, err = checkpoint.Load(f.path, f.name, now)
	if notTrusted, ok := errors.AsType[*checkpoint.NotTrustedError](err); ok {
		slog.Warn("checkpoint not trusted", "err", err, "advice", notTrusted.Advice())
		if notTrusted.Reason == checkpoint.OtherSidecar {
			f.path = "" // don't overwrite the file of another sidecar
		}
	}
}

// isDue reports whether the last save is at least checkpointInterval ago.
func (f *checkpointFile) isDue(now time.Time) bool { return now.Sub(f.savedAt) >= checkpointInterval }

// save writes a checkpoint under the sidecar's name. A failure is logged; the next save is tried
// after checkpointInterval.
func (f *checkpointFile) save(now time.Time, c checkpoint.Checkpoint) {
	f.savedAt = now
	c.Name = f.name
	if err := checkpoint.Save(f.path, c); err != nil {
		slog.Warn("checkpoint not written", "err", err, "advice", "check the disk; the sidecar continues to serve")
	}
}
