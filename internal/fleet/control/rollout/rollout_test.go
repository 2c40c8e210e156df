package rollout

import (
	"fmt"
	"strings"
	"testing"

	"martendrum/internal/fleet/api"
	"pgregory.net/rapid"
)

// targets returns the targets of the given number of hosts, h0, h1, ..., with perHost targets on each.
func targets(hosts, perHost int) (out []api.Target) {
	for h := range hosts {
		for i := range perHost {
			out = append(out, api.Target{Host: fmt.Sprint("h", h), Instance: fmt.Sprintf("h%d-%d", h, i)})
		}
	}
	return out
}

// play runs a script of events on the machine and returns, line by line, each event and the
// steps that Next returned after it. An event is a word, and for some words an argument:
// next does nothing before the call of Next; ok and bad end the change of the target with
// the given index, and backok and backbad its rollback; down and up report whether that
// target is unavailable; silent, answers and giveup call Silent, Answers and GiveUp for the
// given host; abort and stuck call Abort and Stuck.
func play(t *testing.T, m *Machine, script string) string {
	t.Helper()
	var out strings.Builder
	for _, line := range strings.Split(strings.TrimSpace(script), "\n") {
		var i int
		var host string
		line = strings.TrimSpace(line)
		switch fields := strings.Fields(line); fields[0] {
		case "next":
		case "ok", "bad", "backok", "backbad", "down", "up":
			fmt.Sscan(fields[1], &i)
			switch fields[0] {
			case "ok", "bad":
				m.Done(i, api.Change, fields[0] == "ok", "reported")
			case "backok", "backbad":
				m.Done(i, api.Rollback, fields[0] == "backok", "reported")
			default:
				m.Down(i, fields[0] == "down")
			}
		case "silent":
			host = fields[1]
			m.Silent(host, "no answer")
		case "answers":
			m.Answers(fields[1])
		case "giveup":
			m.GiveUp(fields[1])
		case "abort":
			m.Abort("asked for")
		case "stuck":
			m.Stuck()
		default:
			t.Fatalf("unknown event in script line %q", line)
		}
		fmt.Fprintf(&out, "%s:", line)
		for _, action := range m.Next() {
			if action.Kind == "" {
				fmt.Fprintf(&out, " end %s", m.Result())
			} else {
				fmt.Fprintf(&out, " %s %d", action.Kind, action.Target)
			}
		}
		out.WriteString("\n")
	}
	return out.String()
}

// TestTraces plays scripts on two hosts with two targets each (0 and 1 on h0, 2 and 3 on h1)
// and compares the steps that Next returns after each event.
func TestTraces(t *testing.T) {
	policy := api.Policy{Batch: 2, Canaries: 1, MaxUnavailable: 2, MaxFailures: 1, OnFailure: api.OnFailureRollback}
	for name, test := range map[string]struct {
		edit func(*api.Policy)
		want string
	}{
		"all succeed, canary first": {nil, `
			next: change 0
			ok 0: change 1 change 2
			ok 2:
			ok 1: change 3
			ok 3: end succeeded`},
		"a failed canary stops the rollout": {nil, `
			next: change 0
			bad 0: rollback 0
			backok 0: end rolled back`},
		"failures over the limit are rolled back, unavailable targets first": {nil, `
			next: change 0
			ok 0: change 1 change 2
			bad 1:
			bad 2: rollback 1 rollback 2
			backok 1: rollback 0
			backok 2:
			backok 0: end rolled back`},
		"a rollback that fails": {nil, `
			next: change 0
			bad 0: rollback 0
			backbad 0: end rollback incomplete`},
		"stop": {func(p *api.Policy) { p.OnFailure = api.OnFailureStop }, `
			next: change 0
			bad 0: end stopped`},
		"pause": {func(p *api.Policy) { p.OnFailure = api.OnFailurePause }, `
			next: change 0
			bad 0: end paused`},
		"one failure of two that are allowed": {func(p *api.Policy) { p.MaxFailures = 2 }, `
			next: change 0
			ok 0: change 1 change 2
			bad 1:
			ok 2: change 3
			ok 3: end finished with failures`},
		"an agent that goes silent and comes back": {nil, `
			next: change 0
			ok 0: change 1 change 2
			ok 1:
			silent h1:
			answers h1:
			ok 2: change 3
			ok 3: end succeeded`},
		"an agent that stays silent": {nil, `
			next: change 0
			ok 0: change 1 change 2
			ok 1:
			silent h1:
			giveup h1: end incomplete`},
		"unavailable instances count against MaxUnavailable": {func(p *api.Policy) { p.Canaries = 0 }, `
			down 2: change 0
			down 3:
			ok 0:
			up 3: change 1
			ok 1: change 2 change 3
			ok 2:
			ok 3: end succeeded`},
		"stuck": {func(p *api.Policy) { p.Canaries = 0; p.MaxUnavailable = 1; p.OnFailure = api.OnFailureStop }, `
			down 3:
			stuck 0: end stopped`},
		"abort waits for running steps": {nil, `
			next: change 0
			ok 0: change 1 change 2
			abort:
			ok 1:
			bad 2: end aborted`},
	} {
		t.Run(name, func(t *testing.T) {
			p := policy
			if test.edit != nil {
				test.edit(&p)
			}
			m, err := New(p, targets(2, 2))
			if err != nil {
				t.Fatalf("New: %v", err)
			}
			want := strings.ReplaceAll(strings.TrimSpace(test.want), "\t", "") + "\n"
			var script strings.Builder
			for _, l := range strings.Split(strings.TrimSpace(want), "\n") {
				script.WriteString(l[:strings.IndexByte(l, ':')] + "\n")
			}
			if got := play(t, m, script.String()); got != want {
				t.Errorf("the trace differs; got\n%swant\n%s", got, want)
			}
		})
	}
}

// TestCheck checks that New returns an error for each invalid policy and list of targets.
func TestCheck(t *testing.T) {
	good := api.Policy{Batch: 1, MaxUnavailable: 1, OnFailure: api.OnFailureStop}
	for _, edit := range []func(*api.Policy){
		func(p *api.Policy) { p.Batch = 0 }, func(p *api.Policy) { p.MaxUnavailable = 0 },
		func(p *api.Policy) { p.MaxFailures = -1 }, func(p *api.Policy) { p.Canaries = -1 },
		func(p *api.Policy) { p.OnFailure = "" },
	} {
		p := good
		edit(&p)
		if _, err := New(p, targets(1, 1)); err == nil {
			t.Errorf("New accepted the invalid policy %+v", p)
		}
	}
	if _, err := New(good, nil); err == nil {
		t.Error("New accepted an empty list of targets")
	}
	if _, err := New(good, append(targets(1, 1), targets(1, 1)...)); err == nil {
		t.Error("New accepted a duplicate target")
	}
}

// TestProperties checks for random policies and sequences of events that the steps that
// begin never make more targets unavailable than allowed, that no step begins twice, that
// an instance has at most one step at a time, and that the rollout ends. It also checks
// that a second machine, which resumes from the agents' records, repeats no step.
func TestProperties(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		policy := api.Policy{
			Batch:          rapid.IntRange(1, 5).Draw(t, "batch"),
			Canaries:       rapid.IntRange(0, 3).Draw(t, "canaries"),
			MaxUnavailable: rapid.IntRange(1, 4).Draw(t, "unavailable"),
			MaxFailures:    rapid.IntRange(0, 4).Draw(t, "failures"),
			OnFailure:      rapid.SampledFrom([]string{api.OnFailureStop, api.OnFailureRollback, api.OnFailurePause}).Draw(t, "on"),
		}
		model := newFleetModel(t, policy, targets(rapid.IntRange(1, 4).Draw(t, "hosts"), rapid.IntRange(1, 4).Draw(t, "each")))
		lastResume := 0 // the round in which another machine last took over
		for round := 0; ; round++ {
			if round > 40*len(model.targets)+200 {
				t.Fatalf("the rollout has not ended after %d rounds", round)
			}
			began := 0
			for _, action := range model.machine.Next() {
				if action.Kind == "" {
					model.checkEnd(t)
					return
				}
				began++
				model.begin(t, action)
			}
			live := model.live()
			switch event := rapid.IntRange(0, 9).Draw(t, "event"); {
			case event < 6 && len(live) > 0:
				model.finish(rapid.SampledFrom(live).Draw(t, "which"), rapid.IntRange(0, 3).Draw(t, "ok") > 0)
			case event == 6:
				host := rapid.SampledFrom(model.targets).Draw(t, "host").Host
				model.silent[host] = true
				model.machine.Silent(host, "")
			case event == 7:
				host := rapid.SampledFrom(model.targets).Draw(t, "host").Host
				if model.silent[host] {
					delete(model.silent, host)
					model.machine.Answers(host)
				}
			case event == 8 && round > lastResume+10:
				lastResume = round
				model.resume(t)
			default:
				if began == 0 && len(live) == 0 {
					model.stopWaiting(t)
				}
			}
		}
	})
}

// step is a step of one target.
type step struct {
	target int
	kind   string
}

// fleetModel simulates the instances and agents that a rollout acts on. It checks each step
// that begins, and the end of the rollout.
type fleetModel struct {
	machine *Machine
	policy  api.Policy
	targets []api.Target
	records map[step]string // status of each step that has begun, as the agents record it
	running map[int]step    // by target index
	silent  map[string]bool // by host: its agent does not answer
	down    map[int]bool    // by target index: unavailable while no step of it runs
}

func newFleetModel(t *rapid.T, policy api.Policy, targets []api.Target) *fleetModel {
	t.Helper()
	machine, err := New(policy, targets)
	if err != nil {
		t.Fatalf("New: %v", err)
	}
	return &fleetModel{machine: machine, policy: policy, targets: targets, records: make(map[step]string),
		running: make(map[int]step), silent: make(map[string]bool), down: make(map[int]bool)}
}

// checkEnd checks that no step runs at a host that answers, and that the result agrees with
// the agents' records.
func (f *fleetModel) checkEnd(t *rapid.T) {
	t.Helper()
	if len(f.running) > 0 {
		for i := range f.running {
			if !f.silent[f.targets[i].Host] {
				t.Fatalf("the rollout ended as %q while a step of target %d runs", f.machine.Result(), i)
			}
		}
	}
	if f.machine.Result() == "" || f.machine.Next() != nil {
		t.Fatalf("after the end the result is %q; want a result, and want Next to return nil", f.machine.Result())
	}
	if f.machine.Result() == Succeeded {
		for i := range f.targets {
			if f.records[step{i, api.Change}] != api.StepOK {
				t.Fatalf("the rollout ended as succeeded, but the change of target %d has status %q, want %q", i, f.records[step{i, api.Change}], api.StepOK)
			}
		}
	}
}

// begin checks that a step may begin, and begins it.
func (f *fleetModel) begin(t *rapid.T, action Action) {
	t.Helper()
	s := step{action.Target, action.Kind}
	if _, repeated := f.records[s]; repeated {
		t.Fatalf("step %+v began twice", s)
	}
	if other, busy := f.running[action.Target]; busy {
		t.Fatalf("step %+v began while step %+v of the same target runs", s, other)
	}
	if action.Kind == api.Rollback && f.policy.OnFailure != api.OnFailureRollback {
		t.Fatalf("rollback of target %d began, but the policy is %q on failure", action.Target, f.policy.OnFailure)
	}
	unavailable := 0
	for i, target := range f.targets {
		_, busy := f.running[i]
		if i != action.Target && (busy || f.down[i] || f.silent[target.Host]) {
			unavailable++
		}
	}
	if !f.down[action.Target] && unavailable+1 > f.policy.MaxUnavailable {
		t.Fatalf("step %+v makes %d targets unavailable, want at most %d", s, unavailable+1, f.policy.MaxUnavailable)
	}
	f.records[s], f.running[action.Target] = api.StepRunning, s
	delete(f.down, action.Target)
}

// live returns the targets that have a running step and whose host answers.
func (f *fleetModel) live() (out []int) {
	for i := range f.targets {
		if _, ok := f.running[i]; ok && !f.silent[f.targets[i].Host] {
			out = append(out, i)
		}
	}
	return out
}

// finish ends the running step of the target with index i.
func (f *fleetModel) finish(i int, ok bool) {
	s := f.running[i]
	delete(f.running, i)
	f.records[s] = api.StepOK
	if !ok {
		f.records[s], f.down[i] = api.StepFailed, true
	}
	f.machine.Done(i, s.kind, ok, "")
}

// resume replaces the machine by a new one that takes over from the agents' records, as
// another command that resumes the operation does.
func (f *fleetModel) resume(t *rapid.T) {
	t.Helper()
	var err error
	if f.machine, err = New(f.policy, f.targets); err != nil {
		t.Fatalf("New: %v", err)
	}
	for host := range f.silent {
		f.machine.Silent(host, "")
	}
	for _, kind := range []string{api.Change, api.Rollback} {
		for i := range f.targets {
			if status, ok := f.records[step{i, kind}]; ok {
				f.machine.ApplyStep(i, kind, status, "")
			}
		}
	}
	for i := range f.targets {
		f.machine.Down(i, f.down[i])
	}
}

// stopWaiting gives up the silent hosts. It also reports the rollout as stuck, always if no
// step runs and at random otherwise.
func (f *fleetModel) stopWaiting(t *rapid.T) {
	for host := range f.silent {
		f.machine.GiveUp(host)
	}
	if len(f.running) == 0 || rapid.Bool().Draw(t, "stuck") {
		f.machine.Stuck()
	}
}
