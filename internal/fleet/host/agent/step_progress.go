package agent

import (
	"fmt"
	"log/slog"
	"syscall"
	"time"

	"martendrum/internal/fleet/api"
	"martendrum/internal/fleet/host/supervisor"
)

// checkStep ends the instance's running step if the step has an outcome, and advances a reload. It
// does nothing until the supervisor has been told the desired state.
func (a *Agent) checkStep(inst *instance) {
	a.mu.Lock()
	step := inst.step
	if step == nil || inst.supervisor.Generation() != inst.stored.Generation || inst.supervisor.Desired() != (inst.stored.Desired == api.Running) {
		a.mu.Unlock()
		return
	}
	if step.Action == api.ActReload && step.Kind == api.Change || step.Action == api.ActSettings {
		a.mu.Unlock()
		a.reload(inst, step)
		return
	}
	defer a.mu.Unlock()
	a.evaluateStep(inst, step, time.Now())
}

// startMargin is added to the times that a step allows for stopping, readiness and soak. After that,
// a step whose process could not be started fails.
const startMargin = 10 * time.Second

// evaluateStep ends a step that needs no reload, if the step has an outcome. The caller holds a.mu.
func (a *Agent) evaluateStep(inst *instance, step *api.Step, now time.Time) {
	supervised := inst.supervisor
	if inst.stored.Desired != api.Running {
		if supervised.Process() == 0 {
			a.endStep(inst, step, true, inst.stored.LastExit)
		}
		return
	}
	// Time during which no agent was running does not count against the instance.
	begun := later(step.Started, a.started)
	launched := later(inst.stored.Launched, a.started)
	failed, how := supervised.Failed()
	switch {
	case supervised.Previous() != 0 && supervised.Phase() == supervisor.Ready: // the previous process is still draining
	case supervised.Previous() != 0 && supervised.Phase() == supervisor.Starting && now.Sub(launched) > step.ReadyTimeout:
		if inst.abandonReason == "" {
			inst.abandonReason = fmt.Sprintf("not ready within %v: %s", step.ReadyTimeout, supervised.Reason())
			inst.wakeUp()
		}
	case supervised.Process() != 0 && supervised.Previous() == 0 && failed == step.Generation && failed != supervised.Process():
		// The previous process gets the desired generation, so that an agent that restarts does not
		// launch the failed one again.
		supervised.AcceptServing()
		inst.stored.Process, inst.stored.Release, inst.stored.Previous = inst.stored.Generation, step.From, step.PreviousRelease
		a.endStep(inst, step, false, "the new process failed and the previous one continues to serve: "+how)
	case supervised.Process() == step.Generation && supervised.Phase() == supervisor.Ready:
		if now.Sub(supervised.Since()) >= step.Soak {
			a.endStep(inst, step, true, "")
		}
	case inst.exitedGeneration >= step.Generation && supervised.Process() == 0:
		a.endStep(inst, step, false, "the process ended by itself: "+inst.stored.LastExit)
	case supervised.Process() == step.Generation && supervised.Phase() == supervisor.Unready:
		a.endStep(inst, step, false, "the instance became unready during its soak time: "+supervised.Reason())
	case supervised.Process() == step.Generation && now.Sub(launched) > step.ReadyTimeout:
		a.endStep(inst, step, false, fmt.Sprintf("not ready within %v: %s", step.ReadyTimeout, supervised.Reason()))
	case now.Sub(begun) > time.Duration(a.config.Limits.KillAfter)+step.ReadyTimeout+step.Soak+startMargin:
		a.endStep(inst, step, false, "the process could not be started in time: "+supervised.Reason()+a.unwritable)
	}
}

// later returns the later of two times.
func later(x, y time.Time) time.Time {
	if x.After(y) {
		return x
	}
	return y
}

// endStep ends a step with its outcome. The caller holds a.mu.
func (a *Agent) endStep(inst *instance, step *api.Step, ok bool, reason string) {
	next := *step
	next.Status, next.Reason, next.Finished = api.StepFailed, reason, time.Now()
	if ok {
		next.Status = api.StepOK
	}
	a.steps[stepKey{step.Op, step.Instance, step.Kind}] = &next
	inst.step, inst.reloadSentAt = nil, time.Time{}
	if step.Action == api.ActSettings {
		a.recordSettingsStep(inst, step, ok)
	}
	a.persistOrMarkDirty(inst, &next)
}

// recordSettingsStep records the outcome of a step that changes settings. If they were accepted, the
// instance now runs the step's release. Otherwise the desired release and the configuration file are
// reset to what they were before. The caller holds a.mu.
func (a *Agent) recordSettingsStep(inst *instance, step *api.Step, ok bool) {
	if ok {
		if inst.process != nil {
			inst.stored.Running = step.To
		}
		return
	}
	inst.stored.Release, inst.stored.Previous = step.From, step.PreviousRelease
	a.wg.Go(func() { // configure locks a.mu
		if err := a.configure(inst, step.From, randomID()); err != nil {
			slog.Error("configuration file contains rejected settings", "instance", inst.config.Name, "err", err)
		}
	})
}

// reload advances a reload. Its first call writes the configuration and sends SIGHUP; later calls
// end the step once the sidecar reports that it runs the configuration, or has not done so in time.
// A restarted agent begins again, which is harmless.
func (a *Agent) reload(inst *instance, step *api.Step) {
	a.mu.Lock()
	now := time.Now()
	process, sentAt := inst.process, inst.reloadSentAt
	tooEarly := inst.supervisor.Phase() == supervisor.Starting && now.Sub(later(inst.stored.Launched, a.started)) < step.ReadyTimeout ||
		process != nil && now.Sub(inst.stored.Launched) < minReloadAge
	switch {
	case tooEarly && sentAt.IsZero():
		a.mu.Unlock()
		return
	case process == nil || inst.supervisor.Phase() != supervisor.Ready:
		a.endStep(inst, step, false, fmt.Sprintf("the instance is %s: %s", inst.supervisor.Phase(), inst.supervisor.Reason()))
		a.mu.Unlock()
		return
	case !sentAt.IsZero() && inst.reported.configHash == "" && now.Sub(sentAt) > unconfirmedDelay:
		a.endStep(inst, step, true, "not confirmed: this release does not report which configuration it runs")
		a.mu.Unlock()
		return
	case !sentAt.IsZero() && inst.reported.configHash == inst.writtenConfigHash:
		a.endStep(inst, step, true, "")
		a.mu.Unlock()
		return
	case !sentAt.IsZero():
		if now.Sub(sentAt) > reloadTimeout {
			a.endStep(inst, step, false, "it kept its earlier configuration: "+lastLogProblem(a.logPath(inst.config.Name)))
		}
		a.mu.Unlock()
		return
	}
	releaseHash := inst.stored.Running
	if step.Action == api.ActSettings {
		releaseHash = step.To
	}
	a.mu.Unlock()
	err := a.configure(inst, releaseHash, randomID())
	if err == nil {
		err = process.Signal(syscall.SIGHUP)
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	if err != nil {
		a.endStep(inst, step, false, err.Error())
		return
	}
	inst.reloadSentAt = now
}
