package api

import (
	"time"
)

// Desired states of an instance.
const (
	Running = "running"
	Stopped = "stopped"
	Drained = "drained" // stopped by an operator until undrain; start does not start it
)

// Instance is the state of one instance of the sidecar, as its agent sees it.
type Instance struct {
	Name    string            `msgpack:"name" json:"name"`
	Host    string            `msgpack:"host" json:"host"`
	Labels  map[string]string `msgpack:"labels" json:"labels,omitempty"`
	Listen  string            `msgpack:"listen" json:"listen"`
	Desired string            `msgpack:"desired" json:"desired"`
	State   string            `msgpack:"state" json:"state"` // a supervisor.Phase
	Reason  string            `msgpack:"reason" json:"reason,omitempty"`
	Release string            `msgpack:"release" json:"release"`           // desired release
	Running string            `msgpack:"running" json:"running,omitempty"` // release of the process
	// Generation is the number of the desired launch, Process that of the running process.
	Generation   int64     `msgpack:"generation" json:"generation"`
	Process      int64     `msgpack:"process" json:"process,omitempty"`
	Previous     string    `msgpack:"previous" json:"previous,omitempty"` // release that a rollback leads to
	PID          int       `msgpack:"pid" json:"pid,omitempty"`
	Launched     time.Time `msgpack:"launched" json:"launched,omitzero"`
	Since        time.Time `msgpack:"since" json:"since"` // when State began
	Restarts     int64     `msgpack:"restarts" json:"restarts"`
	LastExit     string    `msgpack:"last_exit" json:"last_exit,omitempty"`
	Record       string    `msgpack:"record,omitempty" json:"record,omitempty"` // state of its idempotency store, as the process reports it
	AdminAddress string    `msgpack:"door,omitempty" json:"door,omitempty"`     // address of its admin endpoint; "" if it has none
	Rate         float64   `msgpack:"rate,omitempty" json:"rate,omitempty"`     // recent requests per second, over the latest slots
	Operation    string    `msgpack:"operation" json:"operation,omitempty"`     // ID of the operation that is open on the instance
	LeaseHolder  string    `msgpack:"holder" json:"holder,omitempty"`           // holder of the live lease on the instance
}

// ListOut is the state of an agent and of all its instances.
type ListOut struct {
	Agent      string     `msgpack:"agent"`
	Now        time.Time  `msgpack:"now"`
	Unwritable string     `msgpack:"unwritable"` // why the agent's store can't be written; "" if it can
	Instances  []Instance `msgpack:"instances"`
	// Returning is the progress of the host's return from a power loss, "" if it is not returning. Epoch
	// is the number of the host's latest power loss while that is recent, otherwise 0.
	Returning string `msgpack:"returning,omitempty"`
	Epoch     int64  `msgpack:"epoch,omitempty"`
}

// InstanceIn names an instance.
type InstanceIn struct {
	Instance string `msgpack:"instance"`
}

// InspectOut is the state of an instance, its latest steps, its configuration and the end of its log.
type InspectOut struct {
	Instance Instance `msgpack:"instance" json:"instance"`
	Steps    []Step   `msgpack:"steps" json:"steps"` // latest first
	Config   string   `msgpack:"config" json:"config"`
	Log      string   `msgpack:"log" json:"log"`
	// Settings is nil if the host subscribes to no relays.
	Settings *InstanceSettings `msgpack:"settings,omitempty" json:"settings,omitempty"`
}

// LogsIn requests a part of an instance's log.
type LogsIn struct {
	Instance string `msgpack:"instance"`
	Offset   int64  `msgpack:"offset"` // bytes; a negative one counts from the end
	Limit    int    `msgpack:"most"`   // bytes
}

// LogsOut is a part of a log; Next is the offset after it.
type LogsOut struct {
	Data []byte `msgpack:"data"`
	Next int64  `msgpack:"next"`
}

// AuditIn requests the latest entries of the audit log.
type AuditIn struct {
	Limit int `msgpack:"most"` // entries
}

// AuditEntry records who did what to which target, and the result.
type AuditEntry struct {
	At     time.Time `msgpack:"at" json:"at"`
	Who    string    `msgpack:"who" json:"who"`
	What   string    `msgpack:"what" json:"what"`
	Target string    `msgpack:"target" json:"target"`
	Result string    `msgpack:"result" json:"result"`
}

// AuditOut contains entries of the audit log, latest first.
type AuditOut struct {
	Entries []AuditEntry `msgpack:"entries"`
}
