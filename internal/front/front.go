// Package front is the sidecar's side towards its client: it accepts
// connections, reads requests, writes answers and notices a client that leaves.
package front

import (
	"errors"
	"io"
	"log/slog"
	"net"
	"net/http"
	"os"
	"runtime/debug"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"martendrum/internal/framing"
	"martendrum/internal/metrics"
	"martendrum/internal/settings"
	"martendrum/internal/sock"
)

const (
	// bodyMost is how much of a body is held, so that it can be sent again. What is
	// longer is streamed.
	bodyMost = 64 << 10
	// A connection's first request must be whole within firstMost of its
	// acceptance, a later one within requestMost of its first byte. Guards
	// against clients that connect and say nothing, or never finish: a total, not
	// a limit for each read, so that a slow trickle ends too. It may do harm to a
	// client that takes longer for a head; bodies have a pace of their own, see paced.
	firstMost   = 2600 * time.Millisecond
	requestMost = 2600 * time.Millisecond
	// keepMost is how long a connection is kept that has no request open. Guards
	// against clients that ask once and keep theirs for good. A client whose next
	// request crosses the closing sends it again.
	keepMost = 5 * time.Second
	// A client that takes nothing of its answer for so long has hung.
	writeMost = 2 * time.Second
	// A connection that is closed after an answer is read off within these bounds first:
	// closing over unread bytes resets it, and the reset may take the answer back.
	lingerMost  = 300 * time.Millisecond
	lingerBytes = 256 << 10
	// leftEach is how often a client whose body nobody reads yet is looked after: what
	// begins for one that has left must not begin 0.1 s later.
	leftEach = 40 * time.Millisecond
	// evictTries is at how many connections one eviction looks closely: those on which
	// something has just come are not closed.
	evictTries = 8
	// freshMost is how long a new connection without a byte counts as busy when
	// the sidecar stops.
	freshMost = 500 * time.Millisecond
	// A crowded server gives up a connection that has been silent for silentMost
	// since it was accepted, or in the midst of a request for stuckMost, before one
	// that has been useful.
	silentMost = 150 * time.Millisecond
	stuckMost  = 600 * time.Millisecond
	// limitRetry is when a client refused at a limit may come back.
	limitRetry = 200 * time.Millisecond
	// recentIDs is how many ids of answered requests are still known.
	recentIDs = 2048
	idMost    = 128 // of a request's id
)

// Handler takes requests. Each Exchange that arrives is ended once, by one of
// its own methods, or by Gone, and released when its body is not needed.
type Handler interface {
	Arrive(x *Exchange)
	// Gone says that the client has left; false if an answer is under way.
	Gone(x *Exchange) bool
	// Ready says whether clients may come.
	Ready() bool
	// Class is the class of a name, nil if there is none.
	Class(name string) *settings.Class
}

// Meter counts what becomes of requests.
type Meter interface {
	// Answered takes the status of a request's final answer; class is one of the settings.
	Answered(class string, status int)
	// Limited takes why the server itself refused a request.
	Limited(why metrics.Reason)
}

// unmetered counts nothing.
type unmetered struct{}

func (unmetered) Answered(string, int)   {}
func (unmetered) Limited(metrics.Reason) {}

// Config is what a Server is told.
type Config struct {
	MostConns int   // client connections at once
	MostBody  int64 // bytes of request bodies held at once
}

// Server serves the client.
type Server struct {
	cfg     Config
	handler Handler
	meter   Meter
	budget  budget

	mu       sync.Mutex
	conns    map[*conn]struct{}
	ids      ids
	draining bool
	health   string          // a header line of the health call's answers
	more     []func() string // of further fields
}

// state is what a connection is about.
type state int

const (
	fresh   state = iota // not a byte has come yet
	reading              // a request is coming in
	waiting              // a request waits for its answer
	idle                 // between requests
	shut                 // closed by the sidecar, or about to be: no request of it is taken
)

// conn is one client connection. Its goroutine reads; answers are written by
// whoever has them.
type conn struct {
	srv      *Server
	nc       net.Conn
	in       *sock.Lazy
	accepted time.Time
	served   sync.Cond // x became nil

	// Guarded by the server's lock.
	state state
	since time.Time // of state
	x     *Exchange // the request that waits for its answer
}

// New returns a Server that hands requests to h.
func New(cfg Config, h Handler) *Server {
	return &Server{
		cfg:     cfg,
		handler: h,
		meter:   unmetered{},
		budget:  budget{left: cfg.MostBody},
		conns:   make(map[*conn]struct{}),
		ids:     ids{known: make(map[string]bool)},
	}
}

// SetMeter makes the Server count. It is called before Serve.
func (s *Server) SetMeter(m Meter) { s.meter = m }

// Active is the number of requests taken and not ended.
func (s *Server) Active() (n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.conns {
		if c.x != nil {
			n++
		}
	}
	return n
}

// Held is the number of bytes of bodies held, of those that may be.
func (s *Server) Held() (held, most int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.budget.mu.Lock()
	defer s.budget.mu.Unlock()
	return s.cfg.MostBody - s.budget.left, s.cfg.MostBody
}

// Limit replaces the limits, for connections and bodies still to come.
func (s *Server) Limit(cfg Config) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.budget.give(cfg.MostBody - s.cfg.MostBody)
	s.cfg = cfg
}

// SetHealth sets a header line that answers to the health call carry.
func (s *Server) SetHealth(name, value string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.health = name + ": " + value + "\r\n"
}

// SetHealthFunc adds another one, whose value is asked for at each call.
func (s *Server) SetHealthFunc(name string, value func() string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.more = append(s.more, func() string { return name + ": " + value() + "\r\n" })
}

func (s *Server) healthField() string {
	s.mu.Lock()
	field, more := s.health, s.more
	s.mu.Unlock()
	for _, f := range more {
		field += f()
	}
	return field
}

// Serve accepts connections until the listener is closed.
func (s *Server) Serve(ln net.Listener) error {
	for {
		nc, err := ln.Accept()
		if err != nil {
			if errors.Is(err, net.ErrClosed) {
				return err
			}
			// Out of descriptors or the like: it passes, and connections wait meanwhile.
			slog.Warn("can't accept", "err", err)
			s.evict()
			time.Sleep(5 * time.Millisecond)
			continue
		}
		s.add(nc)
	}
}

// crowdRoom is how many connections beyond the limit are still told why they
// can't be served. Past it new ones are closed: descriptors are finite.
func crowdRoom(most int) int { return most / 8 }

func (s *Server) add(nc net.Conn) {
	now := time.Now()
	c := &conn{srv: s, nc: nc, accepted: now, since: now}
	c.served.L = &s.mu
	s.mu.Lock()
	n, most := len(s.conns), s.cfg.MostConns
	s.mu.Unlock()
	crowded := n >= most-crowdRoom(most) && !s.evict()
	if crowded && n >= most {
		slog.Warn("connection closed: no descriptor left for it", "conns", n)
		nc.Close()
		return
	}
	nc.SetReadDeadline(now.Add(firstMost))
	c.in = sock.NewLazy(nc)
	s.mu.Lock()
	s.conns[c] = struct{}{}
	s.mu.Unlock()
	go c.serve(crowded)
}

// worthless ranks a connection for eviction: the higher, the sooner; 0 for one
// that has a request. Those that hold a descriptor and never used it go first.
// Guards the clients' connections against hundreds that connect and say nothing.
// It may do harm when the sidecar itself was stopped for longer than silentMost
// with the first bytes of a connection unread; those come second by age.
func (c *conn) worthless(now time.Time) int {
	age := now.Sub(c.since)
	switch {
	case (c.state == fresh || c.state == shut) && age > silentMost, c.state == reading && age > stuckMost:
		return 4
	case c.state == idle:
		return 3
	case c.state == fresh, c.state == shut:
		return 2
	case c.state == reading && age > silentMost: // half a head, as long as there is no better
		return 1
	}
	return 0
}

// evict closes the connection that is worth least, the oldest among equals; false if all
// are in use. One on which something has come that is not read yet is in use.
func (s *Server) evict() bool {
	now := time.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	var passed [evictTries]*conn
	for try := range evictTries {
		var least *conn
		most := 0
		for c := range s.conns {
			w := c.worthless(now)
			if (w > most || w == most && w > 0 && c.since.Before(least.since)) && !slices.Contains(passed[:try], c) {
				least, most = c, w
			}
		}
		switch {
		case least == nil:
			return false
		case least.state == reading || least.state == shut:
			// Its goroutine ends it: a request that it has read whole by now is answered.
			least.enter(shut)
			least.nc.SetReadDeadline(time.Unix(1, 0))
		case least.in.Quiet():
			least.enter(shut)
			least.nc.Close()
		default:
			passed[try] = least
			continue
		}
		delete(s.conns, least)
		return true
	}
	return false
}

// enter changes c's state. The server's lock is held.
func (c *conn) enter(to state) { c.state, c.since = to, time.Now() }

// Drain readies for the end: idle connections are closed, the others after
// their next answer. New ones are still served. With softly, idle ones stay for
// CloseQuiet: closing one may cross a request.
func (s *Server) Drain(softly bool) {
	s.mu.Lock()
	s.draining = true
	s.mu.Unlock()
	if !softly {
		s.CloseQuiet(0)
	}
}

// CloseQuiet closes the connections that have been idle for so long.
func (s *Server) CloseQuiet(since time.Duration) {
	s.mu.Lock()
	quiet := s.retire(since)
	s.mu.Unlock()
	for _, c := range quiet {
		c.finish()
	}
}

// retire takes the connections that have been idle for so long out of use. A request that
// has come on one goes before: it is not among them. The lock is held, and so is what the
// connection's goroutine needs to take a request: exactly one of the two wins.
func (s *Server) retire(since time.Duration) (quiet []*conn) {
	for c := range s.conns {
		if c.state == idle && time.Since(c.since) >= since && c.in.Quiet() {
			c.enter(shut)
			quiet = append(quiet, c)
		}
	}
	return quiet
}

// Trim evicts what can be spared until the connections keep to the limit.
func (s *Server) Trim() {
	for {
		s.mu.Lock()
		over := len(s.conns) > s.cfg.MostConns
		s.mu.Unlock()
		if !over || !s.evict() {
			return
		}
	}
}

// Draining says that Drain was called.
func (s *Server) Draining() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.draining
}

// Busy is the number of connections with a request, about to bring one, or read off.
func (s *Server) Busy() (n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.conns {
		if c.state == reading || c.state == waiting || c.state == shut || c.state == fresh && time.Since(c.since) < freshMost {
			n++
		}
	}
	return n
}

// Conns is the number of client connections.
func (s *Server) Conns() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.conns)
}

// serve is a connection's goroutine. On a crowded server it refuses the one
// request of its connection.
func (c *conn) serve(crowded bool) {
	defer c.close()
	defer func() {
		if p := recover(); p != nil {
			slog.Error("panic at a client connection", "panic", p, "stack", string(debug.Stack()))
			c.srv.mu.Lock()
			x := c.x
			c.srv.mu.Unlock()
			if x != nil && c.srv.handler.Gone(x) {
				x.Fail()
			}
		}
	}()
	for c.next() {
		x, status := c.read(crowded)
		switch {
		case status < 0: // the client broke off
			return
		case status > 0:
			c.reject(status)
			return
		case x == nil: // answered already
			continue
		}
		if status := c.begin(x); status != 0 {
			x.Release()
			c.reject(status)
			return
		}
		c.srv.handler.Arrive(x)
		if x.up != nil {
			c.attend(x)
			if x.up.linger.Load() {
				c.linger()
				return
			}
		}
	}
}

// attend waits until nobody reads x's body any more. As long as nobody has begun to, it
// looks whether the client has left, which does not show behind an unread body.
func (c *conn) attend(x *Exchange) {
	look := time.NewTicker(leftEach)
	defer look.Stop()
	for {
		select {
		case <-x.up.done:
			return
		case <-look.C:
			if x.up.unread() && c.in.Left() && c.srv.handler.Gone(x) {
				x.up.stop()
			}
		}
	}
}

// begin enters x as its connection's open request, or returns the status to end the
// connection with: its id is another's, or the connection was given up meanwhile.
// Guards against an answer that goes to the wrong client, and a second send under
// the same id. It also catches a client that repeats an id of late. It may do harm
// to a client that reuses ids, which the protocol forbids.
func (c *conn) begin(x *Exchange) (status int) {
	s := c.srv
	s.mu.Lock()
	defer s.mu.Unlock()
	if c.state == shut {
		return http.StatusServiceUnavailable
	}
	if !s.ids.open(x.id) {
		return http.StatusConflict
	}
	c.x = x
	c.enter(waiting)
	c.nc.SetReadDeadline(time.Time{}) // the reader watches for the client's leaving
	return 0
}

// next waits for the next request's first byte, and meanwhile for the answer to
// the last one; false if the connection is over. A client that sends on before
// it has its answer is one that the protocol does not know: which of its
// requests it would take an answer for is anyone's guess, so it gets an error.
func (c *conn) next() bool {
	for {
		err := c.in.Wait()
		s := c.srv
		s.mu.Lock()
		early := c.x != nil && !c.x.answering
		if early {
			x := c.x
			s.mu.Unlock()
			if s.handler.Gone(x) {
				if err == nil {
					c.reject(http.StatusBadRequest)
				}
				return false
			}
			s.mu.Lock()
		}
		for c.x != nil {
			c.served.Wait()
		}
		over := c.state == shut
		if over || early || err != nil {
			silent := !over && errors.Is(err, os.ErrDeadlineExceeded)
			if silent && c.in.Quiet() {
				c.enter(shut)
			}
			over = over || c.state == shut
			s.mu.Unlock()
			switch {
			case silent && !over: // something has come in the last moment
				c.nc.SetReadDeadline(time.Now().Add(requestMost))
				continue
			case silent, early && err == nil:
				c.linger()
			case over && err == nil:
				c.readOff()
			}
			return false
		}
		if c.state != fresh {
			c.nc.SetReadDeadline(time.Now().Add(requestMost))
		}
		c.enter(reading)
		s.mu.Unlock()
		return true
	}
}

// close ends the connection for good.
func (c *conn) close() {
	s := c.srv
	s.mu.Lock()
	if c.x != nil {
		s.ids.close(c.x.id)
		c.x = nil
	}
	c.enter(shut)
	delete(s.conns, c)
	s.mu.Unlock()
	c.nc.Close()
}

// read reads one request. It returns an Exchange for the handler, or the status
// to close the connection with, or -1 to close it without; or none of these, if
// the request is answered.
func (c *conn) read(crowded bool) (*Exchange, int) {
	head, err := framing.Await(c.in.Reader())
	if err == nil {
		err = framing.Check(head)
	}
	if err != nil {
		return nil, statusOf(err)
	}
	r, err := http.ReadRequest(c.in.Reader())
	if err != nil {
		return nil, statusOf(err)
	}
	if r.ContentLength > streamMost {
		return nil, http.StatusRequestEntityTooLarge
	}
	x := &Exchange{conn: c, keep: !r.Close && !crowded, http10: !r.ProtoAtLeast(1, 1)}
	if r.URL.Path == "/_health" && r.Method == http.MethodGet && r.Body == http.NoBody {
		status := http.StatusOK
		if !c.srv.handler.Ready() {
			status = http.StatusServiceUnavailable
		}
		x.answer(status, c.srv.healthField(), nil, nil)
		return nil, 0
	}
	if status := x.parse(r, c.srv.handler); status != 0 {
		return nil, status
	}
	if r.ProtoAtLeast(1, 1) && strings.EqualFold(r.Header.Get("Expect"), "100-continue") {
		c.nc.SetWriteDeadline(time.Now().Add(writeMost))
		c.nc.Write([]byte("HTTP/1.1 100 Continue\r\n\r\n"))
	}
	fits, status := x.readBody(r)
	switch {
	case status != 0:
	case x.up != nil && fits && !crowded:
	case c.in.Buffered() > 0 && fits: // more than one request, or a length that is wrong
		status = http.StatusBadRequest
	case crowded || !fits:
		slog.Warn("request refused at a limit", "crowded", crowded, "conns", c.srv.Conns())
		if crowded {
			c.srv.meter.Limited(metrics.Crowded)
		} else {
			c.srv.meter.Limited(metrics.Bytes)
		}
		if x.Release(); x.up != nil || !fits && r.ContentLength > bodyMost { // the client still sends
			return nil, http.StatusServiceUnavailable
		}
		x.Refuse(limitRetry)
		return nil, 0
	}
	if status != 0 {
		x.Release()
		return nil, status
	}
	x.Received = time.Now()
	return x, 0
}

// statusOf is what to tell a client whose request can't be read, -1 for nothing.
func statusOf(err error) int {
	switch {
	case errors.Is(err, framing.ErrLong):
		return http.StatusRequestHeaderFieldsTooLarge
	case errors.Is(err, os.ErrDeadlineExceeded):
		return http.StatusRequestTimeout
	case errors.Is(err, io.EOF), errors.Is(err, io.ErrUnexpectedEOF):
		return -1
	}
	if _, ok := errors.AsType[net.Error](err); ok {
		return -1
	}
	return http.StatusBadRequest
}

// reject answers what is no request and closes the connection, after reading off
// some of what the client still sends: closing at once would take the answer back.
func (c *conn) reject(status int) {
	x := &Exchange{conn: c}
	x.write(status, "", nil, nil)
	c.srv.mu.Lock()
	evicted := c.state == shut // its place is another's already
	if !evicted {
		c.enter(shut)
	}
	c.srv.mu.Unlock()
	if !evicted {
		c.linger()
	}
}

// linger closes the connection well, as its goroutine: nothing more is written, and some
// of what the client still sends is read off.
func (c *conn) linger() {
	c.finish()
	c.readOff()
}

// finish closes the sending side: the client sees the end behind its last answer. Whoever
// has entered shut calls it, once; the connection's goroutine reads off and closes.
func (c *conn) finish() {
	if half, ok := c.nc.(interface{ CloseWrite() error }); ok {
		half.CloseWrite()
	}
	c.nc.SetReadDeadline(time.Now().Add(lingerMost))
}

// readOff takes what the client still sends, within bounds, up to its end.
func (c *conn) readOff() {
	buf := buffers.Get().(*[]byte)
	defer buffers.Put(buf)
	for left := lingerBytes; left > 0; {
		n, err := c.nc.Read((*buf)[:cap(*buf)])
		if left -= n; err != nil {
			return
		}
	}
}

// SharedIDs is a set of ids that another process shares. Open enters the id of a hash;
// false if it is known already.
type SharedIDs interface {
	Open(hash uint64, at time.Time) bool
}

// ShareIDs makes the ids known here known to another process, and that one's here. A set
// shared before is not used any more.
func (s *Server) ShareIDs(with SharedIDs) {
	now := time.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ids.shared = with
	for id := range s.ids.known {
		with.Open(xxhash.Sum64String(id), now)
	}
}

// UnshareIDs ends the sharing of a set: when it returns, the set is not used any more.
func (s *Server) UnshareIDs(with SharedIDs) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.ids.shared == with {
		s.ids.shared = nil
	}
}

// ids knows the ids of open requests and of those answered last.
type ids struct {
	known  map[string]bool
	shared SharedIDs         // nil: no other process takes clients
	recent [recentIDs]string // a ring
	next   int
}

func (i *ids) open(id string) bool {
	if i.known[id] || i.shared != nil && !i.shared.Open(xxhash.Sum64String(id), time.Now()) {
		return false
	}
	i.known[id] = true
	return true
}

// close makes an open id a recent one; the oldest of these is forgotten.
func (i *ids) close(id string) {
	delete(i.known, i.recent[i.next])
	i.recent[i.next] = id
	i.next = (i.next + 1) % recentIDs
}

// budget is a number of bytes to share.
type budget struct {
	mu   sync.Mutex
	left int64
}

func (b *budget) take(n int64) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.left < n {
		return false
	}
	b.left -= n
	return true
}

func (b *budget) give(n int64) {
	b.mu.Lock()
	b.left += n
	b.mu.Unlock()
}
