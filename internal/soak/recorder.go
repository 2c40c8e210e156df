package soak

import (
	"context"
	"slices"
	"sync"
	"time"
)

// recorder collects a Record during a run. Its methods may be called concurrently.
type recorder struct {
	start time.Time // of the run

	mu     sync.Mutex
	record Record
}

// newRecorder returns a recorder for a run that starts now.
func newRecorder() *recorder { return &recorder{start: time.Now()} }

// now returns the time since the start, on the monotonic clock.
func (r *recorder) now() time.Duration { return time.Since(r.start) }

// do calls change with the record while the lock is held.
func (r *recorder) do(change func(*Record)) {
	r.mu.Lock()
	defer r.mu.Unlock()
	change(&r.record)
}

// finish returns a copy of the record, with the time until now as its length.
func (r *recorder) finish() *Record {
	r.mu.Lock()
	defer r.mu.Unlock()
	record := r.record
	record.Length = r.now()
	record.Requests = slices.Clone(record.Requests)
	record.Attempts = slices.Clone(record.Attempts)
	record.Changes = slices.Clone(record.Changes)
	record.Notifications = slices.Clone(record.Notifications)
	record.Processes = slices.Clone(record.Processes)
	record.Stalls = slices.Clone(record.Stalls)
	record.Outages = slices.Clone(record.Outages)
	return &record
}

const (
	// latenessInterval is the interval of the timer by which lateness is measured.
	latenessInterval = 2 * time.Millisecond
	// latenessAllowance is added to the measured lateness: recorded times may be later than the timer shows.
	latenessAllowance = 10 * time.Millisecond
)

// measureLateness measures, until the context ends, the maximum by which a timer of this process
// fires late: recorded times may be late by as much. At the end it records that maximum plus
// latenessAllowance.
func (r *recorder) measureLateness(ctx context.Context) {
	ticker := time.NewTicker(latenessInterval)
	defer ticker.Stop()
	worst, last := time.Duration(0), time.Now()
	for {
		select {
		case <-ctx.Done():
			r.do(func(record *Record) { record.Lateness = worst + latenessAllowance })
			return
		case <-ticker.C:
		}
		now := time.Now()
		worst, last = max(worst, now.Sub(last)-latenessInterval), now
	}
}
