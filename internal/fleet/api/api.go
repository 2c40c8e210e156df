// Package api is what a fleet's agents and its command line say to each other:
// the methods, their parameters and results, and the errors' codes. Every method
// takes one parameter, a map. It owns no connection and decides nothing.
package api

import (
	"fmt"
	"time"
)

// The versions of this protocol that this build speaks. A new field is no new
// version; a changed meaning is.
const (
	Version = 1
	Oldest  = 1
)

// Methods. All may be called again after a lost answer: a repeat changes nothing
// more and is answered with what is.
const (
	Hello        = "hello"         // HelloIn, HelloOut; first on each connection
	List         = "list"          // Empty, ListOut
	Inspect      = "inspect"       // InstanceIn, InspectOut
	Logs         = "logs"          // LogsIn, LogsOut
	Audit        = "audit"         // AuditIn, AuditOut
	ReleaseStat  = "release.stat"  // ReleaseIn, ReleaseOut
	ReleaseWrite = "release.write" // ChunkIn, ReleaseOut
	ReleaseDone  = "release.done"  // ReleaseIn, ReleaseOut
	OpOpen       = "op.open"       // OpenIn, OpenOut
	OpClose      = "op.close"      // CloseIn, OpOut
	OpAbort      = "op.abort"      // AbortIn, OpOut
	OpStatus     = "op.status"     // StatusIn, OpOut
	OpList       = "op.list"       // Empty, OpsOut
	StepStart    = "step.start"    // StepIn, Step
)

// Roles of a caller. Operate includes View.
const (
	View    = "view"
	Operate = "operate"
)

// Codes of errors.
const (
	BadParams   = "bad_params"
	BadVersion  = "bad_version"
	NoMethod    = "no_such_method"
	NoInstance  = "no_such_instance"
	NoOperation = "no_such_operation"
	NoRelease   = "no_such_release"
	BadRelease  = "bad_release"
	Forbidden   = "forbidden"
	Held        = "held"       // another holds the lease, or an operation is open
	Fenced      = "fenced"     // the caller's token is not, or no longer, the lease's
	Closed      = "closed"     // the operation has ended or is to end
	Unwritable  = "unwritable" // the record can't be written; nothing was touched
	Internal    = "internal"
	NotWelcomed = "hello_first"
)

// Error is an error on the wire.
type Error struct {
	Code    string `msgpack:"code" json:"code"`
	Message string `msgpack:"message" json:"message"`
}

func (e *Error) Error() string { return e.Message }

// ErrorValue implements msgpackrpc.ErrorValuer.
func (e *Error) ErrorValue() any { return e }

// Errorf makes an error with a code.
func Errorf(code, format string, a ...any) *Error {
	return &Error{Code: code, Message: fmt.Sprintf(format, a...)}
}

// Desired states of an instance.
const (
	Running = "running"
	Stopped = "stopped"
	Drained = "drained" // stopped by an operator who will undrain it; start leaves it alone
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

type Empty struct{}

type HelloIn struct {
	Oldest  int    `msgpack:"oldest"`
	Version int    `msgpack:"version"`
	Client  string `msgpack:"client"` // who asks, for the audit log
}

type HelloOut struct {
	Version int       `msgpack:"version"` // the one spoken from here on
	Agent   string    `msgpack:"agent"`
	Role    string    `msgpack:"role"`
	Started time.Time `msgpack:"started"`
}

// Instance is the state of one sidecar as its agent sees it.
type Instance struct {
	Name    string            `msgpack:"name" json:"name"`
	Host    string            `msgpack:"host" json:"host"`
	Labels  map[string]string `msgpack:"labels" json:"labels,omitempty"`
	Listen  string            `msgpack:"listen" json:"listen"`
	Desired string            `msgpack:"desired" json:"desired"`
	State   string            `msgpack:"state" json:"state"` // as life.Phase says it
	Reason  string            `msgpack:"reason" json:"reason,omitempty"`
	Release string            `msgpack:"release" json:"release"`           // desired
	Running string            `msgpack:"running" json:"running,omitempty"` // of the process
	// Generation is the launch that is wanted, Process that of the running process.
	Generation int64     `msgpack:"generation" json:"generation"`
	Process    int64     `msgpack:"process" json:"process,omitempty"`
	Previous   string    `msgpack:"previous" json:"previous,omitempty"`
	PID        int       `msgpack:"pid" json:"pid,omitempty"`
	Launched   time.Time `msgpack:"launched" json:"launched,omitzero"`
	Since      time.Time `msgpack:"since" json:"since"` // of State
	Restarts   int64     `msgpack:"restarts" json:"restarts"`
	LastExit   string    `msgpack:"last_exit" json:"last_exit,omitempty"`
	Record     string    `msgpack:"record,omitempty" json:"record,omitempty"` // how its store of record does, by its own word
	Operation  string    `msgpack:"operation" json:"operation,omitempty"`     // open on it
	Holder     string    `msgpack:"holder" json:"holder,omitempty"`           // of a live lease
}

type ListOut struct {
	Agent      string     `msgpack:"agent"`
	Now        time.Time  `msgpack:"now"`
	Unwritable string     `msgpack:"unwritable"` // why the record can't be written
	Instances  []Instance `msgpack:"instances"`
}

type InstanceIn struct {
	Instance string `msgpack:"instance"`
}

type InspectOut struct {
	Instance Instance `msgpack:"instance" json:"instance"`
	Steps    []Step   `msgpack:"steps" json:"steps"` // the latest first
	Config   string   `msgpack:"config" json:"config"`
	Log      string   `msgpack:"log" json:"log"`
}

type LogsIn struct {
	Instance string `msgpack:"instance"`
	Offset   int64  `msgpack:"offset"` // negative: so many bytes from the end
	Most     int    `msgpack:"most"`
}

type LogsOut struct {
	Data []byte `msgpack:"data"`
	Next int64  `msgpack:"next"`
}

type AuditIn struct {
	Most int `msgpack:"most"`
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

// ReleaseIn names a release by its content hash.
type ReleaseIn struct {
	Release string `msgpack:"release"`
}

type ChunkIn struct {
	Release string `msgpack:"release"`
	File    string `msgpack:"file"` // "sidecar" or "overlay.json"
	Offset  int64  `msgpack:"offset"`
	Data    []byte `msgpack:"data"`
}

type ReleaseOut struct {
	Have    bool  `msgpack:"have"`
	Sidecar int64 `msgpack:"sidecar"` // bytes received of it so far
	Overlay int64 `msgpack:"overlay"`
}

// Target is one instance of an operation.
type Target struct {
	Host     string `msgpack:"host" json:"host"`
	Instance string `msgpack:"instance" json:"instance"`
}

// Policy is how a rolling change goes about its instances; see package rollout.
type Policy struct {
	Batch          int    `msgpack:"batch" json:"batch"`
	Canaries       int    `msgpack:"canaries" json:"canaries"`
	MaxUnavailable int    `msgpack:"max_unavailable" json:"max_unavailable"`
	MaxFailures    int    `msgpack:"max_failures" json:"max_failures"`
	OnFailure      string `msgpack:"on_failure" json:"on_failure"`
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
}

// OpenIn asks for an operation's instances at this agent, at its begin or to go on.
type OpenIn struct {
	Operation Operation     `msgpack:"operation"`
	Holder    string        `msgpack:"holder"` // one run of a command; new for each
	TTL       time.Duration `msgpack:"ttl"`
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
	Generation int64         `msgpack:"generation" json:"generation"`
	From       string        `msgpack:"from" json:"from,omitempty"`     // release before
	To         string        `msgpack:"to" json:"to,omitempty"`         // and after
	Before     string        `msgpack:"before" json:"before,omitempty"` // what a rollback led to before
	Ready      time.Duration `msgpack:"ready" json:"ready"`
	Soak       time.Duration `msgpack:"soak" json:"soak"`
	Started    time.Time     `msgpack:"started" json:"started"`
	Ended      time.Time     `msgpack:"ended" json:"ended,omitzero"`
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
	Operation Operation  `msgpack:"operation"`
	State     string     `msgpack:"state"`
	Result    string     `msgpack:"result"`
	Holder    string     `msgpack:"holder"`
	Expires   time.Time  `msgpack:"expires"`
	Steps     []Step     `msgpack:"steps"`
	Instances []Instance `msgpack:"instances"` // the operation's, of this agent
	Change    int64      `msgpack:"change"`    // for StatusIn.After
	Now       time.Time  `msgpack:"now"`
}

type OpsOut struct {
	Ops []OpOut `msgpack:"ops"`
}
