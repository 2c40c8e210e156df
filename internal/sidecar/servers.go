package sidecar

import (
	"errors"
	"log/slog"
	"time"

	"martendrum"
	"martendrum/internal/discovery"
)

// Servers returns how many servers are listed, and how many of them are avoided now.
func (h *Host) Servers() (listed, avoided int) {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.balancer.ServerCounts(h.now())
}

// Listed applies a list of servers from discovery, or changes to it.
func (h *Host) Listed(list *discovery.List) { h.applyList(list, false) }

// Known applies the list of the configuration before discovery has sent one.
func (h *Host) Known(list *discovery.List) { h.applyList(list, true) }

// applyList passes a list to the pool and the Balancer; known: it is the configuration's.
func (h *Host) applyList(list *discovery.List, known bool) {
	endpoints := make([]martendrum.Endpoint, len(list.Entries))
	h.handle(func(now time.Duration) {
		// The pool is updated under the lock too, because it must know a server before an
		// attempt is sent to it.
		listed := make(map[string]bool, len(list.Entries))
		for n, entry := range list.Entries {
			endpoints[n] = entry.Endpoint
			listed[entry.Name] = true
			h.updatePool(entry)
		}
		if list.Complete {
			h.pool.Retain(listed)
		}
		switch {
		case known:
			h.balancer.ServersRestored(now, endpoints)
		case list.Complete:
			h.balancer.ServersListed(now, endpoints)
		default:
			h.balancer.ServersChanged(now, endpoints)
		}
	})
}

// updatePool passes the state of a listed server to the pool.
func (h *Host) updatePool(entry discovery.Entry) {
	if entry.State == martendrum.Serving {
		h.pool.Serve(entry.Name, entry.Address, entry.Started)
	} else {
		h.pool.MarkDraining(entry.Name, entry.State == martendrum.Removed)
	}
}

// DiscoveryFailed handles a failed call to discovery or the end of a watch.
func (h *Host) DiscoveryFailed(err error) {
	slog.Warn("discovery failed", "err", err)
	h.handle(func(now time.Duration) { h.balancer.DiscoveryFailed(now) })
}

// Subscribe implements martendrum.Host.
func (h *Host) Subscribe() { h.enqueue(h.PollNow) }

// PollNow opens a watch at once, unless one is open.
func (h *Host) PollNow() {
	go func() {
		if err := h.watcher.Watch(); !errors.Is(err, discovery.ErrOpen) {
			h.DiscoveryFailed(err)
		}
	}()
}

// CloseIdle implements martendrum.Host.
func (h *Host) CloseIdle(server string) {
	h.enqueue(func() { h.pool.CloseIdle(server) })
}
