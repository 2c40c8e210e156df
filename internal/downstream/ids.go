package downstream

import (
	"net/http"
	"time"

	"github.com/cespare/xxhash/v2"

	"martendrum"
	"martendrum/internal/clock"
	"martendrum/internal/handover/idtable"
)

const (
	// defaultIDRetention is Config.IDRetention where that is 0.
	defaultIDRetention = idtable.EntryTTL
	// maxKnownIDs limits the ids that are remembered, at up to 36 bytes each.
	maxKnownIDs = 1 << 18
	// maxIDLength is the length in bytes of the longest request id accepted.
	maxIDLength = 128
)

// SharedIDs is a set of request ids that is shared with another process. at is the current time of
// clock.SinceBoot.
type SharedIDs interface {
	// Open adds the id with the given hash.
	Open(hash uint64, at time.Duration) idtable.Result
	// Extend makes the id with the given hash known for longer.
	Extend(hash uint64, at time.Duration)
}

// ShareIDs shares the ids of requests with another process that accepts clients: it adds the known ids
// to the set, those of requests that must not be executed twice first, and from then on accepts a new id only
// if it is not in the set. It replaces a set that was shared before.
func (s *Server) ShareIDs(shared SharedIDs) {
	now := clock.SinceBoot()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ids.shared = shared
	for _, generation := range []*idGeneration{&s.ids.recent, &s.ids.older} {
		for id := range generation.nonIdempotent {
			shared.Open(id, now)
		}
	}
	for _, ids := range []idSet{s.ids.open, s.ids.recent.other, s.ids.older.other} {
		for id := range ids {
			shared.Open(id, now)
		}
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

// idSet is a set of the hashes of request ids.
type idSet map[uint64]struct{}

// has reports whether the set contains an id.
func (s idSet) has(id uint64) bool {
	_, ok := s[id]
	return ok
}

// idGeneration holds the ids of the requests that ended in a period of IDRetention.
type idGeneration struct {
	nonIdempotent idSet // ids of requests that must not be executed twice
	other         idSet
}

// newIDGeneration returns an empty generation.
func newIDGeneration() idGeneration {
	return idGeneration{nonIdempotent: make(idSet), other: make(idSet)}
}

// has reports whether the generation contains an id.
func (g *idGeneration) has(id uint64) bool { return g.nonIdempotent.has(id) || g.other.has(id) }

// size returns the number of ids.
func (g *idGeneration) size() int { return len(g.nonIdempotent) + len(g.other) }

// requestIDs is the set of the ids of open requests and of those that ended at most IDRetention ago, whatever
// their number. If there is no space, non-idempotent requests are rejected, and the ids of other requests are
// not remembered.
type requestIDs struct {
	open          idSet
	recent, older idGeneration
	retention     time.Duration
	rotated       time.Time // when recent began
	shared        SharedIDs // nil: no other process accepts clients
}

// newRequestIDs returns an empty set. retention is Config.IDRetention.
func newRequestIDs(retention time.Duration) requestIDs {
	ids := requestIDs{open: make(idSet), recent: newIDGeneration(), older: newIDGeneration(), rotated: time.Now()}
	ids.setRetention(retention)
	return ids
}

// setRetention changes how long ids are remembered.
func (r *requestIDs) setRetention(retention time.Duration) {
	r.retention = retention
	if retention == 0 {
		r.retention = defaultIDRetention
	}
}

// rotate begins a new generation if the time of the current one is over.
func (r *requestIDs) rotate(now time.Time) {
	age := now.Sub(r.rotated)
	if age < r.retention {
		return
	}
	r.older, r.recent, r.rotated = r.recent, newIDGeneration(), now
	if age >= 2*r.retention {
		r.older = newIDGeneration()
	}
}

// isFull reports whether no more ids can be remembered.
func (r *requestIDs) isFull() bool {
	return len(r.open)+r.recent.size()+r.older.size() >= maxKnownIDs
}

// register adds the id of a new request. It returns statusNone, or the status to reject the request with: 409
// if the id is known here or in the shared set, 503 if the request is not idempotent and there is no space.
func (r *requestIDs) register(x *Exchange, now time.Time) (status int) {
	id := x.idHash()
	r.rotate(now)
	if r.open.has(id) || r.recent.has(id) || r.older.has(id) {
		return http.StatusConflict
	}
	full := r.isFull()
	if r.shared != nil && !(full && x.isNonIdempotent()) {
		switch r.shared.Open(id, clock.SinceBoot()) {
		case idtable.Known:
			return http.StatusConflict
		case idtable.Full:
			full = true
		}
	}
	if full && x.isNonIdempotent() {
		return http.StatusServiceUnavailable
	}
	r.open[id] = struct{}{}
	return statusNone
}

// end records that a registered request has ended.
func (r *requestIDs) end(x *Exchange, now time.Time) {
	id := x.idHash()
	delete(r.open, id)
	r.rotate(now)
	switch {
	case x.isNonIdempotent():
		r.recent.nonIdempotent[id] = struct{}{}
	case !r.isFull():
		r.recent.other[id] = struct{}{}
	}
	if r.shared != nil {
		r.shared.Extend(id, clock.SinceBoot())
	}
}

// idHash returns the hash of the request's id.
func (x *Exchange) idHash() uint64 { return xxhash.Sum64String(x.id) }

// isNonIdempotent reports whether the request must not be executed twice.
func (x *Exchange) isNonIdempotent() bool {
	return x.Rules.Rules.Idempotency == martendrum.NonIdempotent
}
