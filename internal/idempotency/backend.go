package idempotency

import (
	"context"
	"errors"
)

// Backend stores entries. Its methods may be called from several goroutines. Errors
// wrap one of those below where a caller branches on it.
type Backend interface {
	// Apply applies ops in order, in one transaction that is durable when Apply returns
	// nil; each op has its Result then. After an error the outcome is unknown unless it is
	// ErrFull or ErrReadOnly; the ops may be applied again.
	Apply(ctx context.Context, ops []*Op) error
	// Get returns a key's stored entry; its State is Unknown if there is none.
	Get(ctx context.Context, class, key string) (Entry, error)
	// List returns up to filter.Limit entries in the order of their keys. The bodies of
	// answers are left out.
	List(ctx context.Context, filter Filter) ([]Entry, error)
	// Sweep lapses entries of dead owners and drops those past their retention, up to
	// limit in all; it returns how many it changed.
	Sweep(ctx context.Context, retention Retention, limit int) (int, error)
	// Gap stores that requests of a class continued without the store.
	Gap(ctx context.Context, gap Gap) error
	// Gaps returns the latest gaps.
	Gaps(ctx context.Context, limit int) ([]Gap, error)
	// Stats counts entries by state, and the bytes used.
	Stats(ctx context.Context) (Stats, error)
	// Check looks for damage and for invalid entries; nil if there are none.
	Check(ctx context.Context) ([]string, error)
	// Compact returns unused space to the file system.
	Compact(ctx context.Context) error
	// Ping checks that the store accepts writes.
	Ping(ctx context.Context) error
	Close() error
}

// Filter says what to list.
type Filter struct {
	State        State // Unknown: all
	Class        string
	AfterClass   string // with AfterKey: only entries after this key
	AfterKey     string
	Limit        int
	ChangedSince int64 // in the store's microseconds
}

// Gap is a time in which requests of a class continued without the store. From and
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
	MaxBytes int64 // 0: the store has no bound of its own
}

// Errors of a store that can be reached.
var (
	ErrFull     = errors.New("the store is full")
	ErrReadOnly = errors.New("the store is read-only")
	// ErrUnusable: retrying does not help.
	ErrUnusable = errors.New("the store can't be used")
)
