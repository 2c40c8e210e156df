// Package upstream is the sidecar's side towards the servers: the connections
// it keeps to them and single attempts on these, with their outcomes. It sends
// nothing twice and chooses no server.
package upstream

import (
	"log/slog"
	"net"
	"sync"
	"time"

	"martendrum/internal/sock"
)

// Config is what a Pool is told.
type Config struct {
	ConnIdle    time.Duration // servers close connections that have been idle for so long
	DialTimeout time.Duration
	DrainGrace  time.Duration // no attempt starts later than this after its server left
	MostConns   int           // connections at once, those being dialled included
}

// Pool keeps the connections to all servers.
type Pool struct {
	cfg     Config
	mu      sync.Mutex
	servers map[string]*server
	conns   int // open or being dialled
	rest    time.Duration
	broke   float64 // running share of kept connections that broke at their next request
}

// server is where a server is, and the idle connections to it, oldest first.
type server struct {
	name, addr string
	started    time.Duration
	left       time.Time // when the list said that it drains or has gone; zero: it serves
	idle       []*conn
}

// conn is one connection to a server. Its goroutine reads for as long as it is
// open, also while it is idle: so a server that closes it is noticed before it
// is used again, for an unsafe request that ends as a reset can't be saved.
type conn struct {
	net.Conn
	in    *sock.Lazy
	to    *server
	addr  string
	used  time.Time // when it went idle last
	owner *Attempt  // nil while idle; guarded by the pool's lock
	dead  bool      // taken out of the pool; guarded by the pool's lock
}

// New returns an empty Pool.
func New(cfg Config) *Pool {
	return &Pool{cfg: cfg, servers: make(map[string]*server), rest: restLeast}
}

// Limit replaces the limits, for attempts still to come.
func (p *Pool) Limit(cfg Config) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.cfg = cfg
}

// idleMost is how long a connection is kept idle. Guards against a request that
// crosses its closing by the server.
func (p *Pool) idleMost() time.Duration { return p.cfg.ConnIdle * 6 / 10 }

const (
	// brokeMost is the share of kept connections that may break at their next
	// request before requests that can't be repeated go on new ones; brokeStep is
	// the step of its running mean. Guards against peers, or boxes between, that
	// forget connections without a word: such a request fails for good, a new
	// connection costs a handshake. It may do harm where handshakes are dear and
	// the breaks have another cause.
	brokeMost = 0.01
	brokeStep = 0.03
	// brokeWithin is how soon such a break shows. Later ones are the request's own.
	brokeWithin = 20 * time.Millisecond
)

// noteKept counts how an attempt on a kept connection went: whether it broke at once.
func (p *Pool) noteKept(a *Attempt, broke bool) {
	if !a.kept || broke && time.Since(a.at) > brokeWithin {
		return
	}
	share := 0.0
	if broke {
		share = 1
	}
	p.mu.Lock()
	p.broke += brokeStep * (share - p.broke)
	p.mu.Unlock()
}

// restLeast is how long a connection rests before its next request. Guards
// against bytes that follow an answer in a segment of their own: they would pass
// for the next request's answer. It also catches a server that closes right after
// its answer. It may do harm to a server with few connections to give, for some
// more are open.
const restLeast = 3 * time.Millisecond

// Serve says where a server is and when it last started. Idle connections to
// another address or an earlier process are closed: they would end as resets.
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
	s.addr, s.started, s.left = addr, started, time.Time{}
	p.mu.Unlock()
	closeAll(old)
}

// Leave says that a server drains or has gone.
func (p *Pool) Leave(name string, gone bool) {
	p.mu.Lock()
	var old []*conn
	if s := p.servers[name]; s != nil {
		old = p.takeIdle(s)
		if s.left.IsZero() {
			s.left = time.Now()
		}
		if gone {
			delete(p.servers, name)
		}
	}
	p.mu.Unlock()
	closeAll(old)
}

// Keep lets go of all servers but those listed.
func (p *Pool) Keep(listed map[string]bool) {
	var gone []string
	p.mu.Lock()
	for name := range p.servers {
		if !listed[name] {
			gone = append(gone, name)
		}
	}
	p.mu.Unlock()
	for _, name := range gone {
		p.Leave(name, true)
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
		for len(s.idle) > 0 && now.Sub(s.idle[0].used) > p.idleMost() {
			old = append(old, s.idle[0])
			p.drop(s.idle[0])
		}
	}
	p.mu.Unlock()
	closeAll(old)
}

// Trim closes idle connections, the longest idle first, until all keep to the limit.
func (p *Pool) Trim() {
	p.mu.Lock()
	var old []*conn
	for p.conns > p.cfg.MostConns {
		c := p.longestIdle()
		if c == nil {
			break
		}
		old = append(old, c)
		p.drop(c)
	}
	p.mu.Unlock()
	closeAll(old)
}

// Conns is the number of connections.
func (p *Pool) Conns() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.conns
}

// takeIdle empties a server's idle list. The caller closes what it returns.
func (p *Pool) takeIdle(s *server) []*conn {
	old := s.idle
	for _, c := range old {
		c.dead = true
	}
	p.conns -= len(old)
	s.idle = nil
	return old
}

// drop takes an open connection out of the pool. The caller closes it.
func (p *Pool) drop(c *conn) {
	if c.dead {
		return
	}
	c.dead = true
	p.conns--
	for i, o := range c.to.idle {
		if o == c {
			c.to.idle = append(c.to.idle[:i], c.to.idle[i+1:]...)
			break
		}
	}
}

func closeAll(conns []*conn) {
	for _, c := range conns {
		c.Close()
	}
}

// take gives a the newest idle connection to its server that is still good. With
// none it books a place for a new one; ok says whether there was one.
func (p *Pool) take(a *Attempt) (c *conn, addr string, ok bool) {
	now := time.Now()
	p.mu.Lock()
	var old []*conn
	defer func() {
		p.mu.Unlock()
		closeAll(old)
	}()
	s := p.servers[a.Server]
	if s == nil {
		return nil, "", false // gone between the decision and now
	}
	a.to, a.wait = s, p.cfg.DialTimeout
	for len(s.idle) > 0 && !(a.Once && p.broke > brokeMost) {
		n := len(s.idle) - 1
		for n > 0 && now.Sub(s.idle[n].used) < p.rest {
			n--
		}
		c := s.idle[n]
		rested := now.Sub(c.used) >= p.rest
		// Whether something has come on it since, its end included, is seen when it is used.
		if rested && now.Sub(c.used) <= p.idleMost() {
			s.idle = append(s.idle[:n], s.idle[n+1:]...)
			c.owner, a.kept = a, true
			return c, "", true
		}
		if !rested {
			break
		}
		old = append(old, c)
		p.drop(c)
	}
	a.kept = false
	if len(s.idle) > 0 && a.Once && p.broke > brokeMost {
		// The new connection takes the place of one that is not trusted: a server holds
		// only so many, and those left unused would keep the new ones out.
		old = append(old, s.idle[0])
		p.drop(s.idle[0])
	}
	if p.conns >= p.cfg.MostConns {
		c := p.longestIdle()
		if c == nil {
			slog.Warn("no descriptor left for a connection to a server", "conns", p.conns)
			return nil, "", false
		}
		old = append(old, c)
		p.drop(c)
	}
	p.conns++
	return nil, s.addr, true
}

// longestIdle is the connection that has been idle for the longest, nil if none is.
func (p *Pool) longestIdle() (oldest *conn) {
	for _, s := range p.servers {
		if len(s.idle) > 0 && (oldest == nil || s.idle[0].used.Before(oldest.used)) {
			oldest = s.idle[0]
		}
	}
	return oldest
}

// release puts a connection back after an attempt; false if it is not wanted.
func (p *Pool) release(c *conn) bool {
	c.in.Rest() // before the lock: whoever sends takes them the other way round
	p.mu.Lock()
	defer p.mu.Unlock()
	if c.dead || c.addr != c.to.addr || !c.to.left.IsZero() {
		return false
	}
	c.owner, c.used = nil, time.Now()
	c.to.idle = append(c.to.idle, c)
	return true
}

// discard closes a connection for good.
func (p *Pool) discard(c *conn) {
	p.mu.Lock()
	p.drop(c)
	p.mu.Unlock()
	c.Close()
}

// unbook gives back the place of a connection that never came up.
func (p *Pool) unbook() {
	p.mu.Lock()
	p.conns--
	p.mu.Unlock()
}

// late says that the grace of a server that left is over.
func (p *Pool) late(s *server) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return !s.left.IsZero() && time.Since(s.left) > p.cfg.DrainGrace
}
