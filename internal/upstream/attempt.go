package upstream

import (
	"bufio"
	"errors"
	"io"
	"log/slog"
	"math"
	"net"
	"net/http"
	"runtime/debug"
	"strconv"
	"strings"
	"sync"
	"time"

	"chalkrack"
)

const (
	// WholeMost is the longest answer that is read whole before it is passed on:
	// if its server breaks first, another attempt can still be made.
	WholeMost = 64 << 10
	headMost  = 64 << 10 // of a server's answer
	// smallSend is what a connection's empty buffer surely takes at once. More
	// is written by a goroutine of its own.
	smallSend = 8 << 10
)

// Request is a client's request as each of its attempts sends it.
type Request struct {
	Method string
	Head   []byte   // request line and header fields, but for the deadline and the empty line
	Body   [][]byte // in pieces
}

// Answer is a server's answer of 200.
type Answer struct {
	Header http.Header
	Body   []byte // whole, or of a long one what has come so far
	Length int64  // of a long one, -1 if it is not told
}

// Sink is told how an attempt goes.
type Sink interface {
	// Stream says that a long answer has begun, and asks where the rest goes; nil
	// if nobody wants it.
	Stream(ans *Answer) io.Writer
	// Done tells the outcome; ans is set for a whole answer. Only the first call counts.
	Done(o chalkrack.Outcome, ans *Answer, rep chalkrack.Report)
}

// Attempt is one send of a request to one server.
type Attempt struct {
	Request  *Request
	Server   string
	Deadline time.Time // when the sidecar stops waiting
	Sink     Sink

	pool *Pool
	to   *server

	mu         sync.Mutex
	conn       *conn
	ended      bool // abandoned, or its connection is of no more use
	began      bool // the first byte may have been written
	wrote      bool // the writing is over
	readFailed bool // the connection broke before the writing was over
}

// Start makes the attempt. It does not wait for the server.
func (p *Pool) Start(a *Attempt) {
	a.pool = p
	c, addr, ok := p.take(a)
	switch {
	case !ok:
		a.done(chalkrack.ConnectFailed)
	case c != nil:
		a.send(c)
	default:
		go a.dial(addr)
	}
}

// Abandon stops an attempt and says whether it may have begun. Close closes its
// connection afterwards, which is how a server learns of it.
func (a *Attempt) Abandon() (began bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.ended = true
	return a.began
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
	mine := c.owner == a // else it has gone on to another attempt
	if mine {
		a.pool.drop(c)
	}
	a.pool.mu.Unlock()
	if mine {
		c.Close()
	}
}

func (a *Attempt) done(o chalkrack.Outcome) { a.Sink.Done(o, nil, chalkrack.Report{}) }

// guard keeps a panic to the attempt that it came from.
func (a *Attempt) guard() {
	if p := recover(); p != nil {
		slog.Error("panic in an attempt", "panic", p, "stack", string(debug.Stack()))
		a.done(chalkrack.Reset)
	}
}

// dial opens a connection, sends on it and stays as its reader.
func (a *Attempt) dial(addr string) {
	c := a.connect(addr)
	if c == nil {
		a.done(chalkrack.ConnectFailed)
		return
	}
	go a.sendGuarded(c)
	c.read(a.pool)
}

func (a *Attempt) connect(addr string) *conn {
	d := net.Dialer{Timeout: a.pool.cfg.DialTimeout, KeepAlive: -1}
	nc, err := d.Dial("tcp", addr)
	if err != nil {
		a.pool.unbook()
		return nil
	}
	raw, err := nc.(*net.TCPConn).SyscallConn()
	if err != nil {
		nc.Close()
		a.pool.unbook()
		return nil
	}
	c := &conn{Conn: nc, raw: raw, to: a.to, addr: addr, owner: a, in: capped{Conn: nc}}
	c.br = bufio.NewReaderSize(&c.in, 4<<10)
	return c
}

func (a *Attempt) sendGuarded(c *conn) {
	defer a.guard()
	a.send(c)
}

// send writes the request. What does not surely fit the connection's buffer is
// left to another goroutine: the caller may be anyone's.
func (a *Attempt) send(c *conn) {
	late := a.pool.late(a.to) // a slow dial must not carry work past a drain's grace
	a.mu.Lock()
	a.conn = c
	if a.ended || late || a.readFailed {
		a.ended, a.wrote = true, true
		a.mu.Unlock()
		a.pool.discard(c)
		a.done(chalkrack.ConnectFailed)
		return
	}
	a.began = true
	a.mu.Unlock()

	buf := buffers.Get().(*[]byte)
	head := append((*buf)[:0], a.Request.Head...)
	head = append(head, "Req-Deadline-Ms: "...)
	head = strconv.AppendInt(head, max(1, time.Until(a.Deadline).Milliseconds()), 10)
	head = append(head, "\r\n\r\n"...)
	size := len(head)
	for _, piece := range a.Request.Body {
		size += len(piece)
	}
	if size <= smallSend {
		for _, piece := range a.Request.Body {
			head = append(head, piece...)
		}
		n, err := c.Write(head)
		*buf = head
		buffers.Put(buf)
		a.sent(c, n == size, err)
		return
	}
	go func() {
		defer a.guard()
		pieces := append(net.Buffers{head}, a.Request.Body...)
		n, err := pieces.WriteTo(c.Conn)
		a.sent(c, n == int64(size), err)
	}()
}

var buffers = sync.Pool{New: func() any { b := make([]byte, 0, 4<<10); return &b }}

// sent takes the end of the writing. A break before the last byte was written
// proves that the request never ran; one after it proves nothing.
func (a *Attempt) sent(c *conn, whole bool, err error) {
	a.mu.Lock()
	a.wrote = true
	failed := a.readFailed
	a.mu.Unlock()
	switch {
	case !whole:
		slog.Debug("request not written", "server", a.Server, "err", err)
		a.pool.discard(c)
		a.done(chalkrack.ConnectFailed)
	case failed:
		a.done(chalkrack.Reset)
	}
}

// read is a connection's goroutine: it waits for answers, and for the end.
func (c *conn) read(p *Pool) {
	defer p.discard(c)
	for {
		c.in.left = headMost
		_, err := c.br.Peek(1)
		p.mu.Lock()
		a := c.owner
		if a == nil { // ended while idle, or something came that nobody asked for
			p.drop(c)
		}
		p.mu.Unlock()
		if a == nil {
			return
		}
		if err != nil {
			a.broken()
			return
		}
		if !a.receive(c) || !p.release(c) {
			return
		}
	}
}

// broken takes a connection's end before any byte of an answer.
func (a *Attempt) broken() {
	a.mu.Lock()
	wrote := a.wrote
	a.readFailed = true
	a.mu.Unlock()
	if wrote { // else the writer knows best how far it came
		a.done(chalkrack.Reset)
	}
}

var errLongHead = errors.New("upstream: head of the answer too long")

// capped is a connection's input, which ends after left bytes. Guards against a
// head without end, which the parser would keep whole.
type capped struct {
	net.Conn
	left int64
}

func (r *capped) Read(p []byte) (int, error) {
	if r.left <= 0 {
		return 0, errLongHead
	}
	n, err := r.Conn.Read(p[:min(int64(len(p)), r.left)])
	r.left -= int64(n)
	return n, err
}

// receive reads one answer and reports it; true if the connection can go on.
func (a *Attempt) receive(c *conn) (goesOn bool) {
	defer func() {
		if p := recover(); p != nil {
			slog.Error("panic in an answer", "panic", p, "stack", string(debug.Stack()))
			a.done(chalkrack.Reset)
			goesOn = false
		}
	}()
	resp, err := c.readHead(a.Request.Method)
	if err != nil {
		slog.Warn("bad answer", "server", a.Server, "err", err)
		a.done(chalkrack.Reset)
		return false
	}
	rep := ParseLoad(resp.Header.Get("Srv-Load"))
	ans := &Answer{Header: resp.Header, Length: resp.ContentLength}
	long := resp.StatusCode == http.StatusOK && ans.Length > WholeMost
	if !long {
		ans.Body, err = readMost(resp.Body, ans.Length)
		if len(ans.Body) > WholeMost {
			long = true
		} else if err != nil {
			a.done(chalkrack.Reset)
			return false
		}
	}
	if long && resp.StatusCode == http.StatusOK {
		return a.stream(c, resp, ans, rep)
	}
	// The next request must find nothing of this answer on the connection.
	goesOn = !long && !resp.Close && c.br.Buffered() == 0 && a.isWritten()
	if resp.StatusCode == http.StatusOK {
		a.Sink.Done(chalkrack.OK, ans, rep)
		return goesOn
	}
	o := chalkrack.ServerError
	if s := resp.StatusCode; (s == http.StatusServiceUnavailable || s == http.StatusGatewayTimeout) && resp.Header.Get("Srv-Declined") == "1" {
		o = chalkrack.Full
	}
	a.Sink.Done(o, nil, rep)
	return goesOn
}

func (a *Attempt) isWritten() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.wrote && !a.ended
}

// readHead reads an answer up to its body, passing over interim ones.
func (c *conn) readHead(method string) (*http.Response, error) {
	for {
		resp, err := http.ReadResponse(c.br, &http.Request{Method: method})
		switch {
		case err != nil:
			return nil, err
		case resp.StatusCode == http.StatusSwitchingProtocols:
			return nil, errors.New("upstream: protocol switched")
		case resp.StatusCode >= 200:
			c.in.left = math.MaxInt64
			return resp, nil
		}
	}
}

// readMost reads a body of up to WholeMost; of a longer one it reads one byte more.
func readMost(body io.Reader, length int64) ([]byte, error) {
	if length >= 0 && length <= WholeMost {
		b := make([]byte, length)
		_, err := io.ReadFull(body, b)
		return b, err
	}
	return io.ReadAll(io.LimitReader(body, WholeMost+1))
}

// stream passes a long answer on as it comes.
func (a *Attempt) stream(c *conn, resp *http.Response, ans *Answer, rep chalkrack.Report) bool {
	w := a.Sink.Stream(ans)
	if w == nil { // the request is over: reading the rest on would only cost
		a.Sink.Done(chalkrack.OK, nil, rep)
		return false
	}
	if _, err := w.Write(ans.Body); err != nil {
		a.done(chalkrack.Cancelled) // the client has left
		return false
	}
	buf := streamBuffers.Get().(*[]byte)
	defer streamBuffers.Put(buf)
	for {
		n, err := resp.Body.Read(*buf)
		if n > 0 {
			if _, werr := w.Write((*buf)[:n]); werr != nil {
				a.done(chalkrack.Cancelled)
				return false
			}
		}
		switch err {
		case nil:
		case io.EOF:
			goesOn := !resp.Close && c.br.Buffered() == 0 && a.isWritten()
			a.Sink.Done(chalkrack.OK, nil, rep)
			return goesOn
		default:
			a.done(chalkrack.Reset)
			return false
		}
	}
}

var streamBuffers = sync.Pool{New: func() any { b := make([]byte, 16<<10); return &b }}

// ParseLoad reads a load report: name=value, with commas between.
func ParseLoad(text string) (rep chalkrack.Report) {
	for text != "" {
		var field string
		field, text, _ = strings.Cut(text, ",")
		name, value, _ := strings.Cut(strings.TrimSpace(field), "=")
		v, err := strconv.ParseFloat(value, 64)
		if err != nil {
			continue
		}
		switch name {
		case "inflight", "busy_reqs":
			rep.InFlight, rep.HasInFlight = v, true
		case "util", "cpu_share":
			rep.Util, rep.HasUtil = v, true
		}
	}
	return rep
}
