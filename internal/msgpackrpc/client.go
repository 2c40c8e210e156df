package msgpackrpc

import (
	"context"
	"errors"
	"fmt"
	"net"
	"sync"

	"github.com/vmihailenco/msgpack/v5"
)

// ErrClosed ends the calls of a connection that was closed at this side.
var ErrClosed = errors.New("msgpackrpc: connection closed")

// CallError is a call without an answer. Sent tells whether the peer may have
// carried it out.
type CallError struct {
	Method string
	Sent   Sent
	Err    error
}

func (e *CallError) Error() string {
	return fmt.Sprintf("msgpackrpc: call %s: %s: %v", e.Method, e.Sent, e.Err)
}
func (e *CallError) Unwrap() error { return e.Err }

// RemoteError is an answer that carries an error: the peer took the call and said no.
type RemoteError struct {
	Method string
	Value  msgpack.RawMessage // as the peer sent it
}

func (e *RemoteError) Error() string {
	var v any
	if err := msgpack.Unmarshal(e.Value, &v); err != nil {
		return fmt.Sprintf("msgpackrpc: %s: an error that can't be read: %v", e.Method, err)
	}
	return fmt.Sprintf("msgpackrpc: %s: %v", e.Method, v)
}

// call is a request that waits for its answer.
type call struct {
	request *item
	done    chan struct{}
	// Set before done is closed.
	err      error // the connection's end
	response message
}

// Client is the calling side of a connection. Its methods may be called from many
// goroutines; answers come in any order.
type Client struct {
	conn    net.Conn
	limits  Limits
	writer  *writer
	notify  func(method string, params msgpack.RawMessage)
	slots   chan struct{} // one for each message id in use
	done    chan struct{} // both goroutines have ended
	written chan struct{} // the writing one has

	mu          sync.Mutex
	pending     map[uint32]*call // nil values: given up, the answer may still come
	nextID      uint32
	err         error // the connection has ended
	unsolicited int
}

// NewClient takes a connection over. notify, if not nil, gets the peer's
// notifications, one at a time: while it runs, no answer is read. Close ends the
// connection and both its goroutines.
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
	var both sync.WaitGroup
	both.Go(func() {
		err := c.writer.run()
		close(c.written)
		if err != nil {
			c.fail(err)
		}
	})
	both.Go(c.read)
	go func() {
		both.Wait()
		close(c.done)
	}()
	return c
}

// Close ends the connection. Pending calls end with ErrClosed and tell whether
// their requests were written. It returns when nothing of the client runs any more.
func (c *Client) Close() error {
	c.fail(ErrClosed)
	<-c.done
	return nil
}

// Done is closed when the connection has ended.
func (c *Client) Done() <-chan struct{} { return c.done }

// Err is why the connection ended; nil while it lives.
func (c *Client) Err() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.err
}

// UnsolicitedResponses is how many answers came to calls that had been given up or that nobody
// made. They reach no one.
func (c *Client) UnsolicitedResponses() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.unsolicited
}

// fail closes the connection and ends all calls.
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
	c.conn.Close() // a write that is under way ends, and says how far it came
	c.writer.fail(err)
	for _, call := range calls {
		if call != nil {
			call.err = err
			close(call.done)
		}
	}
}

func (c *Client) read() {
	r := newReader(c.conn, c.limits)
	for {
		m, err := r.next(0)
		if err != nil {
			c.fail(err)
			return
		}
		switch m.kind {
		case kindNotify:
			if c.notify != nil {
				c.notify(m.method, m.first)
			}
		case kindResponse:
			c.mu.Lock()
			call, known := c.pending[m.id]
			delete(c.pending, m.id)
			if call == nil {
				c.unsolicited++
			}
			c.mu.Unlock()
			if known {
				<-c.slots
			}
			if call != nil {
				call.response = m
				close(call.done)
			}
		default:
			c.fail(fmt.Errorf("%w: a request came to the calling side", ErrFormat))
			return
		}
	}
}

// Call sends a request and waits for its answer, which it decodes into result
// unless that is nil. params is the method's array of parameters; nil is none.
// It ends with the context: the answer, if it still comes, is dropped, and the
// message id stays taken until then. Errors are *RemoteError where the peer said
// no, *CallError where there is no answer.
func (c *Client) Call(ctx context.Context, method string, params []any, result any) error {
	data, err := encode(kindRequest, 0, method, params)
	if err != nil {
		return &CallError{Method: method, Err: err}
	}
	if len(data) > c.limits.Message {
		return &CallError{Method: method, Err: ErrTooLong}
	}
	select {
	case c.slots <- struct{}{}:
	case <-ctx.Done():
		return &CallError{Method: method, Err: ctx.Err()}
	case <-c.done:
		return &CallError{Method: method, Err: c.Err()}
	}
	call := &call{request: &item{data: data}, done: make(chan struct{})}
	c.mu.Lock()
	if c.err != nil {
		err := c.err
		c.mu.Unlock()
		<-c.slots
		return &CallError{Method: method, Err: err}
	}
	for {
		c.nextID++
		if _, taken := c.pending[c.nextID]; !taken {
			break
		}
	}
	id := c.nextID
	c.pending[id] = call
	c.mu.Unlock()
	copy(data, appendHeader(nil, kindRequest, id))

	if err := c.writer.add(call.request); err != nil {
		c.giveUp(id, call)
		return &CallError{Method: method, Err: err}
	}
	select {
	case <-call.done:
	case <-ctx.Done():
		if answered := c.giveUp(id, call); !answered {
			return &CallError{Method: method, Sent: c.writer.sentState(call.request), Err: ctx.Err()}
		}
		<-call.done
	}
	if call.err != nil {
		<-c.written // how far the last write came is known
		return &CallError{Method: method, Sent: c.writer.sentState(call.request), Err: call.err}
	}
	if !isNil(call.response.first) {
		return &RemoteError{Method: method, Value: call.response.first}
	}
	if result == nil {
		return nil
	}
	if err := msgpack.Unmarshal(call.response.second, result); err != nil {
		return &CallError{Method: method, Sent: SentCompletely, Err: fmt.Errorf("its result can't be read: %w", err)}
	}
	return nil
}

// giveUp forgets a call; true if its end has come already. Where its request
// went out, its id and slot stay taken until the answer comes.
func (c *Client) giveUp(id uint32, call *call) (ended bool) {
	never := c.writer.withdraw(call.request)
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.pending[id] != call {
		return true
	}
	if never {
		delete(c.pending, id)
		<-c.slots
	} else {
		c.pending[id] = nil
	}
	return false
}

// Notify sends a notification, which has no answer.
func (c *Client) Notify(method string, params []any) error {
	data, err := encode(kindNotify, 0, method, params)
	if err == nil && len(data) > c.limits.Message {
		err = ErrTooLong
	}
	if err == nil {
		err = c.writer.add(&item{data: data})
	}
	if err != nil {
		return &CallError{Method: method, Err: err}
	}
	return nil
}

// encode makes a request or a notification.
func encode(kind byte, id uint32, method string, params []any) ([]byte, error) {
	b := appendString(appendHeader(make([]byte, 0, 128), kind, id), method)
	if params == nil {
		return append(b, 0x90), nil
	}
	p, err := msgpack.Marshal(params)
	if err != nil {
		return nil, fmt.Errorf("params can't be encoded: %w", err)
	}
	return append(b, p...), nil
}
