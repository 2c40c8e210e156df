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

	"martendrum/internal/admin"
	"martendrum/internal/discovery"
	"martendrum/internal/downstream"
	"martendrum/internal/handover"
	"martendrum/internal/handover/link"
	"martendrum/internal/sidecar"
	"martendrum/internal/upstream"
)

const (
	// spareSockets is how many descriptors are reserved for the listener, discovery,
	// the runtime and the log.
	spareSockets = 24
	// unknownResidentMB is assumed where the resident memory can't be read.
	unknownResidentMB = 1 << 10
)

// resources keeps the parts of a process to its share of the limits, which two processes
// divide during a hand-over. It implements link.Host.
type resources struct {
	mu     sync.Mutex
	config *config
	share  handover.Quota

	// Set once, by createParts; nil before.
	pool   *upstream.Pool
	server *downstream.Server
	host   *sidecar.Host

	listeners []*net.TCPListener
	accepting sync.WaitGroup // the loops that accept from listeners
	stopping  bool
}

// fullShare is all that one sidecar may use by its configuration.
func (c *config) fullShare() handover.Quota {
	inFlight := c.settings.MaxInFlight
	if inFlight == 0 {
		inFlight = math.MaxInt32
	}
	return handover.Quota{Sockets: c.sockets, MemoryMB: c.memoryMB, InFlight: inFlight}
}

// reservedSockets is how many descriptors of a share clients and servers can't use.
func (c *config) reservedSockets() int {
	n := spareSockets + c.record.Sockets()
	if c.mgmt != "" {
		n += admin.MaxSockets
	}
	return n
}

// applyShare sets the limits of the runtime and returns those of the process's parts.
func (c *config) applyShare(share handover.Quota) (upstream.Config, downstream.Config) {
	memory := int64(share.MemoryMB) << 20
	runtime.GOMAXPROCS(max(1, int(math.Ceil(c.cores))))
	debug.SetMemoryLimit(memory * 6 / 10)
	conns := max(2, share.Sockets-c.reservedSockets())
	upstreamConfig := upstream.Config{
		ConnIdle:    c.settings.ConnIdle,
		DialTimeout: c.settings.DialTimeout,
		DrainGrace:  c.settings.DrainGrace,
		MaxConns:    conns - conns/2,
	}
	frontConfig := downstream.Config{
		MaxConns: conns / 2,
		MaxBody:  memory * 3 / 8,
	}
	return upstreamConfig, frontConfig
}

// createParts creates the parts, under the limits of the share in force.
func (r *resources) createParts(watcher *discovery.Watcher) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	c := r.config
	upstreamConfig, frontConfig := c.applyShare(r.share)
	pool := upstream.New(upstreamConfig)
	host, err := sidecar.New(c.settings, c.seed, pool, watcher)
	if err != nil {
		return fmt.Errorf("settings: %w", err)
	}
	host.Limit(r.share.InFlight, c.fullShare().InFlight)
	r.pool, r.server, r.host = pool, downstream.New(frontConfig, seamHandler(host)), host
	return nil
}

// Limit implements link.Host.
func (r *resources) Limit(share handover.Quota) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fewerSockets := share.Sockets < r.share.Sockets
	r.share = share
	upstreamConfig, frontConfig := r.config.applyShare(share)
	if r.pool != nil {
		r.pool.Limit(upstreamConfig)
		r.server.Limit(frontConfig)
		r.host.Limit(share.InFlight, r.config.fullShare().InFlight)
	}
	if fewerSockets && r.pool != nil && !r.stopping { // a stopping one gives up only what it does not use
		r.server.Trim()
		r.pool.Trim()
		debug.FreeOSMemory()
	}
	slog.Info("share of the limits", "sockets", share.Sockets, "memory_mb", share.MemoryMB, "held", share.InFlight)
}

// currentShare is the share in force.
func (r *resources) currentShare() handover.Quota {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.share
}

// setConfig replaces the configuration. Limit puts its limits in force.
func (r *resources) setConfig(c *config) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.config = c
}

// setListeners sets where the process accepts.
func (r *resources) setListeners(listeners []*net.TCPListener) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.listeners = listeners
}

// accept serves on listeners.
func (r *resources) accept(listeners []*net.TCPListener) {
	for _, listener := range listeners {
		r.accepting.Go(func() { r.server.Serve(listener) })
	}
}

// StopAccepting implements link.Host.
func (r *resources) StopAccepting() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, listener := range r.listeners {
		listener.Close()
	}
	// What was accepted is among the server's connections when this returns: the
	// resources that they need are not given away.
	r.accepting.Wait()
}

// ShareTable implements link.Host.
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

// setStopping notes that the process is about to end.
func (r *resources) setStopping() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.stopping = true
}

// used is what the process still uses of its share.
func (r *resources) used() handover.Quota {
	return handover.Quota{
		// Each request that may come on a client's connection needs one to a server.
		Sockets:  r.config.reservedSockets() + 2*max(r.server.Conns(), r.pool.Conns()),
		MemoryMB: residentMB(),
		// The same for requests in flight, where no tally is shared.
		InFlight: max(r.host.InFlight(), r.server.Conns()),
	}
}

// residentMB is the resident memory of the process, rounded up.
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
