package idempotency

import "time"

// Retention says how long entries are stored after their last change. An entry in flight
// is not deleted; when its lease is over, it becomes NeverRan or MayHaveRun.
type Retention struct {
	Answered  time.Duration
	NeverRan  time.Duration
	Unsettled time.Duration // for MayHaveRun
}

// Period returns the retention of a state, or 0 if entries in that state are not deleted
// by age.
func (r Retention) Period(state State) time.Duration {
	switch state {
	case Answered:
		return r.Answered
	case NeverRan:
		return r.NeverRan
	case MayHaveRun:
		return r.Unsettled
	}
	return 0
}

// MinExecutedPeriod returns the shorter of the retention periods of requests that ran and
// of those that may have run.
func (r Retention) MinExecutedPeriod() time.Duration { return min(r.Answered, r.Unsettled) }

// clockGainDivisor limits how far a Clock advances over a restart, to MinExecutedPeriod
// divided by it.
const clockGainDivisor = 4

// Clock is the clock of a store that has no clock but that of the local machine, which an
// operator may set. While the process runs, it follows the monotonic clock. Over a restart
// it advances as the wall clock did, but by at most a quarter of MinExecutedPeriod, and it
// never goes back. If the wall clock is set forward by years, entries lose at most a
// quarter of that period; without the limit, all of them would be deleted. After a long
// stop, entries are stored for longer than their retention.
type Clock struct {
	base    int64     // the clock's time when the process started, in microseconds
	started time.Time // the wall clock's time at that moment
}

// NewClock returns a Clock that starts at wall. saved is the time of the clock in
// microseconds when it was last stored, or 0 if it never was. wall must carry a monotonic
// reading.
func NewClock(saved int64, wall time.Time, retention Retention) Clock {
	base := wall.UnixMicro()
	if saved > 0 {
		base = saved + min(max(base-saved, 0), retention.MinExecutedPeriod().Microseconds()/clockGainDivisor)
	}
	return Clock{base: base, started: wall}
}

// Time returns the clock's time at wall as a Unix time in microseconds. wall must carry a
// monotonic reading.
func (c Clock) Time(wall time.Time) int64 { return c.base + max(wall.Sub(c.started), 0).Microseconds() }
