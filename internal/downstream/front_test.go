package downstream

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"martendrum"
	"martendrum/internal/settings"
	"martendrum/internal/upstream"
)

// patience is how long a test waits for an expected event.
const patience = 20 * time.Second

// handler holds what arrives until the test answers it.
type handler struct {
	arrived      chan *Exchange
	disconnected chan *Exchange
}

func (h *handler) Arrive(x *Exchange) { h.arrived <- x }
func (h *handler) ClientDisconnected(x *Exchange) bool {
	h.disconnected <- x
	return true
}
func (h *handler) Ready() bool { return true }
func (h *handler) Class(name string) *settings.Class {
	e, ok := map[string]martendrum.Idempotency{"look": martendrum.Idempotent, "book": martendrum.IdempotencyKeyed, "pay": martendrum.NonIdempotent}[name]
	if !ok {
		return nil
	}
	return &settings.Class{Name: name, Rules: &martendrum.Class{Idempotency: e}}
}

// start runs a Server with a connection limit, whose requests arrive at the returned handler.
func start(t *testing.T, limit int) (*Server, *handler, string) {
	t.Helper()
	h := &handler{arrived: make(chan *Exchange, 100), disconnected: make(chan *Exchange, 100)}
	s := New(Config{MaxConns: limit, MaxBody: 1 << 20}, h)
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { ln.Close() })
	go s.Serve(ln)
	return s, h, ln.Addr().String()
}

func dial(t *testing.T, addr, text string) (net.Conn, *bufio.Reader) {
	t.Helper()
	c, err := net.Dial("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { c.Close() })
	c.SetDeadline(time.Now().Add(patience))
	io.WriteString(c, text)
	return c, bufio.NewReader(c)
}

// status returns the status of the next answer, 0 for the end of the connection.
func status(t *testing.T, br *bufio.Reader) int {
	t.Helper()
	resp, err := http.ReadResponse(br, nil)
	if err != nil {
		if ne, ok := err.(net.Error); ok && ne.Timeout() {
			t.Fatal("neither an answer nor a close")
		}
		return 0
	}
	io.Copy(io.Discard, resp.Body)
	return resp.StatusCode
}

// receive returns the next value of c.
func receive[T any](t *testing.T, c <-chan T) (v T) {
	t.Helper()
	select {
	case v = <-c:
	case <-time.After(patience):
		t.Fatal("nothing came")
	}
	return v
}

// look returns an idempotent request.
func look(id string) string {
	return "GET /look HTTP/1.1\r\nHost: a\r\nReq-Id: " + id + "\r\nReq-Kind: look\r\nReq-Deadline-Ms: 500\r\n\r\n"
}

// A request that violates the protocol ends with an error or a close, and never arrives.
func TestMalformedRequests(t *testing.T) {
	_, h, addr := start(t, 100)
	post := "POST /pay HTTP/1.1\r\nHost: a\r\nReq-Id: 1\r\n"
	for name, text := range map[string]string{
		"both lengths":       post + "Content-Length: 44\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n" + look("2"),
		"both, other order":  post + "transfer-encoding: chunked\r\ncontent-length: 5\r\n\r\n0\r\n\r\n",
		"length twice":       post + "Content-Length: 2\r\nContent-Length: 2\r\n\r\nab",
		"negative length":    post + "Content-Length: -4\r\n\r\nabcd",
		"length no number":   post + "Content-Length: ten\r\n\r\n0123456789",
		"huge length":        post + "Content-Length: 62914560\r\n\r\nabc",
		"short length":       post + "Content-Length: 2\r\n\r\nabcd",
		"bad chunk":          post + "Transfer-Encoding: chunked\r\n\r\nzz\r\n\r\n",
		"folded line":        post + "X: a\r\n b\r\nContent-Length: 0\r\n\r\n",
		"control character":  post + "X: a\rContent-Length: 9\r\nContent-Length: 0\r\n\r\n",
		"blank in a name":    post + "Content-Length : 3\r\n\r\nabc",
		"no colon":           post + "what is this\r\n\r\n",
		"head without end":   "GET /look HTTP/1.1\r\n" + strings.Repeat("X: y\r\n", 4000),
		"noise":              "\x16\x03\x01\x02\x00\x01\x00\x01\xfc\x03\x03\r\n\r\n",
		"no id":              "GET /look HTTP/1.1\r\nHost: a\r\n\r\n",
		"unknown class":      "GET /look2 HTTP/1.1\r\nHost: a\r\nReq-Id: 1\r\nReq-Kind: look2\r\n\r\n",
		"two classes":        "GET /look HTTP/1.1\r\nHost: a\r\nReq-Id: 1\r\nReq-Kind: pay\r\n\r\n",
		"method of another":  "POST /look HTTP/1.1\r\nHost: a\r\nReq-Id: 1\r\nContent-Length: 0\r\n\r\n",
		"key where none":     post + "Idempotency-Key: k\r\nContent-Length: 0\r\n\r\n",
		"no key":             "POST /book HTTP/1.1\r\nHost: a\r\nReq-Id: 1\r\nContent-Length: 0\r\n\r\n",
		"deadline no number": "GET /look HTTP/1.1\r\nHost: a\r\nReq-Id: 1\r\nReq-Deadline-Ms: soon\r\n\r\n",
		"deadline negative":  "GET /look HTTP/1.1\r\nHost: a\r\nReq-Id: 1\r\nReq-Deadline-Ms: -5\r\n\r\n",
		"deadline empty":     "GET /look HTTP/1.1\r\nHost: a\r\nReq-Id: 1\r\nReq-Deadline-Ms: \r\n\r\n",
		"many at once":       look("1") + look("2") + look("3"),
		"half a request":     post + "Content-Length: 10\r\n\r\nabc",
		"silence":            "",
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			_, br := dial(t, addr, text)
			if got := status(t, br); got != 0 && (got < 400 || got > 599) {
				t.Errorf("answered %d", got)
			}
			if _, err := io.ReadAll(br); err != nil {
				if ne, ok := err.(net.Error); ok && ne.Timeout() {
					t.Error("the connection stayed open")
				}
			}
			select {
			case <-h.arrived:
				t.Error("it arrived")
			default:
			}
		})
	}
}

// A second request before the answer to the first ends both with an error.
func TestPipelinedRequests(t *testing.T) {
	_, h, addr := start(t, 10)
	c, br := dial(t, addr, look("1"))
	x := receive(t, h.arrived)
	io.WriteString(c, look("2"))
	if got := receive(t, h.disconnected); got != x {
		t.Error("another request was disconnected")
	}
	if got := status(t, br); got != http.StatusBadRequest {
		t.Errorf("answered %d, want 400", got)
	}
	if len(h.arrived) > 0 {
		t.Error("the second request arrived")
	}
}

// The id of an open or a recent request belongs to its client alone.
func TestIDsAreNotShared(t *testing.T) {
	_, h, addr := start(t, 10)
	_, first := dial(t, addr, look("1"))
	x := receive(t, h.arrived)
	for range 2 {
		_, br := dial(t, addr, look("1"))
		if got := status(t, br); got != http.StatusConflict {
			t.Errorf("answered %d, want 409", got)
		}
		if x != nil {
			x.Serve(&upstream.Answer{Body: []byte("yes")})
			x.Release()
			x = nil
			if got := status(t, first); got != http.StatusOK {
				t.Errorf("the owner was answered %d", got)
			}
		}
	}
	if len(h.arrived) > 0 {
		t.Error("a request with another's id arrived")
	}
}

func TestIDsExpire(t *testing.T) {
	i := requestIDs{known: make(map[string]bool)}
	for n := range 3 * recentIDs {
		id := fmt.Sprint(n)
		if !i.open(id) {
			t.Fatal("a new id was taken for a known one")
		}
		i.close(id)
		if len(i.known) > recentIDs+1 {
			t.Fatalf("%d ids known after %d", len(i.known), n)
		}
	}
	if !i.open("0") {
		t.Error("an old id is still known")
	}
}

// Silent connections are evicted for clients that send requests, and the number of connections stays
// within the limit.
func TestSilentConnectionsAreEvicted(t *testing.T) {
	const limit = 16
	s, h, addr := start(t, limit)
	for range 5 * limit {
		dial(t, addr, "")
	}
	for n := range 3 * limit {
		_, br := dial(t, addr, look(fmt.Sprint(n)))
		select {
		case x := <-h.arrived:
			x.Serve(&upstream.Answer{Body: []byte("yes")})
			x.Release()
			if got := status(t, br); got != http.StatusOK {
				t.Fatalf("request %d was answered %d", n, got)
			}
		case <-time.After(patience):
			t.Fatal("a client was not served")
		}
		if got := s.Conns(); got > limit {
			t.Fatalf("%d connections, want at most %d", got, limit)
		}
	}
}

// A connection serves one request after another, and releases its descriptor once it has been
// idle for too long.
func TestKeepAlive(t *testing.T) {
	s, h, addr := start(t, 10)
	c, br := dial(t, addr, "")
	for n := range 3 {
		body := strings.Repeat("b", n*20000)
		fmt.Fprintf(c, "POST /pay HTTP/1.1\r\nHost: a\r\nReq-Id: %d\r\nReq-Kind: pay\r\nContent-Length: %d\r\n\r\n%s", n, len(body), body)
		x := receive(t, h.arrived)
		if string(x.Request.Body) != body || !bytes.Contains(x.Request.Head, fmt.Appendf(nil, "Content-Length: %d\r\n", len(body))) {
			t.Errorf("request %d came changed: %q", n, x.Request.Head)
		}
		x.Reject(1500 * time.Millisecond)
		x.Release()
		resp, err := http.ReadResponse(br, nil)
		if err != nil {
			t.Fatal(err)
		}
		io.Copy(io.Discard, resp.Body)
		if resp.StatusCode != http.StatusServiceUnavailable || resp.Header.Get("Retry-After") != "1.500" {
			t.Errorf("answered %d, %v", resp.StatusCode, resp.Header)
		}
	}
	if s.budget.left != s.config.MaxBody {
		t.Errorf("%d bytes of the budget left of %d", s.budget.left, s.config.MaxBody)
	}
	if _, err := br.ReadByte(); err != io.EOF {
		t.Errorf("idle connection: %v, want its end", err)
	}
}

// Thousands of clients that connect and send nothing or half a head, many more than the limit,
// do not keep out a client that sends a request.
func TestThousandsOfIdle(t *testing.T) {
	const limit = 60
	s, h, addr := start(t, limit)
	go func() {
		for x := range h.arrived {
			x.Reject(0)
			x.Release()
		}
	}()
	for n := range 3000 {
		c, err := net.Dial("tcp", addr)
		if err != nil {
			t.Fatal(err)
		}
		defer c.Close()
		if n%100 == 0 {
			io.WriteString(c, "GET /look HTTP/1.1\r\nHo")
		}
		if n%100 != 99 {
			continue
		}
		c, br := dial(t, addr, look(fmt.Sprint("useful", n)))
		if got := status(t, br); got != http.StatusServiceUnavailable {
			t.Errorf("after %d idle connections: answered %d", n+1, got)
		}
		c.Close()
		if conns := s.Conns(); conns > limit {
			t.Errorf("%d connections open, want at most %d", conns, limit)
		}
	}
}
