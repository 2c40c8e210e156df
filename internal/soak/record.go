package soak

import (
	"net/http"
	"time"
)

// All times of a Record are since its world's start, on a monotonic clock.

// Ways in which a client's request ended.
const (
	EndAnswered  = "answered"  // a complete answer arrived
	EndClosed    = "closed"    // the connection ended before the first byte of an answer
	EndTruncated = "truncated" // the connection ended in the middle of an answer
	EndNothing   = "nothing"   // the client waited to the end of its patience
	EndLeft      = "left"      // the client closed its connection
)

// Request is what a client recorded of a request.
type Request struct {
	ID       string
	Sidecar  int
	Class    string
	Key      string
	Wait     time.Duration // how long the client said it would wait
	Dialed   time.Duration // when its connection was opened
	Sent     time.Duration // when its last byte had been written
	Finished time.Duration
	End      string
	Status   int
	Body     string
	FirstOn  bool // the first request on its connection
}

// Attempt is what a server recorded of a request that came to it.
type Attempt struct {
	ID        string
	Server    int
	Key       string
	First     time.Duration // its first byte
	Last      time.Duration // its last byte; 0: it never came
	Deadline  time.Duration // what it said it would wait
	Rejected  bool          // rejected, known not to have run
	Answer    string        // the body that the server meant to send; empty: none
	Truncated bool          // the answer was not sent completely
	Repeated  time.Duration // when the answer was sent a second time; 0: it was not
}

// ListState is the state of a server on the list.
type ListState string

// The states of a server on the list.
const (
	Up       ListState = "up"
	Draining ListState = "draining"
	Removed  ListState = "removed"
)

// Change is a change of the list, as discovery has it.
type Change struct {
	At     time.Duration
	Server int
	State  ListState
	Since  time.Duration // when the server started, for Up; 0: long ago
}

// Notification is a server's state as discovery wrote it to a sidecar.
type Notification struct {
	At      time.Duration
	Sidecar int
	Server  int
	State   ListState
	Since   time.Duration
}

// Process is one process of a sidecar.
type Process struct {
	Sidecar   int
	Started   time.Duration
	Ready     time.Duration // 0: never
	Signalled time.Duration // the first signal to terminate; 0: none
	Exited    time.Duration // 0: it ran to the end of the day
	Killed    time.Duration // when it was killed; 0: it was not
	Exit      string        // how it exited, empty: with success
	Panics    int           // in its log
}

// Stall is a client that stopped in the middle of a request and stayed.
type Stall struct {
	Sidecar  int
	Stopped  time.Duration
	Finished time.Duration // when it got its error or close; 0: never
}

// Outage is a time in which discovery sent no changes.
type Outage struct{ From, To time.Duration }

// Served returns the number of requests that were served. A script may be drawn with which
// none can be; over many scripts that must be rare.
func (r *Record) Served() (served int) {
	for _, request := range r.Requests {
		if request.Status == http.StatusOK {
			served++
		}
	}
	return served
}

// Record is everything that was recorded in a run.
type Record struct {
	Length        time.Duration
	Requests      []Request
	Attempts      []Attempt
	Changes       []Change
	Notifications []Notification
	Processes     []Process
	Stalls        []Stall
	Outages       []Outage
	Lateness      time.Duration // how late the recorders' own timers ran at most
}
