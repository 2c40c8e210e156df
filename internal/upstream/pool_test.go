package upstream

import (
	"io"
	"net"
	"testing"
	"time"

	"martendrum"
)

// If a server is removed, restarted at another address and listed again under the same name, the new
// process gets all requests from then on. None is sent on a connection to the previous process.
func TestRestartUnderOneName(t *testing.T) {
	oldRequests, newRequests := make(chan struct{}, 10), make(chan struct{}, 10)
	startReporting := func(requests chan struct{}) string {
		return serve(t, func(_, _ int, c net.Conn) {
			requests <- struct{}{}
			io.WriteString(c, goodAnswer)
		})
	}
	p := newPool(startReporting(oldRequests))
	p.minIdleTime = 0
	for range sendUntilIdle(t, p, 1) {
		<-oldRequests
	}
	p.MarkDraining("s", true)
	if got := sendOne(t, p); got.outcome != martendrum.ConnectFailed {
		t.Errorf("after the server's removal: got outcome %v, want %v", got.outcome, martendrum.ConnectFailed)
	}
	p.SetServer("s", startReporting(newRequests), time.Second)
	for range 3 {
		if got := sendOne(t, p); got.outcome != martendrum.OK {
			t.Errorf("after the restart: got outcome %v, want %v", got.outcome, martendrum.OK)
		}
		<-newRequests
	}
	if len(oldRequests) > 0 {
		t.Error("a request was sent to the previous process")
	}
}

// If reused connections break at their next request, a non-repeatable request is sent on a new connection.
// If they don't, it is sent on a reused one.
func TestNonRepeatableUsesNewConnections(t *testing.T) {
	for _, breaks := range []bool{true, false} {
		conns := make(chan int, 10000)
		addr := serve(t, func(connIndex, n int, c net.Conn) {
			if n > 0 && breaks {
				c.(*net.TCPConn).SetLinger(0)
				c.Close()
				return
			}
			conns <- connIndex
			io.WriteString(c, goodAnswer)
		})
		p := newPool(addr)
		p.minIdleTime = 0
		until := time.Now().Add(patience)
		for p.currentBrokenFraction() <= maxBrokenFraction && breaks || p.idleConns("s") == 0 {
			if time.Now().After(until) {
				t.Fatalf("after %v: fraction of broken connections %v, %d idle connections; want a fraction above %v if connections break, and an idle connection", patience, p.currentBrokenFraction(), p.idleConns("s"), maxBrokenFraction)
			}
			sendOne(t, p)
			time.Sleep(time.Millisecond) // the connection becomes idle only after the outcome is reported
		}
		last := -1
		for len(conns) > 0 {
			last = max(last, <-conns)
		}
		if got := sendAttempt(t, p, true); got.outcome != martendrum.OK {
			t.Fatalf("non-repeatable request: got outcome %v, want %v", got.outcome, martendrum.OK)
		}
		if got := <-conns; got > last != breaks {
			t.Errorf("reused connections break: %v: the request was sent on connection %d, the newest before it was %d; want a newer one if and only if they break", breaks, got, last)
		}
	}
}

// While reused connections break too often, each new connection for a non-repeatable request replaces an idle
// one: a server accepts a limited number of connections, and idle ones would use it up.
func TestNewConnectionsReplaceIdleOnes(t *testing.T) {
	conns := make(chan int, 100)
	p := newPool(serve(t, func(connIndex, _ int, c net.Conn) {
		conns <- connIndex
		io.WriteString(c, goodAnswer)
	}))
	p.minIdleTime = 0
	p.brokenFraction = 1
	const rounds, limit = 10, 50
	reusable := 0
	for n := 0; reusable < rounds; n++ {
		if n == limit {
			t.Fatalf("%d of %d connections became idle, want %d", reusable, limit, rounds)
		}
		if got := sendAttempt(t, p, true); got.outcome != martendrum.OK {
			t.Fatalf("request %d: got outcome %v, want %v", n, got.outcome, martendrum.OK)
		}
		if got := <-conns; got != n {
			t.Errorf("request %d was sent on connection %d, want a new one", n, got)
		}
		// If the answer is read before the sender has recorded the end of its write, the answer is
		// valid, but the connection is not reused. Such a round is not counted.
		eventually(t, "one idle connection or no connection", func() bool { return p.idleConns("s") == 1 || p.Conns() == 0 })
		if p.Conns() == 0 {
			continue
		}
		reusable++
		if got := p.Conns(); got != 1 {
			t.Fatalf("%d connections are open after request %d, want only that of the request", got, n)
		}
	}
}

// An attempt whose SendBefore has passed is not sent, neither on a new connection nor on a reused one.
func TestOverdueAttemptIsNotSent(t *testing.T) {
	executed := make(chan struct{}, 10)
	p := newPool(serve(t, func(_, _ int, c net.Conn) {
		executed <- struct{}{}
		io.WriteString(c, goodAnswer)
	}))
	p.minIdleTime = 0
	for _, idle := range []int{0, 1} {
		for range sendUntilIdle(t, p, idle) {
			<-executed
		}
		sink := make(resultSink, 1)
		a := newAttempt(sink)
		a.SendBefore = time.Now()
		p.Start(a)
		select {
		case got := <-sink:
			if got.outcome != martendrum.NotSent {
				t.Errorf("%d idle connections: got outcome %v, want %v", idle, got.outcome, martendrum.NotSent)
			}
		case <-time.After(patience):
			t.Fatalf("%d idle connections: the attempt reported no outcome within %v", idle, patience)
		}
		if len(executed) > 0 {
			t.Errorf("%d idle connections: the server got the overdue attempt, want it not sent", idle)
		}
		if got := sendOne(t, p); got.outcome != martendrum.OK {
			t.Errorf("%d idle connections: request that is not overdue: got outcome %v, want %v", idle, got.outcome, martendrum.OK)
		}
		<-executed
		eventually(t, "the connection to be idle or closed", func() bool { return p.idleConns("s") == p.Conns() })
	}
}
