package idempotency

import (
	"context"
	"errors"
	"time"
)

// Backend keeps rows. Its methods may be called from several goroutines. Errors
// wrap one of those below where a caller branches on it.
type Backend interface {
	// Apply carries out ops in their order, in one transaction that is durable when
	// it returns nil; each has its Result then. After an error their outcome is
	// unknown unless it is ErrFull or ErrReadOnly; asked again, they do no harm.
	Apply(ctx context.Context, ops []*Op) error
	// Get returns a key's row as it is stored; its State is Unknown if there is none.
	Get(ctx context.Context, class, key string) (Entry, error)
	// List returns rows in the order of their keys, after a given one, most at once.
	// Bodies of answers are left out.
	List(ctx context.Context, f Filter) ([]Entry, error)
	// Sweep makes rows of dead owners what is known of them and drops what has been
	// kept for long enough, most rows at once; it returns how many it touched.
	Sweep(ctx context.Context, keep Retention, limit int) (int, error)
	// Gap notes requests of a class that went on without a record.
	Gap(ctx context.Context, g Gap) error
	// Gaps returns the latest gaps.
	Gaps(ctx context.Context, limit int) ([]Gap, error)
	// Stats counts rows by state, and the bytes used.
	Stats(ctx context.Context) (Stats, error)
	// Check looks for damage and for rows that can't be; nil if there is none.
	Check(ctx context.Context) ([]string, error)
	// Compact gives unused room back.
	Compact(ctx context.Context) error
	// Ping asks for a sign of life.
	Ping(ctx context.Context) error
	Close() error
}

// Filter says what to list.
type Filter struct {
	State        State // Unknown: all
	Class        string
	AfterClass   string
	AfterKey     string
	Limit        int
	ChangedSince int64 // in the store's microseconds
}

// Gap is a time in which requests of a class went on without a record. From and
// Until are Unix times in microseconds, by the sidecar's clock.
type Gap struct {
	Owner    string `json:"Owner"`
	Class    string `json:"Class"`
	From     int64  `json:"From"`
	Until    int64  `json:"Until"`
	Requests int64  `json:"Requests"`
	Cause    string `json:"Cause"`
}

// Stats is what a store holds.
type Stats struct {
	Rows     map[State]int64
	Bytes    int64
	MaxBytes int64 // 0: no bound of the store's own
}

// Why a store can't do its work, beside being away.
var (
	ErrFull     = errors.New("the store is full")
	ErrReadOnly = errors.New("the store is read-only")
	// ErrUnusable: it is there, and waiting does not help.
	ErrUnusable = errors.New("the store can't be used")
)

// Clock is time for the keeping of rows by a store that has no clock but this
// machine's, which may jump. It goes on as the process's own monotonic time does;
// over a restart it takes what the wall clock gained, but no more than a quarter of
// the shortest time that rows are kept, and it never goes back. So a clock set
// forward by years costs a quarter at a restart, not the record; and a long pause
// makes rows be kept longer.
type Clock struct {
	base    int64 // at start, microseconds
	started time.Time
}

// NewClock returns a clock that was at saved (0: never) when it was last seen.
func NewClock(saved int64, wall time.Time, keep Retention) Clock {
	base := wall.UnixMicro()
	if saved > 0 {
		base = saved + min(max(base-saved, 0), keep.ShortestEvidence().Microseconds()/4)
	}
	return Clock{base: base, started: wall}
}

// Time is the clock's time at wall, which must carry a monotonic reading.
func (c Clock) Time(wall time.Time) int64 { return c.base + max(wall.Sub(c.started), 0).Microseconds() }
