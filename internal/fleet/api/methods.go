package api

import (
	"time"
)

// The protocol versions that this build speaks. A new field does not need a new version; a changed
// meaning does.
const (
	Version = 1
	Oldest  = 1
)

// Methods. All are idempotent: one whose answer was lost may be called again and returns the
// current state.
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

// Empty is the parameter or the result of a method that has none.
type Empty struct{}

// HelloIn offers the versions from Oldest to Version.
type HelloIn struct {
	Oldest  int    `msgpack:"oldest"`
	Version int    `msgpack:"version"`
	Client  string `msgpack:"client"` // the caller, for the audit log
}

// HelloOut is the agent's choice of a version and the caller's role.
type HelloOut struct {
	Version int       `msgpack:"version"` // of this connection from now on
	Agent   string    `msgpack:"agent"`
	Role    string    `msgpack:"role"`
	Started time.Time `msgpack:"started"`
}
