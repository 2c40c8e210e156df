// Package e2e tests the fleet as a whole: agents, records, processes and the
// commands, over sockets of this machine.
package e2e

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"martendrum/internal/fleet/api"
	"martendrum/internal/fleet/control/client"
	"martendrum/internal/fleet/control/inventory"
	"martendrum/internal/fleet/distribution"
	"martendrum/internal/fleet/host/agent"
	"martendrum/internal/fleet/host/agentstore"
	"martendrum/internal/fleet/host/proc"
	"martendrum/internal/fleet/store"
	"martendrum/internal/fleet/store/sqlite"
	"martendrum/internal/quantity"
	"martendrum/internal/standin/shop"
	"martendrum/internal/standin/simhost"
)

// patience is how long a test waits for what must come.
const patience = 30 * time.Second

// TestMain also plays an agent that kills itself at a write of its record.
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

// crashPoint says at which write of its record an agent kills itself.
type crashPoint struct {
	write  int64  // the number of the write, counted from 1; 0: none
	after  bool   // once the write is done, instead of before it
	change string // once the first change of the settings of this name is written; "": none
}

// mortal is a store that kills its process at a write.
type mortal struct {
	store.Store
	death crashPoint
	n     atomic.Int64
}

func (s *mortal) Commit(ctx context.Context, c *store.Change) error {
	last := s.n.Add(1) == s.death.write
	if last && !s.death.after {
		killSelf()
	}
	err := s.Store.Commit(ctx, c)
	if last || err == nil && s.death.change != "" && changes(c, s.death.change) {
		killSelf()
	}
	return err
}

func killSelf() {
	syscall.Kill(os.Getpid(), syscall.SIGKILL)
	select {}
}

// changes says whether a write holds the settings of a name.
func changes(c *store.Change, name string) bool {
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
		return &mortal{Store: s, death: death}, err
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

// programs builds the sidecar and martendrum, once, and returns their folder.
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
	for until := time.Now().Add(patience); !ok(); time.Sleep(10 * time.Millisecond) {
		if time.Now().After(until) {
			t.Fatal("it never came to: " + what)
		}
	}
}

// world is a fleet of agents with their sidecars as processes of this machine.
type world struct {
	t      testing.TB
	dir    string
	prefix string // of the agents' names, this test's own
	shop   *shop.Shop
	hosts  []*host
	fleet  *client.Fleet
	inv    string // the inventory's path
	bin    string
}

// host is one agent's.
type host struct {
	w      *world
	name   string
	config string
	insts  []string
	listen map[string]string

	mu  sync.Mutex
	cmd *exec.Cmd
	end chan struct{}
}

var addresses atomic.Int64

// newWorld lays out hosts with so many sidecars each; no agent runs yet.
func newWorld(t testing.TB, hosts, each int) *world {
	t.Helper()
	return newWorldOn(t, hosts, each, "")
}

// newWorldOn has agents whose files hold a [record] table.
func newWorldOn(t testing.TB, hosts, each int, record string) *world {
	t.Helper()
	return newWorldBefore(t, hosts, each, record, func() (*shop.Shop, error) { return shop.New(4, 10*time.Millisecond) })
}

// newWorldBefore has servers of the test's.
func newWorldBefore(t testing.TB, hosts, each int, record string, open func() (*shop.Shop, error)) *world {
	t.Helper()
	w := &world{t: t, dir: t.TempDir(), prefix: fmt.Sprintf("e2e%08x", rand.Uint32()), bin: programs(t)}
	var err error
	if w.shop, err = open(); err != nil {
		t.Fatal(err)
	}
	var inv strings.Builder
	inv.WriteString("timeout = \"2s\"\n")
	for h := range hosts {
		x := &host{w: w, name: fmt.Sprintf("%s-h%d", w.prefix, h), listen: make(map[string]string)}
		dir := filepath.Join(w.dir, fmt.Sprint("h", h))
		if err := os.Mkdir(dir, 0o700); err != nil {
			t.Fatal(err)
		}
		var c strings.Builder
		fmt.Fprintf(&c, "name = %q\nstate_dir = \"s\"\n[listen]\nunix = \"a\"\n[sidecar]\nbinary = %q\n", x.name, filepath.Join(w.bin, "sidecar"))
		c.WriteString(record)
		c.WriteString("[limits]\nhealth_each = \"200ms\"\nbackoff_min = \"200ms\"\nbackoff_max = \"1s\"\ncrash_most = 20\n")
		for i := range each {
			name := fmt.Sprintf("h%d-i%d", h, i)
			path, listen, err := w.shop.Config(dir, name, int(addresses.Add(1)))
			if err != nil {
				t.Fatal(err)
			}
			x.insts, x.listen[name] = append(x.insts, name), listen
			fmt.Fprintf(&c, "[[instance]]\nname = %q\nconfig = %q\nlabels = {half = \"%d\", zone = \"zone-%d\", shop = \"shop-%d\"}\n", name, path, i%2, i%2, i/2)
		}
		x.config = filepath.Join(dir, "agent.toml")
		if err := os.WriteFile(x.config, []byte(c.String()), 0o600); err != nil {
			t.Fatal(err)
		}
		fmt.Fprintf(&inv, "[[host]]\nname = %q\naddress = \"unix:%s\"\n", x.name, filepath.Join(dir, "a"))
		w.hosts = append(w.hosts, x)
	}
	w.inv = filepath.Join(w.dir, "fleet.toml")
	if err := os.WriteFile(w.inv, []byte(inv.String()), 0o600); err != nil {
		t.Fatal(err)
	}
	w.fleet = w.open("tester")
	t.Cleanup(func() {
		w.fleet.Close()
		for _, h := range w.hosts {
			h.kill()
		}
		for _, f := range proc.Find(w.prefix) {
			syscall.Kill(f.PID, syscall.SIGKILL)
		}
		eventually(t, "the end of all sidecars", func() bool { return len(proc.Find(w.prefix)) == 0 })
		w.shop.Close()
	})
	return w
}

// open returns another operator's view of the fleet.
func (w *world) open(who string) *client.Fleet {
	inv, err := inventory.Load(w.inv)
	if err != nil {
		w.t.Fatal(err)
	}
	f, err := client.New(inv, who)
	if err != nil {
		w.t.Fatal(err)
	}
	return f
}

// start starts the host's agent; env may make it one that crashes.
func (h *host) start(env ...string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	cmd := exec.Command(filepath.Join(h.w.bin, "martendrum"), "agent", "--config", h.config)
	if len(env) > 0 {
		cmd = exec.Command(os.Args[0])
		cmd.Env = append(os.Environ(), env...)
	}
	log, err := os.OpenFile(h.config+".log", os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o600)
	if err != nil {
		h.w.t.Error(err)
		return
	}
	defer log.Close()
	cmd.Stdout, cmd.Stderr = log, log
	if err := cmd.Start(); err != nil {
		h.w.t.Error(err)
		return
	}
	end := make(chan struct{})
	go func() {
		cmd.Wait()
		close(end)
	}()
	h.cmd, h.end = cmd, end
}

// signal signals the agent.
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

// ready waits until every instance of the fleet is ready, and what is wanted.
func (w *world) ready() []client.HostState {
	w.t.Helper()
	var states []client.HostState
	defer func() {
		if w.t.Failed() {
			w.t.Logf("%+v", states)
			for _, h := range w.hosts {
				log, _ := os.ReadFile(h.config + ".log")
				w.t.Logf("%s: %s", h.name, log[max(0, len(log)-2000):])
			}
		}
	}()
	eventually(w.t, "a fleet that is ready", func() bool {
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

func (w *world) startAll() {
	for _, h := range w.hosts {
		h.start()
	}
	w.ready()
}

// op is an operation on all instances.
func (w *world) op(action string, edit func(*api.Operation)) api.Operation {
	o := api.Operation{
		ID: fmt.Sprintf("op-%08x", rand.Uint32()), Action: action, Ready: 20 * time.Second, Soak: 300 * time.Millisecond,
		Policy:   api.Policy{Batch: 1, MaxUnavailable: 1, OnFailure: api.OnFailureStop},
		Operator: "tester", Created: time.Now().UTC(),
	}
	for i := range 64 {
		for _, h := range w.hosts {
			if i < len(h.insts) {
				o.Targets = append(o.Targets, api.Target{Host: h.name, Instance: h.insts[i]})
			}
		}
	}
	if edit != nil {
		edit(&o)
	}
	return o
}

func options() client.Options {
	return client.Options{LeaseHolder: fmt.Sprintf("run %08x", rand.Uint32()), TTL: 5 * time.Second, GiveUp: 30 * time.Second}
}

// observed compares what the agents report of each instance with what is seen on
// sockets and in /proc: one process, alive, of that generation and release,
// answering where it should.
func (w *world) observed(states []client.HostState) {
	w.t.Helper()
	found := proc.Find(w.prefix)
	for _, hs := range states {
		for _, i := range hs.Instances {
			var launches []string
			pid := 0
			for launch, f := range found {
				if strings.HasPrefix(launch, hs.Host.Name+"/"+i.Name+"/") {
					launches, pid = append(launches, launch), f.PID
				}
			}
			want := 1
			if i.Desired != api.Running {
				want = 0
			}
			if len(launches) != want {
				w.t.Errorf("%s is wanted %s and has the processes %v", i.Name, i.Desired, launches)
				continue
			}
			if want == 0 {
				if i.PID != 0 || i.State != "stopped" {
					w.t.Errorf("%s is reported %s, pid %d; it does not run", i.Name, i.State, i.PID)
				}
				continue
			}
			// A process that serves on after a failed upgrade counts as of a later
			// generation than the one that it was launched as.
			launched := strings.Contains(launches[0], fmt.Sprintf("/%d/", i.Generation)) || strings.Contains(i.Reason, "serves on")
			if pid != i.PID || !launched || i.Process != i.Generation {
				w.t.Errorf("%s is reported as pid %d of generation %d (wanted %d); it is pid %d, %v", i.Name, i.PID, i.Process, i.Generation, pid, launches)
			}
			if exe, err := os.Readlink(fmt.Sprintf("/proc/%d/exe", pid)); err != nil || !strings.Contains(exe, "/"+i.Release+"/") || i.Running != i.Release {
				w.t.Errorf("%s is reported to run %.12s (wanted %.12s) and runs %s, %v", i.Name, i.Running, i.Release, exe, err)
			}
			if _, err := proc.Health(context.Background(), i.Listen, 5*time.Second); (err == nil) != (i.State == "ready") {
				w.t.Errorf("%s is reported %s; its health call: %v", i.Name, i.State, err)
			}
		}
	}
}

// once says whether a report has each target exactly once.
func (w *world) once(rep *client.Report, op api.Operation) map[string]client.InstanceResult {
	w.t.Helper()
	rows := make(map[string]client.InstanceResult)
	for _, r := range rep.Rows {
		if _, twice := rows[r.Instance]; twice {
			w.t.Errorf("%s is in the report twice", r.Instance)
		}
		rows[r.Instance] = r
	}
	if len(rows) != len(op.Targets) {
		w.t.Errorf("%d of %d instances are in the report", len(rows), len(op.Targets))
	}
	return rows
}

// simulated is agents in this process whose sidecars are only pretended.
type simulated struct {
	fleet  *client.Fleet
	hosts  []*simhost.Host
	agents []*agent.Agent
	cfgs   []*agent.Config
	stores []store.Store
	ops    api.Operation // targets of all instances
}

// simulate starts agents with so many pretended sidecars each, over loopback.
func simulate(t testing.TB, hosts, each int, ready, drain time.Duration, edit func(*agent.Config)) *simulated {
	t.Helper()
	s := &simulated{}
	dir := t.TempDir()
	binary := filepath.Join(dir, "sidecar")
	if err := os.WriteFile(binary, []byte("#!/bin/false\n"), 0o700); err != nil {
		t.Fatal(err)
	}
	inv := &inventory.Inventory{Timeout: quantity.Duration(10 * time.Second)}
	for h := range hosts {
		name := fmt.Sprintf("sim-%d", h)
		var text strings.Builder
		fmt.Fprintf(&text, "name = %q\nstate_dir = %q\n[listen]\nplain = \"127.0.0.1:0\"\nplain_role = \"operate\"\n[sidecar]\nbinary = %q\n", name, name, binary)
		for i := range each {
			path := filepath.Join(dir, fmt.Sprintf("%s-%d.json", name, i))
			if err := os.WriteFile(path, fmt.Appendf(nil, `{"listen":"127.0.0.1:%d"}`, 1+h*each+i), 0o600); err != nil {
				t.Fatal(err)
			}
			fmt.Fprintf(&text, "[[instance]]\nname = \"%s-i%d\"\nconfig = %q\n", name, i, path)
		}
		file := filepath.Join(dir, name+".toml")
		if err := os.WriteFile(file, []byte(text.String()), 0o600); err != nil {
			t.Fatal(err)
		}
		cfg, err := agent.LoadConfig(file)
		if err != nil {
			t.Fatal(err)
		}
		if edit != nil {
			edit(cfg)
		}
		machine := simhost.New(ready, drain)
		a, err := agent.New(cfg, machine, func(p string) (store.Store, error) {
			st, err := sqlite.Open(p, int64(cfg.Limits.Record))
			s.stores = append(s.stores, st)
			return st, err
		})
		if err != nil {
			t.Fatal(err)
		}
		ctx, cancel := context.WithCancel(context.Background())
		addr, done := make(chan net.Addr, 1), make(chan error, 1)
		go func() { done <- a.Serve(ctx, func(as []net.Addr) { addr <- as[0] }) }()
		t.Cleanup(func() {
			cancel()
			if err := <-done; err != nil {
				t.Error(err)
			}
			a.Close()
		})
		inv.Hosts = append(inv.Hosts, inventory.Host{Name: name, Address: "tcp:" + (<-addr).String()})
		s.hosts, s.agents, s.cfgs = append(s.hosts, machine), append(s.agents, a), append(s.cfgs, cfg)
	}
	for i := range each {
		for h := range hosts {
			s.ops.Targets = append(s.ops.Targets, api.Target{Host: fmt.Sprintf("sim-%d", h), Instance: fmt.Sprintf("sim-%d-i%d", h, i)})
		}
	}
	s.ops.Ready, s.ops.Soak, s.ops.Operator = 10*time.Second, 0, "tester"
	s.ops.Policy = api.Policy{Batch: 1, MaxUnavailable: 1, OnFailure: api.OnFailureStop}
	f, err := client.New(inv, "tester")
	if err != nil {
		t.Fatal(err)
	}
	s.fleet = f
	t.Cleanup(f.Close)
	eventually(t, "all ready", func() bool {
		for _, h := range f.List(context.Background(), &inventory.Select{}) {
			for _, i := range h.Instances {
				if i.State != "ready" {
					return false
				}
			}
		}
		return true
	})
	return s
}

func (s *simulated) op(action string) api.Operation {
	o := s.ops
	o.ID, o.Action, o.Created = fmt.Sprintf("op-%08x", rand.Uint32()), action, time.Now().UTC()
	return o
}

// launches counts the launches of an instance by generation.
func launches(h *simhost.Host) map[string]int {
	out := make(map[string]int)
	for _, l := range h.Launches() {
		out[l[:strings.LastIndexByte(l, '/')]]++
	}
	return out
}

// command runs martendrum and returns what it printed and its exit code.
func (w *world) command(args ...string) (out, errs string, code int) {
	cmd := exec.Command(filepath.Join(w.bin, "martendrum"), append([]string{"--fleet", w.inv}, args...)...)
	var o, e strings.Builder
	cmd.Stdout, cmd.Stderr = &o, &e
	err := cmd.Run()
	if x, ok := err.(*exec.ExitError); ok {
		code = x.ExitCode()
	} else if err != nil {
		w.t.Fatal(err)
	}
	return o.String(), e.String(), code
}

// clients send requests to every instance until stop, one new connection each, and
// tell which were lost.
type clients struct {
	wg     sync.WaitGroup
	end    chan struct{}
	mu     sync.Mutex
	kills  map[string][]time.Time
	sent   int
	served int
	lost   []string
}

// crossing is how long before a sidecar's end a request may be written that it
// did not take any more: it closes its listener 700 ms after SIGTERM, and whoever
// connects at that moment is not served. All that came before SIGTERM is older.
const crossing = 400 * time.Millisecond

func (w *world) traffic(each time.Duration) *clients {
	c := &clients{end: make(chan struct{}), kills: make(map[string][]time.Time)}
	n := 0
	for _, h := range w.hosts {
		for name, addr := range h.listen {
			n++
			c.wg.Go(func() {
				for id := 0; ; id++ {
					select {
					case <-c.end:
						return
					case <-time.After(each/2 + rand.N(each)):
					}
					c.ask(name, addr, fmt.Sprintf("%s-%d", name, id), id%2 == 0)
				}
			})
		}
	}
	return c
}

func (c *clients) ask(name, addr, id string, activate bool) {
	nc, err := net.DialTimeout("tcp", addr, time.Second)
	if err != nil {
		return // nobody there: nothing was taken
	}
	defer nc.Close()
	nc.SetDeadline(time.Now().Add(10 * time.Second))
	req := "GET /status-check HTTP/1.1\r\nHost: app\r\nReq-Kind: status-check\r\nConnection: close\r\nReq-Id: " + id + "\r\n\r\n"
	if activate {
		req = "POST /activate HTTP/1.1\r\nHost: app\r\nReq-Kind: activate\r\nConnection: close\r\nContent-Length: 4\r\nReq-Id: " + id + "\r\n\r\ncard"
	}
	if _, err := io.WriteString(nc, req); err != nil {
		return // not all of it was taken
	}
	wrote := time.Now()
	b, err := io.ReadAll(nc)
	got := time.Now()
	whole := err == nil && strings.HasPrefix(string(b), "HTTP/1.1 ")
	c.mu.Lock()
	defer c.mu.Unlock()
	c.sent++
	switch {
	case whole && strings.HasPrefix(string(b), "HTTP/1.1 200"):
		c.served++
		if !strings.Contains(string(b), id) {
			c.lost = append(c.lost, fmt.Sprintf("%s got another's answer", id))
		}
	case whole: // refused or failed: an answer
	default:
		for _, k := range c.kills[name] {
			if k.After(wrote.Add(-time.Second)) && k.Before(got.Add(time.Second)) {
				return // it was killed, which is no sidecar's fault
			}
		}
		if got.Sub(wrote) > crossing {
			c.lost = append(c.lost, fmt.Sprintf("%s: no answer %v after it was sent: %v", id, got.Sub(wrote), err))
		}
	}
}

func (c *clients) killed(name string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.kills[name] = append(c.kills[name], time.Now())
}

func (c *clients) stop() {
	close(c.end)
	c.wg.Wait()
}
