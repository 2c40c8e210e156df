package api

import (
	"time"
)

// Desired states of an instance.
const (
	Running = "running"
	Stopped = "stopped"
	Drained = "drained" // stopped by an operator who will undrain it; start leaves it alone
)

// Instance is the state of one sidecar as its agent sees it.
type Instance struct {
	Name    string            `msgpack:"name" json:"name"`
	Host    string            `msgpack:"host" json:"host"`
	Labels  map[string]string `msgpack:"labels" json:"labels,omitempty"`
	Listen  string            `msgpack:"listen" json:"listen"`
	Desired string            `msgpack:"desired" json:"desired"`
	State   string            `msgpack:"state" json:"state"` // a supervisor.Phase
	Reason  string            `msgpack:"reason" json:"reason,omitempty"`
	Release string            `msgpack:"release" json:"release"`           // desired
	Running string            `msgpack:"running" json:"running,omitempty"` // of the process
	// Generation is the desired launch, Process that of the running process.
	Generation   int64     `msgpack:"generation" json:"generation"`
	Process      int64     `msgpack:"process" json:"process,omitempty"`
	Previous     string    `msgpack:"previous" json:"previous,omitempty"`
	PID          int       `msgpack:"pid" json:"pid,omitempty"`
	Launched     time.Time `msgpack:"launched" json:"launched,omitzero"`
	Since        time.Time `msgpack:"since" json:"since"` // of State
	Restarts     int64     `msgpack:"restarts" json:"restarts"`
	LastExit     string    `msgpack:"last_exit" json:"last_exit,omitempty"`
	Record       string    `msgpack:"record,omitempty" json:"record,omitempty"` // of its idempotency store, as the process reports it
	AdminAddress string    `msgpack:"door,omitempty" json:"door,omitempty"`     // of its admin endpoint; "": none
	Rate         float64   `msgpack:"rate,omitempty" json:"rate,omitempty"`     // requests per second over the latest slots
	Operation    string    `msgpack:"operation" json:"operation,omitempty"`     // that is open on the instance
	LeaseHolder  string    `msgpack:"holder" json:"holder,omitempty"`           // of a live lease
}

// ListOut is the state of an agent and of all its instances.
type ListOut struct {
	Agent      string     `msgpack:"agent"`
	Now        time.Time  `msgpack:"now"`
	Unwritable string     `msgpack:"unwritable"` // why the record can't be written
	Instances  []Instance `msgpack:"instances"`
	// Returning is the progress of a return from a power loss; "": none is going on. Epoch is
	// the number of the host's latest loss while it is recent, otherwise 0.
	Returning string `msgpack:"returning,omitempty"`
	Epoch     int64  `msgpack:"epoch,omitempty"`
}

// InstanceIn names an instance.
type InstanceIn struct {
	Instance string `msgpack:"instance"`
}

// InspectOut is an instance with its latest steps, its configuration and the end of its log.
type InspectOut struct {
	Instance Instance `msgpack:"instance" json:"instance"`
	Steps    []Step   `msgpack:"steps" json:"steps"` // the latest first
	Config   string   `msgpack:"config" json:"config"`
	Log      string   `msgpack:"log" json:"log"`
	// Settings is nil if the host subscribes to no relays.
	Settings *InstanceSettings `msgpack:"settings,omitempty" json:"settings,omitempty"`
}

// LogsIn requests a part of an instance's log.
type LogsIn struct {
	Instance string `msgpack:"instance"`
	Offset   int64  `msgpack:"offset"` // bytes; a negative one counts from the end
	Limit    int    `msgpack:"most"`
}

// LogsOut is a part of a log; Next is the offset after it.
type LogsOut struct {
	Data []byte `msgpack:"data"`
	Next int64  `msgpack:"next"`
}

// AuditIn requests the latest entries of the audit log.
type AuditIn struct {
	Limit int `msgpack:"most"`
}

// AuditEntry is who did what to which target, and the result.
type AuditEntry struct {
	At     time.Time `msgpack:"at" json:"at"`
	Who    string    `msgpack:"who" json:"who"`
	What   string    `msgpack:"what" json:"what"`
	Target string    `msgpack:"target" json:"target"`
	Result string    `msgpack:"result" json:"result"`
}

// AuditOut holds entries of the audit log.
type AuditOut struct {
	Entries []AuditEntry `msgpack:"entries"`
}
