package msgpackrpc

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"runtime/debug"
	"sync"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"martendrum/internal/netconn"
)

// Request is a request or a notification that has come.
type Request struct {
	Method string
	Params msgpack.RawMessage // an array
	Notify bool               // it gets no answer
	Peer   *Peer
}

// Peer is the connection that a request came by.
type Peer struct {
	Conn net.Conn
	// State is the handler's own, set by Server.Welcome.
	State any
}

// Handler carries requests out, each in a goroutine of its own. ctx ends with the
// connection and with the server. An error is sent as the answer's error: as the
// value that ErrorValue gives, where it has that method, else as its text.
type Handler func(ctx context.Context, r *Request) (result any, err error)

// ErrorValuer is an error with a value of its own on the wire.
type ErrorValuer interface{ ErrorValue() any }

// Server is the answering side. Close ends it.
type Server struct {
	Handler Handler
	Limits  Limits
	Conns   int // connections at once, over all listeners; 0: 256
	// Welcome, if not nil, is called once for each connection, before its first
	// message is read; an error closes it. It must end within Limits.Receive.
	Welcome func(p *Peer) error

	mu         sync.Mutex
	conns      map[net.Conn]struct{}
	listeners  map[net.Listener]struct{}
	closed     bool
	goroutines sync.WaitGroup
}

// Serve accepts connections until the listener or the server is closed. It
// returns nil after Close.
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

// startConn serves a connection if there is room.
func (s *Server) startConn(conn net.Conn) bool {
	limit := s.Conns
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
			slog.Warn("msgpackrpc: connection closed", "from", conn.RemoteAddr(), "err", err)
		}
	})
	return true
}

// Close closes listeners and connections and waits until all handlers have
// returned; their contexts end.
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

// serve reads requests until the connection ends. Reading stops while as many are
// open as the limit allows, so that the peer is slowed and not the memory filled.
func (s *Server) serve(conn net.Conn) (err error) {
	limits := s.Limits.withDefaults()
	ctx, cancel := context.WithCancel(context.Background())
	peer := &Peer{Conn: conn}
	if s.Welcome != nil {
		conn.SetDeadline(time.Now().Add(limits.Receive))
		if err := s.Welcome(peer); err != nil {
			cancel()
			return err
		}
		conn.SetDeadline(time.Time{})
	}
	w := newWriter(conn, limits)
	var wg sync.WaitGroup // the handlers
	var writing sync.WaitGroup
	writing.Go(func() {
		if w.run() != nil {
			conn.Close() // the reader ends too
		}
	})
	defer func() {
		if err != nil {
			// What is still to be answered has no one to read it, or no one who
			// keeps to the protocol. Before handlers hear of the end: their answers
			// must not get out.
			conn.Close()
			w.fail(err)
		}
		cancel()
		wg.Wait()
		w.finish()
		writing.Wait()
	}()
	slots := make(chan struct{}, limits.Outstanding)
	var mu sync.Mutex
	open := make(map[uint32]struct{})
	r := newReader(conn, limits)
	for {
		m, err := r.next(limits.Idle)
		if err == errIdle && len(slots) > 0 {
			continue
		}
		if err != nil {
			return err
		}
		if m.kind == kindResponse {
			return fmt.Errorf("%w: a response came to the answering side", ErrFormat)
		}
		req := &Request{Method: m.method, Params: m.first, Notify: m.kind == kindNotify, Peer: peer}
		if !req.Notify {
			mu.Lock()
			_, twice := open[m.id]
			open[m.id] = struct{}{}
			mu.Unlock()
			if twice {
				// Two answers under one id could be taken for each other: neither is sent.
				return fmt.Errorf("%w: msgid %d used again while open", ErrFormat, m.id)
			}
		}
		slots <- struct{}{} // freed by handlers, which end with ctx
		wg.Go(func() {
			defer func() { <-slots }()
			data := s.handle(ctx, req, m.id, limits)
			if req.Notify {
				return
			}
			// Once the answer is queued the peer may use the id again, and not before.
			mu.Lock()
			delete(open, m.id)
			mu.Unlock()
			w.add(&item{data: data})
		})
	}
}

// handle runs the handler and encodes its answer.
func (s *Server) handle(ctx context.Context, r *Request, id uint32, limits Limits) []byte {
	result, err := s.callHandler(ctx, r)
	if r.Notify {
		return nil
	}
	head := appendHeader(make([]byte, 0, 256), kindResponse, id)
	if err == nil {
		var b []byte
		if b, err = msgpack.Marshal(result); err == nil && len(b)+len(head)+1 > limits.Message {
			err = fmt.Errorf("%s: an answer of %d bytes: %w", r.Method, len(b), ErrTooLong)
		}
		if err == nil {
			return append(append(head, 0xc0), b...)
		}
	}
	var value any = err.Error()
	if v, ok := errors.AsType[interface {
		error
		ErrorValuer
	}](err); ok {
		value = v.ErrorValue()
	}
	b, err := msgpack.Marshal(value)
	if err != nil || len(b)+len(head)+1 > limits.Message {
		b, _ = msgpack.Marshal("error that can't be sent")
	}
	return append(append(head, b...), 0xc0)
}

// callHandler guards the other requests from a handler that panics.
func (s *Server) callHandler(ctx context.Context, r *Request) (result any, err error) {
	defer func() {
		if p := recover(); p != nil {
			slog.Error("msgpackrpc: handler panicked", "method", r.Method, "panic", p, "stack", string(debug.Stack()))
			err = fmt.Errorf("%s: internal error", r.Method)
		}
	}()
	return s.Handler(ctx, r)
}
