// Package upstream is the server-facing side of the sidecar: it owns the connections to servers,
// makes single attempts on them and reports their outcomes.
//
// It guarantees that an attempt is sent at most once, and that its outcome says whether the server
// may have executed it. It neither chooses servers nor retries; package martendrum decides on both.
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
	ServerIdleTimeout time.Duration // idle time after which servers close a connection
	DialTimeout       time.Duration // limit on opening a connection
	DrainGrace        time.Duration // no attempt starts later than this after its server began to drain
	MaxConns          int           // limit on connections, including those being dialled
}

// Pool keeps the connections to all servers.
type Pool struct {
	dial func(addr string, timeout time.Duration) (net.Conn, error) // opens a connection; replaced by tests

	mu                  sync.Mutex
	config              Config
	servers             map[string]*server // by name
	conns               int                // number of connections, open or being dialled
	minIdleTime         time.Duration      // how long a connection stays idle before its next request
	unsolicitedIdleTime time.Duration      // minIdleTime after the server has sent unsolicited bytes
	brokenFraction      float64            // running mean of the fraction of reused connections that broke at their next request
}

// incarnation identifies a process of a server: a later process can have the same address, under the same
// name or another one.
type incarnation struct {
	addr    string
	started time.Duration // Unix time of its last start
}

// server is a listed server with the idle connections to it, oldest first.
type server struct {
	name string
	incarnation
	drainingSince time.Time // when it was reported as draining or removed; zero: it is neither
	unsolicitedAt time.Time // when it last sent bytes that belong to no request; zero: never
	idle          []*conn
}

// conn is one connection to a server. Its goroutine reads as long as it is open, also while it is
// idle, so that a close by the server is noticed before the connection is reused: a non-idempotent
// request that ends in a reset can't be retried.
type conn struct {
	net.Conn
	input   *netconn.LazyReader
	server  *server
	process incarnation // that the connection was opened to

	// Used by the reading goroutine only.
	answering       *Attempt // whose answer is being read; nil: none
	streaming       bool     // the answer is being forwarded as it arrives
	hasReadDeadline bool

	// Guarded by the pool's lock.
	idleSince time.Time
	owner     *Attempt // nil while idle
	removed   bool     // it has been removed from the pool
}

// New returns an empty Pool.
func New(config Config) *Pool {
	return &Pool{dial: dialTCP, config: config, servers: make(map[string]*server), minIdleTime: defaultMinIdleTime, unsolicitedIdleTime: defaultUnsolicitedIdleTime}
}

// SetConfig replaces the configuration. It applies to later attempts; Trim closes connections that exceed a
// lower MaxConns.
func (p *Pool) SetConfig(config Config) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.config = config
}

// idleTimeout returns how long an idle connection stays open. It is well below ServerIdleTimeout, so that
// a server does not close a connection just when a request is sent on it. The lock is held.
func (p *Pool) idleTimeout() time.Duration { return p.config.ServerIdleTimeout * 6 / 10 }

const (
	// maxBrokenFraction is the fraction of reused connections that may break at their next
	// request before non-repeatable requests get new connections. Servers or middleboxes may
	// drop idle connections silently. A non-repeatable request on such a connection fails and
	// can't be retried, while a new connection costs only a handshake. brokenFractionWeight is
	// the weight of one observation in the running mean.
	maxBrokenFraction    = 0.01
	brokenFractionWeight = 0.03
	// breakWindow is the time after the start of an attempt in which a broken connection is
	// attributed to its reuse. A later break is attributed to the request.
	breakWindow = 20 * time.Millisecond
)

// recordReuse updates brokenFraction with whether the connection of an attempt broke within breakWindow.
// It ignores attempts on new connections and later breaks.
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

// SetServer adds a server or updates its address and the time of its last start. The server is not
// draining any more. If the address or the start has changed, idle connections to the server are closed,
// because they would be reset at their next request.
func (p *Pool) SetServer(name, addr string, started time.Duration) {
	p.mu.Lock()
	s := p.servers[name]
	if s == nil {
		s = &server{name: name}
		p.servers[name] = s
	}
	var toClose []*conn
	listed := incarnation{addr, started}
	if s.incarnation != listed {
		toClose = p.takeIdle(s)
	}
	s.incarnation, s.drainingSince = listed, time.Time{}
	p.mu.Unlock()
	closeAll(toClose)
}

// MarkDraining records that a server is draining or removed, and closes its idle connections. No attempt
// is sent to it once Config.DrainGrace has passed. New attempts on a removed server fail at once.
func (p *Pool) MarkDraining(name string, removed bool) {
	p.mu.Lock()
	var toClose []*conn
	if s := p.servers[name]; s != nil {
		toClose = p.takeIdle(s)
		if s.drainingSince.IsZero() {
			s.drainingSince = time.Now()
		}
		if removed {
			delete(p.servers, name)
		}
	}
	p.mu.Unlock()
	closeAll(toClose)
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
	var toClose []*conn
	if s := p.servers[name]; s != nil {
		toClose = p.takeIdle(s)
	}
	p.mu.Unlock()
	closeAll(toClose)
}

// Sweep closes connections that have been idle for longer than the idle timeout. It is to be called
// periodically.
func (p *Pool) Sweep(now time.Time) {
	p.mu.Lock()
	var toClose []*conn
	for _, s := range p.servers {
		for len(s.idle) > 0 && now.Sub(s.idle[0].idleSince) > p.idleTimeout() {
			toClose = append(toClose, s.idle[0])
			p.remove(s.idle[0])
		}
	}
	p.mu.Unlock()
	closeAll(toClose)
}

// Trim closes idle connections, the one idle for longest first, until the number of connections is at most
// MaxConns or none is idle.
func (p *Pool) Trim() {
	p.mu.Lock()
	var toClose []*conn
	for p.conns > p.config.MaxConns {
		c := p.longestIdle()
		if c == nil {
			break
		}
		toClose = append(toClose, c)
		p.remove(c)
	}
	p.mu.Unlock()
	closeAll(toClose)
}

// Conns returns the number of connections, including those being dialled.
func (p *Pool) Conns() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.conns
}

// takeIdle removes a server's idle connections from the pool and returns them. The caller closes them. The
// lock is held.
func (p *Pool) takeIdle(s *server) []*conn {
	taken := s.idle
	for _, c := range taken {
		c.removed = true
	}
	p.conns -= len(taken)
	s.idle = nil
	return taken
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

// acquire returns the newest reusable connection to the attempt's server. If there is none, it counts a
// new connection in conns and returns a nil conn and the address to dial. ok is false if the number of
// connections has reached MaxConns and none is idle, or if the server is not known.
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
		return nil, "", false // the server was removed after the Balancer chose it
	}
	a.server, a.process, a.dialTimeout = s, s.incarnation, p.config.DialTimeout
	needsNew := a.NonRepeatable && p.brokenFraction > maxBrokenFraction
	if !needsNew {
		if c, expired = p.acquireIdle(s, now); c != nil {
			c.owner, a.reused = a, true
			return c, "", true
		}
	}
	a.reused = false
	if needsNew && len(s.idle) > 0 {
		// The new connection replaces an idle one: a server accepts a limited number of
		// connections, and idle ones that are not reused would use it up.
		expired = append(expired, s.idle[0])
		p.remove(s.idle[0])
	}
	if p.conns >= p.config.MaxConns {
		oldest := p.longestIdle()
		if oldest == nil {
			slog.Warn("no attempt sent: the limit on connections to servers is reached", "conns", p.conns)
			return nil, "", false
		}
		expired = append(expired, oldest)
		p.remove(oldest)
	}
	p.conns++
	return nil, s.addr, true
}

// acquireIdle returns the newest idle connection to s that has been idle for at least the minimum time, nil
// if there is none. It also removes and returns connections that have been idle for too long, which the
// caller closes. Whether the server has sent bytes or closed the connection meanwhile is checked when the
// request is sent. The lock is held.
func (p *Pool) acquireIdle(s *server, now time.Time) (c *conn, expired []*conn) {
	minIdle := p.minIdleTimeOf(s, now)
	for len(s.idle) > 0 {
		n := len(s.idle) - 1
		for n > 0 && now.Sub(s.idle[n].idleSince) < minIdle {
			n--
		}
		c := s.idle[n]
		idleFor := now.Sub(c.idleSince)
		switch {
		case idleFor < minIdle:
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

// longestIdle returns the connection that has been idle for longest, nil if none is idle. The lock is held.
func (p *Pool) longestIdle() (oldest *conn) {
	for _, s := range p.servers {
		if len(s.idle) > 0 && (oldest == nil || s.idle[0].idleSince.Before(oldest.idleSince)) {
			oldest = s.idle[0]
		}
	}
	return oldest
}

// release makes a connection idle after an attempt. It returns false if the connection can't be reused,
// because it was removed, or its server is draining or has restarted or moved.
func (p *Pool) release(c *conn) bool {
	c.input.MarkHandled() // before p.mu: a sender locks the input first and then the pool
	p.mu.Lock()
	defer p.mu.Unlock()
	if c.removed || c.process != c.server.incarnation || !c.server.drainingSince.IsZero() {
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

// releaseSlot subtracts a connection that could not be opened from conns.
func (p *Pool) releaseSlot() {
	p.mu.Lock()
	p.conns--
	p.mu.Unlock()
}

// mayBegin reports whether an attempt may be sent now, after its connection has been opened: its server has
// not been draining or removed for longer than DrainGrace, and the process that the attempt was meant for has
// not been replaced by another one, which may belong to another deduplication group or be in slow start.
func (p *Pool) mayBegin(a *Attempt) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	s := a.server
	if s.incarnation != a.process {
		return false
	}
	if s.drainingSince.IsZero() {
		return true
	}
	return time.Since(s.drainingSince) <= p.config.DrainGrace && !p.isAddressTaken(s)
}

// isAddressTaken reports whether another listed server has the address of s. The lock is held.
func (p *Pool) isAddressTaken(s *server) bool {
	for _, other := range p.servers {
		if other != s && other.addr == s.addr && other.drainingSince.IsZero() {
			return true
		}
	}
	return false
}
