package api

import (
	"time"
)

// The latest and the oldest protocol version that this build speaks. A new field does not need a new
// version; a field or method that changes its meaning does.
const (
	Version = 1
	Oldest  = 1
)

// Methods. Each comment names the type of the parameter and that of the result. All methods are
// idempotent: a call whose answer was lost may be repeated and then returns the current state.
const (
	Hello        = "hello"         // HelloIn, HelloOut; the first call on each connection
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

// Roles of a caller. Operate includes the rights of View.
const (
	View    = "view"
	Operate = "operate"
)

// Empty is the parameter or the result of a method that has none.
type Empty struct{}

// HelloIn offers the protocol versions from Oldest to Version.
type HelloIn struct {
	Oldest  int    `msgpack:"oldest"`
	Version int    `msgpack:"version"`
	Client  string `msgpack:"client"` // name of the caller, for the audit log
}

// HelloOut is the protocol version that the agent has chosen, and the caller's role.
type HelloOut struct {
	Version int       `msgpack:"version"` // of this connection
	Agent   string    `msgpack:"agent"`
	Role    string    `msgpack:"role"`
	Started time.Time `msgpack:"started"` // when the agent was started
}
