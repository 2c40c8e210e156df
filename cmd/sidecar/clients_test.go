package main

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"
)

// clientGroup is a number of clients that send one request after another, some on a persistent
// connection, the others on a new connection for each request.
type clientGroup struct {
	stop     chan struct{}
	once     sync.Once
	running  sync.WaitGroup
	served   atomic.Int64
	failures sync.Map // set of error texts
}

// requestCount numbers the requests of all clients, so that their ids are unique.
var requestCount atomic.Int64

// sendAlternating makes one request, an idempotent and a non-idempotent one in turn, and checks
// its answer.
func sendAlternating(c *http.Client, addr string) error {
	method, path := http.MethodGet, "/look"
	n := requestCount.Add(1)
	var body io.Reader
	if n%2 == 0 {
		method, path, body = http.MethodPost, "/pay", strings.NewReader("card")
	}
	r, err := http.NewRequest(method, "http://"+addr+path, body)
	if err != nil {
		return err
	}
	r.GetBody = nil // so that the client does not retry by itself
	r.Header.Set("Req-Id", fmt.Sprint("u", n))
	resp, err := c.Do(r)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	if text, err := io.ReadAll(resp.Body); err != nil || resp.StatusCode != 200 || string(text) != "one" {
		return fmt.Errorf("%s %s: %q, %v", method, resp.Status, text, err)
	}
	return nil
}

// startClients starts clients, the first of them on persistent connections.
func startClients(t *testing.T, addr string, clients, persistent int) *clientGroup {
	t.Helper()
	c := &clientGroup{stop: make(chan struct{})}
	t.Cleanup(c.stopAll)
	for n := range clients {
		c.running.Go(func() {
			client := &http.Client{Timeout: patience, Transport: &http.Transport{DisableKeepAlives: n >= persistent}}
			defer client.CloseIdleConnections()
			for {
				select {
				case <-c.stop:
					return
				default:
				}
				if err := sendAlternating(client, addr); err != nil {
					c.failures.Store(err.Error(), true)
				} else {
					c.served.Add(1)
				}
				time.Sleep(time.Millisecond)
			}
		})
	}
	return c
}

// stopAll stops the clients and waits for their last answers.
func (c *clientGroup) stopAll() {
	c.once.Do(func() { close(c.stop) })
	c.running.Wait()
}

// checkServed stops the clients and checks that requests were served and none failed.
func (c *clientGroup) checkServed(t *testing.T) {
	t.Helper()
	c.stopAll()
	c.failures.Range(func(what, _ any) bool {
		t.Errorf("a client met: %v", what)
		return true
	})
	if c.served.Load() == 0 {
		t.Error("nobody was served")
	}
}

// waitServed waits until as many more requests have been served.
func (c *clientGroup) waitServed(t *testing.T, n int64) {
	t.Helper()
	from := c.served.Load()
	eventually(t, "requests to be served", func() bool { return c.served.Load() >= from+n })
}

// sendRequest makes one request on a connection of its own and returns the answer's status.
func sendRequest(t *testing.T, addr, method, path string) int {
	t.Helper()
	return sendRequestAs(t, fmt.Sprint("r", requestCount.Add(1)), addr, method, path)
}

// sendRequestAs is sendRequest with a given request id.
func sendRequestAs(t *testing.T, id, addr, method, path string) int {
	t.Helper()
	r, err := http.NewRequest(method, "http://"+addr+path, nil)
	if err != nil {
		t.Fatal(err)
	}
	r.Header.Set("Req-Id", id)
	c := &http.Client{Timeout: patience, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := c.Do(r)
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	io.Copy(io.Discard, resp.Body)
	return resp.StatusCode
}
