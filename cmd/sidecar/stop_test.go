package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"
)

// TestStopOnIdleConnections checks that a stopping sidecar either answers a request or closes the
// connection before any part of the request was forwarded. After SIGTERM, clients continue to send
// on every open connection, and on new ones until no process accepts them, which is longer than
// the clients in production do.
func TestStopOnIdleConnections(t *testing.T) {
	var executed sync.Map // ids of the requests that reached the server
	f := newFixtureWithServer(t, func(w http.ResponseWriter, r *http.Request) {
		executed.Store(r.Header.Get("Req-Id"), true)
		io.WriteString(w, "one")
	}, 256)
	p := f.startReadyProcess()
	var clients sync.WaitGroup
	var answered atomic.Int64
	for n := range 8 {
		clients.Go(func() {
			c := &http.Client{Timeout: eventTimeout, Transport: &http.Transport{MaxConnsPerHost: 1}}
			defer c.CloseIdleConnections()
			for i := 0; ; i++ {
				id := fmt.Sprintf("k%d-%d", n, i)
				r, err := http.NewRequest(http.MethodPost, "http://"+f.listen+"/pay", strings.NewReader("card"))
				if err != nil {
					t.Error(err)
					return
				}
				r.GetBody = nil // so that the client does not retry by itself
				r.Header.Set("Req-Id", id)
				resp, err := c.Do(r)
				if err == nil {
					_, err = io.Copy(io.Discard, resp.Body)
					resp.Body.Close()
				}
				if err != nil {
					if _, reached := executed.Load(id); reached {
						t.Errorf("request %s was executed and not answered: %v", id, err)
					}
					return // the connection is closed, and no process listens any more
				}
				answered.Add(1)
			}
		})
	}
	eventually(t, "more than 100 answers", func() bool { return answered.Load() > 100 })
	before := answered.Load()
	p.Process.Signal(syscall.SIGTERM)
	clients.Wait()
	if err := p.waitExit(t); err != nil {
		t.Errorf("exit after SIGTERM: got %v, want status 0", err)
	}
	if answered.Load() == before {
		t.Error("got no answer after SIGTERM, want some: the test did not cover requests during the shutdown")
	}
}

// TestStopWithIdleClients checks that clients that are idle when the sidecar closes their
// connection see an end of file, not a reset. A request that a client sends while the sidecar
// closes the connection is not executed.
func TestStopWithIdleClients(t *testing.T) {
	var executed sync.Map
	f := newFixtureWithServer(t, func(w http.ResponseWriter, r *http.Request) {
		executed.Store(r.Header.Get("Req-Id"), true)
		io.WriteString(w, "one")
	}, 256)
	p := f.startReadyProcess()
	const clients = 20
	var connected, finished sync.WaitGroup
	var sawClose atomic.Int64
	connected.Add(clients)
	for n := range clients {
		finished.Go(func() {
			answered := sync.OnceFunc(connected.Done)
			defer answered()
			c, err := net.Dial("tcp", f.listen)
			if err != nil {
				t.Errorf("client %d: %v", n, err)
				return
			}
			defer c.Close()
			c.SetDeadline(time.Now().Add(eventTimeout))
			client := &persistentClient{t: t, conn: c, reader: bufio.NewReader(c), executed: &executed}
			client.sendUntilClosed(fmt.Sprint("r", n), n%2 == 0, answered)
			sawClose.Add(1)
		})
	}
	connected.Wait()
	p.Process.Signal(syscall.SIGTERM)
	finished.Wait()
	if err := p.waitExit(t); err != nil {
		t.Errorf("exit after SIGTERM: got %v, want status 0", err)
	}
	if sawClose.Load() != clients {
		t.Errorf("got %d clients that saw their connection close, want all %d", sawClose.Load(), clients)
	}
}

// persistentClient sends all its requests on one connection.
type persistentClient struct {
	t        *testing.T
	conn     net.Conn
	reader   *bufio.Reader
	executed *sync.Map // ids of the requests that reached the server
}

// sendUntilClosed sends requests until the sidecar closes the connection, and calls answered after
// each. A client that idles waits after its first answer until the connection is closed, and then
// sends one more request.
func (c *persistentClient) sendUntilClosed(name string, idles bool, answered func()) {
	for n := 0; ; n++ {
		id := fmt.Sprintf("%s-%d", name, n)
		err := c.exchange(id)
		answered()
		if err != nil { // the sidecar closed the connection while the request was sent
			if c.wasExecuted(id) {
				c.t.Errorf("request %s was executed and not answered: %v", id, err)
			}
			return
		}
		if !idles {
			continue
		}
		if _, err := c.reader.Peek(1); err != nil {
			c.sendAfterClose(id, err)
			return
		}
	}
}

// exchange sends a request and reads its answer. It ignores an error of the write, because the read
// then fails too.
func (c *persistentClient) exchange(id string) error {
	writePost(c.conn, id, "/pay")
	response, err := http.ReadResponse(c.reader, nil)
	if err != nil {
		return err
	}
	_, err = io.Copy(io.Discard, response.Body)
	return err
}

// sendAfterClose sends a request on an idle connection that has just ended with closeErr, and
// checks that closeErr is io.EOF and that the request is not executed.
func (c *persistentClient) sendAfterClose(id string, closeErr error) {
	writePost(c.conn, id+"-late", "/pay")
	if closeErr != io.EOF {
		c.t.Errorf("idle connection after request %s: got read error %v, want EOF", id, closeErr)
	}
	io.Copy(io.Discard, c.reader)
	if c.wasExecuted(id + "-late") {
		c.t.Errorf("request %s-late was sent after the close of its connection and was executed", id)
	}
}

// wasExecuted reports whether the request with the given id reached the server.
func (c *persistentClient) wasExecuted(id string) bool {
	_, executed := c.executed.Load(id)
	return executed
}

// TestStopWhileServersHang checks that every accepted request is answered by its deadline, and that
// the process exits before it would be killed, although the server hangs and the process receives
// SIGTERM twice and SIGHUP between.
func TestStopWhileServersHang(t *testing.T) {
	const longest = time.Second
	arrived := make(chan struct{}, 100)
	release := make(chan struct{})
	f := newFixtureWithServer(t, func(http.ResponseWriter, *http.Request) { arrived <- struct{}{}; <-release }, 256,
		`"promiseUs":20000000,"hardLimitUs":20000000`, fmt.Sprintf(`"promiseUs":900000,"hardLimitUs":%d`, longest.Microseconds()))
	t.Cleanup(func() { close(release) })
	p := f.startReadyProcess()
	var open sync.WaitGroup
	const requests = 8
	for n := range requests {
		method, path := http.MethodGet, "/look"
		if n%2 == 0 {
			method, path = http.MethodPost, "/pay"
		}
		open.Go(func() {
			if got := sendRequest(t, f.listen, method, path); n%2 == 0 && got != http.StatusBadGateway || got < 500 {
				t.Errorf("%s %s: got status %d, want 502 for POST and at least 500 for GET", method, path, got)
			}
		})
	}
	for range requests {
		<-arrived
	}
	terminated := time.Now()
	for _, sig := range []syscall.Signal{syscall.SIGTERM, syscall.SIGHUP, syscall.SIGTERM} {
		p.Process.Signal(sig)
	}
	open.Wait()
	if err := p.waitExit(t); err != nil {
		t.Errorf("exit after SIGTERM: got %v, want status 0", err)
	}
	if took := time.Since(terminated); took > longest+700*time.Millisecond {
		t.Errorf("the process exited %v after SIGTERM, want at most %v", took, longest+700*time.Millisecond)
	}
}
