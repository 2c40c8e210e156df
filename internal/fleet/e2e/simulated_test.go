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

// simulated is a fleet of real agents in this process with simulated sidecars.
type simulated struct {
	fleet        *client.Fleet
	hosts        []*simhost.Host
	agents       []*agent.Agent
	configs      []*agent.Config
	stores       []store.Store
	allInstances api.Operation // targets of all instances
}

// simulate starts agents on loopback with simulated sidecars, a number of them each.
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
		cfg := simulatedConfig(t, dir, binary, h, each)
		if edit != nil {
			edit(cfg)
		}
		address := s.serve(t, cfg, simhost.New(ready, drain))
		inv.Hosts = append(inv.Hosts, inventory.Host{Name: cfg.Name, Address: "tcp:" + address})
	}
	for i := range each {
		for h := range hosts {
			s.allInstances.Targets = append(s.allInstances.Targets, api.Target{Host: fmt.Sprintf("sim-%d", h), Instance: fmt.Sprintf("sim-%d-i%d", h, i)})
		}
	}
	s.allInstances.Ready, s.allInstances.Soak, s.allInstances.Operator = 10*time.Second, 0, "tester"
	s.allInstances.Policy = api.Policy{Batch: 1, MaxUnavailable: 1, OnFailure: api.OnFailureStop}
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

// simulatedConfig writes and loads the configuration of an agent with simulated sidecars.
func simulatedConfig(t testing.TB, dir, binary string, h, each int) *agent.Config {
	t.Helper()
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
	return cfg
}

// serve runs an agent on a simulated host until the test ends, and returns its address.
func (s *simulated) serve(t testing.TB, cfg *agent.Config, machine *simhost.Host) (address string) {
	t.Helper()
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
	s.hosts, s.agents, s.configs = append(s.hosts, machine), append(s.agents, a), append(s.configs, cfg)
	return (<-addr).String()
}

func (s *simulated) op(action string) api.Operation {
	o := s.allInstances
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
