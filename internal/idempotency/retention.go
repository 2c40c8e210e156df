package idempotency

import "time"

// Retention says how long entries are stored after their last change. An entry in flight
// is stored until its owner's lease is over, and then has another state.
type Retention struct {
	Answered  time.Duration
	NeverRan  time.Duration
	Unsettled time.Duration
}

// For is the retention of a state; 0 for one that does not end by age.
func (r Retention) For(state State) time.Duration {
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

// ShortestEvidence is the shortest retention of requests that ran or may have run.
func (r Retention) ShortestEvidence() time.Duration { return min(r.Answered, r.Unsettled) }

// clockGainFraction is the fraction of ShortestEvidence that a Clock gains at most over a
// restart, as its reciprocal.
const clockGainFraction = 4

// Clock is the time of a store whose only clock is this machine's, which may be set. It
// advances with the process's monotonic time. Over a restart it advances as the wall
// clock did, but by a quarter of the shortest retention at most, and it never goes back:
// a clock set forward by years costs a quarter of the retention in place of all entries.
// After a long stop, entries are stored for longer than their retention.
type Clock struct {
	base    int64 // at start, microseconds
	started time.Time
}

// NewClock returns a clock that showed saved (0: none) when it was last stored.
func NewClock(saved int64, wall time.Time, retention Retention) Clock {
	base := wall.UnixMicro()
	if saved > 0 {
		base = saved + min(max(base-saved, 0), retention.ShortestEvidence().Microseconds()/clockGainFraction)
	}
	return Clock{base: base, started: wall}
}

// Time is the clock's time at wall, which must carry a monotonic reading.
func (c Clock) Time(wall time.Time) int64 { return c.base + max(wall.Sub(c.started), 0).Microseconds() }
