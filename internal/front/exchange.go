package front

import (
	"errors"
	"io"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"time"

	"martendrum"
	"martendrum/internal/settings"
	"martendrum/internal/upstream"
)

// Exchange is one request and its answer. Its answering methods may be called
// from any goroutine, one of them once.
type Exchange struct {
	Request  upstream.Request
	Class    string
	Rules    *settings.Class // as they were when the request was read
	Tenant   string
	Wait     time.Duration // how long the client waits from Received on; 0: not told
	Received time.Time
	State    any // the handler's

	conn      *conn
	id        string
	reserved  int64 // bytes of the budget
	keep      bool  // the connection may go on
	http10    bool
	answering bool    // guarded by the server's lock
	up        *upload // the part of the body that is not held; nil: none
}

// Fields that belong to one connection, or that each attempt sets itself.
var hop = map[string]bool{
	"Connection": true, "Keep-Alive": true, "Proxy-Connection": true, "Te": true, "Trailer": true,
	"Transfer-Encoding": true, "Upgrade": true, "Expect": true, "Content-Length": true, "Req-Deadline-Ms": true,
}

// Fields that say what a request is: given twice, they say nothing.
var single = []string{"Req-Id", "Req-Kind", "Req-Deadline-Ms", "Idempotency-Key"}

// parse takes r's head over; it returns the status to answer at once, 0 for none.
// It lets nothing pass that says two things about itself: a class in the path and
// another in the header, a method or key that its class does not have. Guards
// against an unsafe request that is repeated as a safe one. It may do harm to an
// application that strays from the protocol's forms.
func (x *Exchange) parse(r *http.Request, h Handler) (status int) {
	for _, name := range single {
		if len(r.Header[name]) > 1 {
			return http.StatusBadRequest
		}
	}
	x.Class, _, _ = strings.Cut(strings.TrimPrefix(r.URL.Path, "/"), "/")
	if kind := r.Header.Get("Req-Kind"); kind != "" && kind != x.Class {
		return http.StatusBadRequest
	}
	if x.Rules = h.Class(x.Class); x.Rules == nil {
		return http.StatusNotFound
	}
	effect := x.Rules.Rules.Effect
	method := http.MethodPost
	if effect == martendrum.Safe {
		method = http.MethodGet
	}
	if r.Method != method {
		return http.StatusMethodNotAllowed
	}
	if effect == martendrum.Safe && r.ContentLength != 0 {
		return http.StatusBadRequest
	}
	if x.id = strings.Clone(r.Header.Get("Req-Id")); x.id == "" || len(x.id) > idMost {
		return http.StatusBadRequest
	}
	if keyed := r.Header.Get("Idempotency-Key") != ""; keyed != (effect == martendrum.Keyed) {
		return http.StatusBadRequest
	}
	if d, ok := r.Header["Req-Deadline-Ms"]; ok {
		ms, err := strconv.ParseUint(d[0], 10, 31)
		if err != nil {
			return http.StatusBadRequest
		}
		x.Wait = max(time.Duration(ms)*time.Millisecond, 1)
	}
	x.Tenant = r.Header.Get("Req-Owner")
	uri := r.RequestURI
	if !strings.HasPrefix(uri, "/") {
		uri = r.URL.RequestURI()
	}
	b := make([]byte, 0, 512)
	b = append(b, r.Method...)
	b = append(b, ' ')
	b = append(b, uri...)
	b = append(b, " HTTP/1.1\r\nHost: "...)
	b = append(b, r.Host...)
	b = append(b, "\r\n"...)
	x.Request = upstream.Request{Method: r.Method, Head: appendHeader(b, r.Header)}
	return 0
}

// readBody reads a request's body under the byte budget, as far as it is held, and
// completes the head. What the budget can't hold is read off; fits is false then.
func (x *Exchange) readBody(r *http.Request) (fits bool, status int) {
	if r.Body == http.NoBody {
		if r.Method != http.MethodGet {
			x.Request.Head = appendLength(x.Request.Head, 0)
		}
		return true, 0
	}
	from := &paced{c: x.conn, from: r.Body, began: time.Now()}
	size := min(r.ContentLength, bodyMost)
	if size < 0 {
		size = bodyMost
	}
	if fits = x.conn.srv.budget.take(size); fits {
		x.reserved = size
	}
	var body []byte
	var err error
	switch {
	case !fits:
		_, err = io.Copy(io.Discard, io.LimitReader(from, bodyMost+1))
		size = from.got
	case r.ContentLength > bodyMost:
		body = make([]byte, size)
		if _, err = io.ReadFull(from, body); err == nil {
			x.stream(r.ContentLength, from)
		}
	case r.ContentLength > 0:
		body = make([]byte, size)
		_, err = io.ReadFull(from, body)
		if err == nil {
			_, err = io.Copy(io.Discard, from) // its end
		}
	default:
		body, err = io.ReadAll(io.LimitReader(from, bodyMost))
		if size = int64(len(body)); err == nil && size == bodyMost { // there may be more
			x.stream(-1, from)
		}
	}
	switch {
	case !fits && size > bodyMost:
		x.keep = false // the rest is not read
		return false, 0
	case errors.Is(err, os.ErrDeadlineExceeded):
		return fits, http.StatusRequestTimeout
	case err != nil:
		return fits, http.StatusBadRequest
	}
	x.Request.Body = body
	if x.Request.Stream == nil {
		x.Request.Head = appendLength(x.Request.Head, size)
	}
	return fits, 0
}

func appendHeader(b []byte, h http.Header) []byte {
	for name, values := range h {
		if hop[name] {
			continue
		}
		for _, v := range values {
			b = append(b, name...)
			b = append(b, ": "...)
			b = append(b, v...)
			b = append(b, "\r\n"...)
		}
	}
	return b
}

func appendLength(b []byte, n int64) []byte {
	b = append(b, "Content-Length: "...)
	b = strconv.AppendInt(b, n, 10)
	return append(b, "\r\n"...)
}

// Refuse tells the client that trying again is harmless.
func (x *Exchange) Refuse(retryAfter time.Duration) {
	field := ""
	if retryAfter > 0 {
		field = "Retry-After: " + strconv.FormatFloat(retryAfter.Seconds(), 'f', 3, 64) + "\r\n"
	}
	x.answer(http.StatusServiceUnavailable, field, nil, nil)
}

// Fail tells the client that the request failed.
func (x *Exchange) Fail() { x.answer(http.StatusBadGateway, "", nil, nil) }

// Deny tells the client, in a field of the answer, why its request is not carried
// out: a status that is neither an answer nor a refusal, and where above 0 the time
// to come back. why is one line.
func (x *Exchange) Deny(status int, why string, retryAfter time.Duration) {
	field := "Record-State: " + why + "\r\n"
	if retryAfter > 0 {
		field += "Retry-After: " + strconv.FormatFloat(retryAfter.Seconds(), 'f', 3, 64) + "\r\n"
	}
	x.answer(status, field, nil, nil)
}

// Serve passes on a server's answer. Where it is not whole yet, Serve returns when the
// rest has gone too, or can't.
func (x *Exchange) Serve(ans *upstream.Answer) {
	if ans.Rest == nil {
		x.answer(http.StatusOK, "", ans.Header, ans.Body)
		return
	}
	x.begin(http.StatusOK)
	x.end(x.pass(ans))
}

// begin marks that the answer is on its way.
func (x *Exchange) begin(status int) {
	s := x.conn.srv
	s.mu.Lock()
	x.answering = true
	x.keep = x.keep && !s.draining && (x.up == nil || x.up.came())
	s.mu.Unlock()
	if x.id != "" { // a request, not the health call
		s.meter.Answered(x.Class, status)
	}
}

// pass writes an answer that still comes: each piece goes on as it has come, and the
// window is one piece. What ends early ends without its last chunk or byte.
func (x *Exchange) pass(ans *upstream.Answer) error {
	nc := x.conn.nc
	chunked := ans.Length < 0 && !x.http10
	if ans.Length < 0 && x.http10 {
		x.keep = false // its end is the connection's
	}
	b := x.head(make([]byte, 0, 512+len(ans.Body)), http.StatusOK, "", ans.Header)
	if chunked {
		b = append(b, "Transfer-Encoding: chunked\r\n"...)
	} else if ans.Length >= 0 {
		b = appendLength(b, ans.Length)
	}
	b = append(b, "\r\n"...)
	buf := pieces.Get().(*[]byte)
	defer pieces.Put(buf)
	frame := func(b, piece []byte) []byte {
		if !chunked || len(piece) == 0 {
			return append(b, piece...)
		}
		b = strconv.AppendInt(b, int64(len(piece)), 16)
		b = append(b, "\r\n"...)
		b = append(b, piece...)
		return append(b, "\r\n"...)
	}
	b = frame(b, ans.Body)
	ended := false
	for {
		nc.SetWriteDeadline(time.Now().Add(takeMost))
		if _, err := nc.Write(b); err != nil || ended {
			return err
		}
		n, err := ans.Rest.Read(*buf)
		b = frame(b[:0], (*buf)[:n])
		if err == io.EOF {
			if ended = true; chunked {
				b = append(b, "0\r\n\r\n"...)
			}
		} else if err != nil {
			return err
		}
	}
}

// pieces are the windows of streamed answers.
var pieces = sync.Pool{New: func() any { b := make([]byte, 16<<10); return &b }}

var buffers = sync.Pool{New: func() any { b := make([]byte, 0, 4<<10); return &b }}

// answer writes a whole answer, in one write, and readies the connection for the
// next request.
func (x *Exchange) answer(status int, field string, h http.Header, body []byte) {
	x.begin(status)
	x.end(x.write(status, field, h, body))
}

// write writes a whole answer.
func (x *Exchange) write(status int, field string, h http.Header, body []byte) error {
	buf := buffers.Get().(*[]byte)
	b := appendLength(x.head((*buf)[:0], status, field, h), int64(len(body)))
	b = append(b, "\r\n"...)
	b = append(b, body...)
	x.conn.nc.SetWriteDeadline(time.Now().Add(writeMost))
	_, err := x.conn.nc.Write(b)
	if cap(b) <= 80<<10 {
		*buf = b
		buffers.Put(buf)
	}
	return err
}

// head begins an answer: all but its length and the empty line.
func (x *Exchange) head(b []byte, status int, field string, h http.Header) []byte {
	b = append(b, "HTTP/1.1 "...)
	b = strconv.AppendInt(b, int64(status), 10)
	b = append(b, ' ')
	b = append(b, http.StatusText(status)...)
	b = append(b, "\r\n"...)
	b = append(b, field...)
	b = appendHeader(b, h)
	if !x.keep {
		b = append(b, "Connection: close\r\n"...)
	} else if x.http10 {
		b = append(b, "Connection: keep-alive\r\n"...)
	}
	return b
}

// end is the end of the exchange. Where its answer could not be written whole,
// the connection is cut, so that the client can tell.
func (x *Exchange) end(err error) {
	c := x.conn
	if err != nil {
		cut(c)
	}
	s := c.srv
	unread := x.up != nil && !x.up.stop() // the client still sends
	keep := err == nil && x.keep && !unread
	s.mu.Lock()
	if c.x == x {
		s.ids.close(x.id)
		c.x = nil
	}
	if keep {
		c.enter(idle)
		c.nc.SetReadDeadline(time.Now().Add(keepMost))
	} else {
		c.enter(shut)
	}
	s.mu.Unlock()
	switch {
	case keep, unread && err == nil: // its goroutine reads on, or some off
	case err != nil:
		c.nc.Close()
	default:
		c.finish()
	}
	c.served.Signal()
}

// Release gives the body's bytes back to the budget. The handler calls it when
// no attempt needs the body any more.
func (x *Exchange) Release() {
	x.conn.srv.budget.give(x.reserved)
	x.reserved = 0
}

// cut makes closing c a reset: an answer that ends with its connection would
// else look whole.
func cut(c *conn) {
	if l, ok := c.nc.(interface{ SetLinger(int) error }); ok {
		l.SetLinger(0)
	}
}
