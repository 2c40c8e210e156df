package client

import (
	"context"
	"errors"
	"fmt"
	"time"

	"martendrum/internal/fleet/api"
	"martendrum/internal/fleet/control/inventory"
)

// Start starts an operation: it acquires the leases at every host, all or none, and runs the
// operation to its end. An error means that nothing was changed; what fails later is in the
// report.
func (f *Fleet) Start(ctx context.Context, operation api.Operation, options Options) (*Report, error) {
	r, err := f.newRunner(operation, options)
	if err != nil {
		return nil, err
	}
	if operation.Staged != nil {
		if err := r.setUpStages(nil); err != nil {
			return nil, fmt.Errorf("nothing was changed: %w", err)
		}
	}
	if err := f.checkReturned(ctx); err != nil {
		return nil, fmt.Errorf("nothing was changed: %w", err)
	}
	// Every run acquires in the same order, so that one of two that compete gets the first host.
	for n, host := range r.hostNames {
		if err := r.open(ctx, r.hostRuns[host]); err != nil {
			r.releaseLeases(ctx, r.hostNames[:n])
			if errors.As(err, new(*UnreachableError)) {
				r.abortAt(ctx, host) // the operation may have been opened there
			}
			return nil, fmt.Errorf("nothing was changed: %w", err)
		}
	}
	return r.run(ctx)
}

// open opens the operation at a host before the run has started.
func (r *runner) open(ctx context.Context, p *hostRun) error {
	var out api.OpenOut
	in := &api.OpenIn{Operation: r.operation, LeaseHolder: r.options.LeaseHolder, TTL: r.options.TTL}
	if err := p.agent.Call(ctx, api.OpOpen, in, &out); err != nil {
		return err
	}
	p.token = out.Token
	return nil
}

// releaseLeases closes the operation at hosts that it was opened at, even if ctx has ended.
func (r *runner) releaseLeases(ctx context.Context, hosts []string) {
	for _, host := range hosts {
		p := r.hostRuns[host]
		callCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), r.fleet.Timeout)
		p.agent.Call(callCtx, api.OpClose, &api.CloseIn{Op: r.operation.ID, Token: p.token, Result: "not begun"}, nil)
		cancel()
	}
}

// abortAt aborts the operation at a host, even if ctx has ended.
func (r *runner) abortAt(ctx context.Context, host string) {
	callCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), r.fleet.Timeout)
	defer cancel()
	r.hostRuns[host].agent.Call(callCtx, api.OpAbort, &api.AbortIn{Op: r.operation.ID}, nil)
}

// returnCheckTimeout bounds the check for hosts that return from a power loss. A host that does
// not answer in that time is down, which is not a return.
const returnCheckTimeout = time.Second

// checkReturned returns an error if a host of the fleet is returning from a power loss, even one
// that the operation does not touch.
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
