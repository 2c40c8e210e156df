package client

import (
	"context"
	"errors"
	"fmt"
	"sort"
	"sync"
	"time"

	"martendrum/internal/fleet/api"
	"martendrum/internal/fleet/control/inventory"
)

// Start begins an operation: it takes the leases at every host, all or none, and
// brings it to its end. The error tells that nothing was changed; what went wrong
// later is in the report.
func (f *Fleet) Start(ctx context.Context, op api.Operation, opt Options) (*Report, error) {
	r, err := f.newRunner(op, opt)
	if err != nil {
		return nil, err
	}
	if op.Staged != nil {
		if err := r.setUpStages(nil); err != nil {
			return nil, fmt.Errorf("nothing was changed: %w", err)
		}
	}
	if err := f.checkReturned(ctx); err != nil {
		return nil, fmt.Errorf("nothing was changed: %w", err)
	}
	// In one order everywhere: of two who want the same, one gets the first.
	for n, host := range r.hostNames {
		p := r.hostRuns[host]
		var out api.OpenOut
		if err := p.agent.Call(ctx, api.OpOpen, &api.OpenIn{Operation: op, LeaseHolder: opt.LeaseHolder, TTL: opt.TTL}, &out); err != nil {
			for _, back := range r.hostNames[:n+1] {
				if q := r.hostRuns[back]; back != host || errors.As(err, new(*UnreachableError)) {
					// Where no answer came it may have been taken: said again, it is given back.
					cctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), f.Timeout)
					if back == host {
						q.agent.Call(cctx, api.OpAbort, &api.AbortIn{Op: op.ID}, nil)
					} else {
						q.agent.Call(cctx, api.OpClose, &api.CloseIn{Op: op.ID, Token: q.token, Result: "not begun"}, nil)
					}
					cancel()
				}
			}
			return nil, fmt.Errorf("nothing was changed: %w", err)
		}
		p.token = out.Token
	}
	return r.run(ctx)
}

// returnCheckTimeout is how long the fleet is asked whether it is whole. Who is silent for longer is
// down, which is no return.
const returnCheckTimeout = time.Second

// checkReturned says whether no host of the fleet comes back from a power loss, those that the
// operation does not touch among them.
func (f *Fleet) checkReturned(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, returnCheckTimeout)
	defer cancel()
	for _, h := range f.List(ctx, &inventory.Select{}) {
		if h.Returning != "" {
			e := &api.ReturningError{Host: h.Host.Name, How: h.Returning}
			return fmt.Errorf("%w; %s", e, e.Advice())
		}
	}
	return nil
}

// Find looks for an operation at all hosts.
func (f *Fleet) Find(ctx context.Context, id string) (op api.Operation, outs map[string]*api.OpOut, errs map[string]error) {
	outs, errs = make(map[string]*api.OpOut), make(map[string]error)
	var mu sync.Mutex
	ForEach(f.Agents, func(_ int, a *Agent) error {
		out := &api.OpOut{}
		err := a.Call(ctx, api.OpStatus, &api.StatusIn{Op: id}, out)
		mu.Lock()
		defer mu.Unlock()
		if err != nil {
			errs[a.Host.Name] = err
			return nil
		}
		outs[a.Host.Name], op = out, out.Operation
		return nil
	})
	return op, outs, errs
}

// Resume goes on with an operation where it stood, as the agents' records tell.
// Hosts that don't answer are unknown until they do.
func (f *Fleet) Resume(ctx context.Context, id string, opt Options) (*Report, error) {
	op, outs, errs := f.Find(ctx, id)
	if len(outs) == 0 {
		return nil, notFound(id, errs)
	}
	if op.Policy.OnFailure == api.OnFailurePause {
		// Going on after a pause means to: what has failed by now is counted no more.
		op.Policy.Canaries = 0
		for _, out := range outs {
			for _, s := range out.Steps {
				if s.Status == api.StepFailed {
					op.Policy.MaxFailures++
				}
			}
		}
	}
	r, err := f.newRunner(op, opt)
	if err != nil {
		return nil, err
	}
	open := 0
	for _, host := range r.hostNames {
		p, out := r.hostRuns[host], outs[host]
		if out != nil && out.State == api.OpClosed {
			p.status = out
			r.previousResult = out.Result
			continue
		}
		if e, ok := errors.AsType[*api.Error](errs[host]); ok && e.Code != api.NoOperation {
			return nil, e
		}
		if out != nil && out.State == api.OpAborting {
			return nil, fmt.Errorf("operation %s is being aborted at host %s", id, host)
		}
		open++
		var got api.OpenOut
		err := p.agent.Call(ctx, api.OpOpen, &api.OpenIn{Operation: op, LeaseHolder: opt.LeaseHolder, TTL: opt.TTL}, &got)
		if errors.As(err, new(*UnreachableError)) {
			continue // its follower tries again
		}
		if err != nil {
			return nil, err
		}
		p.token = got.Token
	}
	if open == 0 {
		return nil, fmt.Errorf("operation %s has ended everywhere: %s; see `martendrum report %s`", id, r.previousResult, id)
	}
	for host, out := range outs {
		if p := r.hostRuns[host]; p != nil {
			r.takeStatus(p, out)
		}
	}
	if r.previousResult != "" {
		r.machine.Abort("it had ended: " + r.previousResult)
	}
	if op.Staged != nil {
		if err := r.setUpStages(latestNote(outs)); err != nil {
			return nil, err
		}
		if opt.Release {
			if err := r.staged.release(); err != nil {
				return nil, fmt.Errorf("operation %s can't go on: %w", id, err)
			}
		}
	}
	return r.run(ctx)
}

func notFound(id string, errs map[string]error) error {
	for _, err := range errs {
		if errors.As(err, new(*UnreachableError)) {
			return fmt.Errorf("operation %s: not known at any host that answered: %w", id, err)
		}
	}
	return api.Errorf(api.NoOperation, "operation %s is known at no host", id)
}

// Abort stops an operation at every host that has it. Steps under way come to
// their end; nothing new is begun.
func (f *Fleet) Abort(ctx context.Context, id string) (map[string]error, error) {
	op, outs, errs := f.Find(ctx, id)
	if len(outs) == 0 {
		return nil, notFound(id, errs)
	}
	failed := make(map[string]error)
	for _, host := range targetHosts(&op) {
		a := f.Agent(host)
		err := errs[host]
		if a != nil && outs[host] != nil {
			err = a.Call(ctx, api.OpAbort, &api.AbortIn{Op: id}, nil)
		}
		if e, ok := errors.AsType[*api.Error](err); ok && e.Code == api.NoOperation {
			err = nil
		}
		if err != nil {
			failed[host] = err
		}
	}
	return failed, nil
}

// Report tells what the agents' records say of an operation.
func (f *Fleet) Report(ctx context.Context, id string) (*Report, error) {
	op, outs, errs := f.Find(ctx, id)
	if len(outs) == 0 {
		return nil, notFound(id, errs)
	}
	r, err := f.newRunner(op, Options{})
	if err != nil {
		return nil, err
	}
	result, holder := "", ""
	for host, out := range outs {
		if p := r.hostRuns[host]; p != nil {
			r.takeStatus(p, out)
			if out.State != api.OpClosed {
				result = out.State
				if out.LeaseHolder != "" {
					holder = out.LeaseHolder
				}
			} else if result == "" {
				result = out.Result
			}
		}
	}
	for _, host := range r.hostNames {
		if e := errs[host]; e != nil {
			r.hostRuns[host].silentSince = time.Now()
			r.machine.Silent(host, e.Error())
		}
	}
	rep := r.report()
	rep.Result, rep.LeaseHolder, rep.Why = result, holder, ""
	rep.Stages = latestNote(outs)
	return rep, nil
}

func targetHosts(op *api.Operation) (out []string) {
	seen := make(map[string]bool)
	for _, t := range op.Targets {
		if !seen[t.Host] {
			seen[t.Host] = true
			out = append(out, t.Host)
		}
	}
	sort.Strings(out)
	return out
}
