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

// Environment variables for the processes that a test starts from its own binary.
const (
	workerVariable  = "HOLLOW_WORKER"  // path of a WorkerConfig file
	agentVariable   = "HOLLOW_AGENT"   // path of an agent's configuration file; for relays with profiles
	profileVariable = "HOLLOW_PROFILE" // folder for profiles; "": no profiles
)

// TestMain runs the tests or, if the environment says so, the process of a worker or of a relay
// with profiles.
func TestMain(m *testing.M) {
	path := ""
	var run func(path string) error
	switch {
	case os.Getenv(workerVariable) != "":
		path, run = os.Getenv(workerVariable), workerProcess
	case os.Getenv(agentVariable) != "":
		path, run = os.Getenv(agentVariable), agentProcess
	}
	if run != nil {
		if err := profiled(path, run); err != nil {
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

// profiled calls run with the path of a configuration file. If profileVariable is set, it writes a
// CPU profile of the run, and a heap profile at each SIGUSR1.
func profiled(path string, run func(path string) error) error {
	folder := os.Getenv(profileVariable)
	if folder == "" {
		return run(path)
	}
	name := filepath.Join(folder, fmt.Sprintf("%s-%d", filepath.Base(path), os.Getpid()))
	cpuProfile, err := os.Create(name + ".cpu")
	if err != nil {
		return err
	}
	defer cpuProfile.Close()
	if err := pprof.StartCPUProfile(cpuProfile); err != nil {
		return err
	}
	defer pprof.StopCPUProfile()
	onSignal(syscall.SIGUSR1, func() { writeHeap(name + ".heap") })
	return run(path)
}

// onSignal calls a function at each occurrence of a signal until the process ends.
func onSignal(awaited os.Signal, handler func()) {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, awaited)
	go func() {
		for range signals {
			handler()
		}
	}()
}

// writeHeap writes a heap profile. It ignores errors: the measurement continues without the profile.
func writeHeap(path string) {
	file, err := os.Create(path)
	if err != nil {
		return
	}
	defer file.Close()
	runtime.GC()
	pprof.WriteHeapProfile(file)
}

// workerProcess runs a worker that reads requests from standard input.
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

// agentProcess runs an agent, as a relay, until SIGTERM.
func agentProcess(path string) error {
	cfg, err := agent.LoadConfig(path)
	if err != nil {
		return err
	}
	host, err := agent.New(cfg, agent.LocalMachine{}, agentstore.Opener(cfg))
	if err != nil {
		return err
	}
	defer host.Close()
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM)
	defer stop()
	return host.Serve(ctx, nil)
}

var (
	programsOnce   sync.Once
	programsFolder string
	programsError  error
)

// program builds martendrum at the first call, and returns the path of the binary.
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
		t.Fatalf("build martendrum: %v", programsError)
	}
	return filepath.Join(programsFolder, "martendrum")
}
