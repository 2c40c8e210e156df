package canary_test

import (
	"fmt"
	"math"
	"math/rand/v2"
	"reflect"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	"martendrum/internal/fleet/canary"
	"martendrum/internal/fleet/canary/simulation"
)

// fleet returns the configuration and the windows of a small simulated fleet: instances in two
// zones, of which the first ones run the change from slot 20 on. harm, if not nil, edits each
// window; isNew reports whether the window is of an instance that runs the change.
func fleet(instances, changed, slots int, seed uint64, harm func(w *canary.Window, zone int, isNew bool, slot int)) (canary.Config, []canary.Window) {
	c := canary.Config{Classes: []string{"activate", "status"}, Weights: []float64{10, 1}, Base: "old", Change: "new", Start: 20,
		Slot: 10 * time.Second, FalseStops: 0.01, MaxSlots: 200, Zones: make([]string, instances)}
	rng := rand.New(rand.NewPCG(seed, 9))
	var windows []canary.Window
	for i := range instances {
		c.Zones[i] = fmt.Sprint("zone-", i%2)
		requestsPerClass := uint32(100 + 300*rng.Float64())
		for s := range slots {
			isNew := i < changed && s >= 20
			if isNew && s == 20 {
				continue // its process is replaced in this slot
			}
			w := canary.Window{Instance: i, Slot: s, Release: "old", Age: time.Duration(s+1) * 10 * time.Second, Classes: make([]canary.Counts, 2),
				Memory: 20 << 20, Files: 30}
			if isNew {
				w.Release, w.Age = "new", time.Duration(s-19)*10*time.Second
			}
			for k := range w.Classes {
				lost := uint32(rng.IntN(4))
				w.Classes[k] = canary.Counts{Served: requestsPerClass - lost, Rejected: lost}
			}
			w.Attempts = 2*requestsPerClass + uint32(rng.IntN(20))
			w.Finished, w.Sampled = w.Attempts, 2*requestsPerClass
			if harm != nil {
				harm(&w, i%2, isNew, s)
			}
			windows = append(windows, w)
		}
	}
	return c, windows
}

// evaluate returns the judgement of all windows.
func evaluate(t *testing.T, c canary.Config, windows []canary.Window) canary.Judgement {
	t.Helper()
	j, err := canary.New(c)
	if err != nil {
		t.Fatalf("New: %v", err)
	}
	for _, w := range windows {
		j.Add(w)
	}
	return j.Evaluate(len(windows))
}

// failRequests makes a fraction of the served requests of a class fail.
func failRequests(w *canary.Window, class int, fraction float64) {
	counts := &w.Classes[class]
	n := uint32(fraction * float64(counts.Served))
	counts.Served, counts.Failed = counts.Served-n, counts.Failed+n
}

// Each kind of harm at the changed instances leads to the expected verdict, decided by the
// expected test. Differences that the change does not cause are not judged worse.
func TestVerdicts(t *testing.T) {
	for name, c := range map[string]struct {
		instances, changed int
		harm               func(w *canary.Window, zone int, isNew bool, slot int)
		want               canary.Verdict
		firstTest          string // prefix of the first evidence
		wantDegraded       bool   // the unchanged instances have become worse
		why                string // part of the first evidence
	}{
		"no harm":               {instances: 30, changed: 6, want: canary.NotWorse},
		"fewer requests served": {instances: 30, changed: 6, want: canary.Worse, firstTest: "unserved of activate", harm: func(w *canary.Window, _ int, isNew bool, _ int) { failIf(isNew, w, 0, 0.1); failIf(isNew, w, 1, 0.1) }},
		"harm to one class":     {instances: 30, changed: 6, want: canary.Worse, firstTest: "unserved of status", harm: func(w *canary.Window, _ int, isNew bool, _ int) { failIf(isNew, w, 1, 0.1) }},
		"harm in one zone":      {instances: 30, changed: 6, want: canary.Worse, firstTest: "unserved of status", harm: func(w *canary.Window, z int, isNew bool, _ int) { failIf(isNew && z == 1, w, 1, 0.1) }},
		"more attempts":         {instances: 30, changed: 6, want: canary.Worse, firstTest: "attempts", harm: func(w *canary.Window, _ int, isNew bool, _ int) { w.Attempts *= 1 + one(isNew) }},
		"slow requests":         {instances: 30, changed: 6, want: canary.Worse, firstTest: "slow", harm: func(w *canary.Window, _ int, isNew bool, _ int) { w.Slow = one(isNew) * w.Sampled / 10 }},
		"memory leak": {instances: 30, changed: 6, want: canary.Worse, firstTest: "memory", harm: func(w *canary.Window, _ int, isNew bool, _ int) {
			w.Memory += uint64(one(isNew)) * uint64(w.Age.Seconds()) << 18
		}},
		"crashes":                           {instances: 30, changed: 6, want: canary.Worse, firstTest: "crashes", harm: func(w *canary.Window, _ int, isNew bool, s int) { w.Crashes = one(isNew && s%3 == 0) }},
		"instances that were always worse":  {instances: 30, changed: 6, want: canary.Inconclusive, harm: func(w *canary.Window, _ int, _ bool, _ int) { failIf(w.Instance < 6, w, 0, 0.1) }},
		"more failures at all instances":    {instances: 30, changed: 6, want: canary.Inconclusive, wantDegraded: true, harm: func(w *canary.Window, _ int, _ bool, s int) { failIf(s > 30, w, 0, 0.3) }},
		"less traffic at changed instances": {instances: 30, changed: 6, want: canary.NotWorse, harm: func(w *canary.Window, _ int, isNew bool, _ int) { divideTraffic(w, isNew) }},
		"no unchanged instance":             {instances: 6, changed: 6, want: canary.Inconclusive, why: "no changed instance has both windows from before and windows from after"},
		"too few unchanged instances":       {instances: 6, changed: 4, want: canary.Inconclusive, why: "at least 3 are needed"},
		"too few requests":                  {instances: 30, changed: 1, want: canary.Inconclusive, why: "too few requests", harm: func(w *canary.Window, _ int, _ bool, s int) { leaveOneRequest(w, s) }},
	} {
		t.Run(name, func(t *testing.T) {
			cfg, windows := fleet(c.instances, c.changed, 50, 1, c.harm)
			got := evaluate(t, cfg, windows)
			if got.Verdict != c.want || !strings.HasPrefix(got.Evidence[0].String(), c.firstTest) || !strings.Contains(got.Evidence[0].String(), c.why) {
				t.Errorf("Evaluate() = %q with first evidence %q; want %q with first evidence that begins with %q and contains %q", got.Verdict, got.Evidence[0], c.want, c.firstTest, c.why)
			}
			if got.Verdict == canary.Inconclusive && (got.Evidence[0].Zone != "" || !got.Evidence[len(got.Evidence)-1].Advisory) {
				t.Errorf("an inconclusive judgement has first evidence %q and last evidence %q; want the first over all zones and the last advisory", got.Evidence[0], got.Evidence[len(got.Evidence)-1])
			}
			if (len(got.Degradations) > 0) != c.wantDegraded {
				t.Errorf("Evaluate() found the degradations %+v; want any: %v", got.Degradations, c.wantDegraded)
			}
		})
	}
}

// one returns 1 if b is true, otherwise 0.
func one(b bool) uint32 {
	if b {
		return 1
	}
	return 0
}

// failIf makes a fraction of the served requests of a class fail if b is true.
func failIf(b bool, w *canary.Window, class int, fraction float64) {
	if b {
		failRequests(w, class, fraction)
	}
}

// divideTraffic leaves a third of the traffic of a window if it is of the new release.
func divideTraffic(w *canary.Window, isNew bool) {
	if isNew {
		for k := range w.Classes {
			w.Classes[k] = canary.Counts{Served: w.Classes[k].Served / 3, Rejected: w.Classes[k].Rejected / 3}
		}
		w.Attempts, w.Finished, w.Sampled = w.Attempts/3, w.Finished/3, w.Sampled/3
	}
}

// leaveOneRequest leaves one request in every tenth slot and none in the others.
func leaveOneRequest(w *canary.Window, slot int) {
	w.Classes = []canary.Counts{{Served: one(slot%10 == 0)}, {}}
	w.Attempts, w.Finished, w.Sampled = 1, 1, 1
}

// An instance that is changed in a later stage counts as unchanged until then. The evidence
// from before remains valid once all instances are changed.
func TestLaterStages(t *testing.T) {
	for lost, want := range map[float64]canary.Verdict{0: canary.NotWorse, 0.08: canary.Worse} {
		// Six instances are changed at slot 20 and the others at slot 40, from which on no
		// instance is unchanged.
		cfg, windows := fleet(30, 6, 60, 2, func(w *canary.Window, _ int, isNew bool, s int) {
			if isNew = isNew || s >= 40; isNew {
				w.Release = "new"
			}
			failIf(isNew, w, 0, lost)
		})
		got := evaluate(t, cfg, windows)
		e := got.Evidence[0]
		if got.Verdict != want || e.Unchanged != 24 || e.Changed != 6 || want == canary.Worse && (e.Estimate < 0.06 || e.Estimate > 0.1) {
			t.Errorf("a fraction of %v lost: Evaluate() = %q with first evidence %q (%d unchanged, %d changed, estimate %v); want %q, 24 unchanged, 6 changed, and if worse an estimate of 0.06 to 0.1", lost, got.Verdict, e, e.Unchanged, e.Changed, e.Estimate, want)
		}
		if got.Excluded[canary.NoBaseline] != 20*30 {
			t.Errorf("Evaluate() excluded %v; want %d windows as %q", got.Excluded, 20*30, canary.NoBaseline)
		}
	}
}

// A judgement does not depend on the order in which windows are added, on evaluations between
// additions, or on windows that are added again.
func TestOrderAndRepeatsDoNotMatter(t *testing.T) {
	cfg, windows := fleet(12, 4, 30, 3, func(w *canary.Window, _ int, isNew bool, _ int) { failIf(isNew, w, 0, 0.03) })
	want := evaluate(t, cfg, windows)
	rapid.Check(t, func(t *rapid.T) {
		shuffled := rapid.Permutation(windows).Draw(t, "order")
		j, err := canary.New(cfg)
		if err != nil {
			t.Fatalf("New: %v", err)
		}
		again := rapid.SliceOfN(rapid.IntRange(0, len(windows)-1), 0, 20).Draw(t, "again")
		for n, w := range shuffled {
			j.Add(w)
			if n%97 == 0 {
				j.Evaluate(rapid.IntRange(0, 30).Draw(t, "look"))
			}
		}
		for _, n := range again {
			j.Add(windows[n])
		}
		if got := j.Evaluate(len(windows)); !reflect.DeepEqual(got, want) {
			t.Fatalf("Evaluate() of shuffled windows = %+v\nwant the same as in order: %+v", got, want)
		}
	})
}

// Windows of another release, of processes that are still warming up, of unknown instances and
// of slots from MaxSlots on are excluded and counted.
func TestExcluded(t *testing.T) {
	cfg, windows := fleet(10, 2, 25, 4, nil)
	cfg.WarmUp = 20 * time.Second
	otherRelease, beyondMax, unknownInstance := windows[0], windows[1], windows[2]
	otherRelease.Release, otherRelease.Slot, beyondMax.Slot, unknownInstance.Instance = "third", 30, 999, 77
	got := evaluate(t, cfg, append(windows, otherRelease, beyondMax, unknownInstance))
	want := map[canary.Reason]int{canary.OtherRelease: 1, canary.BeyondMaxSlots: 1, canary.Unrecognized: 1, canary.WarmingUp: 20 + 2}
	if !reflect.DeepEqual(got.Excluded, want) {
		t.Errorf("Evaluate() excluded %v, want %v", got.Excluded, want)
	}
}

// The bound holds over repeated looks at growing data, and InformationFor is the inverse of
// Radius.
func TestBoundUnderPeeking(t *testing.T) {
	rng := rand.New(rand.NewPCG(5, 5))
	const alpha, scale, runs = 0.05, 0.1, 2000
	above := 0
	for range runs {
		sum := 0.0
		for n := 1; n <= 1000; n++ {
			sum += rng.NormFloat64()
			if sum/float64(n) > canary.Radius(1/float64(n), scale, alpha) {
				above++
				break
			}
		}
	}
	if above > alpha*runs {
		t.Errorf("the mean exceeded the bound in %d of %d runs, want a fraction of at most %v", above, runs, alpha)
	}
	for _, r := range []float64{0.01, 0.1, 1} {
		if got := canary.Radius(1/canary.InformationFor(r, scale, alpha), scale, alpha); math.Abs(got-r) > 1e-6*r {
			t.Errorf("Radius() at InformationFor(%v) = %v, want %v", r, got, r)
		}
	}
}

// In simulations of small fleets, a harmless change is not stopped and a harmful one is.
func TestSimulation(t *testing.T) {
	harms := simulation.Harms()
	for seed := range uint64(12) {
		if at := simulation.Run(60, harms[0], seed)[simulation.Sequential]; at >= 0 {
			t.Errorf("seed %d: a harmless change was stopped after %d slots, want it never stopped", seed, at)
		}
		if at := simulation.Run(60, harms[3], seed)[simulation.Sequential]; at < 0 {
			t.Errorf("seed %d: a change with the harm %q was never stopped, want it stopped", seed, harms[3].Name)
		}
	}
}

// A WindowBuilder returns the window between two samples of successive boundaries, and counts the
// slots without a complete one.
func TestWindowBuilder(t *testing.T) {
	const slot = 10 * time.Second
	at := func(n int, off time.Duration) time.Time { return time.Unix(int64(10*n), 0).Add(off) }
	type sample struct {
		boundary   int
		off        time.Duration
		process    string
		served     uint32
		crashes    uint32
		wantSlot   int // -1: no window
		wantServed uint32
	}
	for name, c := range map[string]struct {
		samples  []sample
		excluded map[canary.Reason]int
	}{
		"successive samples":        {[]sample{{100, 0, "a", 5, 0, -1, 0}, {101, time.Second, "a", 9, 0, 0, 4}, {102, -time.Second, "a", 9, 0, 1, 0}}, nil},
		"a repeated sample":         {[]sample{{100, 0, "a", 5, 0, -1, 0}, {101, 0, "a", 9, 0, 0, 4}, {101, 0, "a", 9, 0, -1, 0}}, nil},
		"two missing samples":       {[]sample{{100, 0, "a", 5, 0, -1, 0}, {103, 0, "a", 9, 0, -1, 0}, {104, 0, "a", 10, 0, 3, 1}}, map[canary.Reason]int{canary.MissingSample: 3}},
		"a new process":             {[]sample{{100, 0, "a", 50, 0, -1, 0}, {101, 0, "b", 60, 0, -1, 0}, {102, 0, "b", 61, 0, 1, 1}}, map[canary.Reason]int{canary.Restarted: 1}},
		"a crash":                   {[]sample{{100, 0, "a", 50, 0, -1, 0}, {103, 0, "b", 0, 1, 2, 0}}, map[canary.Reason]int{canary.Restarted: 3}},
		"a decreased counter":       {[]sample{{100, 0, "a", 50, 0, -1, 0}, {101, 0, "a", 49, 0, -1, 0}}, map[canary.Reason]int{canary.CounterDecreased: 1}},
		"a sample off the boundary": {[]sample{{100, 0, "a", 5, 0, -1, 0}, {101, 4 * time.Second, "a", 6, 0, -1, 0}, {102, 0, "a", 9, 0, -1, 0}}, map[canary.Reason]int{canary.OffBoundary: 1, canary.MissingSample: 2}},
		"samples before slot 0":     {[]sample{{98, 0, "a", 5, 0, -1, 0}, {99, 0, "a", 6, 0, -1, 0}, {100, 0, "a", 9, 0, -1, 0}}, nil},
	} {
		t.Run(name, func(t *testing.T) {
			d := canary.WindowBuilder{Slot: slot, MaxOffset: 2 * time.Second}
			for _, x := range c.samples {
				w, ok := d.Next(canary.Sample{At: at(x.boundary, x.off), Process: x.process, Window: canary.Window{Crashes: x.crashes, Classes: []canary.Counts{{Served: x.served}}}}, 100)
				if ok != (x.wantSlot >= 0) || ok && (w.Slot != x.wantSlot || w.Classes[0].Served != x.wantServed) {
					t.Errorf("Next() at boundary %d = %+v, %v; want slot %d (-1: no window) with %d served", x.boundary, w, ok, x.wantSlot, x.wantServed)
				}
			}
			if !reflect.DeepEqual(d.Excluded, c.excluded) {
				t.Errorf("Next() excluded %v, want %v", d.Excluded, c.excluded)
			}
		})
	}
}

// CheckLocalHealth returns the reason for rolling an instance back. Fewer than three windows
// are never such a reason.
func TestCheckLocalHealth(t *testing.T) {
	threeWindows := func(served, failed uint32, memory uint64) (out []canary.Window) {
		for range 3 {
			out = append(out, canary.Window{Classes: []canary.Counts{{Served: served, Failed: failed}}, Memory: memory})
		}
		return out
	}
	for want, health := range map[string]canary.LocalHealth{
		"":                                   {Windows: threeWindows(1, 100, 90), Limit: 100},
		"it crashes":                         {Crashing: true},
		"its health call fails":              {Unready: true},
		"it serves no request":               {Windows: threeWindows(0, 3, 0)},
		"its memory limit is nearly used up": {Windows: threeWindows(1, 0, 99), Limit: 100},
	} {
		if got := canary.CheckLocalHealth(health); got != want {
			t.Errorf("CheckLocalHealth(%+v) = %q, want %q", health, got, want)
		}
	}
	if got := canary.CheckLocalHealth(canary.LocalHealth{Windows: threeWindows(0, 3, 0)[:2]}); got != "" {
		t.Errorf("CheckLocalHealth() with two windows = %q, want \"\"", got)
	}
}
