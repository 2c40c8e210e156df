package upstream

import (
	"io"
	"net"
	"testing"
	"time"

	"martendrum"
)

// A server that is removed and listed again under its name, restarted at another address, gets
// all requests from then on. None goes on a connection to the previous process.
func TestRestartUnderOneName(t *testing.T) {
	old, restarted := make(chan struct{}, 10), make(chan struct{}, 10)
	reporting := func(c chan struct{}) string {
		return serve(t, func(_, _ int, nc net.Conn) {
			c <- struct{}{}
			io.WriteString(nc, goodAnswer)
		})
	}
	p := newPool(reporting(old))
	p.minRest = 0
	for range sendUntilIdle(t, p, 1) {
		<-old
	}
	p.MarkDraining("s", true)
	if e := sendOne(t, p); e.outcome != martendrum.ConnectFailed {
		t.Errorf("with no server of that name: %v", e.outcome)
	}
	p.Serve("s", reporting(restarted), time.Second)
	for range 3 {
		if e := sendOne(t, p); e.outcome != martendrum.OK {
			t.Errorf("outcome %v", e.outcome)
		}
		<-restarted
	}
	if len(old) > 0 {
		t.Error("the previous process got a request")
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
			io.WriteString(c, goodAnswer)
		})
		p := newPool(addr)
		p.minRest = 0
		until := time.Now().Add(patience)
		for p.currentBrokenFraction() <= maxBrokenFraction && breaks || p.idleConns("s") == 0 {
			if time.Now().After(until) {
				t.Fatal("no break was noticed, or no connection is idle")
			}
			sendOne(t, p)
			time.Sleep(time.Millisecond) // its connection goes idle after the outcome
		}
		last := -1
		for len(conns) > 0 {
			last = max(last, <-conns)
		}
		if e := sendAttempt(t, p, true); e.outcome != martendrum.OK {
			t.Fatalf("unrepeatable request: %v", e.outcome)
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
		io.WriteString(c, goodAnswer)
	}))
	p.minRest = 0
	p.brokenFraction = 1
	const rounds, limit = 10, 50
	reusable := 0
	for n := 0; reusable < rounds; n++ {
		if n == limit {
			t.Fatalf("of %d connections only %d were reused", limit, reusable)
		}
		if e := sendAttempt(t, p, true); e.outcome != martendrum.OK {
			t.Fatalf("request %d: %v", n, e.outcome)
		}
		if got := <-conns; got != n {
			t.Errorf("request %d went on connection %d, want a new one", n, got)
		}
		// An answer that is read before the sender has recorded the end of its write is good, but its
		// connection is not reused. Such a round shows nothing.
		eventually(t, "an idle connection, or none", func() bool { return p.idleConns("s") == 1 || p.Conns() == 0 })
		if p.Conns() == 0 {
			continue
		}
		reusable++
		if got := p.Conns(); got != 1 {
			t.Fatalf("%d connections after request %d, want the last one's only", got, n)
		}
	}
}

// An attempt that is past its latest time to be sent is not sent, on a new or a reused connection.
func TestOverdueAttemptIsNotSent(t *testing.T) {
	ran := make(chan struct{}, 10)
	p := newPool(serve(t, func(_, _ int, c net.Conn) {
		ran <- struct{}{}
		io.WriteString(c, goodAnswer)
	}))
	p.minRest = 0
	for _, idle := range []int{0, 1} {
		for range sendUntilIdle(t, p, idle) {
			<-ran
		}
		s := make(resultSink, 1)
		a := attemptOf(s)
		a.SendBefore = time.Now()
		p.Start(a)
		select {
		case e := <-s:
			if e.outcome != martendrum.NotSent {
				t.Errorf("%d idle connections: outcome %v", idle, e.outcome)
			}
		case <-time.After(patience):
			t.Fatal("no outcome")
		}
		if len(ran) > 0 {
			t.Errorf("%d idle connections: it was sent", idle)
		}
		if sendOne(t, p).outcome != martendrum.OK {
			t.Error("a request in time failed")
		}
		<-ran
		eventually(t, "the connection to be idle or closed", func() bool { return p.idleConns("s") == p.Conns() })
	}
}
