package downstream

import (
	"slices"
	"time"
)

const (
	// maxEvictionAttempts is how many connections one eviction examines: those on which
	// bytes have just arrived are not closed.
	maxEvictionAttempts = 8
	// silentTimeout and stalledTimeout make a connection the first to be evicted: the
	// former after its accept without a byte, the latter in the middle of a request.
	silentTimeout  = 150 * time.Millisecond
	stalledTimeout = 600 * time.Millisecond
)

// evictionRank orders connections for eviction: the highest first. notEvictable ones
// are never evicted.
type evictionRank int

const (
	notEvictable     evictionRank = iota
	rankReading                   // part of a head has arrived
	rankNew                       // no byte yet, or being closed
	rankIdle                      // between requests
	rankUnproductive              // silent or stalled for too long
)

// evictionRank ranks a connection. Those that occupy a descriptor and never used it go
// first. Guards the clients against hundreds of connections that send nothing. Its cost:
// when the sidecar itself was stopped for longer than silentTimeout with the first bytes
// of a connection unread, that connection may be closed; among equals the oldest goes.
func (c *conn) evictionRank(now time.Time) evictionRank {
	age := now.Sub(c.stateSince)
	unused := c.state == stateNew || c.state == stateClosed
	switch {
	case unused && age > silentTimeout:
		return rankUnproductive
	case c.state == stateReading && age > stalledTimeout:
		return rankUnproductive
	case c.state == stateIdle:
		return rankIdle
	case unused:
		return rankNew
	case c.state == stateReading && age > silentTimeout:
		return rankReading
	}
	return notEvictable
}

// evict closes the connection of the highest rank, the oldest among equals; it returns
// false if all are in use. A connection with unread input is in use.
func (s *Server) evict() bool {
	now := time.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	var skipped [maxEvictionAttempts]*conn
	for try := range maxEvictionAttempts {
		c := s.evictionCandidate(now, skipped[:try])
		if c == nil {
			return false
		}
		if c.closeForEviction() {
			delete(s.conns, c)
			return true
		}
		skipped[try] = c
	}
	return false
}

// evictionCandidate returns the next connection to evict, leaving out those passed
// over; nil if there is none. The lock is held.
func (s *Server) evictionCandidate(now time.Time, skipped []*conn) (candidate *conn) {
	highest := notEvictable
	for c := range s.conns {
		rank := c.evictionRank(now)
		older := rank == highest && rank > notEvictable && c.stateSince.Before(candidate.stateSince)
		if (rank > highest || older) && !slices.Contains(skipped, c) {
			candidate, highest = c, rank
		}
	}
	return candidate
}

// closeForEviction closes a connection unless it has unread input; it returns whether it
// did. The server's lock is held.
func (c *conn) closeForEviction() bool {
	switch {
	case c.state == stateReading || c.state == stateClosed:
		c.stopReading()
	case c.input.Quiet():
		c.enter(stateClosed)
		c.netConn.Close()
	default:
		return false
	}
	return true
}

// stopReading has the connection's goroutine end it: a request that has been read completely by
// now is answered. The server's lock is held.
func (c *conn) stopReading() {
	c.enter(stateClosed)
	c.netConn.SetReadDeadline(time.Unix(1, 0))
}

// Trim evicts connections until their number is within the limit, or all are in use.
func (s *Server) Trim() {
	for {
		s.mu.Lock()
		over := len(s.conns) > s.config.MaxConns
		s.mu.Unlock()
		if !over || !s.evict() {
			return
		}
	}
}
