// Package store is the contract of an agent's record: what an agent must know
// again after it was killed. The agent holds all of it in memory, reads it once at
// its start, and writes each change before it acts on it.
//
// A Store promises: a Change is written whole or not at all, in the order of the
// calls, and durably before Commit returns nil. After an error of Commit the change
// may be there or not; it is the caller's to write it again, which does no harm,
// or to end. Only one agent uses a record at a time (the agent holds a file lock,
// or the database's own).
package store

import (
	"context"
	"time"

	"martendrum/internal/fleet/api"
	"martendrum/internal/fleet/distribution"
	"martendrum/internal/fleet/lease"
)

// Instance is what is wanted of an instance, and what is known of its process.
type Instance struct {
	Name       string
	Desired    string // api.Running, ...
	Generation int64  // wanted; each launch that an operator asks for has a new one
	Release    string // wanted
	Previous   string // the release before, for a rollback

	Launch   string    // token of the launch, in the process's environment; "" for none
	Process  int64     // its generation
	Running  string    // its release
	PID      int       // 0: written before the process was started
	Ticks    uint64    // its start time, in clock ticks since Boot
	Boot     string    // id of the machine's boot
	Launched time.Time // by the wall clock
	Restarts int64
	LastExit string
}

// Operation is an operation as this agent knows it.
type Operation struct {
	api.Operation
	State  string // api.OpOpened, ...
	Result string
	Closed time.Time
}

// Change is rows to write, and to delete. Rows replace those of the same key.
type Change struct {
	Instances  []Instance
	Operations []Operation
	Steps      []api.Step
	Leases     []lease.Lease
	Audit      []api.AuditEntry

	// Settings are rows of the settings' distribution; see distribution.Batch.
	Settings     []distribution.Entry
	DropSettings []string // keys

	DropOperations []string // with their steps
	DropInstances  []string
	AuditLimit     int // if above 0: only so many of the latest audit entries stay
}

// Snapshot is the whole record but for the audit log.
type Snapshot struct {
	Instances  []Instance
	Operations []Operation
	Steps      []api.Step
	Leases     []lease.Lease
	Settings   []distribution.Entry
}

// Store keeps a record.
type Store interface {
	Load(ctx context.Context) (*Snapshot, error)
	Commit(ctx context.Context, c *Change) error
	// Audit returns the latest entries, the latest first.
	Audit(ctx context.Context, limit int) ([]api.AuditEntry, error)
	Close() error
}
