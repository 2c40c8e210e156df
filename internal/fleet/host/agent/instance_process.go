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
func (a *Agent) carryOut(i *instance, actions []supervisor.Action) {
	for len(actions) > 0 {
		action := actions[0]
		actions = actions[1:]
		switch action {
		case supervisor.Launch:
			actions = append(actions, a.launch(i)...)
		case supervisor.Terminate:
			a.signal(i, i.process, syscall.SIGTERM)
		case supervisor.Kill:
			a.signal(i, i.process, syscall.SIGKILL)
		case supervisor.TerminatePrevious:
			a.signal(i, i.previous, syscall.SIGTERM)
		case supervisor.KillPrevious:
			a.signal(i, i.previous, syscall.SIGKILL)
		}
	}
}

// signal sends a signal to one of an instance's processes. It is not an error if the process has
// exited. A signal that can't be sent is only logged.
func (a *Agent) signal(i *instance, p *Process, sig syscall.Signal) {
	if err := p.Signal(sig); err != nil && !errors.Is(err, os.ErrProcessDone) {
		slog.Error("signal failed", "instance", i.config.Name, "signal", sig, "err", err)
	}
	a.mu.Lock()
	a.notifyChanged()
	a.mu.Unlock()
}

// sideBySide reports whether a new generation may start while the current process still serves.
// The current process must support the hand-over. For an upgrade that is enough: whether the new
// release supports it too is known only after its start. For a rollback, the release must also be
// known to support it. The caller holds a.mu.
func (a *Agent) sideBySide(i *instance) bool {
	step := i.step
	if !a.config.Sidecar.HandOver || !i.reported.canHandover || step == nil {
		return false
	}
	if step.Action == api.ActUpgrade && step.Kind == api.Change {
		return true
	}
	return (step.Action == api.ActUpgrade || step.Action == api.ActRollback) && a.canHandover[i.stored.Release]
}

// restorePrevious makes the process that was being replaced the instance's process again. The
// caller holds the agent's mu.
func (i *instance) restorePrevious() {
	stored, previous := &i.stored, &i.storedPrevious
	stored.Launch, stored.Process, stored.Running = previous.Launch, previous.Process, previous.Running
	stored.PID, stored.Ticks, stored.Boot = previous.PID, previous.Ticks, previous.Boot
	stored.Launched = previous.Launched
	i.process, i.previous, i.storedPrevious = i.previous, nil, store.Instance{}
}

// launch starts a process of the desired generation and returns the supervisor's next actions.
func (a *Agent) launch(i *instance) []supervisor.Action {
	stored, ok := a.recordLaunch(i)
	if !ok {
		return nil
	}
	p, err := a.startProcess(i, stored)

	a.mu.Lock()
	defer a.mu.Unlock()
	now := time.Now()
	if err != nil {
		return a.launchFailed(i, stored.Generation, err, now)
	}
	i.process, i.reported = p, processReport{}
	i.programStarted(i.stored.Running, now)
	i.stored.PID, i.stored.Ticks, i.stored.Boot = p.PID, p.Ticks, a.machine.Boot()
	actions := i.supervisor.Launched(now)
	a.persistOrMarkDirty(i, nil)
	return actions
}

// recordLaunch writes a launch to the record before the process is started. The launch ID, which
// the process has in its environment, identifies the process if its PID can't be written
// afterwards. If ok is false, no process must be started now.
func (a *Agent) recordLaunch(i *instance) (stored store.Instance, ok bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	stored = i.stored
	if stored.Generation != i.supervisor.Generation() || stored.Desired != api.Running {
		i.wakeUp() // the desired state has changed since: the next round will handle it
		return stored, false
	}
	stored.Launch = fmt.Sprintf("%s/%s/%d/%s.%s", a.config.Name, stored.Name, stored.Generation, a.stateID, randomID())
	if i.exitedGeneration == stored.Generation {
		stored.Restarts++
	}
	stored.Process, stored.Running, stored.PID, stored.Ticks, stored.Boot = stored.Generation, stored.Release, 0, 0, ""
	stored.Launched = time.Now()
	if err := a.commit(&store.Change{Instances: []store.Instance{stored}}); err != nil {
		i.launchRetryAt = time.Now().Add(retryInterval)
		return stored, false
	}
	if i.process != nil { // the new process will run next to this one
		i.previous, i.storedPrevious = i.process, i.stored
	}
	i.stored = stored
	return stored, true
}

// launchFailed records that a process could not be started, and returns the supervisor's next
// actions. The caller holds a.mu.
func (a *Agent) launchFailed(i *instance, generation int64, err error, now time.Time) []supervisor.Action {
	i.stored.Launch, i.stored.Process, i.stored.Running = "", 0, ""
	i.stored.LastExit = err.Error()
	if i.previous != nil {
		i.restorePrevious()
	} else {
		i.exitedGeneration = generation
	}
	actions := i.supervisor.LaunchFailed(now, err.Error())
	a.persistOrMarkDirty(i, nil)
	return actions
}

// startProcess verifies the release, writes the configuration and starts the process.
func (a *Agent) startProcess(i *instance, stored store.Instance) (*Process, error) {
	if err := a.releases.Verify(stored.Release); err != nil {
		return nil, err
	}
	if err := a.configure(i, stored.Release, randomID()); err != nil {
		return nil, err
	}
	return a.machine.Start(proc.Spec{
		Launch: stored.Launch,
		Path:   a.releases.Path(stored.Release, release.Sidecar),
		Dir:    a.config.StateDir,
		Env:    a.environment(i, stored.Name),
		Log:    a.logPath(stored.Name),
	})
}

// environment returns the environment of an instance's process. Variables without a value are
// set to "", so that the process does not inherit the agent's values.
func (a *Agent) environment(i *instance, name string) []string {
	env := append(os.Environ(),
		"BALANCER_NAME="+name,
		"BALANCER_LISTEN="+i.config.listen,
		"BALANCER_CONFIG="+a.configPath(name),
		"MARTENDRUM_RECORD="+i.config.Record,
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
func (a *Agent) processExited(i *instance, p *Process) []supervisor.Action {
	a.mu.Lock()
	defer a.mu.Unlock()
	if i.process != p {
		return nil
	}
	now := time.Now()
	how := p.Exit()
	if i.previous != nil {
		slog.Warn("new process exited before it replaced the previous one", "instance", i.config.Name, "pid", p.PID, "how", how)
		i.restorePrevious()
		i.stored.LastExit, i.reported.configHash, i.reported.canHandover = how, "", true
		actions := i.supervisor.Exited(now, how)
		a.persistOrMarkDirty(i, nil)
		return i.afterExit(actions)
	}
	if i.supervisor.Phase() != supervisor.Draining {
		i.exitedGeneration = i.stored.Process
		slog.Warn("sidecar exited unexpectedly", "instance", i.config.Name, "pid", p.PID, "how", how)
	}
	i.process, i.reported.configHash, i.reported.recordState = nil, "", ""
	i.stored.Launch, i.stored.PID, i.stored.Process, i.stored.Running, i.stored.LastExit = "", 0, 0, "", how
	actions := i.supervisor.Exited(now, how)
	a.persistOrMarkDirty(i, nil)
	return i.afterExit(actions)
}

// previousExited records the exit of a process that was being replaced, and returns the actions
// that are due at once.
func (a *Agent) previousExited(i *instance, p *Process) []supervisor.Action {
	a.mu.Lock()
	defer a.mu.Unlock()
	if i.previous != p {
		return nil
	}
	i.stored.LastExit = p.Exit()
	i.previous, i.storedPrevious = nil, store.Instance{}
	actions := i.supervisor.PreviousExited(time.Now())
	a.persistOrMarkDirty(i, nil)
	return i.afterExit(actions)
}

// afterExit returns the actions that are due at once after an exit: all of them except launches.
// The next round of the instance's loop decides on a launch, by the desired state at that time.
func (i *instance) afterExit(actions []supervisor.Action) []supervisor.Action {
	i.wakeUp()
	return withoutLaunch(actions)
}

// withoutLaunch removes launches from actions.
func withoutLaunch(actions []supervisor.Action) []supervisor.Action {
	return slices.DeleteFunc(actions, func(action supervisor.Action) bool { return action == supervisor.Launch })
}

// checkHealth makes a health check, tells the supervisor the result and stores what the process
// reports about itself.
func (a *Agent) checkHealth(i *instance, p *Process) {
	health, err := a.machine.Health(a.ctx, i.config.listen, healthTimeout)
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
	if i.process != p || a.ctx.Err() != nil {
		return
	}
	if err == nil && i.previous != nil && health.Launch != i.stored.Launch {
		return // the previous process answered: both accept connections during a hand-over
	}
	before := i.supervisor.Phase()
	i.supervisor.Health(time.Now(), err == nil, reason)
	if err == nil {
		i.reported = processReport{configHash: health.ConfigHash, recordState: health.Record, canHandover: health.Launch != ""}
		a.canHandover[i.stored.Running] = i.reported.canHandover
	}
	if i.supervisor.Phase() != before {
		a.notifyChanged()
	}
}
