package recovery

import (
	"fmt"
	"reflect"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// Every shop starts one instance before any starts two, zones take turns, and waves are bounded.
func TestWaves(t *testing.T) {
	places := []Place{
		{"a1", "a", "x"}, {"a2", "a", "x"}, {"a3", "a", "y"}, {"b1", "b", "x"}, {"c1", "c", "y"}, {"c2", "c", "y"}, {"d", "", "z"}, {"e", "", "x"},
	}
	for limit, want := range map[int][][]string{
		0: {{"a1", "c1", "d", "b1", "e"}, {"a2", "c2"}, {"a3"}},
		2: {{"a1", "c1"}, {"d", "b1"}, {"e"}, {"a2", "c2"}, {"a3"}},
	} {
		if got := Waves(places, limit); !reflect.DeepEqual(got, want) {
			t.Errorf("at most %d: %v, want %v", limit, got, want)
		}
	}
}

// Whichever instances become ready, and whenever: each may start within the waves' longest times,
// no wave starts before the one before it, and an instance that may start may do so from then on.
func TestPace(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var places []Place
		const step, never = 100 * ms, time.Hour
		takes := make(map[string]time.Duration) // from its start until it is ready
		for i := range rapid.IntRange(1, 12).Draw(t, "instances") {
			places = append(places, Place{fmt.Sprint(i), fmt.Sprint(rapid.IntRange(0, 4).Draw(t, "shop")), ""})
			takes[fmt.Sprint(i)] = rapid.SampledFrom([]time.Duration{0, step, time.Second, 3 * time.Second, never}).Draw(t, "takes")
		}
		waves := Waves(places, rapid.IntRange(0, 4).Draw(t, "most"))
		cfg := PaceConfig{MinInterval: 200 * ms, MaxInterval: 2 * time.Second, ConsecutiveLosses: rapid.IntRange(0, 40).Draw(t, "losses")}
		p := NewPace(cfg, waves, 0)
		bound := time.Duration(len(waves)) * max(cfg.MaxInterval, cfg.MinInterval*maxIntervalFactor)
		started := make(map[string]time.Duration)
		for now := time.Duration(0); now <= bound+step; now += step {
			for _, place := range places {
				may := p.MayStart(now, place.Name)
				at, before := started[place.Name]
				switch {
				case before && !may:
					t.Fatalf("%s may start at %v and not at %v", place.Name, at, now)
				case may && !before:
					started[place.Name] = now
				case before && now-at >= takes[place.Name]:
					p.Done(place.Name)
				}
			}
		}
		if len(started) != len(places) || !p.Finished(bound+cfg.MaxInterval) {
			t.Fatalf("only %d of %d may start by %v", len(started), len(places), bound)
		}
		for n := 1; n < len(waves); n++ {
			if a, b := started[waves[n-1][0]], started[waves[n][0]]; b-a < cfg.MinInterval-step { // the end of the wave before is seen one step late
				t.Fatalf("wave %d came %v after the one before", n, b-a)
			}
		}
	})
	if !NewPace(PaceConfig{}, nil, 0).MayStart(0, "stranger") {
		t.Error("an instance in no wave is held back")
	}
}
