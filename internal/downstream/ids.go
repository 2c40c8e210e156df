package downstream

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"martendrum/internal/clock"
)

const (
	// recentIDs is the number of answered requests whose ids are remembered.
	recentIDs = 2048
	// maxIDLength is the length in bytes of the longest request id accepted.
	maxIDLength = 128
)

// SharedIDs is a set of request ids that is shared with another process.
type SharedIDs interface {
	// Open adds the id with the given hash; at is the current time of clock.SinceBoot. It returns false
	// if the set already contains the id.
	Open(hash uint64, at time.Duration) bool
}

// ShareIDs shares the ids of requests with another process that accepts clients: it adds the known ids
// to the set, and from then on accepts a new id only if it is not in the set. It replaces a set
// that was shared before.
func (s *Server) ShareIDs(shared SharedIDs) {
	now := clock.SinceBoot()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ids.shared = shared
	for id := range s.ids.known {
		shared.Open(xxhash.Sum64String(id), now)
	}
}

// UnshareIDs stops the use of a set that was passed to ShareIDs; it does nothing if another set is
// in use. When it returns, the Server does not use the set any more.
func (s *Server) UnshareIDs(shared SharedIDs) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.ids.shared == shared {
		s.ids.shared = nil
	}
}

// requestIDs is the set of the ids of open requests and of the last recentIDs answered ones.
type requestIDs struct {
	known  map[string]bool   // ids of open and of recent requests
	shared SharedIDs         // nil: no other process accepts clients
	recent [recentIDs]string // circular buffer of the ids of answered requests
	next   int               // index in recent of the oldest id
}

// open adds the id of a new request. It returns false if the id is known here or in the shared set.
func (r *requestIDs) open(id string) bool {
	if r.known[id] || r.shared != nil && !r.shared.Open(xxhash.Sum64String(id), clock.SinceBoot()) {
		return false
	}
	r.known[id] = true
	return true
}

// close records that the request with an id has been answered, and forgets the oldest recent id.
func (r *requestIDs) close(id string) {
	delete(r.known, r.recent[r.next])
	r.recent[r.next] = id
	r.next = (r.next + 1) % recentIDs
}
