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

// States of a step. See Step.Status.
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

// Target is an instance that an operation changes.
type Target struct {
	Host     string `msgpack:"host" json:"host"`
	Instance string `msgpack:"instance" json:"instance"`
}

// Place is the zone and the shop of a target.
type Place struct {
	Zone string `msgpack:"zone,omitempty" json:"zone,omitempty"`
	Shop string `msgpack:"shop,omitempty" json:"shop,omitempty"`
}

// Operation is a change to a set of instances. Each agent that has one of these instances stores the
// complete operation, so that any operator can resume it from any of the agents.
type Operation struct {
	ID           string        `msgpack:"id" json:"id"`
	Action       string        `msgpack:"action" json:"action"`
	Release      string        `msgpack:"release" json:"release,omitempty"` // hash of the release that an upgrade installs
	Targets      []Target      `msgpack:"targets" json:"targets"`           // in the order in which they are changed
	Policy       Policy        `msgpack:"policy" json:"policy"`
	ReadyTimeout time.Duration `msgpack:"ready" json:"ready"` // time within which a changed instance must become ready
	Soak         time.Duration `msgpack:"soak" json:"soak"`   // time for which it must then stay ready
	Operator     string        `msgpack:"operator" json:"operator"`
	Created      time.Time     `msgpack:"created" json:"created"`

	Staged *Staged `msgpack:"staged,omitempty" json:"staged,omitempty"` // nil for a rolling change in batches
	Places []Place `msgpack:"places,omitempty" json:"places,omitempty"` // of Targets, in the same order; empty if unknown
	Note   *Note   `msgpack:"note,omitempty" json:"note,omitempty"`     // the latest at this agent; nil if there is none
}

// OpenIn opens or resumes an operation and acquires the leases of its instances at this agent.
type OpenIn struct {
	Operation   Operation     `msgpack:"operation"`
	LeaseHolder string        `msgpack:"holder"` // identifies one run of a command
	TTL         time.Duration `msgpack:"ttl"`
	// New says that the caller has just created the operation. Without it, an agent that does not know
	// the operation opens it only if it can't have carried it out and dropped it from its store.
	New bool `msgpack:"new,omitempty"`
}

// OpenOut is the fencing token of the acquired leases and the time at which they expire.
type OpenOut struct {
	Token   int64     `msgpack:"token"`
	Expires time.Time `msgpack:"expires"`
}

// StepIn starts a step of an operation on one instance. Token is that of OpenOut, Kind is Change or
// Rollback.
type StepIn struct {
	Op       string `msgpack:"op"`
	Token    int64  `msgpack:"token"`
	Instance string `msgpack:"instance"`
	Kind     string `msgpack:"kind"`
}

// Step is what an agent does, or has done, to one instance for one operation.
type Step struct {
	Op              string        `msgpack:"op" json:"op"`
	Instance        string        `msgpack:"instance" json:"instance"`
	Kind            string        `msgpack:"kind" json:"kind"`
	Action          string        `msgpack:"action" json:"action"`
	Status          string        `msgpack:"status" json:"status"`
	Reason          string        `msgpack:"reason" json:"reason,omitempty"`
	Cause           string        `msgpack:"cause,omitempty" json:"cause,omitempty"` // why the agent started the step without a command; "" if a command did
	Generation      int64         `msgpack:"generation" json:"generation"`
	From            string        `msgpack:"from" json:"from,omitempty"`     // release of the instance before the step
	To              string        `msgpack:"to" json:"to,omitempty"`         // release of the instance after the step
	PreviousRelease string        `msgpack:"before" json:"before,omitempty"` // the instance's previous release (Instance.Previous) before the step
	ReadyTimeout    time.Duration `msgpack:"ready" json:"ready"`
	Soak            time.Duration `msgpack:"soak" json:"soak"`
	Started         time.Time     `msgpack:"started" json:"started"`
	Finished        time.Time     `msgpack:"ended" json:"ended,omitzero"`
	Token           int64         `msgpack:"token" json:"token"`
}

// CloseIn closes an operation with a result, which ends its leases at this agent.
type CloseIn struct {
	Op     string `msgpack:"op"`
	Token  int64  `msgpack:"token"`
	Result string `msgpack:"result"`
}

// AbortIn aborts an operation: running steps finish and no new one starts.
type AbortIn struct {
	Op string `msgpack:"op"`
}

// StatusIn requests the state of an operation at this agent. If Token is set, the call also renews the
// leases for TTL. If Wait is set, the answer is delayed until the agent's change number exceeds After, for
// Wait at most.
type StatusIn struct {
	Op    string        `msgpack:"op"`
	Token int64         `msgpack:"token"`
	TTL   time.Duration `msgpack:"ttl"`
	After int64         `msgpack:"after"`
	Wait  time.Duration `msgpack:"wait"`
}

// OpOut is the state of an operation at one agent.
type OpOut struct {
	Operation   Operation  `msgpack:"operation"`
	State       string     `msgpack:"state"`
	Result      string     `msgpack:"result"`
	LeaseHolder string     `msgpack:"holder"`
	Expires     time.Time  `msgpack:"expires"` // when the leases expire
	Steps       []Step     `msgpack:"steps"`
	Instances   []Instance `msgpack:"instances"` // those of the operation that this agent has
	Change      int64      `msgpack:"change"`    // the agent's change number, for StatusIn.After
	Now         time.Time  `msgpack:"now"`
}

// OpsOut lists the operations of an agent.
type OpsOut struct {
	Ops []OpOut `msgpack:"ops"`
}
