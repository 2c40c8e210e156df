// Package life decides what becomes of one sidecar's process: when to launch it,
// to ask it to end, to kill it, to try again after a crash and when to leave off.
// It is pure: events and the time come in, actions go out, in the order in which
// they are to be carried out.
//
// What is wanted is a level, not a command: whether a process should run, and of
// which generation. A process of another generation is drained and replaced. So
// whoever lost its memory and knows both again goes on where it stood.
package life

import (
	"fmt"
	"time"
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
	CrashMost   int           // so many crashes
	CrashWithin time.Duration // in this time are a crash loop
}

// KillLeast is the least KillAfter: the protocol lets SIGKILL come no sooner than
// the longest deadline, 3 s at most, and 0.7 s more after SIGTERM.
const KillLeast = 3700 * time.Millisecond

// Kind is what should be done.
type Kind string

const (
	Launch Kind = "launch" // a process of the wanted generation
	Term   Kind = "term"   // SIGTERM
	Kill   Kind = "kill"   // SIGKILL
)

// Life is the state of an instance.
type Life struct {
	cfg Config

	run        bool  // wanted
	generation int64 // wanted

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
}

// unreadyAfter is how many health calls in a row must fail before a sidecar that
// was ready counts as unready: one may be lost to a busy machine.
const unreadyAfter = 3

// New returns an instance without a process, of which nothing is wanted.
func New(cfg Config, now time.Time) *Life {
	return &Life{cfg: cfg, phase: Stopped, since: now}
}

func (l *Life) Phase() Phase      { return l.phase }
func (l *Life) Since() time.Time  { return l.since }
func (l *Life) Reason() string    { return l.reason }
func (l *Life) Process() int64    { return l.process }
func (l *Life) Generation() int64 { return l.generation }
func (l *Life) Wanted() bool      { return l.run }
func (l *Life) Settled() bool     { return l.process == 0 || l.process == l.generation && l.run }
func (l *Life) Next() (t time.Time) {
	switch {
	case l.phase == Draining && !l.killed:
		return l.killAt
	case l.phase == Backoff:
		return l.wakeAt
	}
	return time.Time{}
}

func (l *Life) enter(now time.Time, p Phase, reason string) {
	if l.phase != p {
		l.since = now
	}
	l.phase, l.reason = p, reason
}

// Adopt tells of a process that was found running, at the start of things.
func (l *Life) Adopt(now time.Time, generation int64) {
	l.process = generation
	l.enter(now, Starting, "found running")
}

// Want sets what is wanted. A new generation forgets earlier crashes.
func (l *Life) Want(now time.Time, run bool, generation int64) []Kind {
	if generation != l.generation {
		l.crashes, l.streak = nil, 0
	}
	l.run, l.generation = run, generation
	return l.step(now)
}

// step brings what is nearer to what is wanted.
func (l *Life) step(now time.Time) []Kind {
	if l.process != 0 {
		if l.phase == Draining {
			if !l.killed && !now.Before(l.killAt) {
				l.killed = true
				l.reason = fmt.Sprintf("killed: it had not ended %v after SIGTERM", l.cfg.KillAfter)
				return []Kind{Kill}
			}
			return nil
		}
		if !l.run || l.process != l.generation {
			l.killAt, l.killed = now.Add(l.cfg.KillAfter), false
			l.enter(now, Draining, "")
			return []Kind{Term}
		}
		return nil
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

// Launched tells that a process of the wanted generation runs.
func (l *Life) Launched(now time.Time) []Kind {
	l.process, l.fails = l.generation, 0
	l.enter(now, Starting, "")
	l.since = now
	return l.step(now)
}

// LaunchFailed tells that none could be started: it counts as a crash.
func (l *Life) LaunchFailed(now time.Time, why string) []Kind {
	return l.crash(now, "can't be started: "+why)
}

// Exited tells that the process has ended, and how.
func (l *Life) Exited(now time.Time, how string) []Kind {
	ended := l.process
	l.process = 0
	if l.phase == Draining || !l.run || ended != l.generation {
		l.enter(now, Stopped, how)
		return l.step(now)
	}
	return l.crash(now, how)
}

func (l *Life) crash(now time.Time, how string) []Kind {
	kept := l.crashes[:0]
	for _, t := range l.crashes {
		if now.Sub(t) < l.cfg.CrashWithin {
			kept = append(kept, t)
		}
	}
	l.crashes = append(kept, now)
	l.streak++
	if len(l.crashes) >= l.cfg.CrashMost {
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
func (l *Life) Health(now time.Time, ok bool, why string) {
	switch {
	case l.process == 0 || l.phase == Draining:
	case ok:
		l.fails = 0
		l.enter(now, Ready, "")
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
func (l *Life) Tick(now time.Time) []Kind { return l.step(now) }
