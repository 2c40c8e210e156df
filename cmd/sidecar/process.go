package main

import (
	"log/slog"
	"net"
	"os"
	"slices"
	"sync"
	"time"

	"martendrum/internal/discovery"
	"martendrum/internal/handover"
	"martendrum/internal/handover/idtable"
	"martendrum/internal/handover/link"
	"martendrum/internal/metrics"
)

const (
	// listTimeout is how long a start waits at most for discovery's list of servers, since the
	// list in its configuration may be outdated.
	listTimeout = 250 * time.Millisecond
	// sweepInterval is how often connections to servers that have been idle for too long
	// are closed.
	sweepInterval = 2 * time.Second
	// retryInterval is how often a new process checks whether the old one has released
	// an address.
	retryInterval = 100 * time.Millisecond
)

// sidecarProcess is a running sidecar: its parts, and its links to the previous and the next process
// of the same sidecar. The goroutine of serve owns it.
type sidecarProcess struct {
	config      *config
	resources   *resources
	watcher     *discovery.Watcher
	recorder    requestRecorder // nil: there is none
	metrics     *metrics.Set
	coordinator *coordinator

	place       *link.Rendezvous     // of the hand-over; nil: processes don't hand over
	predecessor *link.SuccessorEnd   // the process that this one takes over from; nil as place
	successor   *link.PredecessorEnd // offers the hand-over to the next process; nil until the predecessor has exited

	// Events of the hand-over from the predecessor; nil without hand-over. alone is closed when no
	// predecessor is left; resumedListeners brings the listeners of one that was suspended.
	alone            <-chan struct{}
	resumedListeners <-chan []*net.TCPListener
	failed           <-chan error

	inheritedIDs *link.SharedTable // shared with the predecessor; nil: none
	idsExpired   <-chan time.Time  // fires when inheritedIDs are not needed any more

	listed      chan struct{} // signals that discovery has sent a list
	listTimeout *time.Timer
	acceptOnce  sync.Once
}

// newProcess returns a sidecarProcess whose parts are not created yet.
func newProcess(c *config, r *resources, place *link.Rendezvous, predecessor *link.SuccessorEnd) *sidecarProcess {
	p := &sidecarProcess{
		config:      c,
		resources:   r,
		place:       place,
		predecessor: predecessor,
		listed:      make(chan struct{}, 1),
	}
	if predecessor != nil {
		p.alone, p.resumedListeners, p.failed = predecessor.Alone(), predecessor.LateListeners(), predecessor.Failed()
	}
	return p
}

// sharesWithPredecessor reports whether a predecessor serves at the same time.
func (p *sidecarProcess) sharesWithPredecessor() bool {
	return p.predecessor != nil && p.predecessor.HasPredecessor()
}

// serve accepts clients and handles events until the process ends.
func (p *sidecarProcess) serve(on signals) error {
	p.listTimeout = time.NewTimer(listTimeout)
	defer p.listTimeout.Stop()
	if !p.sharesWithPredecessor() {
		p.accept() // no other process accepts: clients would wait in the accept queue
	}
	if p.config.pollsDiscovery {
		p.becomeReady()
	} else {
		p.followDiscovery()
		defer p.watcher.Close()
	}
	sweep := time.NewTicker(sweepInterval)
	defer sweep.Stop()
	for {
		select {
		case <-p.listed:
			p.becomeReady()
		case <-p.listTimeout.C:
			p.becomeReady()
		case now := <-sweep.C:
			p.resources.pool.Sweep(now)
		case <-p.idsExpired:
			p.resources.UnshareTable(p.inheritedIDs)
		case listeners := <-p.resumedListeners:
			p.takeOverListeners(listeners)
		case <-p.alone:
			p.continueAlone()
		case err := <-p.failed:
			return err
		case <-on.reload:
			p.reload()
		case signalledAt := <-on.terminate:
			p.reloadPending(on.reload)
			p.stop(signalledAt)
			return nil
		}
	}
}

// accept starts to accept clients. Only the first call has an effect.
func (p *sidecarProcess) accept() {
	p.acceptOnce.Do(func() { p.resources.accept(p.resources.listeners) })
}

// followDiscovery starts to follow discovery, and signals each list on p.listed.
func (p *sidecarProcess) followDiscovery() {
	takeList := p.watcher.Listed
	p.watcher.Listed = func(list *discovery.List) {
		takeList(list)
		select {
		case p.listed <- struct{}{}:
		default:
		}
	}
	go p.watcher.Follow()
}

// becomeReady restores what an earlier process had learned, and then makes this one accept clients.
// Only the first call has an effect.
func (p *sidecarProcess) becomeReady() {
	host := p.resources.host
	if host.Ready() {
		return
	}
	p.listTimeout.Stop()
	if p.predecessor == nil || !p.warmUp() {
		p.coordinator.warmUp()
	}
	p.accept()
	host.SetReady(true)
	slog.Info("ready", "listen", p.resources.listeners[0].Addr())
	if p.predecessor != nil {
		p.predecessor.Ready()
	}
}

// takeOverListeners takes over the listeners of a predecessor that was suspended when this process
// started, so that this one has opened a listener of its own, and that has resumed.
func (p *sidecarProcess) takeOverListeners(listeners []*net.TCPListener) {
	p.resources.setListeners(slices.Concat(listeners, p.resources.listeners))
	p.inheritIDs()
	slog.Info("the stalled predecessor runs again and hands over")
	if p.resources.host.Ready() {
		p.resources.accept(listeners)
		p.predecessor.Ready()
	}
}

// continueAlone takes over the full limits after the predecessor's exit, and prepares the hand-over to
// a successor.
func (p *sidecarProcess) continueAlone() {
	p.alone = nil
	select {
	case listeners := <-p.resumedListeners: // the predecessor resumed, handed over and has exited
		p.takeOverListeners(listeners)
	default:
	}
	r, c := p.resources, p.config
	r.Limit(c.fullQuota())
	if p.inheritedIDs != nil {
		p.idsExpired = time.After(idtable.EntryTTL)
		r.host.RemoveTally(p.inheritedIDs) // the predecessor has no requests in flight any more
	}
	listen, host := c.listenAddr, r.host // p.config may change before the snapshot is taken
	protocol := handover.NewPredecessor(listen, c.fullQuota(), func() []byte { return snapshot(listen, host) })
	p.successor = link.NewPredecessorEnd(p.place, r.listeners, protocol, r)
	if p.recorder != nil && p.recorder.Lock() != nil {
		p.successor.PassStoreLock(p.recorder.Lock())
	}
	if err := p.successor.Publish(); err != nil {
		slog.Warn("a new process can't take over from this one", "err", err)
	}
}

// closeSuccessor ends the offer to a successor.
func (p *sidecarProcess) closeSuccessor() {
	if p.successor != nil {
		p.successor.Close()
	}
}

// inheritIDs shares the ids of open and recent requests with the predecessor, if there is one. They
// stay known for idtable.EntryTTL after its exit.
func (p *sidecarProcess) inheritIDs() {
	if p.predecessor == nil {
		return
	}
	if p.inheritedIDs = p.predecessor.Table(); p.inheritedIDs != nil {
		p.resources.ShareTable(p.inheritedIDs)
	}
}

// closeInheritedIDs ends the sharing of ids with the predecessor.
func (p *sidecarProcess) closeInheritedIDs() {
	if p.inheritedIDs != nil {
		p.resources.UnshareTable(p.inheritedIDs)
		p.inheritedIDs.Close()
	}
}

// reloadPending applies the file if a SIGHUP is pending, because the shutdown is planned by the
// deadlines in force.
func (p *sidecarProcess) reloadPending(reload <-chan os.Signal) {
	select {
	case <-reload:
		p.reload()
	default:
	}
}

// reload applies the configuration file again, completely or not at all.
func (p *sidecarProcess) reload() {
	r := p.resources
	next, err := reloadConfig(os.Getenv, p.config)
	if err == nil {
		err = r.host.Reconfigure(next.settings)
	}
	p.metrics.Configured(err == nil)
	if err != nil {
		slog.Error("configuration rejected, the previous one stays in force", "err", err)
		return
	}
	p.config = next
	p.metrics.Classes(next.settings.Names())
	r.setConfig(next)
	switch {
	case p.successor != nil:
		p.successor.SetLimits(next.fullQuota())
	case p.predecessor == nil:
		r.Limit(next.fullQuota())
	default: // the predecessor still divides the limits
		r.Limit(r.currentQuota())
	}
	r.server.SetHealth(healthConfigHash, next.fileHash)
	p.watcher.SetEndpoint(next.discoveryAddr, next.pace)
	if next.pollsDiscovery {
		r.host.PollNow() // the new endpoint's list is needed soon, whether or not a watch is open
	}
	next.logSettings("configuration applied")
}

// retryUntil calls done at each retryInterval until it returns true or stop is closed. It waits for
// addresses that a predecessor has to release first.
func retryUntil(stop <-chan struct{}, done func() bool) {
	retry := time.NewTicker(retryInterval)
	defer retry.Stop()
	for {
		select {
		case <-stop:
			return
		case <-retry.C:
		}
		if done() {
			return
		}
	}
}
