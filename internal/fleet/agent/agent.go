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
	"maps"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"martendrum/internal/filelock"
	"martendrum/internal/fleet/api"
	"martendrum/internal/fleet/distribution"
	"martendrum/internal/fleet/distribution/node"
	"martendrum/internal/fleet/lease"
	"martendrum/internal/fleet/life"
	"martendrum/internal/fleet/proc"
	"martendrum/internal/fleet/release"
	"martendrum/internal/fleet/scrape"
	"martendrum/internal/fleet/store"
)

// Machine is what instances run on. Processes is the real one.
type Machine interface {
	Start(s proc.Spec) (*Process, error)
	Adopt(ctx context.Context, pid int, ticks uint64) (*Process, error)
	Find(prefix string) map[string]proc.Found
	Health(ctx context.Context, addr string, most time.Duration) (proc.Healthy, error)
	// Figures asks a process's operators' door; of the sample, only the figures count.
	Figures(ctx context.Context, door string, pid int, most time.Duration) (*api.Sample, error)
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
func (Processes) Health(ctx context.Context, addr string, most time.Duration) (proc.Healthy, error) {
	return proc.Health(ctx, addr, most)
}

func (Processes) Figures(ctx context.Context, door string, pid int, most time.Duration) (*api.Sample, error) {
	s, err := scrape.Door(ctx, door, most)
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
	cfg      *Config
	machine  Machine
	releases *release.Dir
	started  time.Time
	flock    *os.File
	rows     []distribution.Row // of the record's settings, until the distribution has begun
	id       string             // of the state folder, in the name of each launch

	ctx    context.Context
	cancel context.CancelFunc
	wg     sync.WaitGroup

	mu         sync.Mutex
	store      store.Store
	inst       map[string]*instance
	names      []string // of inst, in the file's order
	ops        map[string]*store.Operation
	steps      map[stepKey]*api.Step
	hands      map[string]bool      // releases that said that they hand over
	heldAt     map[string]time.Time // of open staged operations: when somebody last held them
	boundary   int64                // up to which figures were taken
	leases     lease.Table
	back       *comeback     // of the instances after a power loss; nil: all may start
	settings   *subscription // nil: the host does not follow relays
	relay      *node.Relay   // nil: the agent is none; set before it serves
	change     int64
	changed    chan struct{} // closed at the next change
	unwritable string        // why the last write of the record failed
}

// New opens the state folder, reads the record and begins to look after the
// instances. open opens the record at a path. Close ends it.
func New(cfg *Config, m Machine, open func(path string) (store.Store, error)) (*Agent, error) {
	a := &Agent{
		cfg: cfg, machine: m, started: time.Now(),
		inst: make(map[string]*instance), ops: make(map[string]*store.Operation), steps: make(map[stepKey]*api.Step),
		hands: make(map[string]bool), heldAt: make(map[string]time.Time),
		changed: make(chan struct{}),
	}
	a.ctx, a.cancel = context.WithCancel(context.Background())
	if err := a.load(open); err != nil {
		a.cancel()
		if a.store != nil {
			a.store.Close()
		}
		if a.flock != nil {
			filelock.Release(a.flock)
		}
		return nil, fmt.Errorf("agent %s: %w", cfg.Name, err)
	}
	if a.cfg.Figures.Slot > 0 {
		j, err := openJournal(a.figuresPath(), a.keepSlots()*max(1, len(a.names)), func(s api.Sample) {
			if i := a.inst[s.Instance]; i != nil {
				i.ring.add(s)
			}
		})
		if err != nil {
			a.cancel()
			a.store.Close()
			filelock.Release(a.flock)
			return nil, fmt.Errorf("agent %s: figures: %w", cfg.Name, err)
		}
		a.wg.Go(func() { a.takeFigures(j) })
	}
	if err := a.startDistribution(a.rows); err != nil {
		a.cancel()
		a.wg.Wait()
		if a.relay != nil {
			a.relay.Close()
		}
		a.store.Close()
		filelock.Release(a.flock)
		return nil, fmt.Errorf("agent %s: %w", cfg.Name, err)
	}
	a.rows = nil
	for _, name := range a.names {
		i := a.inst[name]
		a.wg.Go(func() { a.run(i) })
	}
	a.wg.Go(a.keep)
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
	filelock.Release(a.flock)
}

func (a *Agent) load(open func(path string) (store.Store, error)) (err error) {
	for _, sub := range []string{"", "instances", "logs"} {
		if err := os.MkdirAll(filepath.Join(a.cfg.StateDir, sub), 0o750); err != nil {
			return err
		}
	}
	if err := os.MkdirAll(a.meetPath(), 0o700); err != nil {
		return err
	}
	lock := filepath.Join(a.cfg.StateDir, "agent.lock")
	a.flock, err = filelock.Acquire(lock, 0o640)
	if errors.Is(err, filelock.ErrHeld) {
		return fmt.Errorf("%s: another agent uses this state_dir: %w", lock, err)
	}
	if err != nil {
		return err
	}
	if a.releases, err = release.Open(filepath.Join(a.cfg.StateDir, "releases")); err != nil {
		return err
	}
	if a.store, err = open(filepath.Join(a.cfg.StateDir, "record.db")); err != nil {
		return err
	}
	snap, err := a.store.Load(a.ctx)
	if err != nil {
		return err
	}
	a.rows = snap.Settings
	rows := make(map[string]store.Instance)
	for _, r := range snap.Instances {
		rows[r.Name] = r
	}
	for _, o := range snap.Operations {
		a.ops[o.ID] = &o
	}
	for _, s := range snap.Steps {
		a.steps[stepKey{s.Op, s.Instance, s.Kind}] = &s
	}
	a.leases.Put(snap.Leases)
	first, err := a.releases.Import(a.cfg.Sidecar.Binary, a.cfg.Sidecar.Overlay)
	if err != nil {
		return fmt.Errorf("sidecar: %w", err)
	}
	begin := &store.Change{}
	if a.id, err = identity(filepath.Join(a.cfg.StateDir, "agent.id")); err != nil {
		return err
	}
	found := a.machine.Find(a.cfg.Name + "/")
	maps.DeleteFunc(found, func(launch string, _ proc.Found) bool {
		return !strings.HasPrefix(launch[strings.LastIndexByte(launch, '/')+1:], a.id+".")
	})
	boot, now := a.machine.Boot(), time.Now()
	loss := &loss{}
	limits := life.Config{
		KillAfter:  time.Duration(a.cfg.Limits.KillAfter),
		BackoffMin: time.Duration(a.cfg.Limits.BackoffMin), BackoffMax: time.Duration(a.cfg.Limits.BackoffMax),
		CrashMost: a.cfg.Limits.CrashMost, CrashWithin: time.Duration(a.cfg.Limits.CrashWithin),
	}
	for _, c := range a.cfg.Instances {
		row, known := rows[c.Name]
		if !known {
			row = store.Instance{Name: c.Name, Desired: api.Running, Generation: 1, Release: first}
			if c.Stop {
				row.Desired = api.Stopped
			}
			a.recover(&row, found, boot)
			begin.Instances = append(begin.Instances, row)
		}
		delete(rows, c.Name)
		ran, booted := row.Launch != "" && row.PID != 0 && row.Desired == api.Running, row.Boot == boot
		i := &instance{cfg: c, row: row, life: life.New(limits, now), wake: make(chan struct{}, 1), ring: ring{most: a.keepSlots()}}
		a.inst[c.Name] = i
		a.names = append(a.names, c.Name)
		launch := i.row.Launch
		changed := a.find(i, found, boot, now)
		if a.findOld(i, launch, found, boot, now) || changed {
			begin.Instances = append(begin.Instances, i.row)
		}
		loss.saw(i, ran, booted)
	}
	for name, row := range rows {
		// No longer in the file. One that runs must not be forgotten.
		if row.Launch != "" && (proc.Alive(row.PID, row.Ticks) && row.Boot == boot || found[row.Launch].PID != 0) {
			return fmt.Errorf("instance %s is not in the configuration any more and its process %d runs: stop it before it is taken out", name, row.PID)
		}
		begin.DropInstances = append(begin.DropInstances, name)
	}
	for _, s := range a.steps {
		if s.Status != api.StepRunning {
			continue
		}
		if i := a.inst[s.Instance]; i != nil {
			i.step = s
		} else {
			s.Status, s.Reason, s.Ended = api.StepFailed, "the instance was taken out of the agent's configuration", now
			begin.Steps = append(begin.Steps, *s)
		}
	}
	a.comeBack(loss, begin, now)
	if len(begin.Instances)+len(begin.DropInstances)+len(begin.Steps)+len(begin.Leases) == 0 {
		return nil
	}
	return a.store.Commit(a.ctx, begin)
}

// recover takes over an instance that no record names and that runs: the record was
// lost. What it runs stays, and is what is wanted, if that release is kept here.
func (a *Agent) recover(row *store.Instance, found map[string]proc.Found, boot string) {
	for launch, f := range found {
		generation, ok := a.generation(launch, row.Name)
		if !ok || generation < row.Process { // of two the later one; find looks after the other
			continue
		}
		row.Desired, row.Generation = api.Running, generation
		runs(row, launch, generation, f, boot)
		if row.Running != "" && a.releases.Verify(row.Running) == nil {
			row.Release = row.Running
		}
		slog.Warn("an instance that no record names was found running", "instance", row.Name, "pid", f.PID, "generation", generation)
	}
}

// generation is the generation in the name of a launch of that instance.
func (a *Agent) generation(launch, name string) (generation int64, ok bool) {
	rest, ok := strings.CutPrefix(launch, a.cfg.Name+"/"+name+"/")
	text, _, _ := strings.Cut(rest, "/")
	generation, err := strconv.ParseInt(text, 10, 64)
	return generation, ok && err == nil && generation >= 1
}

// runs makes a process that was found the row's.
func runs(row *store.Instance, launch string, generation int64, f proc.Found, boot string) {
	row.Launch, row.Process, row.PID, row.Ticks, row.Boot, row.Running = launch, generation, f.PID, f.Ticks, boot, ""
	if hash := filepath.Base(filepath.Dir(f.Exe)); release.Valid(hash) {
		row.Running = hash
	}
}

// findOld looks for a process that was being replaced when the agent ended: its launch
// is not the row's any more. It is the instance's process again if the new one has not
// come about. It says whether the row has changed.
func (a *Agent) findOld(i *instance, launch string, found map[string]proc.Found, boot string, now time.Time) bool {
	for other, f := range found {
		generation, ok := a.generation(other, i.cfg.Name)
		if !ok || other == launch {
			continue
		}
		p, err := a.machine.Adopt(a.ctx, f.PID, f.Ticks)
		if err != nil {
			continue
		}
		slog.Info("a process that was being replaced was found", "instance", i.cfg.Name, "pid", f.PID, "launch", other)
		old := i.row
		runs(&old, other, generation, f, boot)
		if i.proc != nil {
			i.prev, i.prevRow = p, old
			i.life.AdoptOld(generation)
			return false
		}
		i.proc, i.row = p, old
		i.life.Adopt(now, generation)
		if i.gone != 0 {
			i.life.AdoptFailed(i.gone, i.row.LastExit)
			i.gone = 0
		}
		return true
	}
	return false
}

// find looks for the process that the record speaks of, and says whether the row
// has changed.
func (a *Agent) find(i *instance, found map[string]proc.Found, boot string, now time.Time) bool {
	row := &i.row
	if row.Launch == "" {
		return false
	}
	pid, ticks := row.PID, row.Ticks
	if pid == 0 || row.Boot != boot {
		// Written before its start, which may have come about or not.
		pid, ticks = found[row.Launch].PID, found[row.Launch].Ticks
	}
	if pid != 0 {
		if p, err := a.machine.Adopt(a.ctx, pid, ticks); err == nil {
			i.proc = p
			i.life.Adopt(now, row.Process)
			fresh := row.PID != pid
			row.PID, row.Ticks, row.Boot = pid, ticks, boot
			return fresh
		}
	}
	if row.PID != 0 {
		// It ran, and ended while nobody looked.
		row.LastExit = "ended while the agent was away"
		i.gone = row.Process
	}
	row.Launch, row.PID, row.Process, row.Running = "", 0, 0, ""
	return true
}

// bump tells those who wait that something has changed.
func (a *Agent) bump() {
	a.change++
	close(a.changed)
	a.changed = make(chan struct{})
}

// commitMost is how long a write of the record may take.
const commitMost = 5 * time.Second

// commit writes a change. On success it is for the caller to take it over into
// memory, still under the lock.
func (a *Agent) commit(c *store.Change) error {
	if err := a.ctx.Err(); err != nil {
		return api.Errorf(api.Unwritable, "agent %s is stopping", a.cfg.Name)
	}
	if len(c.Audit) > 0 {
		c.AuditKeep = a.cfg.Limits.Audit
	}
	ctx, cancel := context.WithTimeout(a.ctx, commitMost)
	defer cancel()
	if err := a.store.Commit(ctx, c); err != nil {
		if a.unwritable == "" {
			slog.Error("the record can't be written", "err", err)
		}
		a.unwritable = err.Error()
		return api.Errorf(api.Unwritable, "agent %s: the record can't be written, so nothing was touched: %v", a.cfg.Name, err)
	}
	if a.unwritable != "" {
		slog.Info("the record can be written again")
	}
	a.unwritable = ""
	a.bump()
	return nil
}

// told writes down what has happened already. Where that fails it stays in memory
// and is written with the next that can be: after a kill meanwhile, the processes
// themselves tell.
func (a *Agent) told(i *instance, s *api.Step) {
	c := &store.Change{Instances: []store.Instance{i.row}}
	if s != nil {
		c.Steps = []api.Step{*s}
	}
	if a.commit(c) != nil {
		i.dirty = true
		a.bump()
	}
}

// keepEach is how often the agent's own housekeeping is done.
const keepEach = time.Second

// keep writes what could not be written, ends operations that were aborted, and
// keeps the record, releases and logs within their bounds.
func (a *Agent) keep() {
	t := time.NewTicker(keepEach)
	defer t.Stop()
	for n := 0; ; n++ {
		select {
		case <-a.ctx.Done():
			return
		case <-t.C:
		}
		a.mu.Lock()
		a.rewrite()
		a.endAborted()
		a.alone(time.Now())
		a.steady(time.Since(a.started))
		var used []string
		for _, i := range a.inst {
			used = append(used, i.row.Release, i.row.Previous, i.row.Running, i.prevRow.Running)
		}
		for _, o := range a.ops {
			if o.State != api.OpClosed {
				used = append(used, o.Release)
			}
		}
		maps.DeleteFunc(a.hands, func(release string, _ bool) bool { return !slices.Contains(used, release) })
		a.mu.Unlock()
		if n%30 == 29 {
			if err := a.releases.Keep(used, a.cfg.Limits.Releases); err != nil {
				slog.Warn("old releases stay", "err", err)
			}
		}
		if n%5 == 4 {
			for _, name := range a.names {
				if err := proc.Rotate(a.logPath(name), int64(a.cfg.Limits.Log)); err != nil {
					slog.Warn("log not rotated", "instance", name, "err", err)
				}
			}
		}
	}
}

// rewrite writes all that the record may lack.
func (a *Agent) rewrite() {
	c := &store.Change{}
	for _, i := range a.inst {
		if i.dirty {
			c.Instances = append(c.Instances, i.row)
			c.Settings = append(c.Settings, i.settingsRows()...)
			for _, s := range a.steps {
				if s.Instance == i.cfg.Name {
					c.Steps = append(c.Steps, *s)
				}
			}
		}
	}
	if len(c.Instances) == 0 && a.unwritable == "" || len(a.names) == 0 {
		return
	}
	if len(c.Instances) == 0 { // is it writable again?
		c.Instances = append(c.Instances, a.inst[a.names[0]].row)
	}
	if a.commit(c) == nil {
		for _, i := range a.inst {
			i.dirty = false
		}
	}
}

// endAborted closes operations that are to end, once nothing of them runs and
// nobody holds them.
func (a *Agent) endAborted() {
	for _, o := range a.ops {
		if o.State == api.OpAborting && !a.held(o.ID, time.Now()) && !a.busy(o.ID) {
			if err := a.closeOp(o, "aborted", "agent"); err != nil {
				return
			}
		}
	}
}

func (a *Agent) held(op string, now time.Time) bool {
	for _, l := range a.leases.ByInstance {
		if l.Op == op && l.Live(now) {
			return true
		}
	}
	return false
}

func (a *Agent) busy(op string) bool {
	for _, i := range a.inst {
		if i.step != nil && i.step.Op == op {
			return true
		}
	}
	return false
}

// closeOp ends an operation and its leases here, and forgets the oldest.
func (a *Agent) closeOp(o *store.Operation, result, who string) error {
	now := time.Now()
	next := *o
	next.State, next.Result, next.Closed = api.OpClosed, result, now
	c := &store.Change{Operations: []store.Operation{next}, Audit: []api.AuditEntry{{At: now, Who: who, What: "op.close", Target: o.ID, Result: result}}}
	for _, l := range a.leases.ByInstance {
		if l.Op == o.ID && l.Live(now) {
			l.Expires = now
			c.Leases = append(c.Leases, l)
		}
	}
	var closed []*store.Operation
	for _, x := range a.ops {
		if x.State == api.OpClosed {
			closed = append(closed, x)
		}
	}
	slices.SortFunc(closed, func(x, y *store.Operation) int { return x.Closed.Compare(y.Closed) })
	for len(closed) >= a.cfg.Limits.Operations {
		c.DropOperations = append(c.DropOperations, closed[0].ID)
		closed = closed[1:]
	}
	if err := a.commit(c); err != nil {
		return err
	}
	*o = next
	a.leases.Put(c.Leases)
	for _, id := range c.DropOperations {
		delete(a.ops, id)
		for k := range a.steps {
			if k.op == id {
				delete(a.steps, k)
			}
		}
	}
	return nil
}

// StopAll stops every instance for good and waits until none runs, or ctx ends.
func (a *Agent) StopAll(ctx context.Context) error {
	a.mu.Lock()
	c := &store.Change{Audit: []api.AuditEntry{{At: time.Now(), Who: "agent", What: "stop all", Result: "ok"}}}
	for _, i := range a.inst {
		row := i.row
		row.Desired = api.Stopped
		c.Instances = append(c.Instances, row)
	}
	err := a.commit(c)
	if err == nil {
		for _, row := range c.Instances {
			i := a.inst[row.Name]
			i.row.Desired = api.Stopped
			i.poke()
		}
	}
	for err == nil {
		running := 0
		for _, i := range a.inst {
			if i.life.Process() != 0 {
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

// keepSlots is how many slots' figures are kept of each instance.
func (a *Agent) keepSlots() int {
	if a.cfg.Figures.Slot <= 0 {
		return 1
	}
	return int(a.cfg.Figures.Keep/a.cfg.Figures.Slot) + 2
}

func (a *Agent) logPath(name string) string {
	return filepath.Join(a.cfg.StateDir, "logs", name+".log")
}

// meetPath is the folder in which an old process and a new one find each other.
func (a *Agent) meetPath() string { return filepath.Join(a.cfg.StateDir, "meet") }

func (a *Agent) configPath(name string) string {
	return filepath.Join(a.cfg.StateDir, "instances", name+".json")
}

// random is a new name for a launch, a seed or the like.
func random() string {
	var b [8]byte
	rand.Read(b[:])
	return hex.EncodeToString(b[:])
}

// identity is the state folder's own name, made once. Another agent of the same
// name on this machine has another folder, and its sidecars are not taken for ours.
func identity(path string) (string, error) {
	b, err := os.ReadFile(path)
	if err == nil && len(b) > 0 {
		return string(b), nil
	}
	if err != nil && !errors.Is(err, os.ErrNotExist) {
		return "", err
	}
	id := random()
	return id, writeFile(path, []byte(id))
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
