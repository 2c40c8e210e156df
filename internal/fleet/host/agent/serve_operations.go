package agent

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"time"

	"martendrum/internal/fleet/api"
	"martendrum/internal/fleet/lease"
	"martendrum/internal/fleet/store"
)

const (
	maxStatusWait  = 10 * time.Second // for a change, in a call of op.status
	maxStepWait    = time.Hour        // in a step: for readiness, and again for the soak
	maxOperationID = 64               // bytes
	maxLeaseHolder = 200              // bytes
	maxTargets     = 10000            // of an operation
	maxLogs        = 256 << 10        // bytes of a log or a configuration in one response
	maxConnections = 128              // besides those of a relay's subscribers and other relays
)

// operationActions are the valid actions of an operation.
var operationActions = []string{
	api.ActStart, api.ActStop, api.ActDrain, api.ActUndrain, api.ActRestart, api.ActReload,
	api.ActUpgrade, api.ActRollback, api.ActSettings,
}

// opOpen opens an operation on its targets here and acquires their leases. A repeated call for the
// same operation acquires the leases again; the operation stays as it was first opened.
func (a *Agent) opOpen(_ context.Context, c *caller, in *api.OpenIn) (any, error) {
	operation := &in.Operation
	if err := a.checkOpen(in); err != nil {
		return nil, err
	}
	a.mu.Lock()
	_, err := a.findOpen(in) // an operation that has ended here is rejected even if its release has been dropped
	a.mu.Unlock()
	if err != nil {
		return nil, err
	}
	if operation.Action == api.ActUpgrade || operation.Action == api.ActSettings {
		if err := a.releases.Verify(operation.Release); err != nil {
			return nil, api.Errorf(api.NoRelease, "agent %s: %v", a.config.Name, err)
		}
	}
	if operation.Staged != nil {
		if err := a.checkCompatibility(operation); err != nil {
			return nil, err
		}
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	if progress, _ := a.returnProgress(); progress != "" {
		err := &api.ReturningError{Host: a.config.Name, How: progress}
		return nil, api.Errorf(api.LeaseHeld, "%v: %s", err, err.Advice())
	}
	existing, err := a.findOpen(in)
	if err != nil {
		return nil, err
	}
	if existing != nil {
		operation = &existing.Operation // as stored; the operation in this call is ignored
	}
	now := time.Now()
	leases, err := a.acquireLeases(operation, in, now)
	if err != nil {
		return nil, err
	}
	next := store.Operation{Operation: *operation, State: api.OpOpened}
	token := leases[0].Token
	if err := a.commit(&store.Change{
		Operations: []store.Operation{next}, Leases: leases,
		Audit: []api.AuditEntry{{At: now, Who: c.who, What: "op.open " + operation.Action, Target: operation.ID, Result: fmt.Sprintf("token %d for %s", token, in.LeaseHolder)}},
	}); err != nil {
		return nil, err
	}
	if existing == nil {
		a.operations[operation.ID] = &next
	}
	a.leases.Put(leases)
	return &api.OpenOut{Token: token, Expires: leases[0].Expires}, nil
}

// checkOpen checks the parameters of opOpen.
func (a *Agent) checkOpen(in *api.OpenIn) error {
	operation := &in.Operation
	switch {
	case operation.ID == "" || len(operation.ID) > maxOperationID || in.LeaseHolder == "" || len(in.LeaseHolder) > maxLeaseHolder:
		return api.Errorf(api.InvalidParams, "the operation's ID or the lease holder's name is empty or too long")
	case !slices.Contains(operationActions, operation.Action):
		return api.Errorf(api.InvalidParams, "unknown action %q", operation.Action)
	case len(operation.Targets) > maxTargets:
		return api.Errorf(api.InvalidParams, "%d targets; want %d at most", len(operation.Targets), maxTargets)
	case operation.ReadyTimeout <= 0 || operation.Soak < 0 || operation.ReadyTimeout > maxStepWait || operation.Soak > maxStepWait:
		return api.Errorf(api.InvalidParams, "ready %v, soak %v; want ready above 0, soak 0 or more, and both an hour at most", operation.ReadyTimeout, operation.Soak)
	}
	if err := operation.Policy.Check(len(operation.Targets)); err != nil {
		return api.Errorf(api.InvalidParams, "%v", err)
	}
	if err := a.checkStaged(operation); err != nil {
		return err
	}
	if len(operation.Places) != 0 && len(operation.Places) != len(operation.Targets) {
		return api.Errorf(api.InvalidParams, "%d places for %d targets; want one place for each target, or none", len(operation.Places), len(operation.Targets))
	}
	return nil
}

// checkStaged checks the plan of a staged change, and that its canary analysis expects samples at
// this agent's interval.
func (a *Agent) checkStaged(operation *api.Operation) error {
	staged := operation.Staged
	if staged == nil {
		return nil
	}
	if err := errors.Join(staged.Plan.Check(len(operation.Targets)), staged.Judge.Check()); err != nil {
		return api.Errorf(api.InvalidParams, "%v", err)
	}
	if slot := time.Duration(a.config.Metrics.Slot); staged.Judge.Slot != slot {
		return api.Errorf(api.InvalidParams, "agent %s collects metrics every %v, but operation %s needs them every %v: set the same figures.slot at all hosts", a.config.Name, slot, operation.ID, staged.Judge.Slot)
	}
	return nil
}

// acquireLeases returns new leases of an operation's targets here; the caller stores them. An open
// operation blocks other operations on its targets even when its leases have expired. The caller
// holds a.mu.
func (a *Agent) acquireLeases(operation *api.Operation, in *api.OpenIn, now time.Time) ([]lease.Lease, error) {
	names, err := a.localTargets(operation)
	if err != nil {
		return nil, err
	}
	blocked := func(name string) string {
		for _, other := range a.operations {
			if other.ID != operation.ID && other.State != api.OpClosed && a.isTarget(&other.Operation, name) {
				return fmt.Sprintf("operation %s (%s by %s) is %s on it: run `martendrum resume %s` or `martendrum abort %s` first", other.ID, other.Action, other.Operator, other.State, other.ID, other.ID)
			}
		}
		return ""
	}
	leases, err := a.leases.Acquire(now, operation.ID, in.LeaseHolder, names, in.TTL, blocked)
	if lost, ok := errors.AsType[*lease.LostError](err); ok {
		return nil, api.Errorf(api.LeaseHeld, "agent %s: %v: %s", a.config.Name, lost, lost.Advice())
	}
	if held, ok := errors.AsType[*lease.HeldError](err); ok {
		return nil, api.Errorf(api.LeaseHeld, "agent %s: %v", a.config.Name, held)
	}
	if err != nil {
		return nil, api.Errorf(api.InvalidParams, "%v", err)
	}
	return leases, nil
}

// opClose closes an operation for the holder of its leases. An operation that is already closed is
// returned unchanged.
func (a *Agent) opClose(_ context.Context, c *caller, in *api.CloseIn) (any, error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	operation, err := a.findOperation(in.Op)
	if err != nil {
		return nil, err
	}
	if operation.State == api.OpClosed {
		return a.operationStatus(operation), nil
	}
	names, err := a.localTargets(&operation.Operation)
	if err != nil {
		return nil, err
	}
	for _, name := range names {
		if err := a.fencedError(a.leases.Check(time.Now(), operation.ID, in.Token, name)); err != nil {
			return nil, err
		}
	}
	if a.hasRunningStep(operation.ID) {
		return nil, api.Errorf(api.LeaseHeld, "a step of operation %s is still running at agent %s", operation.ID, a.config.Name)
	}
	if err := a.closeOperation(operation, in.Result, c.who); err != nil {
		return nil, err
	}
	return a.operationStatus(operation), nil
}

// opAbort makes an operation begin no further steps. It needs no lease, so that every operator can
// stop an operation.
func (a *Agent) opAbort(_ context.Context, c *caller, in *api.AbortIn) (any, error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	operation, err := a.findOperation(in.Op)
	if err != nil {
		return nil, err
	}
	if operation.State == api.OpOpened {
		next := *operation
		next.State = api.OpAborting
		if err := a.commit(&store.Change{Operations: []store.Operation{next},
			Audit: []api.AuditEntry{{At: time.Now(), Who: c.who, What: "op.abort", Target: operation.ID, Result: "ok"}}}); err != nil {
			return nil, err
		}
		*operation = next
	}
	a.endAborted()
	return a.operationStatus(operation), nil
}

// opList returns the status of all operations, without targets and instances.
func (a *Agent) opList(_ context.Context, _ *caller, _ *api.Empty) (any, error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	out := &api.OpsOut{}
	for _, operation := range a.operations {
		status := a.operationStatus(operation)
		status.Instances = nil
		status.Operation.Targets = nil
		out.Ops = append(out.Ops, *status)
	}
	return out, nil
}

// opStatus returns the status of an operation. If in.Wait is not 0, it first waits up to that time
// until the agent's change number exceeds in.After. If in.Token is not 0, it renews the caller's
// leases.
func (a *Agent) opStatus(ctx context.Context, _ *caller, in *api.StatusIn) (any, error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	operation, err := a.findOperation(in.Op)
	if err != nil {
		return nil, err
	}
	if in.Token != 0 && operation.State != api.OpClosed {
		if err := a.renew(operation, in); err != nil {
			return nil, err
		}
	}
	timer := time.NewTimer(min(in.Wait, maxStatusWait))
	defer timer.Stop()
	for in.Wait > 0 && a.changeNumber <= in.After {
		if !a.awaitChange(ctx, timer.C) {
			break
		}
	}
	return a.operationStatus(operation), nil
}

// awaitChange waits for the next change. It reports whether there was one before the timeout, the
// end of ctx or the end of the agent. The caller holds a.mu, which is released during the wait.
func (a *Agent) awaitChange(ctx context.Context, timeout <-chan time.Time) bool {
	changed := a.changed
	a.mu.Unlock()
	defer a.mu.Lock()
	select {
	case <-changed:
		return true
	case <-timeout:
	case <-ctx.Done():
	case <-a.ctx.Done():
	}
	return false
}

// renew checks the caller's leases and extends them. To save writes of the record, it extends them
// only once a third of their time has passed. The caller holds a.mu.
func (a *Agent) renew(operation *store.Operation, in *api.StatusIn) error {
	names, err := a.localTargets(&operation.Operation)
	if err != nil {
		return err
	}
	now := time.Now()
	leases, err := a.leases.Renew(now, operation.ID, in.Token, names, in.TTL)
	if _, ok := errors.AsType[*lease.FencedError](err); ok {
		return a.fencedError(err)
	}
	if err != nil {
		return api.Errorf(api.InvalidParams, "%v", err)
	}
	if a.leases.ByInstance[names[0]].Expires.Sub(now) > in.TTL*2/3 {
		return nil
	}
	if err := a.commit(&store.Change{Leases: leases}); err != nil {
		return err
	}
	a.leases.Put(leases)
	return nil
}

// opNote records the progress of a staged change. A note is ignored if its number is not higher
// than that of the recorded one.
func (a *Agent) opNote(_ context.Context, c *caller, in *api.NoteIn) (any, error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	operation, err := a.findOperation(in.Op)
	if err != nil {
		return nil, err
	}
	names, err := a.localTargets(&operation.Operation)
	if err != nil {
		return nil, err
	}
	if err := a.fencedError(a.leases.Check(time.Now(), operation.ID, in.Token, names[0])); err != nil {
		return nil, err
	}
	switch {
	case operation.State != api.OpOpened:
		return nil, api.Errorf(api.Closed, "operation %s is %s at agent %s", operation.ID, operation.State, a.config.Name)
	case len(in.Note.Log) > api.MaxVerdicts:
		return nil, api.Errorf(api.InvalidParams, "%d verdicts in a note; want %d at most", len(in.Note.Log), api.MaxVerdicts)
	case operation.Note != nil && operation.Note.Number >= in.Note.Number:
		return a.operationStatus(operation), nil
	}
	next := *operation
	next.Note = &in.Note
	if err := a.commit(&store.Change{Operations: []store.Operation{next}}); err != nil {
		return nil, err
	}
	*operation = next
	return a.operationStatus(operation), nil
}
