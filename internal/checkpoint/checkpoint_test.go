package checkpoint

import (
	"bytes"
	"errors"
	"os"
	"path/filepath"
	"reflect"
	"testing"
	"time"

	"martendrum"
)

// now is the time at which tests load a checkpoint.
var now = time.UnixMilli(1_800_000_000_000)

// good returns a checkpoint that was saved a minute before now.
func good() Checkpoint {
	return Checkpoint{Name: "10.0.0.4:8081", SavedAt: now.Add(-time.Minute).UnixMilli(), Incarnation: 7, Demand: 4.5, Learned: martendrum.LearnedState{
		HedgeDelay: 0.4, HedgeProbability: 0.2, AcceptedFraction: 1, Primary: []martendrum.LearnedLatency{{Latency: 0.3}},
		Servers: []martendrum.LearnedServer{{Name: "s1", WeightCorrection: 1, Started: time.Hour}},
	}}
}

// saved saves a checkpoint to a new file and returns its path and content.
func saved(t *testing.T, checkpoint Checkpoint) (path string, data []byte) {
	t.Helper()
	path = filepath.Join(t.TempDir(), "checkpoint")
	if err := Save(path, checkpoint); err != nil {
		t.Fatalf("Save: %v", err)
	}
	data, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	return path, data
}

func TestSaveAndLoad(t *testing.T) {
	path, _ := saved(t, good())
	loaded, age, err := Load(path, good().Name, now)
	if err != nil || age != time.Minute || !reflect.DeepEqual(*loaded, good()) {
		t.Errorf("Load() = %+v, %v, %v; want %+v, 1m0s, nil", loaded, age, err, good())
	}
	if loaded, _, err := Load(path+"x", good().Name, now); loaded != nil || err != nil {
		t.Errorf("Load() of a missing file = %+v, %v; want nil, nil", loaded, err)
	}
}

// TestNotTrusted checks that each kind of unusable file is reported with its reason and with advice.
func TestNotTrusted(t *testing.T) {
	edit := func(f func(*Checkpoint)) Checkpoint {
		c := good()
		f(&c)
		return c
	}
	for name, test := range map[string]struct {
		saved   Checkpoint
		corrupt func([]byte) []byte // nil: the file stays as it was saved
		want    Reason
	}{
		"empty":          {good(), func([]byte) []byte { return nil }, Empty},
		"not JSON":       {good(), func([]byte) []byte { return []byte("what is this") }, Damaged},
		"too long":       {good(), func(b []byte) []byte { return append(b, bytes.Repeat([]byte(" "), MaxFileSize)...) }, Damaged},
		"other version":  {good(), func(b []byte) []byte { return bytes.Replace(b, []byte(`"version":1`), []byte(`"version":2`), 1) }, OtherVersion},
		"other sidecar":  {edit(func(c *Checkpoint) { c.Name = "10.0.0.5:8081" }), nil, OtherSidecar},
		"days old":       {edit(func(c *Checkpoint) { c.SavedAt -= 48 * time.Hour.Milliseconds() }), nil, Expired},
		"from tomorrow":  {edit(func(c *Checkpoint) { c.SavedAt += 24 * time.Hour.Milliseconds() }), nil, Expired},
		"impossible":     {edit(func(c *Checkpoint) { c.Learned.HedgeProbability = 3 }), nil, Damaged},
		"demand below 0": {edit(func(c *Checkpoint) { c.Demand = -1 }), nil, Damaged},
	} {
		t.Run(name, func(t *testing.T) {
			path, data := saved(t, test.saved)
			if test.corrupt != nil {
				if err := os.WriteFile(path, test.corrupt(data), 0o600); err != nil {
					t.Fatal(err)
				}
			}
			got, _, err := Load(path, good().Name, now)
			if notTrusted, ok := errors.AsType[*NotTrustedError](err); !ok || notTrusted.Reason != test.want || notTrusted.Advice() == "" || got != nil {
				t.Errorf("Load() = %+v, %v; want nil and a NotTrustedError with reason %q and advice", got, err, test.want)
			}
		})
	}
}

// TestEveryByte truncates the file at each byte and corrupts each byte: Load must return an error or
// exactly what was saved.
func TestEveryByte(t *testing.T) {
	path, data := saved(t, good())
	load := func(change string, at int, data []byte) {
		if err := os.WriteFile(path, data, 0o600); err != nil {
			t.Fatal(err)
		}
		loaded, _, err := Load(path, good().Name, now)
		if err == nil && !reflect.DeepEqual(*loaded, good()) {
			t.Fatalf("Load() of a file %s at byte %d = %+v, want an error", change, at, loaded)
		}
	}
	for i := range data {
		load("truncated", i, data[:i])
		corrupt := bytes.Clone(data)
		corrupt[i] ^= 1 << (i % 8)
		load("corrupted", i, corrupt)
	}
}
