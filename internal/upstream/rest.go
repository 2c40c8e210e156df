package upstream

import (
	"log/slog"
	"time"
)

// defaultMinRest is how long a connection rests before its next request. Guards against
// bytes that follow an answer in a segment of their own: they would be taken for the next
// request's answer. It also detects a server that closes right after its answer. Its
// cost: some more connections are open, which matters to a server that has few.
const defaultMinRest = 3 * time.Millisecond

const (
	// defaultUnsolicitedRest is how long a connection rests before its next request after its
	// server has sent an unsolicited response: bytes that arrived while no request was open,
	// such as a duplicated answer. Only their arrival before the next request distinguishes
	// them from its answer. Its cost: more connections to such a server.
	defaultUnsolicitedRest = 50 * time.Millisecond
	// unsolicitedMemory is how long after an unsolicited response the longer rest applies.
	unsolicitedMemory = 30 * time.Second
)

// restOf returns how long a connection to s rests before its next request. The lock is held.
func (p *Pool) restOf(s *server, now time.Time) time.Duration {
	if s.unsolicitedAt.IsZero() || now.Sub(s.unsolicitedAt) > unsolicitedMemory {
		return p.minRest
	}
	return max(p.minRest, p.unsolicitedRest)
}

// recordUnsolicited records that s has sent bytes that belong to no request.
func (p *Pool) recordUnsolicited(s *server) {
	p.mu.Lock()
	s.unsolicitedAt = time.Now()
	p.mu.Unlock()
	slog.Warn("unsolicited bytes from a server, its connections rest longer", "server", s.name, "rest", p.unsolicitedRest)
}
