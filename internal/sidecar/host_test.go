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

// start starts a sidecar with usualSettings and servers at the addresses. It returns the sidecar's Host,
// its client-facing server and the address of that.
func start(t testing.TB, addrs ...string) (*Host, *downstream.Server, string) {
	t.Helper()
	return startWith(t, usualSettings, addrs...)
}

// usualSettings has three classes: look is idempotent, pay is not, and book is idempotent by key.
const usualSettings = `{"replicasOfMe":1,"registryMode":"automatic",
		"caps":{"attemptsCap":3,"mayCancel":true,"secondCopies":true,"connIdleUs":30000000,"dialTimeoutUs":5000000,
			"mostHeld":100,"retryAfter":true,"maxRetryAfterUs":2000000},
		"guarantees":{"drainGraceUs":2000000,"coldFrom":1},
		"classes":[{"name":"look","promiseUs":20000000,"hardLimitUs":20000000,"effect":"repeatable"},
		{"name":"pay","promiseUs":20000000,"hardLimitUs":20000000,"effect":"once"},
		{"name":"book","promiseUs":20000000,"hardLimitUs":20000000,"effect":"by_key","repeatWindowUs":400000}]}`

// startWith is like start, but takes the settings as JSON.
func startWith(t testing.TB, settingsText string, addrs ...string) (*Host, *downstream.Server, string) {
	t.Helper()
	set, err := settings.Parse([]byte(settingsText))
	if err != nil {
		t.Fatalf("parsing the settings: %v", err)
	}
	pool := upstream.New(upstream.Config{ServerIdleTimeout: set.ConnIdle, DialTimeout: set.DialTimeout, DrainGrace: set.DrainGrace, MaxConns: 50})
	h, err := New(set, 1, pool, new(discovery.Watcher))
	if err != nil {
		t.Fatalf("creating the host: %v", err)
	}
	list := &discovery.List{Index: 1, Complete: true}
	for n, addr := range addrs {
		list.Entries = append(list.Entries, discovery.Entry{Endpoint: martendrum.Endpoint{Name: fmt.Sprint(n), CapacityHint: 1}, Address: addr})
	}
	h.ApplyServers(list)
	srv := downstream.New(downstream.Config{MaxConns: 100, MaxBody: 1 << 20}, h)
	metricSet := metrics.New()
	metricSet.SetClasses(set.ClassNames())
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
		t.Fatalf("opening a listener: %v", err)
	}
	t.Cleanup(func() { ln.Close() })
	return ln
}

// startSilentServer starts a server that accepts requests and never answers.
func startSilentServer(t *testing.T) string {
	return tcp.Serve(t, func(_ int, c net.Conn) { io.Copy(io.Discard, c) })
}

// sendAndRead sends a request without a body on a connection and returns the response, whose body has
// been read. br reads from the connection.
func sendAndRead(t *testing.T, c net.Conn, br *bufio.Reader, head string) *http.Response {
	t.Helper()
	c.SetDeadline(time.Now().Add(patience))
	io.WriteString(c, head+"\r\n\r\n")
	resp, err := http.ReadResponse(br, nil)
	if err != nil {
		t.Fatalf("reading the response: %v", err)
	}
	io.Copy(io.Discard, resp.Body)
	return resp
}

// Each request that no server answers gets one response by its deadline, and the Host keeps no state of
// it. A non-idempotent request is never rejected, since it may have been executed. The class limits the
// deadline of a client that states a very long one.
func TestUnansweredRequestsEndAtDeadline(t *testing.T) {
	h, _, addr := start(t, startSilentServer(t), startSilentServer(t), startSilentServer(t))
	c, err := net.Dial("tcp", addr)
	if err != nil {
		t.Fatalf("connecting to the sidecar: %v", err)
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
			t.Errorf("request %d: got status %s, want 502 for class pay (odd numbers) and any 5xx for class look", n, resp.Status)
		}
	}
	longWaiting, err := net.Dial("tcp", addr)
	if err != nil {
		t.Fatalf("connecting to the sidecar: %v", err)
	}
	io.WriteString(longWaiting, "GET /look HTTP/1.1\r\nHost: a\r\nReq-Id: far\r\nReq-Deadline-Ms: 2000000000\r\n\r\n")
	eventually(t, "the request to be in flight", func() bool { return h.InFlight() == 1 })
	h.mu.Lock()
	for _, request := range h.requests {
		if left := request.deadline - h.now(); left > 20*time.Second {
			t.Errorf("the time left for the request is %v, want at most the 20 s of its class", left)
		}
	}
	h.mu.Unlock()
	longWaiting.Close()
	eventually(t, "no request in flight", func() bool { return h.InFlight() == 0 })
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, remaining := range h.timers.heap {
		if remaining.request != nil {
			t.Error("the timer of an ended request is still in the queue")
		}
	}
}

// eventually waits until ok returns true, and ends the test if that takes longer than patience. what
// names the expected event.
func eventually(t *testing.T, what string, ok func() bool) {
	t.Helper()
	for until := time.Now().Add(patience); !ok(); time.Sleep(time.Millisecond) {
		if time.Now().After(until) {
			t.Fatalf("timed out after %v waiting for %s", patience, what)
		}
	}
}

// If no server can be reached, the request is rejected at once, with a Retry-After field, and not only
// at its deadline.
func TestRejectionIsPrompt(t *testing.T) {
	ln := listen(t)
	addr := ln.Addr().String()
	ln.Close() // connections there are refused
	_, _, at := start(t, addr)
	c, err := net.Dial("tcp", at)
	if err != nil {
		t.Fatalf("connecting to the sidecar: %v", err)
	}
	defer c.Close()
	began := time.Now()
	resp := sendAndRead(t, c, bufio.NewReader(c), "POST /pay HTTP/1.1\r\nHost: a\r\nReq-Id: 1\r\nReq-Deadline-Ms: 19000\r\nContent-Length: 0")
	if resp.StatusCode != http.StatusServiceUnavailable || resp.Header.Get("Retry-After") == "" {
		t.Errorf("got status %s, Retry-After %q; want 503 with a Retry-After", resp.Status, resp.Header.Get("Retry-After"))
	}
	if took := time.Since(began); took > 10*time.Second {
		t.Errorf("rejected after %v, want at most 10 s", took)
	}
}
