package upstream

import (
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"martendrum"
	"martendrum/internal/standin/tcp"
)

// patience is how long a test waits for an expected event.
const patience = 20 * time.Second

// result is what an attempt reported to its Sink.
type result struct {
	outcome martendrum.Outcome
	answer  *Answer
	report  martendrum.LoadReport
}

// resultSink receives the first result of an attempt.
type resultSink chan result

func (s resultSink) Done(outcome martendrum.Outcome, answer *Answer, report martendrum.LoadReport) {
	select {
	case s <- result{outcome, answer, report}:
	default: // later results are ignored
	}
}

// serve starts a server and returns its address. answer writes the answer to the n-th request of the
// connIndex-th connection, both counted from 0, to c.
func serve(t *testing.T, answer func(connIndex, n int, c net.Conn)) string {
	t.Helper()
	return tcp.Requests(t, func(connIndex, n int, c net.Conn, r *http.Request) bool {
		io.Copy(io.Discard, r.Body)
		answer(connIndex, n, c)
		return true
	})
}

// newPool returns a pool with one server, named s, at the address.
func newPool(addr string) *Pool {
	p := New(Config{ServerIdleTimeout: time.Minute, DialTimeout: patience, DrainGrace: patience, MaxConns: 20})
	p.SetServer("s", addr, 0)
	return p
}

// newAttempt returns an attempt of a small GET request to the server of newPool.
func newAttempt(sink Sink) *Attempt {
	return &Attempt{
		Request:  &Request{Method: "GET", Head: []byte("GET / HTTP/1.1\r\nHost: a\r\n")},
		Server:   "s",
		Deadline: time.Now().Add(patience),
		Sink:     sink,
	}
}

// sendOne makes one attempt of an idempotent request and returns its result.
func sendOne(t *testing.T, p *Pool) result { return sendAttempt(t, p, false) }

// sendAttempt makes one attempt and returns its result.
func sendAttempt(t *testing.T, p *Pool, nonRepeatable bool) result {
	t.Helper()
	sink := make(resultSink, 1)
	a := newAttempt(sink)
	a.NonRepeatable = nonRepeatable
	p.Start(a)
	select {
	case got := <-sink:
		return got
	case <-time.After(patience):
		t.Fatalf("the attempt reported no outcome within %v", patience)
	}
	return result{}
}

// maxSendsForIdle is the maximum number of requests that sendUntilIdle sends.
const maxSendsForIdle = 50

// sendUntilIdle sends requests until want connections are idle, and returns the number of requests sent. The
// test fails if a request is not answered.
//
// One request does not always lead to one idle connection: if the answer is read before the sender has
// recorded the end of its write, the answer is valid, but the connection is not reused.
func sendUntilIdle(t *testing.T, p *Pool, want int) (sent int) {
	t.Helper()
	for p.idleConns("s") < want {
		if sent == maxSendsForIdle {
			t.Fatalf("%d requests left %d connections idle, want %d", sent, p.idleConns("s"), want)
		}
		sent++
		if got := sendOne(t, p); got.outcome != martendrum.OK {
			t.Fatalf("request %d: got outcome %v, want %v", sent, got.outcome, martendrum.OK)
		}
		eventually(t, "the connection to be idle or closed", func() bool { return p.idleConns("s") == p.Conns() })
	}
	return sent
}

// goodAnswer is a complete answer.
const goodAnswer = "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nyes"

// idleConns returns the number of idle connections to a server.
func (p *Pool) idleConns(name string) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.servers[name].idle)
}

// currentBrokenFraction returns the running mean of the fraction of reused connections that broke.
func (p *Pool) currentBrokenFraction() float64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.brokenFraction
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
