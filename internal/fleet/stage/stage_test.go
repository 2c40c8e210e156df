package stage

import (
	"fmt"
	"math"
	"reflect"
	"slices"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	"martendrum/internal/fleet/canary"
)

func TestDraw(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(1, 120).Draw(t, "n")
		members := make([]Member, n)
		zones := make(map[string]int)
		for i := range members {
			members[i] = Member{Host: fmt.Sprint("h", rapid.IntRange(0, 6).Draw(t, "host")), Instance: fmt.Sprint("i", i),
				Zone: fmt.Sprint("z", rapid.IntRange(0, 3).Draw(t, "zone")), Shop: fmt.Sprint("s", i%9), Rate: rapid.Float64Range(0, 50).Draw(t, "rate")}
			zones[members[i].Zone]++
		}
		seed := rapid.Uint64().Draw(t, "seed")
		order := Draw(members, seed)
		if sorted := slices.Sorted(slices.Values(order)); len(sorted) != n || sorted[0] != 0 || sorted[n-1] != n-1 || len(slices.Compact(sorted)) != n {
			t.Fatalf("not each member once: %v", order)
		}
		if again := Draw(members, seed); !slices.Equal(order, again) {
			t.Fatal("the same seed gave another order")
		}
		// The same members in another order give the same order of instances.
		turned := slices.Clone(members)
		slices.Reverse(turned)
		for k, i := range Draw(turned, seed) {
			if turned[i] != members[order[k]] {
				t.Fatal("the caller's order matters")
			}
		}
		taken := make(map[string]int)
		for k, i := range order {
			taken[members[i].Zone]++
			for z, all := range zones {
				if fair := float64((k+1)*all) / float64(n); math.Abs(float64(taken[z])-fair) > float64(len(zones)) {
					t.Fatalf("after %d, zone %s has %d of its %.1f", k+1, z, taken[z], fair)
				}
			}
		}
	})
}

// Half of a fleet carries about half of the traffic and half of each host's members.
func TestDrawSpreads(t *testing.T) {
	var members []Member
	for i := range 120 {
		members = append(members, Member{Host: fmt.Sprint("h", i%10), Instance: fmt.Sprint("i", i), Zone: fmt.Sprint("z", i%3), Rate: math.Exp(float64(i%17) / 4)})
	}
	for seed := range uint64(20) {
		sum, all, hosts := 0.0, 0.0, make(map[string]int)
		for k, i := range Draw(members, seed) {
			all += members[i].Rate
			if k < 60 {
				sum += members[i].Rate
				hosts[members[i].Host]++
			}
		}
		if sum < 0.4*all || sum > 0.6*all {
			t.Errorf("seed %d: half of the fleet has %.2f of the traffic", seed, sum/all)
		}
		for h, n := range hosts {
			if n < 4 || n > 8 {
				t.Errorf("seed %d: %d of the 12 of host %s are in the first half", seed, n, h)
			}
		}
	}
}

func TestSizes(t *testing.T) {
	for text, want := range map[string]string{
		"1,2%,10%,50%,100%": "[1 6 30 60] <nil>",
		"100%":              "[60] <nil>",
		"1,60":              "[1 60] <nil>",
		"5,99.9%,100%":      "[5 59 60] <nil>",
		"10%,50%":           `[] the last of the stages 10%,50% holds 30 of 60 instances; end them with 100%`,
		"50%,10%,100%":      `[] stage "10%" is smaller than the one before it`,
		"0":                 `[] stage "0" is no number of 1 or more and no percentage`,
		"101%":              `[] stage "101%" is no percentage above 0 and up to 100`,
	} {
		got, err := Sizes(text, 60)
		if s := fmt.Sprint(got, " ", err); s != want {
			t.Errorf("%s: %s; want %s", text, s, want)
		}
	}
}

// A script of observations, and the state after each: stage, open targets, and whether it
// pauses (?) or holds (!).
func TestStages(t *testing.T) {
	bad := canary.Judgement{Verdict: canary.Worse, Evidence: []canary.Evidence{{Test: canary.Test{Measure: canary.WeightedLoss}, Verdict: canary.Worse}}}
	unclear := canary.Judgement{Verdict: canary.Inconclusive, Evidence: []canary.Evidence{{Verdict: canary.Inconclusive, Why: "too little traffic"}}}
	looks := map[string]Observation{
		"young":   {HistorySlots: 2, Settled: true},
		"good":    {HistorySlots: 9, Settled: true, Judgement: canary.Judgement{Verdict: canary.NotWorse}},
		"moving":  {HistorySlots: 9, Judgement: canary.Judgement{Verdict: canary.NotWorse}},
		"unclear": {HistorySlots: 9, Settled: true, Judgement: unclear},
		"worse":   {HistorySlots: 9, Judgement: bad},
		"blind":   {HistorySlots: 9, Settled: true, Judgement: canary.Judgement{Verdict: canary.NotWorse}, EvidenceGap: "no evidence of h1"},
		"bad day": {HistorySlots: 9, Settled: true, Judgement: canary.Judgement{Verdict: canary.NotWorse, Degradations: []canary.Degradation{{Measure: canary.Rejections}}}},
	}
	plan := Plan{Upto: []int{1, 5, 10}, MinDuration: 2 * time.Second, MaxDuration: 4 * time.Second, Slot: time.Second, HistorySlots: 3, OnInconclusive: Hold}
	for name, c := range map[string]struct{ script, want string }{
		"passes":                              {"young good good good good good good good", "0:0 1:1 1:1 2:5 2:5 3:10 3:10 done"},
		"worse stops":                         {"good good worse good", "1:1 1:1 worse worse"},
		"waits until all targets are changed": {"good moving moving good good", "1:1 1:1 1:1 1:1 2:5"},
		"slots with an evidence gap do not count":      {"good good blind blind good", "1:1 1:1 1:1? 1:1? 2:5"},
		"degraded unchanged instances pause the stage": {"good good bad.day good", "1:1 1:1 1:1? 2:5"},
		"does not begin with an evidence gap":          {"blind good", "0:0? 1:1"},
		"holds, then passes":                           {"good unclear unclear unclear unclear unclear good", "1:1 1:1 1:1 1:1 1:1! 1:1! 2:5"},
		"an operator releases a hold":                  {"good unclear unclear unclear unclear release unclear", "1:1 1:1 1:1 1:1 1:1! 2:5 2:5"},
		"a slot observed twice counts once":            {"good good same same good", "1:1 1:1 1:1 1:1 2:5"},
	} {
		t.Run(name, func(t *testing.T) {
			m, err := New(plan, State{}, 10)
			if err != nil {
				t.Fatal(err)
			}
			var out []string
			for n, what := range strings.Fields(c.script) {
				l := looks[strings.ReplaceAll(what, ".", " ")]
				l.Slot = n + 1
				switch what {
				case "release":
					if err := m.Release(); err != nil {
						t.Error(err)
					}
				case "same":
					m.Observe(Observation{Slot: 2, Settled: true, Judgement: canary.Judgement{Verdict: canary.NotWorse}})
				default:
					m.Observe(l)
				}
				s := m.State()
				text := fmt.Sprintf("%d:%d", s.Stage, m.Open())
				switch {
				case s.Worse != "":
					text = "worse"
				case s.Done:
					text = "done"
				case s.HoldReason != "":
					text += "!"
				case s.PauseReason != "" && what != "young":
					text += "?"
				}
				out = append(out, text)
				// A machine that resumes from the stored state is in the same state.
				if m, err = New(plan, s, 10); err != nil {
					t.Fatal(err)
				}
			}
			if got := strings.Join(out, " "); got != c.want {
				t.Errorf("\n got %s\nwant %s", got, c.want)
			}
		})
	}
	m, _ := New(plan, State{Stage: 1, Worse: "it is"}, 10)
	if err := m.Release(); err == nil || !reflect.DeepEqual(m.State(), State{Stage: 1, Worse: "it is"}) {
		t.Errorf("judged worse and released: %v %+v", err, m.State())
	}
}
