package canary

import (
	"time"
)

// Counts are the requests of one class in a window, by outcome.
type Counts struct {
	Served   uint32 `msgpack:"Served" json:"Served"`
	Rejected uint32 `msgpack:"Refused" json:"Refused"`
	Failed   uint32 `msgpack:"Failed" json:"Failed"`
}

// Total is the number of requests.
func (c Counts) Total() float64 { return float64(c.Served) + float64(c.Rejected) + float64(c.Failed) }

// Window is the counts of one process in one slot of time.
type Window struct {
	Instance int // index into Config.Zones
	// Slot is the number of the slot, which begins at the same time on all hosts.
	Slot int
	// Release is the hash of the program and configuration that ran. No window spans a
	// change of it (see Differ).
	Release string
	Age     time.Duration // of the process, at the end of the window
	Classes []Counts      // by class, in the order of Config.Classes
	// Attempts are attempts written to servers, Finished all that finished, and Rejected
	// those of them that a server rejected.
	Attempts, Finished, Rejected uint32
	// Sampled are requests whose time in the sidecar was measured, Slow those of them that
	// were in it for too long (package scrape sets the limit).
	Sampled, Slow uint32
	Crashes       uint32 // unexpected exits of a process since the window before
	Memory        uint64 // resident, in bytes, at the end of the window; 0: unknown
	Files         uint32 // open descriptors at the end of the window; 0: unknown
}

// requests is the number of requests of all classes.
func (w *Window) requests() (n float64) {
	for _, c := range w.Classes {
		n += c.Total()
	}
	return n
}

// Reason is why a window was excluded.
type Reason string

// The reasons. The first five are those of a Differ or its caller, the others those of a
// Judge, which shares Unrecognized with Differ.
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
