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

	mu     sync.Mutex
	conns  map[net.Conn]struct{}
	lns    map[net.Listener]struct{}
	closed bool
	wg     sync.WaitGroup
}

// Serve accepts connections until the listener or the server is closed. It
// returns nil after Close.
func (s *Server) Serve(ln net.Listener) error {
	s.mu.Lock()
	if s.closed {
		s.mu.Unlock()
		return ErrClosed
	}
	if s.lns == nil {
		s.lns, s.conns = make(map[net.Listener]struct{}), make(map[net.Conn]struct{})
	}
	s.lns[ln] = struct{}{}
	s.mu.Unlock()
	defer ln.Close()
	for {
		nc, err := netconn.Accept("msgpackrpc", ln.Accept, nil)
		if err != nil {
			s.mu.Lock()
			closed := s.closed
			s.mu.Unlock()
			if closed {
				return nil
			}
			return err
		}
		if !s.add(nc) {
			nc.Close()
		}
	}
}

// add serves a connection if there is room.
func (s *Server) add(nc net.Conn) bool {
	limit := s.Conns
	if limit <= 0 {
		limit = 256
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed || len(s.conns) >= limit {
		return false
	}
	s.conns[nc] = struct{}{}
	s.wg.Go(func() {
		err := s.serve(nc)
		nc.Close()
		s.mu.Lock()
		delete(s.conns, nc)
		s.mu.Unlock()
		if errors.Is(err, ErrFormat) || errors.Is(err, ErrTooDeep) || errors.Is(err, ErrTooLong) {
			slog.Warn("msgpackrpc: connection closed", "from", nc.RemoteAddr(), "err", err)
		}
	})
	return true
}

// Close closes listeners and connections and waits until all handlers have
// returned; their contexts end.
func (s *Server) Close() {
	s.mu.Lock()
	s.closed = true
	for ln := range s.lns {
		ln.Close()
	}
	for nc := range s.conns {
		nc.Close()
	}
	s.mu.Unlock()
	s.wg.Wait()
}

// serve reads requests until the connection ends. Reading stops while as many are
// open as the limit allows, so that the peer is slowed and not the memory filled.
func (s *Server) serve(nc net.Conn) (err error) {
	lim := s.Limits.filled()
	ctx, cancel := context.WithCancel(context.Background())
	peer := &Peer{Conn: nc}
	if s.Welcome != nil {
		nc.SetDeadline(time.Now().Add(lim.Receive))
		if err := s.Welcome(peer); err != nil {
			cancel()
			return err
		}
		nc.SetDeadline(time.Time{})
	}
	w := newWriter(nc, lim)
	var wg sync.WaitGroup // the handlers
	var writing sync.WaitGroup
	writing.Go(func() {
		if w.run() != nil {
			nc.Close() // the reader ends too
		}
	})
	defer func() {
		if err != nil {
			// What is still to be answered has no one to read it, or no one who
			// keeps to the protocol. Before handlers hear of the end: their answers
			// must not get out.
			nc.Close()
			w.fail(err)
		}
		cancel()
		wg.Wait()
		w.finish()
		writing.Wait()
	}()
	slots := make(chan struct{}, lim.Outstanding)
	var mu sync.Mutex
	open := make(map[uint32]struct{})
	r := newReader(nc, lim)
	for {
		m, err := r.next(lim.Idle)
		if err == errIdle && len(slots) > 0 {
			continue
		}
		if err != nil {
			return err
		}
		if m.kind == kindResponse {
			return fmt.Errorf("%w: a response came to the answering side", ErrFormat)
		}
		req := &Request{Method: m.method, Params: m.a, Notify: m.kind == kindNotify, Peer: peer}
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
			data := s.handle(ctx, req, m.id, lim)
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
func (s *Server) handle(ctx context.Context, r *Request, id uint32, lim Limits) []byte {
	result, err := s.call(ctx, r)
	if r.Notify {
		return nil
	}
	head := appendHead(make([]byte, 0, 256), kindResponse, id)
	if err == nil {
		var b []byte
		if b, err = msgpack.Marshal(result); err == nil && len(b)+len(head)+1 > lim.Message {
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
	if err != nil || len(b)+len(head)+1 > lim.Message {
		b, _ = msgpack.Marshal("error that can't be sent")
	}
	return append(append(head, b...), 0xc0)
}

// call guards the other requests from a handler that panics.
func (s *Server) call(ctx context.Context, r *Request) (result any, err error) {
	defer func() {
		if p := recover(); p != nil {
			slog.Error("msgpackrpc: handler panicked", "method", r.Method, "panic", p, "stack", string(debug.Stack()))
			err = fmt.Errorf("%s: internal error", r.Method)
		}
	}()
	return s.Handler(ctx, r)
}
