package agent

import (
	"fmt"
	"log/slog"
	"time"

	"martendrum/internal/fleet/api"
	"martendrum/internal/fleet/canary"
	"martendrum/internal/fleet/host/supervisor"
	"martendrum/internal/fleet/store"
)

// maxUnreadyDuration is how long an instance may be unready before it counts as failing.
const maxUnreadyDuration = 5 * time.Second

// rollBackUnattended rolls back failing instances of unattended staged operations: those that have
// had no live lease here for longer than the operation allows. The caller holds a.mu.
func (a *Agent) rollBackUnattended(now time.Time) {
	for id := range a.lastLeased {
		if operation := a.operations[id]; operation == nil || operation.State == api.OpClosed {
			delete(a.lastLeased, id)
		}
	}
	for _, operation := range a.operations {
		if operation.State != api.OpOpened || operation.Staged == nil || operation.Staged.UnattendedRollbackDelay <= 0 {
			continue
		}
		if a.lastLeased[operation.ID].IsZero() || a.isLeased(operation.ID, now) {
			a.lastLeased[operation.ID] = now
			continue
		}
		if unattended := now.Sub(a.lastLeased[operation.ID]); unattended > operation.Staged.UnattendedRollbackDelay {
			for _, name := range a.instanceNames {
				a.rollBackIfFailing(operation, a.instances[name], unattended, now)
			}
		}
	}
}

// rollBackIfFailing rolls an instance back if the operation changed it and it fails canary.CheckLocalHealth,
// a check that needs no other instances to compare with. The caller holds a.mu.
func (a *Agent) rollBackIfFailing(operation *store.Operation, inst *instance, unattended time.Duration, now time.Time) {
	name := inst.config.Name
	change := a.steps[stepKey{operation.ID, name, api.Change}]
	if change == nil || inst.step != nil && inst.step.Kind == api.Rollback || a.steps[stepKey{operation.ID, name, api.Rollback}] != nil {
		return
	}
	phase := inst.supervisor.Phase()
	health := canary.LocalHealth{
		Crashing: phase == supervisor.CrashLoop || phase == supervisor.Backoff,
		Unready:  phase == supervisor.Unready && now.Sub(inst.supervisor.Since()) > maxUnreadyDuration,
		Limit:    uint64(inst.config.memoryLimitMB) << 20,
	}
	if inst.stored.Running == change.To {
		health.Windows = inst.history.windows(time.Duration(a.config.Metrics.Slot))
	}
	harm := canary.CheckLocalHealth(health)
	if harm == "" {
		return
	}
	if inst.step != nil { // the step of the change still runs and won't succeed
		a.endStep(inst, inst.step, false, harm)
	}
	reason := fmt.Sprintf("rolled back by agent %s without a command: the operation had no live lease for %v, and %s", a.config.Name, unattended.Round(time.Second), harm)
	if _, err := a.beginStep(operation, inst, api.Rollback, 0, "agent "+a.config.Name+" without a command", reason); err != nil {
		slog.Warn("instance not rolled back", "instance", name, "why", harm, "err", err)
		return
	}
	slog.Warn("instance rolled back", "instance", name, "operation", operation.ID, "reason", reason)
}
