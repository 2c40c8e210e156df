package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"martendrum/internal/soak"
)

// The tests of this file guard against requests that are still open when the supervisor kills a
// stopping sidecar. The supervisor kills it after its longest deadline, counted as 3 s at most, and
// 0.7 s more: 3.7 s after SIGTERM if the deadline is longer than 3 s. The sidecar used to plan its
// shutdown by its longest deadline without the maximum, and thus to end after the kill. Requests
// that waited for a hanging server were then still open at the kill, and their clients saw a reset.
//
// This happened in two recorded runs with longest deadlines of 3.406 and 3.831 s. In their logs,
// `stopping` follows SIGTERM within some ms and plans the last answer 3.706 and 4.131 s after it.
// The kill came after 3.70 s, with one request open in each run. These requests had arrived 0.97
// and 1.51 s after SIGTERM, each as the first one on a connection that had been accepted at the
// time of the signal and had sent nothing until then.

// writePost writes a POST request with a small body.
func writePost(w io.Writer, id, path string) error {
	_, err := fmt.Fprintf(w, "POST %s HTTP/1.1\r\nHost: a\r\nReq-Id: %s\r\nContent-Length: 4\r\n\r\ncard", path, id)
	return err
}

// postAndRead sends one request on c and returns the status of the answer, which it reads from r.
func postAndRead(c net.Conn, r *bufio.Reader, id, path string) (int, error) {
	if err := writePost(c, id, path); err != nil {
		return 0, err
	}
	response, err := http.ReadResponse(r, nil)
	if err != nil {
		return 0, err
	}
	_, err = io.Copy(io.Discard, response.Body)
	return response.StatusCode, err
}

// hangingServer is a server that records the requests that it receives and answers none of them until
// release is closed.
type hangingServer struct {
	release chan struct{}

	mu       sync.Mutex      // guards requests
	requests map[string]bool // ids of the requests received
}

// serve is the http.HandlerFunc of the server.
func (s *hangingServer) serve(_ http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	s.requests[r.Header.Get("Req-Id")] = true
	s.mu.Unlock()
	<-s.release
}

// received reports whether the server has received the request with the given id.
func (s *hangingServer) received(id string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.requests[id]
}

// count returns the number of requests received.
func (s *hangingServer) count() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.requests)
}

// TestEarliestKillFindsNothingOpen checks that no request is open when a stopping sidecar is killed
// at the earliest time, although its server hangs throughout the shutdown: every request that the
// server received has been answered by then, however long the deadline of its class is.
func TestEarliestKillFindsNothingOpen(t *testing.T) {
	for _, longest := range []time.Duration{500 * time.Millisecond, 2800 * time.Millisecond, 5 * time.Second, 20 * time.Second} {
		t.Run(longest.String(), func(t *testing.T) {
			t.Parallel()
			testEarliestKill(t, longest)
		})
	}
}

// testEarliestKill runs TestEarliestKillFindsNothingOpen with one longest deadline.
func testEarliestKill(t *testing.T, longest time.Duration) {
	server := &hangingServer{release: make(chan struct{}), requests: make(map[string]bool)}
	f := newFixtureWithServer(t, server.serve, 256,
		`"promiseUs":20000000,"hardLimitUs":20000000`, fmt.Sprintf(`"promiseUs":400000,"hardLimitUs":%d`, longest.Microseconds()))
	t.Cleanup(func() { close(server.release) })
	p := f.startReadyProcess()
	var clients sync.WaitGroup
	for n := range 6 {
		clients.Go(func() { sendUntilBroken(t, f.listen, fmt.Sprint("before", n), server) })
	}
	eventually(t, "6 requests at the server", func() bool { return server.count() >= 6 })
	terminated := time.Now()
	p.Process.Signal(syscall.SIGTERM)
	for n := range 6 { // clients continue to connect for a while
		time.Sleep(60 * time.Millisecond)
		clients.Go(func() { sendUntilBroken(t, f.listen, fmt.Sprint("after", n), server) })
	}
	select {
	case <-p.exited:
		p.exited <- nil
	case <-time.After(time.Until(terminated.Add(soak.EarliestKill(longest)))):
		t.Errorf("the process still runs %v after SIGTERM, want it to exit within %v, before it may be killed", time.Since(terminated), soak.EarliestKill(longest))
		p.Process.Kill()
	}
	clients.Wait()
	if !strings.Contains(p.log.String(), "stopping") {
		t.Error("the log has no message \"stopping\", want one: the test did not cover a graceful shutdown")
	}
}

// sendUntilBroken sends requests on one connection until it is closed or reset. It fails the test
// if the server received a request that is not answered.
func sendUntilBroken(t *testing.T, addr, name string, server *hangingServer) {
	c, err := net.Dial("tcp", addr)
	if err != nil {
		return // the process has stopped accepting
	}
	defer c.Close()
	c.SetDeadline(time.Now().Add(eventTimeout))
	reader := bufio.NewReader(c)
	for n := 0; ; n++ {
		id := fmt.Sprint(name, "-", n)
		if _, err := postAndRead(c, reader, id, "/pay"); err != nil {
			if server.received(id) {
				t.Errorf("request %s was received by the server and got no answer: %v", id, err)
			}
			return
		}
	}
}

// TestStopLimitsAccepting checks that a stopping process, which a hanging server keeps busy, stops
// accepting connections after the time that its plan leaves for new clients, and closes connections
// on which no request has arrived. Otherwise requests could arrive too late to be answered before
// the exit.
func TestStopLimitsAccepting(t *testing.T) {
	received := make(chan string, 100)
	release := make(chan struct{})
	f := newFixtureWithServer(t, func(_ http.ResponseWriter, r *http.Request) {
		received <- r.Header.Get("Req-Id")
		<-release
	}, 256, `"promiseUs":20000000,"hardLimitUs":20000000`, `"promiseUs":400000,"hardLimitUs":2800000`)
	t.Cleanup(func() { close(release) })
	p := f.startReadyProcess()
	busy, err := net.Dial("tcp", f.listen)
	if err != nil {
		t.Fatal(err)
	}
	defer busy.Close()
	go postAndRead(busy, bufio.NewReader(busy), "busy", "/pay")
	if id := <-received; id != "busy" {
		t.Fatalf("the server received request %s, want busy", id)
	}
	silent, err := net.Dial("tcp", f.listen)
	if err != nil {
		t.Fatal(err)
	}
	defer silent.Close()
	p.Process.Signal(syscall.SIGTERM)
	eventually(t, "the process to stop accepting", func() bool {
		c, err := net.Dial("tcp", f.listen)
		if err == nil {
			c.Close()
		}
		return err != nil
	})
	select {
	case <-p.exited:
		t.Fatal("the process exited while a request was open, so that the test can't check its other connections")
	default:
	}
	silent.SetDeadline(time.Now().Add(eventTimeout))
	reader := bufio.NewReader(silent)
	if _, err := reader.Peek(1); err != io.EOF {
		t.Errorf("read from a connection without a request: got error %v, want EOF", err)
	}
	postAndRead(silent, reader, "late", "/pay")
	if err := p.waitExit(t); err != nil {
		t.Errorf("exit after SIGTERM: got %v, want status 0", err)
	}
	select {
	case id := <-received:
		t.Errorf("request %s, sent after the close of its connection, was forwarded to the server", id)
	default:
	}
}
