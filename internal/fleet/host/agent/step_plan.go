package agent

import (
	"fmt"

	"martendrum/internal/fleet/api"
	"martendrum/internal/fleet/host/supervisor"
	"martendrum/internal/fleet/store"
)

// stepPlan is what a step does to an instance. A step that needs no work, or can't be done,
// has its outcome before it begins.
type stepPlan struct {
	stored store.Instance // the instance as the step wants it
	status string         // api.StepRunning, or the outcome
	reason string         // of the outcome
}

func planRunning(stored store.Instance) stepPlan {
	return stepPlan{stored: stored, status: api.StepRunning}
}

func planDone(stored store.Instance, reason string) stepPlan {
	return stepPlan{stored: stored, status: api.StepOK, reason: reason}
}

func planFailed(stored store.Instance, reason string) stepPlan {
	return stepPlan{stored: stored, status: api.StepFailed, reason: reason}
}

// planNewProcess plans a new process if the instance is wanted to run.
func planNewProcess(stored store.Instance) stepPlan {
	if stored.Desired != api.Running {
		return planNextStart(stored)
	}
	stored.Generation++
	return planRunning(stored)
}

// planNextStart is the plan for an instance that is stopped: the change waits for its start.
func planNextStart(stored store.Instance) stepPlan {
	return planDone(stored, fmt.Sprintf("left %s; it runs this at its next start", stored.Desired))
}

// planStep plans a step of an operation and sets the release that the step leads to. The
// agent's lock is held.
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
			return planDone(stored, "left "+stored.Desired)
		}
		return planNewProcess(stored)
	case api.ActReload:
		if !running {
			return planDone(stored, "left "+stored.Desired)
		}
		return planRunning(stored)
	case api.ActUpgrade:
		return planUpgrade(i, o, s)
	case api.ActSettings:
		return a.planSettings(i, o, s)
	case api.ActRollback:
		if stored.Previous == "" {
			return planFailed(stored, "there is no earlier release to go back to")
		}
		stored.Release, stored.Previous = stored.Previous, stored.Release
		s.To = stored.Release
		return planNewProcess(stored)
	}
	return planFailed(stored, fmt.Sprintf("unknown action %q", o.Action))
}

// planRollback undoes the operation's change of an instance.
func (a *Agent) planRollback(i *instance, o *store.Operation, s *api.Step) stepPlan {
	stored := i.stored
	change := a.steps[stepKey{o.ID, s.Instance, api.Change}]
	switch {
	case o.Action != api.ActUpgrade && o.Action != api.ActRollback && o.Action != api.ActSettings:
		return planFailed(stored, fmt.Sprintf("a %s can't be taken back", o.Action))
	case change == nil:
		return planDone(stored, "it was not changed")
	}
	stored.Release, stored.Previous, s.To = change.From, change.Before, change.From
	switch {
	case stored.Release == i.stored.Release:
		return planDone(stored, "it was not changed")
	case o.Action == api.ActSettings && stored.Desired == api.Running:
		return planRunning(stored)
	}
	return planNewProcess(stored)
}

func planStart(i *instance) stepPlan {
	if i.stored.Desired == api.Drained {
		return planFailed(i.stored, "it is drained: undrain it")
	}
	return planDesiredRunning(i)
}

func planUndrain(i *instance) stepPlan {
	if i.stored.Desired != api.Drained {
		return planDone(i.stored, "it is not drained")
	}
	return planDesiredRunning(i)
}

// planDesiredRunning has an instance run. One that waits after crashes gets a new generation,
// which starts at once.
func planDesiredRunning(i *instance) stepPlan {
	stored, phase := i.stored, i.supervisor.Phase()
	if stored.Desired == api.Running && phase != supervisor.Crashloop && phase != supervisor.Backoff {
		if phase == supervisor.Ready {
			return planDone(stored, "it was running")
		}
		return planRunning(stored)
	}
	stored.Desired = api.Running
	stored.Generation++
	return planRunning(stored)
}

// planUpgrade has an instance run the operation's release.
func planUpgrade(i *instance, o *store.Operation, s *api.Step) stepPlan {
	stored := i.stored
	running := stored.Desired == api.Running
	s.To = o.Release
	if stored.Release == o.Release && (!running || stored.Running == o.Release && i.supervisor.Phase() == supervisor.Ready) {
		return planDone(stored, "it has this release")
	}
	setRelease(&stored, o.Release)
	return planNewProcess(stored)
}

// planSettings has an instance read the overlay of the operation's release. The program must
// be the same: the process stays.
func (a *Agent) planSettings(i *instance, o *store.Operation, s *api.Step) stepPlan {
	stored := i.stored
	running := stored.Desired == api.Running
	s.To = o.Release
	if stored.Release == o.Release && (!running || stored.Running == o.Release) {
		return planDone(stored, "it has these settings")
	}
	if same, err := a.releases.SameProgram(stored.Release, o.Release); err != nil || !same {
		return planFailed(stored, fmt.Sprintf("release %.12s has another program than %.12s, which it runs: that is an upgrade (%v)", o.Release, stored.Release, err))
	}
	setRelease(&stored, o.Release)
	if !running {
		return planNextStart(stored)
	}
	return planRunning(stored)
}

// setRelease makes a release the wanted one and remembers the one before it.
func setRelease(stored *store.Instance, hash string) {
	if stored.Release != hash {
		stored.Previous = stored.Release
	}
	stored.Release = hash
}
