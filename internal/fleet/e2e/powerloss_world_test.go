package e2e

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"syscall"
	"testing"
	"time"

	"martendrum/internal/fleet/api"
	"martendrum/internal/fleet/control/inventory"
	"martendrum/internal/fleet/host/proc"
	"martendrum/internal/standin/faultnet"
	"martendrum/internal/standin/shop"
)

// recoveryWorld is a fleet whose sidecars gossip over a mesh and whose servers begin in slow
// start.
type recoveryWorld struct {
	*world
	slowStart *shop.SlowStart
	mesh      *faultnet.Mesh
	rank      map[string]int
}

// sized returns a scenario's size: the usual one, or a larger one from the environment.
func sized(name string, usual int) int {
	if n, err := strconv.Atoi(os.Getenv(name)); err == nil {
		return n
	}
	return usual
}

func newRecoveryWorld(t *testing.T, hosts, each int, parts string) *recoveryWorld {
	t.Helper()
	return newRecoveryWorldWithWave(t, hosts, each, parts, 100*time.Millisecond)
}

// newRecoveryWorldWithWave is newRecoveryWorld with a time between the waves of restarts.
func newRecoveryWorldWithWave(t *testing.T, hosts, each int, parts string, wave time.Duration) *recoveryWorld {
	t.Helper()
	p := &recoveryWorld{rank: make(map[string]int), slowStart: &shop.SlowStart{
		Workers: 4, Work: 40 * time.Millisecond, Queue: 20, From: 0.14, For: 6 * time.Second, Factor: 4, Window: time.Second,
	}}
	servers := max(4, hosts*each/5)
	p.world = newWorldWithServers(t, hosts, each, fmt.Sprintf("fleet = %q\n[recovery]\nwave_least = %q\n", parts, wave), func() (*shop.Shop, error) {
		return shop.NewWith(servers, p.slowStart.Serve)
	})
	var homes, names []string
	for _, h := range p.hosts {
		for _, name := range h.instances {
			host, _, err := net.SplitHostPort(h.listenAddresses[name])
			if err != nil {
				t.Fatal(err)
			}
			c, err := net.ListenPacket("udp4", host+":0") // the instance's own address
			if err != nil {
				t.Fatal(err)
			}
			c.Close()
			p.rank[name] = len(names)
			homes, names = append(homes, c.LocalAddr().String()), append(names, name)
		}
	}
	net := faultnet.New(1)
	t.Cleanup(net.Close)
	var err error
	if p.mesh, err = net.Mesh(homes); err != nil {
		t.Fatal(err)
	}
	for n, name := range names {
		p.edit(name, func(c map[string]any) {
			set := c["settings"].(map[string]any)
			set["rank"], set["replicasOfMe"] = n, len(names)
			set["caps"].(map[string]any)["peers"] = true
			set["guarantees"] = map[string]any{
				"drainGraceUs": 2000000, "coldFrom": p.slowStart.From, "coldUs": p.slowStart.For.Microseconds(),
				"overloadFactor": p.slowStart.Factor, "overloadForUs": p.slowStart.Window.Microseconds(),
			}
			c["peer_listen"], c["peers"] = homes[n], p.mesh.Addrs()
		})
	}
	return p
}

func (p *recoveryWorld) hostOf(name string) *host {
	for _, h := range p.hosts {
		if h.listenAddresses[name] != "" {
			return h
		}
	}
	p.t.Fatal("no host of " + name)
	return nil
}

// edit changes an instance's configuration.
func (p *recoveryWorld) edit(name string, change func(map[string]any)) {
	p.t.Helper()
	path := filepath.Join(filepath.Dir(p.hostOf(name).config), name+".json")
	data, err := os.ReadFile(path)
	c := make(map[string]any)
	if err == nil {
		err = json.Unmarshal(data, &c)
	}
	if err == nil {
		change(c)
		data, err = json.Marshal(c)
	}
	if err == nil {
		err = os.WriteFile(path, data, 0o600)
	}
	if err != nil {
		p.t.Fatal(err)
	}
}

// powerOff kills every process of the hosts at once, as a power loss does. The clients v, if not
// nil, are told before and after it, so that they count no request in flight as lost.
func (p *recoveryWorld) powerOff(v *retryingClients, hosts ...*host) {
	if v != nil {
		v.markKilled(hosts...)
		defer v.markKilled(hosts...)
	}
	for _, h := range hosts {
		h.signal(syscall.SIGKILL) // first: it would start them again
	}
	for _, h := range hosts {
		for _, f := range proc.Find(h.name + "/") {
			syscall.Kill(f.PID, syscall.SIGKILL)
		}
		h.kill()
	}
	for _, h := range hosts { // one may have been started in between
		eventually(p.t, "the end of a host's processes", func() bool {
			for _, f := range proc.Find(h.name + "/") {
				syscall.Kill(f.PID, syscall.SIGKILL)
			}
			return len(proc.Find(h.name+"/")) == 0
		})
	}
}

// powerOn starts the hosts' agents in random order.
func (p *recoveryWorld) powerOn(rng *rand.Rand, hosts ...*host) {
	for _, i := range rng.Perm(len(hosts)) {
		hosts[i].start()
	}
}

// recoveryStartMark is the first log line of a sidecar in its recovery phase.
const recoveryStartMark = "phase asking"

// log returns what an instance's sidecars have logged since their last start.
func (p *recoveryWorld) log(name string) string {
	text := p.allLogs(name)
	return text[max(0, strings.LastIndex(text, recoveryStartMark)):]
}

// verdict returns a sidecar's verdict on whether its peers stayed up, "" while it has none.
func (p *recoveryWorld) verdict(name string) string {
	text := strings.ReplaceAll(p.log(name), "verdict=open", "")
	_, rest, _ := strings.Cut(text, "verdict=")
	v, _, _ := strings.Cut(rest, " ")
	return v
}

func (p *recoveryWorld) verdicts(hosts ...*host) map[string]int {
	count := make(map[string]int)
	for _, h := range hosts {
		for _, name := range h.instances {
			eventually(p.t, "a verdict of "+name, func() bool { return p.verdict(name) != "" })
			count[p.verdict(name)]++
		}
	}
	return count
}

// powerLosses returns how many power losses an agent has logged.
func (p *recoveryWorld) powerLosses(h *host) (n int) {
	text, _ := os.ReadFile(h.config + ".log")
	return strings.Count(string(text), "power loss detected, restarting instances in waves")
}

// allLogs returns all that an instance's sidecars have logged.
func (p *recoveryWorld) allLogs(name string) string {
	text, _ := os.ReadFile(filepath.Join(filepath.Dir(p.hostOf(name).config), "s", "logs", name+".log"))
	return string(text)
}

// waitWavesDone waits until all waves of the hosts' restarts have begun.
func (p *recoveryWorld) waitWavesDone(hosts ...*host) {
	p.t.Helper()
	eventually(p.t, "the end of the waves", func() bool {
		for _, s := range p.fleet.List(context.Background(), &inventory.Select{}) {
			for _, h := range hosts {
				if s.Host.Name == h.name && (s.Error != "" || s.Returning != "") {
					return false
				}
			}
		}
		return true
	})
}

// openOperation opens an operation at the only agent and returns its fencing token.
func (p *recoveryWorld) openOperation(op api.Operation, holder string) int64 {
	p.t.Helper()
	var out api.OpenOut
	if err := p.fleet.Agents[0].Call(context.Background(), api.OpOpen, &api.OpenIn{Operation: op, LeaseHolder: holder, TTL: time.Minute}, &out); err != nil {
		p.t.Fatal(err)
	}
	return out.Token
}

// waitExit waits for the end of the agent's process and reports whether it came in time.
func (h *host) waitExit(within time.Duration) bool {
	h.mu.Lock()
	end := h.end
	h.mu.Unlock()
	select {
	case <-end:
		return true
	case <-time.After(within):
		return false
	}
}
