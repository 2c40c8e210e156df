package client

import (
	"errors"
	"sync"
	"time"

	"martendrum/internal/fleet/api"
	"martendrum/internal/fleet/control/rollout"
)

// hostRun is one host's part in a run.
type hostRun struct {
	agent        *Agent
	mu           sync.Mutex
	token        int64 // 0: the operation has ended there
	status       *api.OpOut
	silentSince  time.Time // since when it does not answer
	givenUp      bool
	pendingSteps map[int]string // steps that were asked for and may not have come, by target
	stepCalls    map[int]bool   // of these, a call is under way
}

func (p *hostRun) leaseToken() int64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.token
}

type hostEvent struct {
	host   string
	status *api.OpOut
	err    error
	// Of a step that was asked for.
	isStep bool
	target int
	kind   string
	result *api.Step
}

// follow keeps an eye on one host, and its leases alive.
func (r *runner) follow(p *hostRun) {
	wait := min(2*time.Second, r.options.TTL/3)
	after, pause := int64(0), 50*time.Millisecond
	for r.ctx.Err() == nil {
		token := p.leaseToken()
		var err error
		if token == 0 { // it was not reached yet, or its lease ran out meanwhile
			var got api.OpenOut
			if err = p.agent.Call(r.ctx, api.OpOpen, &api.OpenIn{Operation: r.operation, LeaseHolder: r.options.LeaseHolder, TTL: r.options.TTL}, &got); err == nil {
				token = got.Token
				p.mu.Lock()
				p.token = token
				p.mu.Unlock()
			}
		}
		out := &api.OpOut{}
		if err == nil {
			in := &api.StatusIn{Op: r.operation.ID, Token: token, TTL: r.options.TTL, After: after, Wait: wait}
			err = p.agent.CallFor(r.ctx, wait+r.fleet.Timeout, api.OpStatus, in, out)
		}
		if e, ok := errors.AsType[*api.Error](err); ok && e.Code == api.Fenced {
			// Its time ran out. It may be taken again as long as nobody else did.
			p.mu.Lock()
			p.token = 0
			p.mu.Unlock()
			var got api.OpenOut
			err = p.agent.Call(r.ctx, api.OpOpen, &api.OpenIn{Operation: r.operation, LeaseHolder: r.options.LeaseHolder, TTL: r.options.TTL}, &got)
			if err == nil {
				p.mu.Lock()
				p.token = got.Token
				p.mu.Unlock()
				continue
			}
		}
		if err == nil {
			// An agent that was started anew counts from 0 again.
			after, pause = out.Change, 50*time.Millisecond
		} else {
			after, out = 0, nil
		}
		select {
		case r.events <- hostEvent{host: p.agent.Host.Name, status: out, err: err}:
		case <-r.ctx.Done():
			return
		}
		if err != nil {
			select {
			case <-time.After(pause):
			case <-r.ctx.Done():
				return
			}
			pause = min(2*pause, time.Second)
		}
	}
}

// startStep asks for a step.
func (r *runner) startStep(a rollout.Action) {
	t := r.operation.Targets[a.Target]
	p := r.hostRuns[t.Host]
	if p.pendingSteps[a.Target] != a.Kind {
		r.notify(Event{Kind: "begin", Host: t.Host, Instance: t.Instance, Step: a.Kind})
	}
	p.pendingSteps[a.Target] = a.Kind
	if p.stepCalls[a.Target] {
		return
	}
	p.stepCalls[a.Target] = true
	token := p.leaseToken()
	r.wg.Go(func() {
		got := &api.Step{}
		err := p.agent.Call(r.ctx, api.StepStart, &api.StepIn{Op: r.operation.ID, Token: token, Instance: t.Instance, Kind: a.Kind}, got)
		select {
		case r.events <- hostEvent{host: t.Host, err: err, isStep: true, target: a.Target, kind: a.Kind, result: got}:
		case <-r.ctx.Done():
		}
	})
}
