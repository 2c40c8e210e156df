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

// maxAttemptCrashes is how many times the process must exit during an attempt until the settings
// count as rejected. The first exit may have had another cause.
const maxAttemptCrashes = 2

// unconfirmedDelay is the time from SIGHUP until a configuration counts as accepted by a program
// that does not report which configuration it runs.
const unconfirmedDelay = time.Second

// settingsWait returns why settings can't be applied to an instance now, "" if they can. An
// operation that holds a live lease or has a running step takes precedence: distributed settings
// are applied when it ends. The caller holds a.mu.
func (a *Agent) settingsWait(i *instance, now time.Time) string {
	switch lease := a.leases.ByInstance[i.config.Name]; {
	case i.step != nil:
		return "operation " + i.step.Op + " is changing the instance"
	case lease.Live(now):
		return "operation " + lease.Op + " holds its lease"
	case i.process == nil || i.supervisor.Phase() != supervisor.Ready:
		return fmt.Sprintf("the instance is %s", i.supervisor.Phase())
	case i.previous != nil:
		return "a new process is replacing the previous one"
	case now.Sub(i.stored.Launched) < minReloadAge:
		return "its process has just started"
	case i.settings.attempt != nil:
		return "the process has not yet confirmed the settings"
	}
	return ""
}

// applySettings advances the attempt to apply distributed settings, or starts one if settings are
// pending. It returns when it should be called again; the zero time means at the next event.
func (a *Agent) applySettings(i *instance) time.Time {
	a.mu.Lock()
	if i.settings.applier == nil {
		a.mu.Unlock()
		return time.Time{}
	}
	now := time.Now()
	a.reportPending(i)
	if i.settings.attempt != nil {
		process, releaseHash := i.settings.attempt.process, i.stored.Running
		rejected := a.settleAttempt(i, now)
		a.mu.Unlock()
		if rejected {
			a.restoreSettings(i, process, releaseHash)
		}
		return time.Time{}
	}
	due, pending := i.settings.applier.Due()
	if !pending {
		a.mu.Unlock()
		return time.Time{}
	}
	if now.Before(due) {
		a.mu.Unlock()
		return due
	}
	if a.settingsWait(i, now) != "" {
		a.mu.Unlock()
		return now.Add(activeInterval)
	}
	settings, process, releaseHash := i.settings.applier.Begin(), i.process, i.stored.Running
	a.mu.Unlock()
	configHash, err := a.configureWith(i, releaseHash, settings, randomID())
	if err == nil {
		err = process.Signal(syscall.SIGHUP)
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	if err != nil {
		i.settings.applier.Abandon()
	} else {
		i.settings.attempt = &settingsAttempt{process: process, configHash: configHash, sent: now}
	}
	return now.Add(activeInterval)
}

// reportPending notifies the relay when settings become pending for an instance and when they no
// longer are. That can happen without an update or an attempt, for example when an operation starts
// the instance. The caller holds a.mu.
func (a *Agent) reportPending(i *instance) {
	pending := i.stored.Desired == api.Running && i.settings.applier.Pending()
	if pending == i.settings.pendingReported {
		return
	}
	i.settings.pendingReported = pending
	a.settings.subscriber.Changed()
}

// settleAttempt ends the attempt if it has an outcome. It reports whether the settings were
// rejected by a process that still runs. The caller holds a.mu.
func (a *Agent) settleAttempt(i *instance, now time.Time) (rejected bool) {
	waited := now.Sub(i.settings.attempt.sent)
	switch {
	case i.step != nil:
		i.settings.attempt = nil
		i.settings.applier.Abandon()
	case i.process != i.settings.attempt.process:
		a.endCrashedAttempt(i)
	case i.reported.configHash == i.settings.attempt.configHash, i.reported.configHash == "" && waited > unconfirmedDelay:
		a.endAttempt(i, true, "")
	case waited > reloadTimeout:
		a.endAttempt(i, false, lastLogProblem(a.logPath(i.config.Name)))
		return true
	}
	return false
}

// endCrashedAttempt ends an attempt during which the process exited. The settings stay pending until
// maxAttemptCrashes is reached. The next process starts with the last accepted settings. The caller
// holds a.mu.
func (a *Agent) endCrashedAttempt(i *instance) {
	i.settings.attemptCrashes++
	if i.settings.attemptCrashes < maxAttemptCrashes {
		i.settings.attempt = nil
		i.settings.applier.Abandon()
		return
	}
	a.endAttempt(i, false, "its process ended while it applied them: "+i.stored.LastExit)
}

// endAttempt ends an attempt whose settings were accepted, or rejected with a reason. The caller
// holds a.mu.
func (a *Agent) endAttempt(i *instance, accepted bool, reason string) {
	i.settings.attempt, i.settings.attemptCrashes = nil, 0
	i.settings.applier.Done(accepted, reason)
	if a.commit(&store.Change{Settings: []distribution.Entry{i.settings.applier.Entry()}}) != nil {
		i.dirty = true // written again with the instance
	}
	a.settings.subscriber.Changed()
}

// restoreSettings writes a configuration with the last accepted settings for an instance that has
// rejected others, and makes the process reload it, because a process that was only slow to respond
// may have applied the rejected settings by now.
func (a *Agent) restoreSettings(i *instance, process *Process, releaseHash string) {
	err := a.configure(i, releaseHash, randomID())
	if err == nil {
		err = process.Signal(syscall.SIGHUP)
	}
	if err != nil {
		slog.Warn("configuration file may still contain rejected settings", "instance", i.config.Name, "err", err)
	}
}

// programStarted is called after the start of a process of a release. If the previous process was
// of another release, settings that it rejected are tried again. Until then the instance counts as
// having applied no settings. The caller holds the agent's mu.
func (i *instance) programStarted(release string, now time.Time) {
	before := i.settings.program
	i.settings.program = release
	if i.settings.applier == nil || before == "" || before == release || len(i.settings.applier.Rejections()) == 0 {
		return
	}
	i.settings.applier.Forgive(now)
	i.settings.settledAt = distribution.Revision{}
}
