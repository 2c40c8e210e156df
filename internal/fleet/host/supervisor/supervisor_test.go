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

// at returns the time s seconds after t0.
func at(s float64) time.Time { return t0.Add(time.Duration(s * float64(time.Second))) }

// expect fails the test unless a call returned the wanted actions and led to the wanted phase.
func expect(t *testing.T, s *Supervisor, got []Action, phase Phase, want ...Action) {
	t.Helper()
	if fmt.Sprint(got) != fmt.Sprint(want) || s.Phase() != phase {
		t.Fatalf("got phase %s (reason %q) and actions %v, want phase %s and actions %v", s.Phase(), s.Reason(), got, phase, want)
	}
}

// A process of an earlier generation is drained, killed once after KillAfter, and replaced. A process
// that should not run is drained and not launched again.
func TestRestartAndDrain(t *testing.T) {
	s := New(cfg, t0)
	expect(t, s, s.SetDesired(at(0), true, 1), Stopped, Launch)
	expect(t, s, s.Launched(at(0)), Starting)
	s.Health(at(1), true, "")
	expect(t, s, s.SetDesired(at(2), true, 2), Draining, Terminate)
	expect(t, s, s.Tick(at(5.9)), Draining) // SIGKILL is not sent before KillAfter, 4 s
	expect(t, s, s.Tick(at(6)), Draining, Kill)
	expect(t, s, s.Tick(at(7)), Draining) // SIGKILL is sent only once
	expect(t, s, s.Exited(at(7), "killed"), Stopped, Launch)
	expect(t, s, s.Launched(at(7)), Starting)
	expect(t, s, s.SetDesired(at(8), false, 2), Draining, Terminate)
	expect(t, s, s.Exited(at(8), "exit status 0"), Stopped)
	expect(t, s, s.Tick(at(100)), Stopped)
}

// Crashes are followed by growing delays and then by a crash loop, which only a new generation ends.
func TestCrashLoop(t *testing.T) {
	s := New(cfg, t0)
	expect(t, s, s.SetDesired(at(0), true, 1), Stopped, Launch)
	now := 0.0
	for _, delay := range []float64{1, 2, 4} {
		expect(t, s, s.Launched(at(now)), Starting)
		expect(t, s, s.Exited(at(now), "exit status 2"), Backoff)
		expect(t, s, s.Tick(at(now+delay-0.1)), Backoff)
		now += delay
		expect(t, s, s.Tick(at(now)), Backoff, Launch)
	}
	expect(t, s, s.LaunchFailed(at(now), "no such file"), CrashLoop)
	expect(t, s, s.Tick(at(1000)), CrashLoop)
	expect(t, s, s.SetDesired(at(1000), true, 2), CrashLoop, Launch) // an operator has the instance started again
}

// A ready instance becomes unready only after three consecutive failed health checks, and ready again
// after one that succeeds.
func TestUnreadyAfterThreeFailures(t *testing.T) {
	s := New(cfg, t0)
	s.SetDesired(at(0), true, 1)
	s.Launched(at(0))
	s.Health(at(0), false, "refused")
	expect(t, s, nil, Starting)
	s.Health(at(1), true, "")
	for range 2 {
		s.Health(at(2), false, "503")
		expect(t, s, nil, Ready)
	}
	s.Health(at(3), false, "503")
	expect(t, s, nil, Unready)
	s.Health(at(4), true, "")
	expect(t, s, nil, Ready)
}

// An adopted process of the desired generation continues to run; one of another generation is drained.
func TestAdoptedOfAnotherGeneration(t *testing.T) {
	s := New(cfg, t0)
	s.Adopt(t0, 3)
	expect(t, s, s.SetDesired(at(0), true, 3), Starting)
	adopted := New(cfg, t0)
	adopted.Adopt(t0, 2)
	expect(t, adopted, adopted.SetDesired(at(0), true, 3), Draining, Terminate)
}

// A new generation starts next to the serving process, which is terminated once the new one is ready.
func TestReplacementWaitsForReady(t *testing.T) {
	s := New(cfg, t0)
	s.SetSideBySide(true)
	expect(t, s, s.SetDesired(at(0), true, 1), Stopped, Launch)
	expect(t, s, s.Launched(at(0)), Starting)
	expect(t, s, s.SetDesired(at(0.5), true, 2), Draining, Terminate) // the process does not serve yet, so it is not kept until the new one is ready
	expect(t, s, s.Exited(at(1), "exit status 0"), Stopped, Launch)
	s.Launched(at(1))
	s.Health(at(1), true, "")
	expect(t, s, s.SetDesired(at(2), true, 3), Ready, Launch)
	expect(t, s, s.Launched(at(2)), Starting)
	s.Health(at(2.5), false, "refused")
	expect(t, s, s.Tick(at(3)), Starting)
	s.Health(at(3), true, "")
	expect(t, s, s.Tick(at(3)), Ready, TerminatePrevious)
	expect(t, s, s.Tick(at(6.9)), Ready)
	expect(t, s, s.Tick(at(7)), Ready, KillPrevious)
	expect(t, s, s.Tick(at(8)), Ready)
	if s.Settled() || s.Previous() != 2 || s.Process() != 3 {
		t.Errorf("Settled() = %v, Previous() = %d, Process() = %d; want false, 2, 3", s.Settled(), s.Previous(), s.Process())
	}
	expect(t, s, s.PreviousExited(at(8)), Ready)
	if !s.Settled() {
		t.Error("Settled() = false after the exit of the previous process, want true")
	}
}

// serving returns an instance whose process of generation 1 serves and supports the hand-over.
func serving() *Supervisor {
	s := New(cfg, t0)
	s.SetSideBySide(true)
	s.SetDesired(at(0), true, 1)
	s.Launched(at(0))
	s.Health(at(1), true, "")
	return s
}

// If a new process exits before it is ready, can't be started or is abandoned, the previous one
// continues to serve, and the generation is not launched again.
func TestFailedReplacementKeepsPreviousServing(t *testing.T) {
	for name, fail := range map[string]func(s *Supervisor){
		"exits": func(s *Supervisor) {
			expect(t, s, s.Launched(at(2)), Starting)
			expect(t, s, s.Exited(at(3), "exit status 1"), Ready)
		},
		"can't be started": func(s *Supervisor) {
			expect(t, s, s.LaunchFailed(at(2), "no such file"), Ready)
		},
		"is abandoned": func(s *Supervisor) {
			expect(t, s, s.Launched(at(2)), Starting)
			expect(t, s, s.Abandon(at(9), "not ready within 7s"), Draining, Kill)
			expect(t, s, s.Abandon(at(9), "again"), Draining)
			expect(t, s, s.Exited(at(9), "signal: killed"), Ready)
		},
	} {
		t.Run(name, func(t *testing.T) {
			s := serving()
			expect(t, s, s.SetDesired(at(2), true, 2), Ready, Launch)
			fail(s)
			if generation, how := s.Failed(); generation != 2 || how == "" || s.Process() != 1 || s.Reason() == "" {
				t.Errorf("Failed() = %d, %q, Process() = %d, Reason() = %q; want generation 2 and how it failed, process 1, and a reason", generation, how, s.Process(), s.Reason())
			}
			expect(t, s, s.Tick(at(100)), Ready)
			expect(t, s, s.SetDesired(at(100), true, 2), Ready)
			expect(t, s, s.SetDesired(at(101), true, 3), Ready, Launch) // an operator has the instance started again
		})
	}
}

// If the new process crashes while the previous one drains, the desired generation is launched
// again after the previous one has exited. If the previous one crashes while the new one starts, the
// new one continues. If no process should run any more, both are stopped. An adopted pair of
// processes continues its replacement.
func TestCrashDuringReplacement(t *testing.T) {
	replacing := func() *Supervisor {
		s := serving()
		s.SetDesired(at(2), true, 2)
		s.Launched(at(2))
		return s
	}
	s := replacing()
	s.Health(at(3), true, "")
	expect(t, s, s.Tick(at(3)), Ready, TerminatePrevious)
	expect(t, s, s.Exited(at(4), "exit status 2"), Draining)
	expect(t, s, s.Tick(at(7)), Draining, Kill)
	expect(t, s, s.Exited(at(7), "killed"), Stopped, Launch)
	s = replacing()
	expect(t, s, s.PreviousExited(at(3)), Starting)
	s.Health(at(4), true, "")
	expect(t, s, s.Tick(at(4)), Ready)
	s = replacing() // no process should run any more
	expect(t, s, s.SetDesired(at(3), false, 2), Draining, Kill)
	expect(t, s, s.Exited(at(3), "killed"), Draining, Terminate)
	expect(t, s, s.Exited(at(4), "exit status 0"), Stopped)
	adopted := New(cfg, t0) // both processes are found by a restarted agent
	adopted.Adopt(t0, 2)
	adopted.AdoptPrevious(1)
	expect(t, adopted, adopted.SetDesired(at(0), true, 2), Starting)
	adopted.Health(at(1), true, "")
	expect(t, adopted, adopted.Tick(at(1)), Ready, TerminatePrevious)
}

// TestProperties checks these properties for random sequences of events:
//   - A second process is launched only where both support the hand-over and the first one
//     serves. There is never a third one.
//   - The previous process is terminated only once the new one was ready or no process should
//     run.
//   - A process is sent SIGKILL at most once: no sooner than KillAfter after SIGTERM, or at any time
//     if it is a new process that never served.
//   - The desired state is reached once no more events happen.
func TestProperties(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := &machineModel{now: t0, supervisor: New(cfg, t0), generation: 1, launchesFail: true}
		for range rapid.IntRange(1, 60).Draw(t, "events") {
			m.now = m.now.Add(time.Duration(rapid.IntRange(0, 3000).Draw(t, "ms")) * time.Millisecond)
			switch rapid.IntRange(0, 7).Draw(t, "event") {
			case 0:
				m.generation += int64(rapid.IntRange(0, 1).Draw(t, "new"))
				m.desired = rapid.Bool().Draw(t, "run")
				m.sideBySide = rapid.Bool().Draw(t, "sideBySide")
				m.supervisor.SetSideBySide(m.sideBySide)
				m.carryOut(t, m.supervisor.SetDesired(m.now, m.desired, m.generation))
			case 1:
				m.exit(t)
			case 2:
				m.exitPrevious(t)
			case 3:
				m.carryOut(t, m.supervisor.Abandon(m.now, "not ready in time"))
			case 4, 5:
				m.health(rapid.Bool().Draw(t, "healthy"))
			default:
				m.carryOut(t, m.supervisor.Tick(m.now))
			}
		}
		m.settle(t)
	})
}

// process is a simulated process.
type process struct {
	generation int64
	ready      bool
	term       time.Time // when it was sent SIGTERM, zero for never
	killed     bool      // it was sent SIGKILL
}

// machineModel simulates a machine that carries out a supervisor's actions. It checks that each
// action is allowed.
type machineModel struct {
	now               time.Time
	supervisor        *Supervisor
	previous, current *process
	generation        int64 // the desired one
	desired           bool  // whether a process should run
	sideBySide        bool
	launchesFail      bool // some launches fail
}

// carryOut carries out actions and reports their results to the supervisor.
func (m *machineModel) carryOut(t *rapid.T, actions []Action) {
	t.Helper()
	for _, action := range actions {
		switch action {
		case Launch:
			m.launch(t)
		case Terminate:
			m.terminate(t, m.current)
		case TerminatePrevious:
			if m.desired && !m.current.ready {
				t.Fatal("the previous process was sent SIGTERM before the new one was ready")
			}
			m.terminate(t, m.previous)
		case Kill:
			m.kill(t, m.current)
		case KillPrevious:
			m.kill(t, m.previous)
		}
	}
}

// launch starts a process, or lets the launch fail.
func (m *machineModel) launch(t *rapid.T) {
	t.Helper()
	if m.previous != nil || m.current != nil && !(m.sideBySide && m.current.ready && m.current.term.IsZero()) {
		t.Fatalf("a process was launched as a third one (%v), or next to one that does not serve or can't hand over (hand-over supported: %v); want two processes at most, and a second one only while the first serves and can hand over", m.previous != nil, m.sideBySide)
	}
	if m.launchesFail && rapid.IntRange(0, 4).Draw(t, "fails") == 0 {
		m.carryOut(t, m.supervisor.LaunchFailed(m.now, "simulated failure"))
		return
	}
	m.previous, m.current = m.current, &process{generation: m.generation}
	m.carryOut(t, m.supervisor.Launched(m.now))
}

// terminate sends SIGTERM to a process.
func (m *machineModel) terminate(t *rapid.T, p *process) {
	t.Helper()
	if p == nil || !p.term.IsZero() {
		t.Fatalf("SIGTERM was sent without a process (%v) or twice; want it once, to a process", p == nil)
	}
	p.term = m.now
}

// kill sends SIGKILL to a process.
func (m *machineModel) kill(t *rapid.T, p *process) {
	t.Helper()
	if p == nil || p.killed || (p.term.IsZero() || m.now.Sub(p.term) < cfg.KillAfter) && !(p == m.current && m.previous != nil && !p.ready) {
		t.Fatalf("SIGKILL was sent without a process (%v), twice or too early; want it once, %v after SIGTERM or to a new process that never served", p == nil, cfg.KillAfter)
	}
	p.killed = true
}

// exit ends the current process, if there is one.
func (m *machineModel) exit(t *rapid.T) {
	t.Helper()
	if m.current != nil {
		m.current, m.previous = m.previous, nil
		m.carryOut(t, m.supervisor.Exited(m.now, "simulated exit"))
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

// health reports the result of a health check.
func (m *machineModel) health(ok bool) {
	if m.current != nil && ok && m.current.term.IsZero() && !m.current.killed {
		m.current.ready = true
	}
	m.supervisor.Health(m.now, ok, "")
}

// settle lets processes become ready, and exit when they are sent a signal, without further faults.
// It checks that the desired state is reached.
func (m *machineModel) settle(t *rapid.T) {
	t.Helper()
	m.launchesFail = false
	m.generation++
	m.carryOut(t, m.supervisor.SetDesired(m.now, m.desired, m.generation))
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
	if (m.current != nil) != m.desired || m.previous != nil || m.desired && m.supervisor.Process() != m.generation || !m.supervisor.Settled() {
		t.Fatalf("desired state (process should run: %v, generation %d) not reached: process %d, previous process %d, phase %s", m.desired, m.generation, m.supervisor.Process(), m.supervisor.Previous(), m.supervisor.Phase())
	}
}
