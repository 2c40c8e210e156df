package client

import (
	"errors"
	"fmt"
	"time"

	"martendrum/internal/fleet/api"
	"martendrum/internal/fleet/control/rollout"
)

// handleEvent applies the result of a call to a host to the rollout.
func (r *runner) handleEvent(e hostEvent) {
	hr := r.hostRuns[e.host]
	apiErr, answered := errors.AsType[*api.Error](e.err)
	if e.isStep {
		delete(hr.stepCalls, e.target)
	}
	switch {
	case e.isStep && e.err == nil:
		if hr.pendingSteps[e.target] != e.kind {
			return // a status of the host has already reported the outcome
		}
		delete(hr.pendingSteps, e.target)
		r.machine.ApplyStep(e.target, e.kind, e.result.Status, e.result.Reason)
	case e.isStep && !answered:
		// The step may have started: the host's next status shows that, or the call is repeated.
	case e.isStep && apiErr.Code == api.Fenced:
		// follow acquires the leases again, or reports who holds them.
	case e.isStep && apiErr.Code == api.Closed:
		r.machine.Abort(apiErr.Message)
		delete(hr.pendingSteps, e.target)
		r.machine.Done(e.target, e.kind, false, apiErr.Message)
	case e.isStep:
		delete(hr.pendingSteps, e.target)
		r.machine.Done(e.target, e.kind, false, apiErr.Message)
	case e.err == nil:
		r.handleStatus(hr, e.status)
	case answered:
		// Another run holds the leases, or the operation is closed.
		r.handleLeaseLoss(hr, apiErr)
	case hr.silentSince.IsZero():
		hr.silentSince = time.Now()
		r.machine.Silent(e.host, r.unknownSince(hr))
		r.notify(Event{Kind: EventSilent, Host: e.host, Text: e.err.Error()})
	}
}

// handleLeaseLoss aborts the run because it can no longer hold the leases at one host. Steps at that
// host that have no outcome count as failed. It ignores an error that only says that the agent can't
// write its store.
func (r *runner) handleLeaseLoss(hr *hostRun, e *api.Error) {
	if e.Code == api.Unwritable {
		return // the host answers; its steps report that its store can't be written
	}
	r.machine.Abort(e.Message)
	for i, kind := range hr.pendingSteps {
		delete(hr.pendingSteps, i)
		r.machine.Done(i, kind, false, e.Message)
	}
	// Without the leases, follow receives no status of the host, so the host counts as silent.
	if hr.silentSince.IsZero() {
		hr.silentSince = time.Now()
		r.machine.Silent(hr.agent.Host.Name, e.Message)
	}
	r.machine.GiveUp(hr.agent.Host.Name)
	hr.givenUp = true
}

// unknownSince says since when the state of a silent host is unknown, and when it was last seen.
func (r *runner) unknownSince(hr *hostRun) string {
	seen := "never seen"
	if t := hr.agent.Seen(); !t.IsZero() {
		seen = "last seen " + t.Format(time.RFC3339)
	}
	return fmt.Sprintf("unknown since %s, %s", hr.silentSince.Format(time.RFC3339), seen)
}

// handleStatus applies the status of a host that answers. It aborts the rollout if the operation is
// no longer open at the host.
func (r *runner) handleStatus(hr *hostRun, status *api.OpOut) {
	host := hr.agent.Host.Name
	if !hr.silentSince.IsZero() {
		hr.silentSince, hr.givenUp = time.Time{}, false
		r.machine.Answers(host)
		r.notify(Event{Kind: EventAnswers, Host: host})
	}
	r.applyStatus(hr, status)
	if status.State != api.OpOpened {
		r.machine.Abort(fmt.Sprintf("operation %s is %s at host %s", r.operation.ID, status.State, host))
	}
	// Steps that were requested and are missing in the status have not started.
	for i, kind := range hr.pendingSteps {
		if status.State == api.OpOpened {
			r.startStep(rollout.Action{Target: i, Kind: kind})
		} else {
			delete(hr.pendingSteps, i)
			r.machine.Done(i, kind, false, "not started: the operation was aborted")
		}
	}
}

// applyStatus applies a host's steps and the states of its instances to the rollout.
func (r *runner) applyStatus(hr *hostRun, status *api.OpOut) {
	hr.status = status
	host := hr.agent.Host.Name
	for _, kind := range []string{api.Change, api.Rollback} {
		for _, step := range status.Steps {
			if i, ok := r.targetIndex[api.Target{Host: host, Instance: step.Instance}]; ok && step.Kind == kind {
				if hr.pendingSteps[i] == kind {
					delete(hr.pendingSteps, i)
				}
				r.machine.ApplyStep(i, kind, step.Status, step.Reason)
			}
		}
	}
	for _, instance := range status.Instances {
		if i, ok := r.targetIndex[api.Target{Host: host, Instance: instance.Name}]; ok {
			r.machine.Down(i, instance.Desired == api.Running && instance.State != "ready")
		}
	}
}

// giveUpWaiting stops waiting for hosts that have been silent for longer than Options.GiveUp, and
// for a rollout in which nothing has changed for as long.
func (r *runner) giveUpWaiting() {
	for _, host := range r.hostNames {
		hr := r.hostRuns[host]
		if !hr.silentSince.IsZero() && !hr.givenUp && time.Since(hr.silentSince) > r.options.GiveUp {
			hr.givenUp, r.lastChange = true, time.Now() // other targets may start now
			r.machine.GiveUp(host)
			r.notify(Event{Kind: EventNote, Host: host, Text: "no longer waited for: " + r.unknownSince(hr)})
		}
	}
	if time.Since(r.lastChange) > r.options.GiveUp {
		r.machine.Stuck()
	}
}
