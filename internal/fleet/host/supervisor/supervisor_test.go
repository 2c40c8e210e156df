package supervisor

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"
)

var (
	t0  = time.Date(2026, 3, 18, 20, 0, 0, 0, time.UTC)
	cfg = Config{KillAfter: 4 * time.Second, BackoffMin: time.Second, BackoffMax: 8 * time.Second, MaxCrashes: 4, CrashWithin: time.Minute}
)

func at(s float64) time.Time { return t0.Add(time.Duration(s * float64(time.Second))) }

func expect(t *testing.T, l *Supervisor, got []Action, phase Phase, want ...Action) {
	t.Helper()
	if fmt.Sprint(got) != fmt.Sprint(want) || l.Phase() != phase {
		t.Fatalf("%s %v; want %s %v (%s)", l.Phase(), got, phase, want, l.Reason())
	}
}

func TestRestartAndDrain(t *testing.T) {
	l := New(cfg, t0)
	expect(t, l, l.Want(at(0), true, 1), Stopped, Launch)
	expect(t, l, l.Launched(at(0)), Starting)
	l.Health(at(1), true, "")
	expect(t, l, l.Want(at(2), true, 2), Draining, Terminate)
	expect(t, l, l.Tick(at(5.9)), Draining) // SIGKILL comes no sooner
	expect(t, l, l.Tick(at(6)), Draining, Kill)
	expect(t, l, l.Tick(at(7)), Draining) // and once
	expect(t, l, l.Exited(at(7), "killed"), Stopped, Launch)
	expect(t, l, l.Launched(at(7)), Starting)
	expect(t, l, l.Want(at(8), false, 2), Draining, Terminate)
	expect(t, l, l.Exited(at(8), "exit status 0"), Stopped)
	expect(t, l, l.Tick(at(100)), Stopped)
}

func TestCrashLoop(t *testing.T) {
	l := New(cfg, t0)
	expect(t, l, l.Want(at(0), true, 1), Stopped, Launch)
	now := 0.0
	for _, wait := range []float64{1, 2, 4} {
		expect(t, l, l.Launched(at(now)), Starting)
		expect(t, l, l.Exited(at(now), "exit status 2"), Backoff)
		expect(t, l, l.Tick(at(now+wait-0.1)), Backoff)
		now += wait
		expect(t, l, l.Tick(at(now)), Backoff, Launch)
	}
	expect(t, l, l.LaunchFailed(at(now), "no such file"), Crashloop)
	expect(t, l, l.Tick(at(1000)), Crashloop)
	expect(t, l, l.Want(at(1000), true, 2), Crashloop, Launch) // an operator's new try
}

func TestUnreadyAfterThreeFailures(t *testing.T) {
	l := New(cfg, t0)
	l.Want(at(0), true, 1)
	l.Launched(at(0))
	l.Health(at(0), false, "refused")
	expect(t, l, nil, Starting)
	l.Health(at(1), true, "")
	for range 2 {
		l.Health(at(2), false, "503")
		expect(t, l, nil, Ready)
	}
	l.Health(at(3), false, "503")
	expect(t, l, nil, Unready)
	l.Health(at(4), true, "")
	expect(t, l, nil, Ready)
}

func TestAdoptedOfAnotherGeneration(t *testing.T) {
	l := New(cfg, t0)
	l.Adopt(t0, 3)
	expect(t, l, l.Want(at(0), true, 3), Starting)
	m := New(cfg, t0)
	m.Adopt(t0, 2)
	expect(t, m, m.Want(at(0), true, 3), Draining, Terminate)
}

// A new generation starts beside the one that serves, which ends once it is ready.
func TestBeside(t *testing.T) {
	l := New(cfg, t0)
	l.SetSideBySide(true)
	expect(t, l, l.Want(at(0), true, 1), Stopped, Launch)
	expect(t, l, l.Launched(at(0)), Starting)
	expect(t, l, l.Want(at(0.5), true, 2), Draining, Terminate) // it serves nobody: nothing to keep
	expect(t, l, l.Exited(at(1), "exit status 0"), Stopped, Launch)
	l.Launched(at(1))
	l.Health(at(1), true, "")
	expect(t, l, l.Want(at(2), true, 3), Ready, Launch)
	expect(t, l, l.Launched(at(2)), Starting)
	l.Health(at(2.5), false, "refused")
	expect(t, l, l.Tick(at(3)), Starting)
	l.Health(at(3), true, "")
	expect(t, l, l.Tick(at(3)), Ready, TerminatePrevious)
	expect(t, l, l.Tick(at(6.9)), Ready)
	expect(t, l, l.Tick(at(7)), Ready, KillPrevious)
	expect(t, l, l.Tick(at(8)), Ready)
	if l.Settled() || l.Previous() != 2 || l.Process() != 3 {
		t.Errorf("settled %v, old %d, process %d", l.Settled(), l.Previous(), l.Process())
	}
	expect(t, l, l.PreviousExited(at(8)), Ready)
	if !l.Settled() {
		t.Error("not settled")
	}
}

// serving is an instance whose process of generation 1 serves, and hands over.
func serving() *Supervisor {
	l := New(cfg, t0)
	l.SetSideBySide(true)
	l.Want(at(0), true, 1)
	l.Launched(at(0))
	l.Health(at(1), true, "")
	return l
}

// A new process that ends before it is ready, can't be started or is given up leaves the
// old one serving, and is not tried again.
func TestBesideFails(t *testing.T) {
	for name, fail := range map[string]func(l *Supervisor){
		"ends": func(l *Supervisor) {
			expect(t, l, l.Launched(at(2)), Starting)
			expect(t, l, l.Exited(at(3), "exit status 1"), Ready)
		},
		"can't be started": func(l *Supervisor) {
			expect(t, l, l.LaunchFailed(at(2), "no such file"), Ready)
		},
		"is given up": func(l *Supervisor) {
			expect(t, l, l.Launched(at(2)), Starting)
			expect(t, l, l.GiveUp(at(9), "not ready within 7s"), Draining, Kill)
			expect(t, l, l.GiveUp(at(9), "again"), Draining)
			expect(t, l, l.Exited(at(9), "signal: killed"), Ready)
		},
	} {
		t.Run(name, func(t *testing.T) {
			l := serving()
			expect(t, l, l.Want(at(2), true, 2), Ready, Launch)
			fail(l)
			if g, how := l.Failed(); g != 2 || how == "" || l.Process() != 1 || l.Reason() == "" {
				t.Errorf("failed %d %q, process %d, %q", g, how, l.Process(), l.Reason())
			}
			expect(t, l, l.Tick(at(100)), Ready)
			expect(t, l, l.Want(at(100), true, 2), Ready)
			expect(t, l, l.Want(at(101), true, 3), Ready, Launch) // an operator's new try
		})
	}
}

// The new process crashes while the old one ends: what is wanted is launched anew after
// that. The old one crashes while the new one starts: the new one goes on.
func TestBesideCrashes(t *testing.T) {
	begin := func() *Supervisor {
		l := serving()
		l.Want(at(2), true, 2)
		l.Launched(at(2))
		return l
	}
	l := begin()
	l.Health(at(3), true, "")
	expect(t, l, l.Tick(at(3)), Ready, TerminatePrevious)
	expect(t, l, l.Exited(at(4), "exit status 2"), Draining)
	expect(t, l, l.Tick(at(7)), Draining, Kill)
	expect(t, l, l.Exited(at(7), "killed"), Stopped, Launch)
	l = begin()
	expect(t, l, l.PreviousExited(at(3)), Starting)
	l.Health(at(4), true, "")
	expect(t, l, l.Tick(at(4)), Ready)
	l = begin() // no longer wanted at all
	expect(t, l, l.Want(at(3), false, 2), Draining, Kill)
	expect(t, l, l.Exited(at(3), "killed"), Draining, Terminate)
	expect(t, l, l.Exited(at(4), "exit status 0"), Stopped)
	m := New(cfg, t0) // found by an agent that was away
	m.Adopt(t0, 2)
	m.AdoptPrevious(1)
	expect(t, m, m.Want(at(0), true, 2), Starting)
	m.Health(at(1), true, "")
	expect(t, m, m.Tick(at(1)), Ready, TerminatePrevious)
}

// For any events: a process beside another only where both hand over and that one
// serves, never a third, the old one asked to end only once the new one was ready or
// none is wanted, SIGKILL only KillAfter after SIGTERM and only once, or to one that
// never served; and what is wanted comes about once events stop.
func TestProperties(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		type process struct {
			generation int64
			ready      bool
			term       time.Time
			killed     bool
		}
		now := t0
		l := New(cfg, now)
		var old, cur *process
		gen, want, beside := int64(1), false, false
		kill := func(p *process) {
			if p == nil || p.killed || (p.term.IsZero() || now.Sub(p.term) < cfg.KillAfter) && !(p == cur && old != nil && !p.ready) {
				t.Fatal("SIGKILL too early, twice or to none")
			}
			p.killed = true
		}
		term := func(p *process) {
			if p == nil || !p.term.IsZero() {
				t.Fatal("SIGTERM to none, or twice")
			}
			p.term = now
		}
		var do func(ks []Action)
		fail := true
		do = func(ks []Action) {
			for _, k := range ks {
				switch k {
				case Launch:
					if old != nil || cur != nil && !(beside && cur.ready && cur.term.IsZero()) {
						t.Fatal("a process too many")
					}
					if fail && rapid.IntRange(0, 4).Draw(t, "fails") == 0 {
						do(l.LaunchFailed(now, "no"))
						continue
					}
					old, cur = cur, &process{generation: gen}
					do(l.Launched(now))
				case Terminate:
					term(cur)
				case TerminatePrevious:
					if want && !cur.ready {
						t.Fatal("the old one is asked to end before the new one serves")
					}
					term(old)
				case Kill:
					kill(cur)
				case KillPrevious:
					kill(old)
				}
			}
		}
		exit := func() {
			if cur != nil {
				cur, old = old, nil
				do(l.Exited(now, "gone"))
			}
		}
		exitOld := func() {
			if old != nil {
				old = nil
				do(l.PreviousExited(now))
			}
		}
		for range rapid.IntRange(1, 60).Draw(t, "events") {
			now = now.Add(time.Duration(rapid.IntRange(0, 3000).Draw(t, "ms")) * time.Millisecond)
			switch rapid.IntRange(0, 7).Draw(t, "event") {
			case 0:
				gen += int64(rapid.IntRange(0, 1).Draw(t, "new"))
				want = rapid.Bool().Draw(t, "run")
				beside = rapid.Bool().Draw(t, "beside")
				l.SetSideBySide(beside)
				do(l.Want(now, want, gen))
			case 1:
				exit()
			case 2:
				exitOld()
			case 3:
				do(l.GiveUp(now, "late"))
			case 4, 5:
				ok := rapid.Bool().Draw(t, "healthy")
				if cur != nil && ok && cur.term.IsZero() && !cur.killed {
					cur.ready = true
				}
				l.Health(now, ok, "")
			default:
				do(l.Tick(now))
			}
		}
		fail = false
		gen++
		do(l.Want(now, want, gen))
		for range 12 {
			if old != nil && !old.term.IsZero() {
				exitOld()
			}
			if cur != nil && (!cur.term.IsZero() || cur.killed) {
				exit()
			}
			if cur != nil && cur.term.IsZero() {
				cur.ready = true
				l.Health(now, true, "")
			}
			now = now.Add(10 * time.Second)
			do(l.Tick(now))
		}
		if (cur != nil) != want || old != nil || want && l.Process() != gen || !l.Settled() {
			t.Fatalf("wanted %v of %d: process %d, old %d, %s", want, gen, l.Process(), l.Previous(), l.Phase())
		}
	})
}
