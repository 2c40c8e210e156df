package agent

import (
	"errors"
	"fmt"
	"log/slog"
	"os"
	"path/filepath"
	"slices"
	"syscall"
	"time"

	"martendrum/internal/fleet/api"
	"martendrum/internal/fleet/host/proc"
	"martendrum/internal/fleet/host/supervisor"
	"martendrum/internal/fleet/release"
	"martendrum/internal/fleet/store"
)

// carryOut carries out the supervisor's actions, and the actions that result from a launch.
func (a *Agent) carryOut(inst *instance, actions []supervisor.Action) {
	for len(actions) > 0 {
		action := actions[0]
		actions = actions[1:]
		switch action {
		case supervisor.Launch:
			actions = append(actions, a.launch(inst)...)
		case supervisor.Terminate:
			a.signal(inst, inst.process, syscall.SIGTERM)
		case supervisor.Kill:
			a.signal(inst, inst.process, syscall.SIGKILL)
		case supervisor.TerminatePrevious:
			a.signal(inst, inst.previous, syscall.SIGTERM)
		case supervisor.KillPrevious:
			a.signal(inst, inst.previous, syscall.SIGKILL)
		}
	}
}

// signal sends a signal to one of an instance's processes. It is not an error if the process has
// exited. A signal that can't be sent is only logged.
func (a *Agent) signal(inst *instance, p *Process, sig syscall.Signal) {
	if err := p.Signal(sig); err != nil && !errors.Is(err, os.ErrProcessDone) {
		slog.Error("signal not sent", "instance", inst.config.Name, "signal", sig, "err", err)
	}
	a.mu.Lock()
	a.notifyChanged()
	a.mu.Unlock()
}

// sideBySide reports whether a new generation may start while the current process still serves.
// The current process must support the hand-over. For an upgrade that is enough: whether the new
// release supports it too is known only after its start. For a rollback, which may be a step of an
// upgrade, the release must also be known to support it. The caller holds a.mu.
func (a *Agent) sideBySide(inst *instance) bool {
	step := inst.step
	if !a.config.Sidecar.HandOver || !inst.reported.canHandover || step == nil {
		return false
	}
	if step.Action == api.ActUpgrade && step.Kind == api.Change {
		return true
	}
	return (step.Action == api.ActUpgrade || step.Action == api.ActRollback) && a.canHandover[inst.stored.Release]
}

// restorePrevious makes the process that was being replaced the instance's process again. The
// caller holds the agent's mu.
func (inst *instance) restorePrevious() {
	stored, previous := &inst.stored, &inst.storedPrevious
	stored.Launch, stored.Process, stored.Running = previous.Launch, previous.Process, previous.Running
	stored.PID, stored.Ticks, stored.Boot = previous.PID, previous.Ticks, previous.Boot
	stored.Launched = previous.Launched
	inst.process, inst.previous, inst.storedPrevious = inst.previous, nil, store.Instance{}
}

// launch starts a process of the desired generation and returns the supervisor's next actions.
func (a *Agent) launch(inst *instance) []supervisor.Action {
	stored, ok := a.recordLaunch(inst)
	if !ok {
		return nil
	}
	p, err := a.startProcess(inst, stored)

	a.mu.Lock()
	defer a.mu.Unlock()
	now := time.Now()
	if err != nil {
		return a.launchFailed(inst, stored.Generation, err, now)
	}
	inst.process, inst.reported = p, processReport{}
	inst.programStarted(inst.stored.Running, now)
	inst.stored.PID, inst.stored.Ticks, inst.stored.Boot = p.PID, p.Ticks, a.machine.Boot()
	actions := inst.supervisor.Launched(now)
	a.persistOrMarkDirty(inst, nil)
	return actions
}

// recordLaunch writes a launch to the record before the process is started. The launch ID, which
// the process has in its environment, identifies the process if its PID can't be written
// afterwards. If ok is false, the caller must not start a process now.
func (a *Agent) recordLaunch(inst *instance) (stored store.Instance, ok bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	stored = inst.stored
	if stored.Generation != inst.supervisor.Generation() || stored.Desired != api.Running {
		inst.wakeUp() // the desired state has changed: the next round will handle it
		return stored, false
	}
	stored.Launch = fmt.Sprintf("%s/%s/%d/%s.%s", a.config.Name, stored.Name, stored.Generation, a.stateID, randomID())
	if inst.exitedGeneration == stored.Generation {
		stored.Restarts++
	}
	stored.Process, stored.Running, stored.PID, stored.Ticks, stored.Boot = stored.Generation, stored.Release, 0, 0, ""
	stored.Launched = time.Now()
	if err := a.commit(&store.Change{Instances: []store.Instance{stored}}); err != nil {
		inst.launchRetryAt = time.Now().Add(retryInterval)
		return stored, false
	}
	if inst.process != nil { // the new process will run next to this one
		inst.previous, inst.storedPrevious = inst.process, inst.stored
	}
	inst.stored = stored
	return stored, true
}

// launchFailed records that a process could not be started, and returns the supervisor's next
// actions. The caller holds a.mu.
func (a *Agent) launchFailed(inst *instance, generation int64, err error, now time.Time) []supervisor.Action {
	inst.stored.Launch, inst.stored.Process, inst.stored.Running = "", 0, ""
	inst.stored.LastExit = err.Error()
	if inst.previous != nil {
		inst.restorePrevious()
	} else {
		inst.exitedGeneration = generation
	}
	actions := inst.supervisor.LaunchFailed(now, err.Error())
	a.persistOrMarkDirty(inst, nil)
	return actions
}

// startProcess verifies the release, writes the configuration and starts the process.
func (a *Agent) startProcess(inst *instance, stored store.Instance) (*Process, error) {
	if err := a.releases.Verify(stored.Release); err != nil {
		return nil, err
	}
	if err := a.configure(inst, stored.Release, randomID()); err != nil {
		return nil, err
	}
	return a.machine.Start(proc.Spec{
		Launch: stored.Launch,
		Path:   a.releases.Path(stored.Release, release.Sidecar),
		Dir:    a.config.StateDir,
		Env:    a.environment(inst, stored.Name),
		Log:    a.logPath(stored.Name),
	})
}

// environment returns the environment of an instance's process. Variables without a value are
// set to "", so that the process does not inherit the agent's values.
func (a *Agent) environment(inst *instance, name string) []string {
	env := append(os.Environ(),
		"BALANCER_NAME="+name,
		"BALANCER_LISTEN="+inst.config.listen,
		"BALANCER_CONFIG="+a.configPath(name),
		"MARTENDRUM_RECORD="+inst.config.Record,
		"MARTENDRUM_FLEET="+a.config.Sidecar.Fleet)
	if a.config.Sidecar.HandOver {
		env = append(env, "TMPDIR="+a.handoverPath())
	}
	checkpoint := ""
	if a.config.Recovery.Checkpoint {
		checkpoint = filepath.Join(a.config.StateDir, "instances", name+".checkpoint")
	}
	return append(env, "MARTENDRUM_CHECKPOINT="+checkpoint)
}

// processExited records the exit of an instance's process and returns the actions that are due
// at once.
func (a *Agent) processExited(inst *instance, p *Process) []supervisor.Action {
	a.mu.Lock()
	defer a.mu.Unlock()
	if inst.process != p {
		return nil
	}
	now := time.Now()
	how := p.Exit()
	if inst.previous != nil {
		slog.Warn("new process exited before it replaced the previous one", "instance", inst.config.Name, "pid", p.PID, "how", how)
		inst.restorePrevious()
		inst.stored.LastExit, inst.reported.configHash, inst.reported.canHandover = how, "", true
		actions := inst.supervisor.Exited(now, how)
		a.persistOrMarkDirty(inst, nil)
		return inst.afterExit(actions)
	}
	if inst.supervisor.Phase() != supervisor.Draining {
		inst.exitedGeneration = inst.stored.Process
		slog.Warn("sidecar exited unexpectedly", "instance", inst.config.Name, "pid", p.PID, "how", how)
	}
	inst.process, inst.reported.configHash, inst.reported.recordState = nil, "", ""
	inst.stored.Launch, inst.stored.PID, inst.stored.Process, inst.stored.Running, inst.stored.LastExit = "", 0, 0, "", how
	actions := inst.supervisor.Exited(now, how)
	a.persistOrMarkDirty(inst, nil)
	return inst.afterExit(actions)
}

// previousExited records the exit of a process that was being replaced, and returns the actions
// that are due at once.
func (a *Agent) previousExited(inst *instance, p *Process) []supervisor.Action {
	a.mu.Lock()
	defer a.mu.Unlock()
	if inst.previous != p {
		return nil
	}
	inst.stored.LastExit = p.Exit()
	inst.previous, inst.storedPrevious = nil, store.Instance{}
	actions := inst.supervisor.PreviousExited(time.Now())
	a.persistOrMarkDirty(inst, nil)
	return inst.afterExit(actions)
}

// afterExit returns the actions that are due at once after an exit: all of them except launches.
// The next round of the instance's loop decides on a launch, by the desired state at that time.
func (inst *instance) afterExit(actions []supervisor.Action) []supervisor.Action {
	inst.wakeUp()
	return withoutLaunch(actions)
}

// withoutLaunch returns the actions other than launches. It reuses the slice.
func withoutLaunch(actions []supervisor.Action) []supervisor.Action {
	return slices.DeleteFunc(actions, func(action supervisor.Action) bool { return action == supervisor.Launch })
}

// checkHealth makes a health check, tells the supervisor the result and stores what the process
// reports about itself.
func (a *Agent) checkHealth(inst *instance, p *Process) {
	health, err := a.machine.Health(a.ctx, inst.config.listen, healthTimeout)
	reason := ""
	if err != nil {
		reason = err.Error()
	}
	select {
	case <-p.Done:
		return // another process may have answered
	default:
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	if inst.process != p || a.ctx.Err() != nil {
		return
	}
	if err == nil && inst.previous != nil && health.Launch != inst.stored.Launch {
		return // the previous process answered: both accept connections during a hand-over
	}
	before := inst.supervisor.Phase()
	inst.supervisor.Health(time.Now(), err == nil, reason)
	if err == nil {
		inst.reported = processReport{configHash: health.ConfigHash, recordState: health.Record, canHandover: health.Launch != ""}
		a.canHandover[inst.stored.Running] = inst.reported.canHandover
	}
	if inst.supervisor.Phase() != before {
		a.notifyChanged()
	}
}
