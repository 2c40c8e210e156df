package checkpoint

import (
	"os"
	"path/filepath"
	"reflect"
	"testing"
	"time"

	"martendrum/internal/goldentest"
)

// filled returns a checkpoint in which every field has a value, one that Load accepts.
func filled() Checkpoint {
	var checkpoint Checkpoint
	goldentest.Fill(&checkpoint)
	checkpoint.Name, checkpoint.SavedAt, checkpoint.Demand = "10.0.0.4:8081", now.Add(-time.Minute).UnixMilli(), 4.5
	checkpoint.Learned.HedgeProbability, checkpoint.Learned.LostFraction, checkpoint.Learned.ShedLevel, checkpoint.Learned.AcceptedFraction = 0.2, 0.01, 0.3, 0.9
	checkpoint.Learned.Servers[0].WeightCorrection = 1.5
	return checkpoint
}

// TestCheckpointOfEarlierBuild checks that a checkpoint of an earlier build loads with the same
// values, and that these are saved as the same bytes as by that build.
func TestCheckpointOfEarlierBuild(t *testing.T) {
	const golden = "checkpoint.json"
	path := filepath.Join(t.TempDir(), "checkpoint")
	if err := Save(path, filled()); err != nil {
		t.Fatalf("Save: %v", err)
	}
	data, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	goldentest.Compare(t, golden, data)
	got, age, err := Load(goldentest.Path(golden), filled().Name, now)
	if err != nil || age != time.Minute || !reflect.DeepEqual(*got, filled()) {
		t.Errorf("Load() of the earlier build's file = %+v, %v, %v; want %+v, 1m0s, nil", got, age, err, filled())
	}
}
