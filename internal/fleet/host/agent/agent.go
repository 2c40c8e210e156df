// Package agent looks after the sidecars of one host: it starts them, keeps them
// running, changes them as operations ask, and answers for them over
// MessagePack-RPC.
//
// It writes down what it will do before it does it, and goes by levels: its record
// says which launch (generation) of which release each instance should run, and
// its runners bring that about. An agent that was killed at any point reads its
// record, finds the processes again and goes on; sidecars outlive it. What should
// be done next is decided in the packages life and lease; what an operation does
// to which instance when, in rollout, by whoever runs the operation.
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

type stepKey struct{ op, instance, kind string }

// Agent is a running agent. One lock guards all it knows; the record is written
// under it, so that memory and record never tell different stories for long.
type Agent struct {
	config         *Config
	machine        Machine
	releases       *release.Dir
	started        time.Time
	lockFile       *os.File
	loadedSettings []distribution.Entry // of the record's settings, until the distribution has begun
	stateID        string               // of the state folder, in the name of each launch

	ctx    context.Context
	cancel context.CancelFunc
	wg     sync.WaitGroup

	mu            sync.Mutex
	store         store.Store
	instances     map[string]*instance
	instanceNames []string // of inst, in the file's order
	operations    map[string]*store.Operation
	steps         map[stepKey]*api.Step
	canHandover   map[string]bool      // releases that said that they hand over
	lastLeased    map[string]time.Time // of open staged operations: when somebody last held them
	lastBoundary  int64                // up to which figures were taken
	leases        lease.Table
	powerReturn   *powerReturn  // of the instances after a power loss; nil: all may start
	settings      *subscription // nil: the host does not follow relays
	relay         *node.Relay   // nil: the agent is none; set before it serves
	changeNumber  int64
	changed       chan struct{} // closed at the next change
	unwritable    string        // why the last write of the record failed
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
		a.abandonStart()
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

// abandonStart releases what a failed start holds.
func (a *Agent) abandonStart() {
	a.cancel()
	a.wg.Wait()
	if a.relay != nil {
		a.relay.Close()
	}
	if a.store != nil {
		a.store.Close()
	}
	if a.lockFile != nil {
		filelock.Release(a.lockFile)
	}
}

// Close ends the agent and leaves the sidecars running.
func (a *Agent) Close() {
	a.cancel()
	if a.relay != nil {
		a.relay.Close()
	}
	a.wg.Wait()
	a.mu.Lock()
	defer a.mu.Unlock()
	a.store.Close()
	filelock.Release(a.lockFile)
}

// StopAll stops every instance for good and waits until none runs, or ctx ends.
func (a *Agent) StopAll(ctx context.Context) error {
	a.mu.Lock()
	c := &store.Change{Audit: []api.AuditEntry{{At: time.Now(), Who: "agent", What: "stop all", Result: "ok"}}}
	for _, i := range a.instances {
		row := i.stored
		row.Desired = api.Stopped
		c.Instances = append(c.Instances, row)
	}
	err := a.commit(c)
	if err == nil {
		for _, row := range c.Instances {
			i := a.instances[row.Name]
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

// retainedSlots is how many slots' figures are kept of each instance.
func (a *Agent) retainedSlots() int {
	if a.config.Metrics.Slot <= 0 {
		return 1
	}
	return int(a.config.Metrics.Retention/a.config.Metrics.Slot) + 2
}
