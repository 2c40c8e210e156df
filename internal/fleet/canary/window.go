package canary

import (
	"time"
)

// Counts are what a class of requests came to in a window, in requests.
type Counts struct {
	Served   uint32 `msgpack:"Served" json:"Served"`
	Rejected uint32 `msgpack:"Refused" json:"Refused"`
	Failed   uint32 `msgpack:"Failed" json:"Failed"`
}

// Total is how many there were.
func (c Counts) Total() float64 { return float64(c.Served) + float64(c.Rejected) + float64(c.Failed) }

// Window is what one process counted in one slot of time.
type Window struct {
	Instance int // its place in Config.Zones
	// Slot counts slots of Config.Slot length, from the same moment at all hosts.
	Slot int
	// Release is what it ran: the program's and the configuration's hash. A window
	// in which that changed is none (see Differ).
	Release string
	Age     time.Duration // of the process at the window's end
	Classes []Counts      // by class, as Config.Classes names them
	// Attempts are attempts written to servers; Ended all that ended, Declined those
	// of them that a server turned away.
	Attempts, Finished, Rejected uint32
	// Sampled are requests whose time in the sidecar was taken, Slow those of them
	// held for too long, which whoever reads the figures decides (package scrape).
	Sampled, Slow uint32
	Crashes       uint32 // ends of a process that nobody asked for, since the window before
	Memory        uint64 // resident, in bytes, at the window's end; 0: not known
	Files         uint32 // open descriptors, likewise
}

// requests is how many requests there were.
func (w *Window) requests() (n float64) {
	for _, c := range w.Classes {
		n += c.Total()
	}
	return n
}

// Reason is why evidence was left out.
type Reason string

// The reasons. Differ gives the first ones, a Judge the others.
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
