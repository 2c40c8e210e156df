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
)

// serverConn serves one connection.
type serverConn struct {
	server   *Server
	peer     *Peer
	conn     net.Conn
	limits   Limits
	writer   *writer
	handlers sync.WaitGroup
	slots    chan struct{} // an element for each running handler

	mu   sync.Mutex
	open map[uint32]struct{} // message ids of requests without a queued response
}

// serve serves a connection until it ends and all of its handlers have returned. The
// error is never nil.
func (s *Server) serve(conn net.Conn) error {
	limits := s.Limits.withDefaults()
	peer := &Peer{Conn: conn}
	if err := s.callOnConnect(peer, limits); err != nil {
		return err
	}
	c := &serverConn{
		server: s,
		peer:   peer,
		conn:   conn,
		limits: limits,
		writer: newWriter(conn, limits),
		slots:  make(chan struct{}, limits.Outstanding),
		open:   make(map[uint32]struct{}),
	}
	return c.run()
}

// callOnConnect calls Server.OnConnect, if set, with a deadline of Limits.Receive on the connection.
func (s *Server) callOnConnect(peer *Peer, limits Limits) error {
	if s.OnConnect == nil {
		return nil
	}
	peer.Conn.SetDeadline(time.Now().Add(limits.Receive))
	if err := s.OnConnect(peer); err != nil {
		return err
	}
	peer.Conn.SetDeadline(time.Time{})
	return nil
}

// run serves requests until the connection ends, then waits for handlers and the writer.
func (c *serverConn) run() error {
	ctx, cancel := context.WithCancel(context.Background())
	var writing sync.WaitGroup
	writing.Go(func() {
		if c.writer.run() != nil {
			c.conn.Close() // ends the reader too
		}
	})
	err := c.readRequests(ctx)
	// The peer can't receive the remaining responses, or has violated the protocol. The
	// connection is closed before handlers are cancelled, so that the errors with which
	// cancelled handlers return are not sent.
	c.conn.Close()
	c.writer.fail(err)
	cancel()
	c.handlers.Wait()
	c.writer.finish()
	writing.Wait()
	return err
}

// readRequests starts a handler for each request until the connection ends. It stops
// reading while Limits.Outstanding handlers run, which slows the peer down instead of
// filling memory.
func (c *serverConn) readRequests(ctx context.Context) error {
	messages := newReader(c.conn, c.limits)
	for {
		message, err := messages.next(c.limits.Idle)
		if err == errIdle && len(c.slots) > 0 {
			continue
		}
		if err != nil {
			return err
		}
		if message.kind == kindResponse {
			return fmt.Errorf("%w: server received a response", ErrFormat)
		}
		id := message.id
		request := &Request{Method: message.method, Params: message.paramsOrError, IsNotification: message.kind == kindNotify, Peer: c.peer}
		if !request.IsNotification && !c.begin(id) {
			// The peer could confuse two responses with one id, so neither is sent.
			return fmt.Errorf("%w: msgid %d of an open request was used again", ErrFormat, id)
		}
		c.slots <- struct{}{} // waits for a handler to return if all slots are in use
		c.handlers.Go(func() {
			defer func() { <-c.slots }()
			c.respond(ctx, request, id)
		})
	}
}

// begin marks a message id as open. It returns false if the id is open already.
func (c *serverConn) begin(id uint32) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	_, duplicate := c.open[id]
	c.open[id] = struct{}{}
	return !duplicate
}

// respond runs the handler and, unless the request is a notification, queues its response.
func (c *serverConn) respond(ctx context.Context, request *Request, id uint32) {
	result, err := c.server.callHandler(ctx, request)
	if request.IsNotification {
		return
	}
	data := encodeResponse(request.Method, id, result, err, c.limits)
	// The id is released before the response is queued, because the peer may use it again as soon as it
	// receives the response.
	c.mu.Lock()
	delete(c.open, id)
	c.mu.Unlock()
	c.writer.add(&item{data: data})
}

// encodeResponse encodes a result or an error. A result that can't be encoded, or exceeds
// the limit, is replaced by an error.
func encodeResponse(method string, id uint32, result any, err error, limits Limits) []byte {
	head := appendHeader(make([]byte, 0, 256), kindResponse, id)
	if err == nil {
		var encoded []byte
		if encoded, err = msgpack.Marshal(result); err == nil && len(encoded)+len(head)+1 > limits.Message {
			err = fmt.Errorf("%s: a result of %d bytes: %w", method, len(encoded), ErrTooLong)
		}
		if err == nil {
			return append(append(head, codeNil), encoded...)
		}
	}
	encoded, err := msgpack.Marshal(errorValue(err))
	if err != nil || len(encoded)+len(head)+1 > limits.Message {
		encoded, _ = msgpack.Marshal("error that can't be sent")
	}
	return append(append(head, encoded...), codeNil)
}

// errorValue returns the value that is sent for an error: that of ErrorValue if the error or one that
// it wraps is an ErrorValuer, otherwise the text.
func errorValue(err error) any {
	if valuer, ok := errors.AsType[interface {
		error
		ErrorValuer
	}](err); ok {
		return valuer.ErrorValue()
	}
	return err.Error()
}

// callHandler calls the handler and converts a panic to an error, so that the process and the
// other requests continue.
func (s *Server) callHandler(ctx context.Context, request *Request) (result any, err error) {
	defer func() {
		if p := recover(); p != nil {
			slog.Error("msgpackrpc: handler panicked", "method", request.Method, "panic", p, "stack", string(debug.Stack()))
			err = fmt.Errorf("%s: internal error", request.Method)
		}
	}()
	return s.Handler(ctx, request)
}
