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

// settingsAttempt is an attempt to apply distributed settings: the configuration is written, the
// process has been sent SIGHUP and its answer is pending.
type settingsAttempt struct {
	process    *Process
	configHash string    // of the configuration that was written
	sent       time.Time // when SIGHUP was sent
}

// settingsState is the state of an instance's distributed settings.
type settingsState struct {
	applier *distribution.Applier // nil: the host does not subscribe
	attempt *settingsAttempt      // nil: none
	// attemptCrashes counts the processes that exited during an attempt since the last answer.
	attemptCrashes int
	program        string // the release of the latest process; "": unknown
	// settledAt is the latest revision at which no settings were pending.
	settledAt distribution.Revision
	// pendingReported says that the relay was notified of pending settings.
	pendingReported bool
}

// maxCrashes is the number of processes that exit during an attempt with the same settings until
// these count as rejected: the first exit may have had another cause.
const maxCrashes = 2

// unconfirmedDelay is the time until settings count as accepted by a program that does not report
// which configuration it runs.
const unconfirmedDelay = time.Second

// settingsWait returns why settings can't be applied to an instance now, "" if they can. An
// operation that holds a live lease or has a running step takes precedence; distributed settings
// follow when it ends. The lock is held.
func (a *Agent) settingsWait(i *instance, now time.Time) string {
	switch lease := a.leases.ByInstance[i.config.Name]; {
	case i.step != nil:
		return "operation " + i.step.Op + " changes it"
	case lease.Live(now):
		return "operation " + lease.Op + " holds it"
	case i.process == nil || i.supervisor.Phase() != supervisor.Ready:
		return fmt.Sprintf("it is %s", i.supervisor.Phase())
	case i.previous != nil:
		return "a new process takes over"
	case now.Sub(i.stored.Launched) < minReloadAge:
		return "its process has just begun"
	case i.settings.attempt != nil:
		return "its answer is awaited"
	}
	return ""
}

// applySettings advances the attempt to apply distributed settings, or starts one. It returns when
// it should be called again; zero means at the next event.
func (a *Agent) applySettings(i *instance) time.Time {
	a.mu.Lock()
	if i.settings.applier == nil {
		a.mu.Unlock()
		return time.Time{}
	}
	now := time.Now()
	a.reportPending(i)
	if i.settings.attempt != nil {
		process, hash := i.settings.attempt.process, i.stored.Running
		rejected := a.settleAttempt(i, now)
		a.mu.Unlock()
		if rejected {
			a.restoreSettings(i, process, hash)
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
	settings, process, hash := i.settings.applier.Begin(), i.process, i.stored.Running
	a.mu.Unlock()
	configHash, err := a.configureWith(i, hash, settings, random())
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

// reportPending notifies the relay when settings become pending for an instance or cease to be.
// That can happen without an update or an attempt, for example when an operation starts the
// instance. The lock is held.
func (a *Agent) reportPending(i *instance) {
	pending := i.stored.Desired == api.Running && i.settings.applier.Pending()
	if pending == i.settings.pendingReported {
		return
	}
	i.settings.pendingReported = pending
	a.settings.subscriber.Changed()
}

// settleAttempt ends an attempt that has an outcome. It says whether a process that still runs
// has rejected the settings. The lock is held.
func (a *Agent) settleAttempt(i *instance, now time.Time) (rejected bool) {
	waited := now.Sub(i.settings.attempt.sent)
	switch {
	case i.step != nil:
		i.settings.attempt = nil
		i.settings.applier.Abandon()
	case i.process != i.settings.attempt.process:
		a.crashedAttempt(i)
	case i.reported.configHash == i.settings.attempt.configHash, i.reported.configHash == "" && waited > unconfirmedDelay:
		a.endAttempt(i, true, "")
	case waited > reloadTimeout:
		a.endAttempt(i, false, lastLogProblem(a.logPath(i.config.Name)))
		return true
	}
	return false
}

// crashedAttempt takes the exit of a process during an attempt. The next process starts with the
// last accepted settings. The lock is held.
func (a *Agent) crashedAttempt(i *instance) {
	i.settings.attemptCrashes++
	if i.settings.attemptCrashes < maxCrashes {
		i.settings.attempt = nil
		i.settings.applier.Abandon()
		return
	}
	a.endAttempt(i, false, "its process ended while it took them: "+i.stored.LastExit)
}

// endAttempt ends an attempt with the instance's answer. The lock is held.
func (a *Agent) endAttempt(i *instance, accepted bool, reason string) {
	i.settings.attempt, i.settings.attemptCrashes = nil, 0
	i.settings.applier.Done(accepted, reason)
	if a.commit(&store.Change{Settings: []distribution.Entry{i.settings.applier.Entry()}}) != nil {
		i.dirty = true // written again with the instance
	}
	a.settings.subscriber.Changed()
}

// restoreSettings writes the last accepted settings to an instance that has rejected others, and
// makes it reload: a process that was only late may have applied the others by now.
func (a *Agent) restoreSettings(i *instance, process *Process, hash string) {
	err := a.configure(i, hash, random())
	if err == nil {
		err = process.Signal(syscall.SIGHUP)
	}
	if err != nil {
		slog.Warn("configuration file may contain rejected settings", "instance", i.config.Name, "err", err)
	}
}

// programStarted lets settings that another program rejected be tried again, after the start of
// a process. Until then the instance counts as having no settings. The lock is held.
func (i *instance) programStarted(release string, now time.Time) {
	before := i.settings.program
	i.settings.program = release
	if i.settings.applier == nil || before == "" || before == release || len(i.settings.applier.Rejections()) == 0 {
		return
	}
	i.settings.applier.Forgive(now)
	i.settings.settledAt = distribution.Revision{}
}
