package hollow

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"runtime"
	"runtime/pprof"
	"sync"
	"syscall"
	"testing"

	"martendrum/internal/fleet/host/agent"
	"martendrum/internal/fleet/host/agentstore"
)

// Environment of the processes that a test starts of its own binary.
const (
	workerVariable  = "HOLLOW_WORKER"  // the file of a WorkerConfig
	agentVariable   = "HOLLOW_AGENT"   // the file of an agent's configuration, for profiles
	profileVariable = "HOLLOW_PROFILE" // the folder of profiles; "": none
)

// TestMain also runs as a worker's process and, with profiles, as a relay's.
func TestMain(m *testing.M) {
	role := ""
	var run func(path string) error
	switch {
	case os.Getenv(workerVariable) != "":
		role, run = os.Getenv(workerVariable), workerProcess
	case os.Getenv(agentVariable) != "":
		role, run = os.Getenv(agentVariable), agentProcess
	}
	if run != nil {
		if err := profiled(role, run); err != nil {
			fmt.Fprintln(os.Stderr, err)
			os.Exit(1)
		}
		return
	}
	code := m.Run()
	if programsFolder != "" {
		os.RemoveAll(programsFolder)
	}
	os.Exit(code)
}

// profiled runs a role, with CPU and heap profiles if profileVariable is set.
func profiled(path string, run func(path string) error) error {
	folder := os.Getenv(profileVariable)
	if folder == "" {
		return run(path)
	}
	name := filepath.Join(folder, fmt.Sprintf("%s-%d", filepath.Base(path), os.Getpid()))
	processor, err := os.Create(name + ".cpu")
	if err != nil {
		return err
	}
	defer processor.Close()
	if err := pprof.StartCPUProfile(processor); err != nil {
		return err
	}
	defer pprof.StopCPUProfile()
	atSignal(syscall.SIGUSR1, func() { writeHeap(name + ".heap") })
	return run(path)
}

// atSignal calls a function at each such signal until the process ends.
func atSignal(signalled os.Signal, act func()) {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, signalled)
	go func() {
		for range signals {
			act()
		}
	}()
}

func writeHeap(path string) {
	file, err := os.Create(path)
	if err != nil {
		return
	}
	defer file.Close()
	runtime.GC()
	pprof.WriteHeapProfile(file)
}

func workerProcess(path string) error {
	text, err := os.ReadFile(path)
	if err != nil {
		return err
	}
	var cfg WorkerConfig
	if err := json.Unmarshal(text, &cfg); err != nil {
		return err
	}
	return RunWorker(cfg, os.Stdin, os.Stdout)
}

func agentProcess(path string) error {
	cfg, err := agent.LoadConfig(path)
	if err != nil {
		return err
	}
	served, err := agent.New(cfg, agent.Processes{}, agentstore.Record(cfg))
	if err != nil {
		return err
	}
	defer served.Close()
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM)
	defer stop()
	return served.Serve(ctx, nil)
}

var (
	programsOnce   sync.Once
	programsFolder string
	programsError  error
)

// program builds martendrum, once, and returns its path.
func program(t testing.TB) string {
	t.Helper()
	programsOnce.Do(func() {
		if programsFolder, programsError = os.MkdirTemp("", "martendrum-hollow-"); programsError != nil {
			return
		}
		output, err := exec.Command("go", "build", "-o", programsFolder+"/", "martendrum/cmd/martendrum").CombinedOutput()
		if err != nil {
			programsError = fmt.Errorf("%w: %s", err, output)
		}
	})
	if programsError != nil {
		t.Fatal(programsError)
	}
	return filepath.Join(programsFolder, "martendrum")
}
