// Package discovery follows the list of servers.
//
// It owns the watch and its silence clock: a watch on which nothing comes is broken and
// is opened anew, well before what it missed counts as told. It decides nothing about
// servers; whoever set Listed does.
package discovery

import (
	"encoding/json"
	"errors"
	"fmt"
	"log/slog"
	"math"
	"math/rand/v2"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"martendrum"
)

// minBackoff is the mean wait after a first failure.
const minBackoff = 20 * time.Millisecond

// Entry is one server on the list.
type Entry struct {
	martendrum.Endpoint
	Address string
}

// List is a list of servers, or of those that changed.
type List struct {
	Index    int64
	Complete bool
	Entries  []Entry
}

// Parse reads a list in discovery's form. An entry that is of no use is left out.
func Parse(data []byte) (*List, error) {
	var raw struct {
		Index     *int64            `json:"index"`
		Snapshot  bool              `json:"snapshot"`
		Endpoints []json.RawMessage `json:"endpoints"`
	}
	if err := json.Unmarshal(data, &raw); err != nil {
		return nil, fmt.Errorf("discovery: %w", err)
	}
	if raw.Index == nil {
		return nil, errors.New("discovery: a list without index")
	}
	l := &List{Index: *raw.Index, Complete: raw.Snapshot, Entries: make([]Entry, 0, len(raw.Endpoints))}
	for _, r := range raw.Endpoints {
		e, err := parseEntry(r)
		if err != nil {
			slog.Warn("entry of the server list skipped", "entry", string(r[:min(len(r), 200)]), "err", err)
			continue
		}
		l.Entries = append(l.Entries, e)
	}
	return l, nil
}

var states = map[string]martendrum.EndpointState{"up": martendrum.Serving, "draining": martendrum.Draining, "removed": martendrum.Removed}

func parseEntry(data []byte) (Entry, error) {
	var raw struct {
		Name    string  `json:"name"`
		Address string  `json:"address"`
		Zone    string  `json:"zone"`
		Status  string  `json:"status"`
		Group   int     `json:"group"`
		Weight  float64 `json:"weight"`
		SinceMs float64 `json:"since_ms"`
	}
	if err := json.Unmarshal(data, &raw); err != nil {
		return Entry{}, err
	}
	state, ok := states[raw.Status]
	switch {
	case raw.Name == "":
		return Entry{}, errors.New("no name")
	case !ok:
		return Entry{}, fmt.Errorf("unknown status %q", raw.Status)
	case raw.SinceMs < 0 || raw.SinceMs > math.MaxInt64/1e6:
		return Entry{}, errors.New("since_ms out of range")
	}
	if state != martendrum.Removed {
		if _, _, err := net.SplitHostPort(raw.Address); err != nil {
			return Entry{}, err
		}
	}
	return Entry{
		Endpoint: martendrum.Endpoint{
			Name:         raw.Name,
			Zone:         raw.Zone,
			Group:        raw.Group,
			CapacityHint: raw.Weight,
			Started:      time.Duration(raw.SinceMs * float64(time.Millisecond)),
			State:        state,
		},
		Address: raw.Address,
	}, nil
}

// Watcher follows the list at an address.
type Watcher struct {
	Addr   string
	Index  int64       // the version held
	Listed func(*List) // takes a list or its changes
	Failed func(error) // a call has failed or a watch has ended
	Pace   Pace

	mu              sync.Mutex
	conns           map[net.Conn]struct{} // of the watch, two while a second call is made beside the first
	watching        bool                  // in Watch
	closedByOwner   bool
	endpointChanges int // how often Addr has changed

	lastReceived atomic.Pointer[time.Time] // when the last byte of a watch came; nil: none yet
}

// Age is the time since discovery was heard last, also if it had nothing to tell;
// false if it never was.
func (w *Watcher) Age() (time.Duration, bool) {
	at := w.lastReceived.Load()
	if at == nil {
		return 0, false
	}
	return time.Since(*at), true
}

// markReceived notes that a byte of a watch has come.
func (w *Watcher) markReceived() {
	now := time.Now()
	w.lastReceived.Store(&now)
}

// SetEndpoint follows the list at another address and pace from now on. The watch that is open
// ends, and the next one asks for the whole list: versions at the new address
// need not be those of the old.
func (w *Watcher) SetEndpoint(addr string, pace Pace) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.Addr, w.Index, w.Pace = addr, 0, pace
	w.endpointChanges++
	w.closeConns()
}

// watchTarget is where to watch from which version on, and how many moves led there.
type watchTarget struct {
	addr            string
	index           int64
	endpointChanges int
	pace            Pace
}

func (w *Watcher) target() watchTarget {
	w.mu.Lock()
	defer w.mu.Unlock()
	return watchTarget{addr: w.Addr, index: w.Index, endpointChanges: w.endpointChanges, pace: w.Pace}
}

// Follow keeps a watch open until Close, and calls Failed at each break.
func (w *Watcher) Follow() {
	backoff := minBackoff
	for !w.closed() {
		began := time.Now()
		err := w.Watch()
		if w.closed() {
			return
		}
		w.Failed(err)
		if time.Since(began) > time.Second {
			backoff = minBackoff // it worked: what was missed is wanted at once
		}
		time.Sleep(backoff/2 + rand.N(backoff))
		backoff = min(2*backoff, w.target().pace.MaxBackoff*2/3)
	}
}

// Close ends the watch.
func (w *Watcher) Close() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.closedByOwner = true
	w.closeConns()
}

// closeConns ends the calls that are open; the lock is held.
func (w *Watcher) closeConns() {
	for conn := range w.conns {
		conn.Close()
	}
}

// adopt makes conn one that Move and Close end, unless one of them has come before it.
func (w *Watcher) adopt(conn net.Conn, moves int) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.closedByOwner || w.endpointChanges != moves {
		return false
	}
	if w.conns == nil {
		w.conns = make(map[net.Conn]struct{})
	}
	w.conns[conn] = struct{}{}
	return true
}

// release closes conn, which nobody reads any more.
func (w *Watcher) release(conn net.Conn) {
	w.mu.Lock()
	delete(w.conns, conn)
	w.mu.Unlock()
	conn.Close()
}

func (w *Watcher) closed() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.closedByOwner
}

// ErrOpen says that a watch is open already: there is nothing to open.
var ErrOpen = errors.New("discovery: the watch is open")

// Watch opens a watch and hands on what it brings until it ends. One that a move
// has ended goes on at the new address at once, one that fell silent soon after: it
// is no sign that discovery has too much to do, and the clock of what it missed runs.
// It returns ErrOpen where another call of Watch has not returned yet.
func (w *Watcher) Watch() error {
	w.mu.Lock()
	if w.watching {
		w.mu.Unlock()
		return ErrOpen
	}
	w.watching = true
	w.mu.Unlock()
	silent := false
	for {
		at := w.target()
		err := w.watch(at, silent)
		fell, ok := errors.AsType[*SilentError](err)
		silent = ok && fell.During == Watching
		w.mu.Lock()
		again := w.endpointChanges != at.endpointChanges && !w.closedByOwner
		if w.closedByOwner || !again && !ok {
			w.watching = false // under one lock with the look at moves: none is overlooked
			w.mu.Unlock()
			return err
		}
		w.mu.Unlock()
		if !again {
			slog.Warn("discovery fell silent: asked again", "err", err, "advice", fell.Advice())
			time.Sleep(rand.N(max(at.pace.RetrySpread, minBackoff)))
		}
	}
}

// asSilentError is err, worded where it says that nothing came in time.
func asSilentError(err error, addr string, during Phase) error {
	if late, ok := errors.AsType[net.Error](err); ok && late.Timeout() {
		return &SilentError{Addr: addr, During: during, err: err}
	}
	return fmt.Errorf("discovery: %s: %w", during, err)
}

// watch makes a call and follows what it brings. After a watch that fell silent, a second
// call may be made beside it.
func (w *Watcher) watch(at watchTarget, silent bool) error {
	var f *activeCall
	var err error
	if silent && at.pace.SecondCallDelay > 0 {
		f, err = w.openEither(at)
	} else {
		f, err = w.open(at, at.pace.CallTimeout)
	}
	if err != nil {
		return err
	}
	defer w.release(f.conn)
	for {
		list, err := f.stream.next()
		if broken, ok := errors.AsType[*json.SyntaxError](err); ok {
			w.resetIndex(at.endpointChanges)
			return fmt.Errorf("discovery: no list: %w", broken)
		}
		if err != nil {
			return asSilentError(err, at.addr, Watching)
		}
		if err := w.deliver(list, at.endpointChanges); err != nil {
			return err
		}
	}
}

// resetIndex sees to it that the next watch asks for the whole list.
func (w *Watcher) resetIndex(moves int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.endpointChanges == moves {
		w.Index = 0
	}
}

// deliver hands a list on. After one that can't be read, or that has gone back, the
// next watch asks for the whole list: the one held can't be relied on to go on from.
func (w *Watcher) deliver(list []byte, moves int) error {
	l, err := Parse(list)
	w.mu.Lock()
	if w.endpointChanges != moves {
		w.mu.Unlock()
		return net.ErrClosed
	}
	if err == nil && !l.Complete && l.Index < w.Index {
		err = fmt.Errorf("discovery: changes of version %d after version %d", l.Index, w.Index)
	}
	if err == nil {
		w.Index = l.Index
	} else {
		w.Index = 0
	}
	w.mu.Unlock()
	if err == nil {
		w.Listed(l)
	}
	return err
}
