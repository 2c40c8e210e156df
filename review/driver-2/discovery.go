package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// endpoint is an entry of a discovery list.
type endpoint struct {
	Name    string  `json:"name"`
	Address string  `json:"address"`
	Zone    string  `json:"zone"`
	Type    string  `json:"type"`
	Group   int     `json:"group"`
	Status  string  `json:"status"`
	Weight  float64 `json:"weight"`
	Since   int64   `json:"since_ms"`
}

// catalog is a discovery service as PROTOCOL describes it, which can go down and come back.
type catalog struct {
	rig      *rig
	listener net.Listener

	mu      sync.Mutex
	index   int
	list    []endpoint
	changed []int         // by position in list: the version of the last change
	wake    chan struct{} // closed at each change
	down    bool
	calls   int
	open    map[net.Conn]bool
}

// startCatalog starts a discovery service.
func startCatalog(r *rig, list []endpoint) *catalog {
	c := &catalog{rig: r, index: 1, list: list, changed: make([]int, len(list)), wake: make(chan struct{}), open: make(map[net.Conn]bool)}
	var err error
	c.listener, err = net.Listen("tcp", "127.0.0.1:0")
	r.require(err == nil, "%v", err)
	server := &http.Server{Handler: http.HandlerFunc(c.serve), ConnState: c.connState}
	go server.Serve(c.listener)
	return c
}

// connState keeps the open connections, which end when discovery goes down.
func (c *catalog) connState(conn net.Conn, state http.ConnState) {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch state {
	case http.StateNew:
		c.open[conn] = true
	case http.StateClosed, http.StateHijacked:
		delete(c.open, conn)
	}
}

// since returns what has changed after a version, as a line.
func (c *catalog) since(after int) ([]byte, int, <-chan struct{}, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	entries := []endpoint{}
	for n, e := range c.list {
		if after == 0 || c.changed[n] > after {
			entries = append(entries, e)
		}
	}
	line, _ := json.Marshal(map[string]any{"index": c.index, "snapshot": after == 0, "endpoints": entries})
	return append(line, '\n'), c.index, c.wake, c.down
}

// serve answers a call: the whole list, or a watch.
func (c *catalog) serve(w http.ResponseWriter, q *http.Request) {
	c.mu.Lock()
	c.calls++
	c.mu.Unlock()
	after, _ := strconv.Atoi(q.URL.Query().Get("after"))
	watch := q.URL.Query().Get("watch") == "1"
	if !watch {
		after = 0
	}
	line, index, wake, down := c.since(after)
	c.rig.note("discovery: call %s, down %v", q.URL, down)
	if down {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.Write(line)
	if !watch {
		return
	}
	ticker := time.NewTicker(2 * time.Second)
	defer ticker.Stop()
	for {
		w.(http.Flusher).Flush()
		select {
		case <-ticker.C:
			io.WriteString(w, "\n")
		case <-wake:
			line, index, wake, down = c.since(index)
			if down {
				panic(http.ErrAbortHandler)
			}
			w.Write(line)
			c.rig.note("discovery: told %s", strings.TrimSpace(string(line)))
		case <-q.Context().Done():
			c.rig.note("discovery: a watch has ended")
			return
		}
	}
}

// setDown lets discovery go down, which ends all watches, or come back.
func (c *catalog) setDown(down bool) {
	c.mu.Lock()
	c.down = down
	if down {
		for conn := range c.open {
			conn.Close()
		}
	}
	c.mu.Unlock()
	c.rig.note("discovery: down %v", down)
}

// change changes the status of a server.
func (c *catalog) change(n int, status string) {
	c.mu.Lock()
	c.index++
	c.list[n].Status, c.changed[n] = status, c.index
	close(c.wake)
	c.wake = make(chan struct{})
	c.mu.Unlock()
	c.rig.note("discovery: version %d: %s is %s", c.index, c.list[n].Name, status)
}

// callCount returns the number of calls so far.
func (c *catalog) callCount() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.calls
}

// discoveryForgotten changes registryMode at SIGHUP, which our pages say only a new process applies. Then
// discovery is down for 2 s, as at a restart, and a server begins to drain 3 s after its return.
func discoveryForgotten(r *rig) {
	var mu sync.Mutex
	received := make(map[string]int)
	var late []string
	var deadline time.Time // no send to the draining server begins later
	var list []endpoint
	for n := range 4 {
		name := fmt.Sprintf("s-%d", n)
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		r.require(err == nil, "%v", err)
		go http.Serve(listener, http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) {
			id := q.Header.Get("Req-Id")
			mu.Lock()
			received[name]++
			if n == 0 && !deadline.IsZero() && time.Now().After(deadline) {
				late = append(late, id)
			}
			mu.Unlock()
			r.note("%s: received %s", name, id)
			time.Sleep(20 * time.Millisecond)
			fmt.Fprintf(w, "done %s", id)
		}))
		list = append(list, endpoint{Name: name, Address: listener.Addr().String(), Zone: "jakarta", Type: "standard", Status: "up", Weight: 1})
	}
	c := startCatalog(r, list)
	listen := r.freeAddress(60401)
	text := fmt.Sprintf(`{"name": "n1", "listen": %q, "discovery": %q, "seed": "8c1f30d27a5be964",
 "limits": {"cores": 1.0, "memory_mb": 128, "sockets": 512}, "settings": %s}`, listen, c.listener.Addr(), strings.Replace(settingsText, `"registryMode": "automatic"`, `"registryMode": "subscribe"`, 1))
	config := r.write("n1.json", text)
	sidecar := r.start("sidecar", runSidecar("bin/sidecar"), "BALANCER_NAME=n1", "BALANCER_LISTEN="+listen, "BALANCER_CONFIG="+config, "TMPDIR="+r.temp)
	r.awaitReady(listen)
	time.Sleep(6 * time.Second)
	stop := make(chan struct{})
	var clients sync.WaitGroup
	for n := range 4 {
		clients.Go(func() {
			for i := 0; ; i++ {
				select {
				case <-stop:
					return
				case <-time.After(100 * time.Millisecond):
				}
				r.send(listen, request{method: http.MethodGet, path: "/status-check", class: "status-check", id: fmt.Sprintf("c%d-%d", n, i), deadline: 3 * time.Second})
			}
		})
	}
	time.Sleep(3 * time.Second)
	if r.trouble {
		next := r.write("n1.json.new", strings.Replace(text, `"registryMode": "subscribe"`, `"registryMode": "automatic"`, 1))
		r.require(os.Rename(next, config) == nil, "rename failed")
		sidecar.signal(syscall.SIGHUP)
		r.note("SIGHUP with registryMode automatic")
		applied := await(5*time.Second, 20*time.Millisecond, func() bool { sum, _ := health(listen); return sum == fileSum(config) })
		r.require(applied, "the configuration was not applied")
		time.Sleep(5 * time.Second)
		c.setDown(true)
		time.Sleep(2 * time.Second)
		c.setDown(false)
	}
	calls := c.callCount()
	time.Sleep(3 * time.Second)
	c.change(0, "draining")
	mu.Lock()
	deadline = time.Now().Add(6*time.Second + 2*time.Second + 50*time.Millisecond + 150*time.Millisecond) // told at the latest 6 s later; the grace, its slack, and a stall
	mu.Unlock()
	time.Sleep(20 * time.Second)
	close(stop)
	clients.Wait()
	mu.Lock()
	defer mu.Unlock()
	r.note("calls to discovery since its return: %d; requests by server: %v; sent to s-0 too late: %d", c.callCount()-calls, received, len(late))
	if len(late) > 0 {
		r.breaks("%d requests were sent to s-0 more than 6 s (told) and 2.2 s (grace and slack) after it began to drain; the sidecar has made %d calls to discovery since its return", len(late), c.callCount()-calls)
	}
}
