package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"martendrum/internal/standin/tcp"
)

// backend answers with its name; a request to /pay waits for hold.
func backend(t *testing.T, name string, came chan<- struct{}, hold <-chan struct{}) string {
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/pay" {
			came <- struct{}{}
			<-hold
		}
		io.WriteString(w, name)
	}))
	t.Cleanup(s.Close)
	return s.Listener.Addr().String()
}

// oneServerDiscovery is a discovery that lists one server and keeps its watches open.
func oneServerDiscovery(t testing.TB, index int, name, addr string) string {
	end := make(chan struct{})
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		fmt.Fprintf(w, `{"index":%d,"snapshot":true,"endpoints":[{"name":%q,"address":%q,"status":"up","weight":1}]}`+"\n", index, name, addr)
		for {
			w.(http.Flusher).Flush()
			select {
			case <-end:
				return
			case <-r.Context().Done():
				return
			case <-time.After(500 * time.Millisecond):
				io.WriteString(w, "\n")
			}
		}
	}))
	t.Cleanup(func() {
		close(end)
		s.Close()
	})
	return s.Listener.Addr().String()
}

// resettingServer is a server that accepts requests, reports each, and breaks the connection once
// released. It counts what it ran.
func resettingServer(t *testing.T, came chan<- struct{}, let <-chan struct{}) (addr string, ran *atomic.Int64) {
	t.Helper()
	ran = new(atomic.Int64)
	return tcp.Requests(t, func(int, int, net.Conn, *http.Request) bool {
		ran.Add(1)
		came <- struct{}{}
		<-let
		return false
	}), ran
}

// staticDiscovery is a discovery that writes one list to each watch and keeps it open.
func staticDiscovery(t *testing.T, list string) string {
	t.Helper()
	end := make(chan struct{})
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		io.WriteString(w, list+"\n")
		w.(http.Flusher).Flush()
		select {
		case <-end:
		case <-r.Context().Done():
		}
	}))
	t.Cleanup(func() {
		close(end)
		s.Close()
	})
	return s.Listener.Addr().String()
}

// changingDiscovery is a discovery that can go away, its open watches with it, and come back with
// another list.
type changingDiscovery struct {
	mu      sync.Mutex
	list    string        // empty: it is away
	changed chan struct{} // closed when the list changes
}

func (c *changingDiscovery) set(list string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.changed != nil {
		close(c.changed)
	}
	c.list, c.changed = list, make(chan struct{})
}

func (c *changingDiscovery) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	c.mu.Lock()
	list, ended := c.list, c.changed
	c.mu.Unlock()
	if list == "" {
		panic(http.ErrAbortHandler)
	}
	io.WriteString(w, list+"\n")
	w.(http.Flusher).Flush()
	select {
	case <-ended:
	case <-r.Context().Done():
	}
}
