package main

import (
	"errors"
	"log/slog"
	"time"

	"martendrum/internal/checkpoint"
)

// checkpointInterval is how often the checkpoint is written.
const checkpointInterval = 10 * time.Second

// checkpointFile is the file of a sidecar's checkpoint, with its content at the start.
type checkpointFile struct {
	path     string                 // empty: there is none
	name     string                 // of the sidecar
	previous *checkpoint.Checkpoint // of the previous process; nil: none
	age      time.Duration          // of previous
	savedAt  time.Time
}

// load reads the checkpoint of the previous process, if there is a file.
func (f *checkpointFile) load(now time.Time) {
	if f.path == "" {
		return
	}
	var err error
	f.previous, f.age, err = checkpoint.Load(f.path, f.name, now)
	if bad, ok := errors.AsType[*checkpoint.NotTrustedError](err); ok {
		slog.Warn("checkpoint not trusted", "err", err, "advice", bad.Advice())
		if bad.Reason == checkpoint.OtherSidecar {
			f.path = "" // another sidecar's file is not overwritten
		}
	}
}

// isDue reports whether it is time to write the checkpoint again.
func (f *checkpointFile) isDue(now time.Time) bool { return now.Sub(f.savedAt) >= checkpointInterval }

// save writes a checkpoint under the sidecar's name.
func (f *checkpointFile) save(now time.Time, c checkpoint.Checkpoint) {
	f.savedAt = now
	c.Name = f.name
	if err := checkpoint.Save(f.path, c); err != nil {
		slog.Warn("checkpoint not written", "err", err, "advice", "check the disk; the sidecar continues to serve")
	}
}
