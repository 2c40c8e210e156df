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

// fleet simulates a small fleet: instances in two zones, of which some change at slot 20.
// harm, if not nil, edits each window.
func fleet(n, changed, slots int, seed uint64, harm func(w *canary.Window, zone int, isNew bool, slot int)) (canary.Config, []canary.Window) {
	c := canary.Config{Classes: []string{"activate", "status"}, Weights: []float64{10, 1}, Base: "old", Change: "new", Start: 20,
		Slot: 10 * time.Second, FalseStops: 0.01, MaxSlots: 200, Zones: make([]string, n)}
	rng := rand.New(rand.NewPCG(seed, 9))
	var ws []canary.Window
	for i := range n {
		c.Zones[i] = fmt.Sprint("zone-", i%2)
		each := uint32(100 + 300*rng.Float64())
		for s := range slots {
			isNew := i < changed && s >= 20
			if isNew && s == 20 {
				continue
			}
			w := canary.Window{Instance: i, Slot: s, Release: "old", Age: time.Duration(s+1) * 10 * time.Second, Classes: make([]canary.Counts, 2),
				Memory: 20 << 20, Files: 30}
			if isNew {
				w.Release, w.Age = "new", time.Duration(s-19)*10*time.Second
			}
			for k := range w.Classes {
				lost := uint32(rng.IntN(4))
				w.Classes[k] = canary.Counts{Served: each - lost, Rejected: lost}
			}
			w.Attempts = 2*each + uint32(rng.IntN(20))
			w.Finished, w.Sampled = w.Attempts, 2*each
			if harm != nil {
				harm(&w, i%2, isNew, s)
			}
			ws = append(ws, w)
		}
	}
	return c, ws
}

func judged(t *testing.T, c canary.Config, ws []canary.Window) canary.Judgement {
	t.Helper()
	j, err := canary.New(c)
	if err != nil {
		t.Fatal(err)
	}
	for _, w := range ws {
		j.Add(w)
	}
	return j.Evaluate(len(ws))
}

// lose makes a fraction of a class's served requests fail.
func lose(w *canary.Window, class int, share float64) {
	k := &w.Classes[class]
	n := uint32(share * float64(k.Served))
	k.Served, k.Failed = k.Served-n, k.Failed+n
}

func TestVerdicts(t *testing.T) {
	for name, c := range map[string]struct {
		instances, changed int
		harm               func(w *canary.Window, zone int, isNew bool, slot int)
		want               canary.Verdict
		by                 string // the first evidence begins with it
		suffers            bool
		why                string
	}{
		"no harm":     {instances: 30, changed: 6, want: canary.NotWorse},
		"serves less": {instances: 30, changed: 6, want: canary.Worse, by: "unserved of activate", harm: func(w *canary.Window, _ int, isNew bool, _ int) { loseIf(isNew, w, 0, 0.1); loseIf(isNew, w, 1, 0.1) }},
		"one class":   {instances: 30, changed: 6, want: canary.Worse, by: "unserved of status", harm: func(w *canary.Window, _ int, isNew bool, _ int) { loseIf(isNew, w, 1, 0.1) }},
		"one zone":    {instances: 30, changed: 6, want: canary.Worse, by: "unserved of status", harm: func(w *canary.Window, z int, isNew bool, _ int) { loseIf(isNew && z == 1, w, 1, 0.1) }},
		"attempts":    {instances: 30, changed: 6, want: canary.Worse, by: "attempts", harm: func(w *canary.Window, _ int, isNew bool, _ int) { w.Attempts *= 1 + one(isNew) }},
		"slow":        {instances: 30, changed: 6, want: canary.Worse, by: "slow", harm: func(w *canary.Window, _ int, isNew bool, _ int) { w.Slow = one(isNew) * w.Sampled / 10 }},
		"leaks": {instances: 30, changed: 6, want: canary.Worse, by: "memory", harm: func(w *canary.Window, _ int, isNew bool, _ int) {
			w.Memory += uint64(one(isNew)) * uint64(w.Age.Seconds()) << 18
		}},
		"crashes":                      {instances: 30, changed: 6, want: canary.Worse, by: "crashes", harm: func(w *canary.Window, _ int, isNew bool, s int) { w.Crashes = one(isNew && s%3 == 0) }},
		"always worse, changed or not": {instances: 30, changed: 6, want: canary.Inconclusive, harm: func(w *canary.Window, _ int, _ bool, _ int) { loseIf(w.Instance < 6, w, 0, 0.1) }},
		"bad for all":                  {instances: 30, changed: 6, want: canary.Inconclusive, suffers: true, harm: func(w *canary.Window, _ int, _ bool, s int) { loseIf(s > 30, w, 0, 0.3) }},
		"less traffic":                 {instances: 30, changed: 6, want: canary.NotWorse, harm: func(w *canary.Window, _ int, isNew bool, _ int) { thin(w, isNew) }},
		"no unchanged instance":        {instances: 6, changed: 6, want: canary.Inconclusive, why: "no changed instance has both"},
		"too few unchanged instances":  {instances: 6, changed: 4, want: canary.Inconclusive, why: "3 at least"},
		"too few requests":             {instances: 30, changed: 1, want: canary.Inconclusive, why: "too few requests", harm: func(w *canary.Window, _ int, _ bool, s int) { quiet(w, s) }},
	} {
		t.Run(name, func(t *testing.T) {
			cfg, ws := fleet(c.instances, c.changed, 50, 1, c.harm)
			got := judged(t, cfg, ws)
			if got.Verdict != c.want || !strings.HasPrefix(got.Evidence[0].String(), c.by) || !strings.Contains(got.Evidence[0].String(), c.why) {
				t.Errorf("%s by %s; want %s by %q %q", got.Verdict, got.Evidence[0], c.want, c.by, c.why)
			}
			if got.Verdict == canary.Inconclusive && (got.Evidence[0].Zone != "" || !got.Evidence[len(got.Evidence)-1].Advisory) {
				t.Errorf("inconclusive because of an advisory test: %s", got.Evidence[0])
			}
			if (len(got.Degradations) > 0) != c.suffers {
				t.Errorf("suffering: %+v; want any: %v", got.Degradations, c.suffers)
			}
		})
	}
}

func one(b bool) uint32 {
	if b {
		return 1
	}
	return 0
}

func loseIf(b bool, w *canary.Window, class int, share float64) {
	if b {
		lose(w, class, share)
	}
}

func thin(w *canary.Window, isNew bool) {
	if isNew {
		for k := range w.Classes {
			w.Classes[k] = canary.Counts{Served: w.Classes[k].Served / 3, Rejected: w.Classes[k].Rejected / 3}
		}
		w.Attempts, w.Finished, w.Sampled = w.Attempts/3, w.Finished/3, w.Sampled/3
	}
}

func quiet(w *canary.Window, slot int) {
	w.Classes = []canary.Counts{{Served: one(slot%10 == 0)}, {}}
	w.Attempts, w.Finished, w.Sampled = 1, 1, 1
}

// An instance that is changed in a later stage counts as unchanged until then, and the
// evidence so far stays once all instances are changed.
func TestLaterStages(t *testing.T) {
	for lost, want := range map[float64]canary.Verdict{0: canary.NotWorse, 0.08: canary.Worse} {
		// Six change at slot 20, the others at slot 40: from then on no instance is unchanged.
		cfg, ws := fleet(30, 6, 60, 2, func(w *canary.Window, _ int, isNew bool, s int) {
			if isNew = isNew || s >= 40; isNew {
				w.Release = "new"
			}
			loseIf(isNew, w, 0, lost)
		})
		got := judged(t, cfg, ws)
		e := got.Evidence[0]
		if got.Verdict != want || e.Unchanged != 24 || e.Changed != 6 || want == canary.Worse && (e.Estimate < 0.06 || e.Estimate > 0.1) {
			t.Errorf("harm of %v: %s by %s", lost, got.Verdict, e)
		}
		if got.Excluded[canary.NoBaseline] != 20*30 {
			t.Errorf("excluded %v; want %d windows without an unchanged instance", got.Excluded, 20*30)
		}
	}
}

// A judgement does not depend on the order in which windows are added, on evaluations in
// between, or on repeated windows.
func TestOrderAndRepeatsDoNotMatter(t *testing.T) {
	cfg, ws := fleet(12, 4, 30, 3, func(w *canary.Window, _ int, isNew bool, _ int) { loseIf(isNew, w, 0, 0.03) })
	want := judged(t, cfg, ws)
	rapid.Check(t, func(t *rapid.T) {
		mixed := rapid.Permutation(ws).Draw(t, "order")
		j, err := canary.New(cfg)
		if err != nil {
			t.Fatal(err)
		}
		again := rapid.SliceOfN(rapid.IntRange(0, len(ws)-1), 0, 20).Draw(t, "again")
		for n, w := range mixed {
			j.Add(w)
			if n%97 == 0 {
				j.Evaluate(rapid.IntRange(0, 30).Draw(t, "look"))
			}
		}
		for _, n := range again {
			j.Add(ws[n])
		}
		if got := j.Evaluate(len(ws)); !reflect.DeepEqual(got, want) {
			t.Fatalf("%+v\nwant %+v", got.Evidence[0], want.Evidence[0])
		}
	})
}

// Windows of another release, of young processes and beyond the last slot are excluded and
// counted.
func TestExcluded(t *testing.T) {
	cfg, ws := fleet(10, 2, 25, 4, nil)
	cfg.Warm = 20 * time.Second
	other, far, strange := ws[0], ws[1], ws[2]
	other.Release, other.Slot, far.Slot, strange.Instance = "third", 30, 999, 77
	got := judged(t, cfg, append(ws, other, far, strange))
	want := map[canary.Reason]int{canary.OtherRelease: 1, canary.BeyondMaxSlots: 1, canary.Unrecognized: 1, canary.WarmingUp: 20 + 2}
	if !reflect.DeepEqual(got.Excluded, want) {
		t.Errorf("excluded %v, want %v", got.Excluded, want)
	}
}

// The bound holds over all looks together, and informationFor is its inverse.
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
		t.Errorf("%d of %d runs cross a bound of %v", above, runs, alpha)
	}
	for _, r := range []float64{0.01, 0.1, 1} {
		if got := canary.Radius(1/canary.InformationFor(r, scale, alpha), scale, alpha); math.Abs(got-r) > 1e-6*r {
			t.Errorf("radius %v at the information for %v", got, r)
		}
	}
}

// In small simulations, a harmless change passes and a harmful one is stopped.
func TestSimulation(t *testing.T) {
	harms := simulation.Harms()
	for seed := range uint64(12) {
		if at := simulation.Run(60, harms[0], seed)[simulation.Sequential]; at >= 0 {
			t.Errorf("seed %d: stopped without harm after %d slots", seed, at)
		}
		if at := simulation.Run(60, harms[3], seed)[simulation.Sequential]; at < 0 {
			t.Errorf("seed %d: %s, but not stopped", seed, harms[3].Name)
		}
	}
}

func TestDiffer(t *testing.T) {
	const slot = 10 * time.Second
	at := func(n int, off time.Duration) time.Time { return time.Unix(int64(10*n), 0).Add(off) }
	type sample struct {
		boundary  int
		off       time.Duration
		process   string
		served    uint32
		crashes   uint32
		wantSlot  int // -1: no window
		wantServe uint32
	}
	for name, c := range map[string]struct {
		samples  []sample
		excluded map[canary.Reason]int
	}{
		"in order":          {[]sample{{100, 0, "a", 5, 0, -1, 0}, {101, time.Second, "a", 9, 0, 0, 4}, {102, -time.Second, "a", 9, 0, 1, 0}}, nil},
		"a sample repeated": {[]sample{{100, 0, "a", 5, 0, -1, 0}, {101, 0, "a", 9, 0, 0, 4}, {101, 0, "a", 9, 0, -1, 0}}, nil},
		"a gap":             {[]sample{{100, 0, "a", 5, 0, -1, 0}, {103, 0, "a", 9, 0, -1, 0}, {104, 0, "a", 10, 0, 3, 1}}, map[canary.Reason]int{canary.MissingSample: 3}},
		"a new process":     {[]sample{{100, 0, "a", 50, 0, -1, 0}, {101, 0, "b", 60, 0, -1, 0}, {102, 0, "b", 61, 0, 1, 1}}, map[canary.Reason]int{canary.Restarted: 1}},
		"a crash counts":    {[]sample{{100, 0, "a", 50, 0, -1, 0}, {103, 0, "b", 0, 1, 2, 0}}, map[canary.Reason]int{canary.Restarted: 3}},
		"a count that fell": {[]sample{{100, 0, "a", 50, 0, -1, 0}, {101, 0, "a", 49, 0, -1, 0}}, map[canary.Reason]int{canary.CounterDecreased: 1}},
		"off the boundary":  {[]sample{{100, 0, "a", 5, 0, -1, 0}, {101, 4 * time.Second, "a", 6, 0, -1, 0}, {102, 0, "a", 9, 0, -1, 0}}, map[canary.Reason]int{canary.OffBoundary: 1, canary.MissingSample: 2}},
		"before slot 0":     {[]sample{{98, 0, "a", 5, 0, -1, 0}, {99, 0, "a", 6, 0, -1, 0}, {100, 0, "a", 9, 0, -1, 0}}, nil},
	} {
		t.Run(name, func(t *testing.T) {
			d := canary.Differ{Slot: slot, MaxOffset: 2 * time.Second}
			for _, x := range c.samples {
				w, ok := d.Next(canary.Sample{At: at(x.boundary, x.off), Process: x.process, Window: canary.Window{Crashes: x.crashes, Classes: []canary.Counts{{Served: x.served}}}}, 100)
				if ok != (x.wantSlot >= 0) || ok && (w.Slot != x.wantSlot || w.Classes[0].Served != x.wantServe) {
					t.Errorf("boundary %d: %v %+v; want slot %d, %d served", x.boundary, ok, w, x.wantSlot, x.wantServe)
				}
			}
			if !reflect.DeepEqual(d.Excluded, c.excluded) {
				t.Errorf("excluded %v, want %v", d.Excluded, c.excluded)
			}
		})
	}
}

func TestCoarse(t *testing.T) {
	ws := func(served, failed uint32, memory uint64) (out []canary.Window) {
		for range 3 {
			out = append(out, canary.Window{Classes: []canary.Counts{{Served: served, Failed: failed}}, Memory: memory})
		}
		return out
	}
	for want, o := range map[string]canary.LocalHealth{
		"":                      {Windows: ws(1, 100, 90), Limit: 100},
		"it crashes":            {Crashing: true},
		"its health call fails": {Unready: true},
		"it serves nothing":     {Windows: ws(0, 3, 0)},
		"its memory is used up": {Windows: ws(1, 0, 99), Limit: 100},
	} {
		if got := canary.Coarse(o); got != want {
			t.Errorf("%+v: %q, want %q", o, got, want)
		}
	}
	if got := canary.Coarse(canary.LocalHealth{Windows: ws(0, 3, 0)[:2]}); got != "" {
		t.Errorf("two slots: %q", got)
	}
}
