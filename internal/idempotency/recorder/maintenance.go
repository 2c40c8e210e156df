package recorder

import (
	"context"
	"log/slog"
	"time"

	"martendrum/internal/idempotency"
)

const (
	// maxSweptRows bounds one transaction of a sweep, so that requests are written in
	// between.
	maxSweptRows = 256
	// sweepYield separates two transactions of a sweep, for requests to be written.
	sweepYield = 5 * time.Millisecond
)

// sweep periodically writes gaps and drops entries past their retention, until Close.
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

// sweepAll sweeps until nothing is left to drop or the store fails. It returns false
// once the Recorder is closed.
func (r *Recorder) sweepAll() bool {
	for {
		ctx, cancel := context.WithTimeout(r.committer.ctx, r.config.StatementTimeout)
		swept, err := r.backend.Sweep(ctx, r.config.Retention, maxSweptRows)
		cancel()
		if err != nil {
			slog.Warn("idempotency store not swept", "err", err)
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

// extendGap counts a request that continues without the store.
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

// WriteGaps writes to the store which requests continued without it. Gaps that can't be
// written are retained for the next call.
func (r *Recorder) WriteGaps(within context.Context) {
	r.mu.Lock()
	gaps := r.unwrittenGaps
	r.unwrittenGaps = make(map[string]*idempotency.Gap)
	r.mu.Unlock()
	for class, gap := range gaps {
		ctx, cancel := context.WithTimeout(within, r.config.StatementTimeout)
		err := r.backend.Gap(ctx, *gap)
		cancel()
		if err == nil {
			continue
		}
		slog.Warn("gap not written to the idempotency store", "class", class, "requests", gap.Requests, "err", err)
		r.restoreGap(class, gap)
	}
}

// restoreGap puts back a gap that was not written, merged with one that began meanwhile.
func (r *Recorder) restoreGap(class string, gap *idempotency.Gap) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if newer := r.unwrittenGaps[class]; newer != nil {
		newer.From, newer.Requests, newer.Cause = gap.From, newer.Requests+gap.Requests, gap.Cause
	} else {
		r.unwrittenGaps[class] = gap
	}
}
