package upstream

import (
	"io"
	"log/slog"
	"net"
	"net/http"
	"runtime/debug"
	"sync"
	"time"

	"martendrum"
	"martendrum/internal/netconn"
)

// Request is a client's request as each of its attempts sends it.
type Request struct {
	Method string
	Head   []byte // request line and header fields, but for the deadline and the empty line
	Body   []byte
	Stream Stream // what follows Body; nil: nothing
}

// Stream is the part of a body that is not buffered: one attempt can send it, once.
type Stream interface {
	// Claim returns true for the first caller only.
	Claim() bool
	// Read fails in bounded time if nothing arrives.
	io.Reader
	// Chunked reports that the length is not known.
	Chunked() bool
	// Close notes that the attempt that claimed it reads no more.
	Close() error
}

// Answer is a server's response of status 200, complete or as far as it has arrived.
type Answer struct {
	Header http.Header
	Body   []byte
	Rest   io.Reader // of the body, to be read before Done returns; nil: Body is all
	Length int64     // of the body with its rest, -1 if it is not known
}

// Sink takes the result of an attempt.
type Sink interface {
	// Done takes the outcome; answer is set for OK. Only the first call counts. The rest
	// of an answer that is not complete can be read until Done returns; if it is not read
	// to its end by then, the connection is closed.
	Done(outcome martendrum.Outcome, answer *Answer, report martendrum.LoadReport)
}

// Attempt is one send of a request to one server.
type Attempt struct {
	Request    *Request
	Server     string
	Deadline   time.Time // when the sidecar stops waiting
	SendBefore time.Time // when its last byte must have been sent, or it must not run; zero: Deadline
	Sink       Sink
	// Patience bounds the time that is announced to the server; 0: the time until Deadline. A
	// body that is still arriving has a later Deadline than its client waits from its end.
	Patience time.Duration
	// NonRepeatable says that the request can't be repeated: it does not go out on a reused
	// connection while those break at their next request.
	NonRepeatable bool
	// ClientLeft, if not nil, reports whether the client has left. It is called when the first byte
	// is about to be written, and must not block. If it has, nothing is sent, and the outcome
	// is NotSent.
	ClientLeft func() bool
	// OnWritten is called, if not nil, when the last byte has been written, Claimed when
	// this attempt alone can send the body.
	OnWritten, OnClaimed func()

	pool        *Pool
	server      *server
	reused      bool          // the connection had been used before
	startedAt   time.Time     // when Start was called
	dialTimeout time.Duration // for a new connection

	mu         sync.Mutex
	conn       *conn
	closed     bool // abandoned, or its connection is of no more use
	sendBegun  bool // the first byte may have been written
	written    bool // the last byte has been written
	readFailed bool // the connection broke before the writing was over
}

// Start makes the attempt. It does not wait for the server.
func (p *Pool) Start(a *Attempt) {
	a.pool, a.startedAt = p, time.Now()
	for {
		c, addr, ok := p.acquire(a)
		switch {
		case !ok:
			a.done(martendrum.ConnectFailed)
			return
		case c == nil:
			go a.dial(addr)
			return
		case a.send(c):
			return
		}
	}
}

// Withdraw stops an attempt that has not begun and returns whether it did: it has not run
// and will not. One that has begun goes on.
func (a *Attempt) Withdraw() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if !a.sendBegun {
		a.closed = true
	}
	return !a.sendBegun
}

// Abandon stops an attempt and returns whether it may have begun. Close closes its
// connection afterwards, by which the server learns of it.
func (a *Attempt) Abandon() (began bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.closed = true
	return a.sendBegun
}

// Close closes the connection of an abandoned attempt.
func (a *Attempt) Close() {
	a.mu.Lock()
	c := a.conn
	a.mu.Unlock()
	if c == nil {
		return
	}
	a.pool.mu.Lock()
	owned := c.owner == a // otherwise another attempt has it
	if owned {
		a.pool.remove(c)
	}
	a.pool.mu.Unlock()
	if owned {
		c.Close()
	}
}

// done reports an outcome without an answer.
func (a *Attempt) done(outcome martendrum.Outcome) {
	a.Sink.Done(outcome, nil, martendrum.LoadReport{})
}

// recoverPanic keeps a panic to the attempt that it came from. It is deferred.
func (a *Attempt) recoverPanic() {
	if p := recover(); p != nil {
		slog.Error("panic in an attempt", "panic", p, "stack", string(debug.Stack()))
		a.done(martendrum.Reset)
	}
}

// dial opens a connection, sends on it and stays as its reader.
func (a *Attempt) dial(addr string) {
	c := a.connect(addr)
	if c == nil {
		a.done(martendrum.ConnectFailed)
		return
	}
	go a.sendFirst(c)
	c.read(a.pool)
}

// dialTCP opens a connection.
func dialTCP(addr string, limit time.Duration) (net.Conn, error) {
	dialer := net.Dialer{Timeout: limit, KeepAlive: -1}
	return dialer.Dial("tcp", addr)
}

// connect opens a connection; nil if that fails.
func (a *Attempt) connect(addr string) *conn {
	netConn, err := a.pool.dial(addr, a.dialTimeout)
	if err != nil {
		slog.Debug("no connection", "server", a.Server, "err", err)
		a.pool.releaseSlot()
		return nil
	}
	return &conn{
		Conn: netConn, server: a.server, addr: addr, owner: a,
		input: netconn.NewLazy(netConn),
	}
}

// sendFirst sends the request on a new connection.
func (a *Attempt) sendFirst(c *conn) {
	defer a.recoverPanic()
	if !a.send(c) {
		a.done(martendrum.ConnectFailed)
	}
}

// begin notes that the first byte is about to be written to c; false if the attempt must
// not be sent any more. The client's connection is looked at here, not only by the goroutine
// that reads from it: after a stall of the process, this one may run first.
func (a *Attempt) begin(c *conn) bool {
	pastGrace := a.pool.isDrainGraceOver(a.server) // the dial may have taken long
	left := a.ClientLeft != nil && a.ClientLeft()
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.closed || pastGrace || left || !time.Now().Before(a.sendDeadline()) {
		a.closed = true
		return false
	}
	a.conn, a.sendBegun = c, true
	return true
}

// sendDeadline is when the last byte must have been sent.
func (a *Attempt) sendDeadline() time.Time {
	if a.SendBefore.IsZero() || a.SendBefore.After(a.Deadline) {
		return a.Deadline
	}
	return a.SendBefore
}

// hasBegunOn reports whether the attempt has begun on c: what arrives there is for it.
func (a *Attempt) hasBegunOn(c *conn) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.sendBegun && a.conn == c
}

// isWritten reports whether the request has been written completely and the attempt is open.
func (a *Attempt) isWritten() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.written && !a.closed
}
