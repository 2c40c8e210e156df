package upstream

import (
	"log/slog"
	"time"
)

// defaultMinIdleTime is how long a connection stays idle after an answer before its next request is sent.
// Meanwhile, bytes that the server sends after the answer in a separate segment arrive, so that they are
// not taken for the next answer, and a close by the server is noticed. The cost is that more connections
// are open.
const defaultMinIdleTime = 3 * time.Millisecond

const (
	// defaultUnsolicitedIdleTime is how long connections stay idle before their next request once
	// their server has sent unsolicited bytes, such as a duplicate of an answer. Such bytes can be
	// distinguished from the next request's answer only if they arrive before that request is sent.
	defaultUnsolicitedIdleTime = 50 * time.Millisecond
	// unsolicitedPeriod is how long the longer idle time applies after unsolicited bytes.
	unsolicitedPeriod = 30 * time.Second
)

// minIdleTimeOf returns how long a connection to s stays idle before its next request. The lock is held.
func (p *Pool) minIdleTimeOf(s *server, now time.Time) time.Duration {
	if s.unsolicitedAt.IsZero() || now.Sub(s.unsolicitedAt) > unsolicitedPeriod {
		return p.minIdleTime
	}
	return max(p.minIdleTime, p.unsolicitedIdleTime)
}

// recordUnsolicited records that s has sent bytes that belong to no request, which lengthens the minimum
// idle time of its connections for unsolicitedPeriod.
func (p *Pool) recordUnsolicited(s *server) {
	p.mu.Lock()
	s.unsolicitedAt = time.Now()
	p.mu.Unlock()
	slog.Warn("unsolicited bytes from a server; its connections stay idle longer before reuse", "server", s.name, "rest", p.unsolicitedIdleTime)
}
