package agent

import (
	"math/rand/v2"
	"time"

	"martendrum/internal/fleet/api"
	"martendrum/internal/fleet/host/supervisor"
)

// maxIdleWait is how long an instance's loop waits when nothing is due.
const maxIdleWait = time.Hour

// instanceRound is the state of an instance at the end of a round of its loop.
type instanceRound struct {
	process       *Process  // nil: none runs
	supervisorDue time.Time // when the supervisor must be called again; zero: at the next event
	settingsDue   time.Time // when settings should be applied; zero: at the next event
	active        bool      // the instance starts, changes or waits for its wave
}

// superviseInstance brings one instance to its desired state and keeps it there until the
// agent ends. No other goroutine changes the instance's supervisor and processes.
func (a *Agent) superviseInstance(inst *instance) {
	timer := time.NewTimer(0)
	defer timer.Stop()
	var healthAt time.Time
	for first := true; ; first = false {
		actions, mustWait := a.dueActions(inst, first)
		a.carryOut(inst, actions)
		a.checkStep(inst)
		settingsDue := a.applySettings(inst)

		round := a.endRound(inst, mustWait)
		round.settingsDue = settingsDue
		if round.process != nil && !time.Now().Before(healthAt) {
			a.checkHealth(inst, round.process)
			healthAt = time.Now().Add(a.healthDelay(round.active))
			a.checkStep(inst)
			round.settingsDue = a.applySettings(inst)
		}
		timer.Reset(inst.waitAfter(round, healthAt))
		a.mu.Lock()
		previous := inst.previous
		a.mu.Unlock()
		select {
		case <-a.ctx.Done():
			return
		case <-inst.wake:
			healthAt = time.Time{}
		case <-timer.C:
		case <-round.process.done():
			a.carryOut(inst, a.processExited(inst, round.process))
			healthAt = time.Time{}
		case <-previous.done():
			a.carryOut(inst, a.previousExited(inst, previous))
		}
	}
}

// dueActions returns the supervisor's actions for now, and whether the instance has to wait for
// its wave after a power loss. first is set in the first round of the loop.
func (a *Agent) dueActions(inst *instance, first bool) (actions []supervisor.Action, mustWait bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	now := time.Now()
	if first && inst.exitedWhileAgentWasDown() {
		// This counts as a crash, like an exit that the agent sees.
		inst.supervisor.SetDesired(now, true, inst.stored.Generation)
		inst.supervisor.Adopt(now, inst.exitedGeneration)
		inst.supervisor.Exited(now, inst.stored.LastExit)
	}
	inst.supervisor.SetSideBySide(a.sideBySide(inst))
	actions = inst.supervisor.SetDesired(now, inst.stored.Desired == api.Running, inst.stored.Generation)
	if inst.abandonReason != "" {
		actions = append(actions, inst.supervisor.Abandon(now, inst.abandonReason)...)
		inst.abandonReason = ""
	}
	mustWait = a.powerReturn.mustWait(now.Sub(a.started), inst)
	if now.Before(inst.launchRetryAt) || mustWait {
		actions = withoutLaunch(actions) // the supervisor returns the launch again in a later round
	}
	return actions, mustWait
}

// exitedWhileAgentWasDown reports whether the process of the desired generation exited while no
// agent was running.
func (inst *instance) exitedWhileAgentWasDown() bool {
	return inst.exitedGeneration != 0 && inst.process == nil &&
		inst.stored.Desired == api.Running && inst.exitedGeneration == inst.stored.Generation
}

// endRound returns the state that determines how long the loop waits.
func (a *Agent) endRound(inst *instance, mustWait bool) instanceRound {
	a.mu.Lock()
	defer a.mu.Unlock()
	return instanceRound{
		process:       inst.process,
		supervisorDue: inst.supervisor.Next(),
		active:        mustWait || inst.step != nil || inst.settings.attempt != nil || inst.supervisor.Phase() == supervisor.Starting,
	}
}

// healthDelay returns the time until the next health check. It varies by a tenth in both
// directions, so that the checks of many agents' instances are spread over time.
func (a *Agent) healthDelay(active bool) time.Duration {
	delay := time.Duration(a.config.Limits.HealthInterval)
	delay = delay*9/10 + rand.N(delay/5)
	if active {
		delay = min(delay, activeInterval)
	}
	return delay
}

// waitAfter returns how long the loop waits for an event after a round.
func (inst *instance) waitAfter(round instanceRound, healthAt time.Time) time.Duration {
	wait := maxIdleWait
	until := func(t time.Time) {
		if !t.IsZero() {
			wait = min(wait, max(time.Until(t), time.Millisecond))
		}
	}
	until(round.supervisorDue)
	until(round.settingsDue)
	if round.process != nil {
		until(healthAt)
	}
	if round.active {
		wait = min(wait, activeInterval)
	}
	if time.Now().Before(inst.launchRetryAt) {
		until(inst.launchRetryAt)
	}
	return wait
}
