package hollow

import (
	"cmp"
	"fmt"
	"io"
	"os"
	"os/exec"
	"runtime"
	"slices"
	"strings"
	"testing"
	"time"
)

// results writes result lines in the format of Go's benchmarks.
type results struct {
	out         io.Writer
	subscribers int // number of subscribers in the measured fleet
}

// metric is a measured quantity. Its unit contains no space.
type metric struct {
	number float64
	unit   string
}

// newResults writes the lines that describe the machine, the commit and the date. Results go to
// standard output and, unless path is empty, are appended to the file at path.
func newResults(t testing.TB, path string) *results {
	t.Helper()
	var out io.Writer = os.Stdout
	if path != "" {
		file, err := os.OpenFile(path, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
		if err != nil {
			t.Fatalf("open the results file: %v", err)
		}
		t.Cleanup(func() { file.Close() })
		out = io.MultiWriter(file, os.Stdout)
	}
	commit, _ := exec.Command("git", "describe", "--always", "--dirty", "--abbrev=12").Output()
	fmt.Fprintf(out, "goos: %s\ngoarch: %s\ncores: %d\ncommit: %s\ndate: %s\n", runtime.GOOS, runtime.GOARCH, runtime.NumCPU(),
		strings.TrimSpace(string(commit)), time.Now().UTC().Format(time.DateOnly))
	return &results{out: out}
}

// load writes the machine's load average.
func (r *results) load() {
	text, err := os.ReadFile("/proc/loadavg")
	if err == nil {
		fmt.Fprintf(r.out, "load-before: %s\n", strings.Join(strings.Fields(string(text))[:3], " "))
	}
}

// note writes a configuration line: a key and a text.
func (r *results) note(key, text string) { fmt.Fprintf(r.out, "%s: %s\n", key, text) }

// add writes the result line of a case.
func (r *results) add(name string, metrics ...metric) {
	var line strings.Builder
	fmt.Fprintf(&line, "BenchmarkDistribution/case=%s/subscribers=%d 1", name, r.subscribers)
	for _, m := range metrics {
		fmt.Fprintf(&line, " %.6g %s", m.number, m.unit)
	}
	fmt.Fprintln(r.out, line.String())
}

// objectivePerMille is the fraction of all subscribers for which the objective is stated, in
// thousandths.
const objectivePerMille = 999

// delays returns how long after an event 999 in 1,000 subscribers had a change in force, and how
// long after it all of them had. times, of which there is at least one, are sorted.
func delays(event time.Time, times []time.Time) (delay999, delayAll time.Duration) {
	index := (len(times)*objectivePerMille + 999) / 1000
	return times[index-1].Sub(event), times[len(times)-1].Sub(event)
}

// median returns the median of at least one duration; for an even number of them, the greater of
// the two in the middle.
func median(durations []time.Duration) time.Duration {
	sorted := slices.Sorted(slices.Values(durations))
	return sorted[len(sorted)/2]
}

// largest returns the greatest of at least one value.
func largest[T cmp.Ordered](values []T) T { return slices.Max(values) }

func seconds(duration time.Duration) float64 { return duration.Seconds() }
