// Package front is the sidecar's side towards its client: it accepts
// connections, reads requests, writes answers and notices a client that leaves.
package front

import (
	"bufio"
	"errors"
	"io"
	"log/slog"
	"math"
	"net"
	"net/http"
	"runtime/debug"
	"strings"
	"sync"
	"time"
)

const (
	headMost = 64 << 10
	bodyMost = 32 << 20
	// A client that sends nothing for so long in the midst of a request has hung.
	stallMost = 10 * time.Second
	// A client that takes nothing of its answer for so long has hung.
	writeMost = 10 * time.Second
	// How long a refused connection is read off, so that its client sees why.
	lingerMost = 2 * time.Second
	// freshMost is how long a new connection without a byte counts as busy.
	freshMost = 500 * time.Millisecond
)

// Handler takes requests. Each Exchange that arrives is ended once, by one of
// its own methods, or by Gone, and released when its body is not needed.
type Handler interface {
	Arrive(x *Exchange)
	// Gone says that the client has left; false if an answer is under way.
	Gone(x *Exchange) bool
	// Ready says whether clients may come.
	Ready() bool
	// Known says whether there is a class of that name.
	Known(class string) bool
}

// Config is what a Server is told.
type Config struct {
	MostConns int   // client connections at once
	MostBody  int64 // bytes of request bodies held at once
}

// Server serves the client.
type Server struct {
	cfg     Config
	handler Handler
	budget  budget

	mu       sync.Mutex
	conns    map[*conn]struct{}
	draining bool
}

// conn is one client connection. Its goroutine reads; answers are written by
// whoever has them.
type conn struct {
	srv *Server
	nc  net.Conn
	in  capped
	br  *bufio.Reader

	// Guarded by the server's lock.
	busy   bool // a request is being read or answered
	shut   bool // closed by the sidecar
	fresh  bool // not a byte has come yet
	since  time.Time
	served sync.Cond // x became nil
	x      *Exchange // the request that waits for its answer
}

// capped is a connection's input, which ends after left bytes. Guards against a
// head without end, which the parser would keep whole.
type capped struct {
	net.Conn
	left int64
}

var errLongHead = errors.New("front: head too long")

func (r *capped) Read(p []byte) (int, error) {
	if r.left <= 0 {
		return 0, errLongHead
	}
	n, err := r.Conn.Read(p[:min(int64(len(p)), r.left)])
	r.left -= int64(n)
	return n, err
}

// New returns a Server that hands requests to h.
func New(cfg Config, h Handler) *Server {
	return &Server{cfg: cfg, handler: h, budget: budget{left: cfg.MostBody}, conns: make(map[*conn]struct{})}
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

func (s *Server) add(nc net.Conn) {
	c := &conn{srv: s, nc: nc, in: capped{Conn: nc}, fresh: true, since: time.Now()}
	c.br = bufio.NewReaderSize(&c.in, 4<<10)
	c.served.L = &s.mu
	s.mu.Lock()
	full := len(s.conns) >= s.cfg.MostConns
	s.mu.Unlock()
	crowded := full && !s.evict()
	s.mu.Lock()
	s.conns[c] = struct{}{}
	s.mu.Unlock()
	go c.serve(crowded)
}

// evict closes the connection that has been idle for the longest; false if none is.
func (s *Server) evict() bool {
	s.mu.Lock()
	var oldest *conn
	for c := range s.conns {
		if !c.busy && !c.shut && (oldest == nil || c.since.Before(oldest.since)) {
			oldest = c
		}
	}
	if oldest != nil {
		oldest.shut = true
		delete(s.conns, oldest)
	}
	s.mu.Unlock()
	if oldest != nil {
		oldest.nc.Close()
	}
	return oldest != nil
}

// Drain readies for the end: idle connections are closed, the others after
// their next answer. New ones are still served.
func (s *Server) Drain() {
	s.mu.Lock()
	s.draining = true
	var idle []*conn
	for c := range s.conns {
		if !c.busy && !c.shut && !c.fresh {
			c.shut = true
			idle = append(idle, c)
		}
	}
	s.mu.Unlock()
	for _, c := range idle {
		c.nc.Close()
	}
}

// Busy is the number of connections with a request, or about to bring one.
func (s *Server) Busy() (n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.conns {
		if c.busy || c.fresh && time.Since(c.since) < freshMost {
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
		default:
			c.srv.mu.Lock()
			c.x = x
			c.srv.mu.Unlock()
			c.srv.handler.Arrive(x)
		}
	}
}

// next waits for the next request's first byte, and meanwhile for the answer to
// the last one; false if the connection is over.
func (c *conn) next() bool {
	c.in.left = headMost
	_, err := c.br.Peek(1)
	s := c.srv
	s.mu.Lock()
	if err != nil && c.x != nil {
		x := c.x
		s.mu.Unlock()
		if s.handler.Gone(x) {
			return false
		}
		s.mu.Lock()
	}
	for c.x != nil {
		c.served.Wait()
	}
	defer s.mu.Unlock()
	if err != nil || c.shut {
		return false
	}
	c.busy, c.fresh = true, false
	return true
}

// close ends the connection for good.
func (c *conn) close() {
	c.srv.mu.Lock()
	c.shut = true
	delete(c.srv.conns, c)
	c.srv.mu.Unlock()
	c.nc.Close()
}

// read reads one request. It returns an Exchange for the handler, or the status
// to close the connection with, or -1 to close it without; or none of these, if
// the request is answered.
func (c *conn) read(crowded bool) (*Exchange, int) {
	c.nc.SetReadDeadline(time.Now().Add(stallMost))
	r, err := http.ReadRequest(c.br)
	if err != nil {
		var ne net.Error
		switch {
		case errors.Is(err, errLongHead):
			return nil, http.StatusRequestHeaderFieldsTooLarge
		case errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) || errors.As(err, &ne):
			return nil, -1
		}
		return nil, http.StatusBadRequest
	}
	c.in.left = math.MaxInt64
	if r.ContentLength > bodyMost {
		return nil, http.StatusRequestEntityTooLarge
	}
	if r.ProtoAtLeast(1, 1) && strings.EqualFold(r.Header.Get("Expect"), "100-continue") {
		c.nc.Write([]byte("HTTP/1.1 100 Continue\r\n\r\n"))
	}
	body, kept, status := c.readBody(r)
	if status != 0 {
		return nil, status
	}
	c.nc.SetReadDeadline(time.Time{})
	x := &Exchange{conn: c, Received: time.Now(), body: body, reserved: kept, keep: !r.Close}
	status = x.parse(r, c.srv.handler)
	switch {
	case r.URL.Path == "/_health":
		status = http.StatusOK
		if !c.srv.handler.Ready() {
			status = http.StatusServiceUnavailable
		}
	case status == 0 && (crowded || kept < 0):
		slog.Warn("request refused at a limit", "crowded", crowded, "conns", c.srv.Conns())
		x.keep = x.keep && !crowded
		x.Refuse(limitRetry)
		x.Release()
		return nil, 0
	}
	if status != 0 {
		x.answer(status, "", nil, nil)
		x.Release()
		return nil, 0
	}
	return x, 0
}

// limitRetry is when a client refused at a limit may come back.
const limitRetry = 200 * time.Millisecond

// readBody reads a request's body under the byte budget. Past it the rest is
// read off and thrown away, and kept is -1.
func (c *conn) readBody(r *http.Request) (body [][]byte, kept int64, status int) {
	if r.Body == http.NoBody {
		return nil, 0, 0
	}
	b := &c.srv.budget
	over := false
	drop := func() {
		b.give(kept)
		body, kept = nil, 0
	}
	var waste []byte
	size := int64(firstPiece)
	for total := int64(0); ; size = pieceSize {
		if r.ContentLength > 0 {
			size = min(pieceSize, r.ContentLength-total)
		}
		if !over && !b.take(size) {
			over = true
			drop()
			waste = make([]byte, pieceSize)
		}
		piece := waste
		if !over {
			kept += size
			piece = make([]byte, size)
		}
		n, err := c.fill(r.Body, piece)
		total += int64(n)
		if !over && n > 0 {
			body = append(body, piece[:n])
		}
		var ne net.Error
		switch {
		case total > bodyMost:
			status = http.StatusRequestEntityTooLarge
		case err == io.EOF, err == nil && total == r.ContentLength:
			if over {
				kept = -1
			}
			return body, kept, 0
		case err == nil:
			continue
		case errors.Is(err, io.ErrUnexpectedEOF), errors.As(err, &ne):
			status = -1
		default:
			status = http.StatusBadRequest
		}
		drop()
		return nil, 0, status
	}
}

// fill fills p; io.EOF says that the body ended before. Each read may take
// stallMost: slow clients are served as long as they go on.
func (c *conn) fill(body io.Reader, p []byte) (n int, err error) {
	for n < len(p) && err == nil {
		var k int
		c.nc.SetReadDeadline(time.Now().Add(stallMost))
		k, err = body.Read(p[n:])
		n += k
	}
	return n, err
}

// reject answers what is no request and closes the connection, after reading off
// what the client still sends: closing at once would take the answer back.
func (c *conn) reject(status int) {
	x := &Exchange{conn: c}
	x.answer(status, "", nil, nil)
	if tc, ok := c.nc.(*net.TCPConn); ok {
		tc.CloseWrite()
	}
	c.nc.SetReadDeadline(time.Now().Add(lingerMost))
	io.CopyN(io.Discard, c.nc, bodyMost)
}

// Bodies are kept in pieces: the first of one whose length is not told is small.
const (
	firstPiece = 4 << 10
	pieceSize  = 64 << 10
)

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
	if n > 0 {
		b.mu.Lock()
		b.left += n
		b.mu.Unlock()
	}
}
