package agent

import (
	"errors"
	"fmt"
	"log/slog"
	"maps"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"time"

	"martendrum/internal/filelock"
	"martendrum/internal/fleet/api"
	"martendrum/internal/fleet/host/proc"
	"martendrum/internal/fleet/host/supervisor"
	"martendrum/internal/fleet/release"
	"martendrum/internal/fleet/store"
)

// load opens the state folder and the record, finds the processes that the record speaks of,
// and writes down what has become of them.
func (a *Agent) load(open func(path string) (store.Store, error)) error {
	if err := a.openFolder(); err != nil {
		return err
	}
	snap, err := a.openRecord(open)
	if err != nil {
		return err
	}
	first, err := a.releases.Import(a.config.Sidecar.Binary, a.config.Sidecar.Overlay)
	if err != nil {
		return fmt.Errorf("sidecar: %w", err)
	}
	if a.stateID, err = identity(filepath.Join(a.config.StateDir, "agent.id")); err != nil {
		return err
	}
	begin, loss, now := &store.Change{}, &lossDetector{}, time.Now()
	if err := a.loadInstances(snap.Instances, first, begin, loss, now); err != nil {
		return err
	}
	a.resumeSteps(begin, now)
	a.recoverFromPowerLoss(loss, begin, now)
	if len(begin.Instances)+len(begin.DropInstances)+len(begin.Steps)+len(begin.Leases) == 0 {
		return nil
	}
	return a.store.Commit(a.ctx, begin)
}

// openFolder makes the state folder and takes its lock.
func (a *Agent) openFolder() (err error) {
	for _, sub := range []string{"", "instances", "logs"} {
		if err := os.MkdirAll(filepath.Join(a.config.StateDir, sub), 0o750); err != nil {
			return err
		}
	}
	if err := os.MkdirAll(a.handoverPath(), 0o700); err != nil {
		return err
	}
	lock := filepath.Join(a.config.StateDir, "agent.lock")
	a.lockFile, err = filelock.Acquire(lock, 0o640)
	if errors.Is(err, filelock.ErrLocked) {
		return fmt.Errorf("%s: another agent uses this state_dir: %w", lock, err)
	}
	if err != nil {
		return err
	}
	a.releases, err = release.Open(filepath.Join(a.config.StateDir, "releases"))
	return err
}

// openRecord opens the record and takes over what it holds, but for the instances.
func (a *Agent) openRecord(open func(path string) (store.Store, error)) (snap *store.Snapshot, err error) {
	if a.store, err = open(filepath.Join(a.config.StateDir, "record.db")); err != nil {
		return nil, err
	}
	if snap, err = a.store.Load(a.ctx); err != nil {
		return nil, err
	}
	a.loadedSettings = snap.Settings
	for _, o := range snap.Operations {
		a.operations[o.ID] = &o
	}
	for _, s := range snap.Steps {
		a.steps[stepKey{s.Op, s.Instance, s.Kind}] = &s
	}
	a.leases.Put(snap.Leases)
	return snap, nil
}

// loadInstances sets up the configured instances from their rows and the processes that are
// found; those without a row begin with the release first. begin gets what has changed.
func (a *Agent) loadInstances(known []store.Instance, first string, begin *store.Change, loss *lossDetector, now time.Time) error {
	rows := make(map[string]store.Instance)
	for _, r := range known {
		rows[r.Name] = r
	}
	found := a.machine.Find(a.config.Name + "/")
	maps.DeleteFunc(found, func(launch string, _ proc.Found) bool {
		return !strings.HasPrefix(launch[strings.LastIndexByte(launch, '/')+1:], a.stateID+".")
	})
	boot := a.machine.Boot()
	limits := supervisor.Config{
		KillAfter:  time.Duration(a.config.Limits.KillAfter),
		BackoffMin: time.Duration(a.config.Limits.BackoffMin), BackoffMax: time.Duration(a.config.Limits.BackoffMax),
		MaxCrashes: a.config.Limits.MaxCrash, CrashWithin: time.Duration(a.config.Limits.CrashWithin),
	}
	for _, c := range a.config.Instances {
		row, known := rows[c.Name]
		if !known {
			row = store.Instance{Name: c.Name, Desired: api.Running, Generation: 1, Release: first}
			if c.Stop {
				row.Desired = api.Stopped
			}
			a.recoverInstance(&row, found, boot)
			begin.Instances = append(begin.Instances, row)
		}
		delete(rows, c.Name)
		ran, booted := row.Launch != "" && row.PID != 0 && row.Desired == api.Running, row.Boot == boot
		i := &instance{config: c, stored: row, supervisor: supervisor.New(limits, now), program: row.Running, wake: make(chan struct{}, 1), history: sampleHistory{limit: a.retainedSlots()}}
		a.instances[c.Name] = i
		a.instanceNames = append(a.instanceNames, c.Name)
		launch := i.stored.Launch
		changed := a.findProcess(i, found, boot, now)
		if a.findPreviousProcess(i, launch, found, boot, now) || changed {
			begin.Instances = append(begin.Instances, i.stored)
		}
		loss.observe(i, ran, booted)
	}
	for name, row := range rows {
		// No longer in the file. One that runs must not be forgotten.
		if row.Launch != "" && (proc.Alive(row.PID, row.Ticks) && row.Boot == boot || found[row.Launch].PID != 0) {
			return fmt.Errorf("instance %s is not in the configuration any more and its process %d runs: stop it before it is taken out", name, row.PID)
		}
		begin.DropInstances = append(begin.DropInstances, name)
	}
	return nil
}

// resumeSteps gives steps that were under way back to their instances, and ends those whose
// instance is gone.
func (a *Agent) resumeSteps(begin *store.Change, now time.Time) {
	for _, s := range a.steps {
		if s.Status != api.StepRunning {
			continue
		}
		if i := a.instances[s.Instance]; i != nil {
			i.step = s
			continue
		}
		s.Status, s.Reason, s.Finished = api.StepFailed, "the instance was taken out of the agent's configuration", now
		begin.Steps = append(begin.Steps, *s)
	}
}

// recoverInstance takes over an instance that no record names and that runs: the record was
// lost. What it runs stays, and is what is wanted, if that release is kept here.
func (a *Agent) recoverInstance(row *store.Instance, found map[string]proc.Found, boot string) {
	for launch, f := range found {
		generation, ok := a.generation(launch, row.Name)
		if !ok || generation < row.Process { // of two the later one; find looks after the other
			continue
		}
		row.Desired, row.Generation = api.Running, generation
		setRunning(row, launch, generation, f, boot)
		if row.Running != "" && a.releases.Verify(row.Running) == nil {
			row.Release = row.Running
		}
		slog.Warn("an instance that no record names was found running", "instance", row.Name, "pid", f.PID, "generation", generation)
	}
}

// generation is the generation in the name of a launch of that instance.
func (a *Agent) generation(launch, name string) (generation int64, ok bool) {
	rest, ok := strings.CutPrefix(launch, a.config.Name+"/"+name+"/")
	text, _, _ := strings.Cut(rest, "/")
	generation, err := strconv.ParseInt(text, 10, 64)
	return generation, ok && err == nil && generation >= 1
}

// setRunning makes a process that was found the row's.
func setRunning(row *store.Instance, launch string, generation int64, f proc.Found, boot string) {
	row.Launch, row.Process, row.PID, row.Ticks, row.Boot, row.Running = launch, generation, f.PID, f.Ticks, boot, ""
	if hash := filepath.Base(filepath.Dir(f.Exe)); release.Valid(hash) {
		row.Running = hash
	}
}

// findPreviousProcess looks for a process that was being replaced when the agent ended: its launch
// is not the row's any more. It is the instance's process again if the new one has not
// come about. It says whether the row has changed.
func (a *Agent) findPreviousProcess(i *instance, launch string, found map[string]proc.Found, boot string, now time.Time) bool {
	for other, f := range found {
		generation, ok := a.generation(other, i.config.Name)
		if !ok || other == launch {
			continue
		}
		p, err := a.machine.Adopt(a.ctx, f.PID, f.Ticks)
		if err != nil {
			continue
		}
		slog.Info("a process that was being replaced was found", "instance", i.config.Name, "pid", f.PID, "launch", other)
		old := i.stored
		setRunning(&old, other, generation, f, boot)
		if i.process != nil {
			i.previous, i.storedPrevious = p, old
			i.supervisor.AdoptOld(generation)
			return false
		}
		i.process, i.stored = p, old
		i.supervisor.Adopt(now, generation)
		if i.exitedGeneration != 0 {
			i.supervisor.AdoptFailed(i.exitedGeneration, i.stored.LastExit)
			i.exitedGeneration = 0
		}
		return true
	}
	return false
}

// findProcess looks for the process that the record speaks of, and says whether the row
// has changed.
func (a *Agent) findProcess(i *instance, found map[string]proc.Found, boot string, now time.Time) bool {
	row := &i.stored
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
			i.process = p
			i.supervisor.Adopt(now, row.Process)
			fresh := row.PID != pid
			row.PID, row.Ticks, row.Boot = pid, ticks, boot
			return fresh
		}
	}
	if row.PID != 0 {
		// It ran, and ended while nobody looked.
		row.LastExit = "ended while the agent was away"
		i.exitedGeneration = row.Process
	}
	row.Launch, row.PID, row.Process, row.Running = "", 0, 0, ""
	return true
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
