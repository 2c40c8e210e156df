// Package supervisor decides what happens to one sidecar's process: when to launch
// it, to terminate or kill it, to relaunch it after a crash, and when to stop trying.
// It is pure: events and the time come in, actions go out, in the order in which the
// caller must carry them out. It starts no process and sends no signal.
//
// The wanted state is a level, not a command: whether a process should run, and of
// which generation. A process of another generation is drained and replaced. A caller
// that lost its memory therefore resumes by calling Adopt and Want.
//
// Where sidecars can hand over, a process of a new generation starts next to the
// serving one, which is terminated only once the new one is ready. If the new process
// exits before that, or is given up, the previous one continues to serve, and the
// failed generation is not tried again: a later one must be wanted.
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
	Starting  Phase = "starting"  // it runs and has not been ready yet
	Ready     Phase = "ready"     // its health call answers 200
	Unready   Phase = "unready"   // it was ready and its health call fails
	Draining  Phase = "draining"  // it was sent SIGTERM
	Backoff   Phase = "backoff"   // it crashed and is relaunched after a delay
	Crashloop Phase = "crashloop" // it crashed too often and is not relaunched
)

// Config is the limits of an instance.
type Config struct {
	KillAfter   time.Duration // from SIGTERM to SIGKILL
	BackoffMin  time.Duration // after a first crash; doubled after each further one
	BackoffMax  time.Duration
	MaxCrashes  int // this many crashes within CrashWithin are a crash loop
	CrashWithin time.Duration
}

// MinKillDelay is the smallest valid KillAfter. By the protocol, SIGKILL follows SIGTERM
// no sooner than the longest deadline of a request plus a grace period.
const MinKillDelay = shutdown.MaxDeadline + shutdown.KillGrace

// Action is an order to the caller.
type Action string

// The actions.
const (
	Launch    Action = "launch" // start a process of the wanted generation
	Terminate Action = "term"   // SIGTERM
	Kill      Action = "kill"   // SIGKILL
	// The same signals to the process that is being replaced:
	TerminatePrevious Action = "term-old"
	KillPrevious      Action = "kill-old"
)

// Supervisor is the state of an instance.
type Supervisor struct {
	config Config

	wanted     bool  // whether a process should run
	generation int64 // the wanted generation
	sideBySide bool  // a new generation starts next to the serving process

	phase              Phase
	since              time.Time
	reason             string
	process            int64 // generation of the process, 0: none
	killAt             time.Time
	killed             bool
	wakeAt             time.Time // the end of a backoff
	crashes            []time.Time
	healthFailures     int // health calls failed in a row
	consecutiveCrashes int // crashes in a row

	previous       int64     // generation of the process being replaced, 0: none
	previousKillAt time.Time // zero: it was not sent SIGTERM yet
	previousKilled bool
	failed         int64 // the latest generation that failed to replace the previous one, 0: none
	failure        string
}

// maxHealthFailures is how many consecutive health calls must fail before a ready
// sidecar counts as unready. A single one may fail on a busy machine.
const maxHealthFailures = 3

// New returns the state of an instance that has no process and wants none.
func New(cfg Config, now time.Time) *Supervisor {
	return &Supervisor{config: cfg, phase: Stopped, since: now}
}

// Phase is the instance's phase.
func (s *Supervisor) Phase() Phase { return s.phase }

// Since is when the phase began.
func (s *Supervisor) Since() time.Time { return s.since }

// Reason is why the instance is in its phase, "" if there is nothing to say.
func (s *Supervisor) Reason() string { return s.reason }

// Process is the generation of the process, 0 for none.
func (s *Supervisor) Process() int64 { return s.process }

// Generation is the wanted generation.
func (s *Supervisor) Generation() int64 { return s.generation }

// Wanted reports whether a process should run.
func (s *Supervisor) Wanted() bool { return s.wanted }

// Settled reports whether no process runs that is not wanted or of another generation.
func (s *Supervisor) Settled() bool {
	return s.previous == 0 && (s.process == 0 || s.process == s.generation && s.wanted)
}

// Next is the time by which Tick must be called; zero if no time is due.
func (s *Supervisor) Next() (t time.Time) {
	switch {
	case s.terminatingPrevious() && !s.previousKilled:
		return s.previousKillAt
	case s.phase == Draining && !s.killed:
		return s.killAt
	case s.phase == Backoff:
		return s.wakeAt
	}
	return time.Time{}
}

// enter sets the phase and its reason.
func (s *Supervisor) enter(now time.Time, p Phase, reason string) {
	if s.phase != p {
		s.since = now
	}
	s.phase, s.reason = p, reason
}

// Adopt reports a process that was found running when the caller started.
func (s *Supervisor) Adopt(now time.Time, generation int64) {
	s.process = generation
	s.enter(now, Starting, "found running")
}

// Want sets the wanted state. A new generation clears the record of crashes.
func (s *Supervisor) Want(now time.Time, run bool, generation int64) []Action {
	if generation != s.generation {
		s.crashes, s.consecutiveCrashes = nil, 0
	}
	s.wanted, s.generation = run, generation
	return s.step(now)
}

// step returns the actions that bring the actual state closer to the wanted one.
func (s *Supervisor) step(now time.Time) []Action {
	if s.previous != 0 {
		return s.stepReplacement(now)
	}
	if s.process != 0 {
		return s.stepRunning(now)
	}
	return s.stepStopped(now)
}

// stepRunning is step while one process runs.
func (s *Supervisor) stepRunning(now time.Time) []Action {
	if s.phase == Draining {
		if !s.killed && !now.Before(s.killAt) {
			s.killed = true
			s.reason = fmt.Sprintf("killed: it had not ended %v after SIGTERM", s.config.KillAfter)
			return []Action{Kill}
		}
		return nil
	}
	switch {
	case s.wanted && s.process == s.generation, s.wanted && s.failed == s.generation:
		return nil
	case s.wanted && s.sideBySide && s.phase == Ready:
		return []Action{Launch}
	}
	return []Action{s.terminate(now)}
}

// stepStopped is step while no process runs.
func (s *Supervisor) stepStopped(now time.Time) []Action {
	switch {
	case !s.wanted:
		s.enter(now, Stopped, s.reason)
		return nil
	case s.phase == Crashloop && len(s.crashes) > 0:
		return nil
	case s.phase == Backoff && len(s.crashes) > 0 && now.Before(s.wakeAt):
		return nil
	}
	return []Action{Launch}
}

// terminate begins to drain the process.
func (s *Supervisor) terminate(now time.Time) Action {
	s.killAt, s.killed = now.Add(s.config.KillAfter), false
	s.enter(now, Draining, "")
	return Terminate
}

// Launched reports that a process of the wanted generation was started.
func (s *Supervisor) Launched(now time.Time) []Action {
	if s.process != 0 {
		s.setPrevious(s.process)
	} else {
		s.failed = 0 // no process continues to serve
	}
	s.process, s.healthFailures = s.generation, 0
	s.enter(now, Starting, "")
	s.since = now
	return s.step(now)
}

// LaunchFailed reports that the process could not be started. It counts as a crash or,
// where another process serves, as a failure of the wanted generation.
func (s *Supervisor) LaunchFailed(now time.Time, why string) []Action {
	if s.process != 0 {
		s.failed, s.failure = s.generation, "can't be started: "+why
		s.reason = s.serveReason()
		return nil
	}
	return s.recordCrash(now, "can't be started: "+why)
}

// Exited reports that the process has exited, and how.
func (s *Supervisor) Exited(now time.Time, how string) []Action {
	ended := s.process
	if s.previous != 0 {
		return s.restorePrevious(now, ended, how)
	}
	s.process = 0
	if s.phase == Draining || !s.wanted || ended != s.generation {
		s.enter(now, Stopped, how)
		return s.step(now)
	}
	return s.recordCrash(now, how)
}

// recordCrash counts a crash and enters a backoff or a crash loop.
func (s *Supervisor) recordCrash(now time.Time, how string) []Action {
	recent := s.crashes[:0]
	for _, t := range s.crashes {
		if now.Sub(t) < s.config.CrashWithin {
			recent = append(recent, t)
		}
	}
	s.crashes = append(recent, now)
	s.consecutiveCrashes++
	if len(s.crashes) >= s.config.MaxCrashes {
		s.enter(now, Crashloop, fmt.Sprintf("%d crashes in %v, the last: %s", len(s.crashes), s.config.CrashWithin, how))
		return nil
	}
	wait := s.config.BackoffMin
	for i := 1; i < s.consecutiveCrashes && wait < s.config.BackoffMax; i++ {
		wait *= 2
	}
	wait = min(wait, s.config.BackoffMax)
	s.wakeAt = now.Add(wait)
	s.enter(now, Backoff, fmt.Sprintf("%s; next try in %v", how, wait))
	return nil
}

// Health reports the result of a health call.
func (s *Supervisor) Health(now time.Time, ok bool, why string) {
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
			s.enter(now, Unready, why)
		} else if s.phase == Starting {
			s.reason = why
		}
	}
}

// Tick reports that time has passed.
func (s *Supervisor) Tick(now time.Time) []Action { return s.step(now) }
