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
	o, err := a.findOperation(in.Op)
	if err != nil {
		return nil, err
	}
	i, err := a.findInstance(in.Instance)
	if err != nil {
		return nil, err
	}
	switch {
	case !a.isTarget(&o.Operation, in.Instance):
		return nil, api.Errorf(api.InvalidParams, "%s is not a target of operation %s", in.Instance, o.ID)
	case in.Kind != api.Change && in.Kind != api.Rollback:
		return nil, api.Errorf(api.InvalidParams, "kind %q; want %q or %q", in.Kind, api.Change, api.Rollback)
	}
	if err := a.fencedError(a.leases.Check(time.Now(), o.ID, in.Token, in.Instance)); err != nil {
		return nil, err
	}
	return a.beginStep(o, i, in.Kind, in.Token, c.who, "")
}

// beginStep begins a step, unless it has begun before. The desired state of the instance and the
// step are written to the record in one change before anything else is done. cause is why the agent
// begins a step on its own, "" for a step that a caller requested. who is for the audit log. The
// caller holds a.mu.
func (a *Agent) beginStep(o *store.Operation, i *instance, kind string, token int64, who, cause string) (*api.Step, error) {
	name, now := i.config.Name, time.Now()
	if begun := a.steps[stepKey{o.ID, name, kind}]; begun != nil {
		return begun, nil
	}
	switch {
	case o.State != api.OpOpened:
		return nil, api.Errorf(api.Closed, "operation %s is %s at agent %s", o.ID, o.State, a.config.Name)
	case i.step != nil:
		return nil, api.Errorf(api.LeaseHeld, "a step of operation %s is still running on %s", i.step.Op, name)
	}
	s := &api.Step{Op: o.ID, Instance: name, Kind: kind, Action: o.Action, Status: api.StepRunning, Cause: cause,
		From: i.stored.Release, To: i.stored.Release, Before: i.stored.Previous, Ready: o.Ready, Soak: o.Soak, Started: now, Token: token}
	plan := a.planStep(i, o, s)
	s.Generation = plan.stored.Generation
	if plan.status != api.StepRunning {
		s.Status, s.Reason, s.Finished = plan.status, plan.reason, now
	}
	if err := a.commit(&store.Change{Instances: []store.Instance{plan.stored}, Steps: []api.Step{*s},
		Audit: []api.AuditEntry{{At: now, Who: who, What: o.Action + " " + kind, Target: name, Result: strings.TrimSuffix(s.Status+": "+cause, ": ")}}}); err != nil {
		return nil, err
	}
	i.stored = plan.stored
	a.steps[stepKey{o.ID, name, kind}] = s
	if s.Status == api.StepRunning {
		i.step = s
		i.reloadSentAt = time.Time{}
	}
	i.wakeUp()
	return s, nil
}
