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

// load opens the state folder and the record, finds the instances' processes and writes to the
// record what has changed while no agent was running.
func (a *Agent) load(open func(path string) (store.Store, error)) error {
	if err := a.openFolder(); err != nil {
		return err
	}
	snapshot, err := a.openRecord(open)
	if err != nil {
		return err
	}
	initialRelease, err := a.releases.Import(a.config.Sidecar.Binary, a.config.Sidecar.Overlay)
	if err != nil {
		return fmt.Errorf("sidecar: %w", err)
	}
	if a.stateID, err = loadStateID(filepath.Join(a.config.StateDir, "agent.id")); err != nil {
		return err
	}
	change, detector, now := &store.Change{}, &lossDetector{}, time.Now()
	if err := a.loadInstances(snapshot.Instances, initialRelease, change, detector, now); err != nil {
		return err
	}
	a.loadDroppedUntil(snapshot, change, now)
	a.resumeSteps(change, now)
	a.recoverFromPowerLoss(detector, change, now)
	if len(change.Instances)+len(change.DropInstances)+len(change.Steps)+len(change.Leases) == 0 && change.DroppedUntil.IsZero() {
		return nil
	}
	return a.store.Commit(a.ctx, change)
}

// openFolder creates the state folder if it is missing, locks it and opens the releases in it.
// The error is a *StateDirInUseError if another agent has the lock.
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

// openRecord opens the record and loads the settings, operations, steps and leases from it. The
// caller loads the instances from the returned snapshot.
func (a *Agent) openRecord(open func(path string) (store.Store, error)) (snapshot *store.Snapshot, err error) {
	if a.store, err = open(filepath.Join(a.config.StateDir, "record.db")); err != nil {
		return nil, err
	}
	if snapshot, err = a.store.Load(a.ctx); err != nil {
		return nil, err
	}
	a.loadedSettings = snapshot.Settings
	for _, operation := range snapshot.Operations {
		a.operations[operation.ID] = &operation
	}
	for _, step := range snapshot.Steps {
		a.steps[stepKey{step.Op, step.Instance, step.Kind}] = &step
	}
	a.leases.Put(snapshot.Leases)
	return snapshot, nil
}

// loadDroppedUntil sets a.droppedUntil from the record. A record without it is new, and may replace one
// that was lost, or is that of a build that dropped operations without a trace. Any operation that was
// created before may therefore be missing, and now is added to change as the time.
func (a *Agent) loadDroppedUntil(snapshot *store.Snapshot, change *store.Change, now time.Time) {
	a.droppedUntil = snapshot.DroppedUntil
	if a.droppedUntil.IsZero() {
		a.droppedUntil, change.DroppedUntil = now, now
	}
}

// loadInstances sets up the configured instances from the recorded ones and the running
// processes. An instance that is not in the record gets initialRelease. Differences from the
// record are added to change, and each instance is passed to detector.
func (a *Agent) loadInstances(recorded []store.Instance, initialRelease string, change *store.Change, detector *lossDetector, now time.Time) error {
	storedByName := make(map[string]store.Instance)
	for _, stored := range recorded {
		storedByName[stored.Name] = stored
	}
	found := a.findProcesses()
	boot := a.machine.Boot()
	for _, config := range a.config.Instances {
		stored, isRecorded := storedByName[config.Name]
		if !isRecorded {
			stored = a.newInstance(config, initialRelease, found, boot)
			change.Instances = append(change.Instances, stored)
		}
		delete(storedByName, config.Name)
		ran := stored.Launch != "" && stored.PID != 0 && stored.Desired == api.Running
		sameBoot := stored.Boot == boot
		inst := &instance{
			config: config, stored: stored,
			settings:   settingsState{program: stored.Running},
			supervisor: supervisor.New(a.supervisorConfig(), now),
			wake:       make(chan struct{}, 1),
			history:    sampleHistory{limit: a.retainedSlots()},
		}
		a.instances[config.Name] = inst
		a.instanceNames = append(a.instanceNames, config.Name)
		launch := inst.stored.Launch
		changed := a.findProcess(inst, found, boot, now)
		if a.findPreviousProcess(inst, launch, found, boot, now) || changed {
			change.Instances = append(change.Instances, inst.stored)
		}
		detector.observe(inst, ran, sameBoot)
	}
	return dropRemoved(storedByName, found, boot, change)
}

// findProcesses returns this agent's running processes by launch ID. The processes of another
// agent with the same name are left out: their launch IDs contain another state folder's ID.
func (a *Agent) findProcesses() map[string]proc.Found {
	found := a.machine.Find(a.config.Name + "/")
	maps.DeleteFunc(found, func(launch string, _ proc.Found) bool {
		return !strings.HasPrefix(launch[strings.LastIndexByte(launch, '/')+1:], a.stateID+".")
	})
	return found
}

// supervisorConfig returns the limits for the supervisors of the instances.
func (a *Agent) supervisorConfig() supervisor.Config {
	limits := &a.config.Limits
	return supervisor.Config{
		KillAfter:   time.Duration(limits.KillAfter),
		BackoffMin:  time.Duration(limits.BackoffMin),
		BackoffMax:  time.Duration(limits.BackoffMax),
		MaxCrashes:  limits.MaxCrashes,
		CrashWithin: time.Duration(limits.CrashWithin),
	}
}

// newInstance returns the initial state of an instance that is not in the record.
func (a *Agent) newInstance(config InstanceConfig, release string, found map[string]proc.Found, boot string) store.Instance {
	stored := store.Instance{Name: config.Name, Desired: api.Running, Generation: 1, Release: release}
	if config.Stopped {
		stored.Desired = api.Stopped
	}
	a.recoverInstance(&stored, found, boot)
	return stored
}

// dropRemoved adds to change the removal of the instances in removed, which are in the record but
// no longer configured. It returns a *RemovedInstanceError if the process of such an instance still
// runs, because nothing would supervise that process.
func dropRemoved(removed map[string]store.Instance, found map[string]proc.Found, boot string, change *store.Change) error {
	for name, stored := range removed {
		if stored.Launch != "" && (proc.Alive(stored.PID, stored.Ticks) && stored.Boot == boot || found[stored.Launch].PID != 0) {
			return &RemovedInstanceError{Instance: name, PID: stored.PID}
		}
		change.DropInstances = append(change.DropInstances, name)
	}
	return nil
}

// resumeSteps assigns each running step to its instance. A step fails if its instance is no
// longer configured.
func (a *Agent) resumeSteps(change *store.Change, now time.Time) {
	for _, step := range a.steps {
		if step.Status != api.StepRunning {
			continue
		}
		if inst := a.instances[step.Instance]; inst != nil {
			inst.step = step
			continue
		}
		step.Status, step.Reason, step.Finished = api.StepFailed, "the instance was removed from the agent's configuration", now
		change.Steps = append(change.Steps, *step)
	}
}
