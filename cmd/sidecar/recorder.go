package main

import (
	"context"
	"log/slog"
	"os"
	"time"

	"martendrum/internal/sidecar"
)

// recordFlushTimeout bounds the writing of the last results of requests. It fits between the last
// response and SIGKILL.
const recordFlushTimeout = 200 * time.Millisecond

// requestRecorder is the idempotency store of a build that has one, see record.go.
type requestRecorder interface {
	sidecar.Recorder
	// Status returns the state of the store, for health responses.
	Status() string
	// Lock returns the ownership that a successor needs to use the store at the same time; nil: none.
	Lock() *os.File
	// Close writes buffered results until ctx ends, and closes the store.
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
