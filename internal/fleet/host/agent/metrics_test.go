package agent

import (
	"os"
	"path/filepath"
	"reflect"
	"testing"
	"time"

	"martendrum/internal/fleet/api"
	"martendrum/internal/fleet/canary"
)

// sample returns a sample of process "p" at a boundary, with as many served requests as the
// boundary's number. Boundaries are 10 s apart.
func sample(instance string, boundary int64) api.Sample {
	return api.Sample{Instance: instance, Boundary: boundary, At: time.Unix(10*boundary, 0), Process: "p", Release: "r",
		Classes: map[string]canary.Counts{"activate": {Served: uint32(boundary)}}, Attempts: uint32(boundary)}
}

// The journal restores samples in order after a restart, up to a torn record at the end. Its files
// stay within their limit, and samples written after a restart are restored after the next one.
func TestMetricsJournal(t *testing.T) {
	path := filepath.Join(t.TempDir(), "figures")
	open := func() (journal *metricsJournal, boundaries []int64) {
		t.Helper()
		journal, err := openMetricsJournal(path, 10, func(s api.Sample) {
			if want := sample(s.Instance, s.Boundary); !s.At.Equal(want.At) || !reflect.DeepEqual(s.Classes, want.Classes) {
				t.Errorf("restored sample %+v, want %+v", s, want)
			}
			boundaries = append(boundaries, s.Boundary)
		})
		if err != nil {
			t.Fatalf("openMetricsJournal: %v", err)
		}
		return journal, boundaries
	}
	journal, boundaries := open()
	if len(boundaries) != 0 {
		t.Fatalf("a new journal restored the boundaries %v, want none", boundaries)
	}
	for n := int64(1); n <= 25; n++ {
		if err := journal.write([]api.Sample{sample("i", n)}); err != nil {
			t.Fatalf("write of sample %d: %v", n, err)
		}
	}
	journal.file.Close()
	journal, boundaries = open()
	if len(boundaries) < 10 || len(boundaries) > 20 || boundaries[len(boundaries)-1] != 25 {
		t.Errorf("restored the boundaries %v; want 10 to 20 of them, up to 25, from two files of 10 samples", boundaries)
	}
	if err := journal.write([]api.Sample{sample("i", 26), sample("i", 27)}); err != nil {
		t.Fatalf("write after the restart: %v", err)
	}
	journal.file.Close()
	st, err := os.Stat(path)
	if err == nil {
		err = os.Truncate(path, st.Size()-3)
	}
	if err != nil {
		t.Fatalf("truncating the journal: %v", err)
	}
	journal, boundaries = open()
	journal.file.Close()
	if len(boundaries) == 0 || boundaries[len(boundaries)-1] != 26 {
		t.Errorf("restored the boundaries %v from a journal whose sample 27 is torn; want them up to 26", boundaries)
	}
}

// A history retains the latest samples, ignores duplicates, and computes a rate only from samples
// of the same process.
func TestSampleHistory(t *testing.T) {
	history := sampleHistory{limit: 8}
	for n := range int64(100) {
		history.add(sample("i", n))
		history.add(sample("i", n))
	}
	if n := len(history.samples); n < 8 || n > 16 || history.samples[n-1].Boundary != 99 || history.samples[n-2].Boundary != 98 {
		t.Errorf("history has %d samples, the last %+v; want 8 to 16, up to boundary 99", n, history.samples[n-1])
	}
	if got := history.rate(); got != 0.1 { // one more request is served in each slot of 10 s
		t.Errorf("rate() = %v, want 0.1", got)
	}
	replaced := sample("i", 100)
	replaced.Process = "q"
	if history.add(replaced); history.rate() != 0 || len(history.windows(10*time.Second)) == 0 {
		t.Errorf("after a new process: rate() = %v, want 0; windows() returned %d windows, want some", history.rate(), len(history.windows(10*time.Second)))
	}
}
