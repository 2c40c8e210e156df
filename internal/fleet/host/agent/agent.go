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
	"crypto/rand"
	"encoding/hex"
	"errors"
	"fmt"
	"log/slog"
	"os"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"martendrum/internal/filelock"
	"martendrum/internal/fleet/api"
	"martendrum/internal/fleet/distribution"
	"martendrum/internal/fleet/distribution/node"
	"martendrum/internal/fleet/host/proc"
	"martendrum/internal/fleet/host/scrape"
	"martendrum/internal/fleet/lease"
	"martendrum/internal/fleet/release"
	"martendrum/internal/fleet/store"
)

// Machine is what instances run on. Processes is the real one.
type Machine interface {
	Start(s proc.Spec) (*Process, error)
	Adopt(ctx context.Context, pid int, ticks uint64) (*Process, error)
	Find(prefix string) map[string]proc.Found
	Health(ctx context.Context, addr string, limit time.Duration) (proc.Healthy, error)
	// Metrics asks a process's operators' door; of the sample, only the figures count.
	Metrics(ctx context.Context, door string, pid int, limit time.Duration) (*api.Sample, error)
	Boot() string
}

// Process is a running process of a Machine.
type Process struct {
	PID    int
	Ticks  uint64
	Done   <-chan struct{}
	Exit   func() string // valid once Done is closed
	Signal func(syscall.Signal) error
}

// Processes runs instances as processes of this machine.
type Processes struct{}

func wrap(p *proc.Proc, err error) (*Process, error) {
	if err != nil {
		return nil, err
	}
	return &Process{PID: p.PID, Ticks: p.Ticks, Done: p.Done, Exit: p.Exit, Signal: p.Signal}, nil
}

func (Processes) Start(s proc.Spec) (*Process, error) { return wrap(proc.Start(s)) }
func (Processes) Adopt(ctx context.Context, pid int, ticks uint64) (*Process, error) {
	return wrap(proc.Adopt(ctx, pid, ticks))
}
func (Processes) Find(prefix string) map[string]proc.Found { return proc.Find(prefix) }
func (Processes) Boot() string                             { return proc.Boot() }
func (Processes) Health(ctx context.Context, addr string, limit time.Duration) (proc.Healthy, error) {
	return proc.Health(ctx, addr, limit)
}

func (Processes) Metrics(ctx context.Context, door string, pid int, limit time.Duration) (*api.Sample, error) {
	s, err := scrape.Metrics(ctx, door, limit)
	if err != nil {
		return nil, err
	}
	s.Memory, s.Files, err = scrape.Usage(pid)
	return s, err
}

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

// New opens the state folder, reads the record and begins to look after the
// instances. open opens the record at a path. Close ends it.
func New(cfg *Config, m Machine, open func(path string) (store.Store, error)) (*Agent, error) {
	a := &Agent{
		config: cfg, machine: m, started: time.Now(),
		instances: make(map[string]*instance), operations: make(map[string]*store.Operation), steps: make(map[stepKey]*api.Step),
		canHandover: make(map[string]bool), lastLeased: make(map[string]time.Time),
		changed: make(chan struct{}),
	}
	a.ctx, a.cancel = context.WithCancel(context.Background())
	if err := a.load(open); err != nil {
		a.cancel()
		if a.store != nil {
			a.store.Close()
		}
		if a.lockFile != nil {
			filelock.Release(a.lockFile)
		}
		return nil, fmt.Errorf("agent %s: %w", cfg.Name, err)
	}
	if a.config.Metrics.Slot > 0 {
		j, err := openMetricsJournal(a.metricsPath(), a.retainedSlots()*max(1, len(a.instanceNames)), func(s api.Sample) {
			if i := a.instances[s.Instance]; i != nil {
				i.history.add(s)
			}
		})
		if err != nil {
			a.cancel()
			a.store.Close()
			filelock.Release(a.lockFile)
			return nil, fmt.Errorf("agent %s: figures: %w", cfg.Name, err)
		}
		a.wg.Go(func() { a.collectMetrics(j) })
	}
	if err := a.startDistribution(a.loadedSettings); err != nil {
		a.cancel()
		a.wg.Wait()
		if a.relay != nil {
			a.relay.Close()
		}
		a.store.Close()
		filelock.Release(a.lockFile)
		return nil, fmt.Errorf("agent %s: %w", cfg.Name, err)
	}
	a.loadedSettings = nil
	for _, name := range a.instanceNames {
		i := a.instances[name]
		a.wg.Go(func() { a.superviseInstance(i) })
	}
	a.wg.Go(a.runHousekeeping)
	return a, nil
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

// notifyChanged tells those who wait that something has changed.
func (a *Agent) notifyChanged() {
	a.changeNumber++
	close(a.changed)
	a.changed = make(chan struct{})
}

// commitTimeout is how long a write of the record may take.
const commitTimeout = 5 * time.Second

// commit writes a change. On success it is for the caller to take it over into
// memory, still under the lock.
func (a *Agent) commit(c *store.Change) error {
	if err := a.ctx.Err(); err != nil {
		return api.Errorf(api.Unwritable, "agent %s is stopping", a.config.Name)
	}
	if len(c.Audit) > 0 {
		c.AuditLimit = a.config.Limits.Audit
	}
	ctx, cancel := context.WithTimeout(a.ctx, commitTimeout)
	defer cancel()
	if err := a.store.Commit(ctx, c); err != nil {
		if a.unwritable == "" {
			slog.Error("the record can't be written", "err", err)
		}
		a.unwritable = err.Error()
		return api.Errorf(api.Unwritable, "agent %s: the record can't be written, so nothing was touched: %v", a.config.Name, err)
	}
	if a.unwritable != "" {
		slog.Info("the record can be written again")
	}
	a.unwritable = ""
	a.notifyChanged()
	return nil
}

// persistOrMarkDirty writes down what has happened already. Where that fails it stays in memory
// and is written with the next that can be: after a kill meanwhile, the processes
// themselves tell.
func (a *Agent) persistOrMarkDirty(i *instance, s *api.Step) {
	c := &store.Change{Instances: []store.Instance{i.stored}}
	if s != nil {
		c.Steps = []api.Step{*s}
	}
	if a.commit(c) != nil {
		i.dirty = true
		a.notifyChanged()
	}
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

func (a *Agent) logPath(name string) string {
	return filepath.Join(a.config.StateDir, "logs", name+".log")
}

// handoverPath is the folder in which an old process and a new one find each other.
func (a *Agent) handoverPath() string { return filepath.Join(a.config.StateDir, "meet") }

func (a *Agent) configPath(name string) string {
	return filepath.Join(a.config.StateDir, "instances", name+".json")
}

// random is a new name for a launch, a seed or the like.
func random() string {
	var b [8]byte
	rand.Read(b[:])
	return hex.EncodeToString(b[:])
}

// writeFile replaces a file whole or not at all.
func writeFile(path string, data []byte) error {
	f, err := os.OpenFile(path+".new", os.O_CREATE|os.O_TRUNC|os.O_WRONLY, 0o640)
	if err != nil {
		return err
	}
	_, err = f.Write(data)
	err = errors.Join(err, f.Sync(), f.Close())
	if err != nil {
		return err
	}
	return os.Rename(path+".new", path)
}
