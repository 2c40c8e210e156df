package agent

import (
	"fmt"
	"log/slog"
	"syscall"
	"time"

	"martendrum/internal/fleet/api"
	"martendrum/internal/fleet/distribution"
	"martendrum/internal/fleet/host/supervisor"
	"martendrum/internal/fleet/store"
)

// settingsAttempt is an attempt to apply distributed settings: the configuration has been written,
// the process has been sent SIGHUP, and it has not yet reported which configuration it runs.
type settingsAttempt struct {
	process    *Process
	configHash string    // of the configuration that was written
	sent       time.Time // when SIGHUP was sent
}

// settingsState is the state of an instance's distributed settings.
type settingsState struct {
	applier *distribution.Applier // nil: the host does not subscribe
	attempt *settingsAttempt      // the attempt in progress; nil: none
	// attemptCrashes counts the attempts during which the process exited, since settings were last
	// accepted or rejected.
	attemptCrashes int
	program        string // the release of the latest process; "": unknown
	// settledAt is the latest revision at which no settings were pending for the instance.
	settledAt distribution.Revision
	// pendingReported means that the relay was notified of pending settings.
	pendingReported bool
}

// maxAttemptCrashes limits the attempts during which the process exits: with the last of them, the
// settings count as rejected. The first exit may have had another cause.
const maxAttemptCrashes = 2

// unconfirmedDelay is the time from SIGHUP until a configuration counts as accepted by a program
// that does not report which configuration it runs.
const unconfirmedDelay = time.Second

// settingsWait returns why settings can't be applied to an instance now, "" if they can. An
// operation that holds a live lease or has a running step takes precedence: distributed settings
// are applied when it ends. The caller holds a.mu.
func (a *Agent) settingsWait(inst *instance, now time.Time) string {
	switch lease := a.leases.ByInstance[inst.config.Name]; {
	case inst.step != nil:
		return "operation " + inst.step.Op + " is changing the instance"
	case lease.Live(now):
		return "operation " + lease.Op + " holds its lease"
	case inst.process == nil || inst.supervisor.Phase() != supervisor.Ready:
		return fmt.Sprintf("the instance is %s", inst.supervisor.Phase())
	case inst.previous != nil:
		return "a new process is replacing the previous one"
	case now.Sub(inst.stored.Launched) < minReloadAge:
		return "its process has just started"
	case inst.settings.attempt != nil:
		return "the process has not yet confirmed the settings"
	}
	return ""
}

// applySettings advances the attempt to apply distributed settings, or starts one if settings are
// pending. It returns when it should be called again; the zero time means at the next event.
func (a *Agent) applySettings(inst *instance) time.Time {
	a.mu.Lock()
	if inst.settings.applier == nil {
		a.mu.Unlock()
		return time.Time{}
	}
	now := time.Now()
	a.reportPending(inst)
	if inst.settings.attempt != nil {
		process, releaseHash := inst.settings.attempt.process, inst.stored.Running
		rejected := a.settleAttempt(inst, now)
		a.mu.Unlock()
		if rejected {
			a.restoreSettings(inst, process, releaseHash)
		}
		return time.Time{}
	}
	due, pending := inst.settings.applier.Due()
	if !pending {
		a.mu.Unlock()
		return time.Time{}
	}
	if now.Before(due) {
		a.mu.Unlock()
		return due
	}
	if a.settingsWait(inst, now) != "" {
		a.mu.Unlock()
		return now.Add(activeInterval)
	}
	settings, process, releaseHash := inst.settings.applier.BeginAttempt(), inst.process, inst.stored.Running
	a.mu.Unlock()
	configHash, err := a.configureWith(inst, releaseHash, settings, randomID())
	if err == nil {
		err = process.Signal(syscall.SIGHUP)
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	if err != nil {
		inst.settings.applier.AbandonAttempt()
	} else {
		inst.settings.attempt = &settingsAttempt{process: process, configHash: configHash, sent: now}
	}
	return now.Add(activeInterval)
}

// reportPending notifies the relay when settings become pending for an instance and when they no
// longer are. That can happen without an update or an attempt, for example when an operation starts
// the instance. The caller holds a.mu.
func (a *Agent) reportPending(inst *instance) {
	pending := inst.stored.Desired == api.Running && inst.settings.applier.Pending()
	if pending == inst.settings.pendingReported {
		return
	}
	inst.settings.pendingReported = pending
	a.settings.subscriber.StateChanged()
}

// settleAttempt ends the attempt if it has an outcome, or abandons it if a step of an operation has
// begun. It reports whether the settings were rejected by a process that still runs. The caller holds
// a.mu.
func (a *Agent) settleAttempt(inst *instance, now time.Time) (rejected bool) {
	waited := now.Sub(inst.settings.attempt.sent)
	switch {
	case inst.step != nil:
		inst.settings.attempt = nil
		inst.settings.applier.AbandonAttempt()
	case inst.process != inst.settings.attempt.process:
		a.endCrashedAttempt(inst)
	case inst.reported.configHash == inst.settings.attempt.configHash, inst.reported.configHash == "" && waited > unconfirmedDelay:
		a.endAttempt(inst, true, "")
	case waited > reloadTimeout:
		a.endAttempt(inst, false, lastLogProblem(a.logPath(inst.config.Name)))
		return true
	}
	return false
}

// endCrashedAttempt ends an attempt during which the process exited. The settings stay pending until
// maxAttemptCrashes is reached. The next process starts with the last accepted settings. The caller
// holds a.mu.
func (a *Agent) endCrashedAttempt(inst *instance) {
	inst.settings.attemptCrashes++
	if inst.settings.attemptCrashes < maxAttemptCrashes {
		inst.settings.attempt = nil
		inst.settings.applier.AbandonAttempt()
		return
	}
	a.endAttempt(inst, false, "its process ended while it applied them: "+inst.stored.LastExit)
}

// endAttempt ends an attempt whose settings were accepted, or rejected with a reason. The caller
// holds a.mu.
func (a *Agent) endAttempt(inst *instance, accepted bool, reason string) {
	inst.settings.attempt, inst.settings.attemptCrashes = nil, 0
	inst.settings.applier.EndAttempt(accepted, reason)
	if a.commit(&store.Change{Settings: []distribution.Entry{inst.settings.applier.Entry()}}) != nil {
		inst.dirty = true // written again with the instance
	}
	a.settings.subscriber.StateChanged()
}

// restoreSettings writes a configuration with the last accepted settings for an instance that has
// rejected others, and makes the process reload it, because a process that was only slow to respond
// may have applied the rejected settings by now.
func (a *Agent) restoreSettings(inst *instance, process *Process, releaseHash string) {
	err := a.configure(inst, releaseHash, randomID())
	if err == nil {
		err = process.Signal(syscall.SIGHUP)
	}
	if err != nil {
		slog.Warn("configuration file may still contain rejected settings", "instance", inst.config.Name, "err", err)
	}
}

// programStarted is called after the start of a process of a release. If the previous process was
// of another release, settings that it rejected are tried again. Until then the instance counts as
// having applied no settings. The caller holds the agent's mu.
func (inst *instance) programStarted(release string, now time.Time) {
	before := inst.settings.program
	inst.settings.program = release
	if inst.settings.applier == nil || before == "" || before == release || len(inst.settings.applier.Rejections()) == 0 {
		return
	}
	inst.settings.applier.RetryRejected(now)
	inst.settings.settledAt = distribution.Revision{}
}
