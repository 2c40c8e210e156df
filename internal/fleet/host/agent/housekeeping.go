package agent

import (
	"log/slog"
	"maps"
	"slices"
	"time"

	"martendrum/internal/fleet/api"
	"martendrum/internal/fleet/host/proc"
)

const (
	housekeepingInterval = time.Second
	// Rounds of housekeeping between two prunings of releases and two rotations of logs.
	pruneRounds  = 30
	rotateRounds = 5
)

// runHousekeeping retries failed writes, closes aborted operations and keeps releases and logs
// within their limits, until the agent ends.
func (a *Agent) runHousekeeping() {
	ticker := time.NewTicker(housekeepingInterval)
	defer ticker.Stop()
	for round := 1; ; round++ {
		select {
		case <-a.ctx.Done():
			return
		case <-ticker.C:
		}
		used := a.tidyState()
		if round%pruneRounds == 0 {
			if err := a.releases.Prune(used, a.config.Limits.Releases); err != nil {
				slog.Warn("old releases not removed", "err", err)
			}
		}
		if round%rotateRounds == 0 {
			a.rotateLogs()
		}
	}
}

// tidyState does the housekeeping that needs the lock, and returns the releases in use.
func (a *Agent) tidyState() (used []string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.persistDirty()
	a.endAborted()
	a.rollBackUnattended(time.Now())
	a.settlePowerReturn(time.Since(a.started))
	for _, i := range a.instances {
		used = append(used, i.stored.Release, i.stored.Previous, i.stored.Running, i.storedPrevious.Running)
	}
	for _, o := range a.operations {
		if o.State != api.OpClosed {
			used = append(used, o.Release)
		}
	}
	maps.DeleteFunc(a.canHandover, func(release string, _ bool) bool { return !slices.Contains(used, release) })
	return used
}

func (a *Agent) rotateLogs() {
	for _, name := range a.instanceNames {
		if err := proc.Rotate(a.logPath(name), int64(a.config.Limits.Log)); err != nil {
			slog.Warn("log not rotated", "instance", name, "err", err)
		}
	}
}
