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
	// Releases are pruned every pruneRounds rounds of housekeeping, and logs are rotated every
	// rotateRounds rounds.
	pruneRounds  = 30
	rotateRounds = 5
)

// runHousekeeping periodically retries failed writes, closes aborted operations, rolls back
// failing instances of unattended operations, ends the return from a power loss and keeps
// releases and logs within their limits, until the agent ends.
func (a *Agent) runHousekeeping() {
	ticker := time.NewTicker(housekeepingInterval)
	defer ticker.Stop()
	for round := 1; ; round++ {
		select {
		case <-a.ctx.Done():
			return
		case <-ticker.C:
		}
		used := a.maintainState()
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

// maintainState does the housekeeping that needs a.mu, and returns the releases in use, possibly
// with duplicates and "".
func (a *Agent) maintainState() (used []string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.persistDirty()
	a.endAborted()
	a.rollBackUnattended(time.Now())
	a.updatePowerReturn(time.Since(a.started))
	for _, inst := range a.instances {
		used = append(used, inst.stored.Release, inst.stored.Previous, inst.stored.Running, inst.storedPrevious.Running)
	}
	for _, operation := range a.operations {
		if operation.State != api.OpClosed {
			used = append(used, operation.Release)
		}
	}
	maps.DeleteFunc(a.canHandover, func(release string, _ bool) bool { return !slices.Contains(used, release) })
	return used
}

// rotateLogs keeps the instances' logs within their limit.
func (a *Agent) rotateLogs() {
	for _, name := range a.instanceNames {
		if err := proc.Rotate(a.logPath(name), int64(a.config.Limits.Log)); err != nil {
			slog.Warn("log not rotated", "instance", name, "err", err)
		}
	}
}
