package client

import (
	"context"
	"errors"
	"fmt"

	"martendrum/internal/fleet/api"
)

// Resume continues an operation from what the agents have recorded. The targets of hosts that
// don't answer are unknown until they do.
func (f *Fleet) Resume(ctx context.Context, id string, options Options) (*Report, error) {
	operation, statuses, errs := f.find(ctx, id)
	if len(statuses) == 0 {
		return nil, notFound(id, errs)
	}
	if operation.Policy.OnFailure == api.OnFailurePause {
		forgiveFailures(&operation, statuses)
	}
	r, err := f.newRunner(operation, options)
	if err != nil {
		return nil, err
	}
	if err := r.reopen(ctx, statuses, errs); err != nil {
		return nil, err
	}
	for host, status := range statuses {
		if p := r.hostRuns[host]; p != nil {
			r.takeStatus(p, status)
		}
	}
	if r.previousResult != "" {
		r.machine.Abort("it had ended: " + r.previousResult)
	}
	if err := r.resumeStages(statuses); err != nil {
		return nil, err
	}
	return r.run(ctx)
}

// forgiveFailures allows the failures that a paused operation already has: whoever resumes it
// accepts them. Its canaries have served their purpose.
func forgiveFailures(operation *api.Operation, statuses map[string]*api.OpOut) {
	operation.Policy.Canaries = 0
	for _, status := range statuses {
		for _, s := range status.Steps {
			if s.Status == api.StepFailed {
				operation.Policy.MaxFailures++
			}
		}
	}
}

// reopen opens the operation at every host where it is not closed. Hosts that don't answer are
// left to follow.
func (r *runner) reopen(ctx context.Context, statuses map[string]*api.OpOut, errs map[string]error) error {
	id := r.operation.ID
	open := 0
	for _, host := range r.hostNames {
		p, status := r.hostRuns[host], statuses[host]
		if status != nil && status.State == api.OpClosed {
			p.status = status
			r.previousResult = status.Result
			continue
		}
		if e, ok := errors.AsType[*api.Error](errs[host]); ok && e.Code != api.NoOperation {
			return e
		}
		if status != nil && status.State == api.OpAborting {
			return &OperationAbortingError{Operation: id, Host: host}
		}
		open++
		if err := r.open(ctx, p); err != nil && !errors.As(err, new(*UnreachableError)) {
			return err
		}
	}
	if open == 0 {
		return &OperationEndedError{Operation: id, Result: r.previousResult}
	}
	return nil
}

// resumeStages continues a staged change from its latest note, and releases its hold if the
// operator asks for that.
func (r *runner) resumeStages(statuses map[string]*api.OpOut) error {
	if r.operation.Staged == nil {
		return nil
	}
	if err := r.setUpStages(latestNote(statuses)); err != nil {
		return err
	}
	if r.options.Release {
		if err := r.staged.release(); err != nil {
			return fmt.Errorf("operation %s can't go on: %w", r.operation.ID, err)
		}
	}
	return nil
}
