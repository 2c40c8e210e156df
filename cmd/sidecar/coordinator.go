package main

import (
	"errors"
	"log/slog"
	"sync"
	"syscall"
	"time"

	"martendrum"
	"martendrum/internal/checkpoint"
	"martendrum/internal/clock"
	"martendrum/internal/metrics"
	"martendrum/internal/peers"
	"martendrum/internal/peers/link"
	"martendrum/internal/recovery"
	"martendrum/internal/sidecar"
)

// coordinator is the part of a sidecar that cooperates with other sidecars and returns gradually to
// service after a start. It passes the state of the peers and of the host to the recovery machine,
// applies the decisions that the machine returns, and owns the checkpoint.
type coordinator struct {
	host    *sidecar.Host
	stop    chan struct{} // closed by close
	running sync.WaitGroup
	started time.Time
	machine *recovery.Machine // nil: gradual return is off; only run uses it until close

	mu       sync.Mutex        // guards link and decision
	link     *link.Link        // nil: off, failed, or not opened yet because the predecessor still owns its address
	decision recovery.Decision // the last one of machine

	checkpoint checkpointFile
}

// startCoordinator starts the features that the configuration turns on. hasPredecessor means that a
// predecessor may still serve and own the address of the peer socket. The caller calls close at the
// end.
func startCoordinator(c *config, host *sidecar.Host, metricSet *metrics.Set, hasPredecessor bool) (*coordinator, error) {
	created := &coordinator{host: host, stop: make(chan struct{}), started: time.Now()}
	created.checkpoint = checkpointFile{path: c.coordination.checkpointPath, name: c.listenAddr, savedAt: created.started}
	created.checkpoint.load(clock.Wall())
	tierSize := 1
	if peersConfig := c.coordination.peers; peersConfig != nil {
		tierSize = len(peersConfig.Peers)
		peersConfig.Seed = c.seed
		if previous := created.checkpoint.previous; previous != nil { // the incarnation must exceed the previous one even if the clock was set back
			peersConfig.Node.Incarnation = max(previous.Incarnation+1, uint64(max(1, created.started.UnixMilli())))
		}
		if err := created.openLink(*peersConfig, hasPredecessor); err != nil {
			return nil, err
		}
		created.addPeerGauges(metricSet)
	}
	if c.coordination.gradualReturn {
		created.startRecovery(tierSize, metricSet)
	}
	return created, nil
}

// openLink opens the link to peers. If the predecessor still owns the address, a goroutine opens the
// link once the address is free.
func (c *coordinator) openLink(config link.Config, hasPredecessor bool) error {
	opened, err := link.Open(config)
	switch {
	case err == nil:
		c.link = opened
		return nil
	case hasPredecessor && errors.Is(err, syscall.EADDRINUSE):
		c.running.Go(func() { c.retryOpenLink(config) })
		return nil
	}
	return err
}

// retryOpenLink opens the link to peers once the predecessor has released its address.
func (c *coordinator) retryOpenLink(config link.Config) {
	retryUntil(c.stop, func() bool {
		opened, err := link.Open(config)
		if errors.Is(err, syscall.EADDRINUSE) {
			return false
		}
		if err != nil {
			slog.Warn("link to peers not opened, this sidecar serves without them", "err", err)
			return true
		}
		c.mu.Lock()
		defer c.mu.Unlock()
		c.link = opened
		return true
	})
}

// startRecovery starts the gradual return to service. tierSize is the number of sidecars in the tier,
// this one included.
func (c *coordinator) startRecovery(tierSize int, metricSet *metrics.Set) {
	c.machine = recovery.New(recovery.Config{Size: tierSize}, 0)
	if previous := c.checkpoint.previous; previous != nil {
		_, weight := recovery.Retained(previous.Learned, c.checkpoint.age, recovery.Undecided)
		c.machine.SetUsualDemand(previous.Demand, weight)
	}
	metricSet.Gauge("phase", "", func() float64 { return float64(c.lastDecision().Phase) })
	metricSet.Gauge("bound_shed", "", func() float64 { return c.lastDecision().Bounds.MinShedFraction })
	c.running.Go(c.run)
}

// restoreCheckpoint restores the part of the checkpoint's learned state that is still valid at its
// age. It is called at most once, when the process becomes ready: where discovery pushes its lists,
// after the first list or after listTimeout.
func (c *coordinator) restoreCheckpoint() {
	previous, age := c.checkpoint.previous, c.checkpoint.age
	if previous == nil {
		return
	}
	learned, weight := recovery.Retained(previous.Learned, age, c.lastDecision().Verdict)
	c.host.RestoreLearnedState(learned, age)
	slog.Info("checkpoint restored as a hint", "age", age, "times", len(learned.Primary), "servers", len(learned.Servers), "demand", previous.Demand, "weight", weight)
}

// currentLink returns the link to peers, nil if there is none.
func (c *coordinator) currentLink() *link.Link {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.link
}

// withNode calls use with the link's time and its peers.Node, unless there is no link. use must not
// block.
func (c *coordinator) withNode(use func(now time.Duration, node *peers.Node)) {
	if l := c.currentLink(); l != nil {
		l.Do(use)
	}
}

// lastDecision returns the last decision of the recovery machine, the zero value before its first step.
func (c *coordinator) lastDecision() recovery.Decision {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.decision
}

// run steps the recovery machine whenever it is due, and saves the checkpoint at its interval, until
// close is called.
func (c *coordinator) run() {
	due := time.NewTimer(0)
	defer due.Stop()
	for {
		select {
		case <-c.stop:
			return
		case <-due.C:
		}
		c.stepRecovery()
		if now := time.Now(); c.checkpoint.isDue(now) {
			c.saveCheckpoint(now)
		}
		due.Reset(max(c.machine.Due()-time.Since(c.started), time.Millisecond))
	}
}

// stepRecovery passes the current state to the recovery machine and applies the decision that it
// returns.
func (c *coordinator) stepRecovery() {
	previous := c.lastDecision()
	if previous.Phase != recovery.Serving {
		c.receivePeerPhases()
	}
	var decision recovery.Decision
	c.host.WithBalancer(func(now time.Duration, arrivals uint64, b *martendrum.Balancer) {
		c.machine.SetArrivals(arrivals)
		c.machine.SetCapacity(b.WorkingSetCapacity(now))
		decision = c.machine.Tick(time.Since(c.started))
		b.SetBounds(decision.Bounds)
	})
	c.mu.Lock()
	c.decision = decision
	c.mu.Unlock()
	c.withNode(func(now time.Duration, node *peers.Node) { node.SetPhase(now, uint8(decision.Phase)) })
	c.logChange(previous, decision)
}

// receivePeerPhases passes the phases that peers publish to the recovery machine.
func (c *coordinator) receivePeerPhases() {
	c.withNode(func(now time.Duration, node *peers.Node) {
		for member := range node.DirectMembers(now) {
			c.machine.ReceiveReport(int(member.Rank), recovery.Report{Phase: recovery.Phase(member.Phase), Age: member.Age})
		}
	})
}

// logChange logs a change of the phase, or else of whether requests are shed, from the previous
// decision to the new one.
func (c *coordinator) logChange(previous, decision recovery.Decision) {
	if decision.Phase != previous.Phase {
		slog.Info("phase "+decision.Phase.String(), "verdict", decision.Verdict, "after", time.Since(c.started).Round(time.Millisecond), "shed", decision.Bounds.MinShedFraction)
		return
	}
	if sheds := decision.Bounds.MinShedFraction > 0; sheds != (previous.Bounds.MinShedFraction > 0) {
		slog.Info("servers warming up", "bounded", sheds, "shed", decision.Bounds.MinShedFraction, "demand", decision.Bounds.NominalRate)
	}
}

// saveCheckpoint writes the checkpoint if one is configured and the recovery phase is Serving.
func (c *coordinator) saveCheckpoint(now time.Time) {
	if c.checkpoint.path == "" || c.machine == nil || c.lastDecision().Phase != recovery.Serving {
		return
	}
	saved := checkpoint.Checkpoint{SavedAt: clock.Wall().UnixMilli(), Demand: c.machine.UsualDemand(), Learned: c.host.LearnedState()}
	c.withNode(func(_ time.Duration, node *peers.Node) { saved.Incarnation = node.Incarnation() })
	c.checkpoint.save(now, saved)
}

// close stops the coordinator, writes a last checkpoint, and tells the peers that this sidecar
// terminates. It is called once.
func (c *coordinator) close() {
	close(c.stop)
	c.running.Wait()
	c.saveCheckpoint(time.Now())
	if l := c.currentLink(); l != nil {
		l.Close()
	}
}
