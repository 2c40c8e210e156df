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

// recoveryWorld is a fleet whose sidecars gossip over a mesh network that can fail, and whose
// application servers begin in slow start.
type recoveryWorld struct {
	*world
	slowStart *shop.SlowStart
	mesh      *faultnet.Mesh
	rank      map[string]int // by instance: its number among all sidecars, from 0
}

// sizeFromEnv returns the integer value of an environment variable, or defaultSize if the variable
// holds no integer.
func sizeFromEnv(name string, defaultSize int) int {
	if n, err := strconv.Atoi(os.Getenv(name)); err == nil {
		return n
	}
	return defaultSize
}

// newRecoveryWorld writes the configuration of a recoveryWorld with 100 ms between the waves of
// restarts. parts is the agents' fleet setting: "return" restarts instances in waves after a power
// loss, "peers" lets sidecars ask their peers whether they stayed up.
func newRecoveryWorld(t *testing.T, hosts, perHost int, parts string) *recoveryWorld {
	t.Helper()
	return newRecoveryWorldWithWave(t, hosts, perHost, parts, 100*time.Millisecond)
}

// newRecoveryWorldWithWave is newRecoveryWorld with another minimum time between the waves of
// restarts.
func newRecoveryWorldWithWave(t *testing.T, hosts, perHost int, parts string, wave time.Duration) *recoveryWorld {
	t.Helper()
	w := &recoveryWorld{rank: make(map[string]int), slowStart: &shop.SlowStart{
		Workers: 4, Work: 40 * time.Millisecond, Queue: 20, From: 0.14, For: 6 * time.Second, Factor: 4, Window: time.Second,
	}}
	servers := max(4, hosts*perHost/5)
	w.world = newWorldWithServers(t, hosts, perHost, fmt.Sprintf("fleet = %q\n[recovery]\nwave_least = %q\n", parts, wave), func() (*shop.Shop, error) {
		return shop.NewWith(servers, w.slowStart.Serve)
	})
	var peerAddresses, names []string
	for _, h := range w.hosts {
		for _, name := range h.instances {
			host, _, err := net.SplitHostPort(h.listenAddresses[name])
			if err != nil {
				t.Fatal(err)
			}
			c, err := net.ListenPacket("udp4", host+":0") // a free port on the instance's own IP address
			if err != nil {
				t.Fatal(err)
			}
			c.Close()
			w.rank[name] = len(names)
			peerAddresses, names = append(peerAddresses, c.LocalAddr().String()), append(names, name)
		}
	}
	network := faultnet.New(1)
	t.Cleanup(network.Close)
	var err error
	if w.mesh, err = network.Mesh(peerAddresses); err != nil {
		t.Fatal(err)
	}
	for n, name := range names {
		w.editConfig(name, func(c map[string]any) {
			settings := c["settings"].(map[string]any)
			settings["rank"], settings["replicasOfMe"] = n, len(names)
			settings["caps"].(map[string]any)["peers"] = true
			settings["guarantees"] = map[string]any{
				"drainGraceUs": 2000000, "coldFrom": w.slowStart.From, "coldUs": w.slowStart.For.Microseconds(),
				"overloadFactor": w.slowStart.Factor, "overloadForUs": w.slowStart.Window.Microseconds(),
			}
			c["peer_listen"], c["peers"] = peerAddresses[n], w.mesh.Addrs()
		})
	}
	return w
}

// hostOf returns the host of an instance.
func (w *recoveryWorld) hostOf(name string) *host {
	for _, h := range w.hosts {
		if h.listenAddresses[name] != "" {
			return h
		}
	}
	w.t.Fatalf("no host has an instance %s", name)
	return nil
}

// editConfig changes the configuration file of an instance.
func (w *recoveryWorld) editConfig(name string, change func(map[string]any)) {
	w.t.Helper()
	path := filepath.Join(filepath.Dir(w.hostOf(name).config), name+".json")
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
		w.t.Fatalf("editing the configuration of %s: %v", name, err)
	}
}

// powerOff kills every process of the hosts at once, as a power loss does. If clients is not nil,
// the kills are recorded there before and after, so that requests in flight do not count as lost.
func (w *recoveryWorld) powerOff(clients *retryingClients, hosts ...*host) {
	if clients != nil {
		clients.markKilled(hosts...)
		defer clients.markKilled(hosts...)
	}
	for _, h := range hosts {
		h.signal(syscall.SIGKILL) // first the agents, which would restart their sidecars
	}
	for _, h := range hosts {
		for _, f := range proc.Find(h.name + "/") {
			syscall.Kill(f.PID, syscall.SIGKILL)
		}
		h.kill()
	}
	for _, h := range hosts { // an agent may have started a sidecar before it was killed
		eventually(w.t, "all processes of "+h.name+" to end", func() bool {
			for _, f := range proc.Find(h.name + "/") {
				syscall.Kill(f.PID, syscall.SIGKILL)
			}
			return len(proc.Find(h.name+"/")) == 0
		})
	}
}

// powerOn starts the agents of the hosts in random order.
func (w *recoveryWorld) powerOn(rng *rand.Rand, hosts ...*host) {
	for _, i := range rng.Perm(len(hosts)) {
		hosts[i].start()
	}
}

// recoveryStartMark is part of the first line that a sidecar logs at its start, when it asks its
// peers whether they stayed up.
const recoveryStartMark = "phase asking"

// log returns what an instance's sidecar has logged since its last start.
func (w *recoveryWorld) log(name string) string {
	text := w.allLogs(name)
	return text[max(0, strings.LastIndex(text, recoveryStartMark)):]
}

// verdict returns the verdict that a sidecar has logged on whether its peers stayed up, "" while it
// has none, which the sidecar logs as "open".
func (w *recoveryWorld) verdict(name string) string {
	text := strings.ReplaceAll(w.log(name), "verdict=open", "")
	_, rest, _ := strings.Cut(text, "verdict=")
	verdict, _, _ := strings.Cut(rest, " ")
	return verdict
}

// verdicts waits until all sidecars of the hosts have a verdict, and counts the verdicts.
func (w *recoveryWorld) verdicts(hosts ...*host) map[string]int {
	count := make(map[string]int)
	for _, h := range hosts {
		for _, name := range h.instances {
			eventually(w.t, "a verdict of "+name, func() bool { return w.verdict(name) != "" })
			count[w.verdict(name)]++
		}
	}
	return count
}

// powerLosses returns the number of power losses that an agent has logged.
func (w *recoveryWorld) powerLosses(h *host) (n int) {
	text, _ := os.ReadFile(h.config + ".log")
	return strings.Count(string(text), "power loss detected, restarting instances in waves")
}

// allLogs returns everything that the sidecar processes of an instance have logged.
func (w *recoveryWorld) allLogs(name string) string {
	text, _ := os.ReadFile(filepath.Join(filepath.Dir(w.hostOf(name).config), "s", "logs", name+".log"))
	return string(text)
}

// waitWavesDone waits until the agents of the hosts have begun all waves of restarts.
func (w *recoveryWorld) waitWavesDone(hosts ...*host) {
	w.t.Helper()
	eventually(w.t, "all waves of restarts to begin", func() bool {
		for _, s := range w.fleet.List(context.Background(), &inventory.Select{}) {
			for _, h := range hosts {
				if s.Host.Name == h.name && (s.Error != "" || s.Returning != "") {
					return false
				}
			}
		}
		return true
	})
}

// openOperation opens an operation at the fleet's only agent and returns its fencing token.
func (w *recoveryWorld) openOperation(op api.Operation, holder string) int64 {
	w.t.Helper()
	var out api.OpenOut
	if err := w.fleet.Agents[0].Call(context.Background(), api.OpOpen, &api.OpenIn{Operation: op, LeaseHolder: holder, TTL: time.Minute}, &out); err != nil {
		w.t.Fatalf("opening operation %s: %v", op.ID, err)
	}
	return out.Token
}

// waitExit waits until the agent's process has ended, and reports whether it did so in time.
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
