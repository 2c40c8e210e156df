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
	ActSettings = "settings" // another overlay for the same program, taken over at SIGHUP
	ActRollback = "rollback"
)

// Kinds of a step: what the operation is for, and taking it back.
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
	OpAborting = "aborting" // no new step is taken
	OpClosed   = "closed"
)

// Target is one instance of an operation.
type Target struct {
	Host     string `msgpack:"host" json:"host"`
	Instance string `msgpack:"instance" json:"instance"`
}

// Place is where a target is.
type Place struct {
	Zone string `msgpack:"zone,omitempty" json:"zone,omitempty"`
	Shop string `msgpack:"shop,omitempty" json:"shop,omitempty"`
}

// Operation is a change to a set of instances. Every agent that has one of them
// keeps the whole of it, so that any operator can go on with it from any of them.
type Operation struct {
	ID       string        `msgpack:"id" json:"id"`
	Action   string        `msgpack:"action" json:"action"`
	Release  string        `msgpack:"release" json:"release,omitempty"` // of an upgrade
	Targets  []Target      `msgpack:"targets" json:"targets"`           // in order
	Policy   Policy        `msgpack:"policy" json:"policy"`
	Ready    time.Duration `msgpack:"ready" json:"ready"` // an instance must be ready within it
	Soak     time.Duration `msgpack:"soak" json:"soak"`   // and stay so for it
	Operator string        `msgpack:"operator" json:"operator"`
	Created  time.Time     `msgpack:"created" json:"created"`

	Staged *Staged `msgpack:"staged,omitempty" json:"staged,omitempty"` // nil: all at once, in batches
	Places []Place `msgpack:"places,omitempty" json:"places,omitempty"` // of Targets; empty: not known
	Note   *Note   `msgpack:"note,omitempty" json:"note,omitempty"`     // at this agent
}

// OpenIn asks for an operation's instances at this agent, at its begin or to go on.
type OpenIn struct {
	Operation   Operation     `msgpack:"operation"`
	LeaseHolder string        `msgpack:"holder"` // one run of a command; new for each
	TTL         time.Duration `msgpack:"ttl"`
}

type OpenOut struct {
	Token   int64     `msgpack:"token"`
	Expires time.Time `msgpack:"expires"`
}

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
	Cause      string        `msgpack:"cause,omitempty" json:"cause,omitempty"` // why its agent began it by itself
	Generation int64         `msgpack:"generation" json:"generation"`
	From       string        `msgpack:"from" json:"from,omitempty"`     // release before
	To         string        `msgpack:"to" json:"to,omitempty"`         // and after
	Before     string        `msgpack:"before" json:"before,omitempty"` // what a rollback led to before
	Ready      time.Duration `msgpack:"ready" json:"ready"`
	Soak       time.Duration `msgpack:"soak" json:"soak"`
	Started    time.Time     `msgpack:"started" json:"started"`
	Finished   time.Time     `msgpack:"ended" json:"ended,omitzero"`
	Token      int64         `msgpack:"token" json:"token"`
}

type CloseIn struct {
	Op     string `msgpack:"op"`
	Token  int64  `msgpack:"token"`
	Result string `msgpack:"result"`
}

type AbortIn struct {
	Op string `msgpack:"op"`
}

// StatusIn asks for an operation's state here. With a Token it renews the lease
// for TTL. With Wait it is answered when something has changed after After.
type StatusIn struct {
	Op    string        `msgpack:"op"`
	Token int64         `msgpack:"token"`
	TTL   time.Duration `msgpack:"ttl"`
	After int64         `msgpack:"after"`
	Wait  time.Duration `msgpack:"wait"`
}

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

type OpsOut struct {
	Ops []OpOut `msgpack:"ops"`
}
