package canary

import (
	"time"
)

// Counts are the numbers of requests of one class in a window, by outcome.
type Counts struct {
	Served   uint32 `msgpack:"Served" json:"Served"`
	Rejected uint32 `msgpack:"Refused" json:"Refused"`
	Failed   uint32 `msgpack:"Failed" json:"Failed"`
}

// Total returns the number of requests of all outcomes.
func (c Counts) Total() float64 { return float64(c.Served) + float64(c.Rejected) + float64(c.Failed) }

// Window holds the counts of one process in one slot of time.
type Window struct {
	Instance int // index into Config.Zones
	// Slot is the number of the slot. A slot begins at the same time on all hosts.
	Slot int
	// Release is the hash of the program and the configuration that the process ran. No
	// window spans a change of Release (see WindowBuilder).
	Release string
	Age     time.Duration // of the process, at the end of the window
	Classes []Counts      // by class, in the order of Config.Classes
	// Attempts is the number of attempts written to servers, Finished the number of attempts
	// that finished, and Rejected the number of finished attempts that a server rejected.
	Attempts, Finished, Rejected uint32
	// Sampled is the number of requests whose time in the sidecar was measured, Slow the
	// number of those that spent too much time in it (package scrape sets the limit).
	Sampled, Slow uint32
	Crashes       uint32 // unexpected exits of a process of the instance since the window before
	Memory        uint64 // resident memory in bytes at the end of the window; 0: unknown
	Files         uint32 // open file descriptors at the end of the window; 0: unknown
}

// requests is the number of requests of all classes.
func (w *Window) requests() (n float64) {
	for _, c := range w.Classes {
		n += c.Total()
	}
	return n
}

// Reason is why a window was excluded, or why there is none for a slot.
type Reason string

// The reasons. The first four are set by a WindowBuilder and ClockSkew by its caller; the others are
// set by a Judge. A WindowBuilder also sets Unrecognized. The texts are keys of the JSON output.
const (
	Restarted        Reason = "process started anew"
	MissingSample    Reason = "no figures at a boundary"
	OffBoundary      Reason = "figures not of the boundary"
	CounterDecreased Reason = "a count fell"
	ClockSkew        Reason = "clocks differ"
	OtherRelease     Reason = "another release"
	WarmingUp        Reason = "process still warming up"
	BeyondMaxSlots   Reason = "past the slots that are kept"
	Unrecognized     Reason = "not of this fleet's classes or instances"
	NoBaseline       Reason = "no unchanged instance beside it"
)
