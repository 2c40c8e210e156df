// Package agent supervises the sidecars of one host: it starts them, keeps them running, changes
// them as the operators' operations request and serves the fleet's API over MessagePack-RPC.
//
// The agent owns the state folder and the record, a database. The record holds the desired
// state: the generation and the release that each instance should run. One goroutine per instance
// compares the desired state with the running processes and acts on the difference. Every change
// is written to the record before it is carried out, so an agent that was killed at any point
// reads its record, finds its processes and continues. Sidecars outlive the agent.
//
// Three decisions are made elsewhere. Package rollout, in the command that runs an operation,
// decides which instances the operation changes and when. Package supervisor decides when to
// start, stop or retry a process. Package lease decides which operation may change an instance.
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

// stepKey identifies a step. An operation has at most one step of each kind on an instance.
type stepKey struct{ op, instance, kind string }

// Agent is a running agent. mu guards the fields below it. The record is written while mu is
// held, so that memory and record change together.
type Agent struct {
	config         *Config
	machine        Machine
	releases       *release.Dir
	started        time.Time
	lockFile       *os.File
	loadedSettings []distribution.Entry // from the record; nil once the distribution of settings has started
	stateID        string               // identifies the state folder; part of each launch ID

	ctx    context.Context
	cancel context.CancelFunc
	wg     sync.WaitGroup

	mu            sync.Mutex
	store         store.Store
	instances     map[string]*instance
	instanceNames []string // in the order of the configuration file
	operations    map[string]*store.Operation
	droppedUntil  time.Time // operations created up to this time may have been dropped from the record
	steps         map[stepKey]*api.Step
	canHandover   map[string]bool      // by release: whether its processes report support for the hand-over
	lastLeased    map[string]time.Time // by ID of an open staged operation: when one of its leases was last live
	lastBoundary  int64                // number of the latest slot boundary at which metrics were collected
	leases        lease.Table
	powerReturn   *powerReturn  // nil: no recent power loss
	settings      *subscription // nil: the host does not subscribe to relays
	relay         *node.Relay   // nil: the agent is not a relay; set before the agent serves calls
	changeNumber  int64         // number of changes so far, for callers that wait for the next one
	changed       chan struct{} // closed and replaced at each change
	unwritable    string        // error of the last write of the record; "": it succeeded
}

// New opens the state folder, reads the record and begins to supervise the instances. open opens
// the record's store; its argument is the path to use if that store is a file. Errors are of type
// *StartError. The caller must call Close on the returned agent.
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
		inst := a.instances[name]
		a.wg.Go(func() { a.superviseInstance(inst) })
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
		return fmt.Errorf("metrics journal: %w", err)
	}
	return a.startDistribution(a.loadedSettings)
}

// Close stops the agent and leaves the sidecars running. It returns when the agent's goroutines
// have ended. It also works on an agent whose start failed.
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

// StopAll sets the desired state of every instance to stopped and waits until no sidecar runs.
// It returns an error if the record can't be written or ctx ends first.
func (a *Agent) StopAll(ctx context.Context) error {
	a.mu.Lock()
	change := &store.Change{Audit: []api.AuditEntry{{At: time.Now(), Who: "agent", What: "stop all", Result: "ok"}}}
	for _, inst := range a.instances {
		stored := inst.stored
		stored.Desired = api.Stopped
		change.Instances = append(change.Instances, stored)
	}
	err := a.commit(change)
	if err == nil {
		for _, stored := range change.Instances {
			inst := a.instances[stored.Name]
			inst.stored.Desired = api.Stopped
			inst.wakeUp()
		}
	}
	for err == nil {
		running := 0
		for _, inst := range a.instances {
			if inst.supervisor.Process() != 0 {
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

// retainedSlots returns how many samples are retained for each instance, at one sample a slot.
func (a *Agent) retainedSlots() int {
	if a.config.Metrics.Slot <= 0 {
		return 1
	}
	return int(a.config.Metrics.Retention/a.config.Metrics.Slot) + 2
}
