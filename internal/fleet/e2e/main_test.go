// Package e2e tests agents, their stores, sidecar processes and commands together, as real
// processes on loopback and Unix sockets. It holds tests only.
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

// eventuallyTimeout bounds each wait for a condition that must become true.
const eventuallyTimeout = 30 * time.Second

// TestMain also runs as the process of an agent that kills itself at a write to its store, and as
// that of a sidecar that crashes by its configuration.
func TestMain(m *testing.M) {
	if path := os.Getenv("E2E_AGENT"); path != "" {
		at, _ := strconv.ParseInt(os.Getenv("E2E_CRASH_AT"), 10, 64)
		death := crashPoint{write: at, after: os.Getenv("E2E_CRASH_AFTER") != "", change: os.Getenv("E2E_CRASH_AFTER_CHANGE")}
		if err := crashingAgent(path, death); err != nil {
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
	if built != "" {
		os.RemoveAll(built)
	}
	os.Exit(code)
}

// crashPoint is the write to its store at which an agent kills itself.
type crashPoint struct {
	write  int64  // the number of the write, counted from 1; 0: none
	after  bool   // once the write is done, instead of before it
	change string // once the first change of the settings of this name is written; "": none
}

// crashingStore is a store that kills its own process at a write.
type crashingStore struct {
	store.Store
	point  crashPoint
	writes atomic.Int64
}

func (s *crashingStore) Commit(ctx context.Context, c *store.Change) error {
	last := s.writes.Add(1) == s.point.write
	if last && !s.point.after {
		killSelf()
	}
	err := s.Store.Commit(ctx, c)
	if last || err == nil && s.point.change != "" && writesSettings(c, s.point.change) {
		killSelf()
	}
	return err
}

func killSelf() {
	syscall.Kill(os.Getpid(), syscall.SIGKILL)
	select {}
}

// writesSettings reports whether a write holds the settings of a name.
func writesSettings(c *store.Change, name string) bool {
	return slices.ContainsFunc(c.Settings, func(row distribution.Entry) bool {
		var resource distribution.Resource
		return json.Unmarshal(row.Value, &resource) == nil && resource.Name == name
	})
}

func crashingAgent(path string, death crashPoint) error {
	cfg, err := agent.LoadConfig(path)
	if err != nil {
		return err
	}
	a, err := agent.New(cfg, agent.Processes{}, func(p string) (store.Store, error) {
		s, err := agentstore.Record(cfg)(p)
		return &crashingStore{Store: s, point: death}, err
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
	built     string
)

// programs builds the sidecar and martendrum once per test process, and returns their directory.
func programs(t testing.TB) string {
	t.Helper()
	buildOnce.Do(func() {
		if built, buildErr = os.MkdirTemp("", "martendrum-e2e-"); buildErr != nil {
			return
		}
		if b, err := exec.Command("go", "build", "-o", built+"/", "martendrum/cmd/sidecar", "martendrum/cmd/martendrum").CombinedOutput(); err != nil {
			buildErr = fmt.Errorf("%w: %s", err, b)
		}
	})
	if buildErr != nil {
		t.Fatal(buildErr)
	}
	return built
}

func eventually(t testing.TB, what string, ok func() bool) {
	t.Helper()
	for until := time.Now().Add(eventuallyTimeout); !ok(); time.Sleep(10 * time.Millisecond) {
		if time.Now().After(until) {
			t.Fatal("timed out waiting for: " + what)
		}
	}
}
