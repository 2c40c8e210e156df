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

// patience is how long a test waits for an expected event.
const patience = 20 * time.Second

// start starts a Server and returns its address. When the test ends, the Server is closed and checked for
// leaked goroutines.
func start(t *testing.T, ready *atomic.Bool) string {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatalf("opening a listener: %v", err)
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

// call sends a request on a new connection and returns the status and body of the response. The server must
// then close the connection.
func call(t *testing.T, addr, request string) (int, string) {
	t.Helper()
	c, err := net.Dial("tcp", addr)
	if err != nil {
		t.Fatalf("connecting to the admin endpoint: %v", err)
	}
	defer c.Close()
	c.SetDeadline(time.Now().Add(patience))
	io.WriteString(c, request)
	br := bufio.NewReader(c)
	resp, err := http.ReadResponse(br, nil)
	if err != nil {
		t.Fatalf("reading the response: %v", err)
	}
	body, _ := io.ReadAll(resp.Body)
	if _, err := br.ReadByte(); err != io.EOF {
		t.Errorf("reading after the response: got error %v, want %v", err, io.EOF)
	}
	return resp.StatusCode, string(body)
}

// GET requests for /api/ready and /api/telemetry get the status and body of the path. Other paths and
// methods, and a head that is too long, are rejected.
func TestResponses(t *testing.T) {
	var ready atomic.Bool
	addr := start(t, &ready)
	for _, test := range []struct {
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
		ready.Store(test.ready)
		status, body := call(t, addr, test.method+" "+test.path+" HTTP/1.1\r\nHost: a\r\n\r\n")
		if status != test.status || !strings.Contains(body, test.body) {
			t.Errorf("%s %s, ready %v: got status %d, body %q; want status %d, body containing %q", test.method, test.path, test.ready, status, body, test.status, test.body)
		}
	}
	if status, _ := call(t, addr, "GET /api/ready HTTP/1.1\r\nHost: a\r\nX: "+strings.Repeat("x", 64<<10)+"\r\n\r\n"); status != 431 {
		t.Errorf("request with a head of more than 64 kB: got status %d, want 431", status)
	}
}

// Callers that never finish a request do not block others, even if there are many more than MaxConns of them:
// the oldest connection is closed first.
func TestSilentCallersDoNotBlockOthers(t *testing.T) {
	var ready atomic.Bool
	ready.Store(true)
	addr := start(t, &ready)
	var silent []net.Conn
	for n := range 4 * MaxConns {
		c, err := net.Dial("tcp", addr)
		if err != nil {
			t.Fatalf("connecting silent caller %d: %v", n+1, err)
		}
		defer c.Close()
		if n%2 == 0 {
			io.WriteString(c, "GET /api/ready HTTP/1.1\r\nHo")
		}
		silent = append(silent, c)
		if n%5 == 0 {
			if status, _ := call(t, addr, "GET /api/ready HTTP/1.1\r\nHost: a\r\n\r\n"); status != 200 {
				t.Fatalf("with %d silent callers: got status %d, want 200", n+1, status)
			}
		}
	}
	// The connections of the first callers have been closed, those of the last ones have not.
	first, last := silent[0], silent[len(silent)-1]
	first.SetDeadline(time.Now().Add(patience))
	if _, err := io.ReadAll(first); err != nil && strings.Contains(err.Error(), "timeout") {
		t.Error("the oldest connection is still open, want it closed")
	}
	io.WriteString(last, "GET /api/telemetry HTTP/1.1\r\nHost: a\r\n\r\n")
	last.SetDeadline(time.Now().Add(patience))
	if resp, err := http.ReadResponse(bufio.NewReader(last), nil); err != nil || resp.StatusCode != 200 {
		t.Errorf("request of the newest caller: got response %v, error %v; want status 200", resp, err)
	}
}
