package upstream

import (
	"log/slog"
	"time"
)

// defaultMinRest is how long a connection rests, that is stays idle, before its next request. Bytes
// that follow an answer in a segment of their own arrive meanwhile and are not taken for the next
// answer; a server that closes after its answer is noticed. More connections are open in return.
const defaultMinRest = 3 * time.Millisecond

const (
	// defaultUnsolicitedRest is how long connections rest after their server has sent unsolicited
	// bytes, such as a duplicated answer. These are only distinguishable from the next request's
	// answer if they arrive before that request is sent.
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
