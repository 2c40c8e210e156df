package life

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"
)

var (
	t0  = time.Date(2026, 3, 18, 20, 0, 0, 0, time.UTC)
	cfg = Config{KillAfter: 4 * time.Second, BackoffMin: time.Second, BackoffMax: 8 * time.Second, CrashMost: 4, CrashWithin: time.Minute}
)

func at(s float64) time.Time { return t0.Add(time.Duration(s * float64(time.Second))) }

func expect(t *testing.T, l *Life, got []Kind, phase Phase, want ...Kind) {
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
	expect(t, l, l.Want(at(2), true, 2), Draining, Term)
	expect(t, l, l.Tick(at(5.9)), Draining) // SIGKILL comes no sooner
	expect(t, l, l.Tick(at(6)), Draining, Kill)
	expect(t, l, l.Tick(at(7)), Draining) // and once
	expect(t, l, l.Exited(at(7), "killed"), Stopped, Launch)
	expect(t, l, l.Launched(at(7)), Starting)
	expect(t, l, l.Want(at(8), false, 2), Draining, Term)
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
	expect(t, m, m.Want(at(0), true, 3), Draining, Term)
}

// For any events: a launch only while there is no process, SIGKILL only KillAfter
// after SIGTERM and only once, and what is wanted comes about once events stop.
func TestProperties(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := t0
		l := New(cfg, now)
		alive, termAt, kills := false, time.Time{}, 0
		gen, want := int64(1), false
		var do func(ks []Kind)
		fail := true
		do = func(ks []Kind) {
			for _, k := range ks {
				switch k {
				case Launch:
					if alive {
						t.Fatal("a second process")
					}
					if fail && rapid.IntRange(0, 4).Draw(t, "fails") == 0 {
						do(l.LaunchFailed(now, "no"))
						continue
					}
					alive, termAt, kills = true, time.Time{}, 0
					do(l.Launched(now))
				case Term:
					if !alive || !termAt.IsZero() {
						t.Fatal("SIGTERM to none, or twice")
					}
					termAt = now
				case Kill:
					kills++
					if termAt.IsZero() || now.Sub(termAt) < cfg.KillAfter || kills > 1 {
						t.Fatal("SIGKILL too early or twice")
					}
				}
			}
		}
		for range rapid.IntRange(1, 60).Draw(t, "events") {
			now = now.Add(time.Duration(rapid.IntRange(0, 3000).Draw(t, "ms")) * time.Millisecond)
			switch rapid.IntRange(0, 4).Draw(t, "event") {
			case 0:
				gen += int64(rapid.IntRange(0, 1).Draw(t, "new"))
				want = rapid.Bool().Draw(t, "run")
				do(l.Want(now, want, gen))
			case 1:
				if alive {
					alive = false
					do(l.Exited(now, "gone"))
				}
			case 2:
				l.Health(now, rapid.Bool().Draw(t, "healthy"), "")
			default:
				do(l.Tick(now))
			}
		}
		fail = false
		gen++
		do(l.Want(now, want, gen))
		for range 10 {
			if alive && !termAt.IsZero() {
				alive = false
				do(l.Exited(now, "ended"))
			}
			now = now.Add(10 * time.Second)
			do(l.Tick(now))
		}
		if alive != want || want && l.Process() != gen || !l.Settled() {
			t.Fatalf("wanted %v of %d: alive %v of %d, %s", want, gen, alive, l.Process(), l.Phase())
		}
	})
}
