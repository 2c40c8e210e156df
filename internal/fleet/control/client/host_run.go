package client

import (
	"errors"
	"sync"
	"time"

	"martendrum/internal/fleet/api"
	"martendrum/internal/fleet/control/rollout"
)

// hostRun is the state of a run at one host. mu guards token during the run; the other fields belong
// to the goroutine of runner.run.
type hostRun struct {
	agent        *Agent
	mu           sync.Mutex
	token        int64          // fencing token of the host's leases; 0 if none are held
	status       *api.OpOut     // the latest status; nil if there is none yet
	noRecord     string         // why the host, which answers, has no record of the operation; "" if it has one or is silent
	silentSince  time.Time      // when the host stopped answering; zero while it answers
	givenUp      bool           // the run no longer waits for the host
	pendingSteps map[int]string // by target index: the kind of a step that was requested and has no outcome yet
	stepCalls    map[int]bool   // by target index: whether a StepStart call is in flight
}

// leaseToken returns the fencing token of the host's leases, 0 if none are held.
func (hr *hostRun) leaseToken() int64 {
	hr.mu.Lock()
	defer hr.mu.Unlock()
	return hr.token
}

// hostEvent is the result of a call to a host during the run: the host's status, the result of a
// step, or the error of either.
type hostEvent struct {
	host   string
	status *api.OpOut // nil if err or isStep is set
	err    error

	isStep bool      // the call was StepStart; the fields below are set
	target int       // index of the target
	kind   string    // api.Change or api.Rollback
	result *api.Step // not valid if err is set
}

const (
	maxStatusWait = 2 * time.Second       // how long an agent may delay a status that has not changed
	minRetryDelay = 50 * time.Millisecond // after the first failed status call; doubles with each further one
	maxRetryDelay = time.Second           // between failed status calls
)

// follow renews the leases of one host and sends the host's status to r.events whenever it changes,
// until the run ends. It runs in a goroutine for each host.
func (r *runner) follow(hr *hostRun) {
	wait := min(maxStatusWait, r.options.TTL/3)
	after, delay := int64(0), minRetryDelay
	for r.ctx.Err() == nil {
		status, err := r.awaitStatus(hr, after, wait)
		if e, ok := errors.AsType[*api.Error](err); ok && e.Code == api.Fenced {
			// The leases have expired. They can be acquired again unless another run holds them.
			hr.setLeaseToken(0)
			if _, err = r.acquire(hr); err == nil {
				continue
			}
		}
		if err == nil {
			// The change number may be lower than before: a restarted agent counts its changes from 0.
			after, delay = status.Change, minRetryDelay
		} else {
			after, status = 0, nil
		}
		select {
		case r.events <- hostEvent{host: hr.agent.Host.Name, status: status, err: err}:
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

// awaitStatus acquires the host's leases if none are held, and otherwise renews them. It returns the
// host's status as soon as its change number exceeds after, and at the latest after wait.
func (r *runner) awaitStatus(hr *hostRun, after int64, wait time.Duration) (*api.OpOut, error) {
	token := hr.leaseToken()
	if token == 0 {
		var err error
		if token, err = r.acquire(hr); err != nil {
			return nil, err
		}
	}
	status := &api.OpOut{}
	in := &api.StatusIn{Op: r.operation.ID, Token: token, TTL: r.options.TTL, After: after, Wait: wait}
	err := hr.agent.CallFor(r.ctx, wait+r.fleet.Timeout, api.OpStatus, in, status)
	return status, err
}

// acquire opens the operation at a host, which grants the leases of its targets, and stores their
// token. Unlike open, it may be called during the run, by the host's goroutine.
func (r *runner) acquire(hr *hostRun) (token int64, err error) {
	var out api.OpenOut
	in := &api.OpenIn{Operation: r.operation, LeaseHolder: r.options.LeaseHolder, TTL: r.options.TTL}
	if err := hr.agent.Call(r.ctx, api.OpOpen, in, &out); err != nil {
		return 0, err
	}
	hr.setLeaseToken(out.Token)
	return out.Token, nil
}

// setLeaseToken stores the fencing token of the host's leases; 0 means that none are held.
func (hr *hostRun) setLeaseToken(token int64) {
	hr.mu.Lock()
	defer hr.mu.Unlock()
	hr.token = token
}

// startStep requests a step at the host of its target and does not wait for the result, which
// arrives in r.events. It may be called again for the same step: the agent starts a step only once,
// and while a call for the target is in flight, startStep makes no other.
func (r *runner) startStep(a rollout.Action) {
	t := r.operation.Targets[a.Target]
	hr := r.hostRuns[t.Host]
	if hr.pendingSteps[a.Target] != a.Kind {
		r.notify(Event{Kind: EventBegin, Host: t.Host, Instance: t.Instance, Step: a.Kind})
	}
	hr.pendingSteps[a.Target] = a.Kind
	if hr.stepCalls[a.Target] {
		return
	}
	hr.stepCalls[a.Target] = true
	token := hr.leaseToken()
	r.wg.Go(func() {
		result := &api.Step{}
		err := hr.agent.Call(r.ctx, api.StepStart, &api.StepIn{Op: r.operation.ID, Token: token, Instance: t.Instance, Kind: a.Kind}, result)
		select {
		case r.events <- hostEvent{host: t.Host, err: err, isStep: true, target: a.Target, kind: a.Kind, result: result}:
		case <-r.ctx.Done():
		}
	})
}
