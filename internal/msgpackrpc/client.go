package msgpackrpc

import (
	"context"
	"errors"
	"fmt"
	"net"
	"sync"

	"github.com/vmihailenco/msgpack/v5"
)

// ErrClosed is the cause of calls that ended because Client.Close closed the connection, and the error
// of Server.Serve on a closed server.
var ErrClosed = errors.New("msgpackrpc: connection closed")

// CallError reports a call without a usable response, or a notification that was not queued. Sent
// shows whether the peer may have executed the call.
type CallError struct {
	Method string
	Sent   Sent
	Err    error
}

// Error implements error.
func (e *CallError) Error() string {
	return fmt.Sprintf("msgpackrpc: call %s: %s: %v", e.Method, e.Sent, e.Err)
}

// Unwrap returns the cause.
func (e *CallError) Unwrap() error { return e.Err }

// RemoteError is a response that carries an error: the peer received the call and reported a
// failure.
type RemoteError struct {
	Method string
	Value  msgpack.RawMessage // MessagePack object that the peer sent as the error
}

// Error implements error.
func (e *RemoteError) Error() string {
	var value any
	if err := msgpack.Unmarshal(e.Value, &value); err != nil {
		return fmt.Sprintf("msgpackrpc: %s: error value can't be decoded: %v", e.Method, err)
	}
	return fmt.Sprintf("msgpackrpc: %s: %v", e.Method, value)
}

// call is a request that waits for its response.
type call struct {
	request *item
	done    chan struct{}
	// Set before done is closed.
	err      error // why the connection ended; nil if there is a response
	response message
}

// Client is the calling side of a connection. Its methods are safe for concurrent use; responses
// may arrive in any order.
type Client struct {
	conn    net.Conn
	limits  Limits
	writer  *writer
	notify  func(method string, params msgpack.RawMessage)
	slots   chan struct{} // an element for each message id in use
	done    chan struct{} // closed when both goroutines have ended
	written chan struct{} // closed when the writing goroutine has ended

	mu          sync.Mutex
	pending     map[uint32]*call // by message id; nil for abandoned calls whose response may still arrive
	lastID      uint32           // message id that was assigned last
	err         error            // why the connection ended; nil while it is open
	unsolicited int              // number of responses without a call
}

// NewClient returns a client on a connection, which it takes over. notify, if not nil, is called with
// the peer's notifications one at a time; no response is read while it runs. Close ends the
// connection and the client's goroutines.
func NewClient(conn net.Conn, limits Limits, notify func(method string, params msgpack.RawMessage)) *Client {
	limits = limits.withDefaults()
	c := &Client{
		conn:    conn,
		limits:  limits,
		writer:  newWriter(conn, limits),
		notify:  notify,
		slots:   make(chan struct{}, limits.Outstanding),
		done:    make(chan struct{}),
		written: make(chan struct{}),
		pending: make(map[uint32]*call),
	}
	var goroutines sync.WaitGroup
	goroutines.Go(func() {
		err := c.writer.run()
		close(c.written)
		if err != nil {
			c.fail(err)
		}
	})
	goroutines.Go(c.read)
	go func() {
		goroutines.Wait()
		close(c.done)
	}()
	return c
}

// Close ends the connection. Pending calls end with ErrClosed and report whether their requests
// were sent. Close returns after all goroutines of the client have ended.
func (c *Client) Close() error {
	c.fail(ErrClosed)
	<-c.done
	return nil
}

// Done returns a channel that is closed when the connection has ended.
func (c *Client) Done() <-chan struct{} { return c.done }

// Err returns why the connection ended, and nil while it is open.
func (c *Client) Err() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.err
}

// UnsolicitedResponses returns the number of responses to calls that were abandoned or never made.
// Such responses are dropped.
func (c *Client) UnsolicitedResponses() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.unsolicited
}

// fail closes the connection and ends all calls with an error. Later calls of fail do nothing.
func (c *Client) fail(err error) {
	c.mu.Lock()
	if c.err != nil {
		c.mu.Unlock()
		return
	}
	c.err = err
	calls := c.pending
	c.pending = nil
	c.mu.Unlock()
	c.conn.Close() // ends a write in progress, which then returns the bytes written
	c.writer.fail(err)
	for _, call := range calls {
		if call != nil {
			call.err = err
			close(call.done)
		}
	}
}

// read receives messages and passes them on until the connection ends.
func (c *Client) read() {
	messages := newReader(c.conn, c.limits)
	for {
		message, err := messages.next(0)
		if err != nil {
			c.fail(err)
			return
		}
		switch message.kind {
		case kindNotify:
			if c.notify != nil {
				c.notify(message.method, message.paramsOrError)
			}
		case kindResponse:
			c.deliver(message)
		default:
			c.fail(fmt.Errorf("%w: client received a request", ErrFormat))
			return
		}
	}
}

// deliver passes a response to its call and releases the call's message id.
func (c *Client) deliver(response message) {
	c.mu.Lock()
	call, known := c.pending[response.id]
	delete(c.pending, response.id)
	if call == nil {
		c.unsolicited++
	}
	c.mu.Unlock()
	if known {
		<-c.slots
	}
	if call != nil {
		call.response = response
		close(call.done)
	}
}

// Call sends a request, waits for its response and decodes the result into result
// unless that is nil. params is the method's array of parameters; nil means none.
// Call ends with the context: a response that arrives later is dropped, and the
// message id stays in use until then. Errors are *RemoteError if the peer responded
// with an error, and *CallError if there is no usable response.
func (c *Client) Call(ctx context.Context, method string, params []any, result any) error {
	data, err := c.encodeBounded(kindRequest, method, params)
	if err != nil {
		return &CallError{Method: method, Err: err}
	}
	if err := c.acquireSlot(ctx); err != nil {
		return &CallError{Method: method, Err: err}
	}
	call := &call{request: &item{data: data}, done: make(chan struct{})}
	id, err := c.register(call)
	if err != nil {
		return &CallError{Method: method, Err: err}
	}
	copy(data, appendHeader(nil, kindRequest, id))

	if err := c.writer.add(call.request); err != nil {
		c.abandon(id, call)
		return &CallError{Method: method, Err: err}
	}
	if err := c.await(ctx, id, call); err != nil {
		return &CallError{Method: method, Sent: c.writer.sentState(call.request), Err: err}
	}
	return call.response.decodeResult(method, result)
}

// acquireSlot waits until fewer than Limits.Outstanding message ids are in use.
func (c *Client) acquireSlot(ctx context.Context) error {
	select {
	case c.slots <- struct{}{}:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	case <-c.done:
		return c.Err()
	}
}

// register assigns a message id to a call that holds a slot. On an error the slot is
// released.
func (c *Client) register(call *call) (id uint32, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.err != nil {
		<-c.slots
		return 0, c.err
	}
	for {
		c.lastID++
		if _, inUse := c.pending[c.lastID]; !inUse {
			break
		}
	}
	c.pending[c.lastID] = call
	return c.lastID, nil
}

// await waits until a call or ctx ends. It returns an error unless the call has a response.
func (c *Client) await(ctx context.Context, id uint32, call *call) error {
	select {
	case <-call.done:
	case <-ctx.Done():
		if ended := c.abandon(id, call); !ended {
			return ctx.Err()
		}
		<-call.done
	}
	if call.err != nil {
		<-c.written // only then is it certain how much of the request was sent
		return call.err
	}
	return nil
}

// decodeResult decodes the result of a response into result unless that is nil. It returns a
// *RemoteError if the response carries an error instead.
func (m *message) decodeResult(method string, result any) error {
	if !isNil(m.paramsOrError) {
		return &RemoteError{Method: method, Value: m.paramsOrError}
	}
	if result == nil {
		return nil
	}
	if err := msgpack.Unmarshal(m.result, result); err != nil {
		return &CallError{Method: method, Sent: SentCompletely, Err: fmt.Errorf("result can't be decoded: %w", err)}
	}
	return nil
}

// abandon stops waiting for a call, and reports whether the call has ended already.
// If its request was sent, its id and slot stay in use until the response arrives.
func (c *Client) abandon(id uint32, call *call) (ended bool) {
	withdrawn := c.writer.withdraw(call.request)
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.pending[id] != call {
		return true
	}
	if withdrawn {
		delete(c.pending, id)
		<-c.slots
	} else {
		c.pending[id] = nil
	}
	return false
}

// Notify queues a notification, which has no response. It blocks while the queue is full. An error is
// a *CallError and means that the notification was not queued.
func (c *Client) Notify(method string, params []any) error {
	data, err := c.encodeBounded(kindNotify, method, params)
	if err == nil {
		err = c.writer.add(&item{data: data})
	}
	if err != nil {
		return &CallError{Method: method, Err: err}
	}
	return nil
}

// encodeBounded encodes a request, whose message id is set later, or a notification. It
// returns ErrTooLong for a message over the limit.
func (c *Client) encodeBounded(kind byte, method string, params []any) ([]byte, error) {
	data, err := encode(kind, 0, method, params)
	if err != nil {
		return nil, err
	}
	if len(data) > c.limits.Message {
		return nil, ErrTooLong
	}
	return data, nil
}

// encode encodes a request or a notification. Nil params are encoded as an empty array.
func encode(kind byte, id uint32, method string, params []any) ([]byte, error) {
	b := appendString(appendHeader(make([]byte, 0, 128), kind, id), method)
	if params == nil {
		return append(b, 0x90), nil
	}
	encoded, err := msgpack.Marshal(params)
	if err != nil {
		return nil, fmt.Errorf("params can't be encoded: %w", err)
	}
	return append(b, encoded...), nil
}
