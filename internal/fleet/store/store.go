// Package store is the interface of an agent's store, which contains what an agent needs to
// know after it was killed and restarted. The agent keeps all of it in memory, reads the store
// once at its start, and writes each change to the store before it acts on the change. Error
// messages and the operators' pages call the store the agent's record.
//
// A Store promises that each Change is written atomically, in the order of the calls of
// Commit, and durably before Commit returns nil. If Commit returns an error, the change may or
// may not have been written. The caller must then commit it again or exit; a second commit has
// no further effect, except that it may add the audit entries again. A Store does not promise
// to serve several agents: only one agent may use it at a time, which a file lock or the epoch
// in the database ensures.
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
	Generation int64  // number of the desired launch; each launch that an operator requests has a new one
	Release    string // desired release
	Previous   string // release that a rollback leads to

	Launch   string    // token of the launch, in the process's environment; "" if there is none
	Process  int64     // generation of the process
	Running  string    // release of the process
	PID      int       // 0 if the process has not been started yet
	Ticks    uint64    // start time of the process, in clock ticks since the boot
	Boot     string    // ID of the machine's boot in which the process was started
	Launched time.Time // time of the launch, by the wall clock
	Restarts int64     // number of restarts
	LastExit string    // how a process last exited
}

// Operation is an operation as this agent knows it.
type Operation struct {
	api.Operation
	State  string // api.OpOpened, ...
	Result string
	Closed time.Time
}

// Change lists what to write and what to delete. A written row replaces the one with the same
// key; audit entries are added.
type Change struct {
	Instances  []Instance
	Operations []Operation
	Steps      []api.Step
	Leases     []lease.Lease
	Audit      []api.AuditEntry

	// Settings are entries of the distributed settings; see distribution.Batch.
	Settings     []distribution.Entry
	DropSettings []string // keys of entries to delete

	DropOperations []string // IDs of operations to delete, with their steps
	// DroppedUntil, unless it is zero, replaces that of Snapshot.
	DroppedUntil time.Time

	DropInstances []string // names of instances to delete, with their leases
	AuditLimit    int      // if above 0, only this many of the latest audit entries are retained
}

// Snapshot is the content of a store, except for the audit log.
type Snapshot struct {
	Instances  []Instance
	Operations []Operation
	Steps      []api.Step
	Leases     []lease.Lease
	Settings   []distribution.Entry

	// DroppedUntil is the latest creation time of the operations that are no longer in the store. It
	// is zero if no change has set it.
	DroppedUntil time.Time
}

// Store is an agent's store; see the package comment for what it promises.
type Store interface {
	// Load returns the content of the store.
	Load(ctx context.Context) (*Snapshot, error)
	// Commit writes a change atomically and durably.
	Commit(ctx context.Context, change *Change) error
	// Audit returns at most limit audit entries, the latest first.
	Audit(ctx context.Context, limit int) ([]api.AuditEntry, error)
	// Close releases the file or the connections.
	Close() error
}
