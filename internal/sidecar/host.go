// Package sidecar runs one Balancer on real sockets. It owns the requests in flight and their
// deadlines, passes events of clients, servers and discovery to the Balancer, and carries out its
// decisions.
//
// It guarantees one final response to each request by its deadline, whatever the Balancer decides.
// It decides nothing itself but to enforce limits.
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
	classes atomic.Pointer[map[string]*settings.Class] // by name, of the settings in force

	recorder Recorder // nil: no idempotency store
	meter    Meter
	wrote    func() // meter.AttemptWritten, bound once

	started     time.Time
	startedUnix time.Duration // started as Unix time by the wall clock, which may be wrong

	// Guarded by mu.
	mu       sync.Mutex
	settings *settings.Settings
	balancer *martendrum.Balancer
	requests map[martendrum.RequestID]*clientRequest // in flight
	lastID   martendrum.RequestID
	limits   inFlightLimits
	timers   timerQueue
	actions  []func()      // to be carried out once mu is released
	stopAt   time.Duration // every request ends by then; 0: no shutdown is planned
	ready    bool
}

// New returns a Host of a new Balancer, to which the watcher reports the servers.
func New(set *settings.Settings, seed uint64, pool *upstream.Pool, watcher *discovery.Watcher) (*Host, error) {
	started := time.Now()
	h := &Host{
		pool:        pool,
		watcher:     watcher,
		meter:       unmetered{},
		started:     started,
		startedUnix: time.Duration(clock.Wall().UnixNano()),
		settings:    set,
		requests:    make(map[martendrum.RequestID]*clientRequest),
		limits: inFlightLimits{
			local:  cmp.Or(set.MaxInFlight, math.MaxInt),
			shared: cmp.Or(set.MaxInFlight, math.MaxInt),
		},
	}
	watcher.Listed, watcher.Failed = h.Listed, h.DiscoveryFailed
	h.wrote = h.meter.AttemptWritten
	h.publishClasses()
	h.timers.runtime = time.AfterFunc(time.Hour, h.fireTimers)
	var err error
	h.handle(func(time.Duration) { h.balancer, err = martendrum.New(set.Config, seed, h) })
	return h, err
}

// now returns the Unix time of the process's start by the wall clock, advanced by the
// monotonic clock, so that no clock step moves it. The Balancer allows for an error of the
// wall clock (package martendrum, slowstart.go). now is called under the lock, so that the
// Balancer's events are in the order of their times.
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

// Ready implements downstream.Handler.
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

// Reconfigure replaces the settings, completely or not at all. Requests that have been read keep the
// class of the settings before.
func (h *Host) Reconfigure(set *settings.Settings) (err error) {
	h.handle(func(time.Duration) {
		set.Follow(h.settings)
		if err = h.balancer.Reconfigure(set.Config); err == nil {
			h.settings = set
			h.publishClasses()
		}
	})
	return err
}

// publishClasses makes the classes of the settings in force visible to Class, which does not lock.
func (h *Host) publishClasses() {
	classes := make(map[string]*settings.Class)
	for _, name := range h.settings.Names() {
		classes[name] = h.settings.ByName(name)
	}
	h.classes.Store(&classes)
}

// Learned returns what the Balancer has learned.
func (h *Host) Learned() martendrum.LearnedState {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.balancer.LearnedState(h.now())
}

// Learn restores what another process's Balancer had learned; age is the age of that state. It is
// called after the list of servers has arrived and before the first request.
func (h *Host) Learn(learned martendrum.LearnedState, age time.Duration) {
	h.handle(func(now time.Duration) { h.balancer.Restore(now, learned, age) })
}

// Steer calls steer under the lock, to read the Balancer and set its bounds; arrivals is the number
// of requests that have arrived. steer must not block.
func (h *Host) Steer(steer func(now time.Duration, arrivals uint64, b *martendrum.Balancer)) {
	h.handle(func(now time.Duration) { steer(now, uint64(h.lastID), h.balancer) })
}
