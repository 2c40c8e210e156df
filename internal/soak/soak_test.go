package soak

import (
	"flag"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"
)

var (
	seedCount    = flag.Int("soak.seeds", 0, "number of seeds to run; 0: as many as in CI")
	firstSeed    = flag.Uint64("soak.from", 1, "the first seed; the others follow it")
	parallelRuns = flag.Int("soak.side", 4, "number of scripts that run at the same time")
	maxSidecars  = flag.Int("soak.sidecars", 3, "maximum number of sidecars of a script")
	maxRunLength = flag.Duration("soak.length", 8*time.Second, "maximum length of a run")
	scriptFile   = flag.String("soak.script", "", "file with a script to run in place of those of the seeds")
	keepFailing  = flag.String("soak.keep", "", "folder for the scripts and logs of failing seeds; empty: a temporary folder")
)

// ciSeeds is the number of seeds that CI runs.
const ciSeeds = 12

// programs are the paths of the sidecar's two builds under test: as operators build it, and with
// seams.
var programs struct {
	once                sync.Once
	standard, withSeams string
	err                 error
}

// build builds, at its first call, the sidecar as operators do, and once more with seams, by which
// it breaks a rule on demand.
func build(t *testing.T) {
	t.Helper()
	programs.once.Do(func() {
		directory, err := os.MkdirTemp("", "soak")
		if err != nil {
			programs.err = err
			return
		}
		programs.standard, programs.withSeams = filepath.Join(directory, "sidecar"), filepath.Join(directory, "seamed")
		for _, args := range [][]string{{"-o", programs.standard}, {"-tags", "seams", "-o", programs.withSeams}} {
			command := exec.Command("go", append([]string{"build", "-ldflags=-linkmode=external"}, append(args, "martendrum/cmd/sidecar")...)...)
			command.Env = append(os.Environ(), "CGO_ENABLED=1")
			if out, err := command.CombinedOutput(); err != nil {
				programs.err = fmt.Errorf("go build failed: %w: %s", err, out)
				return
			}
		}
	})
	if programs.err != nil {
		t.Fatalf("build the sidecars: %v", programs.err)
	}
}

// TestMain removes the programs after the tests.
func TestMain(m *testing.M) {
	code := m.Run()
	if programs.standard != "" {
		os.RemoveAll(filepath.Dir(programs.standard))
	}
	os.Exit(code)
}

// run runs a script and returns its breaches and record. It keeps the script and the logs if a
// sidecar without seams breaks a rule.
func run(t *testing.T, script *Script, program, seams string, host int) ([]Breach, *Record) {
	t.Helper()
	record, logs, err := Run(script, Options{Program: program, Seams: seams, Directory: t.TempDir(), Host: host})
	if err != nil {
		t.Fatalf("seed %d: the testbed failed: %v", script.Seed, err)
	}
	breaches := Judge(script, record)
	if len(breaches) > 0 && seams == "" {
		keep(t, script, breaches, logs)
	}
	return breaches, record
}

// keep writes the script, the breaches and the sidecars' logs of a failing seed to files.
func keep(t *testing.T, script *Script, breaches []Breach, logs []string) {
	t.Helper()
	directory := *keepFailing
	if directory == "" {
		var err error
		if directory, err = os.MkdirTemp("", "soak-failed"); err != nil {
			t.Fatalf("create a folder for the failing seed: %v", err)
		}
	}
	directory = filepath.Join(directory, fmt.Sprint("seed", script.Seed))
	if err := os.MkdirAll(directory, 0o700); err != nil {
		t.Fatalf("create a folder for the failing seed: %v", err)
	}
	var text strings.Builder
	for _, breach := range breaches {
		fmt.Fprintln(&text, breach)
	}
	files := map[string]string{"script.json": script.String(), "breaches.txt": text.String()}
	for n, log := range logs {
		files[fmt.Sprintf("sidecar%d.log", n)] = log
	}
	for name, content := range files {
		if err := os.WriteFile(filepath.Join(directory, name), []byte(content), 0o600); err != nil {
			t.Fatalf("write %s of the failing seed: %v", name, err)
		}
	}
	t.Logf("the script, the breaches and the logs are in %s", directory)
}

// Sidecars break no rule under seeded scripts of faults and signals.
func TestSoak(t *testing.T) {
	build(t)
	if *scriptFile != "" {
		text, err := os.ReadFile(*scriptFile)
		if err != nil {
			t.Fatalf("read the script: %v", err)
		}
		script, err := Parse(text)
		if err != nil {
			t.Fatalf("parse the script: %v", err)
		}
		runAndReport(t, script, 1)
		return
	}
	seeds := ciSeeds
	if *seedCount > 0 {
		seeds = *seedCount
	}
	slots := make(chan int, *parallelRuns)
	for n := range *parallelRuns {
		slots <- 1 + n
	}
	var group sync.WaitGroup
	var unserved atomic.Int64 // runs in which no request was served
	for n := range seeds {
		host := <-slots
		script := Generate(*firstSeed+uint64(n), Size{Sidecars: *maxSidecars, Length: *maxRunLength})
		group.Go(func() {
			defer func() { slots <- host }()
			t.Run(fmt.Sprint("seed", script.Seed), func(t *testing.T) {
				if runAndReport(t, script, host) == 0 {
					unserved.Add(1)
				}
			})
		})
	}
	group.Wait()
	if n := int(unserved.Load()); n > (seeds+runsPerUnserved-1)/runsPerUnserved {
		t.Errorf("no request was served in %d of %d runs, which therefore tested nothing; want 1 in %d at most", n, seeds, runsPerUnserved)
	}
}

// runsPerUnserved limits the runs that serve no request because of their faults: at most one in this
// many may do so, rounded up.
const runsPerUnserved = 20

// runAndReport runs a script, reports the first breaches as errors, and returns how many requests
// were served.
func runAndReport(t *testing.T, script *Script, host int) (served int) {
	breaches, record := run(t, script, programs.standard, "", host)
	const maxShown = 12
	for n, breach := range breaches {
		if n == maxShown {
			t.Errorf("%d more breaches are not shown", len(breaches)-maxShown)
			break
		}
		t.Errorf("the run found the breach %v, want none", breach)
	}
	served = record.Served()
	t.Logf("%d sidecars, longest deadline %v, %d processes: %d requests, %d served, %d attempts; recorded times may be late by %v",
		script.Sidecars, script.Longest(), len(record.Processes), len(record.Requests), served, len(record.Attempts), record.Lateness)
	return served
}

// The same seed gives the same script, and a script can be printed and parsed again.
func TestScriptsRepeat(t *testing.T) {
	size := Size{Sidecars: 30, Length: 20 * time.Second}
	for seed := range uint64(200) {
		text := Generate(seed, size).String()
		if again := Generate(seed, size).String(); again != text {
			t.Fatalf("seed %d gave two different scripts:\n%s\n%s", seed, text, again)
		}
		parsed, err := Parse([]byte(text))
		if err != nil {
			t.Fatalf("seed %d: parse the printed script: %v", seed, err)
		}
		if parsed.String() != text {
			t.Fatalf("seed %d: the printed script differs after it was parsed:\n%s\n%s", seed, text, parsed)
		}
	}
}
