package api

import (
	"time"

	"martendrum/internal/fleet/canary"
	"martendrum/internal/fleet/stage"
)

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

// NoteIn writes down where a staged change stands.
type NoteIn struct {
	Op    string `msgpack:"op"`
	Token int64  `msgpack:"token"`
	Note  Note   `msgpack:"note"`
}
