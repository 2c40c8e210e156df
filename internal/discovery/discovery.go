// Package discovery follows the list of servers.
//
// It owns the watch and its silence timeout. It guarantees that a watch on which nothing arrives is
// reopened early enough for its missed changes to arrive before they count as notified. It decides
// nothing about servers; the Listed callback does.
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

// minBackoff is the mean backoff after a first failure.
const minBackoff = 20 * time.Millisecond

// Entry is one server on the list.
type Entry struct {
	martendrum.Endpoint
	Address string
}

// List is a complete list of servers, or the entries that changed.
type List struct {
	Index    int64 // version of the list
	Complete bool  // the list names every server; false: only changes
	Entries  []Entry
}

// Parse decodes a list in discovery's JSON form. Invalid entries are logged and skipped.
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
		return nil, errors.New("discovery: the list has no index")
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

// states maps the status words of the protocol.
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
		return Entry{}, errors.New("the entry has no name")
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

// Watcher follows the list at an address. Its exported fields are set before the first call
// of Follow or Watch.
type Watcher struct {
	Addr   string
	Index  int64       // version of the list received last; 0: none
	Listed func(*List) // receives each list or change
	Failed func(error) // is called when a call has failed or a watch has ended
	Pace   Pace

	mu              sync.Mutex
	conns           map[net.Conn]struct{} // of the watch; two while a second call runs in parallel
	watching        bool                  // a call of Watch has not returned
	closedByOwner   bool
	endpointChanges int // how often SetEndpoint was called

	lastReceived atomic.Pointer[time.Time] // when the last byte of a watch arrived; nil: none yet
}

// Age returns the time since discovery last sent anything, empty lines included; false if
// it never did.
func (w *Watcher) Age() (time.Duration, bool) {
	at := w.lastReceived.Load()
	if at == nil {
		return 0, false
	}
	return time.Since(*at), true
}

// markReceived records that bytes of a watch have arrived.
func (w *Watcher) markReceived() {
	now := time.Now()
	w.lastReceived.Store(&now)
}

// SetEndpoint follows the list at another address and pace from now on. The open watch ends,
// and the next one requests the complete list, because versions at the new address are
// unrelated to those at the old one.
func (w *Watcher) SetEndpoint(addr string, pace Pace) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.Addr, w.Index, w.Pace = addr, 0, pace
	w.endpointChanges++
	w.closeConns()
}

// watchTarget is what one watch follows: the address, the version to start from, and the number of
// SetEndpoint calls that led there.
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
			backoff = minBackoff // the watch had worked: retry without delay
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

// closeConns closes the connections of open calls. The lock is held.
func (w *Watcher) closeConns() {
	for conn := range w.conns {
		conn.Close()
	}
}

// adopt registers conn so that SetEndpoint and Close close it. It returns false if one of them was
// called after the call began.
func (w *Watcher) adopt(conn net.Conn, endpointChanges int) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.closedByOwner || w.endpointChanges != endpointChanges {
		return false
	}
	if w.conns == nil {
		w.conns = make(map[net.Conn]struct{})
	}
	w.conns[conn] = struct{}{}
	return true
}

// release closes a connection that is no longer read.
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

// ErrOpen is returned by Watch while another call of Watch has not returned.
var ErrOpen = errors.New("discovery: the watch is open")

// Watch opens a watch and passes its lists to Listed until it ends. A watch ended by
// SetEndpoint continues at the new address at once. One that fell silent is reopened after a
// short random delay without the caller's backoff, since silence is no sign that discovery is
// overloaded and the limit on how late a change may be notified keeps running. It returns
// ErrOpen while another call of Watch has not returned.
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
			w.watching = false // under the same lock as the check, so that no SetEndpoint is missed
			w.mu.Unlock()
			return err
		}
		w.mu.Unlock()
		if !again {
			slog.Warn("discovery fell silent, polling again", "err", err, "advice", fell.Advice())
			time.Sleep(rand.N(max(at.pace.RetrySpread, minBackoff)))
		}
	}
}

// asSilentError wraps err, as a *SilentError where it is a timeout.
func asSilentError(err error, addr string, during Phase) error {
	if late, ok := errors.AsType[net.Error](err); ok && late.Timeout() {
		return &SilentError{Addr: addr, During: during, err: err}
	}
	return fmt.Errorf("discovery: %s: %w", during, err)
}

// watch makes one call and follows its lists. After a watch that fell silent, a second call
// may run in parallel with the first.
func (w *Watcher) watch(at watchTarget, silent bool) error {
	var call *activeCall
	var err error
	if silent && at.pace.SecondCallDelay > 0 {
		call, err = w.openEither(at)
	} else {
		call, err = w.open(at, at.pace.CallTimeout)
	}
	if err != nil {
		return err
	}
	defer w.release(call.conn)
	for {
		list, err := call.stream.next()
		if broken, ok := errors.AsType[*json.SyntaxError](err); ok {
			w.resetIndex(at.endpointChanges)
			return fmt.Errorf("discovery: the watch brought no valid JSON: %w", broken)
		}
		if err != nil {
			return asSilentError(err, at.addr, Watching)
		}
		if err := w.deliver(list, at.endpointChanges); err != nil {
			return err
		}
	}
}

// resetIndex makes the next watch request the complete list.
func (w *Watcher) resetIndex(endpointChanges int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.endpointChanges == endpointChanges {
		w.Index = 0
	}
}

// deliver passes a list to Listed. After one that is invalid or older than its predecessor, the
// next watch requests the complete list, since later changes can't be applied to it.
func (w *Watcher) deliver(list []byte, endpointChanges int) error {
	l, err := Parse(list)
	w.mu.Lock()
	if w.endpointChanges != endpointChanges {
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
