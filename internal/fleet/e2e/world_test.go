package e2e

import (
	"context"
	"fmt"
	"math/rand/v2"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"martendrum/internal/fleet/api"
	"martendrum/internal/fleet/control/client"
	"martendrum/internal/fleet/control/inventory"
	"martendrum/internal/fleet/host/proc"
	"martendrum/internal/fleet/release"
	"martendrum/internal/standin/shop"
)

// world is a fleet of agents and sidecars, each a process on this machine.
type world struct {
	t             testing.TB
	dir           string
	prefix        string // prefix of the agents' names, unique to the test
	shop          *shop.Shop
	hosts         []*host
	fleet         *client.Fleet
	inventoryPath string // inventory file of the operators' commands
	binaries      string
}

// host is one agent and its instances.
type host struct {
	world           *world
	name            string
	config          string            // path of the agent's configuration file
	instances       []string          // names
	listenAddresses map[string]string // by instance

	mu  sync.Mutex
	cmd *exec.Cmd     // the agent's process, nil before the first start and after kill
	end chan struct{} // closed when that process has ended
}

// lastUnique is the last number given out for a loopback address or a file name that no other test
// of this process uses.
var lastUnique atomic.Int64

// newWorld writes the configurations of hosts, with the same number of sidecars on each host. It
// starts no agent. At the end of the test all agents and sidecars are killed.
func newWorld(t testing.TB, hosts, perHost int) *world {
	t.Helper()
	return newWorldWithSections(t, hosts, perHost, "")
}

// newWorldWithSections is newWorld with additional lines in the agents' configurations. They follow
// the [sidecar] table, so they may begin with more keys of that table.
func newWorldWithSections(t testing.TB, hosts, perHost int, sections string) *world {
	t.Helper()
	return newWorldWithServers(t, hosts, perHost, sections, func() (*shop.Shop, error) { return shop.New(4, 10*time.Millisecond) })
}

// newWorldWithServers is newWorldWithSections with the application servers that the function open
// starts and returns.
func newWorldWithServers(t testing.TB, hosts, perHost int, sections string, open func() (*shop.Shop, error)) *world {
	t.Helper()
	w := &world{t: t, dir: t.TempDir(), prefix: fmt.Sprintf("e2e%08x", rand.Uint32()), binaries: programs(t)}
	var err error
	if w.shop, err = open(); err != nil {
		t.Fatalf("starting the application servers: %v", err)
	}
	var inv strings.Builder
	inv.WriteString("timeout = \"2s\"\n")
	for h := range hosts {
		newHost := &host{world: w, name: fmt.Sprintf("%s-h%d", w.prefix, h), listenAddresses: make(map[string]string)}
		dir := filepath.Join(w.dir, fmt.Sprint("h", h))
		if err := os.Mkdir(dir, 0o700); err != nil {
			t.Fatal(err)
		}
		var config strings.Builder
		fmt.Fprintf(&config, "name = %q\nstate_dir = \"s\"\n[listen]\nunix = \"a\"\n[sidecar]\nbinary = %q\n", newHost.name, filepath.Join(w.binaries, "sidecar"))
		config.WriteString(sections)
		config.WriteString("[limits]\nhealth_each = \"200ms\"\nbackoff_min = \"200ms\"\nbackoff_max = \"1s\"\ncrash_most = 20\n")
		for i := range perHost {
			name := fmt.Sprintf("h%d-i%d", h, i)
			path, listen, err := w.shop.Config(dir, name, int(lastUnique.Add(1)))
			if err != nil {
				t.Fatal(err)
			}
			newHost.instances, newHost.listenAddresses[name] = append(newHost.instances, name), listen
			fmt.Fprintf(&config, "[[instance]]\nname = %q\nconfig = %q\nlabels = {half = \"%d\", zone = \"zone-%d\", shop = \"shop-%d\"}\n", name, path, i%2, i%2, i/2)
		}
		newHost.config = filepath.Join(dir, "agent.toml")
		if err := os.WriteFile(newHost.config, []byte(config.String()), 0o600); err != nil {
			t.Fatal(err)
		}
		fmt.Fprintf(&inv, "[[host]]\nname = %q\naddress = \"unix:%s\"\n", newHost.name, filepath.Join(dir, "a"))
		w.hosts = append(w.hosts, newHost)
	}
	w.inventoryPath = filepath.Join(w.dir, "fleet.toml")
	if err := os.WriteFile(w.inventoryPath, []byte(inv.String()), 0o600); err != nil {
		t.Fatal(err)
	}
	w.fleet = w.newClient("tester")
	t.Cleanup(func() {
		w.fleet.Close()
		for _, h := range w.hosts {
			h.kill()
		}
		for _, f := range proc.Find(w.prefix) {
			syscall.Kill(f.PID, syscall.SIGKILL)
		}
		eventually(t, "all sidecars to end", func() bool { return len(proc.Find(w.prefix)) == 0 })
		w.shop.Close()
	})
	return w
}

// newClient returns a client of all agents of the inventory for an operator.
func (w *world) newClient(operator string) *client.Fleet {
	inv, err := inventory.Load(w.inventoryPath)
	if err != nil {
		w.t.Fatal(err)
	}
	f, err := client.New(inv, operator)
	if err != nil {
		w.t.Fatal(err)
	}
	return f
}

// start starts the host's agent. With environment variables in env, the agent runs in the test's
// own program, which can crash at a write to the agent's store (see TestMain).
func (h *host) start(env ...string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	cmd := exec.Command(filepath.Join(h.world.binaries, "martendrum"), "agent", "--config", h.config)
	if len(env) > 0 {
		cmd = exec.Command(os.Args[0])
		cmd.Env = append(os.Environ(), env...)
	}
	log, err := os.OpenFile(h.config+".log", os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o600)
	if err != nil {
		h.world.t.Errorf("opening the log of agent %s: %v", h.name, err)
		return
	}
	defer log.Close()
	cmd.Stdout, cmd.Stderr = log, log
	if err := cmd.Start(); err != nil {
		h.world.t.Errorf("starting agent %s: %v", h.name, err)
		return
	}
	end := make(chan struct{})
	go func() {
		cmd.Wait()
		close(end)
	}()
	h.cmd, h.end = cmd, end
}

// signal sends a signal to the agent, if it runs.
func (h *host) signal(sig syscall.Signal) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.cmd != nil {
		h.cmd.Process.Signal(sig)
	}
}

// kill kills the agent and waits for its end.
func (h *host) kill() {
	h.signal(syscall.SIGKILL)
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.cmd != nil {
		<-h.end
		h.cmd = nil
	}
}

// waitReady waits until every instance that should run is ready in its desired generation, and
// returns the states of all hosts.
func (w *world) waitReady() []client.HostState {
	w.t.Helper()
	var states []client.HostState
	defer func() {
		if w.t.Failed() {
			w.t.Logf("host states: %+v", states)
			for _, h := range w.hosts {
				log, _ := os.ReadFile(h.config + ".log")
				w.t.Logf("end of the log of %s: %s", h.name, log[max(0, len(log)-2000):])
			}
		}
	}()
	eventually(w.t, "all instances to be ready", func() bool {
		states = w.fleet.List(context.Background(), &inventory.Select{})
		for _, h := range states {
			if h.Error != "" || len(h.Instances) == 0 {
				return false
			}
			for _, i := range h.Instances {
				if i.Desired == api.Running && (i.State != "ready" || i.Process != i.Generation) {
					return false
				}
			}
		}
		return true
	})
	return states
}

// startAll starts all agents and waits until their instances are ready.
func (w *world) startAll() {
	for _, h := range w.hosts {
		h.start()
	}
	w.waitReady()
}

// newOperation returns an operation on all instances, one at a time. edit may alter it; nil alters
// nothing.
func (w *world) newOperation(action string, edit func(*api.Operation)) api.Operation {
	operation := api.Operation{
		ID: fmt.Sprintf("op-%08x", rand.Uint32()), Action: action, ReadyTimeout: 20 * time.Second, Soak: 300 * time.Millisecond,
		Policy:   api.Policy{Batch: 1, MaxUnavailable: 1, OnFailure: api.OnFailureStop},
		Operator: "tester", Created: time.Now().UTC(),
	}
	for i := range 64 {
		for _, h := range w.hosts {
			if i < len(h.instances) {
				operation.Targets = append(operation.Targets, api.Target{Host: h.name, Instance: h.instances[i]})
			}
		}
	}
	if edit != nil {
		edit(&operation)
	}
	return operation
}

// runOptions returns the options of one run of a command. Each call returns another lease holder.
func runOptions() client.Options {
	return client.Options{LeaseHolder: fmt.Sprintf("run %08x", rand.Uint32()), TTL: 5 * time.Second, GiveUp: 30 * time.Second}
}

// command runs martendrum and returns its standard output, its standard error and its exit code.
func (w *world) command(args ...string) (out, errs string, code int) {
	cmd := exec.Command(filepath.Join(w.binaries, "martendrum"), append([]string{"--fleet", w.inventoryPath}, args...)...)
	var stdout, stderr strings.Builder
	cmd.Stdout, cmd.Stderr = &stdout, &stderr
	err := cmd.Run()
	if exit, ok := err.(*exec.ExitError); ok {
		code = exit.ExitCode()
	} else if err != nil {
		w.t.Fatalf("running martendrum: %v", err)
	}
	return stdout.String(), stderr.String(), code
}

// writeScript writes an executable file into the test's folder and returns its path.
func (w *world) writeScript(name, text string) (path string) {
	w.t.Helper()
	path = filepath.Join(w.dir, name)
	if err := os.WriteFile(path, []byte(text), 0o700); err != nil {
		w.t.Fatal(err)
	}
	return path
}

// uploadRelease uploads a release to all agents and returns its hash. The release consists of a
// program and, unless overlay is "", an overlay of its configuration.
func (w *world) uploadRelease(binary, overlay string) string {
	w.t.Helper()
	path := ""
	if overlay != "" {
		path = filepath.Join(w.dir, fmt.Sprintf("overlay-%08x.json", rand.Uint32()))
		if err := os.WriteFile(path, []byte(overlay), 0o600); err != nil {
			w.t.Fatal(err)
		}
	}
	hash, err := release.Hash(binary, path)
	if err != nil {
		w.t.Fatal(err)
	}
	if err := w.fleet.Upload(context.Background(), w.fleet.Agents, hash, binary, path, nil); err != nil {
		w.t.Fatal(err)
	}
	return hash
}
