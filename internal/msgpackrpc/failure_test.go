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

// A response that arrives after its call ended is dropped, and its id is not used again
// before that.
func TestResponseToAbandonedCall(t *testing.T) {
	release := make(chan struct{})
	addr := serve(t, &Server{Handler: func(ctx context.Context, r *Request) (any, error) {
		if r.Method == "slow" {
			<-release
		}
		return r.Method, nil
	}})
	c := client(t, addr, Limits{Outstanding: 2})
	ctx, cancel := context.WithCancel(context.Background())
	slow := make(chan error, 1)
	go func() { slow <- c.Call(ctx, "slow", nil, nil) }()
	for c.lastID() == 0 {
		time.Sleep(time.Millisecond)
	}
	var got string
	if err := c.Call(testContext(t), "first", nil, &got); err != nil || got != "first" { // the slow request was written before
		t.Fatal(got, err)
	}
	cancel()
	err := <-slow
	if ce, ok := errors.AsType[*CallError](err); !ok || ce.Sent != SentCompletely || !errors.Is(err, context.Canceled) {
		t.Errorf("the abandoned call: %v", err)
	}
	c.mu.Lock()
	c.nextID = 0 // the ids start again, as after 2^32 calls: 1 is still in use
	c.mu.Unlock()
	for i := range 3 {
		method := fmt.Sprint("m", i)
		if err := c.Call(testContext(t), method, nil, &got); err != nil || got != method {
			t.Fatalf("%s: %q %v", method, got, err)
		}
	}
	close(release)
	for deadline := time.Now().Add(testTimeout); c.UnsolicitedResponses() == 0; time.Sleep(time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatal("the late response was never counted")
		}
	}
	if n := len(c.slots); n != 0 {
		t.Errorf("%d slots are still in use", n)
	}
}

func (c *Client) lastID() uint32 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.nextID
}

// cuttingConn is a connection that writes a limited number of bytes and then fails.
type cuttingConn struct {
	net.Conn
	mu   sync.Mutex
	left int
	full chan struct{} // closed when the first write failed
	once sync.Once
}

func (g *cuttingConn) Write(b []byte) (int, error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	n := min(len(b), g.left)
	g.left -= n
	var err error
	if n > 0 {
		n, err = g.Conn.Write(b[:n])
	}
	if err == nil && n < len(b) {
		err = io.ErrClosedPipe
		g.once.Do(func() { close(g.full) })
	}
	return n, err
}

// A connection breaks after each possible number of bytes. Each call reports how much of it was
// sent, in agreement with what the peer received.
func TestBrokenConnectionReportsWhatWasSent(t *testing.T) {
	one, _ := encode(kindRequest, 1, "m", []any{1})
	size := len(one)
	for cut := range 3*size + 1 {
		near, far := net.Pipe()
		got := make(chan int, 1)
		go func() {
			n, _ := io.CopyN(io.Discard, far, int64(cut))
			if cut == 3*size { // no write fails: the peer closes
				far.Close()
			}
			got <- int(n)
		}()
		g := &cuttingConn{Conn: near, left: cut, full: make(chan struct{})}
		c := NewClient(g, Limits{}, nil)
		states := map[Sent]int{}
		var mu sync.Mutex
		var wg sync.WaitGroup
		for range 3 {
			wg.Go(func() {
				err := c.Call(testContext(t), "m", []any{1}, nil)
				ce, ok := errors.AsType[*CallError](err)
				if !ok {
					t.Errorf("cut %d: %v", cut, err)
					return
				}
				mu.Lock()
				states[ce.Sent]++
				mu.Unlock()
			})
		}
		wg.Wait()
		c.Close()
		far.Close()
		n := <-got
		if n != cut {
			t.Errorf("cut %d: the peer received %d bytes", cut, n)
		}
		complete, part := n/size, min(1, n%size)
		if states[SentCompletely] != complete || states[SentPart] != part || states[SentNone] != 3-complete-part {
			t.Errorf("cut at %d of %d: %v", cut, 3*size, states)
		}
	}
}

// Close ends pending calls, and the contexts of their handlers on the server.
func TestCloseEndsCallsAndHandlers(t *testing.T) {
	began, ended := make(chan struct{}), make(chan struct{})
	addr := serve(t, &Server{Handler: func(ctx context.Context, r *Request) (any, error) {
		close(began)
		<-ctx.Done()
		close(ended)
		return nil, ctx.Err()
	}})
	c := client(t, addr, Limits{})
	res := make(chan error, 1)
	go func() { res <- c.Call(testContext(t), "m", nil, nil) }()
	<-began
	c.Close()
	err := <-res
	if ce, ok := errors.AsType[*CallError](err); !ok || ce.Sent != SentCompletely || !errors.Is(err, ErrClosed) {
		t.Error(err)
	}
	select {
	case <-ended:
	case <-time.After(testTimeout):
		t.Error("the handler's context did not end with its connection")
	}
	if ce, ok := errors.AsType[*CallError](c.Call(testContext(t), "m", nil, nil)); !ok || ce.Sent != SentNone {
		t.Error("a call after Close:", ce)
	}
}

// A peer that sends requests and never reads responses is disconnected. Its cost is bounded:
// no requests are read while the queue of responses is full.
func TestPeerThatNeverReads(t *testing.T) {
	var calls atomic.Int32
	big := strings.Repeat("x", 64<<10)
	closed := make(chan struct{})
	s := &Server{
		Limits: Limits{Outstanding: 8, Queued: 256 << 10, Send: 300 * time.Millisecond},
		Handler: func(ctx context.Context, r *Request) (any, error) {
			if calls.Add(1) == 1 {
				go func() {
					<-ctx.Done()
					close(closed)
				}()
			}
			return big, nil
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
	case <-closed:
	case <-time.After(testTimeout):
		t.Fatal("the peer was never disconnected")
	}
	if n := calls.Load(); n > 1000 {
		t.Errorf("%d calls were executed for a peer that never reads", n)
	}
	conn.Close()
}
