package recorder

import (
	"context"
	"log/slog"
	"time"

	"martendrum/internal/idempotency"
)

const (
	// maxSweptRows is the maximum number of rows that one transaction of a sweep changes, so
	// that it delays the ops of requests only briefly.
	maxSweptRows = 256
	// sweepYield is the pause between two transactions of a sweep, in which the ops of
	// requests are written.
	sweepYield = 5 * time.Millisecond
)

// sweep periodically writes the gaps and sweeps the store, until Close. It does neither
// while the breaker is open.
func (r *Recorder) sweep() {
	ticker := time.NewTicker(r.config.SweepInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
		case <-r.stop:
			return
		}
		if r.unavailable() {
			continue
		}
		r.WriteGaps(r.committer.ctx)
		if !r.sweepAll() {
			return
		}
	}
}

// sweepAll calls Sweep until nothing is left to sweep or the store fails. It returns false
// if the Recorder is closed meanwhile.
func (r *Recorder) sweepAll() bool {
	for {
		ctx, cancel := context.WithTimeout(r.committer.ctx, r.config.StatementTimeout)
		swept, err := r.backend.Sweep(ctx, r.config.Retention, maxSweptRows)
		cancel()
		if err != nil {
			slog.Warn("could not sweep the idempotency store", "err", err)
		}
		if err != nil || swept < maxSweptRows {
			return true
		}
		select {
		case <-time.After(sweepYield):
		case <-r.stop:
			return false
		}
	}
}

// extendGap counts a request that continues without the store in the gap of its class, and
// begins a gap with cause if there is none.
func (r *Recorder) extendGap(class string, cause error) {
	now := time.Now().UnixMicro()
	r.mu.Lock()
	defer r.mu.Unlock()
	r.counts["gaps"]++
	gap := r.unwrittenGaps[class]
	if gap == nil {
		gap = &idempotency.Gap{Owner: r.owner, Class: class, From: now, Cause: storableText(cause.Error())}
		r.unwrittenGaps[class] = gap
	}
	gap.Until = now
	gap.Requests++
}

// WriteGaps writes the gaps since the last call to the store. A gap that can't be written
// is kept for the next call. WriteGaps may be called concurrently.
func (r *Recorder) WriteGaps(parent context.Context) {
	r.mu.Lock()
	gaps := r.unwrittenGaps
	r.unwrittenGaps = make(map[string]*idempotency.Gap)
	r.mu.Unlock()
	for class, gap := range gaps {
		ctx, cancel := context.WithTimeout(parent, r.config.StatementTimeout)
		err := r.backend.WriteGap(ctx, *gap)
		cancel()
		if err == nil {
			continue
		}
		slog.Warn("could not write a gap to the idempotency store", "class", class, "requests", gap.Requests, "err", err)
		r.restoreGap(class, gap)
	}
}

// restoreGap puts back a gap that could not be written. If another gap of the class has
// begun meanwhile, it merges the two.
func (r *Recorder) restoreGap(class string, gap *idempotency.Gap) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if newer := r.unwrittenGaps[class]; newer != nil {
		newer.From, newer.Requests, newer.Cause = gap.From, newer.Requests+gap.Requests, gap.Cause
	} else {
		r.unwrittenGaps[class] = gap
	}
}
