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

// lossDetector determines at the agent's start whether the host lost power.
type lossDetector struct {
	lost     []*instance // instances that ran according to the record and have no process
	alive    int         // number of instances that have a process
	rebooted bool        // a lost instance's process ran in an earlier boot
}

// observe adds an instance, whose process has been looked for. ran means that it should run and
// had a process according to the record, and sameBoot that it was started in the current boot.
func (d *lossDetector) observe(inst *instance, ran, sameBoot bool) {
	switch {
	case inst.process != nil:
		d.alive++
	case ran:
		d.lost = append(d.lost, inst)
		d.rebooted = d.rebooted || !sameBoot
	}
}

// powerLost reports whether the host lost power, or lost all its sidecars at once, which has the
// same effect on the fleet. That is the case if no process is left and the cause can't be the crash
// of one sidecar: the host was rebooted, several sidecars are lost, or returning is set, which
// means that the waves after an earlier loss had not finished when a previous agent ended.
func (d *lossDetector) powerLost(returning bool) bool {
	return d.alive == 0 && (returning || len(d.lost) > 0 && (d.rebooted || len(d.lost) > 1))
}

// stableDelay is how long an agent must run until earlier power losses no longer count as recent.
// Recent losses increase the time between waves.
const stableDelay = 10 * time.Minute

// powerReturn is the return of a host after a power loss, in which its instances start in waves.
// The agent's mu guards it.
type powerReturn struct {
	pacer *recovery.StartPacer // nil: the last wave has finished
	epoch int64                // number of the loss, counted over the host's life
}

// powerLossMessage is logged once for each power loss. Operators and process tests look for this
// text.
const powerLossMessage = "power loss detected, restarting instances in waves"

// recoverFromPowerLoss checks for a power loss and prepares the return. All earlier leases are
// revoked even if they have not expired by the clock, which may be wrong, so that operations pause.
// Lost processes do not count as crashed, and the instances start in waves. The caller writes change
// to the record before any instance starts. If the agent is killed before that, the next one
// detects the same loss again; if it is killed later, the next one continues with the waves.
func (a *Agent) recoverFromPowerLoss(detector *lossDetector, change *store.Change, now time.Time) {
	losses := a.readLosses()
	if !detector.powerLost(losses.Returning) {
		if losses.Returning {
			a.startWaves(losses)
		}
		return
	}
	losses.Epoch++
	losses.Recent++
	losses.Returning = true
	a.writeLosses(losses)
	change.Leases = a.leases.RevokeAll()
	a.leases.Put(change.Leases)
	for _, inst := range detector.lost {
		inst.exitedGeneration = 0
		inst.stored.LastExit = "ended when the host lost power"
	}
	for n := range change.Instances {
		if inst := a.instances[change.Instances[n].Name]; inst != nil {
			change.Instances[n] = inst.stored
		}
	}
	paused := 0
	for _, operation := range a.operations {
		if operation.State == api.OpOpened {
			paused++
		}
	}
	change.Audit = append(change.Audit, api.AuditEntry{At: now, Who: "agent", What: "power loss", Target: a.config.Name,
		Result: fmt.Sprintf("epoch %d: %d instances lost, %d leases revoked, %d operations paused", losses.Epoch, len(detector.lost), len(change.Leases), paused)})
	slog.Warn(powerLossMessage, "epoch", losses.Epoch, "recent", losses.Recent, "lost", len(detector.lost), "operations_held", paused)
	a.startWaves(losses)
}

// startWaves begins the return: it assigns the instances that should run to waves.
func (a *Agent) startWaves(losses lossCounter) {
	var places []recovery.Placement
	for _, name := range a.instanceNames {
		if inst := a.instances[name]; inst.stored.Desired == api.Running {
			places = append(places, recovery.Placement{Name: name, Shop: inst.config.Labels[a.config.Recovery.Shop], Zone: inst.config.Labels[a.config.Recovery.Zone]})
		}
	}
	waves := recovery.Waves(places, a.config.Recovery.MaxWaveSize)
	a.powerReturn = &powerReturn{epoch: losses.Epoch, pacer: recovery.NewStartPacer(recovery.StartPacerConfig{
		MinInterval: time.Duration(a.config.Recovery.MinWaveInterval), MaxInterval: time.Duration(a.config.Recovery.MaxWaveInterval), ConsecutiveLosses: losses.Recent,
	}, waves, 0)}
}

// mustWait reports whether an instance has to wait for its wave at now, the time since the agent's
// start. It also marks the instance as done in r.pacer once the instance is no longer starting,
// because the next wave may depend on that. If r is nil, there is no return and no instance waits.
// The caller holds the agent's mu.
func (r *powerReturn) mustWait(now time.Duration, inst *instance) bool {
	if r == nil || r.pacer == nil {
		return false
	}
	switch inst.supervisor.Phase() {
	case supervisor.Ready, supervisor.Unready, supervisor.Backoff, supervisor.CrashLoop, supervisor.Draining:
		r.pacer.Done(inst.config.Name)
	case supervisor.Stopped:
		if inst.stored.Desired != api.Running {
			r.pacer.Done(inst.config.Name)
		}
	}
	return !r.pacer.MayStart(now, inst.config.Name)
}

// returnProgress returns a description of the progress of the return, "" if none is in progress,
// and the number of the latest power loss, 0 if that is no longer recent. The caller holds a.mu.
func (a *Agent) returnProgress() (how string, epoch int64) {
	if a.powerReturn == nil {
		return "", 0
	}
	if a.powerReturn.pacer == nil || a.powerReturn.pacer.Finished(time.Since(a.started)) {
		return "", a.powerReturn.epoch
	}
	ready, desired := 0, 0
	for _, inst := range a.instances {
		if inst.stored.Desired == api.Running {
			desired++
			if inst.supervisor.Phase() == supervisor.Ready {
				ready++
			}
		}
	}
	return fmt.Sprintf("loss %d: %d of %d instances are ready", a.powerReturn.epoch, ready, desired), a.powerReturn.epoch
}

// updatePowerReturn ends the return once the last wave has finished, and resets the count of recent
// losses after stableDelay. up is how long the agent has run. The caller holds a.mu.
func (a *Agent) updatePowerReturn(up time.Duration) {
	if a.powerReturn == nil {
		return
	}
	if a.powerReturn.pacer != nil && a.powerReturn.pacer.Finished(up) {
		a.powerReturn.pacer = nil
		losses := a.readLosses()
		losses.Returning = false
		a.writeLosses(losses)
		slog.Info("all waves after the power loss have started", "epoch", a.powerReturn.epoch, "after", up.Round(time.Millisecond))
	}
	if up >= stableDelay {
		losses := a.readLosses()
		losses.Recent = 0
		a.writeLosses(losses)
		a.powerReturn = nil
	}
}
