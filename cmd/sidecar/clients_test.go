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

// clientGroup is a group of concurrent clients, each of which sends one request after another. Some
// use a persistent connection, the others a new connection for each request.
type clientGroup struct {
	stop     chan struct{}
	once     sync.Once
	running  sync.WaitGroup
	served   atomic.Int64 // number of requests with the expected answer
	failures sync.Map     // set of error texts
}

// requestCount numbers the requests of all clients, so that their ids are unique.
var requestCount atomic.Int64

// sendAlternating sends one request to addr, in turn an idempotent GET and a non-idempotent POST, and
// returns an error unless the answer is 200 with the body "one".
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
		return fmt.Errorf("%s: got status %s, body %q, error %v; want 200 with body \"one\"", method, resp.Status, text, err)
	}
	return nil
}

// startClients starts a clientGroup of the given number of clients; persistent is how many of them
// use a persistent connection. All stop when the test ends.
func startClients(t *testing.T, addr string, clients, persistent int) *clientGroup {
	t.Helper()
	c := &clientGroup{stop: make(chan struct{})}
	t.Cleanup(c.stopAll)
	for n := range clients {
		c.running.Go(func() {
			client := &http.Client{Timeout: eventTimeout, Transport: &http.Transport{DisableKeepAlives: n >= persistent}}
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

// stopAll stops the clients and waits for their last answers. It may be called several times.
func (c *clientGroup) stopAll() {
	c.once.Do(func() { close(c.stop) })
	c.running.Wait()
}

// checkServed stops the clients and checks that requests were served and none failed.
func (c *clientGroup) checkServed(t *testing.T) {
	t.Helper()
	c.stopAll()
	c.failures.Range(func(failure, _ any) bool {
		t.Errorf("request of a client failed: %v", failure)
		return true
	})
	if c.served.Load() == 0 {
		t.Error("the clients were not served: got 0 answers, want at least 1")
	}
}

// waitServed waits until the given number of further requests has been served.
func (c *clientGroup) waitServed(t *testing.T, more int64) {
	t.Helper()
	before := c.served.Load()
	eventually(t, "more requests to be served", func() bool { return c.served.Load() >= before+more })
}

// sendRequest sends one request without a body on a new connection and returns the status of the
// answer.
func sendRequest(t *testing.T, addr, method, path string) int {
	t.Helper()
	return sendRequestAs(t, fmt.Sprint("r", requestCount.Add(1)), addr, method, path)
}

// sendRequestAs is sendRequest with the given request id.
func sendRequestAs(t *testing.T, id, addr, method, path string) int {
	t.Helper()
	r, err := http.NewRequest(method, "http://"+addr+path, nil)
	if err != nil {
		t.Fatal(err)
	}
	r.Header.Set("Req-Id", id)
	c := &http.Client{Timeout: eventTimeout, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := c.Do(r)
	if err != nil {
		t.Fatalf("%s %s with id %s: %v", method, path, id, err)
	}
	defer resp.Body.Close()
	io.Copy(io.Discard, resp.Body)
	return resp.StatusCode
}
