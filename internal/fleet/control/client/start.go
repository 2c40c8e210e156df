package client

import (
	"context"
	"errors"
	"fmt"
	"time"

	"martendrum/internal/fleet/api"
	"martendrum/internal/fleet/control/inventory"
)

// Start starts an operation: it acquires the leases at all hosts, or at none, and runs the operation to
// its end. An error means that no instance was changed; what fails later is in the report.
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
	if err := f.checkNoneReturning(ctx); err != nil {
		return nil, fmt.Errorf("nothing was changed: %w", err)
	}
	// Every run acquires leases in the same order of hosts, so that two competing runs do not both fail:
	// one of them gets the first host that both need, and the other stops there.
	for n, host := range r.hostNames {
		if err := r.open(ctx, r.hostRuns[host], true); err != nil {
			r.releaseLeases(ctx, r.hostNames[:n])
			if errors.As(err, new(*UnreachableError)) {
				r.abortAt(ctx, host) // the operation may have been opened there
			}
			return nil, fmt.Errorf("nothing was changed: %w", err)
		}
	}
	return r.run(ctx)
}

// open opens the operation at a host before the run has started, and stores the token of the leases
// that the host grants. isNew says that the operation has just been created.
func (r *runner) open(ctx context.Context, hr *hostRun, isNew bool) error {
	var out api.OpenOut
	in := &api.OpenIn{Operation: r.operation, LeaseHolder: r.options.LeaseHolder, TTL: r.options.TTL, New: isNew}
	if err := hr.agent.Call(ctx, api.OpOpen, in, &out); err != nil {
		return err
	}
	hr.token = out.Token
	return nil
}

// releaseLeases closes the operation at hosts where it was opened, even if ctx has ended. Errors are
// ignored: the leases expire.
func (r *runner) releaseLeases(ctx context.Context, hosts []string) {
	for _, host := range hosts {
		hr := r.hostRuns[host]
		callCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), r.fleet.Timeout)
		hr.agent.Call(callCtx, api.OpClose, &api.CloseIn{Op: r.operation.ID, Token: hr.token, Result: "not begun"}, nil)
		cancel()
	}
}

// abortAt aborts the operation at a host, even if ctx has ended. An error is ignored: the lease
// expires.
func (r *runner) abortAt(ctx context.Context, host string) {
	callCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), r.fleet.Timeout)
	defer cancel()
	r.hostRuns[host].agent.Call(callCtx, api.OpAbort, &api.AbortIn{Op: r.operation.ID}, nil)
}

// returnCheckTimeout bounds the check for hosts that are returning from a power loss. A host that does
// not answer in that time counts as down, not as returning.
const returnCheckTimeout = time.Second

// checkNoneReturning returns an error if a host of the fleet is returning from a power loss, even one
// that has no target of the operation.
func (f *Fleet) checkNoneReturning(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, returnCheckTimeout)
	defer cancel()
	for _, state := range f.List(ctx, &inventory.Select{}) {
		if state.Returning != "" {
			e := &api.ReturningError{Host: state.Host.Name, How: state.Returning}
			return fmt.Errorf("%w; %s", e, e.Advice())
		}
	}
	return nil
}
