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

// Samples come back after a restart, in order, up to a torn tail; the files stay
// within their bound, and what is written after a restart is read after the next.
func TestJournal(t *testing.T) {
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

// A ring keeps the latest, takes none twice, and tells a rate within one process only.
func TestRing(t *testing.T) {
	r := sampleHistory{limit: 8}
	for n := range int64(100) {
		r.add(sample("i", n))
		r.add(sample("i", n))
	}
	if n := len(r.samples); n < 8 || n > 16 || r.samples[n-1].Boundary != 99 || r.samples[n-2].Boundary != 98 {
		t.Errorf("%d samples, the last %+v", n, r.samples[n-1])
	}
	if got := r.rate(); got != 0.1 { // one more served each 10 s
		t.Errorf("rate %v", got)
	}
	next := sample("i", 100)
	next.Process = "q"
	if r.add(next); r.rate() != 0 || len(r.windows(10*time.Second)) == 0 {
		t.Errorf("rate %v, %d windows over two processes", r.rate(), len(r.windows(10*time.Second)))
	}
}
