package soak

import (
	"context"
	"slices"
	"sync"
	"time"
)

// recorder collects a Record. Its methods may be called from any goroutine.
type recorder struct {
	start time.Time

	mu     sync.Mutex
	record Record
}

func newRecorder() *recorder { return &recorder{start: time.Now()} }

// now is the time since the start, on the monotonic clock.
func (r *recorder) now() time.Duration { return time.Since(r.start) }

// do changes the record under the lock.
func (r *recorder) do(change func(*Record)) {
	r.mu.Lock()
	defer r.mu.Unlock()
	change(&r.record)
}

// finish returns a copy of what has been recorded.
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
	latenessProbe = 2 * time.Millisecond
	// latenessFloor is how late the recorders may be without the probe's notice.
	latenessFloor = 10 * time.Millisecond
)

// measureLateness records, until the context ends, by how much this process's own timers
// run late at most: what it records may be late by as much.
func (r *recorder) measureLateness(ctx context.Context) {
	ticker := time.NewTicker(latenessProbe)
	defer ticker.Stop()
	worst, last := time.Duration(0), time.Now()
	for {
		select {
		case <-ctx.Done():
			r.do(func(record *Record) { record.Lateness = worst + latenessFloor })
			return
		case <-ticker.C:
		}
		now := time.Now()
		worst, last = max(worst, now.Sub(last)-latenessProbe), now
	}
}
