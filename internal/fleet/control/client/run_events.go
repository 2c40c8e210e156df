package client

import (
	"errors"
	"fmt"
	"time"

	"martendrum/internal/fleet/api"
	"martendrum/internal/fleet/control/rollout"
)

func (r *runner) handleEvent(e hostEvent) {
	p := r.hostRuns[e.host]
	apiErr, said := errors.AsType[*api.Error](e.err)
	if e.isStep {
		delete(p.stepCalls, e.target)
	}
	switch {
	case e.isStep && e.err == nil:
		if p.pendingSteps[e.target] != e.kind {
			return // a status of the host, later than this answer, has told already
		}
		delete(p.pendingSteps, e.target)
		r.machine.Recall(e.target, e.kind, e.result.Status, e.result.Reason)
	case e.isStep && !said:
		// It may have been begun: the host's next status tells, or it is asked again.
	case e.isStep && apiErr.Code == api.Fenced:
		// The follower finds out who holds it, or takes it again.
	case e.isStep && apiErr.Code == api.Closed:
		r.machine.Abort(apiErr.Message)
		delete(p.pendingSteps, e.target)
		r.machine.Done(e.target, e.kind, false, apiErr.Message)
	case e.isStep:
		delete(p.pendingSteps, e.target)
		r.machine.Done(e.target, e.kind, false, apiErr.Message)
	case e.err == nil:
		r.handleStatus(p, e.status)
	case said:
		// Another has it, or it has ended: nothing may be changed from here.
		r.loseHost(p, apiErr)
	case p.silentSince.IsZero():
		p.silentSince = time.Now()
		r.machine.Silent(e.host, r.unknownSince(p))
		r.notify(Event{Kind: "silent", Host: e.host, Text: e.err.Error()})
	}
}

func (r *runner) loseHost(p *hostRun, e *api.Error) {
	if e.Code == api.Unwritable {
		return // it answers, and can't be written to: its steps say so
	}
	r.machine.Abort(e.Message)
	for i, kind := range p.pendingSteps {
		delete(p.pendingSteps, i)
		r.machine.Done(i, kind, false, e.Message)
	}
	// What runs there is another's to follow.
	if p.silentSince.IsZero() {
		p.silentSince = time.Now()
		r.machine.Silent(p.agent.Host.Name, e.Message)
	}
	r.machine.GiveUp(p.agent.Host.Name)
	p.givenUp = true
}

func (r *runner) unknownSince(p *hostRun) string {
	seen := "never seen"
	if t := p.agent.Seen(); !t.IsZero() {
		seen = "last seen " + t.Format(time.RFC3339)
	}
	return fmt.Sprintf("unknown since %s, %s", p.silentSince.Format(time.RFC3339), seen)
}

// handleStatus takes a host's state.
func (r *runner) handleStatus(p *hostRun, out *api.OpOut) {
	host := p.agent.Host.Name
	if !p.silentSince.IsZero() {
		p.silentSince, p.givenUp = time.Time{}, false
		r.machine.Answers(host)
		r.notify(Event{Kind: "answers", Host: host})
	}
	r.takeStatus(p, out)
	if out.State != api.OpOpened {
		r.machine.Abort(fmt.Sprintf("operation %s is %s at host %s", r.operation.ID, out.State, host))
	}
	// Steps that were asked for and are not on record never came.
	for i, kind := range p.pendingSteps {
		if out.State == api.OpOpened {
			r.startStep(rollout.Action{Target: i, Kind: kind})
		} else {
			delete(p.pendingSteps, i)
			r.machine.Done(i, kind, false, "not begun: the operation was aborted")
		}
	}
}

// takeStatus takes over what a host's record says.
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

// giveUpSilent ends what has been waited for for long enough.
func (r *runner) giveUpSilent() {
	for _, host := range r.hostNames {
		p := r.hostRuns[host]
		if !p.silentSince.IsZero() && !p.givenUp && time.Since(p.silentSince) > r.options.GiveUp {
			p.givenUp, r.lastChange = true, time.Now() // others may go on now
			r.machine.GiveUp(host)
			r.notify(Event{Kind: "note", Host: host, Text: "waited for no longer: " + r.unknownSince(p)})
		}
	}
	if time.Since(r.lastChange) > r.options.GiveUp {
		r.machine.Stuck()
	}
}
