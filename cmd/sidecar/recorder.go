package main

import (
	"context"
	"log/slog"
	"os"
	"time"

	"martendrum/internal/sidecar"
)

// recordFlushTimeout is the longest time that a stopping process spends on writing the last results
// of requests. It fits between the last response and the supervisor's SIGKILL.
const recordFlushTimeout = 200 * time.Millisecond

// requestRecorder is the idempotency store of a build that has one. record.go implements openRecord,
// which returns it.
type requestRecorder interface {
	sidecar.Recorder
	// Status returns the state of the store, for health responses.
	Status() string
	// Lock returns the open lock file that a successor needs to use the store at the same time; nil
	// if the store needs no lock.
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
