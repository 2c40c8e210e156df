package client

import (
	"errors"
	"fmt"
	"time"

	"martendrum/internal/fleet/api"
	"martendrum/internal/fleet/control/rollout"
)

// handleEvent takes the answer of a host.
func (r *runner) handleEvent(e hostEvent) {
	p := r.hostRuns[e.host]
	apiErr, answered := errors.AsType[*api.Error](e.err)
	if e.isStep {
		delete(p.stepCalls, e.target)
	}
	switch {
	case e.isStep && e.err == nil:
		if p.pendingSteps[e.target] != e.kind {
			return // a later status of the host has already brought the outcome
		}
		delete(p.pendingSteps, e.target)
		r.machine.Recall(e.target, e.kind, e.result.Status, e.result.Reason)
	case e.isStep && !answered:
		// The step may have started: the host's next status shows it, or the call is repeated.
	case e.isStep && apiErr.Code == api.Fenced:
		// follow acquires the leases again, or finds out who holds them.
	case e.isStep && apiErr.Code == api.Closed:
		r.machine.Abort(apiErr.Message)
		delete(p.pendingSteps, e.target)
		r.machine.Done(e.target, e.kind, false, apiErr.Message)
	case e.isStep:
		delete(p.pendingSteps, e.target)
		r.machine.Done(e.target, e.kind, false, apiErr.Message)
	case e.err == nil:
		r.handleStatus(p, e.status)
	case answered:
		// Somebody else holds the leases, or the operation is closed.
		r.loseHost(p, apiErr)
	case p.silentSince.IsZero():
		p.silentSince = time.Now()
		r.machine.Silent(e.host, r.unknownSince(p))
		r.notify(Event{Kind: EventSilent, Host: e.host, Text: e.err.Error()})
	}
}

// loseHost ends the run at a host whose leases this run can't hold any more, and with it the run.
func (r *runner) loseHost(p *hostRun, e *api.Error) {
	if e.Code == api.Unwritable {
		return // the host answers; its steps report that its record can't be written
	}
	r.machine.Abort(e.Message)
	for i, kind := range p.pendingSteps {
		delete(p.pendingSteps, i)
		r.machine.Done(i, kind, false, e.Message)
	}
	// Its state is no longer followed, as if it did not answer.
	if p.silentSince.IsZero() {
		p.silentSince = time.Now()
		r.machine.Silent(p.agent.Host.Name, e.Message)
	}
	r.machine.GiveUp(p.agent.Host.Name)
	p.givenUp = true
}

// unknownSince says since when the state of a host is unknown.
func (r *runner) unknownSince(p *hostRun) string {
	seen := "never seen"
	if t := p.agent.Seen(); !t.IsZero() {
		seen = "last seen " + t.Format(time.RFC3339)
	}
	return fmt.Sprintf("unknown since %s, %s", p.silentSince.Format(time.RFC3339), seen)
}

// handleStatus takes the status of a host that answers.
func (r *runner) handleStatus(p *hostRun, out *api.OpOut) {
	host := p.agent.Host.Name
	if !p.silentSince.IsZero() {
		p.silentSince, p.givenUp = time.Time{}, false
		r.machine.Answers(host)
		r.notify(Event{Kind: EventAnswers, Host: host})
	}
	r.takeStatus(p, out)
	if out.State != api.OpOpened {
		r.machine.Abort(fmt.Sprintf("operation %s is %s at host %s", r.operation.ID, out.State, host))
	}
	// Steps that were called for and are not in the record never started.
	for i, kind := range p.pendingSteps {
		if out.State == api.OpOpened {
			r.startStep(rollout.Action{Target: i, Kind: kind})
		} else {
			delete(p.pendingSteps, i)
			r.machine.Done(i, kind, false, "not begun: the operation was aborted")
		}
	}
}

// takeStatus applies a host's steps and the states of its instances to the rollout.
func (r *runner) takeStatus(p *hostRun, out *api.OpOut) {
	p.status = out
	host := p.agent.Host.Name
	for _, kind := range []string{api.Change, api.Rollback} {
		for _, s := range out.Steps {
			if i, ok := r.targetIndex[api.Target{Host: host, Instance: s.Instance}]; ok && s.Kind == kind {
				if p.pendingSteps[i] == kind {
					delete(p.pendingSteps, i)
				}
				r.machine.Recall(i, kind, s.Status, s.Reason)
			}
		}
	}
	for _, x := range out.Instances {
		if i, ok := r.targetIndex[api.Target{Host: host, Instance: x.Name}]; ok {
			r.machine.Down(i, x.Desired == api.Running && x.State != "ready")
		}
	}
}

// giveUpSilent gives up hosts that have been silent for longer than Options.GiveUp, and a rollout
// in which nothing has changed for as long.
func (r *runner) giveUpSilent() {
	for _, host := range r.hostNames {
		p := r.hostRuns[host]
		if !p.silentSince.IsZero() && !p.givenUp && time.Since(p.silentSince) > r.options.GiveUp {
			p.givenUp, r.lastChange = true, time.Now() // other targets may start now
			r.machine.GiveUp(host)
			r.notify(Event{Kind: EventNote, Host: host, Text: "waited for no longer: " + r.unknownSince(p)})
		}
	}
	if time.Since(r.lastChange) > r.options.GiveUp {
		r.machine.Stuck()
	}
}
