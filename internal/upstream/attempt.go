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

// Request is a client's request in the form in which every attempt sends it.
type Request struct {
	ID     string // request id, for logs; empty: none
	Method string
	Head   []byte // request line and header fields, without the deadline field and the final empty line
	Body   []byte // the complete body, or its buffered part if Stream is set
	Stream Stream // the rest of the body; nil: Body is complete
}

// Stream is the part of a body that is not buffered. Only one attempt can send it, and only once.
type Stream interface {
	// Claim reserves the stream for the caller. It returns true for the first caller only.
	Claim() bool
	// Read returns an error within a bounded time if no more bytes of the body arrive.
	io.Reader
	// Chunked reports whether the body is sent in chunks, because its length is unknown.
	Chunked() bool
	// Close is called by the attempt that has claimed the stream, when it stops reading.
	Close() error
}

// Answer is a server's response with status 200, complete or with the rest of its body still to be read.
type Answer struct {
	Header http.Header
	Body   []byte
	Rest   io.Reader // the rest of the body, to be read before Sink.Done returns; nil: Body is complete
	Length int64     // length of the complete body; -1: unknown
}

// Sink receives the result of an attempt.
type Sink interface {
	// Done reports the outcome; answer is set only for OK. Done may be called more than once, and
	// all calls but the first must be ignored. The rest of an incomplete answer can be read until
	// Done returns. If it has not been read to its end by then, the connection is closed.
	Done(outcome martendrum.Outcome, answer *Answer, report martendrum.LoadReport)
}

// Attempt sends a request to one server once. Pool.Start starts it.
type Attempt struct {
	Request    *Request
	Server     string
	Deadline   time.Time // when the sidecar stops waiting for the answer
	SendBefore time.Time // when the last byte must have been sent; zero: Deadline
	Sink       Sink
	// MaxSentTimeout limits the time until Deadline that is sent to the server; 0: no limit. It is
	// set for a streamed body, whose Deadline includes the time of the upload.
	MaxSentTimeout time.Duration
	// NonRepeatable says that the request must not be sent again if its attempt fails. It gets a
	// new connection while too many reused connections break at their next request.
	NonRepeatable bool
	// ClientDisconnected, if not nil, reports whether the client has disconnected. It is called before the
	// first byte is written, and must not block. If it returns true, nothing is sent and the
	// outcome is NotSent.
	ClientDisconnected func() bool
	// OnWritten, if not nil, is called when the last byte has been written. OnClaimed, if not nil,
	// is called when this attempt has claimed the body's Stream, so that no other attempt can send
	// it. OnPaused, if not nil, is called once if the answer has begun and then pauses for longer than
	// pauseNotice; the attempt goes on. It may be called after the attempt has been abandoned.
	OnWritten, OnClaimed, OnPaused func()

	pool        *Pool
	server      *server
	process     incarnation   // of the server, when the attempt was started
	reused      bool          // the connection has been used by an earlier attempt
	startedAt   time.Time     // when Start was called
	dialTimeout time.Duration // for opening a new connection

	mu          sync.Mutex
	conn        *conn
	closed      bool           // the attempt is abandoned or withdrawn, or must not be sent any more
	sendStarted bool           // the first byte may have been written
	written     bool           // the last byte has been written
	readFailed  bool           // the connection broke before any byte of an answer arrived
	paused      bool           // OnPaused has been called
	partial     *partialAnswer // the answer of unknown length that is being buffered; nil: none
}

// Start starts an attempt, on an idle connection or a new one. It does not wait for the server. The
// result is reported to the attempt's Sink, which may happen before Start returns.
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

// Withdraw stops the attempt if no byte of it has been sent, and returns whether that is so: then the
// attempt has not been and will not be executed. Otherwise the attempt continues.
func (a *Attempt) Withdraw() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if !a.sendStarted {
		a.closed = true
	}
	return !a.sendStarted
}

// Abandon stops the attempt and returns whether a byte of it may have been sent. The caller must then
// call Close, which closes the connection, so that the server notices the cancellation.
func (a *Attempt) Abandon() (sendStarted bool) {
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
	owned := c.owner == a // otherwise the connection is idle or used by another attempt
	if owned {
		a.pool.remove(c)
	}
	a.pool.mu.Unlock()
	if owned {
		c.Close()
	}
}

// done reports an outcome other than OK, without an answer.
func (a *Attempt) done(outcome martendrum.Outcome) {
	a.Sink.Done(outcome, nil, martendrum.LoadReport{})
}

// recoverPanic limits the effect of a panic to the attempt in which it occurred. It must be deferred.
func (a *Attempt) recoverPanic() {
	if p := recover(); p != nil {
		slog.Error("panic while sending an attempt", "panic", p, "stack", string(debug.Stack()))
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

// dialTCP opens a TCP connection.
func dialTCP(addr string, timeout time.Duration) (net.Conn, error) {
	dialer := net.Dialer{Timeout: timeout, KeepAlive: -1}
	return dialer.Dial("tcp", addr)
}

// connect opens a connection for the attempt. It returns nil if that fails.
func (a *Attempt) connect(addr string) *conn {
	netConn, err := a.pool.dial(addr, a.dialTimeout)
	if err != nil {
		slog.Debug("cannot connect to the server", "server", a.Server, "err", err)
		a.pool.releaseSlot()
		return nil
	}
	c := &conn{Conn: netConn, server: a.server, process: a.process, owner: a}
	c.input = netconn.NewLazyReader(c)
	return c
}

// sendFirst sends the request as the first one on a new connection.
func (a *Attempt) sendFirst(c *conn) {
	defer a.recoverPanic()
	if !a.send(c) {
		a.done(martendrum.ConnectFailed)
	}
}

// begin marks the attempt as begun on c, before its first byte is written. It returns false if the
// attempt must not be sent any more. It checks whether the client has disconnected, because after a
// stall of the process it may run before the goroutine that reads from the client's connection.
func (a *Attempt) begin(c *conn) bool {
	allowed := a.pool.mayBegin(a) // the list may have changed while the connection was dialled
	clientLeft := a.ClientDisconnected != nil && a.ClientDisconnected()
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.closed || !allowed || clientLeft || !time.Now().Before(a.sendDeadline()) {
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

// hasStartedOn reports whether the attempt has begun on c, so that bytes arriving there are its answer.
func (a *Attempt) hasStartedOn(c *conn) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.sendStarted && a.conn == c
}

// isClosed reports whether the attempt has been abandoned or withdrawn.
func (a *Attempt) isClosed() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.closed
}

// isWritten reports whether the request has been written completely and the attempt is neither
// abandoned nor withdrawn.
func (a *Attempt) isWritten() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.written && !a.closed
}
