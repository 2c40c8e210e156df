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

func sample(instance string, boundary int64) api.Sample {
	return api.Sample{Instance: instance, Boundary: boundary, At: time.Unix(10*boundary, 0), Process: "p", Release: "r",
		Classes: map[string]canary.Counts{"activate": {Served: uint32(boundary)}}, Attempts: uint32(boundary)}
}

// Samples are restored in order after a restart, up to a torn tail. The files stay within their
// limit, and samples that are written after a restart are restored after the next.
func TestMetricsJournal(t *testing.T) {
	path := filepath.Join(t.TempDir(), "figures")
	read := func() (j *metricsJournal, got []int64) {
		t.Helper()
		j, err := openMetricsJournal(path, 10, func(s api.Sample) {
			if want := sample(s.Instance, s.Boundary); !s.At.Equal(want.At) || !reflect.DeepEqual(s.Classes, want.Classes) {
				t.Errorf("read %+v, wrote %+v", s, want)
			}
			got = append(got, s.Boundary)
		})
		if err != nil {
			t.Fatal(err)
		}
		return j, got
	}
	j, got := read()
	if len(got) != 0 {
		t.Fatal(got)
	}
	for n := int64(1); n <= 25; n++ {
		if err := j.write([]api.Sample{sample("i", n)}); err != nil {
			t.Fatal(err)
		}
	}
	j.file.Close()
	j, got = read()
	if len(got) < 10 || len(got) > 20 || got[len(got)-1] != 25 {
		t.Errorf("of 25 with a bound of 10 a file: %v", got)
	}
	if err := j.write([]api.Sample{sample("i", 26), sample("i", 27)}); err != nil {
		t.Fatal(err)
	}
	j.file.Close()
	st, err := os.Stat(path)
	if err == nil {
		err = os.Truncate(path, st.Size()-3)
	}
	if err != nil {
		t.Fatal(err)
	}
	j, got = read()
	j.file.Close()
	if len(got) == 0 || got[len(got)-1] != 26 {
		t.Errorf("behind a torn tail: %v", got)
	}
}

// A history retains the latest samples, ignores duplicates, and measures a rate within one process
// only.
func TestSampleHistory(t *testing.T) {
	history := sampleHistory{limit: 8}
	for n := range int64(100) {
		history.add(sample("i", n))
		history.add(sample("i", n))
	}
	if n := len(history.samples); n < 8 || n > 16 || history.samples[n-1].Boundary != 99 || history.samples[n-2].Boundary != 98 {
		t.Errorf("%d samples, the last %+v", n, history.samples[n-1])
	}
	if got := history.rate(); got != 0.1 { // one more served each 10 s
		t.Errorf("rate %v", got)
	}
	next := sample("i", 100)
	next.Process = "q"
	if history.add(next); history.rate() != 0 || len(history.windows(10*time.Second)) == 0 {
		t.Errorf("rate %v, %d windows over two processes", history.rate(), len(history.windows(10*time.Second)))
	}
}
