package downstream

import (
	"net/http"
	"strconv"
	"strings"
	"time"

	"martendrum"
	"martendrum/internal/protocol"
	"martendrum/internal/settings"
	"martendrum/internal/upstream"
)

// Exchange is one request and its response. Its answering methods may be called
// from any goroutine, one of them once.
type Exchange struct {
	Request  upstream.Request
	Class    string
	Rules    *settings.Class // of the settings in force when the request was read
	Tenant   string
	Wait     time.Duration // how long the client waits from Received on; 0: not stated
	Received time.Time     // when the request was read
	State    any           // the handler's

	conn                   *conn
	id                     string
	reserved               int64 // bytes reserved in the budget
	keepAlive              bool  // the connection stays open after the response
	http10                 bool
	acceptedDuringShutdown time.Time // start of the shutdown during which it was registered; zero: none
	answering              bool      // the response is being written; guarded by the server's lock
	upload                 *upload   // the part of the body that is not buffered; nil: none
}

// ClientLeft reports whether the client has closed or reset its connection, even if the
// connection's goroutine has not noticed yet. It does not block.
func (x *Exchange) ClientLeft() bool { return x.conn.input.Left() }

// hopByHop are the header fields that belong to one connection, or that each attempt
// sets itself.
var hopByHop = map[string]bool{
	"Connection": true, "Keep-Alive": true, "Proxy-Connection": true, "Te": true, "Trailer": true,
	"Transfer-Encoding": true, "Upgrade": true, "Expect": true, "Content-Length": true, protocol.RequestDeadline: true,
}

// singleValued are the header fields that identify a request: repeated, they are
// ambiguous.
var singleValued = []string{protocol.RequestID, protocol.RequestClass, protocol.RequestDeadline, protocol.IdempotencyKey}

// parse parses and checks the head of a request. It returns the status to reject it with, or
// statusNone. It rejects contradictions (another class in the path than in the header, a method or
// key that does not suit the class), since a non-idempotent request must never be retried as an
// idempotent one.
func (x *Exchange) parse(r *http.Request, handler Handler) (status int) {
	if status := x.parseClass(r, handler); status != statusNone {
		return status
	}
	if status := checkMethod(r, x.Rules.Rules.Idempotency); status != statusNone {
		return status
	}
	if x.id = strings.Clone(r.Header.Get(protocol.RequestID)); x.id == "" || len(x.id) > maxIDLength {
		return http.StatusBadRequest
	}
	hasKey := r.Header.Get(protocol.IdempotencyKey) != ""
	if hasKey != (x.Rules.Rules.Idempotency == martendrum.IdempotencyKeyed) {
		return http.StatusBadRequest
	}
	if status := x.parseDeadline(r.Header); status != statusNone {
		return status
	}
	x.Tenant = r.Header.Get(protocol.RequestTenant)
	x.Request = upstream.Request{Method: r.Method, Head: requestHead(r)}
	return statusNone
}

// parseClass finds the class of a request.
func (x *Exchange) parseClass(r *http.Request, handler Handler) (status int) {
	for _, name := range singleValued {
		if len(r.Header[name]) > 1 {
			return http.StatusBadRequest
		}
	}
	x.Class, _, _ = strings.Cut(strings.TrimPrefix(r.URL.Path, "/"), "/")
	if kind := r.Header.Get(protocol.RequestClass); kind != "" && kind != x.Class {
		return http.StatusBadRequest
	}
	if x.Rules = handler.Class(x.Class); x.Rules == nil {
		return http.StatusNotFound
	}
	return statusNone
}

// checkMethod checks that a request's method, and whether it has a body, suit the idempotency of
// its class.
func checkMethod(r *http.Request, idempotency martendrum.Idempotency) (status int) {
	method := http.MethodPost
	if idempotency == martendrum.Idempotent {
		method = http.MethodGet
	}
	if r.Method != method {
		return http.StatusMethodNotAllowed
	}
	if idempotency == martendrum.Idempotent && r.ContentLength != 0 {
		return http.StatusBadRequest
	}
	return statusNone
}

// parseDeadline parses how long the client waits, if the header states it.
func (x *Exchange) parseDeadline(header http.Header) (status int) {
	value, ok := header[protocol.RequestDeadline]
	if !ok {
		return statusNone
	}
	ms, err := strconv.ParseUint(value[0], 10, 31)
	if err != nil {
		return http.StatusBadRequest
	}
	x.Wait = max(time.Duration(ms)*time.Millisecond, 1)
	return statusNone
}

// requestHead returns the head of the request to servers, without the fields that describe its
// body and deadline, and without the final empty line.
func requestHead(r *http.Request) []byte {
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
	return appendHeader(b, r.Header)
}

// appendHeader appends the end-to-end fields of a header.
func appendHeader(b []byte, header http.Header) []byte {
	for name, values := range header {
		if hopByHop[name] {
			continue
		}
		for _, value := range values {
			b = append(b, name...)
			b = append(b, ": "...)
			b = append(b, value...)
			b = append(b, "\r\n"...)
		}
	}
	return b
}

// appendLength appends a Content-Length field.
func appendLength(b []byte, n int64) []byte {
	b = append(b, "Content-Length: "...)
	b = strconv.AppendInt(b, n, 10)
	return append(b, "\r\n"...)
}

// Release returns the body's bytes to the budget. The handler calls it when no attempt needs the
// body any more.
func (x *Exchange) Release() {
	x.conn.server.budget.give(x.reserved)
	x.reserved = 0
}
