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
)

// The story. A deployment's requests may take longer than 3 s. The supervisor tells a
// sidecar to end (SIGTERM) and kills it 3.7 s later: it counts the longest deadline as 3 s
// at most, and adds 0.7 s. Some servers hang just then. The sidecar plans its end by its
// own longest deadline, which is later than the kill; requests that wait for a server that
// hangs are still open when the kill comes, and their clients see a reset.

const (
	// supervisorCountsMost and supervisorGrace are when a supervisor kills at the earliest.
	supervisorCountsMost = 3 * time.Second
	supervisorGrace      = 700 * time.Millisecond
)

// earliestKill is how long after SIGTERM a process may be killed at the earliest.
func earliestKill(longest time.Duration) time.Duration {
	return min(longest, supervisorCountsMost) + supervisorGrace
}

// finalAnswer sends one request on a connection and returns the status of its answer.
func finalAnswer(c net.Conn, r *bufio.Reader, id, path string) (int, error) {
	if _, err := fmt.Fprintf(c, "POST %s HTTP/1.1\r\nHost: a\r\nReq-Id: %s\r\nContent-Length: 4\r\n\r\ncard", path, id); err != nil {
		return 0, err
	}
	response, err := http.ReadResponse(r, nil)
	if err != nil {
		return 0, err
	}
	_, err = io.Copy(io.Discard, response.Body)
	return response.StatusCode, err
}

// Servers hang through the whole of a stop, and the kill comes at its earliest: every
// request that was passed on has its answer by then, however long its class may wait.
func TestEarliestKillFindsNothingOpen(t *testing.T) {
	for _, longest := range []time.Duration{500 * time.Millisecond, 2800 * time.Millisecond, 5 * time.Second, 20 * time.Second} {
		t.Run(longest.String(), func(t *testing.T) {
			t.Parallel()
			testEarliestKill(t, longest)
		})
	}
}

func testEarliestKill(t *testing.T, longest time.Duration) {
	var mu sync.Mutex
	passedOn := make(map[string]bool)
	let := make(chan struct{})
	s := newShopBefore(t, func(_ http.ResponseWriter, r *http.Request) {
		mu.Lock()
		passedOn[r.Header.Get("Req-Id")] = true
		mu.Unlock()
		<-let
	}, 256, `"promiseUs":20000000,"hardLimitUs":20000000`, fmt.Sprintf(`"promiseUs":400000,"hardLimitUs":%d`, longest.Microseconds()))
	t.Cleanup(func() { close(let) })
	wasPassedOn := func(id string) bool {
		mu.Lock()
		defer mu.Unlock()
		return passedOn[id]
	}
	p := s.running()
	var clients sync.WaitGroup
	client := func(name string) {
		c, err := net.Dial("tcp", s.listen)
		if err != nil {
			return // nobody listens any more
		}
		defer c.Close()
		c.SetDeadline(time.Now().Add(patience))
		reader := bufio.NewReader(c)
		for n := 0; ; n++ {
			id := fmt.Sprint(name, "-", n)
			if _, err := finalAnswer(c, reader, id, "/pay"); err != nil {
				if wasPassedOn(id) {
					t.Errorf("request %s was passed on and got no answer: %v", id, err)
				}
				return
			}
		}
	}
	for n := range 6 {
		clients.Go(func() { client(fmt.Sprint("before", n)) })
	}
	eventually(t, "requests at the server", func() bool {
		mu.Lock()
		defer mu.Unlock()
		return len(passedOn) >= 6
	})
	stopAt := time.Now()
	p.Process.Signal(syscall.SIGTERM)
	for n := range 6 { // new connections go on coming for a while
		time.Sleep(60 * time.Millisecond)
		clients.Go(func() { client(fmt.Sprint("after", n)) })
	}
	select {
	case <-p.done:
		p.done <- nil
	case <-time.After(time.Until(stopAt.Add(earliestKill(longest)))):
		t.Errorf("the process is still there %v after SIGTERM", time.Since(stopAt))
		p.Process.Kill()
	}
	clients.Wait()
	if !strings.Contains(p.log.String(), "stopping") {
		t.Error("the process was not told to end: the test shows nothing")
	}
}
