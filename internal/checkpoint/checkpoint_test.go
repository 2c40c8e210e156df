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

var now = time.UnixMilli(1_800_000_000_000)

func good() Checkpoint {
	return Checkpoint{Name: "10.0.0.4:8081", SavedAt: now.Add(-time.Minute).UnixMilli(), Incarnation: 7, Demand: 4.5, Learned: martendrum.LearnedState{
		HedgeDelay: 0.4, HedgeProbability: 0.2, AcceptedFraction: 1, Primary: []martendrum.LearnedLatency{{Latency: 0.3}},
		Servers: []martendrum.LearnedServer{{Name: "s1", WeightCorrection: 1, Started: time.Hour}},
	}}
}

func saved(t *testing.T, c Checkpoint) (path string, data []byte) {
	t.Helper()
	path = filepath.Join(t.TempDir(), "checkpoint")
	if err := Save(path, c); err != nil {
		t.Fatal(err)
	}
	data, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	return path, data
}

func TestSaveAndLoad(t *testing.T) {
	path, _ := saved(t, good())
	c, age, err := Load(path, good().Name, now)
	if err != nil || age != time.Minute || !reflect.DeepEqual(*c, good()) {
		t.Errorf("loaded %+v, %v, %v", c, age, err)
	}
	if c, _, err := Load(path+"x", good().Name, now); c != nil || err != nil {
		t.Errorf("no file: %+v, %v", c, err)
	}
}

// TestNotTrusted checks that each fault of a file is reported with its reason and advice.
func TestNotTrusted(t *testing.T) {
	edit := func(f func(*Checkpoint)) Checkpoint {
		c := good()
		f(&c)
		return c
	}
	for name, c := range map[string]struct {
		saved Checkpoint
		spoil func([]byte) []byte
		want  Reason
	}{
		"empty":         {good(), func([]byte) []byte { return nil }, Empty},
		"no JSON":       {good(), func([]byte) []byte { return []byte("what is this") }, Damaged},
		"too long":      {good(), func(b []byte) []byte { return append(b, bytes.Repeat([]byte(" "), MaxFileSize)...) }, Damaged},
		"version":       {good(), func(b []byte) []byte { return bytes.Replace(b, []byte(`"version":1`), []byte(`"version":2`), 1) }, OtherVersion},
		"another's":     {edit(func(c *Checkpoint) { c.Name = "10.0.0.5:8081" }), nil, OtherSidecar},
		"days old":      {edit(func(c *Checkpoint) { c.SavedAt -= 48 * time.Hour.Milliseconds() }), nil, Expired},
		"of tomorrow":   {edit(func(c *Checkpoint) { c.SavedAt += 24 * time.Hour.Milliseconds() }), nil, Expired},
		"can't be true": {edit(func(c *Checkpoint) { c.Learned.HedgeProbability = 3 }), nil, Damaged},
		"no demand":     {edit(func(c *Checkpoint) { c.Demand = -1 }), nil, Damaged},
	} {
		t.Run(name, func(t *testing.T) {
			path, data := saved(t, c.saved)
			if c.spoil != nil {
				if err := os.WriteFile(path, c.spoil(data), 0o600); err != nil {
					t.Fatal(err)
				}
			}
			got, _, err := Load(path, good().Name, now)
			if bad, ok := errors.AsType[*NotTrustedError](err); !ok || bad.Reason != c.want || bad.Advice() == "" || got != nil {
				t.Errorf("%+v, %v; want it %s", got, err, c.want)
			}
		})
	}
}

// TestEveryByte cuts the file off at each byte and spoils each byte: nothing may be read
// but what was written.
func TestEveryByte(t *testing.T) {
	path, data := saved(t, good())
	load := func(what string, at int, data []byte) {
		if err := os.WriteFile(path, data, 0o600); err != nil {
			t.Fatal(err)
		}
		c, _, err := Load(path, good().Name, now)
		if err == nil && !reflect.DeepEqual(*c, good()) {
			t.Fatalf("%s at %d was read as %+v", what, at, c)
		}
	}
	for i := range data {
		load("cut off", i, data[:i])
		spoilt := bytes.Clone(data)
		spoilt[i] ^= 1 << (i % 8)
		load("spoilt", i, spoilt)
	}
}
