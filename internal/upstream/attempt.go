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
	// Reader is the body; Read fails in bounded time if nothing arrives.
	io.Reader
	// Chunked reports that the length is not known.
	Chunked() bool
	// Close ends the reading by the attempt that claimed it.
	Close() error
}

// Answer is a server's response of status 200, complete or with its rest still arriving.
type Answer struct {
	Header http.Header
	Body   []byte
	Rest   io.Reader // the rest of the body, to be read before Sink.Done returns; nil: Body is complete
	Length int64     // of the complete body; -1: unknown
}

// Sink takes the result of an attempt.
type Sink interface {
	// Done reports the outcome; answer is set for OK. Only the first call counts. The rest of
	// an incomplete answer can be read until Done returns. If it has not been read to its end
	// by then, the connection is closed.
	Done(outcome martendrum.Outcome, answer *Answer, report martendrum.LoadReport)
}

// Attempt is one send of a request to one server.
type Attempt struct {
	Request    *Request
	Server     string
	Deadline   time.Time // when the sidecar stops waiting
	SendBefore time.Time // when its last byte must have been sent; zero: Deadline
	Sink       Sink
	// Patience bounds the deadline that is sent to the server; 0: the time until Deadline. It is
	// used for a streamed body, whose Deadline includes the time of the upload.
	Patience time.Duration
	// NonRepeatable says that the request must not be sent again. It gets a new connection while
	// reused ones break at their next request.
	NonRepeatable bool
	// ClientLeft, if not nil, reports whether the client has disconnected. It is called before the
	// first byte is written, and must not block. If it returns true, nothing is sent and the
	// outcome is NotSent.
	ClientLeft func() bool
	// OnWritten, if not nil, is called when the last byte has been written; OnClaimed when this
	// attempt has claimed the body's Stream, so that no other can send it.
	OnWritten, OnClaimed func()

	pool        *Pool
	server      *server
	reused      bool          // the connection had been used before
	startedAt   time.Time     // when Start was called
	dialTimeout time.Duration // for a new connection

	mu          sync.Mutex
	conn        *conn
	closed      bool // abandoned or withdrawn, or it must not be sent any more
	sendStarted bool // the first byte may have been written
	written     bool // the last byte has been written
	readFailed  bool // the connection broke before the request was written
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

// Withdraw stops an attempt of which no byte has been sent, and returns whether it did: the
// request was not and will not be executed by it. Any other attempt continues.
func (a *Attempt) Withdraw() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if !a.sendStarted {
		a.closed = true
	}
	return !a.sendStarted
}

// Abandon stops an attempt and returns whether a byte of it may have been sent. The caller then
// calls Close, which closes the connection and thereby tells the server.
func (a *Attempt) Abandon() (began bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.closed = true
	return a.sendStarted
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

// recoverPanic limits a panic to the attempt in which it occurred. It is deferred.
func (a *Attempt) recoverPanic() {
	if p := recover(); p != nil {
		slog.Error("panic in an attempt", "panic", p, "stack", string(debug.Stack()))
		a.done(martendrum.Reset)
	}
}

// dial opens a connection, sends the request on it and continues as its reader.
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

// begin marks the attempt as begun on c, before its first byte is written. It returns false if the
// attempt must not be sent any more. It checks the client's connection itself, because after a
// stall of the process it may run before the goroutine that reads from that connection.
func (a *Attempt) begin(c *conn) bool {
	pastGrace := a.pool.isDrainGraceOver(a.server) // the dial may have taken long
	left := a.ClientLeft != nil && a.ClientLeft()
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.closed || pastGrace || left || !time.Now().Before(a.sendDeadline()) {
		a.closed = true
		return false
	}
	a.conn, a.sendStarted = c, true
	return true
}

// sendDeadline returns when the last byte must have been sent.
func (a *Attempt) sendDeadline() time.Time {
	if a.SendBefore.IsZero() || a.SendBefore.After(a.Deadline) {
		return a.Deadline
	}
	return a.SendBefore
}

// hasStartedOn reports whether the attempt has begun on c: what arrives there is for it.
func (a *Attempt) hasStartedOn(c *conn) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.sendStarted && a.conn == c
}

// isWritten reports whether the request has been written completely and the attempt is open.
func (a *Attempt) isWritten() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.written && !a.closed
}
