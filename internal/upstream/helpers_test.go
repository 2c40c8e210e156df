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

// patience is how long a test waits for what must come.
const patience = 20 * time.Second

type ending struct {
	o   martendrum.Outcome
	ans *Answer
	rep martendrum.LoadReport
}

type sink chan ending

func (s sink) Done(o martendrum.Outcome, ans *Answer, rep martendrum.LoadReport) {
	select {
	case s <- ending{o, ans, rep}:
	default: // only the first counts
	}
}

// serve answers the n-th request on any of its connections with what answer says.
func serve(t *testing.T, answer func(conn, n int, c net.Conn)) string {
	t.Helper()
	return tcp.Requests(t, func(conn, n int, c net.Conn, r *http.Request) bool {
		io.Copy(io.Discard, r.Body)
		answer(conn, n, c)
		return true
	})
}

func newPool(addr string) *Pool {
	p := New(Config{ConnIdle: time.Minute, DialTimeout: patience, DrainGrace: patience, MaxConns: 20})
	p.Serve("s", addr, 0)
	return p
}

func attemptOf(s Sink) *Attempt {
	return &Attempt{
		Request:  &Request{Method: "GET", Head: []byte("GET / HTTP/1.1\r\nHost: a\r\n")},
		Server:   "s",
		Deadline: time.Now().Add(patience),
		Sink:     s,
	}
}

func ask(t *testing.T, p *Pool) ending { return send(t, p, false) }

func send(t *testing.T, p *Pool, once bool) ending {
	t.Helper()
	s := make(sink, 1)
	a := attemptOf(s)
	a.Once = once
	p.Start(a)
	select {
	case e := <-s:
		return e
	case <-time.After(patience):
		t.Fatal("no outcome")
	}
	return ending{}
}

const good = "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nyes"

func (p *Pool) idles(name string) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.servers[name].idle)
}

func (p *Pool) share() float64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.brokenFraction
}

func eventually(t *testing.T, what string, ok func() bool) {
	t.Helper()
	for until := time.Now().Add(patience); !ok(); time.Sleep(time.Millisecond) {
		if time.Now().After(until) {
			t.Fatal("waited in vain for " + what)
		}
	}
}
