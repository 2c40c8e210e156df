// Package upstream is the server-facing side of the sidecar: it owns the connections to servers,
// makes single attempts on them and reports their outcomes.
//
// It guarantees that an attempt is sent at most once and that its outcome says whether the server
// may have executed it. It does not choose servers and does not retry: package martendrum does.
package upstream

import (
	"log/slog"
	"net"
	"sync"
	"time"

	"martendrum/internal/netconn"
)

// Config is the configuration of a Pool.
type Config struct {
	ServerIdleTimeout time.Duration // servers close connections that have been idle for so long
	DialTimeout       time.Duration
	DrainGrace        time.Duration // no attempt starts later than this after its server began to drain
	MaxConns          int           // connections at once, those being dialled included
}

// Pool keeps the connections to all servers.
type Pool struct {
	dial func(addr string, limit time.Duration) (net.Conn, error) // opens a connection; replaced by tests

	mu              sync.Mutex
	config          Config
	servers         map[string]*server
	conns           int           // open or being dialled
	minRest         time.Duration // least idle time of a connection before its next request
	unsolicitedRest time.Duration // the same after the server has sent unsolicited bytes
	brokenFraction  float64       // running share of reused connections that broke at their next request
}

// server is a listed server with the idle connections to it, oldest first.
type server struct {
	name, addr    string
	started       time.Duration
	drainingSince time.Time // when it was reported as draining or removed; zero: it serves
	unsolicitedAt time.Time // when it last sent bytes that belong to no request; zero: never
	idle          []*conn
}

// conn is one connection to a server. Its goroutine reads as long as it is open, also while it is
// idle, so that a close by the server is noticed before the connection is reused: a non-idempotent
// request that ends in a reset can't be retried.
type conn struct {
	net.Conn
	input  *netconn.Lazy
	server *server
	addr   string

	// Guarded by the pool's lock.
	idleSince time.Time
	owner     *Attempt // nil while idle
	removed   bool     // from the pool
}

// New returns an empty Pool.
func New(config Config) *Pool {
	return &Pool{dial: dialTCP, config: config, servers: make(map[string]*server), minRest: defaultMinRest, unsolicitedRest: defaultUnsolicitedRest}
}

// Limit replaces the configuration for later attempts.
func (p *Pool) Limit(config Config) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.config = config
}

// idleTimeout returns how long an idle connection stays open. It is well below the server's own
// timeout, so that no request races with the server's close.
func (p *Pool) idleTimeout() time.Duration { return p.config.ServerIdleTimeout * 6 / 10 }

const (
	// maxBrokenFraction is the fraction of reused connections that may break at their next
	// request before non-repeatable requests get new connections. Servers or middleboxes may
	// drop idle connections silently, which fails such a request for good, while a new
	// connection costs a handshake. brokenFractionWeight is the weight of one observation in
	// the running mean.
	maxBrokenFraction    = 0.01
	brokenFractionWeight = 0.03
	// breakWindow is the time after the start of an attempt in which a break is attributed to
	// the reuse. A later break is attributed to the request.
	breakWindow = 20 * time.Millisecond
)

// recordReuse counts whether an attempt on a reused connection broke at once.
func (p *Pool) recordReuse(a *Attempt, broke bool) {
	if !a.reused || broke && time.Since(a.startedAt) > breakWindow {
		return
	}
	observed := 0.0
	if broke {
		observed = 1
	}
	p.mu.Lock()
	p.brokenFraction += brokenFractionWeight * (observed - p.brokenFraction)
	p.mu.Unlock()
}

// Serve sets a server's address and the time of its last start. It closes idle connections to
// another address or an earlier process, which would be reset at their next request.
func (p *Pool) Serve(name, addr string, started time.Duration) {
	p.mu.Lock()
	s := p.servers[name]
	if s == nil {
		s = &server{name: name}
		p.servers[name] = s
	}
	var old []*conn
	if s.addr != addr || s.started != started {
		old = p.takeIdle(s)
	}
	s.addr, s.started, s.drainingSince = addr, started, time.Time{}
	p.mu.Unlock()
	closeAll(old)
}

// MarkDraining records that a server is draining or removed.
func (p *Pool) MarkDraining(name string, removed bool) {
	p.mu.Lock()
	var old []*conn
	if s := p.servers[name]; s != nil {
		old = p.takeIdle(s)
		if s.drainingSince.IsZero() {
			s.drainingSince = time.Now()
		}
		if removed {
			delete(p.servers, name)
		}
	}
	p.mu.Unlock()
	closeAll(old)
}

// Retain removes all servers that are not listed.
func (p *Pool) Retain(listed map[string]bool) {
	var unlisted []string
	p.mu.Lock()
	for name := range p.servers {
		if !listed[name] {
			unlisted = append(unlisted, name)
		}
	}
	p.mu.Unlock()
	for _, name := range unlisted {
		p.MarkDraining(name, true)
	}
}

// CloseIdle closes the idle connections to a server.
func (p *Pool) CloseIdle(name string) {
	p.mu.Lock()
	var old []*conn
	if s := p.servers[name]; s != nil {
		old = p.takeIdle(s)
	}
	p.mu.Unlock()
	closeAll(old)
}

// Sweep closes connections that have been idle for too long.
func (p *Pool) Sweep(now time.Time) {
	p.mu.Lock()
	var old []*conn
	for _, s := range p.servers {
		for len(s.idle) > 0 && now.Sub(s.idle[0].idleSince) > p.idleTimeout() {
			old = append(old, s.idle[0])
			p.remove(s.idle[0])
		}
	}
	p.mu.Unlock()
	closeAll(old)
}

// Trim closes idle connections, the longest idle first, until the number of connections is within
// the limit or none is idle.
func (p *Pool) Trim() {
	p.mu.Lock()
	var old []*conn
	for p.conns > p.config.MaxConns {
		c := p.longestIdle()
		if c == nil {
			break
		}
		old = append(old, c)
		p.remove(c)
	}
	p.mu.Unlock()
	closeAll(old)
}

// Conns returns the number of connections, those being dialled included.
func (p *Pool) Conns() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.conns
}

// takeIdle removes a server's idle connections from the pool and returns them; the caller closes
// them. The lock is held.
func (p *Pool) takeIdle(s *server) []*conn {
	old := s.idle
	for _, c := range old {
		c.removed = true
	}
	p.conns -= len(old)
	s.idle = nil
	return old
}

// remove removes an open connection from the pool. The caller closes it. The lock is held.
func (p *Pool) remove(c *conn) {
	if c.removed {
		return
	}
	c.removed = true
	p.conns--
	for i, idle := range c.server.idle {
		if idle == c {
			c.server.idle = append(c.server.idle[:i], c.server.idle[i+1:]...)
			break
		}
	}
}

// closeAll closes connections that have been removed from the pool.
func closeAll(conns []*conn) {
	for _, c := range conns {
		c.Close()
	}
}

// acquire returns the newest reusable connection to the attempt's server. If there is none, it
// reserves the slot of a new connection and returns a nil conn and the address to dial. ok is
// false if there is no slot or no such server.
func (p *Pool) acquire(a *Attempt) (c *conn, addr string, ok bool) {
	now := time.Now()
	var expired []*conn
	p.mu.Lock()
	defer func() {
		p.mu.Unlock()
		closeAll(expired)
	}()
	s := p.servers[a.Server]
	if s == nil {
		return nil, "", false // removed since the decision
	}
	a.server, a.dialTimeout = s, p.config.DialTimeout
	needsNew := a.NonRepeatable && p.brokenFraction > maxBrokenFraction
	if !needsNew {
		if c, expired = p.acquireIdle(s, now); c != nil {
			c.owner, a.reused = a, true
			return c, "", true
		}
	}
	a.reused = false
	if needsNew && len(s.idle) > 0 {
		// The new connection replaces an idle one. A server accepts a limited number, and idle
		// connections that are not reused would keep new ones out.
		expired = append(expired, s.idle[0])
		p.remove(s.idle[0])
	}
	if p.conns >= p.config.MaxConns {
		oldest := p.longestIdle()
		if oldest == nil {
			slog.Warn("no descriptor left for a connection to a server", "conns", p.conns)
			return nil, "", false
		}
		expired = append(expired, oldest)
		p.remove(oldest)
	}
	p.conns++
	return nil, s.addr, true
}

// acquireIdle returns the newest idle connection to s that has rested for long enough, nil if there
// is none. It also removes and returns connections that have been idle for too long, which the
// caller closes. Whether the server has sent something or closed the connection meanwhile is
// checked when the request is sent. The lock is held.
func (p *Pool) acquireIdle(s *server, now time.Time) (c *conn, expired []*conn) {
	rest := p.restOf(s, now)
	for len(s.idle) > 0 {
		n := len(s.idle) - 1
		for n > 0 && now.Sub(s.idle[n].idleSince) < rest {
			n--
		}
		c := s.idle[n]
		idleFor := now.Sub(c.idleSince)
		switch {
		case idleFor < rest:
			return nil, expired
		case idleFor <= p.idleTimeout():
			s.idle = append(s.idle[:n], s.idle[n+1:]...)
			return c, expired
		}
		expired = append(expired, c)
		p.remove(c)
	}
	return nil, expired
}

// longestIdle returns the connection that has been idle for the longest, nil if none is idle. The
// lock is held.
func (p *Pool) longestIdle() (oldest *conn) {
	for _, s := range p.servers {
		if len(s.idle) > 0 && (oldest == nil || s.idle[0].idleSince.Before(oldest.idleSince)) {
			oldest = s.idle[0]
		}
	}
	return oldest
}

// release returns a connection to the pool after an attempt; false if it can't be reused.
func (p *Pool) release(c *conn) bool {
	c.input.Rest() // before the lock: a sender takes the two locks in that order
	p.mu.Lock()
	defer p.mu.Unlock()
	if c.removed || c.addr != c.server.addr || !c.server.drainingSince.IsZero() {
		return false
	}
	c.owner, c.idleSince = nil, time.Now()
	c.server.idle = append(c.server.idle, c)
	return true
}

// discard removes a connection from the pool and closes it.
func (p *Pool) discard(c *conn) {
	p.mu.Lock()
	p.remove(c)
	p.mu.Unlock()
	c.Close()
}

// releaseSlot releases the slot of a connection that could not be opened.
func (p *Pool) releaseSlot() {
	p.mu.Lock()
	p.conns--
	p.mu.Unlock()
}

// isDrainGraceOver reports whether s has been draining or removed for longer than DrainGrace.
func (p *Pool) isDrainGraceOver(s *server) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return !s.drainingSince.IsZero() && time.Since(s.drainingSince) > p.config.DrainGrace
}
