package api

import (
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
