package e2e

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"martendrum/internal/fleet/api"
	"martendrum/internal/fleet/control/client"
	"martendrum/internal/fleet/control/inventory"
	"martendrum/internal/fleet/host/agent"
	"martendrum/internal/fleet/store"
	"martendrum/internal/fleet/store/sqlite"
	"martendrum/internal/quantity"
	"martendrum/internal/standin/simhost"
)

// simulatedFleet is a fleet of real agents, which run in this process, with simulated sidecars. The
// slices have an element for each agent.
type simulatedFleet struct {
	fleet        *client.Fleet
	hosts        []*simhost.Host
	agents       []*agent.Agent
	configs      []*agent.Config
	stores       []store.Store
	allInstances api.Operation // template of an operation on all instances
}

// simulate starts agents on loopback, with the same number of simulated sidecars each, and waits
// until the sidecars are ready. A simulated sidecar becomes ready after the time ready and ends
// after the time drain; edit may change an agent's configuration.
func simulate(t testing.TB, hosts, perHost int, ready, drain time.Duration, edit func(*agent.Config)) *simulatedFleet {
	t.Helper()
	s := &simulatedFleet{}
	dir := t.TempDir()
	binary := filepath.Join(dir, "sidecar")
	if err := os.WriteFile(binary, []byte("#!/bin/false\n"), 0o700); err != nil {
		t.Fatal(err)
	}
	inv := &inventory.Inventory{Timeout: quantity.Duration(10 * time.Second)}
	for h := range hosts {
		cfg := simulatedConfig(t, dir, binary, h, perHost)
		if edit != nil {
			edit(cfg)
		}
		address := s.serve(t, cfg, simhost.New(ready, drain))
		inv.Hosts = append(inv.Hosts, inventory.Host{Name: cfg.Name, Address: "tcp:" + address})
	}
	for i := range perHost {
		for h := range hosts {
			s.allInstances.Targets = append(s.allInstances.Targets, api.Target{Host: fmt.Sprintf("sim-%d", h), Instance: fmt.Sprintf("sim-%d-i%d", h, i)})
		}
	}
	s.allInstances.ReadyTimeout, s.allInstances.Soak, s.allInstances.Operator = 10*time.Second, 0, "tester"
	s.allInstances.Policy = api.Policy{Batch: 1, MaxUnavailable: 1, OnFailure: api.OnFailureStop}
	f, err := client.New(inv, "tester")
	if err != nil {
		t.Fatalf("creating the fleet's client: %v", err)
	}
	s.fleet = f
	t.Cleanup(f.Close)
	eventually(t, "all simulated sidecars to be ready", func() bool {
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

// simulatedConfig writes the configuration of the agent of host h, with simulated sidecars, and
// loads it.
func simulatedConfig(t testing.TB, dir, binary string, h, perHost int) *agent.Config {
	t.Helper()
	name := fmt.Sprintf("sim-%d", h)
	var text strings.Builder
	fmt.Fprintf(&text, "name = %q\nstate_dir = %q\n[listen]\nplain = \"127.0.0.1:0\"\nplain_role = \"operate\"\n[sidecar]\nbinary = %q\n", name, name, binary)
	for i := range perHost {
		path := filepath.Join(dir, fmt.Sprintf("%s-%d.json", name, i))
		if err := os.WriteFile(path, fmt.Appendf(nil, `{"listen":"127.0.0.1:%d"}`, 1+h*perHost+i), 0o600); err != nil {
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
		t.Fatalf("loading the configuration of agent %s: %v", name, err)
	}
	return cfg
}

// serve runs an agent on a simulated host until the test ends, and returns the agent's address.
func (s *simulatedFleet) serve(t testing.TB, cfg *agent.Config, machine *simhost.Host) (address string) {
	t.Helper()
	a, err := agent.New(cfg, machine, func(p string) (store.Store, error) {
		st, err := sqlite.Open(p, int64(cfg.Limits.Record))
		s.stores = append(s.stores, st)
		return st, err
	})
	if err != nil {
		t.Fatalf("creating agent %s: %v", cfg.Name, err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	addr, done := make(chan net.Addr, 1), make(chan error, 1)
	go func() { done <- a.Serve(ctx, func(as []net.Addr) { addr <- as[0] }) }()
	t.Cleanup(func() {
		cancel()
		if err := <-done; err != nil {
			t.Errorf("agent %s ended with error: %v", cfg.Name, err)
		}
		a.Close()
	})
	s.hosts, s.agents, s.configs = append(s.hosts, machine), append(s.agents, a), append(s.configs, cfg)
	return (<-addr).String()
}

// newOperation returns an operation on all instances, one at a time.
func (s *simulatedFleet) newOperation(action string) api.Operation {
	o := s.allInstances
	o.ID, o.Action, o.Created = fmt.Sprintf("op-%08x", rand.Uint32()), action, time.Now().UTC()
	return o
}

// launches counts the launches on a host by instance and generation. Its keys are the names of the
// launches without their last, random part: HOST/INSTANCE/GENERATION.
func launches(h *simhost.Host) map[string]int {
	counts := make(map[string]int)
	for _, launch := range h.Launches() {
		counts[launch[:strings.LastIndexByte(launch, '/')]]++
	}
	return counts
}
