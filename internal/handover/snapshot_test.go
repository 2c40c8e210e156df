package handover

import (
	"errors"
	"math"
	"reflect"
	"testing"
	"time"

	"martendrum"
)

// learned returns a state that a Balancer can have learned.
func learned() martendrum.LearnedState {
	return martendrum.LearnedState{
		HedgeDelay: 0.4, HedgeProbability: 0.2, LostFraction: 0.01, ShedLevel: 0.3, ShedLevelAge: time.Second, AcceptedFraction: 0.9, MeanLatency: 0.25,
		Primary: []martendrum.LearnedLatency{{Latency: 0.1}, {Latency: 0.7, Censored: true}},
		Hedges:  []martendrum.LearnedLatency{{Latency: 0.2}},
		Pairs:   [][2]float64{{0.9, 0.1}},
		Servers: []martendrum.LearnedServer{{Name: "a", WeightCorrection: 1.5, LatencySum: 3, LatencyWeight: 2, LatencyAge: time.Second, EjectionRemaining: time.Second}},
	}
}

// saved is the time at which the snapshots of tests were taken.
var saved = time.Unix(1e9, 0)

// encoded returns the encoded snapshot of a state, of the sidecar at a:1.
func encoded(t testing.TB, state martendrum.LearnedState) []byte {
	t.Helper()
	data, err := EncodeSnapshot(Snapshot{Listen: "a:1", SavedAt: saved.UnixNano(), Learned: state})
	if err != nil {
		t.Fatalf("EncodeSnapshot: %v", err)
	}
	return data
}

// TestWarmSnapshot checks that a successor decodes what its predecessor encoded, and rejects a
// snapshot that is corrupted at any byte, truncated anywhere, of another version or sidecar, too
// old, from the future, or has values that no Balancer could have learned.
func TestWarmSnapshot(t *testing.T) {
	data := encoded(t, learned())
	got, age, err := DecodeSnapshot(data, "a:1", saved.Add(3*time.Second))
	if err != nil || age != 3*time.Second || !reflect.DeepEqual(got, learned()) {
		t.Fatalf("DecodeSnapshot() = %+v, %v, %v; want %+v, 3s, nil", got, age, err, learned())
	}
	for n := range data {
		corrupt := append([]byte(nil), data...)
		corrupt[n] ^= 0x10
		if _, _, err := DecodeSnapshot(corrupt, "a:1", saved); err == nil {
			t.Errorf("a snapshot with byte %d corrupted was accepted, want an error", n)
		}
		if _, _, err := DecodeSnapshot(data[:n], "a:1", saved); !errors.Is(err, ErrDamaged) {
			t.Errorf("a snapshot truncated to %d bytes: error = %v, want ErrDamaged", n, err)
		}
	}
	if _, _, err := DecodeSnapshot(data, "b:1", saved); !errors.Is(err, ErrForeign) {
		t.Errorf("a snapshot of another sidecar: error = %v, want ErrForeign", err)
	}
	otherVersion := append([]byte(nil), data...)
	otherVersion[len(snapshotMagic)]++
	if _, _, err := DecodeSnapshot(otherVersion, "a:1", saved); !errors.Is(err, ErrForeign) {
		t.Errorf("a snapshot of another version: error = %v, want ErrForeign", err)
	}
	for _, at := range []time.Time{saved.Add(MaxSnapshotAge + 1), saved.Add(-2 * time.Second)} {
		if _, _, err := DecodeSnapshot(data, "a:1", at); !errors.Is(err, ErrStale) {
			t.Errorf("a snapshot read %v after it was saved: error = %v, want ErrStale", at.Sub(saved), err)
		}
	}
	for name, edit := range map[string]func(*martendrum.LearnedState){
		"probability above 1": func(l *martendrum.LearnedState) { l.HedgeProbability = 1.5 },
		"level below 0":       func(l *martendrum.LearnedState) { l.ShedLevel = -1 },
		"weight of 0":         func(l *martendrum.LearnedState) { l.Servers[0].WeightCorrection = 0 },
		"age below 0":         func(l *martendrum.LearnedState) { l.Servers[0].LatencyAge = -1 },
		"endless ejection":    func(l *martendrum.LearnedState) { l.Servers[0].EjectionRemaining = math.MaxInt64 },
		"too many pairs":      func(l *martendrum.LearnedState) { l.Pairs = make([][2]float64, 2000) },
	} {
		state := learned()
		edit(&state)
		if _, _, err := DecodeSnapshot(encoded(t, state), "a:1", saved); !errors.Is(err, ErrDamaged) {
			t.Errorf("an impossible value (%s): error = %v, want ErrDamaged", name, err)
		}
	}
	if _, err := EncodeSnapshot(Snapshot{Learned: martendrum.LearnedState{HedgeDelay: math.NaN()}}); err == nil {
		t.Error("EncodeSnapshot of NaN succeeded, want an error")
	}
}

// FuzzDecode checks that a snapshot that decodes is encoded and decoded again without a change.
func FuzzDecode(f *testing.F) {
	f.Add(encoded(f, learned()))
	f.Add([]byte("mtdsnap\x01\x00\x00\x00\x00{}"))
	f.Fuzz(func(t *testing.T, data []byte) {
		state, _, err := DecodeSnapshot(data, "a:1", saved)
		if err != nil {
			return
		}
		again, _, err := DecodeSnapshot(encoded(t, state), "a:1", saved)
		if err != nil || !reflect.DeepEqual(state, again) {
			t.Errorf("%+v was encoded and decoded to %+v, %v; want the same state, nil", state, again, err)
		}
	})
}
