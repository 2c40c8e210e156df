// Package admin is the admin endpoint of a sidecar: it answers GET /api/ready and GET /api/telemetry over
// HTTP/1.1, one request per connection, on a listener separate from that for clients.
//
// It owns its connections, of which at most MaxConns are open at once, each for a bounded time. When one
// more arrives, the oldest connection is closed, so that callers that connect without sending a request
// can't block others. The package does not affect client requests: it takes no lock that they need, although
// the functions that are passed to New may.
//
// Requests are read with package framing and the parser of net/http, as in package downstream, and not with
// the server of net/http, which alone used 1.2 MB of memory in an idle sidecar.
package admin

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"os"
	"runtime/debug"
	"sync"
	"time"

	"martendrum/internal/framing"
	"martendrum/internal/netconn"
)

const (
	// MaxConns is the maximum number of open connections. Their file descriptors are reserved, and
	// not available for connections to clients and servers.
	MaxConns = 12
	// MaxSockets is the maximum number of file descriptors in use: those of MaxConns connections,
	// of the listener, and of one connection that is accepted before another one is closed.
	MaxSockets = MaxConns + 2

	// readTimeout limits the time from accepting a connection to the end of its request.
	readTimeout = 5 * time.Second
	// writeTimeout limits the time for writing the response.
	writeTimeout = 6 * time.Second
	// lingerTimeout and lingerBytes limit how much of what the caller still sends is read and
	// discarded after the response. Closing a connection with unread bytes would reset it, and the
	// caller might lose the response.
	lingerTimeout = 200 * time.Millisecond
	lingerBytes   = 256 << 10
)

// Server serves the admin endpoint.
type Server struct {
	ready        func() bool
	writeMetrics func(io.Writer)

	mu         sync.Mutex
	listener   net.Listener
	acceptedAt map[net.Conn]time.Time // the open connections and when each was accepted
	closed     bool
	handlers   sync.WaitGroup
}

// New returns a Server that answers /api/ready with the result of ready, and /api/telemetry with what
// writeMetrics writes. Both functions are called from several goroutines.
func New(ready func() bool, writeMetrics func(io.Writer)) *Server {
	return &Server{ready: ready, writeMetrics: writeMetrics, acceptedAt: make(map[net.Conn]time.Time)}
}

// Serve answers requests on listener until Close is called. If Close was called earlier, it closes
// the listener and returns.
func (s *Server) Serve(listener net.Listener) {
	s.mu.Lock()
	s.listener = listener
	closed := s.closed
	s.mu.Unlock()
	if closed {
		listener.Close()
	}
	for {
		conn, err := netconn.Accept("admin", listener.Accept, nil)
		if err != nil {
			return
		}
		if s.add(conn) {
			go s.serve(conn)
		}
	}
}

// add registers a connection, and closes the oldest one if there are MaxConns already. If the server is
// closed, it closes the connection and returns false.
func (s *Server) add(conn net.Conn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		conn.Close()
		return false
	}
	if len(s.acceptedAt) >= MaxConns {
		oldest := s.oldest()
		oldest.Close()
		delete(s.acceptedAt, oldest)
	}
	s.acceptedAt[conn] = time.Now()
	s.handlers.Add(1)
	return true
}

// oldest returns the open connection that was accepted first. The lock is held.
func (s *Server) oldest() (oldest net.Conn) {
	for conn, at := range s.acceptedAt {
		if oldest == nil || at.Before(s.acceptedAt[oldest]) {
			oldest = conn
		}
	}
	return oldest
}

// serve handles the one request of a connection.
func (s *Server) serve(conn net.Conn) {
	defer s.handlers.Done()
	defer func() {
		if p := recover(); p != nil {
			slog.Error("panic in the admin endpoint", "panic", p, "stack", string(debug.Stack()))
		}
		s.remove(conn)
	}()
	conn.SetReadDeadline(time.Now().Add(readTimeout))
	status, body := s.respond(conn)
	if status == 0 { // the caller has disconnected
		return
	}
	conn.SetWriteDeadline(time.Now().Add(writeTimeout))
	if _, err := conn.Write(encode(status, body)); err != nil {
		return
	}
	linger(conn)
}

// remove closes a connection and unregisters it.
func (s *Server) remove(conn net.Conn) {
	conn.Close()
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.acceptedAt, conn)
}

// encode returns a complete response, with its head.
func encode(status int, body []byte) []byte {
	response := fmt.Appendf(nil, "HTTP/1.1 %d %s\r\nContent-Type: text/plain; version=0.0.4; charset=utf-8\r\nContent-Length: %d\r\nConnection: close\r\n",
		status, http.StatusText(status), len(body))
	if status == http.StatusMethodNotAllowed {
		response = append(response, "Allow: GET\r\n"...)
	}
	response = append(response, "\r\n"...)
	return append(response, body...)
}

// linger closes the sending side, and discards what the caller still sends within lingerTimeout and
// lingerBytes.
func linger(conn net.Conn) {
	if tcp, ok := conn.(*net.TCPConn); ok {
		tcp.CloseWrite()
	}
	conn.SetReadDeadline(time.Now().Add(lingerTimeout))
	io.Copy(io.Discard, io.LimitReader(conn, lingerBytes))
}

// readRequest reads a request's head, checks it and parses it.
func readRequest(conn net.Conn) (*http.Request, error) {
	reader := bufio.NewReaderSize(conn, framing.MaxHead)
	head, err := framing.Await(reader)
	if err != nil {
		return nil, err
	}
	if err := framing.Check(head); err != nil {
		return nil, err
	}
	return http.ReadRequest(reader)
}

// respond reads a request and returns the response. status is 0 if the caller has disconnected.
func (s *Server) respond(conn net.Conn) (status int, body []byte) {
	request, err := readRequest(conn)
	switch {
	case errors.Is(err, framing.ErrLong):
		return http.StatusRequestHeaderFieldsTooLarge, []byte("the head of the request is too long\n")
	case errors.Is(err, os.ErrDeadlineExceeded):
		return http.StatusRequestTimeout, []byte("timed out before the request was complete\n")
	case errors.Is(err, io.EOF), errors.Is(err, net.ErrClosed):
		return 0, nil
	case err != nil:
		return http.StatusBadRequest, []byte("not a valid HTTP/1.1 request\n")
	}
	path := request.URL.Path
	if path != "/api/ready" && path != "/api/telemetry" {
		return http.StatusNotFound, []byte("no such path; use GET /api/ready or GET /api/telemetry\n")
	}
	switch {
	case request.Method != http.MethodGet:
		return http.StatusMethodNotAllowed, []byte(path + " allows GET only\n")
	case path == "/api/telemetry":
		var text bytes.Buffer
		s.writeMetrics(&text)
		return http.StatusOK, text.Bytes()
	case s.ready():
		return http.StatusOK, []byte("yes\n")
	}
	return http.StatusServiceUnavailable, []byte("no: this process takes no clients\n")
}

// Close closes the listener and all connections, and waits until their handlers have returned.
func (s *Server) Close() {
	s.mu.Lock()
	s.closed = true
	if s.listener != nil {
		s.listener.Close()
	}
	for conn := range s.acceptedAt {
		conn.Close()
	}
	s.mu.Unlock()
	s.handlers.Wait()
}
