package main

import (
	"fmt"
	"log/slog"
	"math"
	"net"
	"os"
	"runtime"
	"runtime/debug"
	"sync"
	"time"

	"martendrum/internal/admin"
	"martendrum/internal/discovery"
	"martendrum/internal/downstream"
	"martendrum/internal/handover"
	"martendrum/internal/handover/link"
	"martendrum/internal/sidecar"
	"martendrum/internal/upstream"
)

const (
	// reservedSockets is the number of descriptors that are reserved for the listener, discovery,
	// the runtime and the log.
	reservedSockets = 24
	// idRetentionMargin is how much longer than the longest deadline the id of an ended request is known,
	// for a client's late retry.
	idRetentionMargin = time.Second
	// unknownResidentMB is the resident memory that is assumed if it can't be read.
	unknownResidentMB = 1 << 10
)

// resources keeps the parts of a process within its quota, the share of the configured limits that it
// may use. Two processes divide the limits during a hand-over. It implements link.Host.
type resources struct {
	mu     sync.Mutex
	config *config
	quota  handover.Quota // in force

	// Set once, by createParts; nil before.
	pool   *upstream.Pool
	server *downstream.Server
	host   *sidecar.Host

	listeners []*net.TCPListener
	accepting sync.WaitGroup // the loops that accept from listeners
	stopping  bool           // set when the process terminates
}

// fullQuota returns the quota of a process that has the configured limits to itself. The limit of
// requests in flight is math.MaxInt32 if none is configured.
func (c *config) fullQuota() handover.Quota {
	inFlight := c.settings.MaxInFlight
	if inFlight == 0 {
		inFlight = math.MaxInt32
	}
	return handover.Quota{Sockets: c.sockets, MemoryMB: c.memoryMB, InFlight: inFlight}
}

// reservedDescriptors returns the number of descriptors of a quota that are not available to
// connections from clients and to servers.
func (c *config) reservedDescriptors() int {
	n := reservedSockets + c.record.Sockets()
	if c.adminAddr != "" {
		n += admin.MaxSockets
	}
	return n
}

// applyQuota sets the limits of the Go runtime and returns the limits of the process's parts.
func (c *config) applyQuota(quota handover.Quota) (upstream.Config, downstream.Config) {
	memory := int64(quota.MemoryMB) << 20
	runtime.GOMAXPROCS(max(1, int(math.Ceil(c.cores))))
	debug.SetMemoryLimit(memory * 6 / 10)
	conns := max(2, quota.Sockets-c.reservedDescriptors())
	upstreamConfig := upstream.Config{
		ServerIdleTimeout: c.settings.ConnIdle,
		DialTimeout:       c.settings.DialTimeout,
		DrainGrace:        c.settings.DrainGrace,
		MaxConns:          conns - conns/2,
	}
	downstreamConfig := downstream.Config{
		MaxConns:    conns / 2,
		MaxBody:     memory * 3 / 8,
		IDRetention: c.longestDeadline() + idRetentionMargin,
	}
	return upstreamConfig, downstreamConfig
}

// createParts creates the pool, the server and the host under the quota in force.
func (r *resources) createParts(watcher *discovery.Watcher) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	c := r.config
	upstreamConfig, downstreamConfig := c.applyQuota(r.quota)
	pool := upstream.New(upstreamConfig)
	host, err := sidecar.New(c.settings, c.seed, pool, watcher)
	if err != nil {
		return fmt.Errorf("settings: %w", err)
	}
	host.SetInFlightLimits(r.quota.InFlight, c.fullQuota().InFlight)
	r.pool, r.server, r.host = pool, downstream.New(downstreamConfig, seamHandler(host)), host
	return nil
}

// Limit implements link.Host. If the quota has fewer descriptors than before, Limit closes surplus
// connections that are not in use, unless the process terminates.
func (r *resources) Limit(quota handover.Quota) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fewerSockets := quota.Sockets < r.quota.Sockets
	r.quota = quota
	upstreamConfig, downstreamConfig := r.config.applyQuota(quota)
	if r.pool != nil {
		r.pool.SetConfig(upstreamConfig)
		r.server.SetLimits(downstreamConfig)
		r.host.SetInFlightLimits(quota.InFlight, r.config.fullQuota().InFlight)
	}
	if fewerSockets && r.pool != nil && !r.stopping {
		r.server.Trim()
		r.pool.Trim()
		debug.FreeOSMemory()
	}
	slog.Info("quota of the limits set", "sockets", quota.Sockets, "memory_mb", quota.MemoryMB, "held", quota.InFlight)
}

// currentQuota returns the quota in force.
func (r *resources) currentQuota() handover.Quota {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.quota
}

// setConfig replaces the configuration. The new limits come into force with the next call of Limit.
func (r *resources) setConfig(c *config) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.config = c
}

// setListeners sets the listeners of the process.
func (r *resources) setListeners(listeners []*net.TCPListener) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.listeners = listeners
}

// accept starts a goroutine that accepts clients for each listener.
func (r *resources) accept(listeners []*net.TCPListener) {
	for _, listener := range listeners {
		r.accepting.Go(func() { r.server.Serve(listener) })
	}
}

// StopAccepting implements link.Host. It closes the listeners and waits until the accept loops have
// returned.
func (r *resources) StopAccepting() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, listener := range r.listeners {
		listener.Close()
	}
	// Once the loops have returned, every accepted connection is registered with the server, so that
	// used counts it.
	r.accepting.Wait()
}

// ShareTable implements link.Host. It shares the ids of requests, and the number of requests in
// flight if the table counts them.
func (r *resources) ShareTable(ids *link.SharedTable) {
	r.server.ShareIDs(ids)
	if ids.CountsInFlight() {
		r.host.SetTally(ids)
	}
}

// UnshareTable implements link.Host.
func (r *resources) UnshareTable(ids *link.SharedTable) {
	r.server.UnshareIDs(ids)
	r.host.RemoveTally(ids)
}

// setStopping records that the process terminates.
func (r *resources) setStopping() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.stopping = true
}

// used returns how much of its quota the process still uses.
func (r *resources) used() handover.Quota {
	return handover.Quota{
		// A request on a client's connection needs a second connection, to a server.
		Sockets:  r.config.reservedDescriptors() + 2*max(r.server.Conns(), r.pool.Conns()),
		MemoryMB: residentMB(),
		// Each client connection may still send a request, which the successor doesn't count unless
		// both processes share a Tally.
		InFlight: max(r.host.InFlight(), r.server.Conns()),
	}
}

// residentMB returns the resident memory of the process in MiB, rounded up, or unknownResidentMB if
// it can't be read.
func residentMB() int {
	data, err := os.ReadFile("/proc/self/statm")
	if err != nil {
		return unknownResidentMB
	}
	var size, resident int
	if _, err := fmt.Sscan(string(data), &size, &resident); err != nil {
		return unknownResidentMB
	}
	return resident*os.Getpagesize()>>20 + 1
}
