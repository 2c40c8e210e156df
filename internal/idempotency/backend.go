package idempotency

import (
	"context"
	"errors"
)

// Backend stores entries. Its methods may be called concurrently. An error wraps ErrFull,
// ErrReadOnly or ErrUnusable where one of them applies.
type Backend interface {
	// Apply applies ops in order, in one transaction. When Apply returns nil, the transaction
	// is durable and each op has its Result and Entry. After ErrFull or ErrReadOnly nothing
	// was stored. After any other error the transaction may have been committed or not; the
	// same ops may be applied again.
	Apply(ctx context.Context, ops []*Op) error
	// Get returns the entry of a key. If there is none, it returns an entry whose State is
	// Unknown and no error.
	Get(ctx context.Context, class, key string) (Entry, error)
	// List returns up to filter.Limit entries, ordered by class and key. Answer, the body of
	// the answer, is empty in each of them.
	List(ctx context.Context, filter Filter) ([]Entry, error)
	// Sweep ends the claims whose lease has expired, see Entry.Lapse, and deletes the entries
	// whose retention is over. It changes up to limit entries and returns their number.
	Sweep(ctx context.Context, retention Retention, limit int) (int, error)
	// WriteGap stores a Gap.
	WriteGap(ctx context.Context, gap Gap) error
	// Gaps returns up to limit gaps, the latest first.
	Gaps(ctx context.Context, limit int) ([]Gap, error)
	// Stats returns the number of entries in each state and the bytes used.
	Stats(ctx context.Context) (Stats, error)
	// Check returns one line for each damaged part or invalid entry that it finds. The error
	// says that the check could not be completed.
	Check(ctx context.Context) ([]string, error)
	// Compact releases unused space.
	Compact(ctx context.Context) error
	// Ping returns an error if the store does not accept writes.
	Ping(ctx context.Context) error
	// Close closes the store, which can't be used afterwards.
	Close() error
}

// Filter selects the entries that Backend.List returns.
type Filter struct {
	State        State  // Unknown: every state
	Class        string // "": every class
	AfterClass   string // with AfterKey: only entries that are ordered after this class and key
	AfterKey     string
	Limit        int   // the most entries that are returned
	ChangedSince int64 // only entries changed at this time or later, see Entry for its unit
}

// Gap is a period in which requests of a class were forwarded without being recorded, as
// the store was unavailable. Owner is the ID of the sidecar process. From and Until, the
// times of the first and the last of these requests, are Unix times in microseconds by the
// sidecar's clock.
type Gap struct {
	Owner    string `json:"Owner"`
	Class    string `json:"Class"`
	From     int64  `json:"From"`
	Until    int64  `json:"Until"`
	Requests int64  `json:"Requests"`
	Cause    string `json:"Cause"`
}

// Stats describes the content of a store.
type Stats struct {
	Rows     map[State]int64 // the number of entries in each state
	Bytes    int64           // SQLite: the used pages of the file; PostgreSQL: the stored answers and their header fields
	MaxBytes int64           // 0: the store does not limit its size
}

// Errors of a store that could be reached and did not carry out the call.
var (
	ErrFull     = errors.New("the store is full")
	ErrReadOnly = errors.New("the store is read-only")
	// ErrUnusable means that retrying does not help, for example after a wrong password.
	ErrUnusable = errors.New("the store can't be used")
)
