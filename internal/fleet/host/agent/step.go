package agent

import (
	"context"
	"strings"
	"time"

	"martendrum/internal/fleet/api"
	"martendrum/internal/fleet/store"
)

// stepStart begins a step of an operation on one instance. A repeated call returns the same step,
// running or finished.
func (a *Agent) stepStart(_ context.Context, c *caller, in *api.StepIn) (any, error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	operation, err := a.findOperation(in.Op)
	if err != nil {
		return nil, err
	}
	inst, err := a.findInstance(in.Instance)
	if err != nil {
		return nil, err
	}
	switch {
	case !a.isTarget(&operation.Operation, in.Instance):
		return nil, api.Errorf(api.InvalidParams, "%s is not a target of operation %s", in.Instance, operation.ID)
	case in.Kind != api.Change && in.Kind != api.Rollback:
		return nil, api.Errorf(api.InvalidParams, "kind %q; want %q or %q", in.Kind, api.Change, api.Rollback)
	}
	if err := a.fencedError(a.leases.Check(time.Now(), operation.ID, in.Token, in.Instance)); err != nil {
		return nil, err
	}
	return a.beginStep(operation, inst, in.Kind, in.Token, c.who, "")
}

// beginStep begins a step, unless it has begun before. The desired state of the instance and the
// step are written to the record in one change before anything else is done. cause is why the agent
// begins a step on its own, "" for a step that a caller requested. who is for the audit log. The
// caller holds a.mu.
func (a *Agent) beginStep(operation *store.Operation, inst *instance, kind string, token int64, who, cause string) (*api.Step, error) {
	name, now := inst.config.Name, time.Now()
	if begun := a.steps[stepKey{operation.ID, name, kind}]; begun != nil {
		return begun, nil
	}
	switch {
	case operation.State != api.OpOpened:
		return nil, api.Errorf(api.Closed, "operation %s is %s at agent %s", operation.ID, operation.State, a.config.Name)
	case inst.step != nil:
		return nil, api.Errorf(api.LeaseHeld, "a step of operation %s is still running on %s", inst.step.Op, name)
	}
	step := &api.Step{Op: operation.ID, Instance: name, Kind: kind, Action: operation.Action, Status: api.StepRunning, Cause: cause,
		From: inst.stored.Release, To: inst.stored.Release, PreviousRelease: inst.stored.Previous, ReadyTimeout: operation.ReadyTimeout, Soak: operation.Soak, Started: now, Token: token}
	plan := a.planStep(inst, operation, step)
	step.Generation = plan.stored.Generation
	if plan.status != api.StepRunning {
		step.Status, step.Reason, step.Finished = plan.status, plan.reason, now
	}
	if err := a.commit(&store.Change{Instances: []store.Instance{plan.stored}, Steps: []api.Step{*step},
		Audit: []api.AuditEntry{{At: now, Who: who, What: operation.Action + " " + kind, Target: name, Result: strings.TrimSuffix(step.Status+": "+cause, ": ")}}}); err != nil {
		return nil, err
	}
	inst.stored = plan.stored
	a.steps[stepKey{operation.ID, name, kind}] = step
	if step.Status == api.StepRunning {
		inst.step = step
		inst.reloadSentAt = time.Time{}
	}
	inst.wakeUp()
	return step, nil
}
