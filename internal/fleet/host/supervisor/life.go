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

// Kind is what should be done.
type Kind string

const (
	Launch Kind = "launch" // a process of the wanted generation
	Term   Kind = "term"   // SIGTERM
	Kill   Kind = "kill"   // SIGKILL
	// Of the process that is being replaced:
	TermOld Kind = "term-old"
	KillOld Kind = "kill-old"
)

// Supervisor is the state of an instance.
type Supervisor struct {
	cfg Config

	run        bool  // wanted
	generation int64 // wanted
	sideBySide bool  // a new generation starts beside the process

	phase   Phase
	since   time.Time
	reason  string
	process int64 // the process's generation, 0: none
	killAt  time.Time
	killed  bool
	wakeAt  time.Time // the end of a backoff
	crashes []time.Time
	fails   int // health calls failed in a row
	streak  int // crashes in a row

	old       int64     // generation of the process being replaced, 0: none
	oldKillAt time.Time // zero: it was not asked to end yet
	oldKilled bool
	failed    int64 // the latest generation that ended before it was ready, beside an old one
	failure   string
}

// unreadyAfter is how many health calls in a row must fail before a sidecar that
// was ready counts as unready: one may be lost to a busy machine.
const unreadyAfter = 3

// New returns an instance without a process, of which nothing is wanted.
func New(cfg Config, now time.Time) *Supervisor {
	return &Supervisor{cfg: cfg, phase: Stopped, since: now}
}

func (l *Supervisor) Phase() Phase      { return l.phase }
func (l *Supervisor) Since() time.Time  { return l.since }
func (l *Supervisor) Reason() string    { return l.reason }
func (l *Supervisor) Process() int64    { return l.process }
func (l *Supervisor) Generation() int64 { return l.generation }
func (l *Supervisor) Wanted() bool      { return l.run }
func (l *Supervisor) Settled() bool {
	return l.old == 0 && (l.process == 0 || l.process == l.generation && l.run)
}

// Old is the generation of the process being replaced, 0 for none.
func (l *Supervisor) Old() int64 { return l.old }

// Failed is the latest generation that failed beside a process that serves on, and how.
func (l *Supervisor) Failed() (generation int64, how string) { return l.failed, l.failure }

// SetSideBySide says whether a generation wanted from now on starts beside the process that
// serves: both must be able to hand over.
func (l *Supervisor) SetSideBySide(can bool) { l.sideBySide = can }

// Next is when Tick is due at the latest; zero for no such time.
func (l *Supervisor) Next() (t time.Time) {
	switch {
	case l.terminatingPrevious() && !l.oldKilled:
		return l.oldKillAt
	case l.phase == Draining && !l.killed:
		return l.killAt
	case l.phase == Backoff:
		return l.wakeAt
	}
	return time.Time{}
}

func (l *Supervisor) enter(now time.Time, p Phase, reason string) {
	if l.phase != p {
		l.since = now
	}
	l.phase, l.reason = p, reason
}

// Adopt tells of a process that was found running, at the start of things.
func (l *Supervisor) Adopt(now time.Time, generation int64) {
	l.process = generation
	l.enter(now, Starting, "found running")
}

// AdoptOld tells of a process of an earlier generation that was found running beside
// the adopted one.
func (l *Supervisor) AdoptOld(generation int64) { l.replacing(generation) }

// replacing makes the process of a generation the one being replaced, 0 for none.
func (l *Supervisor) replacing(generation int64) {
	l.old, l.oldKillAt, l.oldKilled = generation, time.Time{}, false
}

// terminatingPrevious says that the process being replaced was asked to end.
func (l *Supervisor) terminatingPrevious() bool { return !l.oldKillAt.IsZero() }

// AdoptFailed tells of a generation that ended beside the adopted process.
func (l *Supervisor) AdoptFailed(generation int64, how string) { l.failed, l.failure = generation, how }

// KeepPrevious makes the process that serves on after a failure the wanted one: it counts as of
// the wanted generation from now on.
func (l *Supervisor) KeepPrevious() {
	if l.process != 0 && l.old == 0 && l.failed == l.generation {
		l.process = l.generation
	}
}

// Want sets what is wanted. A new generation forgets earlier crashes.
func (l *Supervisor) Want(now time.Time, run bool, generation int64) []Kind {
	if generation != l.generation {
		l.crashes, l.streak = nil, 0
	}
	l.run, l.generation = run, generation
	return l.step(now)
}

// step brings what is nearer to what is wanted.
func (l *Supervisor) step(now time.Time) []Kind {
	if l.old != 0 {
		return l.replace(now)
	}
	if l.process != 0 {
		if l.phase == Draining {
			if !l.killed && !now.Before(l.killAt) {
				l.killed = true
				l.reason = fmt.Sprintf("killed: it had not ended %v after SIGTERM", l.cfg.KillAfter)
				return []Kind{Kill}
			}
			return nil
		}
		switch {
		case l.run && l.process == l.generation, l.run && l.failed == l.generation:
			return nil
		case l.run && l.sideBySide && l.phase == Ready:
			return []Kind{Launch}
		}
		return []Kind{l.term(now)}
	}
	switch {
	case !l.run:
		l.enter(now, Stopped, l.reason)
		return nil
	case l.phase == Crashloop && len(l.crashes) > 0:
		return nil
	case l.phase == Backoff && len(l.crashes) > 0 && now.Before(l.wakeAt):
		return nil
	}
	return []Kind{Launch}
}

// term asks the process to end.
func (l *Supervisor) term(now time.Time) Kind {
	l.killAt, l.killed = now.Add(l.cfg.KillAfter), false
	l.enter(now, Draining, "")
	return Term
}

// replace is step while an old process is there beside the new one. One that is not
// wanted any more has not served before it is ready, and is killed; a ready one ends
// like any other, after the old one.
func (l *Supervisor) replace(now time.Time) []Kind {
	if l.terminatingPrevious() && !l.oldKilled && !now.Before(l.oldKillAt) {
		l.oldKilled = true
		return []Kind{KillOld}
	}
	switch {
	case l.phase == Draining: // its end is awaited
	case l.phase == Starting && (!l.run || l.process != l.generation):
		l.giveUp(now, "not wanted any more")
		return []Kind{Kill}
	case l.phase != Starting && !l.terminatingPrevious():
		l.oldKillAt = now.Add(l.cfg.KillAfter)
		return []Kind{TermOld}
	}
	return nil
}

// giveUp marks the new process as one that is to be killed.
func (l *Supervisor) giveUp(now time.Time, why string) {
	l.enter(now, Draining, why)
	l.killed = true
}

// GiveUp ends a new process that has not become ready beside the old one, which serves
// on; nothing where there is no old one.
func (l *Supervisor) GiveUp(now time.Time, why string) []Kind {
	if l.old == 0 || l.terminatingPrevious() || l.phase != Starting {
		return nil
	}
	l.giveUp(now, why)
	return []Kind{Kill}
}

// Launched tells that a process of the wanted generation runs.
func (l *Supervisor) Launched(now time.Time) []Kind {
	if l.process != 0 {
		l.replacing(l.process)
	} else {
		l.failed = 0 // nobody serves on
	}
	l.process, l.fails = l.generation, 0
	l.enter(now, Starting, "")
	l.since = now
	return l.step(now)
}

// LaunchFailed tells that none could be started: it counts as a crash, or as a failure
// of its generation where a process serves.
func (l *Supervisor) LaunchFailed(now time.Time, why string) []Kind {
	if l.process != 0 {
		l.failed, l.failure = l.generation, "can't be started: "+why
		l.reason = l.serves()
		return nil
	}
	return l.crash(now, "can't be started: "+why)
}

// Exited tells that the process has ended, and how.
func (l *Supervisor) Exited(now time.Time, how string) []Kind {
	ended := l.process
	if l.old != 0 {
		return l.back(now, ended, how)
	}
	l.process = 0
	if l.phase == Draining || !l.run || ended != l.generation {
		l.enter(now, Stopped, how)
		return l.step(now)
	}
	return l.crash(now, how)
}

// back takes the end of the new process while the old one is there: that one is the
// instance's again.
func (l *Supervisor) back(now time.Time, ended int64, how string) []Kind {
	wanted := l.run && ended == l.generation
	if wanted {
		l.failed, l.failure = ended, how
		if l.phase == Draining {
			l.failure = l.reason
		}
	}
	l.process, l.fails = l.old, 0
	if l.terminatingPrevious() {
		l.killAt, l.killed = l.oldKillAt, l.oldKilled
		l.failed = 0 // no process serves on: it is launched again
		l.enter(now, Draining, how)
	} else {
		l.enter(now, Ready, l.serves())
	}
	l.replacing(0)
	return l.step(now)
}

// serves is the reason of an instance whose new process failed.
func (l *Supervisor) serves() string {
	if l.failed != l.generation || l.failed == 0 {
		return ""
	}
	return fmt.Sprintf("generation %d serves on: the new process failed: %s", l.process, l.failure)
}

// OldExited tells that the process being replaced has ended.
func (l *Supervisor) OldExited(now time.Time) []Kind {
	l.replacing(0)
	return l.step(now)
}

func (l *Supervisor) crash(now time.Time, how string) []Kind {
	kept := l.crashes[:0]
	for _, t := range l.crashes {
		if now.Sub(t) < l.cfg.CrashWithin {
			kept = append(kept, t)
		}
	}
	l.crashes = append(kept, now)
	l.streak++
	if len(l.crashes) >= l.cfg.MaxCrashes {
		l.enter(now, Crashloop, fmt.Sprintf("%d crashes in %v, the last: %s", len(l.crashes), l.cfg.CrashWithin, how))
		return nil
	}
	wait := l.cfg.BackoffMin
	for i := 1; i < l.streak && wait < l.cfg.BackoffMax; i++ {
		wait *= 2
	}
	wait = min(wait, l.cfg.BackoffMax)
	l.wakeAt = now.Add(wait)
	l.enter(now, Backoff, fmt.Sprintf("%s; next try in %v", how, wait))
	return nil
}

// Health tells how a health call ended.
func (l *Supervisor) Health(now time.Time, ok bool, why string) {
	switch {
	case l.process == 0 || l.phase == Draining:
	case ok:
		l.fails = 0
		l.enter(now, Ready, l.serves())
		if now.Sub(l.since) >= l.cfg.CrashWithin {
			l.streak, l.crashes = 0, nil
		}
	default:
		l.fails++
		if l.phase == Ready && l.fails >= unreadyAfter || l.phase == Unready {
			l.enter(now, Unready, why)
		} else if l.phase == Starting {
			l.reason = why
		}
	}
}

// Tick tells that time has passed.
func (l *Supervisor) Tick(now time.Time) []Kind { return l.step(now) }
