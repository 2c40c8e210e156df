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

// settingsAttempt is distributed settings on their way into an instance: its file is written
// and the process has got SIGHUP.
type settingsAttempt struct {
	process    *Process
	configHash string    // of the configuration that it was given
	sent       time.Time // the SIGHUP
}

// maxCrashes is how many processes may end while they take the same settings before these
// count as refused: the first end may have had another cause.
const maxCrashes = 2

// unconfirmedDelay is when settings count as taken by a program that does not tell which
// configuration it runs.
const unconfirmedDelay = time.Second

// settingsWait is why an instance is not given settings now, "" if it may be. An operation
// that holds a live lease, or has a step under way, goes first: it decides what the instance
// runs, and what is distributed follows when it lets go. The lock is held.
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
	case i.attempt != nil:
		return "its answer is awaited"
	}
	return ""
}

// applySettings carries distributed settings into an instance, a step at each call, and
// returns when it should be called again; the zero time is at the next event.
func (a *Agent) applySettings(i *instance) time.Time {
	a.mu.Lock()
	if i.applier == nil {
		a.mu.Unlock()
		return time.Time{}
	}
	now := time.Now()
	a.reportPending(i)
	if i.attempt != nil {
		process, hash := i.attempt.process, i.stored.Running
		refused := a.settleAttempt(i, now)
		a.mu.Unlock()
		if refused {
			a.restoreSettings(i, process, hash)
		}
		return time.Time{}
	}
	due, pending := i.applier.Due()
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
	settings, process, hash := i.applier.Begin(), i.process, i.stored.Running
	a.mu.Unlock()
	sum, err := a.configureWith(i, hash, settings, random())
	if err == nil {
		err = process.Signal(syscall.SIGHUP)
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	if err != nil {
		i.applier.Abandon()
	} else {
		i.attempt = &settingsAttempt{process: process, configHash: sum, sent: now}
	}
	return now.Add(activeInterval)
}

// reportPending has the relay told when an instance begins or ceases to wait for settings. That
// also changes without an update or an attempt: a start, an operation that lets it run again.
// The lock is held.
func (a *Agent) reportPending(i *instance) {
	pending := i.stored.Desired == api.Running && i.applier.Pending()
	if pending == i.pendingReported {
		return
	}
	i.pendingReported = pending
	a.settings.subscriber.Changed()
}

// settleAttempt looks how an attempt stands, and says whether the process, which lives, has
// refused it. The lock is held.
func (a *Agent) settleAttempt(i *instance, now time.Time) (refused bool) {
	waited := now.Sub(i.attempt.sent)
	switch {
	case i.step != nil:
		i.attempt = nil
		i.applier.Abandon()
	case i.process != i.attempt.process:
		a.crashedAttempt(i)
	case i.configHash == i.attempt.configHash, i.configHash == "" && waited > unconfirmedDelay:
		a.endAttempt(i, true, "")
	case waited > reloadTimeout:
		a.endAttempt(i, false, lastLogProblem(a.logPath(i.config.Name)))
		return true
	}
	return false
}

// crashedAttempt takes the end of a process that had been given settings. The next one is
// started with the last accepted ones. The lock is held.
func (a *Agent) crashedAttempt(i *instance) {
	i.attemptCrashes++
	if i.attemptCrashes < maxCrashes {
		i.attempt = nil
		i.applier.Abandon()
		return
	}
	a.endAttempt(i, false, "its process ended while it took them: "+i.stored.LastExit)
}

// endAttempt takes the instance's answer; the lock is held.
func (a *Agent) endAttempt(i *instance, accepted bool, reason string) {
	i.attempt, i.attemptCrashes = nil, 0
	i.applier.Done(accepted, reason)
	if a.commit(&store.Change{Settings: []distribution.Entry{i.applier.Entry()}}) != nil {
		i.dirty = true // written again with its row
	}
	a.settings.subscriber.Changed()
}

// restoreSettings puts the last accepted settings back into the file of an instance that has
// refused others, and has it read them: a process that was only late may have taken the
// others by now.
func (a *Agent) restoreSettings(i *instance, process *Process, hash string) {
	err := a.configure(i, hash, random())
	if err == nil {
		err = process.Signal(syscall.SIGHUP)
	}
	if err != nil {
		slog.Warn("an instance's file may hold settings that it refused", "instance", i.config.Name, "err", err)
	}
}

// programStarted lets settings that an earlier program refused be tried again by another
// one; until then the instance counts as having nothing. The agent's lock is held.
func (i *instance) programStarted(release string, now time.Time) {
	before := i.program
	i.program = release
	if i.applier == nil || before == "" || before == release || len(i.applier.Rejections()) == 0 {
		return
	}
	i.applier.Forgive(now)
	i.settledAt = distribution.Revision{}
}
