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
		p := api.Policy{
			Batch:          rapid.IntRange(1, 5).Draw(t, "batch"),
			Canaries:       rapid.IntRange(0, 3).Draw(t, "canaries"),
			MaxUnavailable: rapid.IntRange(1, 4).Draw(t, "unavailable"),
			MaxFailures:    rapid.IntRange(0, 4).Draw(t, "failures"),
			OnFailure:      rapid.SampledFrom([]string{api.OnFailureStop, api.OnFailureRollback, api.OnFailurePause}).Draw(t, "on"),
		}
		ts := targets(rapid.IntRange(1, 4).Draw(t, "hosts"), rapid.IntRange(1, 4).Draw(t, "each"))
		m, err := New(p, ts)
		if err != nil {
			t.Fatal(err)
		}
		type step struct {
			target int
			kind   string
		}
		record := make(map[step]string) // the agents' records
		running := make(map[int]step)
		silent := make(map[string]bool)
		down := make(map[int]bool)
		last := 0
		for round := 0; ; round++ {
			if round > 40*len(ts)+200 {
				t.Fatal("the rollout does not end")
			}
			began := 0
			for _, a := range m.Next() {
				if a.Kind == "" {
					if len(running) > 0 {
						for i := range running {
							if !silent[ts[i].Host] {
								t.Fatalf("ended as %s while a step runs", m.Result())
							}
						}
					}
					if m.Result() == "" || m.Next() != nil {
						t.Fatal("the end has no result, or a step follows it")
					}
					if m.Result() == Succeeded {
						for i := range ts {
							if record[step{i, api.Change}] != api.StepOK {
								t.Fatalf("succeeded, and %d is %q", i, record[step{i, api.Change}])
							}
						}
					}
					return
				}
				began++
				s := step{a.Target, a.Kind}
				if _, twice := record[s]; twice {
					t.Fatalf("%v twice", s)
				}
				if other, busy := running[a.Target]; busy {
					t.Fatalf("%v while %v runs", s, other)
				}
				if a.Kind == api.Rollback && p.OnFailure != api.OnFailureRollback {
					t.Fatal("a rollback that the policy does not allow")
				}
				count := 0
				for i, x := range ts {
					_, busy := running[i]
					if i != a.Target && (busy || down[i] || silent[x.Host]) {
						count++
					}
				}
				if !down[a.Target] && count+1 > p.MaxUnavailable {
					t.Fatalf("%v makes %d unavailable", s, count+1)
				}
				record[s], running[a.Target] = api.StepRunning, s
				delete(down, a.Target)
			}
			var live []int
			for i := range ts {
				if _, ok := running[i]; ok && !silent[ts[i].Host] {
					live = append(live, i)
				}
			}
			switch event := rapid.IntRange(0, 9).Draw(t, "event"); {
			case event < 6 && len(live) > 0:
				i := rapid.SampledFrom(live).Draw(t, "which")
				ok := rapid.IntRange(0, 3).Draw(t, "ok") > 0
				s := running[i]
				delete(running, i)
				record[s] = api.StepOK
				if !ok {
					record[s], down[i] = api.StepFailed, true
				}
				m.Done(i, s.kind, ok, "")
			case event == 6:
				h := rapid.SampledFrom(ts).Draw(t, "host").Host
				silent[h] = true
				m.Silent(h, "")
			case event == 7:
				h := rapid.SampledFrom(ts).Draw(t, "host").Host
				if silent[h] {
					delete(silent, h)
					m.Answers(h)
				}
			case event == 8 && round > last+10: // another command resumes from the records
				last = round
				if m, err = New(p, ts); err != nil {
					t.Fatal(err)
				}
				for h := range silent {
					m.Silent(h, "")
				}
				for _, kind := range []string{api.Change, api.Rollback} {
					for i := range ts {
						if st, ok := record[step{i, kind}]; ok {
							m.Recall(i, kind, st, "")
						}
					}
				}
				for i := range ts {
					m.Down(i, down[i])
				}
			default:
				if began == 0 && len(live) == 0 {
					for h := range silent {
						m.GiveUp(h)
					}
					if len(running) == 0 || rapid.Bool().Draw(t, "stuck") {
						m.Stuck()
					}
				}
			}
		}
	})
}
