package agent

import (
	"math/rand/v2"
	"time"

	"martendrum/internal/fleet/api"
	"martendrum/internal/fleet/host/supervisor"
)

// superviseInstance looks after one instance until the agent ends.
func (a *Agent) superviseInstance(i *instance) {
	timer := time.NewTimer(0)
	defer timer.Stop()
	var healthAt time.Time
	for first := true; ; first = false {
		a.mu.Lock()
		now := time.Now()
		if first && i.exitedGeneration != 0 && i.process == nil && i.stored.Desired == api.Running && i.exitedGeneration == i.stored.Generation {
			// It ended while nobody looked: a crash like another.
			i.supervisor.Want(now, true, i.stored.Generation)
			i.supervisor.Adopt(now, i.exitedGeneration)
			i.supervisor.Exited(now, i.stored.LastExit)
		}
		i.supervisor.SetSideBySide(a.sideBySide(i))
		kinds := i.supervisor.Want(now, i.stored.Desired == api.Running, i.stored.Generation)
		if i.abandonReason != "" {
			kinds = append(kinds, i.supervisor.GiveUp(now, i.abandonReason)...)
			i.abandonReason = ""
		}
		held := a.powerReturn.mustWait(now.Sub(a.started), i)
		if now.Before(i.launchRetryAt) || held {
			kinds = withoutLaunch(kinds) // asked for again then
		}
		a.mu.Unlock()
		a.carryOut(i, kinds)
		a.checkStep(i)
		settingsDue := a.applySettings(i)

		a.mu.Lock()
		p, next := i.process, i.supervisor.Next()
		near := held || i.step != nil || i.attempt != nil || i.supervisor.Phase() == supervisor.Starting
		a.mu.Unlock()
		if p != nil && !time.Now().Before(healthAt) {
			a.health(i, p)
			each := time.Duration(a.config.Limits.HealthInterval)
			each = each*9/10 + rand.N(each/5) // so that many agents' instances don't fall into step
			if near {
				each = min(each, activeInterval)
			}
			healthAt = time.Now().Add(each)
			a.checkStep(i)
			settingsDue = a.applySettings(i)
		}
		wait := time.Hour
		until := func(t time.Time) {
			if !t.IsZero() {
				wait = min(wait, max(time.Until(t), time.Millisecond))
			}
		}
		until(next)
		until(settingsDue)
		if p != nil {
			until(healthAt)
		}
		if near {
			wait = min(wait, activeInterval)
		}
		if time.Now().Before(i.launchRetryAt) {
			until(i.launchRetryAt)
		}
		timer.Reset(wait)
		a.mu.Lock()
		prev := i.previous
		a.mu.Unlock()
		var done, prevDone <-chan struct{}
		if p != nil {
			done = p.Done
		}
		if prev != nil {
			prevDone = prev.Done
		}
		select {
		case <-a.ctx.Done():
			return
		case <-i.wake:
			healthAt = time.Time{}
		case <-timer.C:
		case <-done:
			a.carryOut(i, a.processExited(i, p))
			healthAt = time.Time{}
		case <-prevDone:
			a.carryOut(i, a.previousExited(i, prev))
		}
	}
}
