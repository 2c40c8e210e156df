package api

import (
	"time"

	"martendrum/internal/fleet/canary"
	"martendrum/internal/fleet/stage"
)

// Staged configures a change in stages; see packages stage and canary.
type Staged struct {
	Plan  stage.Plan    `msgpack:"plan" json:"plan"`
	Judge canary.Config `msgpack:"judge" json:"judge"` // except for Start, which is set when the first stage starts
	Seed  uint64        `msgpack:"seed" json:"seed"`   // of the order of the targets; see stage.Draw
	// First is the number of the boundary at which slot 0 begins: its Unix time divided by the length of a
	// slot.
	First int64 `msgpack:"first" json:"first"`
	// UnattendedRollbackDelay is how long an agent waits after the last lease of the operation has expired before it rolls
	// back those of its instances for which canary.CheckLocalHealth returns a reason. 0: it never does.
	UnattendedRollbackDelay time.Duration `msgpack:"alone" json:"alone"`
}

// Note is the progress of a staged change, as the holder of its leases last recorded it. If agents have
// different notes, the one with the highest Number is valid.
type Note struct {
	Number int64       `msgpack:"number" json:"number"`
	At     time.Time   `msgpack:"at" json:"at"`
	By     string      `msgpack:"by" json:"by"` // holder of the leases
	State  stage.State `msgpack:"state" json:"state"`
	Start  int         `msgpack:"start" json:"start"` // slot at which the first stage started
	Log    []Verdict   `msgpack:"log" json:"log"`     // latest last, at most MaxVerdicts
}

// MaxVerdicts is the maximum number of verdicts in a note.
const MaxVerdicts = 64

// Verdict is a decision on a staged change, with the verdict and evidence of the canary analysis behind
// it, for the report.
type Verdict struct {
	At       time.Time `msgpack:"at" json:"at"`
	Slot     int       `msgpack:"slot" json:"slot"`
	Stage    int       `msgpack:"stage" json:"stage"`
	Verdict  string    `msgpack:"verdict" json:"verdict"`
	Text     string    `msgpack:"text" json:"text"`
	Evidence []string  `msgpack:"evidence" json:"evidence,omitempty"`
}

// NoteIn records the progress of a staged change.
type NoteIn struct {
	Op    string `msgpack:"op"`
	Token int64  `msgpack:"token"`
	Note  Note   `msgpack:"note"`
}
