package upstream

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"martendrum"
	"martendrum/internal/netconn"
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

// A spoilt answer is a failed attempt that may have run, and nothing of it is shown.
func TestMalformedAnswers(t *testing.T) {
	for name, text := range map[string]string{
		"noise":             "\x00\x01\x02\xff\xfe\r\n\r\n",
		"no version":        "ICY 200 OK\r\nContent-Length: 3\r\n\r\nyes",
		"version 2":         "HTTP/2.0 200 OK\r\nContent-Length: 3\r\n\r\nyes",
		"status no number":  "HTTP/1.1 2x0 OK\r\nContent-Length: 3\r\n\r\nyes",
		"no colon":          "HTTP/1.1 200 OK\r\nno colon here\r\nContent-Length: 3\r\n\r\nyes",
		"head without end":  "HTTP/1.1 200 OK\r\n" + strings.Repeat("X-Pad: pppp\r\n", 1<<14),
		"two lengths":       "HTTP/1.1 200 OK\r\nContent-Length: 3\r\nContent-Length: 2\r\n\r\nyes",
		"both lengths":      "HTTP/1.1 200 OK\r\nContent-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nyes\r\n0\r\n\r\n",
		"negative length":   "HTTP/1.1 200 OK\r\nContent-Length: -1\r\n\r\nyes",
		"3 GB":              "HTTP/1.1 200 OK\r\nContent-Length: 3221225472\r\n\r\nyes",
		"chunks of no size": "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nabcde\r\nzz\r\n",
		"protocol switch":   "HTTP/1.1 101 Switching Protocols\r\n\r\n",
		"interim for ever":  strings.Repeat("HTTP/1.1 103 Early Hints\r\n\r\n", 40) + good,
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			addr := serve(t, func(_, _ int, c net.Conn) { io.WriteString(c, text) })
			p := newPool(addr)
			if e := ask(t, p); e.o != martendrum.Reset || e.ans != nil {
				t.Errorf("outcome %v with %v, want a reset with nothing", e.o, e.ans)
			}
			for n := 0; p.Conns() > 0; n++ {
				if n > 2000 {
					t.Fatal("the connection was kept")
				}
				time.Sleep(time.Millisecond)
			}
		})
	}
}

// A reset is no end: an answer without a length that is reset on the way, before, in or
// after its body, is a failed attempt that may have run.
func TestResetIsNoEnd(t *testing.T) {
	for _, body := range []string{"", "half", strings.Repeat("x", 8<<10)} {
		addr := serve(t, func(_, _ int, c net.Conn) {
			io.WriteString(c, "HTTP/1.1 200 OK\r\n\r\n"+body)
			c.(*net.TCPConn).SetLinger(0)
			c.Close()
		})
		if e := ask(t, newPool(addr)); e.o != martendrum.Reset || e.ans != nil {
			t.Errorf("%d bytes and a reset: outcome %v with %v", len(body), e.o, e.ans)
		}
	}
}

// A server that is removed and comes back under its name, started anew at another address,
// gets what is sent from then on; nothing goes on a connection to the one before.
func TestRestartUnderOneName(t *testing.T) {
	old, anew := make(chan struct{}, 10), make(chan struct{}, 10)
	tell := func(c chan struct{}) string {
		return serve(t, func(_, _ int, nc net.Conn) {
			c <- struct{}{}
			io.WriteString(nc, good)
		})
	}
	p := newPool(tell(old))
	p.minRest = 0
	ask(t, p)
	<-old
	eventually(t, "a kept connection", func() bool { return p.idles("s") == 1 })
	p.MarkDraining("s", true)
	if e := ask(t, p); e.o != martendrum.ConnectFailed {
		t.Errorf("with no server of that name: %v", e.o)
	}
	p.Serve("s", tell(anew), time.Second)
	for range 3 {
		if e := ask(t, p); e.o != martendrum.OK {
			t.Errorf("outcome %v", e.o)
		}
		<-anew
	}
	if len(old) > 0 {
		t.Error("the process that has gone was asked")
	}
}

// A good answer counts whatever else comes with it, and what follows it is never
// taken for the answer to the next request.
func TestBytesBeyondTheAnswer(t *testing.T) {
	for name, c := range map[string]struct{ ahead, behind string }{
		"second copy": {"", good},
		"noise":       {"", "\xff\xfe\x00noise"},
		"interim":     {"HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n", ""},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			addr := serve(t, func(conn, n int, nc net.Conn) {
				body := fmt.Sprintf("%d.%d", conn, n)
				text := fmt.Sprintf("%sHTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", c.ahead, len(body), body)
				io.WriteString(nc, text+c.behind)
			})
			p := newPool(addr)
			seen := make(map[string]bool)
			for n := range 20 {
				e := ask(t, p)
				if e.o != martendrum.OK || seen[string(e.ans.Body)] {
					t.Fatalf("answer %d: %v %v, want one of its own", n, e.o, e.ans)
				}
				seen[string(e.ans.Body)] = true
			}
		})
	}
}

// A connection rests after an answer: what still follows it must not pass for the
// next one. Once rested it is used again.
func TestRest(t *testing.T) {
	conns := make(chan int, 10)
	addr := serve(t, func(conn, _ int, c net.Conn) {
		conns <- conn
		io.WriteString(c, good)
	})
	p := newPool(addr)
	p.minRest = time.Hour
	for n := range 4 {
		if e := ask(t, p); e.o != martendrum.OK {
			t.Fatalf("request %d: %v", n, e.o)
		}
		if got := <-conns; got != n {
			t.Errorf("request %d went on connection %d, want a new one", n, got)
		}
	}
	p.minRest = 0
	for last, until := 4, time.Now().Add(patience); ; last++ {
		ask(t, p)
		if <-conns < last {
			break
		}
		if time.Now().After(until) {
			t.Fatal("rested connections are not used again")
		}
	}
}

func (p *Pool) idles(name string) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.servers[name].idle)
}

// An answer that stops short fails while there is time to repeat it.
func TestAnswerStopsShort(t *testing.T) {
	hold := make(chan struct{})
	addr := serve(t, func(_, _ int, c net.Conn) {
		io.WriteString(c, good[:len(good)-1])
		<-hold
	})
	defer close(hold)
	if e := ask(t, newPool(addr)); e.o != martendrum.Reset || e.ans != nil {
		t.Errorf("outcome %v with %v, want a reset", e.o, e.ans)
	}
}

// Where reused connections break at their next request, a request that can't be repeated gets a
// new one; where they hold, it does not.
func TestNonRepeatableUsesNewConnections(t *testing.T) {
	for _, breaks := range []bool{true, false} {
		conns := make(chan int, 10000)
		addr := serve(t, func(conn, n int, c net.Conn) {
			if n > 0 && breaks {
				c.(*net.TCPConn).SetLinger(0)
				c.Close()
				return
			}
			conns <- conn
			io.WriteString(c, good)
		})
		p := newPool(addr)
		p.minRest = 0
		until := time.Now().Add(patience)
		for p.share() <= maxBrokenFraction && breaks || p.idles("s") == 0 {
			if time.Now().After(until) {
				t.Fatal("no break was noticed, or no connection kept")
			}
			ask(t, p)
			time.Sleep(time.Millisecond) // its connection goes idle after the outcome
		}
		last := -1
		for len(conns) > 0 {
			last = max(last, <-conns)
		}
		if e := send(t, p, true); e.o != martendrum.OK {
			t.Fatalf("unrepeatable request: %v", e.o)
		}
		if got := <-conns; got > last != breaks {
			t.Errorf("breaks %v: went on connection %d of %d", breaks, got, last)
		}
	}
}

// Where reused connections are not trusted, new ones for requests that can't be repeated replace
// idle ones: a server accepts only so many, and idle ones would keep the new ones out.
func TestNewConnectionsTakeIdlePlaces(t *testing.T) {
	conns := make(chan int, 100)
	p := newPool(serve(t, func(conn, _ int, c net.Conn) {
		conns <- conn
		io.WriteString(c, good)
	}))
	p.minRest = 0
	p.brokenFraction = 1
	const rounds, limit = 10, 50
	kept := 0
	for n := 0; kept < rounds; n++ {
		if n == limit {
			t.Fatalf("of %d connections only %d were kept", limit, kept)
		}
		if e := send(t, p, true); e.o != martendrum.OK {
			t.Fatalf("request %d: %v", n, e.o)
		}
		if got := <-conns; got != n {
			t.Errorf("request %d went on connection %d, want a new one", n, got)
		}
		// An answer that is read before the sender has recorded the end of its write is good, but its
		// connection is not reused. Such a round shows nothing.
		eventually(t, "a kept connection, or none", func() bool { return p.idles("s") == 1 || p.Conns() == 0 })
		if p.Conns() == 0 {
			continue
		}
		kept++
		if got := p.Conns(); got != 1 {
			t.Fatalf("%d connections after request %d, want the last one's only", got, n)
		}
	}
}

func (p *Pool) share() float64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.brokenFraction
}

// Bytes that arrived on a reused connection before a request goes out on it are no answer to
// that request, also where the connection's goroutine has read them and not acted on them yet.
// The request goes out completely on another connection.
func TestUnsolicitedAnswerIsDropped(t *testing.T) {
	stray, wrote := make(chan struct{}), make(chan struct{})
	addr := serve(t, func(conn, _ int, c net.Conn) {
		io.WriteString(c, good)
		if conn == 0 {
			<-stray
			io.WriteString(c, strings.Replace(good, "yes", "no!", 1))
			close(wrote)
		}
	})
	p := newPool(addr)
	p.minRest = 0
	if e := ask(t, p); e.o != martendrum.OK {
		t.Fatal(e.o)
	}
	eventually(t, "an idle connection", func() bool { return p.idles("s") == 1 })
	p.mu.Lock()
	c := p.servers["s"].idle[0]
	close(stray)
	<-wrote
	eventually(t, "the stray answer to be read", func() bool { return tcp.Unread(t, c.Conn.(*net.TCPConn)) == 0 })
	// The connection is taken for the next request while its goroutine waits for the lock.
	s := make(sink, 1)
	a := attemptOf(s)
	a.pool, a.server, a.reused, a.startedAt = p, p.servers["s"], true, time.Now()
	p.servers["s"].idle = nil
	c.owner = a
	p.mu.Unlock()
	if a.send(c) {
		t.Error("the request went out behind a stray answer")
	}
	p.Start(a)
	select {
	case e := <-s:
		if e.o != martendrum.OK || string(e.ans.Body) != "yes" {
			t.Errorf("outcome %v with %v, want an answer of its own", e.o, e.ans)
		}
	case <-time.After(patience):
		t.Fatal("no outcome")
	}
}

// The same where the connection's goroutine acts first.
func TestUnsolicitedAnswerBeforeRequest(t *testing.T) {
	end := make(chan struct{})
	defer close(end)
	addr := tcp.Serve(t, func(_ int, c net.Conn) {
		io.WriteString(c, strings.Replace(good, "yes", "no!", 1))
		<-end
	})
	nc, err := net.Dial("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	p := newPool(addr)
	s := make(sink, 1)
	a := attemptOf(s)
	a.pool, a.server, a.reused, a.startedAt = p, p.servers["s"], true, time.Now()
	p.conns++
	c := &conn{Conn: nc, server: a.server, addr: addr, owner: a, input: netconn.NewLazy(nc)}
	c.read(p) // finds the stray answer, and returns
	if len(s) > 0 {
		e := <-s
		t.Errorf("outcome %v with %v for a request that was not sent", e.o, e.ans)
	}
	if a.send(c) {
		t.Error("the request went out behind a stray answer")
	}
	if n := p.Conns(); n != 0 {
		t.Errorf("%d connections are counted", n)
	}
}

// A server answered some requests twice, the second time 4 ms later. Connections rested for 3 ms,
// so that the duplicates were forwarded as the answers of the next requests, one after another,
// though unsolicited bytes on idle connections had been seen. Once a server has sent unsolicited
// bytes, its connections rest for longer than that.
func TestConnectionsRestLongerAfterUnsolicitedAnswer(t *testing.T) {
	for name, late := range map[string]bool{"right behind its answer": false, "on an idle connection": true} {
		t.Run(name, func(t *testing.T) {
			stray := make(chan struct{})
			var conns atomic.Int64
			p := newPool(serve(t, func(conn, n int, c net.Conn) {
				conns.Store(int64(conn))
				if conn > 0 || n > 0 {
					io.WriteString(c, good)
				} else if late {
					io.WriteString(c, good)
					<-stray
					io.WriteString(c, good)
				} else {
					io.WriteString(c, good+good)
				}
			}))
			p.minRest, p.unsolicitedRest = 0, patience
			ask(t, p)
			close(stray)
			eventually(t, "the end of the connection with the stray", func() bool { return p.Conns() == 0 })
			for n := range 3 {
				if e := ask(t, p); e.o != martendrum.OK {
					t.Fatal(e.o)
				}
				eventually(t, "idle connections", func() bool { return p.idles("s") == n+1 })
			}
			if n := conns.Load(); n != 3 {
				t.Errorf("the third request behind the stray came on connection %d: one had not rested", n)
			}
		})
	}
}

// An attempt whose time to leave is over does not go out, on whatever connection.
func TestOverdueAttemptIsNotSent(t *testing.T) {
	ran := make(chan struct{}, 10)
	p := newPool(serve(t, func(_, _ int, c net.Conn) {
		ran <- struct{}{}
		io.WriteString(c, good)
	}))
	p.minRest = 0
	for _, kept := range []int{0, 1} {
		eventually(t, "the connections", func() bool { return p.idles("s") == kept })
		s := make(sink, 1)
		a := attemptOf(s)
		a.Latest = time.Now()
		p.Start(a)
		select {
		case e := <-s:
			if e.o != martendrum.NotSent {
				t.Errorf("%d kept: outcome %v", kept, e.o)
			}
		case <-time.After(patience):
			t.Fatal("no outcome")
		}
		if len(ran) > 0 {
			t.Errorf("%d kept: it was sent", kept)
		}
		if ask(t, p).o != martendrum.OK { // leaves a reusable connection
			t.Error("a request in time failed")
		}
		<-ran
	}
}

func eventually(t *testing.T, what string, ok func() bool) {
	t.Helper()
	for until := time.Now().Add(patience); !ok(); time.Sleep(time.Millisecond) {
		if time.Now().After(until) {
			t.Fatal("waited in vain for " + what)
		}
	}
}

// Load reports that are no numbers change nothing.
func TestParseLoad(t *testing.T) {
	for text, want := range map[string]martendrum.LoadReport{
		"inflight=7,queue=2,util=0.61":    {HasInFlight: true, InFlight: 7, HasUtilization: true, Utilization: 0.61},
		"inflight=NaN,util=Inf":           {},
		"inflight=-3,util=-0.1":           {},
		"inflight=1e300":                  {},
		"inflight=,=,,,util":              {},
		"\x00\xff,inflight=4, util =0.5,": {HasInFlight: true, InFlight: 4},
	} {
		if got := ParseLoad(text); got != want {
			t.Errorf("%q: %+v, want %+v", text, got, want)
		}
	}
}

// A long answer that nobody reads, as a probe's or one that comes after its request's
// end, holds neither its goroutine nor its connection.
func TestUnreadRestFreesConnection(t *testing.T) {
	body := strings.Repeat("x", 1<<20)
	p := newPool(serve(t, func(_, _ int, c net.Conn) {
		fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
	}))
	if e := ask(t, p); e.o != martendrum.OK || e.ans.Rest == nil {
		t.Fatalf("outcome %v with %v, want one that still comes", e.o, e.ans)
	}
	for n := 0; p.Conns() > 0; n++ {
		if n > 2000 {
			t.Fatal("the connection was kept")
		}
		time.Sleep(time.Millisecond)
	}
}
