package upstream

import (
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"net/http/httputil"
	"runtime/debug"
	"strconv"
	"strings"
	"sync"
	"time"

	"martendrum"
	"martendrum/internal/framing"
	"martendrum/internal/sock"
)

const (
	// bodyMost is the longest body of an answer that is held whole before it is passed
	// on. Beyond it, or after holdMost where the length is not told, it is streamed.
	bodyMost = 64 << 10
	holdMost = 100 * time.Millisecond
	// answerMost is the longest answer passed on. Guards against one without end.
	answerMost = 48 << 20
	// stallMost is how long an answer may pause while it is held, headMost how long its
	// head may take. Guards against answers that stop short: the time left can still
	// serve a repeat. It may do harm to a server that pauses in the midst of an answer.
	stallMost = 600 * time.Millisecond
	headMost  = time.Second
	// giveMost is how long a streamed answer, or a body on its way, may pause.
	giveMost = 10 * time.Second
	// interimMost is how many 1xx answers may come ahead of an answer.
	interimMost = 16
	// smallSend is what a connection's empty buffer surely takes at once. More
	// is written by a goroutine of its own.
	smallSend = 8 << 10
)

// Request is a client's request as each of its attempts sends it.
type Request struct {
	Method string
	Head   []byte // request line and header fields, but for the deadline and the empty line
	Body   []byte
	Stream Stream // what follows Body; nil: nothing
}

// Stream is the part of a body that is not held: one attempt can send it, once.
type Stream interface {
	// Claim is true for the first caller only.
	Claim() bool
	// Read ends in time by itself where nothing comes.
	io.Reader
	// Chunked says that the length is not known.
	Chunked() bool
	// Close says that who claimed it reads no more.
	Close() error
}

// Answer is a server's answer of 200, whole or as far as it has come.
type Answer struct {
	Header http.Header
	Body   []byte
	Rest   io.Reader // of the body, to be read before Done returns; nil: Body is all
	Length int64     // of the body with its rest, -1 where it is not known
}

// Sink is told how an attempt goes.
type Sink interface {
	// Done tells the outcome; ans is set for OK. Only the first call counts. The rest
	// of an answer that is not whole can be read until Done returns; what is not read
	// by then costs the connection.
	Done(o martendrum.Outcome, ans *Answer, rep martendrum.Report)
}

// Attempt is one send of a request to one server.
type Attempt struct {
	Request  *Request
	Server   string
	Deadline time.Time // when the sidecar stops waiting
	Latest   time.Time // when its last byte must have left, or it must not run; zero: Deadline
	Sink     Sink
	// Once says that the request can't be repeated: it is not trusted to a kept
	// connection while those break at their next request.
	Once bool
	// Wrote is called, if not nil, when the last byte has been written, Claimed when
	// this attempt alone can send the body.
	Wrote, Claimed func()

	pool *Pool
	to   *server

	kept bool          // went on a connection that had been used before
	at   time.Time     // when it was started
	wait time.Duration // for a connection to come up

	mu         sync.Mutex
	conn       *conn
	ended      bool // abandoned, or its connection is of no more use
	began      bool // the first byte may have been written
	wrote      bool // the writing is over
	readFailed bool // the connection broke before the writing was over
}

// Start makes the attempt. It does not wait for the server.
func (p *Pool) Start(a *Attempt) {
	a.pool, a.at = p, time.Now()
	for {
		c, addr, ok := p.take(a)
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

// Withdraw stops an attempt that has not begun and says whether it did: it has not run
// and will not. One that has begun goes on.
func (a *Attempt) Withdraw() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if !a.began {
		a.ended = true
	}
	return !a.began
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

func (a *Attempt) done(o martendrum.Outcome) { a.Sink.Done(o, nil, martendrum.Report{}) }

// guard keeps a panic to the attempt that it came from.
func (a *Attempt) guard() {
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
	go a.sendGuarded(c)
	c.read(a.pool)
}

func (a *Attempt) connect(addr string) *conn {
	d := net.Dialer{Timeout: a.wait, KeepAlive: -1}
	nc, err := d.Dial("tcp", addr)
	if err != nil {
		a.pool.unbook()
		return nil
	}
	return &conn{
		Conn: nc, to: a.to, addr: addr, owner: a,
		in: sock.NewLazy(nc),
	}
}

func (a *Attempt) sendGuarded(c *conn) {
	defer a.guard()
	if !a.send(c) {
		a.done(martendrum.ConnectFailed)
	}
}

// begin marks that the first byte goes out on c now, where the attempt still stands.
func (a *Attempt) begin(c *conn) bool {
	late := a.pool.late(a.to) // a slow dial must not carry work past a drain's grace
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.ended || late || !time.Now().Before(a.latest()) {
		a.ended = true
		return false
	}
	a.conn, a.began = c, true
	return true
}

// latest is when the last byte must have left.
func (a *Attempt) latest() time.Time {
	if a.Latest.IsZero() || a.Latest.After(a.Deadline) {
		return a.Deadline
	}
	return a.Latest
}

// on says that the attempt has begun on c: what comes there is about it.
func (a *Attempt) on(c *conn) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.began && a.conn == c
}

// send writes the request, or what of it surely fits the connection's buffer: the rest
// is left to another goroutine, for the caller may be anyone's. It returns false, and has
// closed c, where something had come on it before, its end included: that is no answer to
// this request, which may go elsewhere.
func (a *Attempt) send(c *conn) bool {
	buf := buffers.Get().(*[]byte)
	head := append((*buf)[:0], a.Request.Head...)
	head = append(head, "Req-Deadline-Ms: "...)
	head = strconv.AppendInt(head, max(1, time.Until(a.Deadline).Milliseconds()), 10)
	head = append(head, "\r\n\r\n"...)
	small := a.Request.Stream == nil && len(head)+len(a.Request.Body) <= smallSend
	if small {
		head = append(head, a.Request.Body...)
	}
	begun := false
	var n int
	var err error
	quiet := c.in.IfQuiet(func() {
		if begun = a.begin(c); begun {
			n, err = c.Write(head)
		}
	})
	whole := n == len(head)
	*buf = head
	buffers.Put(buf)
	switch {
	case !quiet:
		a.pool.discard(c)
		return false
	case !begun:
		a.pool.discard(c)
		a.done(martendrum.NotSent)
	case small || !whole:
		a.sent(c, whole, err)
	default:
		go func() {
			defer a.guard()
			var err error
			if a.Request.Stream != nil {
				err = a.sendStream(c, a.Request.Stream)
			} else {
				c.SetWriteDeadline(a.latest())
				_, err = c.Write(a.Request.Body)
			}
			c.SetWriteDeadline(time.Time{})
			a.sent(c, err == nil, err)
		}()
	}
	return true
}

// errClaimed ends an attempt whose body another one sends.
var errClaimed = errors.New("upstream: another attempt sends the body")

// sendStream writes a request whose body is not held whole. As long as what is held
// has not left, another attempt can be made.
func (a *Attempt) sendStream(c *conn, from Stream) error {
	c.SetWriteDeadline(time.Now().Add(giveMost))
	var w io.Writer = c
	var chunks io.WriteCloser
	if from.Chunked() {
		chunks = httputil.NewChunkedWriter(c)
		w = chunks
	}
	if _, err := w.Write(a.Request.Body); err != nil {
		return err
	}
	if !from.Claim() {
		return errClaimed
	}
	defer from.Close()
	if a.Claimed != nil {
		a.Claimed()
	}
	buf := streams.Get().(*[]byte)
	defer streams.Put(buf)
	for {
		n, err := from.Read(*buf)
		if n > 0 {
			c.SetWriteDeadline(time.Now().Add(giveMost))
			if _, err := w.Write((*buf)[:n]); err != nil {
				return err
			}
		}
		switch {
		case err == io.EOF && chunks == nil:
			return nil
		case err == io.EOF:
			if err := chunks.Close(); err != nil {
				return err
			}
			_, err := io.WriteString(c, "\r\n") // no trailers
			return err
		case err != nil:
			return err
		}
	}
}

// streams are the windows of streamed bodies.
var streams = sync.Pool{New: func() any { b := make([]byte, 16<<10); return &b }}

var buffers = sync.Pool{New: func() any { b := make([]byte, 0, 4<<10); return &b }}

// sent takes the end of the writing. A break before the last byte was written
// proves that the request never ran; one after it proves nothing.
func (a *Attempt) sent(c *conn, whole bool, err error) {
	a.mu.Lock()
	a.wrote = whole // else the reader must not tell of a break before this does
	failed := a.readFailed
	a.mu.Unlock()
	if whole && a.Wrote != nil {
		a.Wrote()
	}
	switch {
	case !whole:
		slog.Debug("request not written", "server", a.Server, "err", err)
		a.pool.discard(c)
		a.done(martendrum.ConnectFailed)
	case failed:
		a.done(martendrum.Reset)
	}
}

// read is a connection's goroutine: it waits for answers, and for the end.
func (c *conn) read(p *Pool) {
	defer p.discard(c)
	for {
		err := c.in.Wait()
		p.mu.Lock()
		a := c.owner
		if a == nil { // ended while idle, or something came that nobody asked for
			p.drop(c)
		}
		p.mu.Unlock()
		if a == nil || !a.on(c) {
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
	a.pool.noteKept(a, true)
	if wrote { // else the writer knows best how far it came
		a.done(martendrum.Reset)
	}
}

// receive reads one answer and reports it; true if the connection can go on.
// What is not an answer of the protocol's form, whole and of a length told
// beyond doubt, is a failed attempt that may have run, and its connection is of
// no more use. Guards against spoilt answers of any kind: noise, heads without
// end, two lengths, more than may be passed on, a break in the midst. What has been
// passed on by then can't be taken back: the client's connection is cut.
func (a *Attempt) receive(c *conn) (goesOn bool) {
	defer func() {
		if p := recover(); p != nil {
			slog.Error("panic in an answer", "panic", p, "stack", string(debug.Stack()))
			a.done(martendrum.Reset)
			goesOn = false
		}
	}()
	resp, ans, err := c.readAnswer(a.Request.Method)
	if err != nil {
		slog.Warn("bad answer", "server", a.Server, "err", err)
		a.done(martendrum.Reset)
		return false
	}
	a.pool.noteKept(a, false)
	rep := ParseLoad(resp.Header.Get("Srv-Load"))
	if resp.StatusCode == http.StatusOK && ans.Rest != nil {
		rest := &given{c: c, from: ans.Rest, left: answerMost}
		ans.Rest = rest
		a.Sink.Done(martendrum.OK, ans, rep)
		return rest.whole && !resp.Close && c.in.Buffered() == 0 && a.isWritten()
	}
	// The next request must find nothing of this answer on the connection.
	goesOn = !resp.Close && ans.Rest == nil && c.in.Buffered() == 0 && a.isWritten()
	if resp.StatusCode == http.StatusOK {
		a.Sink.Done(martendrum.OK, ans, rep)
		return goesOn
	}
	o := martendrum.ServerError
	if s := resp.StatusCode; (s == http.StatusServiceUnavailable || s == http.StatusGatewayTimeout) && resp.Header.Get("Srv-Declined") == "1" {
		o = martendrum.Full
	}
	a.Sink.Done(o, nil, rep)
	return goesOn
}

func (a *Attempt) isWritten() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.wrote && !a.ended
}

// given is the rest of a streamed answer.
type given struct {
	c     *conn
	from  io.Reader
	left  int64
	whole bool
}

var errEndless = errors.New("upstream: an answer of too many bytes")

// Read implements io.Reader.
func (g *given) Read(p []byte) (n int, err error) {
	g.c.SetReadDeadline(time.Now().Add(giveMost))
	n, err = g.from.Read(p)
	if g.left -= int64(n); g.left < 0 {
		return 0, errEndless
	}
	if err != nil {
		g.whole = err == io.EOF
		g.c.SetReadDeadline(time.Time{})
	}
	return n, err
}

// readAnswer reads an answer, as far as it is held, passing over interim ones.
func (c *conn) readAnswer(method string) (*http.Response, *Answer, error) {
	for range interimMost {
		if err := c.in.Wait(); err != nil {
			return nil, nil, err
		}
		c.SetReadDeadline(time.Now().Add(headMost))
		head, err := framing.Await(c.in.Reader())
		if err == nil {
			err = framing.Check(head)
		}
		if err != nil {
			return nil, nil, err
		}
		resp, err := http.ReadResponse(c.in.Reader(), &http.Request{Method: method})
		switch {
		case err != nil:
			return nil, nil, err
		case resp.ProtoMajor != 1:
			return nil, nil, fmt.Errorf("upstream: an answer of %s", resp.Proto)
		case resp.StatusCode == http.StatusSwitchingProtocols:
			return nil, nil, errors.New("upstream: protocol switched")
		case resp.StatusCode >= 200:
			ans, err := c.readBody(resp)
			c.SetReadDeadline(time.Time{})
			return resp, ans, err
		}
		c.SetReadDeadline(time.Time{})
	}
	return nil, nil, errors.New("upstream: too many interim answers")
}

// readBody reads an answer's body as far as it is held: whole, or the first bytes of
// one that is longer or takes longer than that.
func (c *conn) readBody(resp *http.Response) (*Answer, error) {
	ans := &Answer{Header: resp.Header, Length: resp.ContentLength}
	switch {
	case resp.ContentLength > answerMost:
		return nil, fmt.Errorf("upstream: an answer of %d bytes", resp.ContentLength)
	case resp.ContentLength > bodyMost:
		// Its first byte shows that there is one; what has come with it goes along.
		ans.Body = make([]byte, 4<<10)
		c.SetReadDeadline(time.Now().Add(stallMost))
		n, err := resp.Body.Read(ans.Body)
		if err != nil {
			return nil, err
		}
		ans.Body, ans.Rest = ans.Body[:n], resp.Body
		return ans, nil
	case resp.ContentLength >= 0:
		ans.Body = make([]byte, resp.ContentLength)
		for n := 0; n < len(ans.Body); {
			c.SetReadDeadline(time.Now().Add(stallMost))
			m, err := resp.Body.Read(ans.Body[n:])
			if n += m; err != nil && n < len(ans.Body) {
				return nil, io.ErrUnexpectedEOF
			}
		}
		return ans, nil
	}
	// One without any length ends with its connection. Noise can look like it, but does
	// not end: so it must end, or be long, before any of it is passed on.
	toEnd := len(resp.TransferEncoding) == 0
	began := time.Now()
	for buf := make([]byte, 4<<10); ; {
		c.SetReadDeadline(time.Now().Add(stallMost))
		n, err := resp.Body.Read(buf)
		ans.Body = append(ans.Body, buf[:n]...)
		switch {
		case err == io.EOF && toEnd && len(ans.Body) == 0:
			return nil, io.ErrUnexpectedEOF // more like a break than an answer
		case err == io.EOF:
			ans.Length = int64(len(ans.Body))
			return ans, nil
		case err != nil:
			return nil, err
		case len(ans.Body) > bodyMost-len(buf), !toEnd && len(ans.Body) > 0 && time.Since(began) > holdMost:
			ans.Rest = resp.Body
			return ans, nil
		}
	}
}

// loadMost is more than any server holds.
const loadMost = 1e6

// ParseLoad reads a load report: name=value, with commas between. A value that
// is no load is left out: one that is not a number would spoil every comparison.
func ParseLoad(text string) (rep martendrum.Report) {
	for text != "" {
		var field string
		field, text, _ = strings.Cut(text, ",")
		name, value, _ := strings.Cut(strings.TrimSpace(field), "=")
		v, err := strconv.ParseFloat(value, 64)
		if err != nil || !(v >= 0 && v <= loadMost) {
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
