package client

import (
	"context"
	"errors"
	"fmt"
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
