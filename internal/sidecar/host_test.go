package sidecar

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"martendrum"
	"martendrum/internal/discovery"
	"martendrum/internal/downstream"
	"martendrum/internal/metrics"
	"martendrum/internal/settings"
	"martendrum/internal/standin/tcp"
	"martendrum/internal/upstream"
)

// patience is how long a test waits for an expected event.
const patience = 20 * time.Second

// start starts a sidecar with servers at the addresses, and returns its address.
func start(t testing.TB, addrs ...string) (*Host, *downstream.Server, string) {
	t.Helper()
	return startWith(t, usualSettings, addrs...)
}

// usualSettings has an idempotent, a non-idempotent and a keyed class.
const usualSettings = `{"replicasOfMe":1,"registryMode":"automatic",
		"caps":{"attemptsCap":3,"mayCancel":true,"secondCopies":true,"connIdleUs":30000000,"dialTimeoutUs":5000000,
			"mostHeld":100,"retryAfter":true,"maxRetryAfterUs":2000000},
		"guarantees":{"drainGraceUs":2000000,"coldFrom":1},
		"classes":[{"name":"look","promiseUs":20000000,"hardLimitUs":20000000,"effect":"repeatable"},
		{"name":"pay","promiseUs":20000000,"hardLimitUs":20000000,"effect":"once"},
		{"name":"book","promiseUs":20000000,"hardLimitUs":20000000,"effect":"by_key","repeatWindowUs":400000}]}`

// startWith is start with other settings.
func startWith(t testing.TB, text string, addrs ...string) (*Host, *downstream.Server, string) {
	t.Helper()
	set, err := settings.Parse([]byte(text))
	if err != nil {
		t.Fatal(err)
	}
	pool := upstream.New(upstream.Config{ServerIdleTimeout: set.ConnIdle, DialTimeout: set.DialTimeout, DrainGrace: set.DrainGrace, MaxConns: 50})
	h, err := New(set, 1, pool, new(discovery.Watcher))
	if err != nil {
		t.Fatal(err)
	}
	l := &discovery.List{Index: 1, Complete: true}
	for n, addr := range addrs {
		l.Entries = append(l.Entries, discovery.Entry{Endpoint: martendrum.Endpoint{Name: fmt.Sprint(n), CapacityHint: 1}, Address: addr})
	}
	h.Listed(l)
	srv := downstream.New(downstream.Config{MaxConns: 100, MaxBody: 1 << 20}, h)
	metricSet := metrics.New()
	metricSet.Classes(set.Names())
	h.SetMeter(metricSet)
	srv.SetMeter(metricSet)
	ln := listen(t)
	go srv.Serve(ln)
	return h, srv, ln.Addr().String()
}

// listen opens a listener that is closed when the test ends.
func listen(t testing.TB) net.Listener {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { ln.Close() })
	return ln
}

// startSilentServer starts a server that accepts requests and never answers.
func startSilentServer(t *testing.T) string {
	return tcp.Serve(t, func(_ int, c net.Conn) { io.Copy(io.Discard, c) })
}

// sendAndRead sends a request on a connection and returns its answer, whose body has been read.
func sendAndRead(t *testing.T, c net.Conn, br *bufio.Reader, head string) *http.Response {
	t.Helper()
	c.SetDeadline(time.Now().Add(patience))
	io.WriteString(c, head+"\r\n\r\n")
	resp, err := http.ReadResponse(br, nil)
	if err != nil {
		t.Fatal(err)
	}
	io.Copy(io.Discard, resp.Body)
	return resp
}

// Requests that no server answers get one answer by their deadlines and leave no state behind. A
// non-idempotent one is never rejected. A distant deadline of the client is bounded by the class.
func TestNothingStaysBehind(t *testing.T) {
	h, _, addr := start(t, startSilentServer(t), startSilentServer(t), startSilentServer(t))
	c, err := net.Dial("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	br := bufio.NewReader(c)
	for n := range 30 {
		head := fmt.Sprintf("GET /look HTTP/1.1\r\nHost: a\r\nReq-Id: g%d\r\nReq-Deadline-Ms: 30", n)
		if n%2 == 1 {
			head = fmt.Sprintf("POST /pay HTTP/1.1\r\nHost: a\r\nReq-Id: p%d\r\nReq-Deadline-Ms: 30\r\nContent-Length: 0", n)
		}
		resp := sendAndRead(t, c, br, head)
		if n%2 == 1 && resp.StatusCode != http.StatusBadGateway || resp.StatusCode < 500 {
			t.Errorf("request %d was answered %s", n, resp.Status)
		}
	}
	far, err := net.Dial("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	io.WriteString(far, "GET /look HTTP/1.1\r\nHost: a\r\nReq-Id: far\r\nReq-Deadline-Ms: 2000000000\r\n\r\n")
	eventually(t, "the request to be in flight", func() bool { return h.InFlight() == 1 })
	h.mu.Lock()
	for _, request := range h.requests {
		if left := request.deadline - h.now(); left > 20*time.Second {
			t.Errorf("the request may stay in flight for %v", left)
		}
	}
	h.mu.Unlock()
	far.Close()
	eventually(t, "no request in flight", func() bool { return h.InFlight() == 0 })
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, a := range h.timers.heap {
		if a.request != nil {
			t.Error("the timer of an ended request is left")
		}
	}
}

// eventually waits until ok returns true.
func eventually(t *testing.T, what string, ok func() bool) {
	t.Helper()
	for until := time.Now().Add(patience); !ok(); time.Sleep(time.Millisecond) {
		if time.Now().After(until) {
			t.Fatal("waited in vain for " + what)
		}
	}
}

// If no server can be reached, the rejection is sent at once with a Retry-After, and not at the
// deadline.
func TestRejectionIsPrompt(t *testing.T) {
	ln := listen(t)
	addr := ln.Addr().String()
	ln.Close() // connections there are refused
	_, _, at := start(t, addr)
	c, err := net.Dial("tcp", at)
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	began := time.Now()
	resp := sendAndRead(t, c, bufio.NewReader(c), "POST /pay HTTP/1.1\r\nHost: a\r\nReq-Id: 1\r\nReq-Deadline-Ms: 19000\r\nContent-Length: 0")
	if resp.StatusCode != http.StatusServiceUnavailable || resp.Header.Get("Retry-After") == "" {
		t.Errorf("answered %s, Retry-After %q", resp.Status, resp.Header.Get("Retry-After"))
	}
	if took := time.Since(began); took > 10*time.Second {
		t.Errorf("rejected only after %v", took)
	}
}
