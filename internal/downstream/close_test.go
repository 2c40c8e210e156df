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

// eventually waits until ok returns true.
func eventually(t *testing.T, what string, ok func() bool) {
	t.Helper()
	for until := time.Now().Add(patience); !ok(); time.Sleep(time.Millisecond) {
		if time.Now().After(until) {
			t.Fatal("waited in vain for " + what)
		}
	}
}

// stalledConn waits until the head of a request has begun to arrive on the one connection of s, sets
// the connection's state back in time as if it had stalled, and returns it.
func stalledConn(t *testing.T, s *Server) (c *conn) {
	t.Helper()
	eventually(t, "a part of a request", func() bool {
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

// hookedConn runs a hook after each answer's write, before the server does anything else.
type hookedConn struct {
	*net.TCPConn
	afterWrite func(c *net.TCPConn)
}

func (h *hookedConn) Write(b []byte) (int, error) {
	n, err := h.TCPConn.Write(b)
	h.afterWrite(h.TCPConn)
	return n, err
}

// SyscallConn also hooks the writes that don't block.
func (h *hookedConn) SyscallConn() (syscall.RawConn, error) {
	raw, err := h.TCPConn.SyscallConn()
	return &hookedRaw{raw, h}, err
}

// hookedRaw runs the hook after each write.
type hookedRaw struct {
	syscall.RawConn
	conn *hookedConn
}

func (r *hookedRaw) Write(write func(fd uintptr) (done bool)) error {
	err := r.RawConn.Write(write)
	r.conn.afterWrite(r.conn.TCPConn)
	return err
}

// hookedListener hooks each connection that it accepts.
type hookedListener struct {
	net.Listener
	afterWrite func(c *net.TCPConn)
}

func (l *hookedListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &hookedConn{c.(*net.TCPConn), l.afterWrite}, nil
}

// An answer after which the connection is closed reaches its client, and the connection ends without
// a reset, even if the client has sent more by then.
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
			eventually(t, "no connection", func() bool { return s.Conns() == 0 })
		})
	}
}

// A request that has been read before its idle connection is closed is answered: either the request
// or the close happens, depending on which goroutine gets the lock first.
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
	eventually(t, "no connection", func() bool { return s.Conns() == 0 })
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
	eventually(t, "incomplete heads on all connections", func() bool {
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
			t.Errorf("new client %d was answered %d", n, got)
		}
	}
}

// A connection that stops reading while a request arrives answers that request if it has
// arrived completely by then.
func TestCompleteRequestIsAnsweredWhenReadingStops(t *testing.T) {
	s, h, addr := start(t, 10)
	c, br := dial(t, addr, "GET /look HTTP/1.1\r\n")
	server := stalledConn(t, s)
	s.mu.Lock()
	io.WriteString(c, strings.TrimPrefix(look("1"), "GET /look HTTP/1.1\r\n"))
	// The reader has read the rest and waits for the lock to begin the request.
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

// A connection that is evicted while a body arrives slowly ends, however much more of it the client
// sends.
func TestAbandonedBodyEnds(t *testing.T) {
	s, _, addr := start(t, 10)
	c, _ := dial(t, addr, "POST /pay HTTP/1.1\r\nHost: a\r\nReq-Id: 1\r\nContent-Length: 60000\r\n\r\n")
	server := stalledConn(t, s)
	if !s.evict() {
		t.Fatal("no connection was evicted")
	}
	// As if a read had set its own deadline just before the eviction.
	server.netConn.SetReadDeadline(time.Now().Add(patience))
	for range 500 { // far from the complete body and from its rate limit, which would end it too
		if _, err := c.Write([]byte("x")); err != nil {
			return // reset: the connection is closed
		}
		time.Sleep(time.Millisecond)
	}
	t.Error("the connection stays open")
}

// Clients that connect and disconnect, or send much at once or on an idle connection, leave no
// connection, goroutine or buffered byte behind.
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
			case 0: // connects and disconnects
			case 1: // much at once
				io.WriteString(c, look(fmt.Sprint("f", n))+junk)
			case 2: // much on an idle connection
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
	eventually(t, "the goroutines of the connections to end", func() bool { return runtime.NumGoroutine() <= before })
	if buffered, _ := s.BodyBytes(); buffered != 0 {
		t.Errorf("%d bytes of bodies are buffered", buffered)
	}
	_, br := dial(t, addr, look("after"))
	if got := status(t, br); got != http.StatusServiceUnavailable {
		t.Errorf("a later client was answered %d", got)
	}
}

// An answer does not wait for another client. At the end of a process one goroutine answers all open
// requests; a client that read nothing once blocked it for 2 s and made all other answers late.
func TestSlowClientDelaysNoOther(t *testing.T) {
	_, h, addr := start(t, 100)
	dial(t, addr, look("1")) // reads nothing
	slow := receive(t, h.arrived)
	_, reader := dial(t, addr, look("2"))
	other := receive(t, h.arrived)
	began := time.Now()
	const more = 32 << 20 // exceeds the buffers of both sockets
	slow.Serve(&upstream.Answer{Body: make([]byte, more), Length: more})
	other.Reject(0)
	if got := status(t, reader); got != http.StatusServiceUnavailable {
		t.Errorf("the other client was answered %d", got)
	}
	if took := time.Since(began); took > writeTimeout/2 {
		t.Errorf("the other client was answered after %v", took)
	}
}

// A connection stays usable after an answer that its client read slowly, even long after the write
// timeout of that answer.
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
