// Package agent supervises the sidecars of one host: it starts them, keeps them running, changes
// them as operations ask and serves the fleet's API over MessagePack-RPC.
//
// It owns the state folder and the host's record. The record holds the desired state: which
// generation of which release each instance should run. One goroutine per instance compares
// that with what runs and acts on the difference. Every change is in the record before it is
// carried out, so an agent that was killed at any point reads its record, finds its processes
// and continues. Sidecars outlive the agent.
//
// It does not decide on its own what an operation does to which instance and when: that is
// package rollout, in the command that runs the operation. When to start, stop or retry a
// process is decided by package supervisor, who may change an instance by package lease.
package agent

import (
	"context"
	"fmt"
	"os"
	"sync"
	"time"

	"martendrum/internal/filelock"
	"martendrum/internal/fleet/api"
	"martendrum/internal/fleet/distribution"
	"martendrum/internal/fleet/distribution/node"
	"martendrum/internal/fleet/lease"
	"martendrum/internal/fleet/release"
	"martendrum/internal/fleet/store"
)

// stepKey identifies a step: an operation has at most one of a kind on an instance.
type stepKey struct{ op, instance, kind string }

// Agent is a running agent. One lock guards its state. The record is written under that lock,
// so that memory and record change together.
type Agent struct {
	config         *Config
	machine        Machine
	releases       *release.Dir
	started        time.Time
	lockFile       *os.File
	loadedSettings []distribution.Entry // from the record; nil once the distribution has started
	stateID        string               // identifies the state folder in the name of each launch

	ctx    context.Context
	cancel context.CancelFunc
	wg     sync.WaitGroup

	mu            sync.Mutex
	store         store.Store
	instances     map[string]*instance
	instanceNames []string // in the order of the configuration
	operations    map[string]*store.Operation
	steps         map[stepKey]*api.Step
	canHandover   map[string]bool      // by release: whether its process said that it supports handover
	lastLeased    map[string]time.Time // by open staged operation: when its leases were last live
	lastBoundary  int64                // the latest at which metrics were collected
	leases        lease.Table
	powerReturn   *powerReturn  // nil: no instance waits for its wave
	settings      *subscription // nil: the host does not subscribe to relays
	relay         *node.Relay   // nil: the agent is no relay; set before it serves
	changeNumber  int64         // counts changes, for callers that wait for the next
	changed       chan struct{} // closed and replaced at each change
	unwritable    string        // why the last write of the record failed; "" if it did not
}

// New opens the state folder, reads the record and begins to supervise the instances. open
// opens the record at a path. The caller ends the agent with Close.
func New(config *Config, m Machine, open func(path string) (store.Store, error)) (*Agent, error) {
	a := &Agent{
		config:      config,
		machine:     m,
		started:     time.Now(),
		instances:   make(map[string]*instance),
		operations:  make(map[string]*store.Operation),
		steps:       make(map[stepKey]*api.Step),
		canHandover: make(map[string]bool),
		lastLeased:  make(map[string]time.Time),
		changed:     make(chan struct{}),
	}
	a.ctx, a.cancel = context.WithCancel(context.Background())
	if err := a.start(open); err != nil {
		a.Close()
		return nil, &StartError{Agent: config.Name, Err: err}
	}
	a.loadedSettings = nil
	for _, name := range a.instanceNames {
		i := a.instances[name]
		a.wg.Go(func() { a.superviseInstance(i) })
	}
	a.wg.Go(a.runHousekeeping)
	return a, nil
}

// start loads the state folder and begins to collect metrics and to distribute settings.
func (a *Agent) start(open func(path string) (store.Store, error)) error {
	if err := a.load(open); err != nil {
		return err
	}
	if err := a.startMetrics(); err != nil {
		return fmt.Errorf("figures: %w", err)
	}
	return a.startDistribution(a.loadedSettings)
}

// Close ends the agent, also one whose start failed, and leaves the sidecars running.
func (a *Agent) Close() {
	a.cancel()
	if a.relay != nil {
		a.relay.Close()
	}
	a.wg.Wait()
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.store != nil {
		a.store.Close()
	}
	if a.lockFile != nil {
		filelock.Release(a.lockFile)
	}
}

// StopAll sets the desired state of every instance to stopped and waits until none runs or ctx
// ends.
func (a *Agent) StopAll(ctx context.Context) error {
	a.mu.Lock()
	change := &store.Change{Audit: []api.AuditEntry{{At: time.Now(), Who: "agent", What: "stop all", Result: "ok"}}}
	for _, i := range a.instances {
		stored := i.stored
		stored.Desired = api.Stopped
		change.Instances = append(change.Instances, stored)
	}
	err := a.commit(change)
	if err == nil {
		for _, stored := range change.Instances {
			i := a.instances[stored.Name]
			i.stored.Desired = api.Stopped
			i.wakeUp()
		}
	}
	for err == nil {
		running := 0
		for _, i := range a.instances {
			if i.supervisor.Process() != 0 {
				running++
			}
		}
		changed := a.changed
		a.mu.Unlock()
		if running == 0 {
			return nil
		}
		select {
		case <-changed:
		case <-ctx.Done():
			err = ctx.Err()
		}
		a.mu.Lock()
	}
	a.mu.Unlock()
	return err
}

// retainedSlots returns how many samples are retained for each instance, one for each slot.
func (a *Agent) retainedSlots() int {
	if a.config.Metrics.Slot <= 0 {
		return 1
	}
	return int(a.config.Metrics.Retention/a.config.Metrics.Slot) + 2
}
