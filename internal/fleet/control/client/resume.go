package client

import (
	"context"
	"errors"
	"fmt"

	"martendrum/internal/fleet/api"
)

// Resume continues an operation from what the agents have recorded, and returns its report when the
// run has ended. The state of targets whose hosts don't answer is unknown until they answer. An error
// means that no step was started, for example an *OperationEndedError or an *OperationAbortingError.
func (f *Fleet) Resume(ctx context.Context, id string, options Options) (*Report, error) {
	operation, statuses, errs := f.find(ctx, id)
	if len(statuses) == 0 {
		return nil, notFound(id, errs)
	}
	if operation.Policy.OnFailure == api.OnFailurePause {
		acceptFailures(&operation, statuses)
	}
	r, err := f.newRunner(operation, options)
	if err != nil {
		return nil, err
	}
	if err := r.reopen(ctx, statuses, errs); err != nil {
		return nil, err
	}
	for host, status := range statuses {
		if hr := r.hostRuns[host]; hr != nil {
			r.applyStatus(hr, status)
		}
	}
	r.abortIfEnded()
	if err := r.resumeStages(statuses); err != nil {
		return nil, err
	}
	return r.run(ctx)
}

// acceptFailures raises the limit on failures by those that a paused operation already has, because
// the operator who resumes the operation accepts them. It also sets Canaries to 0: the canaries have
// already run, and a failed one would stop the rollout again.
func acceptFailures(operation *api.Operation, statuses map[string]*api.OpOut) {
	operation.Policy.Canaries = 0
	for _, status := range statuses {
		for _, step := range status.Steps {
			if step.Status == api.StepFailed {
				operation.Policy.MaxFailures++
			}
		}
	}
}

// reopen opens the operation at every host where it has not ended. At a host that does not answer,
// follow opens it later. A host that does not know the operation opens it only if it can't have ended
// there. It returns an error if a host rejects the operation or is aborting it, or if the operation has
// ended at all hosts.
func (r *runner) reopen(ctx context.Context, statuses map[string]*api.OpOut, errs map[string]error) error {
	id := r.operation.ID
	open := 0
	for _, host := range r.hostNames {
		hr, status := r.hostRuns[host], statuses[host]
		if status != nil && status.State == api.OpClosed {
			hr.status = status
			r.previousResult = status.Result
			continue
		}
		if e, ok := errors.AsType[*api.Error](errs[host]); ok && e.Code != api.NoOperation {
			return e
		}
		if status != nil && status.State == api.OpAborting {
			return &OperationAbortingError{Operation: id, Host: host}
		}
		err := r.open(ctx, hr, false)
		if e, ok := errors.AsType[*api.Error](err); ok && e.Code == api.Closed && status == nil {
			hr.noRecord = e.Message
			continue
		}
		if err != nil && !errors.As(err, new(*UnreachableError)) {
			return err
		}
		open++
	}
	if open == 0 {
		return &OperationEndedError{Operation: id, Result: r.previousResult}
	}
	return nil
}

// abortIfEnded aborts the rollout if the operation has ended at a host: at the others it is only closed.
func (r *runner) abortIfEnded() {
	if r.previousResult != "" {
		r.machine.Abort("the operation has already ended at another host: " + r.previousResult)
	}
	for _, host := range r.hostNames {
		if reason := r.hostRuns[host].noRecord; reason != "" {
			r.machine.Abort(reason)
		}
	}
}

// resumeStages continues a staged change from its latest note, and with Options.Release releases it
// from its hold. It does nothing for an operation without stages.
func (r *runner) resumeStages(statuses map[string]*api.OpOut) error {
	if r.operation.Staged == nil {
		return nil
	}
	if err := r.setUpStages(latestNote(statuses)); err != nil {
		return err
	}
	if r.options.Release {
		if err := r.staged.release(); err != nil {
			return fmt.Errorf("operation %s can't continue with its next stage: %w", r.operation.ID, err)
		}
	}
	return nil
}
