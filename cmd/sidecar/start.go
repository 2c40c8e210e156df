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

// gcPercent lets the garbage collector run less often than by default, as far as the memory limit
// allows: requests leave short-lived garbage, while the live heap stays small.
const gcPercent = 400

// Environment variables of the start.
const (
	envTempDir = "TMPDIR"            // directory in which the processes of a sidecar find each other; unset: no hand-over
	envLaunch  = "MARTENDRUM_LAUNCH" // name that the agent gives to the process that it starts
)

// Header fields of health responses.
const (
	// healthConfigHash is the SHA-256 of the configuration file in force. An agent reads from it
	// whether a reload was applied.
	healthConfigHash = "Config-Sum"
	// healthRecord is the state of the idempotency store. It is absent without a store.
	healthRecord = "Record"
	// healthLaunch identifies the process that answers, as two may serve during a hand-over: by the
	// name in envLaunch, or else by the process id. It is empty if the process can't hand over.
	healthLaunch = "Hands-Over"
)

// start runs the sidecar until it ends. If envTempDir names a directory in which the processes of
// this sidecar find each other, it takes over from a predecessor; else it serves without hand-over.
func start(c *config, signals signalChannels) error {
	r := &resources{config: c}
	dir := os.Getenv(envTempDir)
	if dir == "" {
		return startWithoutHandover(c, r, signals)
	}
	rendezvous := link.NewRendezvous(dir, c.listenAddr)
	defer rendezvous.Close()
	predecessor, err := link.Start(rendezvous, c.listenAddr, c.fullQuota(), c.record != nil, r)
	if err != nil {
		return err
	}
	defer predecessor.Close()
	r.listeners = predecessor.Listeners()
	defer r.StopAccepting()
	return run(c, r, rendezvous, predecessor, signals)
}

// startWithoutHandover serves with the full limits. Another process of this sidecar can't take over.
func startWithoutHandover(c *config, r *resources, signals signalChannels) error {
	r.Limit(c.fullQuota())
	listener, err := net.Listen("tcp", c.listenAddr)
	if err != nil {
		return &ConfigError{Field: "listen", Cause: err, Remedy: "stop the process that listens on the address, or configure another address"}
	}
	defer listener.Close()
	r.listeners = []*net.TCPListener{listener.(*net.TCPListener)}
	return run(c, r, nil, nil, signals)
}

// run creates the parts of the process and serves until SIGTERM, and then until every request is
// answered. r has its listeners and its quota. rendezvous and predecessor are nil where processes
// don't hand over.
func run(c *config, r *resources, rendezvous *link.Rendezvous, predecessor *link.SuccessorEnd, signals signalChannels) error {
	debug.SetGCPercent(gcPercent)
	c.logSettings("configuration in force")
	p := newProcess(c, r, rendezvous, predecessor)
	if err := p.createParts(); err != nil {
		return err
	}
	if err := p.openRecorder(); err != nil {
		return err
	}
	defer p.closeRecorder()
	if c.knownServers != nil {
		r.host.ApplyConfiguredServers(c.knownServers)
	}
	p.exportMetrics()
	closeAdmin, err := p.openAdmin()
	if err != nil {
		return err
	}
	defer closeAdmin()
	p.setHealth()
	if p.coordinator, err = startCoordinator(c, r.host, p.metrics, p.hasPredecessor()); err != nil {
		return err
	}
	defer p.coordinator.close()
	defer p.closeSuccessor()
	defer p.closeInheritedIDs()
	p.inheritIDs()
	return p.serve(signals)
}

// createParts creates the watcher of discovery and the parts that resources keeps within the quota.
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
	p.watcher.OnList = seamListed(p.watcher.OnList)
	return nil
}

// openRecorder opens the idempotency store if one is configured, with the lock that a predecessor has
// passed on.
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

// exportMetrics creates the metrics, has the parts of the process record in them, and adds the
// gauges.
func (p *sidecarProcess) exportMetrics() {
	r := p.resources
	p.metrics = metrics.New()
	p.metrics.SetClasses(p.config.settings.ClassNames())
	r.host.SetMeter(p.metrics)
	r.server.SetMeter(p.metrics)
	p.addGauges()
}

// openAdmin opens the admin endpoint if one is configured. If the predecessor still owns the
// address, a goroutine opens the endpoint once the address is free. The returned function closes
// the endpoint.
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
	case errors.Is(err, syscall.EADDRINUSE) && p.hasPredecessor():
		slog.Info("admin address still owned by the predecessor, listening on it after the predecessor's exit", "mgmt", address)
		stop := make(chan struct{})
		go retryOpenAdmin(address, server, stop)
		return func() {
			close(stop)
			server.Close()
		}, nil
	}
	return nil, &ConfigError{Field: "mgmt", Cause: err, Remedy: "stop the process that listens on the address, or configure another address"}
}

// retryOpenAdmin serves the admin endpoint once its address is free. It returns when the endpoint or
// stop is closed.
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
	if p.rendezvous == nil {
		return
	}
	name := os.Getenv(envLaunch)
	if name == "" {
		name = strconv.Itoa(os.Getpid())
	}
	server.SetHealthFunc(healthLaunch, func() string {
		if !p.rendezvous.Locked() { // only the owner of the lock can hand over
			return ""
		}
		return name
	})
}
