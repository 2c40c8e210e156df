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
	State   string            `msgpack:"state" json:"state"` // as supervisor.Phase says it
	Reason  string            `msgpack:"reason" json:"reason,omitempty"`
	Release string            `msgpack:"release" json:"release"`           // desired
	Running string            `msgpack:"running" json:"running,omitempty"` // of the process
	// Generation is the launch that is wanted, Process that of the running process.
	Generation   int64     `msgpack:"generation" json:"generation"`
	Process      int64     `msgpack:"process" json:"process,omitempty"`
	Previous     string    `msgpack:"previous" json:"previous,omitempty"`
	PID          int       `msgpack:"pid" json:"pid,omitempty"`
	Launched     time.Time `msgpack:"launched" json:"launched,omitzero"`
	Since        time.Time `msgpack:"since" json:"since"` // of State
	Restarts     int64     `msgpack:"restarts" json:"restarts"`
	LastExit     string    `msgpack:"last_exit" json:"last_exit,omitempty"`
	Record       string    `msgpack:"record,omitempty" json:"record,omitempty"` // how its store of record does, by its own word
	AdminAddress string    `msgpack:"door,omitempty" json:"door,omitempty"`     // where its operators' door is, "" for none
	Rate         float64   `msgpack:"rate,omitempty" json:"rate,omitempty"`     // requests a second, of late
	Operation    string    `msgpack:"operation" json:"operation,omitempty"`     // open on it
	LeaseHolder  string    `msgpack:"holder" json:"holder,omitempty"`           // of a live lease
}

type ListOut struct {
	Agent      string     `msgpack:"agent"`
	Now        time.Time  `msgpack:"now"`
	Unwritable string     `msgpack:"unwritable"` // why the record can't be written
	Instances  []Instance `msgpack:"instances"`
	// Returning tells, while the host's instances come back from a power loss, how far they
	// are; Epoch counts its losses since the agent began, if there was one.
	Returning string `msgpack:"returning,omitempty"`
	Epoch     int64  `msgpack:"epoch,omitempty"`
}

type InstanceIn struct {
	Instance string `msgpack:"instance"`
}

type InspectOut struct {
	Instance Instance `msgpack:"instance" json:"instance"`
	Steps    []Step   `msgpack:"steps" json:"steps"` // the latest first
	Config   string   `msgpack:"config" json:"config"`
	Log      string   `msgpack:"log" json:"log"`
	// Settings is nil where the host follows no relays.
	Settings *InstanceSettings `msgpack:"settings,omitempty" json:"settings,omitempty"`
}

type LogsIn struct {
	Instance string `msgpack:"instance"`
	Offset   int64  `msgpack:"offset"` // negative: so many bytes from the end
	Limit    int    `msgpack:"most"`
}

type LogsOut struct {
	Data []byte `msgpack:"data"`
	Next int64  `msgpack:"next"`
}

type AuditIn struct {
	Limit int `msgpack:"most"`
}

type AuditEntry struct {
	At     time.Time `msgpack:"at" json:"at"`
	Who    string    `msgpack:"who" json:"who"`
	What   string    `msgpack:"what" json:"what"`
	Target string    `msgpack:"target" json:"target"`
	Result string    `msgpack:"result" json:"result"`
}

type AuditOut struct {
	Entries []AuditEntry `msgpack:"entries"`
}
