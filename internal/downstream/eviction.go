package downstream

import (
	"slices"
	"time"
)

const (
	// maxEvictionAttempts is how many connections one eviction tries. It skips a connection on
	// which bytes have just arrived.
	maxEvictionAttempts = 8
	// A connection is among the first to be evicted if no byte has arrived within silentTimeout
	// of its accept, if its close takes longer than silentTimeout, or if a request on it is still
	// incomplete after stalledTimeout.
	// A request that is incomplete after briefTimeout can be evicted if nothing else can.
	briefTimeout   = 50 * time.Millisecond
	silentTimeout  = 150 * time.Millisecond
	stalledTimeout = 600 * time.Millisecond
	// recentlyIdle is how long after a response an idle connection is kept if its client has sent several
	// requests on it, and so is likely to send another one.
	recentlyIdle = 300 * time.Millisecond
	// blockedTimeout is how long a client may take no byte of a streamed response before its connection
	// is among the first to be evicted.
	blockedTimeout = 3 * time.Second
)

// evictionRank orders connections for eviction, the highest first. A notEvictable connection is
// never evicted.
type evictionRank int

const (
	notEvictable     evictionRank = iota
	rankBegun                     // a request is still incomplete after briefTimeout
	rankReading                   // a request is still incomplete after silentTimeout
	rankNew                       // no byte has arrived yet, or the connection is being closed
	rankIdle                      // between a response and the next request
	rankUnproductive              // silent, stalled or being closed for too long
)

// evictionRank returns the rank of a connection. Connections on which nothing has ever arrived rank
// highest after silentTimeout, so that hundreds of them do not keep other clients out. After the process
// was suspended for longer than silentTimeout, this can include a connection whose first bytes have not
// been read yet. The server's lock is held.
func (c *conn) evictionRank(now time.Time) evictionRank {
	age := now.Sub(c.stateSince)
	unused := c.state == stateNew || c.state == stateClosed
	switch {
	case unused && age > silentTimeout:
		return rankUnproductive
	case c.state == stateReading && age > stalledTimeout:
		return rankUnproductive
	case c.state == stateWaiting && c.isStalled(now):
		return rankUnproductive
	case c.state == stateIdle && (c.requests == 1 || age > recentlyIdle):
		return rankIdle
	case unused:
		return rankNew
	case c.state == stateReading && age > silentTimeout:
		return rankReading
	case c.state == stateReading && age > briefTimeout:
		return rankBegun
	}
	return notEvictable
}

// isStalled reports whether the client of an open request makes no progress: it has paused in its body, or
// takes nothing of its response. The server's lock is held.
func (c *conn) isStalled(now time.Time) bool {
	if x := c.exchange; x != nil && x.upload != nil {
		if since, paused := x.upload.pausedSince(); paused && now.Sub(since) > stalledTimeout {
			return true
		}
	}
	return !c.writeBegan.IsZero() && now.Sub(c.writeBegan) > blockedTimeout
}

// evict closes the connection with the highest rank; among equals, the one that has been in its state
// for longest. It returns false if all connections are in use. A connection with unread input is in use.
func (s *Server) evict() bool {
	now := time.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	var skipped [maxEvictionAttempts]*conn
	for attempt := range maxEvictionAttempts {
		c := s.evictionCandidate(now, skipped[:attempt])
		if c == nil {
			return false
		}
		if c.closeForEviction() {
			delete(s.conns, c)
			return true
		}
		skipped[attempt] = c
	}
	return false
}

// evictionCandidate returns the connection to evict next that is not in skipped, or nil if there is
// none. The server's lock is held.
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

// closeForEviction closes a connection, or makes its goroutine close it. It returns false if the
// connection has unread input and therefore stays open. The server's lock is held.
func (c *conn) closeForEviction() bool {
	switch {
	case c.state == stateReading || c.state == stateClosed:
		c.stopReading()
	case c.state == stateWaiting:
		c.endStalled()
	case c.input.Quiet():
		c.setState(stateClosed)
		c.netConn.Close()
	default:
		return false
	}
	return true
}

// endStalled ends the open request of a client that makes no progress. The server's lock is held.
func (c *conn) endStalled() {
	c.setState(stateClosed)
	if !c.writeBegan.IsZero() { // the write fails, and the response ends incomplete
		c.resetOnClose()
		c.netConn.Close()
		return
	}
	close(c.exchange.upload.evicted)
}

// stopReading sets a read deadline in the past, so that the connection's goroutine ends the connection.
// A request that has been read completely is still answered. The server's lock is held.
func (c *conn) stopReading() {
	c.setState(stateClosed)
	c.netConn.SetReadDeadline(time.Unix(1, 0))
}

// Trim evicts connections until their number is within Config.MaxConns or all that remain are in use.
// It is called after SetLimits has lowered MaxConns.
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
