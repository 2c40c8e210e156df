package agent

import (
	"fmt"
	"log/slog"
	"time"

	"martendrum/internal/fleet/api"
	"martendrum/internal/fleet/host/supervisor"
	"martendrum/internal/fleet/store"
	"martendrum/internal/recovery"
)

// lossDetector finds out at the agent's start whether the host lost its power.
type lossDetector struct {
	lost     []*instance // ran according to the record and have no process
	alive    int         // instances that have a process
	rebooted bool        // a lost process ran in an earlier boot
}

// observe takes an instance: ran says that a process of it ran according to the record, and
// sameBoot that it ran in the current boot.
func (l *lossDetector) observe(i *instance, ran, sameBoot bool) {
	switch {
	case i.process != nil:
		l.alive++
	case ran:
		l.lost = append(l.lost, i)
		l.rebooted = l.rebooted || !sameBoot
	}
}

// powerLost says whether the host lost its power, or all its sidecars at once, which is the same
// to the fleet: no process is left, and more happened than one crash. returning says that the
// previous agent had not finished the return from an earlier loss.
func (l *lossDetector) powerLost(returning bool) bool {
	return l.alive == 0 && (returning || len(l.lost) > 0 && (l.rebooted || len(l.lost) > 1))
}

// stableDelay is how long an agent must run until losses before it no longer count as recent.
// Recent losses slow the waves.
const stableDelay = 10 * time.Minute

// powerReturn is the return of a host's instances after a power loss. The agent's lock guards
// it.
type powerReturn struct {
	pace  *recovery.Pace // nil: all waves have started
	epoch int64          // of the loss
}

// powerLossMessage is logged once for each power loss. Operators and process tests look for this
// text.
const powerLossMessage = "power loss detected, restarting instances in waves"

// recoverFromPowerLoss checks for a power loss and prepares the return: all earlier leases are
// void, whatever the clocks say, so that operations pause; lost processes do not count as
// crashed; and the instances start in waves. begin is written to the record before any instance
// starts. An agent that is killed before that detects the same loss again; one that is killed
// later continues with the waves.
func (a *Agent) recoverFromPowerLoss(l *lossDetector, begin *store.Change, now time.Time) {
	n := a.readLosses()
	if !l.powerLost(n.Returning) {
		if n.Returning {
			a.startWaves(n)
		}
		return
	}
	n.Epoch++
	n.Recent++
	n.Returning = true
	a.writeLosses(n)
	begin.Leases = a.leases.RevokeAll()
	a.leases.Put(begin.Leases)
	for _, i := range l.lost {
		i.exitedGeneration = 0
		i.stored.LastExit = "lost with the host's power"
	}
	for k := range begin.Instances {
		if i := a.instances[begin.Instances[k].Name]; i != nil {
			begin.Instances[k] = i.stored
		}
	}
	paused := 0
	for _, o := range a.operations {
		if o.State == api.OpOpened {
			paused++
		}
	}
	begin.Audit = append(begin.Audit, api.AuditEntry{At: now, Who: "agent", What: "power loss", Target: a.config.Name,
		Result: fmt.Sprintf("epoch %d: %d instances lost, %d leases void, %d operations hold", n.Epoch, len(l.lost), len(begin.Leases), paused)})
	slog.Warn(powerLossMessage, "epoch", n.Epoch, "recent", n.Recent, "lost", len(l.lost), "operations_held", paused)
	a.startWaves(n)
}

// startWaves assigns the instances that should run to waves.
func (a *Agent) startWaves(n lossCounter) {
	var places []recovery.Place
	for _, name := range a.instanceNames {
		if i := a.instances[name]; i.stored.Desired == api.Running {
			places = append(places, recovery.Place{Name: name, Shop: i.config.Labels[a.config.Recovery.Shop], Zone: i.config.Labels[a.config.Recovery.Zone]})
		}
	}
	waves := recovery.Waves(places, a.config.Recovery.MaxWave)
	a.powerReturn = &powerReturn{epoch: n.Epoch, pace: recovery.NewPace(recovery.PaceConfig{
		MinInterval: time.Duration(a.config.Recovery.MinWave), MaxInterval: time.Duration(a.config.Recovery.WaveLongest), ConsecutiveLosses: n.Recent,
	}, waves, 0)}
}

// mustWait says whether an instance has to wait for its wave, and lets the pace know of an
// instance that no longer starts. Without a return (nil) no instance waits.
func (b *powerReturn) mustWait(now time.Duration, i *instance) bool {
	if b == nil || b.pace == nil {
		return false
	}
	switch i.supervisor.Phase() {
	case supervisor.Ready, supervisor.Unready, supervisor.Backoff, supervisor.Crashloop, supervisor.Draining:
		b.pace.Done(i.config.Name)
	case supervisor.Stopped:
		if i.stored.Desired != api.Running {
			b.pace.Done(i.config.Name)
		}
	}
	return !b.pace.MayStart(now, i.config.Name)
}

// returnProgress describes the progress of a return, "" if none is going on, and returns the
// epoch of the latest loss. The lock is held.
func (a *Agent) returnProgress() (how string, epoch int64) {
	if a.powerReturn == nil {
		return "", 0
	}
	if a.powerReturn.pace == nil || a.powerReturn.pace.Finished(time.Since(a.started)) {
		return "", a.powerReturn.epoch
	}
	ready, wanted := 0, 0
	for _, i := range a.instances {
		if i.stored.Desired == api.Running {
			wanted++
			if i.supervisor.Phase() == supervisor.Ready {
				ready++
			}
		}
	}
	return fmt.Sprintf("loss %d, %d of %d instances are ready", a.powerReturn.epoch, ready, wanted), a.powerReturn.epoch
}

// settlePowerReturn ends the return once all waves have started, and resets the count of recent
// losses after stableDelay. up is how long the agent has run. The lock is held.
func (a *Agent) settlePowerReturn(up time.Duration) {
	if a.powerReturn == nil {
		return
	}
	if a.powerReturn.pace != nil && a.powerReturn.pace.Finished(up) {
		a.powerReturn.pace = nil
		n := a.readLosses()
		n.Returning = false
		a.writeLosses(n)
		slog.Info("all waves started", "epoch", a.powerReturn.epoch, "after", up.Round(time.Millisecond))
	}
	if up >= stableDelay {
		n := a.readLosses()
		n.Recent = 0
		a.writeLosses(n)
		a.powerReturn = nil
	}
}
