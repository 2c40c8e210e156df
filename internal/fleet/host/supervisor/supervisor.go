// Package supervisor decides when the process of one sidecar is launched, terminated or
// killed, when it is relaunched after a crash, and when it is no longer relaunched. It is a
// state machine without side effects: the caller reports events with their time, and each
// method returns the actions that the caller must carry out, in their order. The package
// starts no process and sends no signal.
//
// The caller sets a desired state: whether a process should run, and of which generation.
// A process of another generation is drained and replaced. A restarted caller therefore
// needs no stored state of a Supervisor: it calls Adopt for the process that it finds, and
// SetDesired.
//
// Where sidecars support the hand-over, a process of a new generation starts next to the
// serving one, which is terminated only once the new one is ready. If the new process
// exits before that, or is abandoned, the previous one continues to serve. The failed
// generation is not launched again; the caller must set a later one.
package supervisor

import (
	"fmt"
	"time"

	"martendrum/internal/shutdown"
)

// Phase is the state of an instance as an operator sees it.
type Phase string

// The phases.
const (
	Stopped   Phase = "stopped"
	Starting  Phase = "starting"  // the process runs and has not been ready yet
	Ready     Phase = "ready"     // health checks are answered with status 200
	Unready   Phase = "unready"   // the process was ready, and health checks fail
	Draining  Phase = "draining"  // the process was sent SIGTERM or SIGKILL
	Backoff   Phase = "backoff"   // the process crashed and is relaunched after a delay
	CrashLoop Phase = "crashloop" // the process crashed too often and is not relaunched
)

// Config holds the limits of an instance.
type Config struct {
	KillAfter   time.Duration // from SIGTERM to SIGKILL
	BackoffMin  time.Duration // delay of the relaunch after a first crash; doubled after each further one
	BackoffMax  time.Duration // upper limit of that delay
	MaxCrashes  int           // this many crashes within CrashWithin are a crash loop
	CrashWithin time.Duration
}

// MinKillDelay is the smallest valid KillAfter. The shutdown protocol promises a sidecar that
// SIGKILL follows SIGTERM no sooner than the longest deadline of a request plus a grace period.
const MinKillDelay = shutdown.MaxDeadline + shutdown.KillGrace

// Action is what the caller must do. The caller reports the result with the method for that event,
// such as Launched or Exited.
type Action string

// The actions.
const (
	Launch    Action = "launch" // start a process of the desired generation
	Terminate Action = "term"   // send SIGTERM to the process
	Kill      Action = "kill"   // send SIGKILL to the process
	// The same signals for the process that is being replaced:
	TerminatePrevious Action = "term-old"
	KillPrevious      Action = "kill-old"
)

// Supervisor is the state machine of an instance. It is not safe for concurrent use.
type Supervisor struct {
	config Config

	desired    bool  // whether a process should run
	generation int64 // the desired generation
	sideBySide bool  // a new generation starts next to the serving process

	phase              Phase
	since              time.Time   // when the phase began
	reason             string      // why the instance is in the phase
	process            int64       // generation of the process, 0: none
	killAt             time.Time   // when a draining process is sent SIGKILL
	killed             bool        // the process was sent SIGKILL
	relaunchAt         time.Time   // the end of a backoff
	crashes            []time.Time // the recent ones, at most CrashWithin old
	healthFailures     int         // consecutive failed health checks
	consecutiveCrashes int         // crashes since a process was last ready for CrashWithin

	previous       int64     // generation of the process being replaced, 0: none
	previousKillAt time.Time // when that process is sent SIGKILL; zero: it was not sent SIGTERM yet
	previousKilled bool      // that process was sent SIGKILL
	failed         int64     // the latest generation that failed to replace the previous one, 0: none
	failure        string    // how it failed
}

// maxHealthFailures is how many consecutive health checks must fail before a ready
// sidecar counts as unready. A single one may fail on a busy machine.
const maxHealthFailures = 3

// New returns the state of an instance that has no process and should have none.
func New(cfg Config, now time.Time) *Supervisor {
	return &Supervisor{config: cfg, phase: Stopped, since: now}
}

// Phase returns the instance's phase.
func (s *Supervisor) Phase() Phase { return s.phase }

// Since returns when the phase began.
func (s *Supervisor) Since() time.Time { return s.since }

// Reason returns why the instance is in its phase, "" if there is no particular reason.
func (s *Supervisor) Reason() string { return s.reason }

// Process returns the generation of the process, 0 for none. During a replacement that is the new
// process.
func (s *Supervisor) Process() int64 { return s.process }

// Generation returns the desired generation.
func (s *Supervisor) Generation() int64 { return s.generation }

// Desired reports whether a process should run.
func (s *Supervisor) Desired() bool { return s.desired }

// Settled reports whether no process needs to be stopped or replaced. It is also true while a
// process has yet to be launched.
func (s *Supervisor) Settled() bool {
	return s.previous == 0 && (s.process == 0 || s.process == s.generation && s.desired)
}

// Next returns the time at which Tick or SetDesired must be called; zero if no action is scheduled.
func (s *Supervisor) Next() (t time.Time) {
	switch {
	case s.terminatingPrevious() && !s.previousKilled:
		return s.previousKillAt
	case s.phase == Draining && !s.killed:
		return s.killAt
	case s.phase == Backoff:
		return s.relaunchAt
	}
	return time.Time{}
}

// enter sets the phase and its reason.
func (s *Supervisor) enter(now time.Time, phase Phase, reason string) {
	if s.phase != phase {
		s.since = now
	}
	s.phase, s.reason = phase, reason
}

// Adopt reports that a process of a generation was found running when the caller started.
func (s *Supervisor) Adopt(now time.Time, generation int64) {
	s.process = generation
	s.enter(now, Starting, "found running")
}

// SetDesired sets the desired state: whether a process should run, and of which generation. A new
// generation resets the count of crashes. Repeated calls with the same values have the effect of
// Tick.
func (s *Supervisor) SetDesired(now time.Time, run bool, generation int64) []Action {
	if generation != s.generation {
		s.crashes, s.consecutiveCrashes = nil, 0
	}
	s.desired, s.generation = run, generation
	return s.step(now)
}

// step returns the actions that bring the actual state closer to the desired one.
func (s *Supervisor) step(now time.Time) []Action {
	if s.previous != 0 {
		return s.stepReplacement(now)
	}
	if s.process != 0 {
		return s.stepRunning(now)
	}
	return s.stepStopped(now)
}

// stepRunning is step while exactly one process runs.
func (s *Supervisor) stepRunning(now time.Time) []Action {
	if s.phase == Draining {
		if !s.killed && !now.Before(s.killAt) {
			s.killed = true
			s.reason = fmt.Sprintf("killed: it was still running %v after SIGTERM", s.config.KillAfter)
			return []Action{Kill}
		}
		return nil
	}
	switch {
	case s.desired && s.process == s.generation, s.desired && s.failed == s.generation:
		return nil
	case s.desired && s.sideBySide && s.phase == Ready:
		return []Action{Launch}
	}
	return []Action{s.terminate(now)}
}

// stepStopped is step while no process runs. A new generation has no crashes yet, so it is launched
// at once even in the phases CrashLoop and Backoff.
func (s *Supervisor) stepStopped(now time.Time) []Action {
	switch {
	case !s.desired:
		s.enter(now, Stopped, s.reason)
		return nil
	case s.phase == CrashLoop && len(s.crashes) > 0:
		return nil
	case s.phase == Backoff && len(s.crashes) > 0 && now.Before(s.relaunchAt):
		return nil
	}
	return []Action{Launch}
}

// terminate begins to drain the process and returns the action for that.
func (s *Supervisor) terminate(now time.Time) Action {
	s.killAt, s.killed = now.Add(s.config.KillAfter), false
	s.enter(now, Draining, "")
	return Terminate
}

// Launched reports that a process of the desired generation was started.
func (s *Supervisor) Launched(now time.Time) []Action {
	if s.process != 0 {
		s.setPrevious(s.process)
	} else {
		s.failed = 0 // there is no previous process that continues to serve
	}
	s.process, s.healthFailures = s.generation, 0
	s.enter(now, Starting, "")
	s.since = now
	return s.step(now)
}

// LaunchFailed reports that a process of the desired generation could not be started, and why. If
// another process serves, that process continues and the generation has failed; otherwise the
// failed launch counts as a crash.
func (s *Supervisor) LaunchFailed(now time.Time, reason string) []Action {
	if s.process != 0 {
		s.failed, s.failure = s.generation, "can't be started: "+reason
		s.reason = s.serveReason()
		return nil
	}
	return s.recordCrash(now, "can't be started: "+reason)
}

// Exited reports that the process has exited, and how. During a replacement that is the new
// process.
func (s *Supervisor) Exited(now time.Time, how string) []Action {
	exitedGeneration := s.process
	if s.previous != 0 {
		return s.restorePrevious(now, exitedGeneration, how)
	}
	s.process = 0
	if s.phase == Draining || !s.desired || exitedGeneration != s.generation {
		s.enter(now, Stopped, how)
		return s.step(now)
	}
	return s.recordCrash(now, how)
}

// recordCrash counts a crash and enters the phase Backoff or CrashLoop.
func (s *Supervisor) recordCrash(now time.Time, how string) []Action {
	recent := s.crashes[:0]
	for _, crashedAt := range s.crashes {
		if now.Sub(crashedAt) < s.config.CrashWithin {
			recent = append(recent, crashedAt)
		}
	}
	s.crashes = append(recent, now)
	s.consecutiveCrashes++
	if len(s.crashes) >= s.config.MaxCrashes {
		s.enter(now, CrashLoop, fmt.Sprintf("%d crashes in %v, the last one: %s", len(s.crashes), s.config.CrashWithin, how))
		return nil
	}
	delay := s.config.BackoffMin
	for i := 1; i < s.consecutiveCrashes && delay < s.config.BackoffMax; i++ {
		delay *= 2
	}
	delay = min(delay, s.config.BackoffMax)
	s.relaunchAt = now.Add(delay)
	s.enter(now, Backoff, fmt.Sprintf("%s; next launch in %v", how, delay))
	return nil
}

// Health reports the result of a health check, and the reason if it failed.
func (s *Supervisor) Health(now time.Time, ok bool, reason string) {
	switch {
	case s.process == 0 || s.phase == Draining:
	case ok:
		s.healthFailures = 0
		s.enter(now, Ready, s.serveReason())
		if now.Sub(s.since) >= s.config.CrashWithin {
			s.consecutiveCrashes, s.crashes = 0, nil
		}
	default:
		s.healthFailures++
		if s.phase == Ready && s.healthFailures >= maxHealthFailures || s.phase == Unready {
			s.enter(now, Unready, reason)
		} else if s.phase == Starting {
			s.reason = reason
		}
	}
}

// Tick reports that time has passed, and returns the actions that are due.
func (s *Supervisor) Tick(now time.Time) []Action { return s.step(now) }
