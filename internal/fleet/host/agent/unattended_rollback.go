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
		if o := a.operations[id]; o == nil || o.State == api.OpClosed {
			delete(a.lastLeased, id)
		}
	}
	for _, o := range a.operations {
		if o.State != api.OpOpened || o.Staged == nil || o.Staged.Alone <= 0 {
			continue
		}
		if a.lastLeased[o.ID].IsZero() || a.isLeased(o.ID, now) {
			a.lastLeased[o.ID] = now
			continue
		}
		if unattended := now.Sub(a.lastLeased[o.ID]); unattended > o.Staged.Alone {
			for _, name := range a.instanceNames {
				a.rollBackIfFailing(o, a.instances[name], unattended, now)
			}
		}
	}
}

// rollBackIfFailing rolls an instance back if the operation changed it and it fails canary.Coarse,
// a check that needs no other instances to compare with. The caller holds a.mu.
func (a *Agent) rollBackIfFailing(o *store.Operation, i *instance, unattended time.Duration, now time.Time) {
	name := i.config.Name
	change := a.steps[stepKey{o.ID, name, api.Change}]
	if change == nil || i.step != nil && i.step.Kind == api.Rollback || a.steps[stepKey{o.ID, name, api.Rollback}] != nil {
		return
	}
	phase := i.supervisor.Phase()
	health := canary.LocalHealth{
		Crashing: phase == supervisor.Crashloop || phase == supervisor.Backoff,
		Unready:  phase == supervisor.Unready && now.Sub(i.supervisor.Since()) > maxUnreadyDuration,
		Limit:    uint64(i.config.memoryLimitMB) << 20,
	}
	if i.stored.Running == change.To {
		health.Windows = i.history.windows(time.Duration(a.config.Metrics.Slot))
	}
	harm := canary.Coarse(health)
	if harm == "" {
		return
	}
	if i.step != nil { // the step of the change still runs and won't succeed
		a.endStep(i, i.step, false, harm)
	}
	reason := fmt.Sprintf("rolled back by agent %s alone: the operation had no live lease for %v, and %s", a.config.Name, unattended.Round(time.Second), harm)
	if _, err := a.beginStep(o, i, api.Rollback, 0, "agent "+a.config.Name+" alone", reason); err != nil {
		slog.Warn("instance not rolled back", "instance", name, "why", harm, "err", err)
		return
	}
	slog.Warn("instance rolled back", "instance", name, "operation", o.ID, "reason", reason)
}
