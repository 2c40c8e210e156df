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

// rollBackUnattended takes back, of open operations that nobody has held for as long as they say,
// those of its own instances that were changed and fail by the coarse rule.
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
		if gone := now.Sub(a.lastLeased[o.ID]); gone > o.Staged.Alone {
			for _, name := range a.instanceNames {
				a.rollBackIfFailing(o, a.instances[name], gone, now)
			}
		}
	}
}

func (a *Agent) rollBackIfFailing(o *store.Operation, i *instance, gone time.Duration, now time.Time) {
	name := i.config.Name
	change := a.steps[stepKey{o.ID, name, api.Change}]
	if change == nil || i.step != nil && i.step.Kind == api.Rollback || a.steps[stepKey{o.ID, name, api.Rollback}] != nil {
		return
	}
	phase := i.supervisor.Phase()
	own := canary.LocalHealth{
		Crashing: phase == supervisor.Crashloop || phase == supervisor.Backoff,
		Unready:  phase == supervisor.Unready && now.Sub(i.supervisor.Since()) > maxUnreadyDuration,
		Limit:    uint64(i.config.memoryLimitMB) << 20,
	}
	if i.stored.Running == change.To {
		own.Windows = i.history.windows(time.Duration(a.config.Metrics.Slot))
	}
	why := canary.Coarse(own)
	if why == "" {
		return
	}
	if i.step != nil { // the change itself is still under way, and won't come about
		a.endStep(i, i.step, false, why)
	}
	reason := fmt.Sprintf("taken back by agent %s alone: nobody held the operation for %v, and %s", a.config.Name, gone.Round(time.Second), why)
	if _, err := a.beginStep(o, i, api.Rollback, 0, "agent "+a.config.Name+" alone", reason); err != nil {
		slog.Warn("an instance can't be taken back", "instance", name, "why", why, "err", err)
		return
	}
	slog.Warn("an instance is taken back", "instance", name, "operation", o.ID, "reason", reason)
}

// maxUnreadyDuration is how long an instance's health call may fail before it counts.
const maxUnreadyDuration = 5 * time.Second
