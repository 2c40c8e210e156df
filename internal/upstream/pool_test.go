package upstream

import (
	"io"
	"net"
	"testing"
	"time"

	"martendrum"
)

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
