package main

import (
	"context"
	"log/slog"
	"os"
	"time"

	"martendrum/internal/sidecar"
)

// recordFlushTimeout is how long the last ends of requests may take to be written: it
// fits between the last response and SIGKILL.
const recordFlushTimeout = 200 * time.Millisecond

// requestRecorder is the idempotency store of a build that has one, see record.go.
type requestRecorder interface {
	sidecar.Recorder
	// Status is the state of the store, for health responses.
	Status() string
	// Lock is the ownership that a successor needs to use the store at the same time; nil: none.
	Lock() *os.File
	// Close writes what is buffered, as long as ctx allows.
	Close(ctx context.Context) error
}

// closeRecorder closes the idempotency store, if there is one.
func (p *sidecarProcess) closeRecorder() {
	if p.recorder == nil {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), recordFlushTimeout)
	defer cancel()
	if err := p.recorder.Close(ctx); err != nil {
		slog.Warn("idempotency store not closed cleanly", "err", err)
	}
}
