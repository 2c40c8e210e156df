// Package store is the interface of an agent's store: what an agent must know after it
// was killed. The agent holds all of it in memory, reads the store once at its start, and
// writes each change before it acts on it.
//
// A Store promises that a Change is written atomically, in the order of the calls, and
// durably before Commit returns nil. After an error of Commit the change may have been
// written or not: the caller commits it again, which has no further effect, or ends. It
// does not promise to serve several agents: one agent uses a store at a time, under a file
// lock or the database's epoch.
package store

import (
	"context"
	"time"

	"martendrum/internal/fleet/api"
	"martendrum/internal/fleet/distribution"
	"martendrum/internal/fleet/lease"
)

// Instance is the desired state of an instance and the known state of its process.
type Instance struct {
	Name       string
	Desired    string // api.Running, ...
	Generation int64  // desired; each launch that an operator requests has a new one
	Release    string // desired
	Previous   string // the release to roll back to

	Launch   string    // token of the launch, in the process's environment; "": none
	Process  int64     // its generation
	Running  string    // its release
	PID      int       // 0: the process has not been started yet
	Ticks    uint64    // its start time, in clock ticks since Boot
	Boot     string    // ID of the machine's boot
	Launched time.Time // wall clock
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

// Change is what to write and to delete. What is written replaces what has the same key.
type Change struct {
	Instances  []Instance
	Operations []Operation
	Steps      []api.Step
	Leases     []lease.Lease
	Audit      []api.AuditEntry

	// Settings are entries of the settings' distribution; see distribution.Batch.
	Settings     []distribution.Entry
	DropSettings []string // keys

	DropOperations []string // with their steps
	DropInstances  []string
	AuditLimit     int // if above 0: how many of the latest audit entries are retained
}

// Snapshot is all that a store holds, except for the audit log.
type Snapshot struct {
	Instances  []Instance
	Operations []Operation
	Steps      []api.Step
	Leases     []lease.Lease
	Settings   []distribution.Entry
}

// Store stores what an agent must know after it was killed.
type Store interface {
	// Load reads the store.
	Load(ctx context.Context) (*Snapshot, error)
	// Commit writes a change durably.
	Commit(ctx context.Context, change *Change) error
	// Audit returns the latest audit entries, the latest first.
	Audit(ctx context.Context, limit int) ([]api.AuditEntry, error)
	Close() error
}
