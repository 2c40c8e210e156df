package rollout

import (
	"fmt"
	"strings"
	"testing"

	"martendrum/internal/fleet/api"
	"pgregory.net/rapid"
)

// targets returns hosts*each targets.
func targets(hosts, each int) (out []api.Target) {
	for h := range hosts {
		for i := range each {
			out = append(out, api.Target{Host: fmt.Sprint("h", h), Instance: fmt.Sprintf("h%d-%d", h, i)})
		}
	}
	return out
}

// play runs a script of events and returns the steps that each of them led to.
func play(t *testing.T, m *Machine, script string) string {
	t.Helper()
	var out strings.Builder
	for _, line := range strings.Split(strings.TrimSpace(script), "\n") {
		var i int
		var host string
		line = strings.TrimSpace(line)
		switch f := strings.Fields(line); f[0] {
		case "next":
		case "ok", "bad", "backok", "backbad", "down", "up":
			fmt.Sscan(f[1], &i)
			switch f[0] {
			case "ok", "bad":
				m.Done(i, api.Change, f[0] == "ok", "reported")
			case "backok", "backbad":
				m.Done(i, api.Rollback, f[0] == "backok", "reported")
			default:
				m.Down(i, f[0] == "down")
			}
		case "silent":
			host = f[1]
			m.Silent(host, "no answer")
		case "answers":
			m.Answers(f[1])
		case "giveup":
			m.GiveUp(f[1])
		case "abort":
			m.Abort("asked for")
		case "stuck":
			m.Stuck()
		default:
			t.Fatal("script:", line)
		}
		fmt.Fprintf(&out, "%s:", line)
		for _, a := range m.Next() {
			if a.Kind == "" {
				fmt.Fprintf(&out, " end %s", m.Result())
			} else {
				fmt.Fprintf(&out, " %s %d", a.Kind, a.Target)
			}
		}
		out.WriteString("\n")
	}
	return out.String()
}

func TestTraces(t *testing.T) {
	policy := api.Policy{Batch: 2, Canaries: 1, MaxUnavailable: 2, MaxFailures: 1, OnFailure: api.OnFailureRollback}
	for name, c := range map[string]struct {
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
		"unavailable instances use up the budget": {func(p *api.Policy) { p.Canaries = 0 }, `
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
			if c.edit != nil {
				c.edit(&p)
			}
			m, err := New(p, targets(2, 2))
			if err != nil {
				t.Fatal(err)
			}
			want := strings.ReplaceAll(strings.TrimSpace(c.want), "\t", "") + "\n"
			var script strings.Builder
			for _, l := range strings.Split(strings.TrimSpace(want), "\n") {
				script.WriteString(l[:strings.IndexByte(l, ':')] + "\n")
			}
			if got := play(t, m, script.String()); got != want {
				t.Errorf("got\n%swant\n%s", got, want)
			}
		})
	}
}

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
			t.Errorf("%+v was accepted", p)
		}
	}
	if _, err := New(good, nil); err == nil {
		t.Error("no targets were accepted")
	}
	if _, err := New(good, append(targets(1, 1), targets(1, 1)...)); err == nil {
		t.Error("a duplicate target was accepted")
	}
}

// For every policy and every sequence of events, the steps that begin never make more
// targets unavailable than allowed, no step begins twice, an instance has at most one
// step at a time, and the rollout ends. A second machine that recalls the agents'
// records where the first one stopped repeats no step.
func TestProperties(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		policy := api.Policy{
			Batch:          rapid.IntRange(1, 5).Draw(t, "batch"),
			Canaries:       rapid.IntRange(0, 3).Draw(t, "canaries"),
			MaxUnavailable: rapid.IntRange(1, 4).Draw(t, "unavailable"),
			MaxFailures:    rapid.IntRange(0, 4).Draw(t, "failures"),
			OnFailure:      rapid.SampledFrom([]string{api.OnFailureStop, api.OnFailureRollback, api.OnFailurePause}).Draw(t, "on"),
		}
		f := newFleetModel(t, policy, targets(rapid.IntRange(1, 4).Draw(t, "hosts"), rapid.IntRange(1, 4).Draw(t, "each")))
		takenOver := 0 // the round in which another command resumed last
		for round := 0; ; round++ {
			if round > 40*len(f.targets)+200 {
				t.Fatal("the rollout does not end")
			}
			began := 0
			for _, action := range f.machine.Next() {
				if action.Kind == "" {
					f.checkEnd(t)
					return
				}
				began++
				f.begin(t, action)
			}
			live := f.live()
			switch event := rapid.IntRange(0, 9).Draw(t, "event"); {
			case event < 6 && len(live) > 0:
				f.finish(rapid.SampledFrom(live).Draw(t, "which"), rapid.IntRange(0, 3).Draw(t, "ok") > 0)
			case event == 6:
				host := rapid.SampledFrom(f.targets).Draw(t, "host").Host
				f.silent[host] = true
				f.machine.Silent(host, "")
			case event == 7:
				host := rapid.SampledFrom(f.targets).Draw(t, "host").Host
				if f.silent[host] {
					delete(f.silent, host)
					f.machine.Answers(host)
				}
			case event == 8 && round > takenOver+10:
				takenOver = round
				f.resume(t)
			default:
				if began == 0 && len(live) == 0 {
					f.stopWaiting(t)
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

// fleetModel is the instances and agents that a rollout acts on. It checks each step and
// the end.
type fleetModel struct {
	machine *Machine
	policy  api.Policy
	targets []api.Target
	records map[step]string // of the agents
	running map[int]step    // by target
	silent  map[string]bool // hosts
	down    map[int]bool    // targets
}

func newFleetModel(t *rapid.T, policy api.Policy, targets []api.Target) *fleetModel {
	t.Helper()
	machine, err := New(policy, targets)
	if err != nil {
		t.Fatal(err)
	}
	return &fleetModel{machine: machine, policy: policy, targets: targets, records: make(map[step]string),
		running: make(map[int]step), silent: make(map[string]bool), down: make(map[int]bool)}
}

// checkEnd checks that nothing runs where it can be seen, and that the result is true.
func (f *fleetModel) checkEnd(t *rapid.T) {
	t.Helper()
	if len(f.running) > 0 {
		for i := range f.running {
			if !f.silent[f.targets[i].Host] {
				t.Fatalf("ended as %s while a step runs", f.machine.Result())
			}
		}
	}
	if f.machine.Result() == "" || f.machine.Next() != nil {
		t.Fatal("the end has no result, or a step follows it")
	}
	if f.machine.Result() == Succeeded {
		for i := range f.targets {
			if f.records[step{i, api.Change}] != api.StepOK {
				t.Fatalf("succeeded, and %d is %q", i, f.records[step{i, api.Change}])
			}
		}
	}
}

// begin begins a step, and checks that it may.
func (f *fleetModel) begin(t *rapid.T, action Action) {
	t.Helper()
	s := step{action.Target, action.Kind}
	if _, twice := f.records[s]; twice {
		t.Fatalf("%v twice", s)
	}
	if other, busy := f.running[action.Target]; busy {
		t.Fatalf("%v while %v runs", s, other)
	}
	if action.Kind == api.Rollback && f.policy.OnFailure != api.OnFailureRollback {
		t.Fatal("a rollback that the policy does not allow")
	}
	unavailable := 0
	for i, target := range f.targets {
		_, busy := f.running[i]
		if i != action.Target && (busy || f.down[i] || f.silent[target.Host]) {
			unavailable++
		}
	}
	if !f.down[action.Target] && unavailable+1 > f.policy.MaxUnavailable {
		t.Fatalf("%v makes %d unavailable", s, unavailable+1)
	}
	f.records[s], f.running[action.Target] = api.StepRunning, s
	delete(f.down, action.Target)
}

// live is the targets with a running step whose host answers.
func (f *fleetModel) live() (out []int) {
	for i := range f.targets {
		if _, ok := f.running[i]; ok && !f.silent[f.targets[i].Host] {
			out = append(out, i)
		}
	}
	return out
}

// finish ends a target's step.
func (f *fleetModel) finish(i int, ok bool) {
	s := f.running[i]
	delete(f.running, i)
	f.records[s] = api.StepOK
	if !ok {
		f.records[s], f.down[i] = api.StepFailed, true
	}
	f.machine.Done(i, s.kind, ok, "")
}

// resume replaces the machine by that of another command, which recalls the agents' records.
func (f *fleetModel) resume(t *rapid.T) {
	t.Helper()
	var err error
	if f.machine, err = New(f.policy, f.targets); err != nil {
		t.Fatal(err)
	}
	for host := range f.silent {
		f.machine.Silent(host, "")
	}
	for _, kind := range []string{api.Change, api.Rollback} {
		for i := range f.targets {
			if status, ok := f.records[step{i, kind}]; ok {
				f.machine.Recall(i, kind, status, "")
			}
		}
	}
	for i := range f.targets {
		f.machine.Down(i, f.down[i])
	}
}

// stopWaiting gives up silent hosts and, if nothing runs, reports the rollout as stuck.
func (f *fleetModel) stopWaiting(t *rapid.T) {
	for host := range f.silent {
		f.machine.GiveUp(host)
	}
	if len(f.running) == 0 || rapid.Bool().Draw(t, "stuck") {
		f.machine.Stuck()
	}
}
