package agent

import (
	"errors"
	"fmt"
	"maps"
	"os"
	"path/filepath"
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
		return &StateDirInUseError{Lock: lock, Err: err}
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
			return &RemovedInstanceError{Instance: name, PID: row.PID}
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
