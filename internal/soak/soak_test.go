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
	seedCount   = flag.Int("soak.seeds", 0, "seeds to play; 0: the few of CI")
	firstSeed   = flag.Uint64("soak.from", 1, "the first seed")
	sideBySide  = flag.Int("soak.side", 4, "scripts played side by side")
	maxNodes    = flag.Int("soak.sidecars", 3, "sidecars of a script, at most")
	dayLength   = flag.Duration("soak.length", 8*time.Second, "length of a day, at most")
	scriptFile  = flag.String("soak.script", "", "a script that was printed, to be played again")
	keepFailing = flag.String("soak.keep", "", "folder for the scripts and logs of failing seeds; empty: a temporary one")
)

// ciSeeds is how many seeds CI plays.
const ciSeeds = 12

// programs are the sidecars under test.
var programs struct {
	once          sync.Once
	usual, seamed string
	err           error
}

// build builds the sidecar as operators do, and once more with seams that break a rule.
func build(t *testing.T) {
	t.Helper()
	programs.once.Do(func() {
		directory, err := os.MkdirTemp("", "soak")
		if err != nil {
			programs.err = err
			return
		}
		programs.usual, programs.seamed = filepath.Join(directory, "sidecar"), filepath.Join(directory, "seamed")
		for _, args := range [][]string{{"-o", programs.usual}, {"-tags", "seams", "-o", programs.seamed}} {
			command := exec.Command("go", append([]string{"build", "-ldflags=-linkmode=external"}, append(args, "martendrum/cmd/sidecar")...)...)
			command.Env = append(os.Environ(), "CGO_ENABLED=1")
			if out, err := command.CombinedOutput(); err != nil {
				programs.err = fmt.Errorf("build: %w: %s", err, out)
				return
			}
		}
	})
	if programs.err != nil {
		t.Fatal(programs.err)
	}
}

func TestMain(m *testing.M) {
	code := m.Run()
	if programs.usual != "" {
		os.RemoveAll(filepath.Dir(programs.usual))
	}
	os.Exit(code)
}

// play plays a script and returns its breaches.
func play(t *testing.T, script *Script, program, seams string, host int) ([]Breach, *Record) {
	t.Helper()
	record, logs, err := Play(script, Options{Program: program, Seams: seams, Directory: t.TempDir(), Host: host})
	if err != nil {
		t.Fatalf("seed %d: the world failed: %v", script.Seed, err)
	}
	breaches := Judge(script, record)
	if len(breaches) > 0 && seams == "" {
		keep(t, script, breaches, logs)
	}
	return breaches, record
}

// keep keeps what is needed to trace a failing seed.
func keep(t *testing.T, script *Script, breaches []Breach, logs []string) {
	t.Helper()
	directory := *keepFailing
	if directory == "" {
		var err error
		if directory, err = os.MkdirTemp("", "soak-failed"); err != nil {
			t.Fatal(err)
		}
	}
	directory = filepath.Join(directory, fmt.Sprint("seed", script.Seed))
	if err := os.MkdirAll(directory, 0o700); err != nil {
		t.Fatal(err)
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
			t.Fatal(err)
		}
	}
	t.Logf("script and logs are kept in %s", directory)
}

// Real sidecars under seeded scripts of faults and signals break no rule.
func TestSoak(t *testing.T) {
	build(t)
	if *scriptFile != "" {
		text, err := os.ReadFile(*scriptFile)
		if err != nil {
			t.Fatal(err)
		}
		script, err := Parse(text)
		if err != nil {
			t.Fatal(err)
		}
		soak(t, script, 1)
		return
	}
	seeds := ciSeeds
	if *seedCount > 0 {
		seeds = *seedCount
	}
	slots := make(chan int, *sideBySide)
	for n := range *sideBySide {
		slots <- 1 + n
	}
	var group sync.WaitGroup
	var idle atomic.Int64 // days on which nobody was served
	for n := range seeds {
		host := <-slots
		script := Draw(*firstSeed+uint64(n), Size{Sidecars: *maxNodes, Length: *dayLength})
		group.Go(func() {
			defer func() { slots <- host }()
			t.Run(fmt.Sprint("seed", script.Seed), func(t *testing.T) {
				if soak(t, script, host) == 0 {
					idle.Add(1)
				}
			})
		})
	}
	group.Wait()
	if n := int(idle.Load()); n > (seeds+idleShare-1)/idleShare {
		t.Errorf("nobody was served on %d days of %d: they show nothing", n, seeds)
	}
}

// idleShare: on one day in so many, at most, nobody may be served, whom its faults leave
// nothing.
const idleShare = 20

// soak plays one script, reports each breach, and returns how many requests were served.
func soak(t *testing.T, script *Script, host int) (served int) {
	breaches, record := play(t, script, programs.usual, "", host)
	const shown = 12
	for n, breach := range breaches {
		if n == shown {
			t.Errorf("... and %d more", len(breaches)-shown)
			break
		}
		t.Error(breach)
	}
	served = record.Served()
	t.Logf("%d sidecars, longest deadline %v, %d lives: %d requests, %d served, %d attempts, recorders late by %v",
		script.Sidecars, script.Longest(), len(record.Processes), len(record.Requests), served, len(record.Attempts), record.Lateness)
	return served
}

// The same seed draws the same script, which can be printed and read again.
func TestScriptsRepeat(t *testing.T) {
	size := Size{Sidecars: 30, Length: 20 * time.Second}
	for seed := range uint64(200) {
		text := Draw(seed, size).String()
		if again := Draw(seed, size).String(); again != text {
			t.Fatalf("seed %d draws two scripts:\n%s\n%s", seed, text, again)
		}
		read, err := Parse([]byte(text))
		if err != nil {
			t.Fatal(err)
		}
		if read.String() != text {
			t.Fatalf("seed %d, read again:\n%s\n%s", seed, text, read)
		}
	}
}
