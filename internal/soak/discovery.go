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
	// slowCallDelay is how late discovery answers a call in DiscoverySlow.
	slowCallDelay = 800 * time.Millisecond
	// emptyLineInterval is the time between the empty lines that discovery sends on a watch to keep
	// it alive.
	emptyLineInterval = 2 * time.Second
)

// listEntry is a server with its state on discovery's list. Removed servers have an entry, too.
type listEntry struct {
	number  int
	address string
	state   ListState
	since   time.Duration // when the server started, for Up; 0: before the run
	version int           // of the list at the entry's latest change
}

// discovery is a stand-in for the discovery service. It listens on an address of its own for each
// sidecar, and records which lists it sent to which sidecar.
type discovery struct {
	recorder      *recorder
	completeLists bool // each change is sent as a complete list, not as the changed entries

	mu        sync.Mutex
	entries   []listEntry
	version   int            // of the list; each change increments it
	mode      string         // one of the discovery modes
	changed   chan struct{}  // closed at the next change of the list or the mode
	modeSince time.Duration  // when the current mode began
	servers   []*http.Server // one for each sidecar
	wait      sync.WaitGroup
}

// newDiscovery returns a discovery with an empty list, in DiscoveryServes.
func newDiscovery(script *Script, recorder *recorder) *discovery {
	return &discovery{recorder: recorder, completeLists: script.CompleteLists, mode: DiscoveryServes, version: 1, changed: make(chan struct{})}
}

// add puts a server on the list. It must be called before listen.
func (d *discovery) add(s *server) {
	d.entries = append(d.entries, listEntry{number: s.number, address: s.address, state: Up, version: d.version})
}

// listen starts to answer the calls of one sidecar, and returns the address for them.
func (d *discovery) listen(sidecar int) (string, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", fmt.Errorf("soak: start discovery: %w", err)
	}
	httpServer := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { d.serve(sidecar, w, r) })}
	d.servers = append(d.servers, httpServer)
	d.wait.Go(func() { httpServer.Serve(listener) })
	return listener.Addr().String(), nil
}

// close closes all addresses and connections and waits for the goroutines.
func (d *discovery) close() {
	for _, s := range d.servers {
		s.Close()
	}
	d.wait.Wait()
}

// notifyWatches wakes all watches. The caller holds d.mu.
func (d *discovery) notifyWatches() {
	close(d.changed)
	d.changed = make(chan struct{})
}

// setServerState changes a server's state on the list, and records the change.
func (d *discovery) setServerState(number int, state ListState, since time.Duration) {
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
	d.notifyWatches()
}

// setMode changes the mode. If the previous mode was not DiscoveryServes, it records the time that
// discovery was in that mode as an outage.
func (d *discovery) setMode(mode string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.recorder.now()
	if d.mode != DiscoveryServes {
		outage := Outage{From: d.modeSince, To: now}
		d.recorder.do(func(record *Record) { record.Outages = append(record.Outages, outage) })
	}
	d.mode, d.modeSince = mode, now
	d.notifyWatches()
}

// changesAfter returns the mode, the list's version, the entries that changed after the given
// version, and a channel that is closed at the next change of the list or the mode. For version 0,
// and for any change if completeLists is set, the entries are the complete list. The complete list
// omits removed servers and, if completeLists is set, draining ones.
func (d *discovery) changesAfter(after int) (mode string, version int, entries []listEntry, changed <-chan struct{}) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.completeLists && after < d.version {
		after = 0
	}
	for _, e := range d.entries {
		included := e.version > after
		if after == 0 {
			included = e.state == Up || e.state == Draining && !d.completeLists
		}
		if included {
			entries = append(entries, e)
		}
	}
	return d.mode, d.version, entries, d.changed
}

// encodeList returns a list as one line of JSON.
func (d *discovery) encodeList(version int, complete bool, entries []listEntry) []byte {
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
		panic(err) // can't happen: all fields can be encoded
	}
	return append(text, '\n')
}

// serve answers a call of a sidecar: a poll of the list, or a watch of it.
func (d *discovery) serve(sidecar int, w http.ResponseWriter, r *http.Request) {
	after, _ := strconv.Atoi(r.URL.Query().Get("after"))
	mode, version, entries, changed := d.changesAfter(after)
	switch mode {
	case DiscoveryUnavailable:
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	case DiscoverySilent:
		d.holdCall(r, changed)
		panic(http.ErrAbortHandler)
	case DiscoverySlow:
		time.Sleep(slowCallDelay)
		_, version, entries, changed = d.changesAfter(after)
	}
	if !d.write(sidecar, w, version, after == 0 || d.completeLists, entries) || r.URL.Query().Get("watch") != "1" {
		return
	}
	d.watch(sidecar, w, r, version, changed)
}

// watch sends the changes after a version until the connection ends. It ends the connection when
// discovery enters DiscoveryUnavailable.
func (d *discovery) watch(sidecar int, w http.ResponseWriter, r *http.Request, version int, changed <-chan struct{}) {
	ticker := time.NewTicker(emptyLineInterval)
	defer ticker.Stop()
	for {
		select {
		case <-r.Context().Done():
			return
		case <-ticker.C:
			if mode, _, _, _ := d.changesAfter(version); mode != DiscoverySilent {
				io.WriteString(w, "\n")
				w.(http.Flusher).Flush()
			}
			continue
		case <-changed:
		}
		mode, next, entries, nextChange := d.changesAfter(version)
		changed = nextChange
		switch {
		case mode == DiscoveryUnavailable:
			panic(http.ErrAbortHandler)
		case mode == DiscoverySilent: // this watch gets nothing more, even after the mode has ended
			<-r.Context().Done()
			return
		case next > version && !d.write(sidecar, w, next, d.completeLists, entries):
			return
		}
		version = next
	}
}

// holdCall keeps a call without an answer until the list or the mode changes, or the caller closes
// its connection.
func (d *discovery) holdCall(r *http.Request, changed <-chan struct{}) {
	select {
	case <-changed:
	case <-r.Context().Done():
	}
}

// write sends a list to a sidecar, and records for each server on it that the sidecar was notified
// of its state. It returns false if the connection is broken.
func (d *discovery) write(sidecar int, w http.ResponseWriter, version int, complete bool, entries []listEntry) bool {
	_, err := w.Write(d.encodeList(version, complete, entries))
	w.(http.Flusher).Flush()
	if err != nil {
		return false
	}
	now := d.recorder.now()
	d.mu.Lock()
	notified := entries
	if complete { // the list also notifies of removals, by the servers that it omits
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
