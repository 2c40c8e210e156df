package msgpackrpc

import (
	"context"
	"errors"
	"log/slog"
	"net"
	"sync"

	"github.com/vmihailenco/msgpack/v5"

	"martendrum/internal/netconn"
)

// Request is a received request or notification.
type Request struct {
	Method         string
	Params         msgpack.RawMessage // MessagePack array
	IsNotification bool               // whether it is a notification, which has no response
	Peer           *Peer
}

// Peer is the connection that a request was received on.
type Peer struct {
	Conn net.Conn
	// State is for the use of the handler; this package does not access it. Server.OnConnect may
	// set it.
	State any
}

// Handler executes requests, each in its own goroutine. ctx is cancelled when the connection or the
// server ends. An error is sent as the response's error: as the value of its ErrorValue method if it
// has one, otherwise as its text. The result and the error of a notification are ignored.
type Handler func(ctx context.Context, r *Request) (result any, err error)

// ErrorValuer is an error that is sent to the peer as the value that ErrorValue returns, instead of as
// its text.
type ErrorValuer interface{ ErrorValue() any }

// Server is the responding side of connections. Close ends it.
type Server struct {
	Handler  Handler
	Limits   Limits
	MaxConns int // maximum number of connections over all listeners; 0: 256
	// OnConnect, if not nil, is called once for each connection before its first message is
	// read. An error closes the connection. It must return within Limits.Receive.
	OnConnect func(p *Peer) error

	mu         sync.Mutex
	conns      map[net.Conn]struct{}
	listeners  map[net.Listener]struct{}
	closed     bool
	goroutines sync.WaitGroup
}

// Serve accepts connections until the listener or the server is closed, and closes the listener.
// Connections over the maximum are closed at once. Serve returns nil if Close ended it, and ErrClosed
// if the server was closed before.
func (s *Server) Serve(listener net.Listener) error {
	s.mu.Lock()
	if s.closed {
		s.mu.Unlock()
		return ErrClosed
	}
	if s.listeners == nil {
		s.listeners, s.conns = make(map[net.Listener]struct{}), make(map[net.Conn]struct{})
	}
	s.listeners[listener] = struct{}{}
	s.mu.Unlock()
	defer listener.Close()
	for {
		conn, err := netconn.Accept("msgpackrpc", listener.Accept, nil)
		if err != nil {
			s.mu.Lock()
			closed := s.closed
			s.mu.Unlock()
			if closed {
				return nil
			}
			return err
		}
		if !s.startConn(conn) {
			conn.Close()
		}
	}
}

// startConn serves a connection in a new goroutine. It returns false if the server is closed or at its
// maximum of connections.
func (s *Server) startConn(conn net.Conn) bool {
	limit := s.MaxConns
	if limit <= 0 {
		limit = 256
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed || len(s.conns) >= limit {
		return false
	}
	s.conns[conn] = struct{}{}
	s.goroutines.Go(func() {
		err := s.serve(conn)
		conn.Close()
		s.mu.Lock()
		delete(s.conns, conn)
		s.mu.Unlock()
		if errors.Is(err, ErrFormat) || errors.Is(err, ErrTooDeep) || errors.Is(err, ErrTooLong) {
			slog.Warn("msgpackrpc: connection closed after an invalid message", "from", conn.RemoteAddr(), "err", err)
		}
	})
	return true
}

// Close closes listeners and connections, cancels the handlers' contexts and waits until all
// handlers have returned.
func (s *Server) Close() {
	s.mu.Lock()
	s.closed = true
	for listener := range s.listeners {
		listener.Close()
	}
	for conn := range s.conns {
		conn.Close()
	}
	s.mu.Unlock()
	s.goroutines.Wait()
}
