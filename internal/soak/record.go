package soak

import (
	"net/http"
	"time"
)

// All times of a Record are since its world's start, on a monotonic clock.

// Ways in which a client's request ended.
const (
	EndAnswered  = "answered"  // a whole answer came
	EndClosed    = "closed"    // the connection ended before the first byte of an answer
	EndTruncated = "truncated" // the connection ended in the middle of an answer
	EndNothing   = "nothing"   // the client waited to the end of its patience
	EndLeft      = "left"      // the client closed its connection
)

// Request is what a client recorded of a request.
type Request struct {
	ID      string
	Sidecar int
	Class   string
	Key     string
	Wait    time.Duration // how long the client said it would wait
	Dialed  time.Duration // when its connection was opened
	Sent    time.Duration // when its last byte had been written
	Ended   time.Duration
	End     string
	Status  int
	Body    string
	FirstOn bool // the first request on its connection
}

// Attempt is what a server recorded of a request that came to it.
type Attempt struct {
	ID       string
	Server   int
	Key      string
	First    time.Duration // its first byte
	Last     time.Duration // its last byte; 0: it never came
	Deadline time.Duration // what it said it would wait
	Declined bool          // turned away, known not to have run
	Answer   string        // the body that the server meant to send; empty: none
	Spoilt   bool          // the answer was not sent whole
	Again    time.Duration // when the answer was sent a second time; 0: it was not
}

// Stay is what a server is on the list.
type Stay string

// The states of a server on the list.
const (
	Up       Stay = "up"
	Draining Stay = "draining"
	Removed  Stay = "removed"
)

// Change is a change of the list, as discovery has it.
type Change struct {
	At     time.Duration
	Server int
	State  Stay
	Since  time.Duration // when the server started, for Up; 0: long ago
}

// Told is a state that discovery wrote to a sidecar.
type Told struct {
	At      time.Duration
	Sidecar int
	Server  int
	State   Stay
	Since   time.Duration
}

// Life is one process of a sidecar.
type Life struct {
	Sidecar int
	Started time.Duration
	Ready   time.Duration // 0: never
	Told    time.Duration // the first signal to end; 0: none
	Ended   time.Duration // 0: it ran to the end
	Killed  time.Duration // when it was killed; 0: it was not
	Exit    string        // how it ended by itself, empty: with success
	Panics  int           // in its log
}

// Stall is a client that stopped in the middle of a request and stayed.
type Stall struct {
	Sidecar int
	Stopped time.Duration
	Ended   time.Duration // when it got its error or close; 0: never
}

// Outage is a time in which discovery told nothing.
type Outage struct{ From, To time.Duration }

// Served is how many requests were served. A day may be drawn on which none can be; over
// many days that must be rare.
func (r *Record) Served() (served int) {
	for _, request := range r.Requests {
		if request.Status == http.StatusOK {
			served++
		}
	}
	return served
}

// Record is what a run left.
type Record struct {
	Length   time.Duration
	Requests []Request
	Attempts []Attempt
	Changes  []Change
	Told     []Told
	Lives    []Life
	Stalls   []Stall
	Outages  []Outage
	Lateness time.Duration // the most that the recorders themselves ran late
}
