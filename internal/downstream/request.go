package downstream

import (
	"errors"
	"io"
	"log/slog"
	"net"
	"net/http"
	"os"
	"strings"
	"time"

	"martendrum/internal/framing"
	"martendrum/internal/metrics"
)

// Values that functions return in place of the HTTP status to reject a request with.
const (
	statusNone         = 0  // the request is not rejected
	statusDisconnected = -1 // the client has disconnected: nothing is written
)

// healthPath is the path of health checks of the sidecar itself.
const healthPath = "/_health"

// limitRetryAfter is the value of Retry-After in the response to a request rejected at a limit.
const limitRetryAfter = 200 * time.Millisecond

// readRequest reads one request. It returns the Exchange for the handler, or the status to end the
// connection with, or nil and statusNone if it has answered the request itself. If crowded, it rejects
// every request other than a health check.
func (c *conn) readRequest(crowded bool) (*Exchange, int) {
	r, err := c.readHead()
	if err != nil {
		return nil, statusOf(err)
	}
	if r.ContentLength > maxStreamedBody {
		return nil, http.StatusRequestEntityTooLarge
	}
	x := &Exchange{conn: c, keepAlive: !r.Close && !crowded, http10: !r.ProtoAtLeast(1, 1)}
	if isHealthCheck(r) {
		x.answerHealth()
		return nil, statusNone
	}
	if status := x.parse(r, c.server.handler); status != statusNone {
		return nil, status
	}
	if r.ProtoAtLeast(1, 1) && strings.EqualFold(r.Header.Get("Expect"), "100-continue") {
		c.write([]byte("HTTP/1.1 100 Continue\r\n\r\n"))
	}
	fits, status := x.readBody(r)
	if status == statusNone && fits && (x.upload == nil || crowded) && c.input.Buffered() > 0 {
		status = http.StatusBadRequest // a pipelined request, or a body longer than stated
	}
	if status != statusNone {
		x.Release()
		return nil, status
	}
	if crowded || !fits {
		return nil, x.rejectAtLimit(r, crowded, fits)
	}
	x.Received = time.Now()
	return x, statusNone
}

// readHead reads the head of a request and checks its framing.
func (c *conn) readHead() (*http.Request, error) {
	head, err := framing.Await(c.input.Reader())
	if err != nil {
		return nil, err
	}
	if err := framing.Check(head); err != nil {
		return nil, err
	}
	return http.ReadRequest(c.input.Reader())
}

// statusOf returns the status for a request whose head could not be read.
func statusOf(err error) int {
	switch {
	case errors.Is(err, framing.ErrLong):
		return http.StatusRequestHeaderFieldsTooLarge
	case errors.Is(err, os.ErrDeadlineExceeded):
		return http.StatusRequestTimeout
	case errors.Is(err, io.EOF), errors.Is(err, io.ErrUnexpectedEOF):
		return statusDisconnected
	}
	if _, ok := errors.AsType[net.Error](err); ok {
		return statusDisconnected
	}
	return http.StatusBadRequest
}

// isHealthCheck reports whether a request is a health check of the sidecar itself.
func isHealthCheck(r *http.Request) bool {
	return r.URL.Path == healthPath && r.Method == http.MethodGet && r.Body == http.NoBody
}

// answerHealth answers a health check: 200 if the handler is ready, 503 otherwise.
func (x *Exchange) answerHealth() {
	server := x.conn.server
	status := http.StatusOK
	if !server.handler.Ready() {
		status = http.StatusServiceUnavailable
	}
	x.answer(status, server.healthHeader(), nil, nil)
}

// rejectAtLimit rejects a request because there are too many connections (crowded) or its body
// exceeds the byte budget (not fits). If the client may still be sending, it returns the status to end
// the connection with. Otherwise it answers the request and returns statusNone.
func (x *Exchange) rejectAtLimit(r *http.Request, crowded, fits bool) (status int) {
	server := x.conn.server
	slog.Warn("request rejected at a limit", "crowded", crowded, "conns", server.Conns())
	reason := metrics.BodyBytesLimit
	if crowded {
		reason = metrics.ConnectionLimit
	}
	server.meter.Limited(reason)
	x.Release()
	if x.upload != nil || !fits && r.ContentLength > maxBufferedBody {
		return http.StatusServiceUnavailable
	}
	x.Reject(limitRetryAfter)
	return statusNone
}
