package agent

import (
	"log/slog"
	"maps"
	"slices"
	"time"

	"martendrum/internal/fleet/api"
	"martendrum/internal/fleet/host/proc"
)

// housekeepingInterval is how often the agent's own housekeeping is done.
const housekeepingInterval = time.Second

// runHousekeeping writes what could not be written, ends operations that were aborted, and
// keeps the record, releases and logs within their bounds.
func (a *Agent) runHousekeeping() {
	t := time.NewTicker(housekeepingInterval)
	defer t.Stop()
	for n := 0; ; n++ {
		select {
		case <-a.ctx.Done():
			return
		case <-t.C:
		}
		a.mu.Lock()
		a.persistDirty()
		a.endAborted()
		a.rollBackUnattended(time.Now())
		a.settlePowerReturn(time.Since(a.started))
		var used []string
		for _, i := range a.instances {
			used = append(used, i.stored.Release, i.stored.Previous, i.stored.Running, i.storedPrevious.Running)
		}
		for _, o := range a.operations {
			if o.State != api.OpClosed {
				used = append(used, o.Release)
			}
		}
		maps.DeleteFunc(a.canHandover, func(release string, _ bool) bool { return !slices.Contains(used, release) })
		a.mu.Unlock()
		if n%30 == 29 {
			if err := a.releases.Prune(used, a.config.Limits.Releases); err != nil {
				slog.Warn("old releases stay", "err", err)
			}
		}
		if n%5 == 4 {
			for _, name := range a.instanceNames {
				if err := proc.Rotate(a.logPath(name), int64(a.config.Limits.Log)); err != nil {
					slog.Warn("log not rotated", "instance", name, "err", err)
				}
			}
		}
	}
}
