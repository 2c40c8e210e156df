package agent

import (
	"slices"
	"time"

	"martendrum/internal/fleet/api"
	"martendrum/internal/fleet/host/compatibility"
	"martendrum/internal/fleet/release"
	"martendrum/internal/fleet/store"
)

// localTargets returns the names of an operation's targets at this agent. It is an error if the
// operation has none here or one of them is not configured. The caller holds a.mu.
func (a *Agent) localTargets(operation *api.Operation) (out []string, err error) {
	for _, t := range operation.Targets {
		if t.Host == a.config.Name {
			if _, err := a.findInstance(t.Instance); err != nil {
				return nil, err
			}
			out = append(out, t.Instance)
		}
	}
	if len(out) == 0 {
		return nil, api.Errorf(api.InvalidParams, "operation %s has no instance at agent %s", operation.ID, a.config.Name)
	}
	return out, nil
}

// isTarget reports whether an instance of this agent is a target of an operation.
func (a *Agent) isTarget(operation *api.Operation, instance string) bool {
	for _, t := range operation.Targets {
		if t.Host == a.config.Name && t.Instance == instance {
			return true
		}
	}
	return false
}

// checkCompatibility checks that an operation's release may run next to the current releases of
// its targets here. It runs both programs to query their versions, and does not hold a.mu
// meanwhile.
func (a *Agent) checkCompatibility(operation *api.Operation) error {
	a.mu.Lock()
	_, opened := a.operations[operation.ID]
	uses := make(map[string]compatibility.Use) // by current release
	for _, t := range operation.Targets {
		if inst := a.instances[t.Instance]; t.Host == a.config.Name && inst != nil && inst.stored.Release != operation.Release {
			use := uses[inst.stored.Release]
			use.HandOver = a.config.Sidecar.HandOver && operation.Action == api.ActUpgrade
			use.MayRollBack = operation.Policy.OnFailure == api.OnFailureRollback || operation.Policy.OnFailure == api.OnFailureRollbackStage
			use.Record = use.Record || inst.config.Record != ""
			uses[inst.stored.Release] = use
		}
	}
	a.mu.Unlock()
	if opened {
		return nil // checked when the operation was opened
	}
	for current, use := range uses {
		old := compatibility.Query(a.ctx, a.releases.Path(current, release.Sidecar))
		next := compatibility.Query(a.ctx, a.releases.Path(operation.Release, release.Sidecar))
		if err := compatibility.Check(old, next, use); err != nil {
			return api.Errorf(api.InvalidRelease, "agent %s: release %.12s may not run next to release %.12s: %v", a.config.Name, operation.Release, current, err)
		}
	}
	return nil
}

// findOperation returns the operation with an ID. The caller holds a.mu.
func (a *Agent) findOperation(id string) (*store.Operation, error) {
	if operation := a.operations[id]; operation != nil {
		return operation, nil
	}
	return nil, api.Errorf(api.NoOperation, "agent %s has no operation %q", a.config.Name, id)
}

// findOpen returns the operation of a call of opOpen, or nil if the call opens it here for the first time.
// It is an error if the operation has ended here, or may have ended and been dropped: its steps could run
// a second time. The caller holds a.mu.
func (a *Agent) findOpen(in *api.OpenIn) (*store.Operation, error) {
	id := in.Operation.ID
	existing := a.operations[id]
	switch {
	case existing == nil && !in.New && !in.Operation.Created.After(a.droppedUntil):
		err := &api.DroppedError{Operation: id, Host: a.config.Name}
		return nil, api.Errorf(api.Closed, "%v: %s", err, err.Advice())
	case existing != nil && existing.State != api.OpOpened:
		return nil, api.Errorf(api.Closed, "operation %s is %s at agent %s: %s", id, existing.State, a.config.Name, existing.Result)
	}
	return existing, nil
}

// fencedError returns the API error for the error of a lease check, nil for nil.
func (a *Agent) fencedError(err error) error {
	if err == nil {
		return nil
	}
	return api.Errorf(api.Fenced, "agent %s: %v", a.config.Name, err)
}

// isLeased reports whether any instance here has a live lease for an operation. The caller holds
// a.mu.
func (a *Agent) isLeased(op string, now time.Time) bool {
	for _, l := range a.leases.ByInstance {
		if l.Op == op && l.Live(now) {
			return true
		}
	}
	return false
}

// hasRunningStep reports whether a step of an operation is running here. The caller holds a.mu.
func (a *Agent) hasRunningStep(op string) bool {
	for _, inst := range a.instances {
		if inst.step != nil && inst.step.Op == op {
			return true
		}
	}
	return false
}

// closeOperation closes an operation, ends its leases here and drops the oldest closed operations
// beyond the configured limit. The caller holds a.mu.
func (a *Agent) closeOperation(operation *store.Operation, result, who string) error {
	now := time.Now()
	next := *operation
	next.State, next.Result, next.Closed = api.OpClosed, result, now
	change := &store.Change{Operations: []store.Operation{next}, Audit: []api.AuditEntry{{At: now, Who: who, What: "op.close", Target: operation.ID, Result: result}}}
	for _, l := range a.leases.ByInstance {
		if l.Op == operation.ID && l.Live(now) {
			l.Expires = now
			change.Leases = append(change.Leases, l)
		}
	}
	var closed []*store.Operation
	for _, other := range a.operations {
		if other.State == api.OpClosed {
			closed = append(closed, other)
		}
	}
	slices.SortFunc(closed, func(x, y *store.Operation) int { return x.Closed.Compare(y.Closed) })
	for len(closed) >= a.config.Limits.Operations {
		change.DropOperations = append(change.DropOperations, closed[0].ID)
		change.DroppedUntil = later(closed[0].Created, later(change.DroppedUntil, a.droppedUntil))
		closed = closed[1:]
	}
	if err := a.commit(change); err != nil {
		return err
	}
	*operation = next
	a.leases.Put(change.Leases)
	a.droppedUntil = later(a.droppedUntil, change.DroppedUntil)
	for _, id := range change.DropOperations {
		delete(a.operations, id)
		for key := range a.steps {
			if key.op == id {
				delete(a.steps, key)
			}
		}
	}
	return nil
}

// endAborted closes aborting operations that have no running step and no live lease. The caller
// holds a.mu.
func (a *Agent) endAborted() {
	for _, operation := range a.operations {
		if operation.State == api.OpAborting && !a.isLeased(operation.ID, time.Now()) && !a.hasRunningStep(operation.ID) {
			if err := a.closeOperation(operation, "aborted", "agent"); err != nil {
				return
			}
		}
	}
}

// operationStatus returns an operation's status for the API. The caller holds a.mu.
func (a *Agent) operationStatus(operation *store.Operation) *api.OpOut {
	now := time.Now()
	out := &api.OpOut{Operation: operation.Operation, State: operation.State, Result: operation.Result, Change: a.changeNumber, Now: now}
	for _, l := range a.leases.ByInstance {
		if l.Op == operation.ID && l.Live(now) {
			out.LeaseHolder, out.Expires = l.Holder, l.Expires
		}
	}
	for _, name := range a.instanceNames {
		if a.isTarget(&operation.Operation, name) {
			out.Instances = append(out.Instances, a.instanceStatus(a.instances[name]))
		}
	}
	for key, step := range a.steps {
		if key.op == operation.ID {
			out.Steps = append(out.Steps, *step)
		}
	}
	slices.SortFunc(out.Steps, func(x, y api.Step) int { return x.Started.Compare(y.Started) })
	return out
}
