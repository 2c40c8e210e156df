package downstream

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"runtime"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"martendrum/internal/standin/tcp"
	"martendrum/internal/upstream"
)

// eventually waits for what must come.
func eventually(t *testing.T, what string, ok func() bool) {
	t.Helper()
	for until := time.Now().Add(patience); !ok(); time.Sleep(time.Millisecond) {
		if time.Now().After(until) {
			t.Fatal("waited in vain for " + what)
		}
	}
}

// stuck is the one connection of s, when its request has begun to come in: made to look as
// if it had stood still for long.
func stuck(t *testing.T, s *Server) (c *conn) {
	t.Helper()
	eventually(t, "a request that comes in", func() bool {
		s.mu.Lock()
		defer s.mu.Unlock()
		for c = range s.conns {
			if c.state == stateReading {
				c.stateSince = c.stateSince.Add(-2 * stalledTimeout)
				return true
			}
		}
		return false
	})
	return c
}

// hooked runs a hook after each answer's write, before the server does anything else.
type hooked struct {
	*net.TCPConn
	wrote func(c *net.TCPConn)
}

func (h *hooked) Write(b []byte) (int, error) {
	n, err := h.TCPConn.Write(b)
	h.wrote(h.TCPConn)
	return n, err
}

// SyscallConn hooks the writes that don't wait as well.
func (h *hooked) SyscallConn() (syscall.RawConn, error) {
	raw, err := h.TCPConn.SyscallConn()
	return &hookedRaw{raw, h}, err
}

// hookedRaw runs the hook after each write.
type hookedRaw struct {
	syscall.RawConn
	conn *hooked
}

func (r *hookedRaw) Write(write func(fd uintptr) (done bool)) error {
	err := r.RawConn.Write(write)
	r.conn.wrote(r.conn.TCPConn)
	return err
}

// hookedListener hooks each connection that it accepts.
type hookedListener struct {
	net.Listener
	wrote func(c *net.TCPConn)
}

func (l *hookedListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &hooked{c.(*net.TCPConn), l.wrote}, nil
}

// An answer after which the connection closes reaches its client, and the connection ends
// without a reset, also where the client has sent more by then.
func TestAnswerSurvivesTrailingInput(t *testing.T) {
	for name, prepare := range map[string]func(s *Server) string{
		"the client closes": func(*Server) string { return "Connection: close\r\n" },
		"the sidecar stops": func(s *Server) string { s.Drain(true); return "" },
	} {
		t.Run(name, func(t *testing.T) {
			h := &handler{arrived: make(chan *Exchange, 100), disconnected: make(chan *Exchange, 100)}
			s := New(Config{MaxConns: 10, MaxBody: 1 << 20}, h)
			ln, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			defer ln.Close()
			more := make(chan struct{})
			go s.Serve(&hookedListener{ln, func(c *net.TCPConn) {
				close(more)
				eventually(t, "bytes behind the answer", func() bool { return tcp.Unread(t, c) > 0 })
			}})
			field := prepare(s)
			c, br := dial(t, ln.Addr().String(), strings.Replace(look("1"), "Host", field+"Host", 1))
			x := receive(t, h.arrived)
			go x.Reject(0)
			receive(t, more)
			io.WriteString(c, strings.Repeat("x", 100<<10)) // more than the reader takes at once
			eventually(t, "the connection's end", func() bool { return s.Conns() == 0 || tcp.Unread(t, c.(*net.TCPConn)) > 0 })
			if got := status(t, br); got != http.StatusServiceUnavailable {
				t.Errorf("the answer was %d", got)
			}
			if _, err := br.ReadByte(); !errors.Is(err, io.EOF) {
				t.Errorf("the connection ended with %v, want a plain end", err)
			}
			c.Close()
			eventually(t, "nothing left", func() bool { return s.Conns() == 0 })
		})
	}
}

// A request that has been read before its idle connection is closed is answered: exactly
// one of the two happens, whoever gets the lock first.
func TestRequestReadBeforeTheCloseIsServed(t *testing.T) {
	for _, how := range []string{"quiet", "evict"} {
		t.Run(how, func(t *testing.T) {
			s, h, addr := start(t, 10)
			c, br := dial(t, addr, look("1"))
			receive(t, h.arrived).Reject(0)
			status(t, br)
			eventually(t, "an idle connection", func() bool { return s.Busy() == 0 })
			var server *conn
			s.mu.Lock()
			for server = range s.conns {
			}
			io.WriteString(c, look("2"))
			// The reader has the bytes and waits for the lock.
			eventually(t, "the request to be read", func() bool { return tcp.Unread(t, server.netConn.(*net.TCPConn)) == 0 })
			var closed []*conn
			if how == "quiet" {
				closed = s.markClosed(stateIdle, 0)
			}
			s.mu.Unlock()
			for _, c := range closed {
				c.closeWrite()
			}
			if how == "evict" && s.evict() {
				t.Error("a connection with a request was evicted")
			}
			receive(t, h.arrived).Reject(0)
			if got := status(t, br); got != http.StatusServiceUnavailable {
				t.Errorf("the second answer was %d", got)
			}
		})
	}
}

// An idle connection that is closed accepts no further request and ends without a reset: what
// arrives during the close is discarded and not forwarded.
func TestRequestBehindTheCloseIsNotForwarded(t *testing.T) {
	s, h, addr := start(t, 10)
	c, br := dial(t, addr, look("1"))
	receive(t, h.arrived).Reject(0)
	status(t, br)
	eventually(t, "an idle connection", func() bool { return s.Busy() == 0 })
	s.mu.Lock()
	closed := s.markClosed(stateIdle, 0)
	s.mu.Unlock()
	if len(closed) != 1 {
		t.Fatalf("%d connections were closed", len(closed))
	}
	io.WriteString(c, look("2"))
	closed[0].closeWrite()
	if got := status(t, br); got != 0 {
		t.Errorf("the second request was answered %d", got)
	}
	c.Close()
	eventually(t, "nothing left", func() bool { return s.Conns() == 0 })
	if len(h.arrived) > 0 {
		t.Error("a request read after the close was forwarded")
	}
}

// Many incomplete heads do not keep new clients out: the oldest connection is evicted.
func TestIncompleteHeadsAreEvicted(t *testing.T) {
	const limit = 16
	s, h, addr := start(t, limit)
	for range limit {
		dial(t, addr, "GET /look HTTP/1.1\r\n")
	}
	eventually(t, "half heads on all connections", func() bool {
		s.mu.Lock()
		defer s.mu.Unlock()
		n := 0
		for c := range s.conns {
			if c.state == stateReading {
				n++
			}
		}
		return n >= limit-rejectionReserve(limit)
	})
	s.mu.Lock()
	for c := range s.conns {
		c.stateSince = c.stateSince.Add(-2 * silentTimeout)
	}
	s.mu.Unlock()
	for n := range 3 {
		_, br := dial(t, addr, look(fmt.Sprint(n)))
		receive(t, h.arrived).Reject(0)
		if got := status(t, br); got != http.StatusServiceUnavailable {
			t.Errorf("newcomer %d was answered %d", n, got)
		}
	}
}

// A connection that stops reading while a request arrives answers that request if it has
// arrived completely by then.
func TestCompleteRequestIsAnsweredWhenReadingStops(t *testing.T) {
	s, h, addr := start(t, 10)
	c, br := dial(t, addr, "GET /look HTTP/1.1\r\n")
	server := stuck(t, s)
	s.mu.Lock()
	io.WriteString(c, strings.TrimPrefix(look("1"), "GET /look HTTP/1.1\r\n"))
	// The reader takes the rest and waits for the lock to begin the request.
	eventually(t, "the rest to be read", func() bool { return tcp.Unread(t, server.netConn.(*net.TCPConn)) == 0 })
	s.mu.Unlock()
	evicted := s.evict()
	go func() {
		for x := range h.arrived {
			x.Reject(0)
		}
	}()
	defer close(h.arrived)
	if got := status(t, br); got != http.StatusServiceUnavailable {
		t.Errorf("evicted %v: answered %d", evicted, got)
	}
}

// Each answer is sent at once: the system buffers nothing that a close could discard.
func TestAnswersAreNotDelayed(t *testing.T) {
	s, _, addr := start(t, 10)
	dial(t, addr, "")
	eventually(t, "the connection", func() bool { return s.Conns() == 1 })
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.conns {
		raw, err := c.netConn.(*net.TCPConn).SyscallConn()
		if err != nil {
			t.Fatal(err)
		}
		raw.Control(func(fd uintptr) {
			if on, err := syscall.GetsockoptInt(int(fd), syscall.IPPROTO_TCP, syscall.TCP_NODELAY); err != nil || on == 0 {
				t.Errorf("TCP_NODELAY is %d, %v", on, err)
			}
		})
	}
}

// A connection that is given up while a body comes in slowly ends, however much more of it
// the client sends.
func TestAbandonedBodyEnds(t *testing.T) {
	s, _, addr := start(t, 10)
	c, _ := dial(t, addr, "POST /pay HTTP/1.1\r\nHost: a\r\nReq-Id: 1\r\nContent-Length: 60000\r\n\r\n")
	server := stuck(t, s)
	if !s.evict() {
		t.Fatal("nothing was given up")
	}
	// A read that had armed its own deadline before would go on with what comes.
	server.netConn.SetReadDeadline(time.Now().Add(patience))
	for range 500 { // far from the complete body and from its rate limit, which would end it too
		if _, err := c.Write([]byte("x")); err != nil {
			return // reset: it is closed
		}
		time.Sleep(time.Millisecond)
	}
	t.Error("the connection goes on")
}

// Clients that send much at once and go, and such that connect and go, leave nothing
// behind, whatever they send on a connection at rest.
func TestFloodsLeaveNothing(t *testing.T) {
	s, h, addr := start(t, 20)
	go func() {
		for x := range h.arrived {
			x.Reject(0)
			x.Release()
		}
	}()
	defer close(h.arrived)
	before := runtime.NumGoroutine()
	junk := strings.Repeat("junk\r\n", 1<<20) // 6 MiB
	var wg sync.WaitGroup
	for n := range 60 {
		wg.Go(func() {
			c, err := net.Dial("tcp", addr)
			if err != nil {
				t.Error(err)
				return
			}
			defer c.Close()
			c.SetDeadline(time.Now().Add(patience))
			switch n % 3 {
			case 0: // connects and goes
			case 1: // much at once
				io.WriteString(c, look(fmt.Sprint("f", n))+junk)
			case 2: // much on a connection at rest
				br := bufio.NewReader(c)
				io.WriteString(c, look(fmt.Sprint("f", n)))
				if resp, err := http.ReadResponse(br, nil); err == nil {
					io.Copy(io.Discard, resp.Body)
					io.WriteString(c, junk)
				}
			}
		})
	}
	wg.Wait()
	eventually(t, "no connection", func() bool { return s.Conns() == 0 })
	eventually(t, "no goroutine more than before", func() bool { return runtime.NumGoroutine() <= before })
	if held, _ := s.BodyBytes(); held != 0 {
		t.Errorf("%d bytes are held", held)
	}
	_, br := dial(t, addr, look("after"))
	if got := status(t, br); got != http.StatusServiceUnavailable {
		t.Errorf("who comes after was answered %d", got)
	}
}

// At the end of a process all open requests end in one moment, and one goroutine answered them
// in turn. A client that read nothing blocked it for 2 s, by which all other answers behind it
// were late. An answer must not wait for another client.
func TestSlowClientDelaysNoOther(t *testing.T) {
	_, h, addr := start(t, 100)
	dial(t, addr, look("1")) // reads nothing
	slow := receive(t, h.arrived)
	_, reader := dial(t, addr, look("2"))
	other := receive(t, h.arrived)
	began := time.Now()
	const more = 32 << 20 // than both sockets hold
	slow.Serve(&upstream.Answer{Body: make([]byte, more), Length: more})
	other.Reject(0)
	if got := status(t, reader); got != http.StatusServiceUnavailable {
		t.Errorf("the other client was answered %d", got)
	}
	if took := time.Since(began); took > writeTimeout/2 {
		t.Errorf("the other client was answered after %v", took)
	}
}

// A connection goes on after an answer that was taken slowly, also long after the time that
// writing it might have taken.
func TestConnectionGoesOnAfterASlowAnswer(t *testing.T) {
	_, h, addr := start(t, 100)
	c, reader := dial(t, addr, "POST /pay HTTP/1.1\r\nHost: a\r\nReq-Id: 1\r\nExpect: 100-continue\r\nContent-Length: 4\r\n\r\ncard")
	first := receive(t, h.arrived)
	const more = 32 << 20
	first.Serve(&upstream.Answer{Body: make([]byte, more), Length: more})
	if got := status(t, reader); got != http.StatusContinue {
		t.Fatalf("answered %d first", got)
	}
	if got := status(t, reader); got != http.StatusOK {
		t.Fatalf("answered %d", got)
	}
	time.Sleep(writeTimeout + 100*time.Millisecond) // any deadline that was left has passed
	io.WriteString(c, look("2"))
	receive(t, h.arrived).Reject(0)
	if got := status(t, reader); got != http.StatusServiceUnavailable {
		t.Errorf("the next request was answered %d", got)
	}
}
