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

// catalog is a discovery service as PROTOCOL describes it, whose watches can be reset.
type catalog struct {
	rig      *rig
	listener net.Listener

	mu      sync.Mutex
	index   int
	list    []endpoint
	changed []int         // by position in list: the version of the last change
	wake    chan struct{} // closed at each change
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

// connState keeps the open connections.
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
func (c *catalog) since(after int) ([]byte, int, <-chan struct{}) {
	c.mu.Lock()
	defer c.mu.Unlock()
	entries := []endpoint{}
	for n, e := range c.list {
		if after == 0 || c.changed[n] > after {
			entries = append(entries, e)
		}
	}
	line, _ := json.Marshal(map[string]any{"index": c.index, "snapshot": after == 0, "endpoints": entries})
	return append(line, '\n'), c.index, c.wake
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
	line, index, wake := c.since(after)
	c.rig.note("discovery: call %s", q.URL)
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
			line, index, wake = c.since(index)
			w.Write(line)
			c.rig.note("discovery: told %s", strings.TrimSpace(string(line)))
		case <-q.Context().Done():
			c.rig.note("discovery: a watch has ended")
			return
		}
	}
}

// callCount returns the number of calls so far.
func (c *catalog) callCount() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.calls
}

// resetWatches ends all open watches once; discovery goes on.
func (c *catalog) resetWatches() {
	c.mu.Lock()
	for conn := range c.open {
		conn.Close()
	}
	c.mu.Unlock()
	c.rig.note("discovery: all open watches are reset")
}

// replace lets a server be gone, and another one be up at its address.
func (c *catalog) replace(n int, next endpoint) {
	c.mu.Lock()
	c.index++
	c.list[n].Status, c.changed[n] = "removed", c.index
	c.list, c.changed = append(c.list, next), append(c.changed, c.index)
	close(c.wake)
	c.wake = make(chan struct{})
	c.mu.Unlock()
	c.rig.note("discovery: version %d: %s is removed, %s of group %d is up at %s", c.index, c.list[n].Name, next.Name, next.Group, next.Address)
}

// cells are the stand-in servers of a deployment whose dedup groups are cells: the servers of a cell share the keys
// that they have seen.
type cells struct {
	rig *rig

	mu      sync.Mutex
	ran     map[string]map[int]string // by key and cell: the server that ran it
	failing string                    // this server runs a keyed request and answers 500
}

// start starts a server at an address; port 0 takes a free one.
func (s *cells) start(e *endpoint, address string) *http.Server {
	listener, err := net.Listen("tcp", address)
	s.rig.require(err == nil, "%v", err)
	e.Address = listener.Addr().String()
	name, cell := e.Name, e.Group
	server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) { s.serve(w, q, name, cell) })}
	go server.Serve(listener)
	return server
}

// serve handles a request at a server.
func (s *cells) serve(w http.ResponseWriter, q *http.Request, name string, cell int) {
	io.Copy(io.Discard, q.Body)
	id, key := q.Header.Get("Req-Id"), q.Header.Get("Idempotency-Key")
	if id == "" {
		http.NotFound(w, q)
		return
	}
	s.mu.Lock()
	fails := key != "" && name == s.failing
	if key != "" {
		if s.ran[key] == nil {
			s.ran[key] = make(map[int]string)
		}
		if s.ran[key][cell] == "" {
			s.ran[key][cell] = name
			s.rig.note("%s (cell %d): runs %s key %s; fails %v", name, cell, id, key, fails)
		}
	}
	s.mu.Unlock()
	time.Sleep(20 * time.Millisecond)
	if fails {
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	fmt.Fprintf(w, "done %s", id)
}

// startCells starts the servers of four cells of two, and discovery, which is asked.
func startCells(r *rig) (s *cells, c *catalog, running []*http.Server) {
	s = &cells{rig: r, ran: make(map[string]map[int]string)}
	var list []endpoint
	for n := range 8 {
		e := endpoint{Name: fmt.Sprintf("s-%d", n), Zone: "jakarta", Type: "standard", Group: 1 + n/2, Status: "up", Weight: 1}
		running = append(running, s.start(&e, "127.0.0.1:0"))
		list = append(list, e)
	}
	return s, startCatalog(r, list), running
}

// cellSettings are settings with discovery that is asked, and keyed requests whose repeats a cell drops.
var cellSettings = strings.NewReplacer(`"registryMode": "automatic"`, `"registryMode": "subscribe"`,
	`{"dedupScope": "all", "effect": "by_key"`, `{"dedupScope": "cell", "effect": "by_key"`).Replace(settingsText)

// sendKeyed lets clients send keyed requests until the returned function is called.
func sendKeyed(r *rig, listen string, count int) (stop func()) {
	ended := make(chan struct{})
	var clients sync.WaitGroup
	for n := range count {
		clients.Go(func() {
			for i := 0; ; i++ {
				select {
				case <-ended:
					return
				case <-time.After(150 * time.Millisecond):
				}
				r.send(listen, register(fmt.Sprintf("c%d-%d", n, i), fmt.Sprintf("key-%d-%d", n, i), "{}"))
			}
		})
	}
	return func() {
		close(ended)
		clients.Wait()
	}
}

// replaceServer lets a server be gone, and another one, of a new cell, be up at its address.
func replaceServer(s *cells, c *catalog, running []*http.Server, n int) {
	next := endpoint{Name: fmt.Sprintf("s-%d", 8+n), Zone: "jakarta", Type: "standard", Group: 5 + n, Status: "up", Weight: 1, Since: time.Now().UnixMilli()}
	running[n].Close()
	c.mu.Lock()
	address := c.list[n].Address
	c.mu.Unlock()
	s.start(&next, address)
	c.replace(n, next)
}

// toldAndGrace is after how long nothing may go to a server that is gone: told at the latest after 6 s; the grace, its
// slack, and a stall.
const toldAndGrace = 6*time.Second + 2*time.Second + 200*time.Millisecond

// setFailing lets a server run keyed requests and answer 500.
func (s *cells) setFailing(name string) {
	s.mu.Lock()
	s.failing = name
	s.mu.Unlock()
	s.rig.note("%s begins to answer 500", name)
}

// judge reports the keys that ran in two cells.
func (s *cells) judge() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for key, at := range s.ran {
		if len(at) > 1 {
			s.rig.breaks("%s ran twice, in different cells: %v; s-8 and later ones are new at the address of a server that was removed from the list more than 8 s before", key, at)
		}
	}
}

// discoveryForgotten changes registryMode at SIGHUP, which our pages say only a new process applies, and then the
// open watches are reset. Afterwards, with and without that, a server is replaced by one of another cell at its
// address, and another server begins to answer 500.
func discoveryForgotten(r *rig) {
	s, c, running := startCells(r)
	listen := r.freeAddress(60401)
	text := fmt.Sprintf(`{"name": "n1", "listen": %q, "discovery": %q, "seed": "8c1f30d27a5be964",
 "limits": {"cores": 1.0, "memory_mb": 128, "sockets": 512}, "settings": %s}`, listen, c.listener.Addr(), cellSettings)
	config := r.write("n1.json", text)
	sidecar := r.start("sidecar", runSidecar("bin/sidecar"), "BALANCER_NAME=n1", "BALANCER_LISTEN="+listen, "BALANCER_CONFIG="+config, "TMPDIR="+r.temp)
	r.awaitReady(listen)
	time.Sleep(6 * time.Second)
	stop := sendKeyed(r, listen, 4)
	time.Sleep(3 * time.Second)
	if r.trouble {
		next := r.write("n1.json.new", strings.Replace(text, `"registryMode": "subscribe"`, `"registryMode": "automatic"`, 1))
		r.require(os.Rename(next, config) == nil, "rename failed")
		sidecar.signal(syscall.SIGHUP)
		r.note("SIGHUP with registryMode automatic")
		applied := await(5*time.Second, 20*time.Millisecond, func() bool { sum, _ := health(listen); return sum == fileSum(config) })
		r.require(applied, "the configuration was not applied")
		time.Sleep(3 * time.Second)
		c.resetWatches()
	}
	time.Sleep(3 * time.Second)
	calls := c.callCount()
	replaceServer(s, c, running, 0)
	time.Sleep(toldAndGrace)
	s.setFailing("s-1")
	time.Sleep(15 * time.Second)
	stop()
	r.note("calls to discovery since the reset: %d", c.callCount()-calls)
	s.judge()
}

// upgradeStale replaces three servers by ones of other cells at their addresses. Later a new process takes over, three
// times in a row, as the page on upgrades says; in each round another server answers 500.
func upgradeStale(r *rig) {
	s, c, running := startCells(r)
	known, _, _ := c.since(0)
	listen := r.freeAddress(60601)
	config := r.write("n1.json", fmt.Sprintf(`{"name": "n1", "listen": %q, "discovery": %q, "seed": "8c1f30d27a5be964",
 "limits": {"cores": 1.0, "memory_mb": 128, "sockets": 512}, "known": %s, "settings": %s}`, listen, c.listener.Addr(), known, cellSettings))
	begin := func(n int) (p *process, mgmt string) {
		mgmt = r.freeAddress(60602 + n)
		return r.start(fmt.Sprintf("sidecar-%d", n), runSidecar("bin/sidecar"), "BALANCER_NAME=n1", "BALANCER_LISTEN="+listen, "BALANCER_MGMT="+mgmt,
			"BALANCER_CONFIG="+config, "TMPDIR="+r.temp), mgmt
	}
	serving, _ := begin(0)
	r.awaitReady(listen)
	time.Sleep(6 * time.Second)
	stop := sendKeyed(r, listen, 8)
	time.Sleep(3 * time.Second)
	for n := range 3 {
		replaceServer(s, c, running, 2*n)
	}
	time.Sleep(toldAndGrace)
	for n := range 3 {
		s.setFailing(fmt.Sprintf("s-%d", 2*n+1))
		if r.trouble {
			next, mgmt := begin(n + 1)
			ready := await(15*time.Second, 10*time.Millisecond, func() bool {
				response, err := http.Get("http://" + mgmt + "/api/ready")
				if err != nil {
					return false
				}
				response.Body.Close()
				return response.StatusCode == http.StatusOK
			})
			r.require(ready, "the new process is not ready")
			r.note("the new process is ready")
			serving.signal(syscall.SIGTERM)
			serving = next
		}
		time.Sleep(8 * time.Second)
	}
	stop()
	s.judge()
}
