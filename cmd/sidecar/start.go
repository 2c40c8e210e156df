package main

import (
	"errors"
	"log/slog"
	"net"
	"os"
	"runtime/debug"
	"strconv"
	"syscall"

	"martendrum/internal/admin"
	"martendrum/internal/discovery"
	"martendrum/internal/handover/link"
	"martendrum/internal/metrics"
)

// gcPercent makes the collector run less often, as far as the memory limit allows:
// requests are short-lived garbage over a small live heap.
const gcPercent = 400

// Environment variables of the start.
const (
	envTempDir = "TMPDIR"            // directory in which processes find each other; unset: no hand-over
	envLaunch  = "MARTENDRUM_LAUNCH" // name of this process, given by the agent that starts it
)

// Header fields of health responses.
const (
	// healthConfigHash is the SHA-256 of the configuration file in force. It shows an agent
	// whether a reload was applied.
	healthConfigHash = "Config-Sum"
	// healthRecord is the state of the idempotency store, if there is one.
	healthRecord = "Record"
	// healthLaunch identifies which of two processes answers, where processes can hand over: by
	// the name in envLaunch, or else by its process id.
	healthLaunch = "Hands-Over"
)

// start serves alone, or takes over from a predecessor if envTempDir names the directory in
// which processes of this sidecar find each other.
func start(c *config, on signals) error {
	r := &resources{config: c}
	dir := os.Getenv(envTempDir)
	if dir == "" {
		return startAlone(c, r, on)
	}
	place := link.NewRendezvous(dir, c.listenAddr)
	defer place.Close()
	predecessor, err := link.Start(place, c.listenAddr, c.fullQuota(), c.record != nil, r)
	if err != nil {
		return err
	}
	defer predecessor.Close()
	r.listeners = predecessor.Listeners()
	defer r.StopAccepting()
	return run(c, r, place, predecessor, on)
}

// startAlone serves without hand-over.
func startAlone(c *config, r *resources, on signals) error {
	r.Limit(c.fullQuota())
	listener, err := net.Listen("tcp", c.listenAddr)
	if err != nil {
		return &ConfigError{Field: "listen", Cause: err, Do: "stop the process that has the address, or configure another one"}
	}
	defer listener.Close()
	r.listeners = []*net.TCPListener{listener.(*net.TCPListener)}
	return run(c, r, nil, nil, on)
}

// run serves until SIGTERM, and then until every request is answered. place
// and predecessor are nil where processes don't hand over.
func run(c *config, r *resources, place *link.Rendezvous, predecessor *link.SuccessorEnd, on signals) error {
	debug.SetGCPercent(gcPercent)
	c.logSettings("configuration in force")
	p := newProcess(c, r, place, predecessor)
	if err := p.createParts(); err != nil {
		return err
	}
	if err := p.openRecorder(); err != nil {
		return err
	}
	defer p.closeRecorder()
	if c.knownServers != nil {
		r.host.Known(c.knownServers)
	}
	p.exportMetrics()
	closeAdmin, err := p.openAdmin()
	if err != nil {
		return err
	}
	defer closeAdmin()
	p.setHealth()
	if p.coordinator, err = startCoordinator(c, r.host, p.metrics, p.sharesWithPredecessor()); err != nil {
		return err
	}
	defer p.coordinator.close()
	defer p.closeSuccessor()
	defer p.closeInheritedIDs()
	p.inheritIDs()
	return p.serve(on)
}

// createParts creates the watcher and the parts that resources keeps within the limits.
func (p *sidecarProcess) createParts() error {
	c := p.config
	p.watcher = &discovery.Watcher{Addr: c.discoveryAddr, Pace: c.pace}
	if c.knownServers != nil {
		c.knownServers.Complete = true
		p.watcher.Index = c.knownServers.Index
	}
	if err := p.resources.createParts(p.watcher); err != nil {
		return err
	}
	p.watcher.Listed = seamListed(p.watcher.Listed)
	return nil
}

// openRecorder opens the idempotency store, if the configuration has one.
func (p *sidecarProcess) openRecorder() error {
	var lock *os.File
	if p.predecessor != nil {
		lock = p.predecessor.StoreLock()
	}
	opened, err := openRecord(p.config, lock)
	if err != nil {
		return err
	}
	if opened != nil {
		p.recorder = opened
		p.resources.host.SetRecorder(opened)
	}
	return nil
}

// exportMetrics creates the metrics and has the parts count in them.
func (p *sidecarProcess) exportMetrics() {
	r := p.resources
	p.metrics = metrics.New()
	p.metrics.Classes(p.config.settings.Names())
	r.host.SetMeter(p.metrics)
	r.server.SetMeter(p.metrics)
	p.addGauges()
}

// openAdmin opens the admin endpoint, if the configuration has one. If the predecessor still has
// its address, it is opened later, in the background. The returned function closes it.
func (p *sidecarProcess) openAdmin() (closeAdmin func(), err error) {
	address := p.config.adminAddr
	if address == "" {
		return func() {}, nil
	}
	r := p.resources
	server := admin.New(func() bool { return r.host.Ready() && !r.server.Draining() }, p.metrics.Write)
	listener, err := net.Listen("tcp", address)
	switch {
	case err == nil:
		go server.Serve(listener)
		return server.Close, nil
	case errors.Is(err, syscall.EADDRINUSE) && p.sharesWithPredecessor():
		slog.Info("the predecessor owns the admin address, listening there after its end", "mgmt", address)
		stop := make(chan struct{})
		go retryOpenAdmin(address, server, stop)
		return func() {
			close(stop)
			server.Close()
		}, nil
	}
	return nil, &ConfigError{Field: "mgmt", Cause: err, Do: "stop the process that has the address, or configure another one"}
}

// retryOpenAdmin opens the admin endpoint once its address is free, or returns when stop is
// closed.
func retryOpenAdmin(address string, server *admin.Server, stop <-chan struct{}) {
	retryUntil(stop, func() bool {
		listener, err := net.Listen("tcp", address)
		if err == nil {
			server.Serve(listener)
		}
		return err == nil
	})
}

// setHealth sets the header fields of health responses.
func (p *sidecarProcess) setHealth() {
	server := p.resources.server
	server.SetHealth(healthConfigHash, p.config.fileHash)
	if p.recorder != nil {
		server.SetHealthFunc(healthRecord, p.recorder.Status)
	}
	if p.place == nil {
		return
	}
	name := os.Getenv(envLaunch)
	if name == "" {
		name = strconv.Itoa(os.Getpid())
	}
	server.SetHealthFunc(healthLaunch, func() string {
		if !p.place.Locked() { // it can't hand over
			return ""
		}
		return name
	})
}
