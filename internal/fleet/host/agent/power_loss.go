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

// lossDetector is what an agent's start shows of the host: whether it lost its power.
type lossDetector struct {
	lost     []*instance // ran, and have no process
	alive    int
	rebooted bool
}

// observe takes one instance: whether a process of it ran by the record, and in this boot.
func (l *lossDetector) observe(i *instance, ran, booted bool) {
	switch {
	case i.process != nil:
		l.alive++
	case ran:
		l.lost = append(l.lost, i)
		l.rebooted = l.rebooted || !booted
	}
}

// powerLost says that the host lost its power, or all its sidecars at once, which is the same
// to the fleet: everything that ran is gone, and it is not just one that crashed.
// returning says that the agent before this one had not come to the end of a return.
func (l *lossDetector) powerLost(returning bool) bool {
	return l.alive == 0 && (returning || len(l.lost) > 0 && (l.rebooted || len(l.lost) > 1))
}

// stableDelay is how long an agent must run for a later loss not to count as one of a
// power that flaps.
const stableDelay = 10 * time.Minute

// powerReturn is the return of a host's instances. The agent's lock guards it.
type powerReturn struct {
	pace  *recovery.Pace
	epoch int64
}

// recoverFromPowerLoss looks whether there was a loss and readies the return: all leases from before
// are void, for good and whatever the clocks say, so that operations hold; what was lost
// did not crash; and the instances start in waves. begin is written before anything
// starts. An agent killed before that finds the same loss again, one killed later goes on
// with the waves.
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
	begin.Leases = a.leases.Void()
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
	held := 0
	for _, o := range a.operations {
		if o.State == api.OpOpened {
			held++
		}
	}
	begin.Audit = append(begin.Audit, api.AuditEntry{At: now, Who: "agent", What: "power loss", Target: a.config.Name,
		Result: fmt.Sprintf("epoch %d: %d instances lost, %d leases void, %d operations hold", n.Epoch, len(l.lost), len(begin.Leases), held)})
	slog.Warn("the host lost its power: instances come back in waves", "epoch", n.Epoch, "recent", n.Recent, "lost", len(l.lost), "operations_held", held)
	a.startWaves(n)
}

// startWaves has the instances that are wanted come in waves.
func (a *Agent) startWaves(n lossCounter) {
	var places []recovery.Place
	for _, name := range a.instanceNames {
		if i := a.instances[name]; i.stored.Desired == api.Running {
			places = append(places, recovery.Place{Name: name, Shop: i.config.Labels[a.config.Recovery.Shop], Zone: i.config.Labels[a.config.Recovery.Zone]})
		}
	}
	waves := recovery.Waves(places, a.config.Recovery.MaxWave)
	a.powerReturn = &powerReturn{epoch: n.Epoch, pace: recovery.NewPace(recovery.PaceConfig{
		MinInterval: time.Duration(a.config.Recovery.MinWave), Longest: time.Duration(a.config.Recovery.WaveLongest), Losses: n.Recent,
	}, waves, 0)}
}

// mustWait says whether an instance has to wait for its wave, and takes how it stands. A nil
// comeback holds nothing.
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
	return !b.pace.May(now, i.config.Name)
}

// returnProgress says how far the return is, "" if there is none; the lock is held.
func (a *Agent) returnProgress() (how string, epoch int64) {
	if a.powerReturn == nil {
		return "", 0
	}
	if a.powerReturn.pace == nil || a.powerReturn.pace.Over(time.Since(a.started)) {
		return "", a.powerReturn.epoch
	}
	up, of := 0, 0
	for _, i := range a.instances {
		if i.stored.Desired == api.Running {
			of++
			if i.supervisor.Phase() == supervisor.Ready {
				up++
			}
		}
	}
	return fmt.Sprintf("loss %d, %d of %d instances are ready", a.powerReturn.epoch, up, of), a.powerReturn.epoch
}

// settlePowerReturn ends the return once it is over, and later the memory of recent losses.
func (a *Agent) settlePowerReturn(up time.Duration) {
	if a.powerReturn == nil {
		return
	}
	if a.powerReturn.pace != nil && a.powerReturn.pace.Over(up) {
		a.powerReturn.pace = nil
		n := a.readLosses()
		n.Returning = false
		a.writeLosses(n)
		slog.Info("all waves have begun", "epoch", a.powerReturn.epoch, "after", up.Round(time.Millisecond))
	}
	if up >= stableDelay {
		n := a.readLosses()
		n.Recent = 0
		a.writeLosses(n)
		a.powerReturn = nil
	}
}
