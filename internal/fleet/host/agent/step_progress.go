package agent

import (
	"fmt"
	"log/slog"
	"syscall"
	"time"

	"martendrum/internal/fleet/api"
	"martendrum/internal/fleet/host/supervisor"
)

// checkStep sees whether the step under way has come to its end.
func (a *Agent) checkStep(i *instance) {
	a.mu.Lock()
	s := i.step
	if s == nil || i.supervisor.Generation() != i.stored.Generation || i.supervisor.Wanted() != (i.stored.Desired == api.Running) {
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

func (a *Agent) evaluateStep(i *instance, s *api.Step, now time.Time) {
	l := i.supervisor
	if i.stored.Desired != api.Running {
		if l.Process() == 0 {
			a.endStep(i, s, true, i.stored.LastExit)
		}
		return
	}
	begun := s.Started
	if a.started.After(begun) {
		begun = a.started // time that the agent was away is not the instance's
	}
	failed, how := l.Failed()
	switch {
	case l.Old() != 0 && l.Phase() == supervisor.Ready: // the one before it still ends
	case l.Old() != 0 && l.Phase() == supervisor.Starting && now.Sub(later(i.stored.Launched, a.started)) > s.Ready:
		if i.abandonReason == "" {
			i.abandonReason = fmt.Sprintf("not ready within %v: %s", s.Ready, l.Reason())
			i.wakeUp()
		}
	case l.Process() != 0 && l.Old() == 0 && failed == s.Generation && failed != l.Process():
		// What serves is what is wanted now: a restart of the agent must not try again.
		l.KeepPrevious()
		i.stored.Process, i.stored.Release, i.stored.Previous = i.stored.Generation, s.From, s.Before
		a.endStep(i, s, false, "the new process failed and the one before it serves on: "+how)
	case l.Process() == s.Generation && l.Phase() == supervisor.Ready:
		if now.Sub(l.Since()) >= s.Soak {
			a.endStep(i, s, true, "")
		}
	case i.exitedGeneration >= s.Generation && l.Process() == 0:
		a.endStep(i, s, false, "it ended by itself: "+i.stored.LastExit)
	case l.Process() == s.Generation && l.Phase() == supervisor.Unready:
		a.endStep(i, s, false, "it became unready while it was soaked: "+l.Reason())
	case l.Process() == s.Generation && now.Sub(later(i.stored.Launched, a.started)) > s.Ready:
		a.endStep(i, s, false, fmt.Sprintf("not ready within %v: %s", s.Ready, l.Reason()))
	case now.Sub(begun) > time.Duration(a.config.Limits.KillAfter)+s.Ready+s.Soak+10*time.Second:
		a.endStep(i, s, false, "it could not be started in time: "+l.Reason()+a.unwritable)
	}
}

func later(x, y time.Time) time.Time {
	if x.After(y) {
		return x
	}
	return y
}

// endStep ends a step.
func (a *Agent) endStep(i *instance, s *api.Step, ok bool, reason string) {
	next := *s
	next.Status, next.Reason, next.Finished = api.StepFailed, reason, time.Now()
	if ok {
		next.Status = api.StepOK
	}
	a.steps[stepKey{s.Op, s.Instance, s.Kind}] = &next
	i.step, i.reloadSentAt = nil, time.Time{}
	if s.Action == api.ActSettings {
		a.settingsStepEnded(i, s, ok)
	}
	a.persistOrMarkDirty(i, &next)
}

// settingsStepEnded puts an instance's row right after a change of settings: what runs is what
// was taken over, and if that was not, what is wanted and its file are as before.
func (a *Agent) settingsStepEnded(i *instance, s *api.Step, ok bool) {
	if ok {
		if i.process != nil {
			i.stored.Running = s.To
		}
		return
	}
	i.stored.Release, i.stored.Previous = s.From, s.Before
	a.wg.Go(func() { // writes a file, without the lock
		if err := a.configure(i, s.From, random()); err != nil {
			slog.Error("an instance's file holds settings that it turned down", "instance", i.config.Name, "err", err)
		}
	})
}

// reload brings a reload on its way: configuration, SIGHUP, and the sidecar's own
// word that it runs it. To do all that again after a restart of the agent does no harm.
func (a *Agent) reload(i *instance, s *api.Step) {
	a.mu.Lock()
	now := time.Now()
	p, hup := i.process, i.reloadSentAt
	waits := i.supervisor.Phase() == supervisor.Starting && now.Sub(later(i.stored.Launched, a.started)) < s.Ready ||
		p != nil && now.Sub(i.stored.Launched) < minReloadAge
	switch {
	case waits && hup.IsZero():
		a.mu.Unlock()
		return
	case p == nil || i.supervisor.Phase() != supervisor.Ready:
		a.endStep(i, s, false, fmt.Sprintf("it is %s: %s", i.supervisor.Phase(), i.supervisor.Reason()))
		a.mu.Unlock()
		return
	case !hup.IsZero() && i.configHash == "" && now.Sub(hup) > time.Second:
		a.endStep(i, s, true, "not confirmed: this release does not tell which configuration it runs")
		a.mu.Unlock()
		return
	case !hup.IsZero() && i.configHash == i.writtenConfigHash:
		a.endStep(i, s, true, "")
		a.mu.Unlock()
		return
	case !hup.IsZero():
		if now.Sub(hup) > reloadTimeout {
			a.endStep(i, s, false, "it kept its earlier configuration: "+lastLogProblem(a.logPath(i.config.Name)))
		}
		a.mu.Unlock()
		return
	}
	hash := i.stored.Running
	if s.Action == api.ActSettings {
		hash = s.To
	}
	a.mu.Unlock()
	err := a.configure(i, hash, random())
	if err == nil {
		err = p.Signal(syscall.SIGHUP)
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	if err != nil {
		a.endStep(i, s, false, err.Error())
		return
	}
	i.reloadSentAt = now
}
