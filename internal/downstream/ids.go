package downstream

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"martendrum/internal/clock"
)

const (
	// recentIDs is how many ids of answered requests are remembered.
	recentIDs = 2048
	// maxIDLength is the longest request id accepted.
	maxIDLength = 128
)

// SharedIDs is a set of request ids that is shared with another process.
type SharedIDs interface {
	// Open adds the id with the given hash at a time of clock.Boot. It returns false if the set
	// already contains it.
	Open(hash uint64, at time.Duration) bool
}

// ShareIDs shares the known ids with another process. It replaces a set that was shared before.
func (s *Server) ShareIDs(with SharedIDs) {
	now := clock.Boot()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ids.shared = with
	for id := range s.ids.known {
		with.Open(xxhash.Sum64String(id), now)
	}
}

// UnshareIDs ends the sharing of a set. When it returns, the set is not used any more.
func (s *Server) UnshareIDs(with SharedIDs) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.ids.shared == with {
		s.ids.shared = nil
	}
}

// requestIDs is the set of ids of open requests and of the requests answered last.
type requestIDs struct {
	known  map[string]bool
	shared SharedIDs         // nil: no other process accepts clients
	recent [recentIDs]string // circular buffer of answered ids
	next   int               // index in recent
}

// open adds the id of a new request; false if it is known.
func (r *requestIDs) open(id string) bool {
	if r.known[id] || r.shared != nil && !r.shared.Open(xxhash.Sum64String(id), clock.Boot()) {
		return false
	}
	r.known[id] = true
	return true
}

// close makes an open id a recent one and forgets the oldest recent id.
func (r *requestIDs) close(id string) {
	delete(r.known, r.recent[r.next])
	r.recent[r.next] = id
	r.next = (r.next + 1) % recentIDs
}
