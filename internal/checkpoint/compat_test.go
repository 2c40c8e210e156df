package checkpoint

import (
	"os"
	"path/filepath"
	"reflect"
	"testing"
	"time"

	"martendrum/internal/goldentest"
)

// filled is a checkpoint with a value in every field, within what Load accepts.
func filled() Checkpoint {
	var c Checkpoint
	goldentest.Fill(&c)
	c.Name, c.SavedAt, c.Demand = "10.0.0.4:8081", now.Add(-time.Minute).UnixMilli(), 4.5
	c.Learned.HedgeProbability, c.Learned.LostFraction, c.Learned.ShedLevel, c.Learned.AcceptedFraction = 0.2, 0.01, 0.3, 0.9
	c.Learned.Servers[0].WeightCorrection = 1.5
	return c
}

// TestCheckpointOfEarlierBuild checks that an earlier build's checkpoint is read with its
// values and written again byte by byte.
func TestCheckpointOfEarlierBuild(t *testing.T) {
	const golden = "checkpoint.json"
	path := filepath.Join(t.TempDir(), "checkpoint")
	if err := Save(path, filled()); err != nil {
		t.Fatal(err)
	}
	data, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	goldentest.Compare(t, golden, data)
	got, age, err := Load(goldentest.Path(golden), filled().Name, now)
	if err != nil || age != time.Minute || !reflect.DeepEqual(*got, filled()) {
		t.Errorf("loaded %+v, %v, %v; want %+v", got, age, err, filled())
	}
}
