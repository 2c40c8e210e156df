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

// coordinator is the part of a sidecar that acts together with other sidecars. It passes what
// peers publish and what the host knows to the state machines that decide, and carries out
// their orders.
type coordinator struct {
	host    *sidecar.Host
	stop    chan struct{} // closed by close
	running sync.WaitGroup
	started time.Time
	machine *recovery.Machine // nil: off; owned by run

	mu     sync.Mutex
	link   *link.Link // nil: off, or an old process still has its address
	orders recovery.Orders

	checkpoint checkpointFile
}

// startCoordinator starts what the configuration turns on. sharedWithPredecessor says that a
// predecessor serves at the same time and may still own the address of the peer socket.
func startCoordinator(c *config, host *sidecar.Host, metricSet *metrics.Set, sharedWithPredecessor bool) (*coordinator, error) {
	f := &coordinator{host: host, stop: make(chan struct{}), started: time.Now()}
	f.checkpoint = checkpointFile{path: c.coordination.checkpointPath, name: c.listenAddr, savedAt: f.started}
	f.checkpoint.load(clock.Wall())
	size := 1
	if peersConfig := c.coordination.peers; peersConfig != nil {
		size = len(peersConfig.Peers)
		peersConfig.Seed = c.seed
		if previous := f.checkpoint.previous; previous != nil { // whatever the clock says
			peersConfig.Node.Incarnation = max(previous.Incarnation+1, uint64(max(1, f.started.UnixMilli())))
		}
		if err := f.openLink(*peersConfig, sharedWithPredecessor); err != nil {
			return nil, err
		}
		f.addPeerGauges(metricSet)
	}
	if c.coordination.gradualReturn {
		f.startRecovery(size, metricSet)
	}
	return f, nil
}

// openLink opens the link to peers, or does so later if the predecessor still has its
// address.
func (f *coordinator) openLink(config link.Config, sharedWithPredecessor bool) error {
	opened, err := link.Open(config)
	switch {
	case err == nil:
		f.link = opened
		return nil
	case sharedWithPredecessor && errors.Is(err, syscall.EADDRINUSE):
		f.running.Go(func() { f.retryOpenLink(config) })
		return nil
	}
	return err
}

// retryOpenLink opens the link to peers once the predecessor has released its address.
func (f *coordinator) retryOpenLink(config link.Config) {
	retryUntil(f.stop, func() bool {
		opened, err := link.Open(config)
		if errors.Is(err, syscall.EADDRINUSE) {
			return false
		}
		if err != nil {
			slog.Warn("no exchange with other sidecars", "err", err)
			return true
		}
		f.mu.Lock()
		defer f.mu.Unlock()
		f.link = opened
		return true
	})
}

// startRecovery starts the gradual return to service; size is the number of peers.
func (f *coordinator) startRecovery(size int, metricSet *metrics.Set) {
	f.machine = recovery.New(recovery.Config{Size: size}, 0)
	if previous := f.checkpoint.previous; previous != nil {
		_, weight := recovery.Retained(previous.Learned, f.checkpoint.age, recovery.Undecided)
		f.machine.SetUsualDemand(previous.Demand, weight)
	}
	metricSet.Gauge("phase", "", func() float64 { return float64(f.lastOrders().Phase) })
	metricSet.Gauge("bound_shed", "", func() float64 { return f.lastOrders().Bounds.MinShedFraction })
	f.running.Go(f.run)
}

// warmUp gives the host what is still valid of the checkpoint. It is called after the
// list of servers has arrived and before the first request.
func (f *coordinator) warmUp() {
	previous, age := f.checkpoint.previous, f.checkpoint.age
	if previous == nil {
		return
	}
	learned, weight := recovery.Retained(previous.Learned, age, f.lastOrders().Verdict)
	f.host.Learn(learned, age)
	slog.Info("checkpoint restored as a hint", "age", age, "times", len(learned.Primary), "servers", len(learned.Servers), "demand", previous.Demand, "weight", weight)
}

// currentLink returns the link to peers, nil if there is none.
func (f *coordinator) currentLink() *link.Link {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.link
}

// withNode calls use with the peers.Node, if there is one.
func (f *coordinator) withNode(use func(now time.Duration, node *peers.Node)) {
	if l := f.currentLink(); l != nil {
		l.Do(use)
	}
}

// lastOrders returns what the recovery machine decided last.
func (f *coordinator) lastOrders() recovery.Orders {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.orders
}

// run steps the recovery machine whenever it is due, until close.
func (f *coordinator) run() {
	due := time.NewTimer(0)
	defer due.Stop()
	for {
		select {
		case <-f.stop:
			return
		case <-due.C:
		}
		f.stepRecovery()
		if now := time.Now(); f.checkpoint.isDue(now) {
			f.saveCheckpoint(now)
		}
		due.Reset(max(f.machine.Due()-time.Since(f.started), time.Millisecond))
	}
}

// stepRecovery brings the recovery machine what is known, and carries out its orders.
func (f *coordinator) stepRecovery() {
	before := f.lastOrders()
	if before.Phase != recovery.Serving {
		f.receivePeerPhases()
	}
	var orders recovery.Orders
	f.host.Steer(func(now time.Duration, arrivals uint64, b *martendrum.Balancer) {
		f.machine.SetArrivals(arrivals)
		f.machine.SetCapacity(b.Capacity(now))
		orders = f.machine.Tick(time.Since(f.started))
		b.SetBounds(orders.Bounds)
	})
	f.mu.Lock()
	f.orders = orders
	f.mu.Unlock()
	f.withNode(func(now time.Duration, node *peers.Node) { node.SetPhase(now, uint8(orders.Phase)) })
	f.logChange(before, orders)
}

// receivePeerPhases brings the recovery machine the phases that peers publish.
func (f *coordinator) receivePeerPhases() {
	f.withNode(func(now time.Duration, node *peers.Node) {
		for member := range node.DirectMembers(now) {
			f.machine.ReceiveReport(int(member.Rank), recovery.Report{Phase: recovery.Phase(member.Phase), Age: member.Age})
		}
	})
}

// logChange logs how new orders differ from those before.
func (f *coordinator) logChange(before, orders recovery.Orders) {
	if orders.Phase != before.Phase {
		slog.Info("phase "+orders.Phase.String(), "verdict", orders.Verdict, "after", time.Since(f.started).Round(time.Millisecond), "shed", orders.Bounds.MinShedFraction)
		return
	}
	if sheds := orders.Bounds.MinShedFraction > 0; sheds != (before.Bounds.MinShedFraction > 0) {
		slog.Info("servers warming up", "bounded", sheds, "shed", orders.Bounds.MinShedFraction, "demand", orders.Bounds.NominalRate)
	}
}

// saveCheckpoint writes the checkpoint, if there is one and the sidecar serves as usual.
func (f *coordinator) saveCheckpoint(now time.Time) {
	if f.checkpoint.path == "" || f.machine == nil || f.lastOrders().Phase != recovery.Serving {
		return
	}
	c := checkpoint.Checkpoint{Saved: clock.Wall().UnixMilli(), Demand: f.machine.UsualDemand(), Learned: f.host.Learned()}
	f.withNode(func(_ time.Duration, node *peers.Node) { c.Incarnation = node.Incarnation() })
	f.checkpoint.save(now, c)
}

// close stops all of it after a last checkpoint, and informs the peers that this sidecar
// terminates.
func (f *coordinator) close() {
	close(f.stop)
	f.running.Wait()
	f.saveCheckpoint(time.Now())
	if l := f.currentLink(); l != nil {
		l.Close()
	}
}
