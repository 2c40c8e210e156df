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

// After SIGTERM clients continue to send on every open connection, and on new ones for longer
// than the platform's clients do. Each request is answered, or its connection closes before
// anything of it was forwarded.
func TestStopOnIdleConnections(t *testing.T) {
	var ran sync.Map
	f := newFixtureWithServer(t, func(w http.ResponseWriter, r *http.Request) {
		ran.Store(r.Header.Get("Req-Id"), true)
		io.WriteString(w, "one")
	}, 256)
	p := f.startReadyProcess()
	var wg sync.WaitGroup
	var answered atomic.Int64
	for n := range 8 {
		wg.Go(func() {
			c := &http.Client{Timeout: patience, Transport: &http.Transport{MaxConnsPerHost: 1}}
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
					if _, did := ran.Load(id); did {
						t.Errorf("%s has run and was not answered: %v", id, err)
					}
					return // the connection is closed, and no process listens any more
				}
				answered.Add(1)
			}
		})
	}
	eventually(t, "clients that are served", func() bool { return answered.Load() > 100 })
	before := answered.Load()
	p.Process.Signal(syscall.SIGTERM)
	wg.Wait()
	if err := p.waitExit(t); err != nil {
		t.Error(err)
	}
	if answered.Load() == before {
		t.Error("no request was answered after SIGTERM: the test shows nothing")
	}
}

// Clients that rest until the sidecar closes their connection, with a request that crosses the
// close, see a plain end of the connection, and what crosses is not executed.
func TestStopWithIdleClients(t *testing.T) {
	var executed sync.Map
	f := newFixtureWithServer(t, func(w http.ResponseWriter, r *http.Request) {
		executed.Store(r.Header.Get("Req-Id"), true)
		io.WriteString(w, "one")
	}, 256)
	p := f.startReadyProcess()
	const clients = 20
	var connected, finished sync.WaitGroup
	var ended atomic.Int64
	connected.Add(clients)
	for n := range clients {
		finished.Go(func() {
			answered := sync.OnceFunc(connected.Done)
			defer answered()
			c, err := net.Dial("tcp", f.listen)
			if err != nil {
				t.Error(err)
				return
			}
			defer c.Close()
			c.SetDeadline(time.Now().Add(patience))
			client := &persistentClient{t: t, conn: c, reader: bufio.NewReader(c), executed: &executed}
			client.sendUntilClosed(fmt.Sprint("r", n), n%2 == 0, answered)
			ended.Add(1)
		})
	}
	connected.Wait()
	p.Process.Signal(syscall.SIGTERM)
	finished.Wait()
	if err := p.waitExit(t); err != nil {
		t.Error(err)
	}
	if ended.Load() != clients {
		t.Errorf("%d clients of %d saw the end", ended.Load(), clients)
	}
}

// persistentClient sends all its requests on one connection.
type persistentClient struct {
	t        *testing.T
	conn     net.Conn
	reader   *bufio.Reader
	executed *sync.Map // ids of the requests that reached the server
}

// sendUntilClosed sends requests until the sidecar closes the connection. answered is called
// after each. A client that rests waits after its answer, and sends at the moment of the close.
func (c *persistentClient) sendUntilClosed(name string, rests bool, answered func()) {
	for n := 0; ; n++ {
		id := fmt.Sprintf("%s-%d", name, n)
		err := c.exchange(id)
		answered()
		if err != nil { // the request crossed the close
			if c.wasExecuted(id) {
				c.t.Errorf("%s has run and was not answered: %v", id, err)
			}
			return
		}
		if !rests {
			continue
		}
		if _, err := c.reader.Peek(1); err != nil {
			c.sendAfterClose(id, err)
			return
		}
	}
}

// exchange sends a request and reads its answer. A failed write shows in the read.
func (c *persistentClient) exchange(id string) error {
	writePost(c.conn, id, "/pay")
	response, err := http.ReadResponse(c.reader, nil)
	if err != nil {
		return err
	}
	_, err = io.Copy(io.Discard, response.Body)
	return err
}

// sendAfterClose sends a request on a resting connection that has just ended with closeErr:
// the request must not be executed.
func (c *persistentClient) sendAfterClose(id string, closeErr error) {
	writePost(c.conn, id+"-late", "/pay")
	if closeErr != io.EOF {
		c.t.Errorf("%s: a resting connection ended with %v", id, closeErr)
	}
	io.Copy(io.Discard, c.reader)
	if c.wasExecuted(id + "-late") {
		c.t.Errorf("%s was sent after the closing and has run", id)
	}
}

func (c *persistentClient) wasExecuted(id string) bool {
	_, executed := c.executed.Load(id)
	return executed
}

// Servers hang while the sidecar gets two signals to terminate and a reload: every accepted
// request is answered by its deadline, and the process exits before it would be killed.
func TestStopWhileServersHang(t *testing.T) {
	const longest = time.Second
	hung := make(chan struct{}, 100)
	let := make(chan struct{})
	f := newFixtureWithServer(t, func(http.ResponseWriter, *http.Request) { hung <- struct{}{}; <-let }, 256,
		`"promiseUs":20000000,"hardLimitUs":20000000`, fmt.Sprintf(`"promiseUs":900000,"hardLimitUs":%d`, longest.Microseconds()))
	t.Cleanup(func() { close(let) })
	p := f.startReadyProcess()
	var wg sync.WaitGroup
	const clients = 8
	for n := range clients {
		method, path := http.MethodGet, "/look"
		if n%2 == 0 {
			method, path = http.MethodPost, "/pay"
		}
		wg.Go(func() {
			if got := sendRequest(t, f.listen, method, path); n%2 == 0 && got != http.StatusBadGateway || got < 500 {
				t.Errorf("%s was answered %d", path, got)
			}
		})
	}
	for range clients {
		<-hung
	}
	began := time.Now()
	for _, sig := range []syscall.Signal{syscall.SIGTERM, syscall.SIGHUP, syscall.SIGTERM} {
		p.Process.Signal(sig)
	}
	wg.Wait()
	if err := p.waitExit(t); err != nil {
		t.Error(err)
	}
	if took := time.Since(began); took > longest+700*time.Millisecond {
		t.Errorf("it ended after %v", took)
	}
}
