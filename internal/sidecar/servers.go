package sidecar

import (
	"errors"
	"log/slog"
	"time"

	"martendrum"
	"martendrum/internal/discovery"
)

// Servers returns the number of listed servers, and the number of those that the Balancer avoids now.
func (h *Host) Servers() (listed, avoided int) {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.balancer.ServerCounts(h.now())
}

// ApplyServers applies a server list from discovery, which is complete or holds only changed entries.
func (h *Host) ApplyServers(list *discovery.List) { h.applyList(list, false) }

// ApplyConfiguredServers applies the server list of the configuration file, for use until discovery sends one.
func (h *Host) ApplyConfiguredServers(list *discovery.List) { h.applyList(list, true) }

// applyList passes a server list to the pool and the Balancer. fromConfig says that it is the list of
// the configuration file.
func (h *Host) applyList(list *discovery.List, fromConfig bool) {
	endpoints := make([]martendrum.Endpoint, len(list.Entries))
	h.handle(func(now time.Duration) {
		// The pool is updated under the same lock as the Balancer, because it must know a
		// server before an attempt is sent to it.
		listed := make(map[string]bool, len(list.Entries))
		for i, entry := range list.Entries {
			endpoints[i] = entry.Endpoint
			listed[entry.Name] = true
			h.updatePool(entry)
		}
		if list.Complete {
			h.pool.Retain(listed)
		}
		switch {
		case fromConfig:
			h.balancer.ServersPreloaded(now, endpoints)
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
		h.pool.SetServer(entry.Name, entry.Address, entry.Started)
	} else {
		h.pool.MarkDraining(entry.Name, entry.State == martendrum.Removed)
	}
}

// DiscoveryFailed logs a failed call to discovery or the end of a watch, and informs the Balancer.
func (h *Host) DiscoveryFailed(err error) {
	slog.Warn("discovery failed", "err", err)
	h.handle(func(now time.Duration) { h.balancer.DiscoveryFailed(now) })
}

// Subscribe implements martendrum.Host.
func (h *Host) Subscribe() { h.enqueue(h.PollNow) }

// PollNow opens a watch of discovery at once, unless one is open. It does not block.
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
