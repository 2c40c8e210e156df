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

// planRunning returns the plan of a step that has work to do. Its outcome is not known yet.
func planRunning(stored store.Instance) stepPlan {
	return stepPlan{stored: stored, status: api.StepRunning}
}

// planDone returns the plan of a step that needs no work, or whose change takes effect later. The
// step succeeds.
func planDone(stored store.Instance, reason string) stepPlan {
	return stepPlan{stored: stored, status: api.StepOK, reason: reason}
}

// planFailed returns the plan of a step that can't be carried out.
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

// planStep plans a step of an operation and sets step.To, the release to which the step leads. The
// caller holds a.mu.
func (a *Agent) planStep(inst *instance, operation *store.Operation, step *api.Step) stepPlan {
	if step.Kind == api.Rollback {
		return a.planRollback(inst, operation, step)
	}
	stored := inst.stored
	running := stored.Desired == api.Running
	switch operation.Action {
	case api.ActStart:
		return planStart(inst)
	case api.ActUndrain:
		return planUndrain(inst)
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
		return planUpgrade(inst, operation, step)
	case api.ActSettings:
		return a.planSettings(inst, operation, step)
	case api.ActRollback:
		if stored.Previous == "" {
			return planFailed(stored, "there is no earlier release to roll back to")
		}
		stored.Release, stored.Previous = stored.Previous, stored.Release
		step.To = stored.Release
		return planNewProcess(stored)
	}
	return planFailed(stored, fmt.Sprintf("unknown action %q", operation.Action))
}

// planRollback plans to undo what the operation changed at an instance.
func (a *Agent) planRollback(inst *instance, operation *store.Operation, step *api.Step) stepPlan {
	stored := inst.stored
	change := a.steps[stepKey{operation.ID, step.Instance, api.Change}]
	switch {
	case operation.Action != api.ActUpgrade && operation.Action != api.ActRollback && operation.Action != api.ActSettings:
		return planFailed(stored, fmt.Sprintf("a %s can't be rolled back", operation.Action))
	case change == nil:
		return planDone(stored, "the instance was not changed")
	}
	stored.Release, stored.Previous, step.To = change.From, change.PreviousRelease, change.From
	switch {
	case stored.Release == inst.stored.Release:
		return planDone(stored, "the instance was not changed")
	case operation.Action == api.ActSettings && stored.Desired == api.Running:
		return planRunning(stored)
	}
	return planNewProcess(stored)
}

// planStart plans to start an instance that is not drained.
func planStart(inst *instance) stepPlan {
	if inst.stored.Desired == api.Drained {
		return planFailed(inst.stored, "the instance is drained: undrain it instead")
	}
	return planDesiredRunning(inst)
}

// planUndrain plans to start an instance that is drained.
func planUndrain(inst *instance) stepPlan {
	if inst.stored.Desired != api.Drained {
		return planDone(inst.stored, "the instance is not drained")
	}
	return planDesiredRunning(inst)
}

// planDesiredRunning plans to have an instance run. An instance that waits after crashes gets a new
// generation, whose process is launched at once.
func planDesiredRunning(inst *instance) stepPlan {
	stored, phase := inst.stored, inst.supervisor.Phase()
	if stored.Desired == api.Running && phase != supervisor.CrashLoop && phase != supervisor.Backoff {
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
func planUpgrade(inst *instance, operation *store.Operation, step *api.Step) stepPlan {
	stored := inst.stored
	running := stored.Desired == api.Running
	step.To = operation.Release
	if stored.Release == operation.Release && (!running || stored.Running == operation.Release && inst.supervisor.Phase() == supervisor.Ready) {
		return planDone(stored, "the instance has this release")
	}
	setRelease(&stored, operation.Release)
	return planNewProcess(stored)
}

// planSettings plans to have an instance read the overlay of the operation's release. The process
// continues to run, so the release must have the same program.
func (a *Agent) planSettings(inst *instance, operation *store.Operation, step *api.Step) stepPlan {
	stored := inst.stored
	running := stored.Desired == api.Running
	step.To = operation.Release
	if stored.Release == operation.Release && (!running || stored.Running == operation.Release) {
		return planDone(stored, "the instance has these settings")
	}
	if same, err := a.releases.SameProgram(stored.Release, operation.Release); err != nil || !same {
		return planFailed(stored, fmt.Sprintf("release %.12s has a different program from release %.12s, which the instance runs: use an upgrade instead (%v)", operation.Release, stored.Release, err))
	}
	setRelease(&stored, operation.Release)
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
