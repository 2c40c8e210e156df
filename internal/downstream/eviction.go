package downstream

import (
	"slices"
	"time"
)

const (
	// maxEvictionAttempts is how many connections one eviction examines. A connection on which
	// bytes have just arrived is skipped.
	maxEvictionAttempts = 8
	// A connection is among the first to be evicted after silentTimeout without a byte since
	// its accept, or after stalledTimeout in the middle of a request's head.
	silentTimeout  = 150 * time.Millisecond
	stalledTimeout = 600 * time.Millisecond
)

// evictionRank orders connections for eviction, the highest first. A notEvictable connection is
// never evicted.
type evictionRank int

const (
	notEvictable     evictionRank = iota
	rankReading                   // part of a head has arrived
	rankNew                       // no byte yet, or being closed
	rankIdle                      // between requests
	rankUnproductive              // silent or stalled for too long
)

// evictionRank ranks a connection. Connections that have never sent anything rank highest, so that
// hundreds of them do not keep other clients out. If the process was suspended for longer than
// silentTimeout, this can hit a connection whose first bytes have not been read yet.
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

// evict closes the connection of the highest rank, the oldest among equals. It returns false if all
// connections are in use; one with unread input counts as in use.
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

// evictionCandidate returns the next connection to evict that is not among the skipped ones; nil if
// there is none. The lock is held.
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

// stopReading makes the connection's goroutine end the connection, by a read deadline in the past. A
// request that has been read completely is still answered. The server's lock is held.
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
