// Package sidecar runs one Balancer on real sockets. It owns the requests in flight and their
// deadlines, passes events from clients, servers and discovery to the Balancer, and carries out the
// Balancer's decisions.
//
// It guarantees one final response to each request by its deadline, whatever the Balancer decides.
// It makes no decisions of its own, except that it enforces limits.
package sidecar

import (
	"cmp"
	"math"
	"sync"
	"sync/atomic"
	"time"

	"martendrum"
	"martendrum/internal/clock"
	"martendrum/internal/discovery"
	"martendrum/internal/settings"
	"martendrum/internal/upstream"
)

// Host is the martendrum.Host of a sidecar. One lock guards the Balancer and its state. The Balancer's
// decisions are queued under the lock and carried out after its release, by the goroutine that
// passed the event.
type Host struct {
	pool    *upstream.Pool
	watcher *discovery.Watcher
	classes atomic.Pointer[map[string]*settings.Class] // by name; the classes of the settings in force

	recorder Recorder // nil: no idempotency store
	meter    Meter
	// onWritten is meter.AttemptWritten, stored so that its method value is created only once.
	onWritten func()

	started     time.Time
	startedUnix time.Duration // Unix time of started by the wall clock, which may be wrong

	// Guarded by mu.
	mu       sync.Mutex
	settings *settings.Settings
	balancer *martendrum.Balancer
	requests map[martendrum.RequestID]*clientRequest // in flight
	lastID   martendrum.RequestID
	limits   inFlightLimits
	timers   timerQueue
	actions  []func()      // decisions to carry out once mu is released
	stopAt   time.Duration // deadline of all requests; 0: no shutdown is planned
	ready    bool          // the sidecar accepts clients
}

// New returns a Host with a new Balancer. It sets the watcher's callbacks, so that the watcher reports
// servers to the Host. If the Balancer does not accept the settings, New returns the Balancer's error.
func New(initial *settings.Settings, seed uint64, pool *upstream.Pool, watcher *discovery.Watcher) (*Host, error) {
	started := time.Now()
	h := &Host{
		pool:        pool,
		watcher:     watcher,
		meter:       unmetered{},
		started:     started,
		startedUnix: time.Duration(clock.Wall().UnixNano()),
		settings:    initial,
		requests:    make(map[martendrum.RequestID]*clientRequest),
		limits: inFlightLimits{
			local:  cmp.Or(initial.MaxInFlight, math.MaxInt),
			shared: cmp.Or(initial.MaxInFlight, math.MaxInt),
		},
	}
	watcher.OnList, watcher.OnFailure = h.ApplyServers, h.DiscoveryFailed
	h.onWritten = h.meter.AttemptWritten
	h.publishClasses()
	h.timers.runtime = time.AfterFunc(time.Hour, h.fireTimers)
	var err error
	h.handle(func(time.Duration) { h.balancer, err = martendrum.New(initial.Config, seed, h) })
	return h, err
}

// now returns the Unix time of the process's start by the wall clock, advanced by the
// monotonic clock, so that steps of the wall clock do not change it. The Balancer allows for an
// error of the wall clock (package martendrum, slowstart.go). now is called under the lock, so
// that the Balancer gets its events in the order of their times.
func (h *Host) now() time.Duration { return h.startedUnix + time.Since(h.started) }

// handle passes an event to the Balancer and then carries out its decisions.
func (h *Host) handle(event func(now time.Duration)) {
	for _, action := range h.decide(event) {
		action()
	}
}

// decide runs event under the lock and returns the actions to carry out. It releases the lock even if
// the Balancer panics, so that other requests are still served.
func (h *Host) decide(event func(now time.Duration)) []func() {
	h.mu.Lock()
	defer h.mu.Unlock()
	event(h.now())
	h.armTimer()
	actions := h.actions
	h.actions = nil
	return actions
}

// enqueue adds an action to be carried out once the lock is released. The lock is held.
func (h *Host) enqueue(action func()) { h.actions = append(h.actions, action) }

// Ready implements downstream.Handler. It returns what SetReady has set, at first false.
func (h *Host) Ready() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.ready
}

// SetReady sets whether the sidecar accepts clients.
func (h *Host) SetReady(ready bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.ready = ready
}

// Class implements downstream.Handler.
func (h *Host) Class(name string) *settings.Class {
	return (*h.classes.Load())[name]
}

// Reconfigure replaces the settings. If it returns an error, the previous settings stay in force.
// Requests that have been read keep their class of the previous settings.
func (h *Host) Reconfigure(updated *settings.Settings) (err error) {
	h.handle(func(time.Duration) {
		updated.KeepIndexes(h.settings)
		if err = h.balancer.Reconfigure(updated.Config); err == nil {
			h.settings = updated
			h.publishClasses()
		}
	})
	return err
}

// publishClasses makes the classes of the settings in force visible to Class, which does not lock.
func (h *Host) publishClasses() {
	classes := make(map[string]*settings.Class)
	for _, name := range h.settings.ClassNames() {
		classes[name] = h.settings.ClassByName(name)
	}
	h.classes.Store(&classes)
}

// LearnedState returns the state that the Balancer has learned, for RestoreLearnedState of another process.
func (h *Host) LearnedState() martendrum.LearnedState {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.balancer.LearnedState(h.now())
}

// RestoreLearnedState restores the state that another process's Balancer has learned; age is the time since that
// state was saved. It is called after the list of servers has arrived and before the first request.
func (h *Host) RestoreLearnedState(learned martendrum.LearnedState, age time.Duration) {
	h.handle(func(now time.Duration) { h.balancer.Restore(now, learned, age) })
}

// WithBalancer calls steer under the lock, to read the Balancer and set its bounds. arrivals is the number of
// requests so far, without those rejected at the limit on requests in flight. steer must not block.
func (h *Host) WithBalancer(steer func(now time.Duration, arrivals uint64, b *martendrum.Balancer)) {
	h.handle(func(now time.Duration) { steer(now, uint64(h.lastID), h.balancer) })
}
