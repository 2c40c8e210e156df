package soak

import (
	"net/http"
	"time"
)

// All times of a Record are durations since the start of the run, on a monotonic clock.

// Ways in which a request can end for its client.
const (
	EndAnswered  = "answered"  // a complete answer arrived
	EndClosed    = "closed"    // the connection was closed before the first byte of an answer
	EndTruncated = "truncated" // the connection was closed in the middle of an answer, or the answer did not end in time
	EndNothing   = "nothing"   // no byte of an answer arrived until answerGrace after the deadline
	EndLeft      = "left"      // the client closed its connection before an answer, or the run ended
)

// Request is what a client recorded of a request.
type Request struct {
	ID       string
	Sidecar  int // number of the sidecar it was sent to
	Class    string
	Key      string        // idempotency key; empty: none
	Wait     time.Duration // the deadline that the client stated, from the time of sending
	Dialed   time.Duration // when its connection was opened
	Sent     time.Duration // when its last byte had been written
	Finished time.Duration // when the client got its answer or stopped waiting
	End      string        // one of the End constants
	Status   int           // of the answer; 0: no complete answer
	Body     string        // of the answer
	FirstOn  bool          // the first request on its connection
}

// Attempt is what a server recorded of a request that it received: one attempt of a sidecar.
type Attempt struct {
	ID        string // of the Request
	Server    int
	Key       string        // idempotency key; empty: none
	First     time.Duration // when its first byte arrived
	Last      time.Duration // when its last byte arrived; 0: it never did
	Deadline  time.Duration // the deadline stated in it; 0: none
	Rejected  bool          // the server rejected it without running it
	Answer    string        // the body that the server was to send; empty: none
	Truncated bool          // the answer was not sent completely
	Repeated  time.Duration // when the answer was sent a second time; 0: never
}

// ListState is the state of a server on discovery's list.
type ListState string

// States of a server on discovery's list.
const (
	Up       ListState = "up"
	Draining ListState = "draining"
	Removed  ListState = "removed"
)

// Change is a change of a server's state on discovery's list.
type Change struct {
	At     time.Duration
	Server int
	State  ListState
	Since  time.Duration // when the server started, for Up; 0: before the run
}

// Notification is what discovery sent to a sidecar about one server.
type Notification struct {
	At      time.Duration
	Sidecar int
	Server  int
	State   ListState
	Since   time.Duration
}

// Process is what was recorded of one process of a sidecar.
type Process struct {
	Sidecar   int
	Started   time.Duration
	Ready     time.Duration // when its health check first succeeded; 0: never
	Signalled time.Duration // when the first signal to terminate was sent; 0: none was
	Exited    time.Duration // 0: it ran until the end of the run
	Killed    time.Duration // when it was killed; 0: never
	Exit      string        // the error or signal with which it exited; empty: success, or it was killed
	Panics    int           // number of panics in the log of all processes of the sidecar; only set for the first of them
}

// Stall is a connection on which the client stopped in the middle of a request and then waited.
type Stall struct {
	Sidecar  int
	Stopped  time.Duration // when the client stopped sending
	Finished time.Duration // when the client got an answer or the connection was closed; 0: never
}

// Outage is a time in which discovery was in a mode other than DiscoveryServes.
type Outage struct{ From, To time.Duration }

// Served returns the number of requests that were answered with status 200. There may be scripts
// whose faults let no request succeed; among many scripts these must be rare.
func (r *Record) Served() (served int) {
	for _, request := range r.Requests {
		if request.Status == http.StatusOK {
			served++
		}
	}
	return served
}

// Record is everything that was recorded in a run, for Judge.
type Record struct {
	Length        time.Duration // of the run
	Requests      []Request
	Attempts      []Attempt
	Changes       []Change
	Notifications []Notification
	Processes     []Process
	Stalls        []Stall
	Outages       []Outage
	Lateness      time.Duration // the maximum by which the recorded times may be late
}
