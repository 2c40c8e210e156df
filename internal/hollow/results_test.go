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

// results are lines in the format of Go's benchmarks.
type results struct {
	out         io.Writer
	subscribers int
}

// value is a measured quantity. A unit has no space.
type value struct {
	number float64
	unit   string
}

// newResults writes the lines that describe the machine and the time, to the flag's file if it is
// set.
func newResults(t testing.TB, path string) *results {
	t.Helper()
	var out io.Writer = os.Stdout
	if path != "" {
		file, err := os.OpenFile(path, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { file.Close() })
		out = io.MultiWriter(file, os.Stdout)
	}
	commit, _ := exec.Command("git", "describe", "--always", "--dirty", "--abbrev=12").Output()
	fmt.Fprintf(out, "goos: %s\ngoarch: %s\ncores: %d\ncommit: %s\ndate: %s\n", runtime.GOOS, runtime.GOARCH, runtime.NumCPU(),
		strings.TrimSpace(string(commit)), time.Now().UTC().Format(time.DateOnly))
	return &results{out: out}
}

// load notes the machine's load average.
func (r *results) load() {
	text, err := os.ReadFile("/proc/loadavg")
	if err == nil {
		fmt.Fprintf(r.out, "load-before: %s\n", strings.Join(strings.Fields(string(text))[:3], " "))
	}
}

// note writes a configuration line of words.
func (r *results) note(key, words string) { fmt.Fprintf(r.out, "%s: %s\n", key, words) }

// add writes one result line of a case.
func (r *results) add(name string, values ...value) {
	var line strings.Builder
	fmt.Fprintf(&line, "BenchmarkDistribution/case=%s/subscribers=%d 1", name, r.subscribers)
	for _, value := range values {
		fmt.Fprintf(&line, " %.6g %s", value.number, value.unit)
	}
	fmt.Fprintln(r.out, line.String())
}

// Part of all subscribers for which the objective is stated, in thousandths.
const maxOfThousand = 999

// delays is how long after an event 999 in 1,000 of count and all of them had something in
// force; times are in order.
func delays(after time.Time, times []time.Time) (limit, all time.Duration) {
	index := (len(times)*maxOfThousand + 999) / 1000
	return times[index-1].Sub(after), times[len(times)-1].Sub(after)
}

func middle(durations []time.Duration) time.Duration {
	sorted := slices.Sorted(slices.Values(durations))
	return sorted[len(sorted)/2]
}

// largest returns the greatest of at least one value.
func largest[T cmp.Ordered](values []T) T { return slices.Max(values) }

func seconds(duration time.Duration) float64 { return duration.Seconds() }
