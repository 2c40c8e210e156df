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

// Exchange is one request and its response. At most one of Serve, Reject, Fail and Deny is called,
// once and from any goroutine.
type Exchange struct {
	Request  upstream.Request
	Class    string
	Rules    *settings.Class // from the settings in force when the request was read
	Tenant   string
	Wait     time.Duration // the client gives up this long after Received; 0: the request does not say
	Received time.Time     // when the request was read
	State    any           // for the handler's use

	conn                   *conn
	id                     string    // request id; empty for a health check
	reserved               int64     // bytes reserved in the budget
	keepAlive              bool      // the connection stays open after the response
	http10                 bool      // the client speaks HTTP/1.0
	acceptedDuringShutdown time.Time // start of the shutdown during which the request was registered; zero: none
	answering              bool      // the response is being written; guarded by the server's lock
	upload                 *upload   // the part of the body that is not buffered; nil: none
}

// ClientDisconnected reports whether the client has closed or reset its connection, even if the
// connection's goroutine has not noticed yet. It does not block.
func (x *Exchange) ClientDisconnected() bool { return x.conn.input.PeerClosed() }

// hopByHop are the header fields that are not forwarded: they concern a single connection, or each
// attempt sets its own.
var hopByHop = map[string]bool{
	"Connection": true, "Keep-Alive": true, "Proxy-Connection": true, "Te": true, "Trailer": true,
	"Transfer-Encoding": true, "Upgrade": true, "Expect": true, "Content-Length": true, protocol.RequestDeadline: true,
}

// singleValued are the header fields that may occur only once in a request. A request that repeats one
// of them is ambiguous and is rejected.
var singleValued = []string{protocol.RequestID, protocol.RequestClass, protocol.RequestDeadline, protocol.IdempotencyKey}

// parse parses and checks the head of a request. It returns the status to reject the request with, or
// statusNone. It rejects a request whose class in the header differs from that in the path, or whose
// method or key does not suit its class, because a non-idempotent request must never be retried as an
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

// parseClass sets the class of a request, which is the first segment of its path.
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

// checkMethod checks the method for the idempotency of the request's class: GET without a body for an
// idempotent class, POST for all others.
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

// parseDeadline sets Wait if the header states how long the client waits.
func (x *Exchange) parseDeadline(header http.Header) (status int) {
	value, ok := header[protocol.RequestDeadline]
	if !ok {
		return statusNone
	}
	ms, err := strconv.ParseUint(value[0], 10, 31)
	if err != nil {
		return http.StatusBadRequest
	}
	x.Wait = max(time.Duration(ms)*time.Millisecond, 1) // 0 would mean that no deadline is stated
	return statusNone
}

// requestHead returns the head of the request as it is sent to servers, without the fields that
// describe its body and deadline, and without the empty line at its end.
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

// appendHeader appends the fields of a header that are not hop-by-hop.
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

// Release returns the bytes of the buffered body to the budget. The handler calls it when no attempt
// needs the body any more.
func (x *Exchange) Release() {
	x.conn.server.budget.release(x.reserved)
	x.reserved = 0
}
