// Package supervisor decides what becomes of one sidecar's process: when to launch it,
// to ask it to end, to kill it, to try again after a crash and when to leave off.
// It is pure: events and the time come in, actions go out, in the order in which
// they are to be carried out.
//
// What is wanted is a level, not a command: whether a process should run, and of
// which generation. A process of another generation is drained and replaced. So
// whoever lost its memory and knows both again goes on where it stood.
//
// Where sidecars hand over, a process of a new generation starts beside the one that
// serves, which is asked to end only once the new one is ready. A new one that ends
// before, or is given up, leaves the old one serving, and its generation is not tried
// again: a further one must be wanted.
package supervisor

import (
	"fmt"
	"time"

	"martendrum/internal/shutdown"
)

// Phase is the state of an instance as an operator sees it.
type Phase string

const (
	Stopped   Phase = "stopped"
	Starting  Phase = "starting"  // it runs and has not been ready yet
	Ready     Phase = "ready"     // its health call answers 200
	Unready   Phase = "unready"   // it was ready and its health call fails
	Draining  Phase = "draining"  // it was asked to end
	Backoff   Phase = "backoff"   // it crashed and is launched again in a while
	Crashloop Phase = "crashloop" // it crashed too often and is launched no more
)

// Config is an instance's limits.
type Config struct {
	KillAfter   time.Duration // from SIGTERM to SIGKILL
	BackoffMin  time.Duration // after a first crash; twice as long after each further one
	BackoffMax  time.Duration
	MaxCrashes  int           // so many crashes
	CrashWithin time.Duration // in this time are a crash loop
}

// MinKillDelay is the least KillAfter: the protocol lets SIGKILL come no sooner than
// the longest deadline, 3 s at most, and 0.7 s more after SIGTERM.
const MinKillDelay = shutdown.MaxDeadline + shutdown.KillGrace

// Action is what should be done.
type Action string

const (
	Launch    Action = "launch" // a process of the wanted generation
	Terminate Action = "term"   // SIGTERM
	Kill      Action = "kill"   // SIGKILL
	// Of the process that is being replaced:
	TerminatePrevious Action = "term-old"
	KillPrevious      Action = "kill-old"
)

// Supervisor is the state of an instance.
type Supervisor struct {
	config Config

	wanted     bool  // wanted
	generation int64 // wanted
	sideBySide bool  // a new generation starts beside the process

	phase              Phase
	since              time.Time
	reason             string
	process            int64 // the process's generation, 0: none
	killAt             time.Time
	killed             bool
	wakeAt             time.Time // the end of a backoff
	crashes            []time.Time
	healthFailures     int // health calls failed in a row
	consecutiveCrashes int // crashes in a row

	previous       int64     // generation of the process being replaced, 0: none
	previousKillAt time.Time // zero: it was not asked to end yet
	previousKilled bool
	failed         int64 // the latest generation that ended before it was ready, beside an old one
	failure        string
}

// maxHealthFailures is how many health calls in a row must fail before a sidecar that
// was ready counts as unready: one may be lost to a busy machine.
const maxHealthFailures = 3

// New returns an instance without a process, of which nothing is wanted.
func New(cfg Config, now time.Time) *Supervisor {
	return &Supervisor{config: cfg, phase: Stopped, since: now}
}

func (s *Supervisor) Phase() Phase { return s.phase }

func (s *Supervisor) Since() time.Time { return s.since }

func (s *Supervisor) Reason() string { return s.reason }

func (s *Supervisor) Process() int64 { return s.process }

func (s *Supervisor) Generation() int64 { return s.generation }

func (s *Supervisor) Wanted() bool { return s.wanted }

func (s *Supervisor) Settled() bool {
	return s.previous == 0 && (s.process == 0 || s.process == s.generation && s.wanted)
}

// Next is when Tick is due at the latest; zero for no such time.
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

func (s *Supervisor) enter(now time.Time, p Phase, reason string) {
	if s.phase != p {
		s.since = now
	}
	s.phase, s.reason = p, reason
}

// Adopt tells of a process that was found running, at the start of things.
func (s *Supervisor) Adopt(now time.Time, generation int64) {
	s.process = generation
	s.enter(now, Starting, "found running")
}

// Want sets what is wanted. A new generation forgets earlier crashes.
func (s *Supervisor) Want(now time.Time, run bool, generation int64) []Action {
	if generation != s.generation {
		s.crashes, s.consecutiveCrashes = nil, 0
	}
	s.wanted, s.generation = run, generation
	return s.step(now)
}

// step brings what is nearer to what is wanted.
func (s *Supervisor) step(now time.Time) []Action {
	if s.previous != 0 {
		return s.stepReplacement(now)
	}
	if s.process != 0 {
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

// terminate asks the process to end.
func (s *Supervisor) terminate(now time.Time) Action {
	s.killAt, s.killed = now.Add(s.config.KillAfter), false
	s.enter(now, Draining, "")
	return Terminate
}

// Launched tells that a process of the wanted generation runs.
func (s *Supervisor) Launched(now time.Time) []Action {
	if s.process != 0 {
		s.setPrevious(s.process)
	} else {
		s.failed = 0 // nobody serves on
	}
	s.process, s.healthFailures = s.generation, 0
	s.enter(now, Starting, "")
	s.since = now
	return s.step(now)
}

// LaunchFailed tells that none could be started: it counts as a crash, or as a failure
// of its generation where a process serves.
func (s *Supervisor) LaunchFailed(now time.Time, why string) []Action {
	if s.process != 0 {
		s.failed, s.failure = s.generation, "can't be started: "+why
		s.reason = s.serveReason()
		return nil
	}
	return s.recordCrash(now, "can't be started: "+why)
}

// Exited tells that the process has ended, and how.
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

func (s *Supervisor) recordCrash(now time.Time, how string) []Action {
	kept := s.crashes[:0]
	for _, t := range s.crashes {
		if now.Sub(t) < s.config.CrashWithin {
			kept = append(kept, t)
		}
	}
	s.crashes = append(kept, now)
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

// Health tells how a health call ended.
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

// Tick tells that time has passed.
func (s *Supervisor) Tick(now time.Time) []Action { return s.step(now) }
