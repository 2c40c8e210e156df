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

// TestDraw checks for random members that Draw returns each of them once, that the order does
// not depend on the order of the argument, and that every prefix takes from each zone in
// proportion to its size.
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
			t.Fatalf("Draw of %d members does not contain each index once: %v", n, order)
		}
		if again := Draw(members, seed); !slices.Equal(order, again) {
			t.Fatalf("seed %d gave the order %v, then %v", seed, order, again)
		}
		// The same members in another order give the same order of instances.
		reversed := slices.Clone(members)
		slices.Reverse(reversed)
		for k, i := range Draw(reversed, seed) {
			if reversed[i] != members[order[k]] {
				t.Fatalf("after reversing the members, place %d has %+v, want %+v", k, reversed[i], members[order[k]])
			}
		}
		drawn := make(map[string]int)
		for k, i := range order {
			drawn[members[i].Zone]++
			for zone, size := range zones {
				if share := float64((k+1)*size) / float64(n); math.Abs(float64(drawn[zone])-share) > float64(len(zones)) {
					t.Fatalf("after %d draws, zone %s has %d members; want %.1f within %d", k+1, zone, drawn[zone], share, len(zones))
				}
			}
		}
	})
}

// TestDrawSpreads checks that the first half of the order has about half of the traffic and
// about half of each host's members.
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
			t.Errorf("seed %d: the first half of the order has %.2f of the traffic, want 0.4 to 0.6", seed, sum/all)
		}
		for h, n := range hosts {
			if n < 4 || n > 8 {
				t.Errorf("seed %d: %d of the 12 members of host %s are in the first half, want 4 to 8", seed, n, h)
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
		"10%,50%":           `[] the last of the stages 10%,50% includes 30 of 60 instances; end the stages with 100%`,
		"50%,10%,100%":      `[] stage "10%" is smaller than the one before it`,
		"0":                 `[] stage "0" is neither a number of at least 1 nor a percentage`,
		"101%":              `[] stage "101%" is not a percentage above 0 and up to 100`,
	} {
		got, err := Sizes(text, 60)
		if result := fmt.Sprint(got, " ", err); result != want {
			t.Errorf("Sizes(%q, 60) = %s, want %s", text, result, want)
		}
	}
}

// TestStages plays scripts of observations, which are named in the map below, and compares the
// state after each: the stage, the number of open targets, and ? for a pause or ! for a hold.
// In a script, "same" observes slot 2 again and "release" is an operator's order.
func TestStages(t *testing.T) {
	bad := canary.Judgement{Verdict: canary.Worse, Evidence: []canary.Evidence{{Test: canary.Test{Measure: canary.WeightedLoss}, Verdict: canary.Worse}}}
	unclear := canary.Judgement{Verdict: canary.Inconclusive, Evidence: []canary.Evidence{{Verdict: canary.Inconclusive, Why: "too little traffic"}}}
	observations := map[string]Observation{
		"young":     {HistorySlots: 2, Settled: true},
		"good":      {HistorySlots: 9, Settled: true, Judgement: canary.Judgement{Verdict: canary.NotWorse}},
		"unsettled": {HistorySlots: 9, Judgement: canary.Judgement{Verdict: canary.NotWorse}},
		"unclear":   {HistorySlots: 9, Settled: true, Judgement: unclear},
		"worse":     {HistorySlots: 9, Judgement: bad},
		"gap":       {HistorySlots: 9, Settled: true, Judgement: canary.Judgement{Verdict: canary.NotWorse}, EvidenceGap: "no evidence of h1"},
		"degraded":  {HistorySlots: 9, Settled: true, Judgement: canary.Judgement{Verdict: canary.NotWorse, Degradations: []canary.Degradation{{Measure: canary.Rejections}}}},
	}
	plan := Plan{StageSizes: []int{1, 5, 10}, MinDuration: 2 * time.Second, MaxDuration: 4 * time.Second, Slot: time.Second, HistorySlots: 3, OnInconclusive: Hold}
	for name, test := range map[string]struct{ script, want string }{
		"passes":                              {"young good good good good good good good", "0:0 1:1 1:1 2:5 2:5 3:10 3:10 done"},
		"worse stops":                         {"good good worse good", "1:1 1:1 worse worse"},
		"waits until all targets are changed": {"good unsettled unsettled good good", "1:1 1:1 1:1 1:1 2:5"},
		"slots with an evidence gap do not count":      {"good good gap gap good", "1:1 1:1 1:1? 1:1? 2:5"},
		"degraded unchanged instances pause the stage": {"good good degraded good", "1:1 1:1 1:1? 2:5"},
		"does not begin with an evidence gap":          {"gap good", "0:0? 1:1"},
		"holds, then passes":                           {"good unclear unclear unclear unclear unclear good", "1:1 1:1 1:1 1:1 1:1! 1:1! 2:5"},
		"an operator releases a hold":                  {"good unclear unclear unclear unclear release unclear", "1:1 1:1 1:1 1:1 1:1! 2:5 2:5"},
		"a slot observed twice counts once":            {"good good same same good", "1:1 1:1 1:1 1:1 2:5"},
	} {
		t.Run(name, func(t *testing.T) {
			m, err := New(plan, State{}, 10)
			if err != nil {
				t.Fatalf("New with the zero state: %v", err)
			}
			var states []string
			for n, word := range strings.Fields(test.script) {
				observation := observations[strings.ReplaceAll(word, ".", " ")]
				observation.Slot = n + 1
				switch word {
				case "release":
					if err := m.Release(); err != nil {
						t.Errorf("Release: %v", err)
					}
				case "same":
					m.Observe(Observation{Slot: 2, Settled: true, Judgement: canary.Judgement{Verdict: canary.NotWorse}})
				default:
					m.Observe(observation)
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
				case s.PauseReason != "" && word != "young":
					text += "?"
				}
				states = append(states, text)
				// A machine that resumes from the stored state is in the same state.
				if m, err = New(plan, s, 10); err != nil {
					t.Fatalf("New with the stored state %+v: %v", s, err)
				}
			}
			if got := strings.Join(states, " "); got != test.want {
				t.Errorf("states after each observation:\n got %s\nwant %s", got, test.want)
			}
		})
	}
	m, _ := New(plan, State{Stage: 1, Worse: "it is"}, 10)
	if err := m.Release(); err == nil || !reflect.DeepEqual(m.State(), State{Stage: 1, Worse: "it is"}) {
		t.Errorf("Release of a change that was judged worse: got error %v and state %+v; want an error and no change of the state", err, m.State())
	}
}
