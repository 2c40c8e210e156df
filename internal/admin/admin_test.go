package admin

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"go.uber.org/goleak"
)

// patience is how long a test waits for what must come.
const patience = 20 * time.Second

func start(t *testing.T, ready *atomic.Bool) string {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	server := New(ready.Load, func(w io.Writer) { io.WriteString(w, "figure 1\n") })
	done := make(chan struct{})
	go func() { defer close(done); server.Serve(ln) }()
	t.Cleanup(func() {
		server.Close()
		<-done
		goleak.VerifyNone(t)
	})
	return ln.Addr().String()
}

func call(t *testing.T, addr, request string) (int, string) {
	t.Helper()
	c, err := net.Dial("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	c.SetDeadline(time.Now().Add(patience))
	io.WriteString(c, request)
	br := bufio.NewReader(c)
	resp, err := http.ReadResponse(br, nil)
	if err != nil {
		t.Fatal(err)
	}
	body, _ := io.ReadAll(resp.Body)
	if _, err := br.ReadByte(); err != io.EOF {
		t.Errorf("the connection stayed open: %v", err)
	}
	return resp.StatusCode, string(body)
}

// Each path answers with its status and body, and the others with an error.
func TestCalls(t *testing.T) {
	var ready atomic.Bool
	addr := start(t, &ready)
	for _, c := range []struct {
		method, path string
		ready        bool
		status       int
		body         string
	}{
		{"GET", "/api/ready", false, 503, "no"},
		{"GET", "/api/ready", true, 200, "yes"},
		{"GET", "/api/telemetry", false, 200, "figure 1\n"},
		{"POST", "/api/ready", true, 405, "GET only"},
		{"GET", "/api", true, 404, "/api/telemetry"},
		{"GET", "/api/ready/", true, 404, "/api/ready"},
	} {
		ready.Store(c.ready)
		status, body := call(t, addr, c.method+" "+c.path+" HTTP/1.1\r\nHost: a\r\n\r\n")
		if status != c.status || !strings.Contains(body, c.body) {
			t.Errorf("%s %s, ready %v: %d %q", c.method, c.path, c.ready, status, body)
		}
	}
	if status, _ := call(t, addr, "GET /api/ready HTTP/1.1\r\nHost: a\r\nX: "+strings.Repeat("x", 64<<10)+"\r\n\r\n"); status != 431 {
		t.Errorf("a head without end: %d", status)
	}
}

// Callers that never finish a request, many more than may be connected, do not keep others out; the
// oldest is closed first.
func TestAnswersUnderLoad(t *testing.T) {
	var ready atomic.Bool
	ready.Store(true)
	addr := start(t, &ready)
	var silent []net.Conn
	for n := range 4 * MaxConns {
		c, err := net.Dial("tcp", addr)
		if err != nil {
			t.Fatal(err)
		}
		defer c.Close()
		if n%2 == 0 {
			io.WriteString(c, "GET /api/ready HTTP/1.1\r\nHo")
		}
		silent = append(silent, c)
		if n%5 == 0 {
			if status, _ := call(t, addr, "GET /api/ready HTTP/1.1\r\nHost: a\r\n\r\n"); status != 200 {
				t.Fatalf("with %d silent callers: %d", n+1, status)
			}
		}
	}
	// The first callers have been closed, the last have not.
	first, last := silent[0], silent[len(silent)-1]
	first.SetDeadline(time.Now().Add(patience))
	if _, err := io.ReadAll(first); err != nil && strings.Contains(err.Error(), "timeout") {
		t.Error("the connection that was silent for the longest is still open")
	}
	io.WriteString(last, "GET /api/telemetry HTTP/1.1\r\nHost: a\r\n\r\n")
	last.SetDeadline(time.Now().Add(patience))
	if resp, err := http.ReadResponse(bufio.NewReader(last), nil); err != nil || resp.StatusCode != 200 {
		t.Errorf("the newest caller was given up: %v", err)
	}
}
