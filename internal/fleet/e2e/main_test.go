// Package e2e tests agents, their stores, sidecars and operators' commands together: most tests
// run them as real processes, over loopback and Unix sockets. It holds tests only.
package e2e

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"os/exec"
	"os/signal"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"martendrum/internal/fleet/distribution"
	"martendrum/internal/fleet/host/agent"
	"martendrum/internal/fleet/host/agentstore"
	"martendrum/internal/fleet/store"
)

// eventuallyTimeout is how long a test waits for a condition before it fails.
const eventuallyTimeout = 30 * time.Second

// TestMain runs the tests. With E2E_AGENT set, this program is instead an agent that kills itself
// at a write to its store. With E2E_CRASHING_SIDECAR set, it is a sidecar that crashes when it
// would apply a certain configuration.
func TestMain(m *testing.M) {
	if path := os.Getenv("E2E_AGENT"); path != "" {
		at, _ := strconv.ParseInt(os.Getenv("E2E_CRASH_AT"), 10, 64)
		point := crashPoint{write: at, after: os.Getenv("E2E_CRASH_AFTER") != "", change: os.Getenv("E2E_CRASH_AFTER_CHANGE")}
		if err := crashingAgent(path, point); err != nil {
			fmt.Fprintln(os.Stderr, err)
			os.Exit(1)
		}
		return
	}
	if program := os.Getenv(crashingEnv); program != "" {
		if err := crashingSidecar(program); err != nil {
			fmt.Fprintln(os.Stderr, err)
			os.Exit(1)
		}
		return
	}
	code := m.Run()
	if buildDir != "" {
		os.RemoveAll(buildDir)
	}
	os.Exit(code)
}

// crashPoint says at which write to its store an agent kills itself.
type crashPoint struct {
	write  int64  // number of the write, counted from 1; 0 means none
	after  bool   // crash after that write instead of before it
	change string // crash after the first write of settings with this name; "" means none
}

// crashingStore is a store that kills its own process at its crash point.
type crashingStore struct {
	store.Store
	point  crashPoint
	writes atomic.Int64
}

// Commit writes a change to the store, and kills the process if the crash point is reached.
func (s *crashingStore) Commit(ctx context.Context, c *store.Change) error {
	atCrash := s.writes.Add(1) == s.point.write
	if atCrash && !s.point.after {
		killSelf()
	}
	err := s.Store.Commit(ctx, c)
	if atCrash || err == nil && s.point.change != "" && writesSettings(c, s.point.change) {
		killSelf()
	}
	return err
}

// killSelf ends this process by SIGKILL and does not return.
func killSelf() {
	syscall.Kill(os.Getpid(), syscall.SIGKILL)
	select {}
}

// writesSettings reports whether a write contains settings with the given name.
func writesSettings(c *store.Change, name string) bool {
	return slices.ContainsFunc(c.Settings, func(row distribution.Entry) bool {
		var resource distribution.Resource
		return json.Unmarshal(row.Value, &resource) == nil && resource.Name == name
	})
}

// crashingAgent runs the agent with the configuration at path until SIGTERM or its crash point.
func crashingAgent(path string, point crashPoint) error {
	cfg, err := agent.LoadConfig(path)
	if err != nil {
		return err
	}
	a, err := agent.New(cfg, agent.LocalMachine{}, func(p string) (store.Store, error) {
		s, err := agentstore.Opener(cfg)(p)
		return &crashingStore{Store: s, point: point}, err
	})
	if err != nil {
		return err
	}
	defer a.Close()
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM)
	defer stop()
	return a.Serve(ctx, nil)
}

var (
	buildOnce sync.Once
	buildErr  error
	buildDir  string
)

// programs returns the directory of the programs sidecar and martendrum. It builds them at its
// first call in a test process.
func programs(t testing.TB) string {
	t.Helper()
	buildOnce.Do(func() {
		if buildDir, buildErr = os.MkdirTemp("", "martendrum-e2e-"); buildErr != nil {
			return
		}
		if output, err := exec.Command("go", "build", "-o", buildDir+"/", "martendrum/cmd/sidecar", "martendrum/cmd/martendrum").CombinedOutput(); err != nil {
			buildErr = fmt.Errorf("%w: %s", err, output)
		}
	})
	if buildErr != nil {
		t.Fatalf("building the sidecar and martendrum: %v", buildErr)
	}
	return buildDir
}

// eventually waits until ok returns true. It ends the test after eventuallyTimeout with a message
// that contains what, the description of the condition.
func eventually(t testing.TB, what string, ok func() bool) {
	t.Helper()
	for until := time.Now().Add(eventuallyTimeout); !ok(); time.Sleep(10 * time.Millisecond) {
		if time.Now().After(until) {
			t.Fatal("timed out waiting for: " + what)
		}
	}
}
