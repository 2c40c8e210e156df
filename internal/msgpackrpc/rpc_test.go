package msgpackrpc

import (
	"bufio"
	"bytes"
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

	"github.com/vmihailenco/msgpack/v5"
	"go.uber.org/goleak"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// testTimeout is how long a test waits for what must come.
const testTimeout = 20 * time.Second

// serve starts a server on loopback and returns its address.
func serve(t testing.TB, s *Server) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	done := make(chan error, 1)
	go func() { done <- s.Serve(listener) }()
	t.Cleanup(func() {
		s.Close()
		if err := <-done; err != nil {
			t.Error("Serve:", err)
		}
	})
	return listener.Addr().String()
}

func dial(t testing.TB, addr string) net.Conn {
	t.Helper()
	conn, err := net.Dial("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { conn.Close() })
	conn.SetDeadline(time.Now().Add(testTimeout))
	return conn
}

func client(t testing.TB, addr string, limits Limits) *Client {
	t.Helper()
	conn, err := net.Dial("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	c := NewClient(conn, limits, nil)
	t.Cleanup(func() { c.Close() })
	return c
}

func echo(_ context.Context, r *Request) (any, error) {
	var p []any
	if err := msgpack.Unmarshal(r.Params, &p); err != nil {
		return nil, err
	}
	return p, nil
}

func testContext(t testing.TB) context.Context {
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	t.Cleanup(cancel)
	return ctx
}

// All 256 requests are open at once before the first is answered, and they are
// answered in the reverse order: each caller gets its own.
func TestInterleavedResponses(t *testing.T) {
	const n = 256
	var mu sync.Mutex
	turn := sync.NewCond(&mu)
	came, next := 0, n-1
	addr := serve(t, &Server{Handler: func(_ context.Context, r *Request) (any, error) {
		var p []int
		if err := msgpack.Unmarshal(r.Params, &p); err != nil {
			return nil, err
		}
		mu.Lock()
		defer mu.Unlock()
		came++
		turn.Broadcast()
		for came < n || next != p[0] {
			turn.Wait()
		}
		next--
		turn.Broadcast()
		return p[0] * p[0], nil
	}})
	c := client(t, addr, Limits{})
	var wg sync.WaitGroup
	for i := range n {
		wg.Go(func() {
			var got int
			if err := c.Call(testContext(t), "square", []any{i}, &got); err != nil || got != i*i {
				t.Errorf("square of %d: %d, %v", i, got, err)
			}
		})
	}
	wg.Wait()
	if c.UnsolicitedResponses() != 0 {
		t.Errorf("%d strays", c.UnsolicitedResponses())
	}
}

// A peer in any language: the bytes are those of the specification, in forms that
// this implementation does not write itself.
func TestEncodingsOfTheSpecification(t *testing.T) {
	addr := serve(t, &Server{Handler: echo})
	for name, in := range map[string]string{
		"smallest forms":        "\x94\x00\x07\xa4echo\x91\x01",
		"array16 and uint64 id": "\xdc\x00\x04\xcc\x00\xcf\x00\x00\x00\x00\x00\x00\x00\x07\xd9\x04echo\xdd\x00\x00\x00\x01\x01",
		"array32, bin method":   "\xdd\x00\x00\x00\x04\xd0\x00\xd1\x00\x07\xc4\x04echo\xdc\x00\x01\x01",
	} {
		conn := dial(t, addr)
		io.WriteString(conn, in)
		raw, err := readObject(bufio.NewReader(conn), Limits{}.withDefaults(), nil)
		if err != nil {
			t.Fatalf("%s: %v", name, err)
		}
		var got []any
		if err := msgpack.Unmarshal(raw, &got); err != nil || fmt.Sprint(got) != "[1 7 <nil> [1]]" {
			t.Errorf("%s: %v %v", name, got, err)
		}
	}
}

// What is not MessagePack-RPC ends its connection, and only that one.
func TestInvalidBytesCloseConnection(t *testing.T) {
	addr := serve(t, &Server{Handler: echo, Limits: Limits{Message: 4096, Depth: 8, Receive: 200 * time.Millisecond}})
	good := client(t, addr, Limits{})
	for name, in := range map[string]string{
		"never used type":       "\xc1",
		"a map":                 "\x81\x01\x02",
		"array of two":          "\x92\x00\x01",
		"unknown type":          "\x94\x09\x01\xa1a\x90",
		"a response":            "\x94\x01\x01\xc0\xc0",
		"msgid of 33 bits":      "\x94\x00\xcf\x00\x00\x00\x01\x00\x00\x00\x00\xa1a\x90",
		"msgid negative":        "\x94\x00\xff\xa1a\x90",
		"method a number":       "\x94\x00\x01\x05\x90",
		"params a map":          "\x94\x00\x01\xa1a\x80",
		"4 GiB claimed":         "\x94\x00\x01\xdb\xff\xff\xff\xff",
		"array of 4 G elements": "\x94\x00\x01\xa1a\xdd\xff\xff\xff\xff",
		"map of 4 G elements":   "\x94\x00\x01\xa1a\xdf\xff\xff\xff\xff",
		"nested":                "\x94\x00\x01\xa1a" + strings.Repeat("\x91", 50),
		"too long":              "\x94\x00\x01\xa1a\xdc\x20\x00" + strings.Repeat("\x01", 0x2000),
		"never whole":           "\x94\x00\x01\xa9a",
		"id twice while open":   "\x94\x00\x01\xa4wait\x90\x94\x00\x01\xa4wait\x90",
	} {
		conn := dial(t, addr)
		io.WriteString(conn, in)
		if name == "id twice while open" {
			continue // see TestDuplicateOpenID
		}
		if b, err := io.ReadAll(conn); len(b) > 0 || errors.Is(err, context.DeadlineExceeded) {
			t.Errorf("%s: answered %q, %v; want a close", name, b, err)
		}
		var got []int
		if err := good.Call(testContext(t), "echo", []any{7}, &got); err != nil || got[0] != 7 {
			t.Fatalf("after %s another connection: %v %v", name, got, err)
		}
	}
}

func TestDuplicateOpenID(t *testing.T) {
	var ended atomic.Int32
	addr := serve(t, &Server{Handler: func(ctx context.Context, r *Request) (any, error) {
		<-ctx.Done()
		ended.Add(1)
		return "late", nil
	}})
	conn := dial(t, addr)
	io.WriteString(conn, "\x94\x00\x01\xa4wait\x90\x94\x00\x01\xa4wait\x90")
	if b, _ := io.ReadAll(conn); len(b) > 0 {
		t.Errorf("answered %q; neither may be", b)
	}
}

type coded struct{ Code string }

func (e *coded) Error() string   { return e.Code }
func (e *coded) ErrorValue() any { return map[string]string{"code": e.Code} }

func TestErrorsAndPanics(t *testing.T) {
	addr := serve(t, &Server{Limits: Limits{Message: 1000}, Handler: func(_ context.Context, r *Request) (any, error) {
		switch r.Method {
		case "coded":
			return nil, fmt.Errorf("wrapped: %w", &coded{"no_such"})
		case "panic":
			panic("at the handler")
		case "large":
			return strings.Repeat("x", 2000), nil
		case "unsendable":
			return make(chan int), nil
		}
		return nil, errors.New("plain")
	}})
	c := client(t, addr, Limits{})
	for method, want := range map[string]string{
		"coded": "map[code:no_such]", "panic": "internal error", "large": "over the limit",
		"unsendable": "unsupported", "other": "plain",
	} {
		err := c.Call(testContext(t), method, nil, nil)
		if _, ok := errors.AsType[*RemoteError](err); !ok || !strings.Contains(err.Error(), want) {
			t.Errorf("%s: %v; want %q", method, err, want)
		}
	}
	err := c.Call(testContext(t), "echo", []any{strings.Repeat("x", 2<<20)}, nil)
	if ce, ok := errors.AsType[*CallError](err); !ok || ce.Sent != SentNone || !errors.Is(err, ErrTooLong) {
		t.Errorf("a call over the limit: %v", err)
	}
	// A result of another type than the caller expects is an error of that call alone.
	var n int
	if err := c.Call(testContext(t), "other", nil, &n); err == nil {
		t.Error("no error")
	}
}

// A reply after its caller gave up reaches no one, and its id is not used again
// before it has come.
func TestResponseAfterCallEnded(t *testing.T) {
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
	for c.next1() == 0 {
		time.Sleep(time.Millisecond)
	}
	var got string
	if err := c.Call(testContext(t), "first", nil, &got); err != nil || got != "first" { // the slow one was written before
		t.Fatal(got, err)
	}
	cancel()
	err := <-slow
	if ce, ok := errors.AsType[*CallError](err); !ok || ce.Sent != SentCompletely || !errors.Is(err, context.Canceled) {
		t.Errorf("the call given up: %v", err)
	}
	c.mu.Lock()
	c.nextID = 0 // the ids begin again, as after 4 G calls: 1 is still taken
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
			t.Fatal("the late reply was never counted")
		}
	}
	if n := len(c.slots); n != 0 {
		t.Errorf("%d slots are still taken", n)
	}
}

func (c *Client) next1() uint32 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.nextID
}

// cuttingConn is a connection that lets so many bytes through and then fails.
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

// A connection that breaks after any number of bytes: each call knows how much of
// it went out, in agreement with what the peer got.
func TestBrokenConnectionReportsWhatWasSent(t *testing.T) {
	one, _ := encode(kindRequest, 1, "m", []any{1})
	size := len(one)
	for cut := range 3*size + 1 {
		near, far := net.Pipe()
		got := make(chan int, 1)
		go func() {
			n, _ := io.CopyN(io.Discard, far, int64(cut))
			if cut == 3*size { // nothing fails by itself: the peer closes
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
			t.Errorf("cut %d: the peer got %d bytes", cut, n)
		}
		whole, part := n/size, min(1, n%size)
		if states[SentCompletely] != whole || states[SentPart] != part || states[SentNone] != 3-whole-part {
			t.Errorf("cut at %d of %d: %v", cut, 3*size, states)
		}
	}
}

// Close ends pending calls, and the handlers' contexts at the other side.
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
		t.Error("the handler goes on after its connection has ended")
	}
	if ce, ok := errors.AsType[*CallError](c.Call(testContext(t), "m", nil, nil)); !ok || ce.Sent != SentNone {
		t.Error("a call after Close:", ce)
	}
}

// A peer that asks and never reads is closed; what it costs is bounded: requests
// are read no further than answers find room.
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
	const asked = 100000
	go func() {
		var b []byte
		for id := range uint32(asked) {
			b = append(appendString(appendHeader(b[:0], kindRequest, id), "m"), 0x90)
			if _, err := conn.Write(b); err != nil {
				return
			}
		}
	}()
	select {
	case <-closed:
	case <-time.After(testTimeout):
		t.Fatal("the slow reader was never closed")
	}
	if n := calls.Load(); n > 1000 {
		t.Errorf("%d calls were carried out for a peer that read nothing", n)
	}
	conn.Close()
}

func TestConnLimitAndNotify(t *testing.T) {
	got := make(chan string, 1)
	s := &Server{Conns: 1, Handler: func(_ context.Context, r *Request) (any, error) {
		if r.Notify {
			got <- r.Method
		}
		return nil, nil
	}}
	addr := serve(t, s)
	c := client(t, addr, Limits{})
	if err := c.Call(testContext(t), "m", nil, nil); err != nil {
		t.Fatal(err)
	}
	second := client(t, addr, Limits{})
	if err := second.Call(testContext(t), "m", nil, nil); err == nil {
		t.Error("a connection over the limit was served")
	}
	if err := c.Notify("told", nil); err != nil {
		t.Fatal(err)
	}
	if m := <-got; m != "told" {
		t.Error(m)
	}
}

func FuzzReadObject(f *testing.F) {
	for _, s := range []string{
		"\x94\x00\x07\xa4echo\x91\x01", "\x93\x02\xa1a\x90", "\x94\x01\x01\xc0\x82\xa1a\x01\xa1b\xcb12345678",
		"\xdd\x00\x00\x00\x04\xd0\x00\xd1\x00\x07\xc4\x04echo\xdc\x00\x01\xc7\x03\x05abc", "\xdf\xff\xff\xff\xff",
		"\xd8\x010123456789abcdef", "\x94\x00\xd3\xff\xff\xff\xff\xff\xff\xff\xff\xa1a\x90", "\xc6\x7f\xff\xff\xff",
	} {
		f.Add([]byte(s))
	}
	limits := Limits{Message: 1 << 12, Depth: 8}.withDefaults()
	f.Fuzz(func(t *testing.T, in []byte) {
		raw, err := readObject(bufio.NewReader(bytes.NewReader(in)), limits, nil)
		if err != nil {
			return
		}
		if len(raw) > limits.Message || !bytes.HasPrefix(in, raw) {
			t.Fatalf("read %d bytes that are not the input's", len(raw))
		}
		if n := objectLength(raw); n != len(raw) {
			t.Fatalf("skip says %d of %d", n, len(raw))
		}
		if m, err := parse(raw); err == nil && m.kind != kindResponse {
			// What passes can be written again and reads as the same.
			kind := byte(m.kind)
			b := append(appendString(appendHeader(nil, kind, m.id), m.method), m.paramsOrError...)
			if again, err := parse(b); err != nil || again.method != m.method || again.id != m.id {
				t.Fatalf("%x written again: %v", raw, err)
			}
		}
		var v any
		msgpack.Unmarshal(raw, &v) // must not panic on what has passed
	})
}

// FuzzServer sends bytes to a whole server: it must go on serving others.
func FuzzServer(f *testing.F) {
	s := &Server{Handler: echo, Limits: Limits{Message: 4096, Depth: 8}}
	good := client(f, serve(f, s), Limits{})
	f.Add([]byte("\x94\x00\x07\xa4echo\x91\x01\x94\x00\x08\xa4echo\x91\xc1"))
	f.Add([]byte("\x94\x00\x01\xa1a\xdd\xff\xff\xff\xff"))
	f.Fuzz(func(t *testing.T, in []byte) {
		near, far := net.Pipe()
		if !s.startConn(far) {
			t.Skip("full")
		}
		go io.Copy(io.Discard, near)
		near.SetDeadline(time.Now().Add(testTimeout))
		near.Write(in)
		near.Close()
		var got []int
		if err := good.Call(testContext(t), "echo", []any{1}, &got); err != nil || got[0] != 1 {
			t.Fatal(got, err)
		}
	})
}

func BenchmarkCall(b *testing.B) {
	for _, many := range []int{1, 64, 256} {
		b.Run(fmt.Sprintf("outstanding=%d", many), func(b *testing.B) {
			c := client(b, serve(b, &Server{Handler: func(context.Context, *Request) (any, error) { return 1, nil }}), Limits{})
			b.ReportAllocs()
			var left atomic.Int64
			left.Store(int64(b.N))
			ctx := context.Background()
			var wg sync.WaitGroup
			b.ResetTimer()
			for range many {
				wg.Go(func() {
					for left.Add(-1) >= 0 {
						if err := c.Call(ctx, "m", []any{1}, nil); err != nil {
							b.Error(err)
							return
						}
					}
				})
			}
			wg.Wait()
			b.ReportMetric(float64(b.N)/b.Elapsed().Seconds(), "calls/s")
		})
	}
}
