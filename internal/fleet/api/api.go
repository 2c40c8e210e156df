// Package api is what a fleet's agents and its command line say to each other:
// the methods, their parameters and results, and the errors' codes. Every method
// takes one parameter, a map. It owns no connection and decides nothing.
package api

import (
	"fmt"
	"time"

	"martendrum/internal/fleet/canary"
	"martendrum/internal/fleet/stage"
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
	ReleaseRead  = "release.read"  // ReadIn, ReadOut
	OpOpen       = "op.open"       // OpenIn, OpenOut
	OpClose      = "op.close"      // CloseIn, OpOut
	OpAbort      = "op.abort"      // AbortIn, OpOut
	OpStatus     = "op.status"     // StatusIn, OpOut
	OpList       = "op.list"       // Empty, OpsOut
	OpNote       = "op.note"       // NoteIn, OpOut
	StepStart    = "step.start"    // StepIn, Step
	Metrics      = "figures"       // MetricsIn, MetricsOut
)

// Roles of a caller. Operate includes View.
const (
	View    = "view"
	Operate = "operate"
)

// Codes of errors.
const (
	InvalidParams      = "bad_params"
	UnsupportedVersion = "bad_version"
	NoMethod           = "no_such_method"
	NoInstance         = "no_such_instance"
	NoOperation        = "no_such_operation"
	NoRelease          = "no_such_release"
	InvalidRelease     = "bad_release"
	Forbidden          = "forbidden"
	LeaseHeld          = "held"       // another holds the lease, or an operation is open
	Fenced             = "fenced"     // the caller's token is not, or no longer, the lease's
	Closed             = "closed"     // the operation has ended or is to end
	Unwritable         = "unwritable" // the record can't be written; nothing was touched
	Internal           = "internal"
	NotWelcomed        = "hello_first"
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

// ReturningError tells that a host comes back from a power loss: nothing is taken away
// from a fleet that is not whole.
type ReturningError struct{ Host, How string }

func (e *ReturningError) Error() string {
	return fmt.Sprintf("host %s comes back from a power loss: %s", e.Host, e.How)
}

// Advice says what an operator can do.
func (e *ReturningError) Advice() string {
	return "wait until all its waves have begun, see `martendrum list`, and say it again"
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

// ReadIn asks for a piece of a release's file.
type ReadIn struct {
	Release string `msgpack:"release"`
	File    string `msgpack:"file"`
	Offset  int64  `msgpack:"offset"`
}

type ReadOut struct {
	Data []byte `msgpack:"data"`
	Size int64  `msgpack:"size"` // of the whole file
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

// Place is where a target is.
type Place struct {
	Zone string `msgpack:"zone,omitempty" json:"zone,omitempty"`
	Shop string `msgpack:"shop,omitempty" json:"shop,omitempty"`
}

// Staged is how a change in stages goes about it; see packages stage and canary.
type Staged struct {
	Plan  stage.Plan    `msgpack:"plan" json:"plan"`
	Judge canary.Config `msgpack:"judge" json:"judge"` // its Start is set when the first stage begins
	Seed  uint64        `msgpack:"seed" json:"seed"`   // of the draw that ordered the targets
	// First is the boundary (Unix time over slot length) at which slot 0 begins.
	First int64 `msgpack:"first" json:"first"`
	// Alone is how long an agent waits, once nobody holds the operation any more,
	// before it takes back those of its own instances that fail by the coarse rule.
	// 0: it never does.
	Alone time.Duration `msgpack:"alone" json:"alone"`
}

// Note is where a staged change stands, as its holder last wrote it down. Of two,
// the one with the higher Number counts.
type Note struct {
	Number int64       `msgpack:"number" json:"number"`
	At     time.Time   `msgpack:"at" json:"at"`
	By     string      `msgpack:"by" json:"by"`
	State  stage.State `msgpack:"state" json:"state"`
	Start  int         `msgpack:"start" json:"start"` // slot at which the first stage began
	Log    []Verdict   `msgpack:"log" json:"log"`     // the latest last, MaxVerdicts of them
}

// MaxVerdicts is how many verdicts a note keeps.
const MaxVerdicts = 64

// Verdict is one change of what was known, for the report.
type Verdict struct {
	At       time.Time `msgpack:"at" json:"at"`
	Slot     int       `msgpack:"slot" json:"slot"`
	Stage    int       `msgpack:"stage" json:"stage"`
	Verdict  string    `msgpack:"verdict" json:"verdict"`
	Text     string    `msgpack:"text" json:"text"`
	Evidence []string  `msgpack:"evidence" json:"evidence,omitempty"`
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

// NoteIn writes down where a staged change stands.
type NoteIn struct {
	Op    string `msgpack:"op"`
	Token int64  `msgpack:"token"`
	Note  Note   `msgpack:"note"`
}

// MetricsIn asks for what an agent's instances counted at the boundaries of slots
// of its own length, from After on (a boundary's number, Unix time over the
// length), the earliest first.
type MetricsIn struct {
	After int64 `msgpack:"after"`
	Limit int   `msgpack:"most"` // samples; 0: as many as a message holds
}

type MetricsOut struct {
	Slot    time.Duration `msgpack:"slot"` // 0: this agent takes no figures
	Now     time.Time     `msgpack:"now"`
	Last    int64         `msgpack:"last"` // the latest boundary that is whole
	Samples []Sample      `msgpack:"samples"`
}

// Sample is what an instance's door told at a boundary; see canary.Sample.
type Sample struct {
	Instance string                   `msgpack:"i"`
	Boundary int64                    `msgpack:"b"`
	At       time.Time                `msgpack:"t"`
	Process  string                   `msgpack:"p"`
	Release  string                   `msgpack:"r"`
	Started  time.Time                `msgpack:"s"`
	Classes  map[string]canary.Counts `msgpack:"c"`
	Attempts uint32                   `msgpack:"n"`
	Finished uint32                   `msgpack:"e"`
	Rejected uint32                   `msgpack:"d"`
	Timed    uint32                   `msgpack:"o"`
	Slow     uint32                   `msgpack:"w"`
	Crashes  uint32                   `msgpack:"x"`
	Memory   uint64                   `msgpack:"m"`
	Files    uint32                   `msgpack:"f"`
}

// CanarySample is the sample as the judge takes it: of the instance at that place, with the
// classes in that order.
func (s *Sample) CanarySample(instance int, classes []string) canary.Sample {
	w := canary.Window{Instance: instance, Release: s.Release, Attempts: s.Attempts, Finished: s.Finished, Rejected: s.Rejected,
		Sampled: s.Timed, Slow: s.Slow, Crashes: s.Crashes, Memory: s.Memory, Files: s.Files, Classes: make([]canary.Counts, len(classes))}
	for n, name := range classes {
		w.Classes[n] = s.Classes[name]
	}
	return canary.Sample{At: s.At, Process: s.Process, Started: s.Started, Window: w}
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
