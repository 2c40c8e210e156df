package soak

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"
)

const (
	// slowCall is how long a call to a slow discovery takes.
	slowCall = 800 * time.Millisecond
	// emptyLineEvery is how often a watch on which nothing changes gets an empty line.
	emptyLineEvery = 2 * time.Second
)

// listed is a server on the list.
type listed struct {
	number  int
	address string
	state   ListState
	since   time.Duration
	version int
}

// discovery is a stand-in for discovery, with an address for each sidecar, by which it
// records what it sent to whom.
type discovery struct {
	recorder      *recorder
	completeLists bool // each change is sent as a complete list

	mu       sync.Mutex
	entries  []listed
	version  int
	mode     string
	changed  chan struct{} // closed at the next change of the list or the mode
	outageAt time.Duration
	servers  []*http.Server
	wait     sync.WaitGroup
}

func newDiscovery(script *Script, recorder *recorder) *discovery {
	return &discovery{recorder: recorder, completeLists: script.CompleteLists, mode: DiscoveryServes, version: 1, changed: make(chan struct{})}
}

// add puts a server on the list, before the first call.
func (d *discovery) add(s *server) {
	d.entries = append(d.entries, listed{number: s.number, address: s.address, state: Up, version: d.version})
}

// listen opens the address for one sidecar and returns it.
func (d *discovery) listen(sidecar int) (string, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", fmt.Errorf("soak: discovery: %w", err)
	}
	httpServer := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { d.serve(sidecar, w, r) })}
	d.servers = append(d.servers, httpServer)
	d.wait.Go(func() { httpServer.Serve(listener) })
	return listener.Addr().String(), nil
}

func (d *discovery) close() {
	for _, s := range d.servers {
		s.Close()
	}
	d.wait.Wait()
}

// bump wakes all watches; the lock is held.
func (d *discovery) bump() {
	close(d.changed)
	d.changed = make(chan struct{})
}

// change sets a server's state on the list.
func (d *discovery) change(number int, state ListState, since time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.version++
	for n := range d.entries {
		if e := &d.entries[n]; e.number == number {
			e.state, e.since, e.version = state, since, d.version
		}
	}
	change := Change{At: d.recorder.now(), Server: number, State: state, Since: since}
	d.recorder.do(func(record *Record) { record.Changes = append(record.Changes, change) })
	d.bump()
}

// set changes the mode, and records outages.
func (d *discovery) set(mode string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.recorder.now()
	if d.mode != DiscoveryServes {
		outage := Outage{From: d.outageAt, To: now}
		d.recorder.do(func(record *Record) { record.Outages = append(record.Outages, outage) })
	}
	d.mode, d.outageAt = mode, now
	d.bump()
}

// look returns the mode, what changed after a version, and a channel that is closed at the
// next change. The complete list omits removed servers.
func (d *discovery) look(after int) (mode string, version int, entries []listed, changed <-chan struct{}) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.completeLists && after < d.version {
		after = 0
	}
	for _, e := range d.entries {
		listed := e.version > after
		if after == 0 {
			listed = e.state == Up || e.state == Draining && !d.completeLists
		}
		if listed {
			entries = append(entries, e)
		}
	}
	return d.mode, d.version, entries, d.changed
}

// line is a list on one line.
func (d *discovery) line(version int, complete bool, entries []listed) []byte {
	type entry struct {
		Name    string    `json:"name"`
		Address string    `json:"address"`
		Status  ListState `json:"status"`
		Weight  float64   `json:"weight"`
		Since   int64     `json:"since_ms"`
	}
	list := struct {
		Index     int     `json:"index"`
		Snapshot  bool    `json:"snapshot"`
		Endpoints []entry `json:"endpoints"`
	}{version, complete, []entry{}}
	for _, e := range entries {
		since := int64(0)
		if e.since > 0 {
			since = d.recorder.start.Add(e.since).UnixMilli()
		}
		list.Endpoints = append(list.Endpoints, entry{fmt.Sprint("s", e.number), e.address, e.state, 1, since})
	}
	text, err := json.Marshal(list)
	if err != nil {
		panic(err) // of this package's own making
	}
	return append(text, '\n')
}

// serve answers a call of a sidecar.
func (d *discovery) serve(sidecar int, w http.ResponseWriter, r *http.Request) {
	after, _ := strconv.Atoi(r.URL.Query().Get("after"))
	mode, version, entries, changed := d.look(after)
	switch mode {
	case DiscoveryUnavailable:
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	case DiscoverySilent:
		d.hold(r, changed)
		panic(http.ErrAbortHandler)
	case DiscoverySlow:
		time.Sleep(slowCall)
		_, version, entries, changed = d.look(after)
	}
	if !d.write(sidecar, w, version, after == 0 || d.completeLists, entries) || r.URL.Query().Get("watch") != "1" {
		return
	}
	d.watch(sidecar, w, r, version, changed)
}

// watch sends changes until the watch ends.
func (d *discovery) watch(sidecar int, w http.ResponseWriter, r *http.Request, version int, changed <-chan struct{}) {
	ticker := time.NewTicker(emptyLineEvery)
	defer ticker.Stop()
	for {
		select {
		case <-r.Context().Done():
			return
		case <-ticker.C:
			if mode, _, _, _ := d.look(version); mode != DiscoverySilent {
				io.WriteString(w, "\n")
				w.(http.Flusher).Flush()
			}
			continue
		case <-changed:
		}
		mode, next, entries, again := d.look(version)
		changed = again
		switch {
		case mode == DiscoveryUnavailable:
			panic(http.ErrAbortHandler)
		case mode == DiscoverySilent: // and this watch stays so
			<-r.Context().Done()
			return
		case next > version && !d.write(sidecar, w, next, d.completeLists, entries):
			return
		}
		version = next
	}
}

// hold keeps a call until the mode changes or the caller gives up.
func (d *discovery) hold(r *http.Request, changed <-chan struct{}) {
	select {
	case <-changed:
	case <-r.Context().Done():
	}
}

// write writes a list and records its notifications.
func (d *discovery) write(sidecar int, w http.ResponseWriter, version int, complete bool, entries []listed) bool {
	_, err := w.Write(d.line(version, complete, entries))
	w.(http.Flusher).Flush()
	if err != nil {
		return false
	}
	now := d.recorder.now()
	d.mu.Lock()
	notified := entries
	if complete { // servers that it omits are removed
		notified = slices.Clone(d.entries)
	}
	d.mu.Unlock()
	d.recorder.do(func(record *Record) {
		for _, e := range notified {
			if e.version <= version {
				record.Notifications = append(record.Notifications, Notification{now, sidecar, e.number, e.state, e.since})
			}
		}
	})
	return true
}
