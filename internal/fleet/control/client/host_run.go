package client

import (
	"errors"
	"sync"
	"time"

	"martendrum/internal/fleet/api"
	"martendrum/internal/fleet/control/rollout"
)

// hostRun is the part of one host in a run.
type hostRun struct {
	agent        *Agent
	mu           sync.Mutex
	token        int64          // of the leases; 0: none are held
	status       *api.OpOut     // the latest; nil: none yet
	silentSince  time.Time      // since when the host does not answer; zero: it does
	givenUp      bool           // the run no longer waits for the host
	pendingSteps map[int]string // kind of the steps without an outcome, by target
	stepCalls    map[int]bool   // targets with a StepStart call in flight
}

// leaseToken returns the fencing token of the host's leases, 0 if none are held.
func (p *hostRun) leaseToken() int64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.token
}

// hostEvent is a host's answer to a call of the run: its status, or the result of a step.
type hostEvent struct {
	host   string
	status *api.OpOut // nil: err is set, or it is a step
	err    error

	isStep bool
	target int
	kind   string
	result *api.Step
}

const (
	maxStatusWait = 2 * time.Second // that the agent may delay a status
	minRetryDelay = 50 * time.Millisecond
	maxRetryDelay = time.Second
)

// follow keeps the leases of one host alive and reports its status at each change, until the run
// ends.
func (r *runner) follow(p *hostRun) {
	wait := min(maxStatusWait, r.options.TTL/3)
	after, delay := int64(0), minRetryDelay
	for r.ctx.Err() == nil {
		status, err := r.awaitStatus(p, after, wait)
		if e, ok := errors.AsType[*api.Error](err); ok && e.Code == api.Fenced {
			// The leases expired. They can be acquired again unless somebody else holds them.
			p.setLeaseToken(0)
			if _, err = r.acquire(p); err == nil {
				continue
			}
		}
		if err == nil {
			// May be lower than before: an agent that has restarted counts from 0 again.
			after, delay = status.Change, minRetryDelay
		} else {
			after, status = 0, nil
		}
		select {
		case r.events <- hostEvent{host: p.agent.Host.Name, status: status, err: err}:
		case <-r.ctx.Done():
			return
		}
		if err != nil {
			select {
			case <-time.After(delay):
			case <-r.ctx.Done():
				return
			}
			delay = min(2*delay, maxRetryDelay)
		}
	}
}

// awaitStatus acquires the host's leases if none are held, and otherwise renews them. It returns
// the host's status once it has changed after a change number, or after wait.
func (r *runner) awaitStatus(p *hostRun, after int64, wait time.Duration) (*api.OpOut, error) {
	token := p.leaseToken()
	if token == 0 {
		var err error
		if token, err = r.acquire(p); err != nil {
			return nil, err
		}
	}
	status := &api.OpOut{}
	in := &api.StatusIn{Op: r.operation.ID, Token: token, TTL: r.options.TTL, After: after, Wait: wait}
	err := p.agent.CallFor(r.ctx, wait+r.fleet.Timeout, api.OpStatus, in, status)
	return status, err
}

// acquire opens the operation at a host, which acquires its leases.
func (r *runner) acquire(p *hostRun) (token int64, err error) {
	var out api.OpenOut
	in := &api.OpenIn{Operation: r.operation, LeaseHolder: r.options.LeaseHolder, TTL: r.options.TTL}
	if err := p.agent.Call(r.ctx, api.OpOpen, in, &out); err != nil {
		return 0, err
	}
	p.setLeaseToken(out.Token)
	return out.Token, nil
}

func (p *hostRun) setLeaseToken(token int64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.token = token
}

// startStep calls for a step at its host. Repeating a call is harmless, but only one per target is
// in flight.
func (r *runner) startStep(a rollout.Action) {
	t := r.operation.Targets[a.Target]
	p := r.hostRuns[t.Host]
	if p.pendingSteps[a.Target] != a.Kind {
		r.notify(Event{Kind: EventBegin, Host: t.Host, Instance: t.Instance, Step: a.Kind})
	}
	p.pendingSteps[a.Target] = a.Kind
	if p.stepCalls[a.Target] {
		return
	}
	p.stepCalls[a.Target] = true
	token := p.leaseToken()
	r.wg.Go(func() {
		result := &api.Step{}
		err := p.agent.Call(r.ctx, api.StepStart, &api.StepIn{Op: r.operation.ID, Token: token, Instance: t.Instance, Kind: a.Kind}, result)
		select {
		case r.events <- hostEvent{host: t.Host, err: err, isStep: true, target: a.Target, kind: a.Kind, result: result}:
		case <-r.ctx.Done():
		}
	})
}
