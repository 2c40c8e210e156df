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

// clientGroup is clients that ask without a pause, some on connections that they keep, the
// others on ever new ones.
type clientGroup struct {
	stop     chan struct{}
	once     sync.Once
	wait     sync.WaitGroup
	good     atomic.Int64
	failures sync.Map // what went wrong, with a count
}

var requests atomic.Int64

// visit makes one request.
func visit(c *http.Client, addr string) error {
	method, path := http.MethodGet, "/look"
	n := requests.Add(1)
	var body io.Reader
	if n%2 == 0 {
		method, path, body = http.MethodPost, "/pay", strings.NewReader("card")
	}
	r, err := http.NewRequest(method, "http://"+addr+path, body)
	if err != nil {
		return err
	}
	r.GetBody = nil // nothing is sent again unseen
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

func flock(t *testing.T, addr string, clients, kept int) *clientGroup {
	t.Helper()
	c := &clientGroup{stop: make(chan struct{})}
	t.Cleanup(c.halt)
	for n := range clients {
		c.wait.Go(func() {
			client := &http.Client{Timeout: patience, Transport: &http.Transport{DisableKeepAlives: n >= kept}}
			defer client.CloseIdleConnections()
			for {
				select {
				case <-c.stop:
					return
				default:
				}
				if err := visit(client, addr); err != nil {
					c.failures.Store(err.Error(), true)
				} else {
					c.good.Add(1)
				}
				time.Sleep(time.Millisecond)
			}
		})
	}
	return c
}

func (c *clientGroup) halt() {
	c.once.Do(func() { close(c.stop) })
	c.wait.Wait()
}

func (c *clientGroup) end(t *testing.T) {
	t.Helper()
	c.halt()
	c.failures.Range(func(what, _ any) bool {
		t.Errorf("a client met: %v", what)
		return true
	})
	if c.good.Load() == 0 {
		t.Error("nobody was served")
	}
}

// more waits until as many more requests have been served.
func (c *clientGroup) more(t *testing.T, n int64) {
	t.Helper()
	from := c.good.Load()
	eventually(t, "requests to be served", func() bool { return c.good.Load() >= from+n })
}

// sendRequest makes one request on a connection of its own and returns the answer's status.
func sendRequest(t *testing.T, addr, method, path string) int {
	t.Helper()
	return sendRequestAs(t, fmt.Sprint("r", requests.Add(1)), addr, method, path)
}

// sendRequestAs is ask under an id.
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
