// Package discovery receives the list of servers from the discovery service and follows its changes.
//
// A watch is a call whose response stays open and carries lists as they change. The package owns the
// watch and its timeouts. It guarantees that a watch on which nothing arrives is reopened so early that
// the missed changes arrive before they count as notified (see maxNotificationDelay). It decides
// nothing about servers; the OnList callback does.
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

// minBackoff is the mean backoff after the first failure.
const minBackoff = 20 * time.Millisecond

// Entry is one server of a list.
type Entry struct {
	martendrum.Endpoint
	Address string
}

// List is a complete list of servers, or the entries that have changed since the previous List.
type List struct {
	Index    int64 // version of the list
	Complete bool  // the list contains every server; false: only the changes
	Entries  []Entry
}

// Parse decodes a list in the JSON of the discovery service. It logs and skips invalid entries, and
// returns an error if the list itself is invalid.
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
	list := &List{Index: *raw.Index, Complete: raw.Snapshot, Entries: make([]Entry, 0, len(raw.Endpoints))}
	for _, rawEntry := range raw.Endpoints {
		entry, err := parseEntry(rawEntry)
		if err != nil {
			slog.Warn("entry of the server list skipped", "entry", string(rawEntry[:min(len(rawEntry), 200)]), "err", err)
			continue
		}
		list.Entries = append(list.Entries, entry)
	}
	return list, nil
}

// states maps the values of an entry's status to endpoint states.
var states = map[string]martendrum.EndpointState{"up": martendrum.Serving, "draining": martendrum.Draining, "removed": martendrum.Removed}

// parseEntry decodes and checks one entry of a list. The entry of a removed server needs no address.
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

// Watcher follows the list of the discovery service at an address. Its exported fields are set before
// the first call of Follow or Watch and not changed by the caller afterwards.
type Watcher struct {
	Addr      string
	Index     int64       // version of the list received last; 0: none
	OnList    func(*List) // called by the watch with each list
	OnFailure func(error) // called by Follow when a call has failed or a watch has ended
	Pace      Pace

	mu              sync.Mutex
	conns           map[net.Conn]struct{} // open connections; two while a second call runs in parallel
	watching        bool                  // a call of Watch has not returned
	closedByOwner   bool                  // Close was called
	endpointChanges int                   // number of calls of SetEndpoint

	lastReceived atomic.Pointer[time.Time] // when the last byte of a watch arrived; nil: none yet
}

// Age returns the time since discovery last sent anything, empty lines included. It returns false if
// nothing has arrived yet.
func (w *Watcher) Age() (time.Duration, bool) {
	received := w.lastReceived.Load()
	if received == nil {
		return 0, false
	}
	return time.Since(*received), true
}

// markReceived records that bytes of a watch have arrived.
func (w *Watcher) markReceived() {
	now := time.Now()
	w.lastReceived.Store(&now)
}

// SetEndpoint makes the Watcher follow the list at another address and with another pace from now on. It
// ends the open watch. The next watch requests the complete list, because versions at the new address
// are unrelated to those at the old one.
func (w *Watcher) SetEndpoint(addr string, pace Pace) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.Addr, w.Index, w.Pace = addr, 0, pace
	w.endpointChanges++
	w.closeConns()
}

// watchTarget is what one watch follows: the address and pace, the version to start from, and the number
// of SetEndpoint calls until then, which tells whether the target is out of date.
type watchTarget struct {
	addr            string
	index           int64
	endpointChanges int
	pace            Pace
}

// target returns what the next watch follows.
func (w *Watcher) target() watchTarget {
	w.mu.Lock()
	defer w.mu.Unlock()
	return watchTarget{addr: w.Addr, index: w.Index, endpointChanges: w.endpointChanges, pace: w.Pace}
}

// Follow keeps a watch open until Close. Whenever Watch has returned, Follow calls OnFailure and waits for a
// random backoff, which grows up to Pace.MaxBackoff and starts over if Watch took more than a second.
func (w *Watcher) Follow() {
	backoff := minBackoff
	for !w.closed() {
		began := time.Now()
		err := w.Watch()
		if w.closed() {
			return
		}
		w.OnFailure(err)
		if time.Since(began) > time.Second {
			backoff = minBackoff // the watch had probably worked: start over with the shortest backoff
		}
		time.Sleep(backoff/2 + rand.N(backoff))
		backoff = min(2*backoff, w.target().pace.MaxBackoff*2/3) // the wait is at most 1.5 times backoff
	}
}

// Close ends the open watch. No watch can be opened afterwards.
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

// adopt registers conn so that SetEndpoint and Close close it. It returns false if one of them has been
// called since the call began.
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

// release unregisters and closes a connection that is no longer read.
func (w *Watcher) release(conn net.Conn) {
	w.mu.Lock()
	delete(w.conns, conn)
	w.mu.Unlock()
	conn.Close()
}

// closed reports whether Close was called.
func (w *Watcher) closed() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.closedByOwner
}

// ErrOpen is returned by Watch while another call of Watch has not returned.
var ErrOpen = errors.New("discovery: a watch is already open")

// Watch opens a watch, passes its lists to OnList, and returns the error that ended it. It returns
// ErrOpen at once while another call of Watch has not returned.
//
// Two kinds of end do not make Watch return. After SetEndpoint, it opens a watch at the new address at
// once. After a timeout, it opens a watch again after a short random delay, without the caller's
// backoff: a timeout is no sign that discovery is overloaded, and the time after which missed changes
// count as notified is running.
func (w *Watcher) Watch() error {
	w.mu.Lock()
	if w.watching {
		w.mu.Unlock()
		return ErrOpen
	}
	w.watching = true
	w.mu.Unlock()
	afterSilence := false
	for {
		target := w.target()
		err := w.watch(target, afterSilence)
		silentErr, timedOut := errors.AsType[*SilentError](err)
		afterSilence = timedOut && silentErr.During == Watching
		w.mu.Lock()
		moved := w.endpointChanges != target.endpointChanges && !w.closedByOwner
		if w.closedByOwner || !moved && !timedOut {
			w.watching = false // under the same lock as the check, so that no SetEndpoint is missed
			w.mu.Unlock()
			return err
		}
		w.mu.Unlock()
		if !moved {
			slog.Warn("discovery timed out, requesting the list again", "err", err, "advice", silentErr.Advice())
			time.Sleep(rand.N(max(target.pace.RetrySpread, minBackoff)))
		}
	}
}

// asSilentError wraps err: a timeout as a *SilentError, any other error with the phase.
func asSilentError(err error, addr string, during Phase) error {
	if netErr, ok := errors.AsType[net.Error](err); ok && netErr.Timeout() {
		return &SilentError{Addr: addr, During: during, err: err}
	}
	return fmt.Errorf("discovery: %s: %w", during, err)
}

// watch opens one watch and delivers its lists until the watch ends. If afterSilence, the previous watch
// timed out, and a second call may run in parallel with the first.
func (w *Watcher) watch(target watchTarget, afterSilence bool) error {
	var call *activeCall
	var err error
	if afterSilence && target.pace.SecondCallDelay > 0 {
		call, err = w.openEither(target)
	} else {
		call, err = w.open(target, target.pace.CallTimeout)
	}
	if err != nil {
		return err
	}
	defer w.release(call.conn)
	for {
		list, err := call.stream.next()
		if syntaxErr, ok := errors.AsType[*json.SyntaxError](err); ok {
			w.resetIndex(target.endpointChanges)
			return fmt.Errorf("discovery: invalid JSON on the watch: %w", syntaxErr)
		}
		if err != nil {
			return asSilentError(err, target.addr, Watching)
		}
		if err := w.deliver(list, target.endpointChanges); err != nil {
			return err
		}
	}
}

// resetIndex makes the next watch request the complete list, unless SetEndpoint has been called since
// the watch with the given number of endpoint changes began.
func (w *Watcher) resetIndex(endpointChanges int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.endpointChanges == endpointChanges {
		w.Index = 0
	}
}

// deliver passes a list to OnList. If the list is invalid, or contains changes of an older version than
// the list before, deliver returns an error and the next watch requests the complete list, because
// later changes could not be applied. After SetEndpoint it returns net.ErrClosed.
func (w *Watcher) deliver(data []byte, endpointChanges int) error {
	list, err := Parse(data)
	w.mu.Lock()
	if w.endpointChanges != endpointChanges {
		w.mu.Unlock()
		return net.ErrClosed
	}
	if err == nil && !list.Complete && list.Index < w.Index {
		err = fmt.Errorf("discovery: got changes of version %d after version %d", list.Index, w.Index)
	}
	if err == nil {
		w.Index = list.Index
	} else {
		w.Index = 0
	}
	w.mu.Unlock()
	if err == nil {
		w.OnList(list)
	}
	return err
}
