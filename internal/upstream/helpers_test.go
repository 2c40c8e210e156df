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

// resultSink takes the first result of an attempt.
type resultSink chan result

func (s resultSink) Done(outcome martendrum.Outcome, answer *Answer, report martendrum.LoadReport) {
	select {
	case s <- result{outcome, answer, report}:
	default: // only the first counts
	}
}

// serve starts a server; answer answers the n-th request on a connection.
func serve(t *testing.T, answer func(conn, n int, c net.Conn)) string {
	t.Helper()
	return tcp.Requests(t, func(conn, n int, c net.Conn, r *http.Request) bool {
		io.Copy(io.Discard, r.Body)
		answer(conn, n, c)
		return true
	})
}

// newPool returns a pool with one server, "s".
func newPool(addr string) *Pool {
	p := New(Config{ServerIdleTimeout: time.Minute, DialTimeout: patience, DrainGrace: patience, MaxConns: 20})
	p.Serve("s", addr, 0)
	return p
}

// attemptOf returns an attempt to send a small GET request to the server.
func attemptOf(s Sink) *Attempt {
	return &Attempt{
		Request:  &Request{Method: "GET", Head: []byte("GET / HTTP/1.1\r\nHost: a\r\n")},
		Server:   "s",
		Deadline: time.Now().Add(patience),
		Sink:     s,
	}
}

// sendOne makes one attempt of an idempotent request and returns its result.
func sendOne(t *testing.T, p *Pool) result { return sendAttempt(t, p, false) }

// sendAttempt makes one attempt and returns its result; once says that it must not be repeated.
func sendAttempt(t *testing.T, p *Pool, once bool) result {
	t.Helper()
	s := make(resultSink, 1)
	a := attemptOf(s)
	a.NonRepeatable = once
	p.Start(a)
	select {
	case e := <-s:
		return e
	case <-time.After(patience):
		t.Fatal("no outcome")
	}
	return result{}
}

// maxSendsForIdle bounds the requests that sendUntilIdle makes.
const maxSendsForIdle = 50

// sendUntilIdle makes requests until so many connections are idle, and returns their number. Each
// has to be answered.
//
// One request is not always enough for one idle connection: an answer that is read before the
// sender has recorded the end of its write is good, but its connection is not reused.
func sendUntilIdle(t *testing.T, p *Pool, want int) (sent int) {
	t.Helper()
	for p.idleConns("s") < want {
		if sent == maxSendsForIdle {
			t.Fatalf("after %d requests %d connections are idle, want %d", sent, p.idleConns("s"), want)
		}
		sent++
		if e := sendOne(t, p); e.outcome != martendrum.OK {
			t.Fatalf("request %d: %v", sent, e.outcome)
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

// currentBrokenFraction returns the running share of reused connections that broke.
func (p *Pool) currentBrokenFraction() float64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.brokenFraction
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
