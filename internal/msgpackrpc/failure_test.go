package msgpackrpc

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"
)

// A response that arrives after its call has ended is dropped, and the call's message id is not used
// again before that.
func TestResponseToAbandonedCall(t *testing.T) {
	release := make(chan struct{})
	addr := serve(t, &Server{Handler: func(ctx context.Context, r *Request) (any, error) {
		if r.Method == "slow" {
			<-release
		}
		return r.Method, nil
	}})
	c := dialClient(t, addr, Limits{Outstanding: 2})
	ctx, cancel := context.WithCancel(context.Background())
	slow := make(chan error, 1)
	go func() { slow <- c.Call(ctx, "slow", nil, nil) }()
	for c.lastMessageID() == 0 {
		time.Sleep(time.Millisecond)
	}
	var got string
	if err := c.Call(testContext(t), "first", nil, &got); err != nil || got != "first" { // its response shows that the slow request was written before
		t.Fatalf("call of first: got %q, %v; want %q, nil", got, err, "first")
	}
	cancel()
	err := <-slow
	if callErr, ok := errors.AsType[*CallError](err); !ok || callErr.Sent != SentCompletely || !errors.Is(err, context.Canceled) {
		t.Errorf("abandoned call: got error %v, want a CallError with context.Canceled and %q", err, SentCompletely)
	}
	c.mu.Lock()
	c.lastID = 0 // ids start again, as after 2^32 calls, while id 1 is still in use
	c.mu.Unlock()
	for i := range 3 {
		method := fmt.Sprint("m", i)
		if err := c.Call(testContext(t), method, nil, &got); err != nil || got != method {
			t.Fatalf("call of %s: got %q, %v; want %q, nil", method, got, err, method)
		}
	}
	close(release)
	for deadline := time.Now().Add(testTimeout); c.UnsolicitedResponses() == 0; time.Sleep(time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatal("UnsolicitedResponses() = 0, want the late response to be counted")
		}
	}
	if n := len(c.slots); n != 0 {
		t.Errorf("%d slots in use after all responses, want 0", n)
	}
}

// lastMessageID returns the message id that was assigned last, 0 before the first.
func (c *Client) lastMessageID() uint32 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.lastID
}

// limitedConn is a connection whose writes fail after a number of bytes.
type limitedConn struct {
	net.Conn
	mu        sync.Mutex
	remaining int           // bytes that can still be written
	failed    chan struct{} // closed when the first write has failed
	once      sync.Once
}

func (c *limitedConn) Write(b []byte) (int, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	n := min(len(b), c.remaining)
	c.remaining -= n
	var err error
	if n > 0 {
		n, err = c.Conn.Write(b[:n])
	}
	if err == nil && n < len(b) {
		err = io.ErrClosedPipe
		c.once.Do(func() { close(c.failed) })
	}
	return n, err
}

// A connection breaks after each possible number of bytes of three calls. Each call reports how much of
// its request was sent, in agreement with what the peer received.
func TestBrokenConnectionReportsWhatWasSent(t *testing.T) {
	request, _ := encode(kindRequest, 1, "m", []any{1})
	size := len(request)
	for cut := range 3*size + 1 {
		local, peer := net.Pipe()
		received := make(chan int, 1) // number of bytes
		go func() {
			n, _ := io.CopyN(io.Discard, peer, int64(cut))
			if cut == 3*size { // no write fails, so the peer closes the connection
				peer.Close()
			}
			received <- int(n)
		}()
		conn := &limitedConn{Conn: local, remaining: cut, failed: make(chan struct{})}
		c := NewClient(conn, Limits{}, nil)
		calls := map[Sent]int{} // number by what was sent
		var mu sync.Mutex
		var wg sync.WaitGroup
		for range 3 {
			wg.Go(func() {
				err := c.Call(testContext(t), "m", []any{1}, nil)
				callErr, ok := errors.AsType[*CallError](err)
				if !ok {
					t.Errorf("connection cut after %d bytes: call got error %v, want a CallError", cut, err)
					return
				}
				mu.Lock()
				calls[callErr.Sent]++
				mu.Unlock()
			})
		}
		wg.Wait()
		c.Close()
		peer.Close()
		n := <-received
		if n != cut {
			t.Errorf("connection cut after %d bytes: the peer received %d bytes, want %d", cut, n, cut)
		}
		complete, part := n/size, min(1, n%size)
		if calls[SentCompletely] != complete || calls[SentPart] != part || calls[SentNone] != 3-complete-part {
			t.Errorf("connection cut after %d of %d bytes: calls by what was sent = %v, want %d complete, %d in part, %d not sent", cut, 3*size, calls, complete, part, 3-complete-part)
		}
	}
}

// Client.Close ends pending calls, and cancels the contexts of their handlers on the server.
func TestCloseEndsCallsAndHandlers(t *testing.T) {
	started, ended := make(chan struct{}), make(chan struct{})
	addr := serve(t, &Server{Handler: func(ctx context.Context, r *Request) (any, error) {
		close(started)
		<-ctx.Done()
		close(ended)
		return nil, ctx.Err()
	}})
	c := dialClient(t, addr, Limits{})
	result := make(chan error, 1)
	go func() { result <- c.Call(testContext(t), "m", nil, nil) }()
	<-started
	c.Close()
	err := <-result
	if callErr, ok := errors.AsType[*CallError](err); !ok || callErr.Sent != SentCompletely || !errors.Is(err, ErrClosed) {
		t.Errorf("pending call: got error %v, want a CallError with ErrClosed and %q", err, SentCompletely)
	}
	select {
	case <-ended:
	case <-time.After(testTimeout):
		t.Error("the handler's context was not cancelled when the client closed the connection")
	}
	if callErr, ok := errors.AsType[*CallError](c.Call(testContext(t), "m", nil, nil)); !ok || callErr.Sent != SentNone {
		t.Errorf("call after Close: got error %v, want a CallError with %q", callErr, SentNone)
	}
}

// A peer that sends requests and never reads responses is disconnected. Until then it takes bounded
// memory, because no requests are read while the queue of responses is full.
func TestPeerThatNeverReads(t *testing.T) {
	var calls atomic.Int32
	largeResult := strings.Repeat("x", 64<<10)
	disconnected := make(chan struct{})
	s := &Server{
		Limits: Limits{Outstanding: 8, Queued: 256 << 10, Send: 300 * time.Millisecond},
		Handler: func(ctx context.Context, r *Request) (any, error) {
			if calls.Add(1) == 1 {
				go func() {
					<-ctx.Done()
					close(disconnected)
				}()
			}
			return largeResult, nil
		}}
	addr := serve(t, s)
	conn := dial(t, addr)
	conn.(*net.TCPConn).SetReadBuffer(4096)
	const requests = 100000
	go func() {
		var b []byte
		for id := range uint32(requests) {
			b = append(appendString(appendHeader(b[:0], kindRequest, id), "m"), 0x90)
			if _, err := conn.Write(b); err != nil {
				return
			}
		}
	}()
	select {
	case <-disconnected:
	case <-time.After(testTimeout):
		t.Fatal("the peer that never reads was not disconnected")
	}
	if n := calls.Load(); n > 1000 {
		t.Errorf("%d calls were executed for a peer that never reads, want at most 1000", n)
	}
	conn.Close()
}
