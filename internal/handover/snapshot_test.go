package handover

import (
	"errors"
	"math"
	"reflect"
	"testing"
	"time"

	"martendrum"
)

func learned() martendrum.LearnedState {
	return martendrum.LearnedState{
		HedgeDelay: 0.4, HedgeProbability: 0.2, LostFraction: 0.01, ShedLevel: 0.3, ShedLevelAge: time.Second, AcceptedFraction: 0.9, MeanLatency: 0.25,
		Primary: []martendrum.LearnedLatency{{Latency: 0.1}, {Latency: 0.7, Censored: true}},
		Hedges:  []martendrum.LearnedLatency{{Latency: 0.2}},
		Pairs:   [][2]float64{{0.9, 0.1}},
		Servers: []martendrum.LearnedServer{{Name: "a", WeightCorrection: 1.5, LatencySum: 3, LatencyWeight: 2, LatencyAge: time.Second, EjectionRemaining: time.Second}},
	}
}

var saved = time.Unix(1e9, 0)

func encoded(t testing.TB, l martendrum.LearnedState) []byte {
	t.Helper()
	data, err := EncodeSnapshot(Snapshot{Listen: "a:1", SavedAt: saved.UnixNano(), Learned: l})
	if err != nil {
		t.Fatal(err)
	}
	return data
}

// TestWarmSnapshot checks that a successor reads what its predecessor wrote, and rejects a
// snapshot that is damaged at any byte, cut anywhere, of another version or sidecar, too
// old, or has values that no Balancer could have learned.
func TestWarmSnapshot(t *testing.T) {
	data := encoded(t, learned())
	got, age, err := DecodeSnapshot(data, "a:1", saved.Add(3*time.Second))
	if err != nil || age != 3*time.Second || !reflect.DeepEqual(got, learned()) {
		t.Fatalf("%+v, %v, %v", got, age, err)
	}
	for n := range data {
		spoilt := append([]byte(nil), data...)
		spoilt[n] ^= 0x10
		if _, _, err := DecodeSnapshot(spoilt, "a:1", saved); err == nil {
			t.Errorf("byte %d may be anything", n)
		}
		if _, _, err := DecodeSnapshot(data[:n], "a:1", saved); !errors.Is(err, ErrDamaged) {
			t.Errorf("cut at %d: %v", n, err)
		}
	}
	if _, _, err := DecodeSnapshot(data, "b:1", saved); !errors.Is(err, ErrForeign) {
		t.Error("another sidecar's:", err)
	}
	next := append([]byte(nil), data...)
	next[len(snapshotMagic)]++
	if _, _, err := DecodeSnapshot(next, "a:1", saved); !errors.Is(err, ErrForeign) {
		t.Error("another version's:", err)
	}
	for _, at := range []time.Time{saved.Add(MaxSnapshotAge + 1), saved.Add(-2 * time.Second)} {
		if _, _, err := DecodeSnapshot(data, "a:1", at); !errors.Is(err, ErrStale) {
			t.Error("stale:", err)
		}
	}
	for name, spoil := range map[string]func(*martendrum.LearnedState){
		"odds":     func(l *martendrum.LearnedState) { l.HedgeProbability = 1.5 },
		"level":    func(l *martendrum.LearnedState) { l.ShedLevel = -1 },
		"weight 0": func(l *martendrum.LearnedState) { l.Servers[0].WeightCorrection = 0 },
		"age":      func(l *martendrum.LearnedState) { l.Servers[0].LatencyAge = -1 },
		"for ever": func(l *martendrum.LearnedState) { l.Servers[0].EjectionRemaining = math.MaxInt64 },
		"too many": func(l *martendrum.LearnedState) { l.Pairs = make([][2]float64, 2000) },
	} {
		l := learned()
		spoil(&l)
		if _, _, err := DecodeSnapshot(encoded(t, l), "a:1", saved); !errors.Is(err, ErrDamaged) {
			t.Errorf("%s: %v", name, err)
		}
	}
	if _, err := EncodeSnapshot(Snapshot{Learned: martendrum.LearnedState{HedgeDelay: math.NaN()}}); err == nil {
		t.Error("what can't be read was written")
	}
}

func FuzzDecode(f *testing.F) {
	f.Add(encoded(f, learned()))
	f.Add([]byte("mtdsnap\x01\x00\x00\x00\x00{}"))
	f.Fuzz(func(t *testing.T, data []byte) {
		l, _, err := DecodeSnapshot(data, "a:1", saved)
		if err != nil {
			return
		}
		again, _, err := DecodeSnapshot(encoded(t, l), "a:1", saved)
		if err != nil || !reflect.DeepEqual(l, again) {
			t.Errorf("%+v came back as %+v, %v", l, again, err)
		}
	})
}
