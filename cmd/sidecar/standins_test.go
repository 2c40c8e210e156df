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

// startNamedServer starts a server that answers with its name. It reports a request to /pay on came and
// answers it once hold is closed.
func startNamedServer(t *testing.T, name string, came chan<- struct{}, hold <-chan struct{}) string {
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

// oneServerDiscovery starts a discovery that lists one server and keeps its watches open.
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

// resettingServer starts a server that counts requests, reports each on came, and breaks its
// connection once let is closed.
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

// staticDiscovery starts a discovery that writes one list to each watch and keeps it open.
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

// changingDiscovery is a discovery that can become unavailable, which ends its watches, and
// available again with another list.
type changingDiscovery struct {
	mu      sync.Mutex
	list    string        // empty: unavailable
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
