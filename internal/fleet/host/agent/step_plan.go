package agent

import (
	"fmt"

	"martendrum/internal/fleet/api"
	"martendrum/internal/fleet/host/supervisor"
	"martendrum/internal/fleet/store"
)

// stepPlan is what a step does to an instance. The plan of a step that needs no work, or that can't
// be carried out, already has the step's outcome.
type stepPlan struct {
	stored store.Instance // the desired state of the instance
	status string         // api.StepRunning, or the outcome
	reason string         // of the outcome
}

// planRunning returns a plan whose outcome depends on the instance.
func planRunning(stored store.Instance) stepPlan {
	return stepPlan{stored: stored, status: api.StepRunning}
}

// planDone returns a plan that needs no work and succeeds.
func planDone(stored store.Instance, reason string) stepPlan {
	return stepPlan{stored: stored, status: api.StepOK, reason: reason}
}

// planFailed returns a plan that can't be carried out.
func planFailed(stored store.Instance, reason string) stepPlan {
	return stepPlan{stored: stored, status: api.StepFailed, reason: reason}
}

// planNewProcess plans the start of a new process, or nothing for an instance that should not run.
func planNewProcess(stored store.Instance) stepPlan {
	if stored.Desired != api.Running {
		return planNextStart(stored)
	}
	stored.Generation++
	return planRunning(stored)
}

// planNextStart returns the plan for an instance that should not run: the change takes effect at
// its next start.
func planNextStart(stored store.Instance) stepPlan {
	return planDone(stored, fmt.Sprintf("the instance is left %s; the change takes effect at its next start", stored.Desired))
}

// planStep plans a step of an operation and sets s.To, the release to which the step leads. The
// caller holds a.mu.
func (a *Agent) planStep(i *instance, o *store.Operation, s *api.Step) stepPlan {
	if s.Kind == api.Rollback {
		return a.planRollback(i, o, s)
	}
	stored := i.stored
	running := stored.Desired == api.Running
	switch o.Action {
	case api.ActStart:
		return planStart(i)
	case api.ActUndrain:
		return planUndrain(i)
	case api.ActStop:
		stored.Desired = api.Stopped
		return planRunning(stored)
	case api.ActDrain:
		stored.Desired = api.Drained
		return planRunning(stored)
	case api.ActRestart:
		if !running {
			return planDone(stored, "the instance is left "+stored.Desired)
		}
		return planNewProcess(stored)
	case api.ActReload:
		if !running {
			return planDone(stored, "the instance is left "+stored.Desired)
		}
		return planRunning(stored)
	case api.ActUpgrade:
		return planUpgrade(i, o, s)
	case api.ActSettings:
		return a.planSettings(i, o, s)
	case api.ActRollback:
		if stored.Previous == "" {
			return planFailed(stored, "there is no earlier release to roll back to")
		}
		stored.Release, stored.Previous = stored.Previous, stored.Release
		s.To = stored.Release
		return planNewProcess(stored)
	}
	return planFailed(stored, fmt.Sprintf("unknown action %q", o.Action))
}

// planRollback plans to undo what the operation changed at an instance.
func (a *Agent) planRollback(i *instance, o *store.Operation, s *api.Step) stepPlan {
	stored := i.stored
	change := a.steps[stepKey{o.ID, s.Instance, api.Change}]
	switch {
	case o.Action != api.ActUpgrade && o.Action != api.ActRollback && o.Action != api.ActSettings:
		return planFailed(stored, fmt.Sprintf("a %s can't be rolled back", o.Action))
	case change == nil:
		return planDone(stored, "the instance was not changed")
	}
	stored.Release, stored.Previous, s.To = change.From, change.Before, change.From
	switch {
	case stored.Release == i.stored.Release:
		return planDone(stored, "the instance was not changed")
	case o.Action == api.ActSettings && stored.Desired == api.Running:
		return planRunning(stored)
	}
	return planNewProcess(stored)
}

// planStart plans to start an instance that is not drained.
func planStart(i *instance) stepPlan {
	if i.stored.Desired == api.Drained {
		return planFailed(i.stored, "the instance is drained: undrain it instead")
	}
	return planDesiredRunning(i)
}

// planUndrain plans to start an instance that is drained.
func planUndrain(i *instance) stepPlan {
	if i.stored.Desired != api.Drained {
		return planDone(i.stored, "the instance is not drained")
	}
	return planDesiredRunning(i)
}

// planDesiredRunning plans to have an instance run. An instance that waits after crashes gets a new
// generation, whose process is launched at once.
func planDesiredRunning(i *instance) stepPlan {
	stored, phase := i.stored, i.supervisor.Phase()
	if stored.Desired == api.Running && phase != supervisor.Crashloop && phase != supervisor.Backoff {
		if phase == supervisor.Ready {
			return planDone(stored, "the instance was running")
		}
		return planRunning(stored)
	}
	stored.Desired = api.Running
	stored.Generation++
	return planRunning(stored)
}

// planUpgrade plans to have an instance run the operation's release.
func planUpgrade(i *instance, o *store.Operation, s *api.Step) stepPlan {
	stored := i.stored
	running := stored.Desired == api.Running
	s.To = o.Release
	if stored.Release == o.Release && (!running || stored.Running == o.Release && i.supervisor.Phase() == supervisor.Ready) {
		return planDone(stored, "the instance has this release")
	}
	setRelease(&stored, o.Release)
	return planNewProcess(stored)
}

// planSettings plans to have an instance read the overlay of the operation's release. The process
// continues to run, so the release must have the same program.
func (a *Agent) planSettings(i *instance, o *store.Operation, s *api.Step) stepPlan {
	stored := i.stored
	running := stored.Desired == api.Running
	s.To = o.Release
	if stored.Release == o.Release && (!running || stored.Running == o.Release) {
		return planDone(stored, "the instance has these settings")
	}
	if same, err := a.releases.SameProgram(stored.Release, o.Release); err != nil || !same {
		return planFailed(stored, fmt.Sprintf("release %.12s has a different program from release %.12s, which the instance runs: use an upgrade instead (%v)", o.Release, stored.Release, err))
	}
	setRelease(&stored, o.Release)
	if !running {
		return planNextStart(stored)
	}
	return planRunning(stored)
}

// setRelease makes a release the desired one, and the one before it the previous release.
func setRelease(stored *store.Instance, hash string) {
	if stored.Release != hash {
		stored.Previous = stored.Release
	}
	stored.Release = hash
}
