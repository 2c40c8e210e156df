package upstream

import (
	"io"
	"net"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"martendrum"
	"martendrum/internal/netconn"
	"martendrum/internal/standin/tcp"
)

// A connection rests after an answer, so that bytes that follow it are not taken for the next
// answer. After its rest it is reused.
func TestRest(t *testing.T) {
	conns := make(chan int, 10)
	addr := serve(t, func(conn, _ int, c net.Conn) {
		conns <- conn
		io.WriteString(c, goodAnswer)
	})
	p := newPool(addr)
	p.minRest = time.Hour
	for n := range 4 {
		if e := sendOne(t, p); e.outcome != martendrum.OK {
			t.Fatalf("request %d: %v", n, e.outcome)
		}
		if got := <-conns; got != n {
			t.Errorf("request %d went on connection %d, want a new one", n, got)
		}
	}
	p.minRest = 0
	for last, until := 4, time.Now().Add(patience); ; last++ {
		sendOne(t, p)
		if <-conns < last {
			break
		}
		if time.Now().After(until) {
			t.Fatal("rested connections are not used again")
		}
	}
}

// Bytes that arrived on a reused connection before a request goes out on it are no answer to
// that request, also where the connection's goroutine has read them and not acted on them yet.
// The request goes out completely on another connection.
func TestUnsolicitedAnswerIsDropped(t *testing.T) {
	accepted := make(chan net.Conn, maxSendsForIdle+1)
	addr := serve(t, func(_, _ int, c net.Conn) {
		io.WriteString(c, goodAnswer)
		accepted <- c
	})
	p := newPool(addr)
	p.minRest = 0
	var serverSide net.Conn // of the idle connection, which is the last one
	for range sendUntilIdle(t, p, 1) {
		serverSide = <-accepted
	}
	p.mu.Lock()
	c := p.servers["s"].idle[0]
	io.WriteString(serverSide, strings.Replace(goodAnswer, "yes", "no!", 1))
	eventually(t, "the stray answer to be read", func() bool { return tcp.Unread(t, c.Conn.(*net.TCPConn)) == 0 })
	// The connection is taken for the next request while its goroutine waits for the lock.
	s := make(resultSink, 1)
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
		if e.outcome != martendrum.OK || string(e.answer.Body) != "yes" {
			t.Errorf("outcome %v with %v, want an answer of its own", e.outcome, e.answer)
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
		io.WriteString(c, strings.Replace(goodAnswer, "yes", "no!", 1))
		<-end
	})
	nc, err := net.Dial("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	p := newPool(addr)
	s := make(resultSink, 1)
	a := attemptOf(s)
	a.pool, a.server, a.reused, a.startedAt = p, p.servers["s"], true, time.Now()
	p.conns++
	c := &conn{Conn: nc, server: a.server, addr: addr, owner: a, input: netconn.NewLazy(nc)}
	c.read(p) // finds the stray answer, and returns
	if len(s) > 0 {
		e := <-s
		t.Errorf("outcome %v with %v for a request that was not sent", e.outcome, e.answer)
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
			accepted := make(chan net.Conn, 2*maxSendsForIdle)
			var lastConn atomic.Int64
			p := newPool(serve(t, func(conn, n int, c net.Conn) {
				lastConn.Store(int64(conn))
				if conn == 0 && n == 0 && !late {
					io.WriteString(c, goodAnswer+goodAnswer)
				} else {
					io.WriteString(c, goodAnswer)
				}
				accepted <- c
			}))
			p.minRest, p.unsolicitedRest = 0, patience
			if late {
				var serverSide net.Conn // of the idle connection, which is the last one
				for range sendUntilIdle(t, p, 1) {
					serverSide = <-accepted
				}
				io.WriteString(serverSide, goodAnswer)
			} else {
				sendOne(t, p)
			}
			eventually(t, "the end of the connection with the stray", func() bool { return p.Conns() == 0 })
			connWithStray := lastConn.Load()
			sent := sendUntilIdle(t, p, 3)
			if n := lastConn.Load() - connWithStray; n != int64(sent) {
				t.Errorf("%d requests behind the stray came on %d connections: one had not rested", sent, n)
			}
		})
	}
}
