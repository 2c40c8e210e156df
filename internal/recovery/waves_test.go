package recovery

import (
	"fmt"
	"reflect"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// TestWaves checks that every shop starts one instance before any starts two, that zones take turns, and
// that no wave exceeds the limit.
func TestWaves(t *testing.T) {
	places := []Placement{
		{"a1", "a", "x"}, {"a2", "a", "x"}, {"a3", "a", "y"}, {"b1", "b", "x"}, {"c1", "c", "y"}, {"c2", "c", "y"}, {"d", "", "z"}, {"e", "", "x"},
	}
	for limit, want := range map[int][][]string{
		0: {{"a1", "c1", "d", "b1", "e"}, {"a2", "c2"}, {"a3"}},
		2: {{"a1", "c1"}, {"d", "b1"}, {"e"}, {"a2", "c2"}, {"a3"}},
	} {
		if got := Waves(places, limit); !reflect.DeepEqual(got, want) {
			t.Errorf("Waves(places, %d) = %v, want %v", limit, got, want)
		}
	}
}

// TestPace checks, for instances that become ready after random times or never, that each may start
// within the sum of the waves' maximum times, that consecutive waves keep the minimum interval, and that
// an instance that may start may do so from then on.
func TestPace(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var places []Placement
		const step, never = 100 * ms, time.Hour
		readyAfter := make(map[string]time.Duration) // from its start until it is ready
		for i := range rapid.IntRange(1, 12).Draw(t, "instances") {
			places = append(places, Placement{fmt.Sprint(i), fmt.Sprint(rapid.IntRange(0, 4).Draw(t, "shop")), ""})
			readyAfter[fmt.Sprint(i)] = rapid.SampledFrom([]time.Duration{0, step, time.Second, 3 * time.Second, never}).Draw(t, "takes")
		}
		waves := Waves(places, rapid.IntRange(0, 4).Draw(t, "limit"))
		config := StartPacerConfig{MinInterval: 200 * ms, MaxInterval: 2 * time.Second, ConsecutiveLosses: rapid.IntRange(0, 40).Draw(t, "losses")}
		pace := NewStartPacer(config, waves, 0)
		bound := time.Duration(len(waves)) * max(config.MaxInterval, config.MinInterval*maxIntervalFactor)
		started := make(map[string]time.Duration)
		for now := time.Duration(0); now <= bound+step; now += step {
			for _, place := range places {
				may := pace.MayStart(now, place.Name)
				startedAt, hasStarted := started[place.Name]
				switch {
				case hasStarted && !may:
					t.Fatalf("MayStart(%s) = true at %v and false at %v, want true from then on", place.Name, startedAt, now)
				case may && !hasStarted:
					started[place.Name] = now
				case hasStarted && now-startedAt >= readyAfter[place.Name]:
					pace.Done(place.Name)
				}
			}
		}
		if len(started) != len(places) || !pace.Finished(bound+config.MaxInterval) {
			t.Fatalf("%d instances may start by %v, Finished(%v) = %v; want %d, true", len(started), bound, bound+config.MaxInterval, pace.Finished(bound+config.MaxInterval), len(places))
		}
		for n := 1; n < len(waves); n++ {
			if previous, next := started[waves[n-1][0]], started[waves[n][0]]; next-previous < config.MinInterval-step { // the end of the previous wave is noticed up to one step late
				t.Fatalf("wave %d started %v after the previous one, want at least %v", n, next-previous, config.MinInterval-step)
			}
		}
	})
	if !NewStartPacer(StartPacerConfig{}, nil, 0).MayStart(0, "unknown") {
		t.Error("MayStart() = false for an instance in no wave, want true")
	}
}
