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
	expect(t, l, l.Want(at(1000), true, 2), Crashloop, Launch) // an operator's new attempt
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

// A new generation starts next to the serving one, which is terminated once it is ready.
func TestReplacementWaitsForReady(t *testing.T) {
	l := New(cfg, t0)
	l.SetSideBySide(true)
	expect(t, l, l.Want(at(0), true, 1), Stopped, Launch)
	expect(t, l, l.Launched(at(0)), Starting)
	expect(t, l, l.Want(at(0.5), true, 2), Draining, Terminate) // it does not serve yet: nothing is preserved
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

// serving returns an instance whose process of generation 1 serves and can hand over.
func serving() *Supervisor {
	l := New(cfg, t0)
	l.SetSideBySide(true)
	l.Want(at(0), true, 1)
	l.Launched(at(0))
	l.Health(at(1), true, "")
	return l
}

// If a new process exits before it is ready, can't be started or is given up, the previous
// one continues to serve, and the generation is not tried again.
func TestFailedReplacementKeepsPreviousServing(t *testing.T) {
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
			expect(t, l, l.Want(at(101), true, 3), Ready, Launch) // an operator's new attempt
		})
	}
}

// If the new process crashes while the previous one drains, the wanted generation is
// launched after that. If the previous one crashes while the new one starts, the new one
// continues.
func TestCrashDuringReplacement(t *testing.T) {
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
	m := New(cfg, t0) // found by a restarted agent
	m.Adopt(t0, 2)
	m.AdoptPrevious(1)
	expect(t, m, m.Want(at(0), true, 2), Starting)
	m.Health(at(1), true, "")
	expect(t, m, m.Tick(at(1)), Ready, TerminatePrevious)
}

// For every sequence of events: a second process starts only where both can hand over
// and the first one serves, and there is never a third; the previous one is terminated
// only once the new one was ready or none is wanted; SIGKILL is sent once, KillAfter
// after SIGTERM or to a process that never served; and the wanted state is reached once
// events stop.
func TestProperties(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := &machineModel{now: t0, supervisor: New(cfg, t0), generation: 1, launchesFail: true}
		for range rapid.IntRange(1, 60).Draw(t, "events") {
			m.now = m.now.Add(time.Duration(rapid.IntRange(0, 3000).Draw(t, "ms")) * time.Millisecond)
			switch rapid.IntRange(0, 7).Draw(t, "event") {
			case 0:
				m.generation += int64(rapid.IntRange(0, 1).Draw(t, "new"))
				m.wanted = rapid.Bool().Draw(t, "run")
				m.sideBySide = rapid.Bool().Draw(t, "sideBySide")
				m.supervisor.SetSideBySide(m.sideBySide)
				m.carryOut(t, m.supervisor.Want(m.now, m.wanted, m.generation))
			case 1:
				m.exit(t)
			case 2:
				m.exitPrevious(t)
			case 3:
				m.carryOut(t, m.supervisor.GiveUp(m.now, "late"))
			case 4, 5:
				m.health(rapid.Bool().Draw(t, "healthy"))
			default:
				m.carryOut(t, m.supervisor.Tick(m.now))
			}
		}
		m.settle(t)
	})
}

// process is a process of the model.
type process struct {
	generation int64
	ready      bool
	term       time.Time // of SIGTERM, zero for none
	killed     bool
}

// machineModel carries out the actions of a supervisor, and checks each of them.
type machineModel struct {
	now               time.Time
	supervisor        *Supervisor
	previous, current *process
	generation        int64 // wanted
	wanted            bool
	sideBySide        bool
	launchesFail      bool // some of them
}

// carryOut carries out actions and reports what came of them.
func (m *machineModel) carryOut(t *rapid.T, actions []Action) {
	t.Helper()
	for _, action := range actions {
		switch action {
		case Launch:
			m.launch(t)
		case Terminate:
			m.terminate(t, m.current)
		case TerminatePrevious:
			if m.wanted && !m.current.ready {
				t.Fatal("the previous process is terminated before the new one serves")
			}
			m.terminate(t, m.previous)
		case Kill:
			m.kill(t, m.current)
		case KillPrevious:
			m.kill(t, m.previous)
		}
	}
}

func (m *machineModel) launch(t *rapid.T) {
	t.Helper()
	if m.previous != nil || m.current != nil && !(m.sideBySide && m.current.ready && m.current.term.IsZero()) {
		t.Fatal("one process too many")
	}
	if m.launchesFail && rapid.IntRange(0, 4).Draw(t, "fails") == 0 {
		m.carryOut(t, m.supervisor.LaunchFailed(m.now, "no"))
		return
	}
	m.previous, m.current = m.current, &process{generation: m.generation}
	m.carryOut(t, m.supervisor.Launched(m.now))
}

func (m *machineModel) terminate(t *rapid.T, p *process) {
	t.Helper()
	if p == nil || !p.term.IsZero() {
		t.Fatal("SIGTERM to no process, or twice")
	}
	p.term = m.now
}

func (m *machineModel) kill(t *rapid.T, p *process) {
	t.Helper()
	if p == nil || p.killed || (p.term.IsZero() || m.now.Sub(p.term) < cfg.KillAfter) && !(p == m.current && m.previous != nil && !p.ready) {
		t.Fatal("SIGKILL too early, twice or to no process")
	}
	p.killed = true
}

// exit ends the current process, if there is one.
func (m *machineModel) exit(t *rapid.T) {
	t.Helper()
	if m.current != nil {
		m.current, m.previous = m.previous, nil
		m.carryOut(t, m.supervisor.Exited(m.now, "gone"))
	}
}

// exitPrevious ends the previous process, if there is one.
func (m *machineModel) exitPrevious(t *rapid.T) {
	t.Helper()
	if m.previous != nil {
		m.previous = nil
		m.carryOut(t, m.supervisor.PreviousExited(m.now))
	}
}

// health reports a health call.
func (m *machineModel) health(ok bool) {
	if m.current != nil && ok && m.current.term.IsZero() && !m.current.killed {
		m.current.ready = true
	}
	m.supervisor.Health(m.now, ok, "")
}

// settle lets each process do what it is told, and checks that the wanted state is reached.
func (m *machineModel) settle(t *rapid.T) {
	t.Helper()
	m.launchesFail = false
	m.generation++
	m.carryOut(t, m.supervisor.Want(m.now, m.wanted, m.generation))
	for range 12 {
		if m.previous != nil && !m.previous.term.IsZero() {
			m.exitPrevious(t)
		}
		if m.current != nil && (!m.current.term.IsZero() || m.current.killed) {
			m.exit(t)
		}
		if m.current != nil && m.current.term.IsZero() {
			m.current.ready = true
			m.supervisor.Health(m.now, true, "")
		}
		m.now = m.now.Add(10 * time.Second)
		m.carryOut(t, m.supervisor.Tick(m.now))
	}
	if (m.current != nil) != m.wanted || m.previous != nil || m.wanted && m.supervisor.Process() != m.generation || !m.supervisor.Settled() {
		t.Fatalf("wanted %v of %d: process %d, previous %d, %s", m.wanted, m.generation, m.supervisor.Process(), m.supervisor.Previous(), m.supervisor.Phase())
	}
}
