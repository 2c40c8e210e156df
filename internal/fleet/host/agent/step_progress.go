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
func (a *Agent) checkStep(i *instance) {
	a.mu.Lock()
	s := i.step
	if s == nil || i.supervisor.Generation() != i.stored.Generation || i.supervisor.Desired() != (i.stored.Desired == api.Running) {
		a.mu.Unlock()
		return
	}
	if s.Action == api.ActReload && s.Kind == api.Change || s.Action == api.ActSettings {
		a.mu.Unlock()
		a.reload(i, s)
		return
	}
	defer a.mu.Unlock()
	a.evaluateStep(i, s, time.Now())
}

// startMargin is added to the times that a step allows for stopping, readiness and soak. After that,
// a step whose process could not be started fails.
const startMargin = 10 * time.Second

// evaluateStep ends a step that needs no reload, if the step has an outcome. The caller holds a.mu.
func (a *Agent) evaluateStep(i *instance, s *api.Step, now time.Time) {
	supervised := i.supervisor
	if i.stored.Desired != api.Running {
		if supervised.Process() == 0 {
			a.endStep(i, s, true, i.stored.LastExit)
		}
		return
	}
	// Time during which no agent was running does not count against the instance.
	begun := later(s.Started, a.started)
	launched := later(i.stored.Launched, a.started)
	failed, how := supervised.Failed()
	switch {
	case supervised.Previous() != 0 && supervised.Phase() == supervisor.Ready: // the previous process is still draining
	case supervised.Previous() != 0 && supervised.Phase() == supervisor.Starting && now.Sub(launched) > s.Ready:
		if i.abandonReason == "" {
			i.abandonReason = fmt.Sprintf("not ready within %v: %s", s.Ready, supervised.Reason())
			i.wakeUp()
		}
	case supervised.Process() != 0 && supervised.Previous() == 0 && failed == s.Generation && failed != supervised.Process():
		// The previous process gets the desired generation, so that an agent that restarts does not
		// launch the failed one again.
		supervised.AcceptServing()
		i.stored.Process, i.stored.Release, i.stored.Previous = i.stored.Generation, s.From, s.Before
		a.endStep(i, s, false, "the new process failed and the one before it serves on: "+how)
	case supervised.Process() == s.Generation && supervised.Phase() == supervisor.Ready:
		if now.Sub(supervised.Since()) >= s.Soak {
			a.endStep(i, s, true, "")
		}
	case i.exitedGeneration >= s.Generation && supervised.Process() == 0:
		a.endStep(i, s, false, "it ended by itself: "+i.stored.LastExit)
	case supervised.Process() == s.Generation && supervised.Phase() == supervisor.Unready:
		a.endStep(i, s, false, "it became unready during its soak time: "+supervised.Reason())
	case supervised.Process() == s.Generation && now.Sub(launched) > s.Ready:
		a.endStep(i, s, false, fmt.Sprintf("not ready within %v: %s", s.Ready, supervised.Reason()))
	case now.Sub(begun) > time.Duration(a.config.Limits.KillAfter)+s.Ready+s.Soak+startMargin:
		a.endStep(i, s, false, "it could not be started in time: "+supervised.Reason()+a.unwritable)
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
func (a *Agent) endStep(i *instance, s *api.Step, ok bool, reason string) {
	next := *s
	next.Status, next.Reason, next.Finished = api.StepFailed, reason, time.Now()
	if ok {
		next.Status = api.StepOK
	}
	a.steps[stepKey{s.Op, s.Instance, s.Kind}] = &next
	i.step, i.reloadSentAt = nil, time.Time{}
	if s.Action == api.ActSettings {
		a.recordSettingsStep(i, s, ok)
	}
	a.persistOrMarkDirty(i, &next)
}

// recordSettingsStep records the outcome of a step that changes settings. If they were accepted, the
// instance now runs the step's release. Otherwise the desired release and the configuration file are
// reset to what they were before. The caller holds a.mu.
func (a *Agent) recordSettingsStep(i *instance, s *api.Step, ok bool) {
	if ok {
		if i.process != nil {
			i.stored.Running = s.To
		}
		return
	}
	i.stored.Release, i.stored.Previous = s.From, s.Before
	a.wg.Go(func() { // configure locks a.mu
		if err := a.configure(i, s.From, randomID()); err != nil {
			slog.Error("configuration file contains rejected settings", "instance", i.config.Name, "err", err)
		}
	})
}

// reload advances a reload. Its first call writes the configuration and sends SIGHUP; later calls
// end the step once the sidecar reports that it runs the configuration, or has not done so in time.
// A restarted agent begins again, which is harmless.
func (a *Agent) reload(i *instance, s *api.Step) {
	a.mu.Lock()
	now := time.Now()
	process, sentAt := i.process, i.reloadSentAt
	tooEarly := i.supervisor.Phase() == supervisor.Starting && now.Sub(later(i.stored.Launched, a.started)) < s.Ready ||
		process != nil && now.Sub(i.stored.Launched) < minReloadAge
	switch {
	case tooEarly && sentAt.IsZero():
		a.mu.Unlock()
		return
	case process == nil || i.supervisor.Phase() != supervisor.Ready:
		a.endStep(i, s, false, fmt.Sprintf("the instance is %s: %s", i.supervisor.Phase(), i.supervisor.Reason()))
		a.mu.Unlock()
		return
	case !sentAt.IsZero() && i.reported.configHash == "" && now.Sub(sentAt) > unconfirmedDelay:
		a.endStep(i, s, true, "not confirmed: this release does not report which configuration it runs")
		a.mu.Unlock()
		return
	case !sentAt.IsZero() && i.reported.configHash == i.writtenConfigHash:
		a.endStep(i, s, true, "")
		a.mu.Unlock()
		return
	case !sentAt.IsZero():
		if now.Sub(sentAt) > reloadTimeout {
			a.endStep(i, s, false, "it kept its earlier configuration: "+lastLogProblem(a.logPath(i.config.Name)))
		}
		a.mu.Unlock()
		return
	}
	releaseHash := i.stored.Running
	if s.Action == api.ActSettings {
		releaseHash = s.To
	}
	a.mu.Unlock()
	err := a.configure(i, releaseHash, randomID())
	if err == nil {
		err = process.Signal(syscall.SIGHUP)
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	if err != nil {
		a.endStep(i, s, false, err.Error())
		return
	}
	i.reloadSentAt = now
}
