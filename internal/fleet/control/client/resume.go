package client

import (
	"context"
	"errors"
	"fmt"

	"martendrum/internal/fleet/api"
)

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
