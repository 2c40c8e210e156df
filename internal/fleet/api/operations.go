package api

import (
	"time"
)

// Actions of an operation.
const (
	ActStart    = "start"
	ActStop     = "stop"
	ActDrain    = "drain"
	ActUndrain  = "undrain"
	ActRestart  = "restart"
	ActReload   = "reload"
	ActUpgrade  = "upgrade"
	ActSettings = "settings" // another overlay for the same program, applied by a reload
	ActRollback = "rollback"
)

// Kinds of a step: the operation's change, and its rollback.
const (
	Change   = "change"
	Rollback = "rollback"
)

// Outcomes of a step.
const (
	StepRunning = "running"
	StepOK      = "ok"
	StepFailed  = "failed"
)

// States of an operation at one agent.
const (
	OpOpened   = "open"
	OpAborting = "aborting" // no new step starts
	OpClosed   = "closed"
)

// Target is one instance of an operation.
type Target struct {
	Host     string `msgpack:"host" json:"host"`
	Instance string `msgpack:"instance" json:"instance"`
}

// Place is the zone and the shop of a target.
type Place struct {
	Zone string `msgpack:"zone,omitempty" json:"zone,omitempty"`
	Shop string `msgpack:"shop,omitempty" json:"shop,omitempty"`
}

// Operation is a change to a set of instances. Every agent of one of them stores the complete
// operation, so that any operator can resume it from any of the agents.
type Operation struct {
	ID       string        `msgpack:"id" json:"id"`
	Action   string        `msgpack:"action" json:"action"`
	Release  string        `msgpack:"release" json:"release,omitempty"` // of an upgrade
	Targets  []Target      `msgpack:"targets" json:"targets"`           // in the order of the change
	Policy   Policy        `msgpack:"policy" json:"policy"`
	Ready    time.Duration `msgpack:"ready" json:"ready"` // the time in which an instance must become ready
	Soak     time.Duration `msgpack:"soak" json:"soak"`   // the time for which it must then stay ready
	Operator string        `msgpack:"operator" json:"operator"`
	Created  time.Time     `msgpack:"created" json:"created"`

	Staged *Staged `msgpack:"staged,omitempty" json:"staged,omitempty"` // nil: a rolling change in batches
	Places []Place `msgpack:"places,omitempty" json:"places,omitempty"` // of Targets; empty: unknown
	Note   *Note   `msgpack:"note,omitempty" json:"note,omitempty"`     // the latest at this agent; nil: none
}

// OpenIn opens or resumes an operation and acquires the leases of its instances at this agent.
type OpenIn struct {
	Operation   Operation     `msgpack:"operation"`
	LeaseHolder string        `msgpack:"holder"` // identifies one run of a command
	TTL         time.Duration `msgpack:"ttl"`
}

// OpenOut is the fencing token of the acquired leases and their end.
type OpenOut struct {
	Token   int64     `msgpack:"token"`
	Expires time.Time `msgpack:"expires"`
}

// StepIn starts a step of an operation on one instance.
type StepIn struct {
	Op       string `msgpack:"op"`
	Token    int64  `msgpack:"token"`
	Instance string `msgpack:"instance"`
	Kind     string `msgpack:"kind"`
}

// Step is what an agent did to one instance for one operation.
type Step struct {
	Op         string        `msgpack:"op" json:"op"`
	Instance   string        `msgpack:"instance" json:"instance"`
	Kind       string        `msgpack:"kind" json:"kind"`
	Action     string        `msgpack:"action" json:"action"`
	Status     string        `msgpack:"status" json:"status"`
	Reason     string        `msgpack:"reason" json:"reason,omitempty"`
	Cause      string        `msgpack:"cause,omitempty" json:"cause,omitempty"` // why the agent started it on its own
	Generation int64         `msgpack:"generation" json:"generation"`
	From       string        `msgpack:"from" json:"from,omitempty"`     // the release before
	To         string        `msgpack:"to" json:"to,omitempty"`         // the release after
	Before     string        `msgpack:"before" json:"before,omitempty"` // the release that a rollback would have led to before
	Ready      time.Duration `msgpack:"ready" json:"ready"`
	Soak       time.Duration `msgpack:"soak" json:"soak"`
	Started    time.Time     `msgpack:"started" json:"started"`
	Finished   time.Time     `msgpack:"ended" json:"ended,omitzero"`
	Token      int64         `msgpack:"token" json:"token"`
}

// CloseIn closes an operation with a result.
type CloseIn struct {
	Op     string `msgpack:"op"`
	Token  int64  `msgpack:"token"`
	Result string `msgpack:"result"`
}

// AbortIn aborts an operation.
type AbortIn struct {
	Op string `msgpack:"op"`
}

// StatusIn requests the state of an operation at this agent. With a Token it renews the leases for
// TTL. With Wait the answer is delayed, for that long at most, until a change after After.
type StatusIn struct {
	Op    string        `msgpack:"op"`
	Token int64         `msgpack:"token"`
	TTL   time.Duration `msgpack:"ttl"`
	After int64         `msgpack:"after"`
	Wait  time.Duration `msgpack:"wait"`
}

// OpOut is an operation as one agent has it.
type OpOut struct {
	Operation   Operation  `msgpack:"operation"`
	State       string     `msgpack:"state"`
	Result      string     `msgpack:"result"`
	LeaseHolder string     `msgpack:"holder"`
	Expires     time.Time  `msgpack:"expires"`
	Steps       []Step     `msgpack:"steps"`
	Instances   []Instance `msgpack:"instances"` // the operation's, of this agent
	Change      int64      `msgpack:"change"`    // for StatusIn.After
	Now         time.Time  `msgpack:"now"`
}

// OpsOut lists the operations of an agent.
type OpsOut struct {
	Ops []OpOut `msgpack:"ops"`
}
