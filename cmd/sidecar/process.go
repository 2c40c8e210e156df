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
	// listTimeout is the longest wait of a new process for the list that discovery pushes, before it
	// reports itself as ready and, beside a predecessor, accepts clients. It waits because the list
	// in its configuration may be outdated.
	listTimeout = 250 * time.Millisecond
	// sweepInterval is how often the process closes those connections to servers that have been
	// unused for too long.
	sweepInterval = 2 * time.Second
	// retryInterval is how often a process checks whether its predecessor has released an
	// address.
	retryInterval = 100 * time.Millisecond
)

// sidecarProcess is a running process of a sidecar: its parts, and its links to the previous and the
// next process of the same sidecar. The goroutine that runs serve owns its fields.
type sidecarProcess struct {
	config      *config
	resources   *resources
	watcher     *discovery.Watcher
	recorder    requestRecorder // idempotency store; nil: none
	metrics     *metrics.Set
	coordinator *coordinator

	rendezvous  *link.Rendezvous     // where processes find each other; nil: they don't hand over
	predecessor *link.SuccessorEnd   // link to the process that this one takes over from; nil if rendezvous is nil
	successor   *link.PredecessorEnd // offers the hand-over to the next process; nil until the predecessor has exited

	// Events of the hand-over from the predecessor; nil without hand-over. noPredecessor is closed
	// when no predecessor is left. resumedListeners delivers the listeners of a predecessor that was
	// suspended and has resumed. handoverFailed delivers the error that makes this process exit.
	noPredecessor    <-chan struct{}
	resumedListeners <-chan []*net.TCPListener
	handoverFailed   <-chan error

	inheritedIDs *link.SharedTable // request ids shared with the predecessor; nil: none
	idsExpired   <-chan time.Time  // fires when inheritedIDs are not needed any more; nil until the predecessor has exited

	listed     chan struct{} // signals that discovery has sent a list
	listTimer  *time.Timer   // fires after listTimeout
	acceptOnce sync.Once     // used by accept
}

// newProcess returns a sidecarProcess whose parts are not created yet. rendezvous and predecessor are
// nil where processes don't hand over.
func newProcess(c *config, r *resources, rendezvous *link.Rendezvous, predecessor *link.SuccessorEnd) *sidecarProcess {
	p := &sidecarProcess{
		config:      c,
		resources:   r,
		rendezvous:  rendezvous,
		predecessor: predecessor,
		listed:      make(chan struct{}, 1),
	}
	if predecessor != nil {
		p.noPredecessor, p.resumedListeners, p.handoverFailed = predecessor.NoPredecessor(), predecessor.ResumedListeners(), predecessor.Failed()
	}
	return p
}

// hasPredecessor reports whether this process started beside a predecessor, which may still serve.
func (p *sidecarProcess) hasPredecessor() bool {
	return p.predecessor != nil && p.predecessor.HasPredecessor()
}

// serve accepts clients and handles events until the process ends: after a graceful shutdown, or with
// the error of a failed hand-over.
func (p *sidecarProcess) serve(signals signalChannels) error {
	p.listTimer = time.NewTimer(listTimeout)
	defer p.listTimer.Stop()
	if !p.hasPredecessor() {
		p.accept() // no other process accepts, so clients would wait in the accept queue
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
		case <-p.listTimer.C:
			p.becomeReady()
		case now := <-sweep.C:
			p.resources.pool.Sweep(now)
		case <-p.idsExpired:
			p.resources.UnshareTable(p.inheritedIDs)
		case listeners := <-p.resumedListeners:
			p.takeOverListeners(listeners)
		case <-p.noPredecessor:
			p.continueWithoutPredecessor()
		case err := <-p.handoverFailed:
			return err
		case <-signals.reload:
			p.reload()
		case signalledAt := <-signals.terminate:
			p.reloadIfPending(signals.reload)
			p.stop(signalledAt)
			return nil
		}
	}
}

// accept starts to accept clients. Only the first call has an effect.
func (p *sidecarProcess) accept() {
	p.acceptOnce.Do(func() { p.resources.accept(p.resources.listeners) })
}

// followDiscovery starts to follow the lists that discovery pushes, and signals each of them on
// p.listed.
func (p *sidecarProcess) followDiscovery() {
	applyList := p.watcher.OnList
	p.watcher.OnList = func(list *discovery.List) {
		applyList(list)
		select {
		case p.listed <- struct{}{}:
		default:
		}
	}
	go p.watcher.Follow()
}

// becomeReady restores the learned state of an earlier process, starts to accept clients, and reports
// the process as ready. Only the first call has an effect.
func (p *sidecarProcess) becomeReady() {
	host := p.resources.host
	if host.Ready() {
		return
	}
	p.listTimer.Stop()
	if p.predecessor == nil || !p.restoreSnapshot() {
		p.coordinator.restoreCheckpoint()
	}
	p.accept()
	host.SetReady(true)
	slog.Info("ready", "listen", p.resources.listeners[0].Addr())
	if p.predecessor != nil {
		p.predecessor.Ready()
	}
}

// takeOverListeners takes over the listeners of a predecessor that was suspended when this process
// started and has resumed. Because the predecessor was suspended, this process has opened a listener
// of its own; it accepts from all of them.
func (p *sidecarProcess) takeOverListeners(listeners []*net.TCPListener) {
	p.resources.setListeners(slices.Concat(listeners, p.resources.listeners))
	p.inheritIDs()
	slog.Info("the stalled predecessor runs again and hands over")
	if p.resources.host.Ready() {
		p.resources.accept(listeners)
		p.predecessor.Ready()
	}
}

// continueWithoutPredecessor takes over the full limits after the predecessor's exit, or at once if
// there was none, and offers the hand-over to a successor.
func (p *sidecarProcess) continueWithoutPredecessor() {
	p.noPredecessor = nil
	select {
	case listeners := <-p.resumedListeners: // the predecessor has resumed, handed over and exited
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
	p.successor = link.NewPredecessorEnd(p.rendezvous, r.listeners, protocol, r)
	if p.recorder != nil && p.recorder.Lock() != nil {
		p.successor.PassStoreLock(p.recorder.Lock())
	}
	if err := p.successor.Publish(); err != nil {
		slog.Warn("a new process can't take over from this one", "err", err)
	}
}

// closeSuccessor withdraws the offer of a hand-over to a successor.
func (p *sidecarProcess) closeSuccessor() {
	if p.successor != nil {
		p.successor.Close()
	}
}

// inheritIDs shares the ids of open and recent requests with the predecessor, if there is one. The
// predecessor's ids stay known for idtable.EntryTTL after its exit.
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

// reloadIfPending reloads the configuration if a SIGHUP is pending. It is called before a shutdown,
// which is planned from the deadlines in force.
func (p *sidecarProcess) reloadIfPending(reload <-chan os.Signal) {
	select {
	case <-reload:
		p.reload()
	default:
	}
}

// reload reads the configuration file again and applies it completely, or not at all if it is
// invalid.
func (p *sidecarProcess) reload() {
	r := p.resources
	next, err := reloadConfig(os.Getenv, p.config)
	if err == nil {
		err = r.host.Reconfigure(next.settings)
	}
	p.metrics.CountReload(err == nil)
	if err != nil {
		slog.Error("configuration rejected, the previous one stays in force", "err", err)
		return
	}
	p.config = next
	p.metrics.SetClasses(next.settings.ClassNames())
	r.setConfig(next)
	switch {
	case p.successor != nil:
		p.successor.SetLimits(next.fullQuota())
	case p.predecessor == nil:
		r.Limit(next.fullQuota())
	default: // the predecessor still decides how the limits are divided
		r.Limit(r.currentQuota())
	}
	r.server.SetHealth(healthConfigHash, next.fileHash)
	p.watcher.SetEndpoint(next.discoveryAddr, next.pace)
	if next.pollsDiscovery {
		r.host.PollNow() // the new endpoint's list is needed soon, whether or not a watch is open
	}
	next.logSettings("configuration applied")
}

// retryUntil calls try every retryInterval until it returns true or stop is closed. Its callers
// wait for an address that the predecessor has to release first.
func retryUntil(stop <-chan struct{}, try func() bool) {
	retry := time.NewTicker(retryInterval)
	defer retry.Stop()
	for {
		select {
		case <-stop:
			return
		case <-retry.C:
		}
		if try() {
			return
		}
	}
}
