package e2e

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"martendrum/internal/fleet/api"
	"martendrum/internal/fleet/control/client"
	"martendrum/internal/fleet/control/inventory"
	"martendrum/internal/fleet/control/rollout"
	"martendrum/internal/fleet/host/proc"
	"martendrum/internal/standin/faultnet"
)

// All hosts and servers lose power and restart in random order while clients retry their requests.
// The fleet recovers without losing a request or overloading a server in slow start.
func TestFleetRecoversFromPowerLoss(t *testing.T) {
	hosts, perHost := sizeFromEnv("E2E_HOSTS", 3), sizeFromEnv("E2E_EACH", 4)
	parts, ok := os.LookupEnv("E2E_PARTS")
	if !ok {
		parts = "return,peers"
	}
	w := newRecoveryWorld(t, hosts, perHost, parts)
	w.startAll()
	clients := w.startClients(10)
	eventually(t, "clients to be served", func() bool { return clients.servedFraction(-1, time.Now().Add(-2*time.Second), 2*time.Second) > 0.9 })
	w.powerOff(clients, w.hosts...)
	poweredOn := time.Now()
	w.slowStart.Restart(poweredOn)
	w.shop.SetStartTime(poweredOn)
	w.powerOn(rand.New(rand.NewPCG(1, 1)), w.hosts...)
	states := w.waitReady()
	ready := time.Since(poweredOn)
	recovered := w.waitRecovered(clients, poweredOn)
	t.Logf("%d sidecars on %d hosts, agents' setting fleet=%s: ready after %v, nine tenths of the requests by weight served from %v on; served in the first half of the servers' slow start: status-check %.2f, id-register %.2f, activate %.2f, all %.2f",
		hosts*perHost, hosts, parts, ready, recovered, clients.servedFraction(0, poweredOn, w.slowStart.For/2), clients.servedFraction(1, poweredOn, w.slowStart.For/2), clients.servedFraction(2, poweredOn, w.slowStart.For/2), clients.servedFraction(-1, poweredOn, w.slowStart.For/2))
	w.checkWaves(states)
	w.checkNoHarm(clients)
	if !strings.Contains(parts, "peers") {
		return
	}
	if c := w.verdicts(w.hosts...); c["alone"] > 0 {
		t.Errorf("sidecars' verdicts after all hosts lost power = %v, want none \"alone\"", c)
	}
	for _, h := range w.hosts {
		if n := w.powerLosses(h); n != 1 {
			t.Errorf("agent %s logged %d power losses, want 1", h.name, n)
		}
	}
	if activate, statusCheck := clients.servedFraction(2, poweredOn, w.slowStart.For/2), clients.servedFraction(0, poweredOn, w.slowStart.For/2); activate < statusCheck-0.1 {
		t.Errorf("during slow start %.2f of activate and %.2f of status-check were served, want at most 0.1 less of activate", activate, statusCheck)
	}
}

// A single sidecar that restarts learns from its peers that they stayed up, and its agent detects
// no power loss. The sidecars of a host that lost power learn the same, and its agent detects one
// power loss. The verdict "alone" means that the other sidecars stayed up.
func TestSingleRestartIsNoPowerLoss(t *testing.T) {
	w := newRecoveryWorld(t, 3, 2, "return,peers")
	w.startAll()
	for _, h := range w.hosts {
		for _, name := range h.instances {
			eventually(t, name+" to serve", func() bool { return strings.Contains(w.log(name), "phase serving") })
		}
	}
	time.Sleep(6 * time.Second) // a peer's answer that it stayed up counts once the peer is 5 s old
	name := w.hosts[0].instances[0]
	for launch, f := range proc.Find(w.hosts[0].name + "/" + name + "/") {
		t.Logf("killed the process of launch %s", launch)
		syscall.Kill(f.PID, syscall.SIGKILL)
	}
	eventually(t, "a new process of "+name, func() bool { return strings.Count(w.allLogs(name), recoveryStartMark) == 2 })
	if eventually(t, "a verdict of "+name, func() bool { return w.verdict(name) != "" }); w.verdict(name) != "alone" {
		t.Errorf("verdict of a sidecar that restarted alone = %q, want \"alone\"; its log:\n%s", w.verdict(name), w.log(name))
	}
	if n := w.powerLosses(w.hosts[0]); n > 0 {
		t.Errorf("agent logged %d power losses after the crash of one sidecar, want 0", n)
	}
	// All instances of one host lose power together, as if it were a zone of its own.
	h := w.hosts[1]
	w.powerOff(nil, h)
	w.powerOn(rand.New(rand.NewPCG(1, 1)), h)
	w.waitReady()
	if c := w.verdicts(h); c["alone"] != len(h.instances) {
		t.Errorf("verdicts after one host lost power = %v, want %d \"alone\"", c, len(h.instances))
	}
	if n := w.powerLosses(h); n != 1 {
		t.Errorf("agent %s logged %d power losses, want 1", h.name, n)
	}
}

// Power is lost a second time during the recovery, and one host never restarts. The others recover,
// and their agents count both power losses and back off.
func TestSecondLossMidRecovery(t *testing.T) {
	if testing.Short() {
		t.Skip("takes too long for CI, which uses -short")
	}
	w := newRecoveryWorld(t, 3, 4, "return,peers")
	w.startAll()
	clients := w.startClients(8)
	rng := rand.New(rand.NewPCG(2, 2))
	restarted := w.hosts[:2]
	w.powerOff(clients, w.hosts...)
	w.powerOn(rng, restarted...)
	eventually(t, "the first wave of restarts on both hosts", func() bool {
		return len(proc.Find(restarted[0].name+"/")) > 0 && len(proc.Find(restarted[1].name+"/")) > 0
	})
	w.powerOff(clients, restarted...)
	poweredOn := time.Now()
	w.slowStart.Restart(poweredOn)
	w.shop.SetStartTime(poweredOn)
	w.powerOn(rng, restarted...)
	w.hosts = restarted // the third host never restarts
	var states []client.HostState
	eventually(t, "all instances of the restarted hosts to be ready", func() bool {
		states = nil
		ready := 0
		for _, h := range w.fleet.List(context.Background(), &inventory.Select{}) {
			if h.Host.Name == restarted[0].name || h.Host.Name == restarted[1].name {
				states = append(states, h)
				for _, i := range h.Instances {
					if i.State == "ready" {
						ready++
					}
				}
			}
		}
		return ready == 8
	})
	for _, h := range restarted {
		if n := w.powerLosses(h); n != 2 {
			t.Errorf("agent %s logged %d power losses, want 2", h.name, n)
		}
		data, _ := os.ReadFile(filepath.Join(filepath.Dir(h.config), "s", "losses.json"))
		if !strings.Contains(string(data), `"recent":2`) {
			t.Errorf("losses.json of %s = %s, want it to contain \"recent\":2", h.name, data)
		}
	}
	w.checkWaves(states)
	eventually(t, "clients of the restarted hosts to be served", func() bool {
		served := 0
		clients.mu.Lock()
		for _, request := range clients.requests[max(0, len(clients.requests)-100):] {
			if request.served && request.began.After(poweredOn) {
				served++
			}
		}
		clients.mu.Unlock()
		return served > 50
	})
	w.checkNoHarm(clients)
}

// Peers that do not answer don't delay a sidecar's start: it becomes ready and serves as usual. Its
// verdict is "unsure", so its returning phase, in which it is cautious, does not end at once.
func TestPeersSilentAtStart(t *testing.T) {
	w := newRecoveryWorld(t, 1, 3, "return,peers")
	w.mesh.Set(faultnet.Fault{Drop: true}, func(int, int) bool { return true })
	w.startAll()
	for _, name := range w.hosts[0].instances {
		clients := &retryingClients{killed: make(map[string][]time.Time), notIdempotent: make(map[string]bool)}
		for n := range 20 {
			clients.sendUntilServed(name, w.hosts[0].listenAddresses[name], n, n%3)
		}
		if s := clients.servedFraction(-1, time.Now().Add(-time.Hour), time.Hour); s < 1 {
			t.Errorf("%s served %.2f of the requests, by weight, while no peer answers; want 1", name, s)
		}
	}
	if c := w.verdicts(w.hosts...); c["unsure"] != 3 {
		t.Errorf("verdicts while no peer answers = %v, want 3 \"unsure\"", c)
	}
}

// A power loss suspends an operation: its lease ends, and a resume continues the operation without
// repeating a step.
func TestPowerLossMidChange(t *testing.T) {
	if testing.Short() {
		t.Skip("takes too long for CI, which uses -short")
	}
	w := newRecoveryWorld(t, 2, 3, "return,peers")
	w.startAll()
	op := w.newOperation(api.ActRestart, func(o *api.Operation) { o.Soak = 2 * time.Second })
	done := make(chan *client.Report, 1)
	opt := runOptions()
	opt.GiveUp = 8 * time.Second
	go func() {
		rep, err := w.fleet.Start(context.Background(), op, opt)
		if err != nil {
			t.Errorf("starting the restart: %v", err)
		}
		done <- rep
	}()
	eventually(t, "the first step to launch a process", func() bool { return len(proc.Find(w.hosts[0].name+"/"+w.hosts[0].instances[0]+"/2/")) > 0 })
	w.powerOff(nil, w.hosts...)
	w.powerOn(rand.New(rand.NewPCG(3, 3)), w.hosts...)
	w.waitReady()
	rep := <-done
	w.waitWavesDone(w.hosts...)
	if rep.Result == rollout.Succeeded {
		t.Errorf("restart during which power was lost: result %s, rows %+v, want it not to succeed", rep.Result, rep.Rows)
	}
	resumeOptions := runOptions()
	rep, err := w.fleet.Resume(context.Background(), op.ID, resumeOptions)
	if err != nil {
		t.Fatalf("resuming operation %s: %v", op.ID, err)
	}
	for name, r := range w.rowsByInstance(rep, op) {
		if r.Outcome != rollout.Changed {
			t.Errorf("resumed operation: outcome of %s is %s, reason %q, want %s", name, r.Outcome, r.Reason, rollout.Changed)
		}
	}
	for _, h := range w.waitReady() {
		for _, i := range h.Instances {
			if i.Generation != 2 {
				t.Errorf("%s is at generation %d, want 2: a restart was repeated or skipped", i.Name, i.Generation)
			}
		}
	}
}

// While one host recovers from a power loss, no operation begins on any host: the command rejects
// one on another host, and the host's own agent rejects one on its instances. Operations may begin
// once all waves of restarts have started.
func TestDrainWaitsForRecovery(t *testing.T) {
	w := newRecoveryWorldWithWave(t, 2, 4, "return", 2*time.Second)
	w.startAll()
	w.powerOff(nil, w.hosts[0])
	w.powerOn(rand.New(rand.NewPCG(1, 1)), w.hosts[0])
	var h client.HostState
	eventually(t, "a host to report that it recovers", func() bool {
		h = w.fleet.List(context.Background(), &inventory.Select{})[0]
		return h.Returning != ""
	})
	drain := w.newOperation(api.ActDrain, func(o *api.Operation) {
		o.Targets = []api.Target{{Host: w.hosts[1].name, Instance: w.hosts[1].instances[0]}}
	})
	_, err := w.fleet.Start(context.Background(), drain, runOptions())
	if e, ok := errors.AsType[*api.ReturningError](err); !ok || e.Host != w.hosts[0].name {
		t.Errorf("drain on another host during the recovery of %s: got error %v, want a ReturningError for it", w.hosts[0].name, err)
	}
	own := w.newOperation(api.ActRestart, func(o *api.Operation) {
		o.Targets = []api.Target{{Host: w.hosts[0].name, Instance: w.hosts[0].instances[0]}}
	})
	if err := w.fleet.Agents[0].Call(context.Background(), api.OpOpen, &api.OpenIn{Operation: own, LeaseHolder: "me", TTL: time.Second}, nil); errorCode(err) != api.LeaseHeld || !strings.Contains(err.Error(), "power loss") {
		t.Errorf("opening an operation at the host that recovers: got error %v, want code %s and \"power loss\"", err, api.LeaseHeld)
	}
	states := w.waitReady()
	w.waitWavesDone(w.hosts[0])
	w.checkWaves(states[:1]) // the other host started all its instances at once, as usual
	if states[0].Epoch != 1 || states[1].Epoch != 0 {
		t.Errorf("epochs of the hosts are %d and %d, want 1 and 0: one power loss on the first", states[0].Epoch, states[1].Epoch)
	}
	rep, err := w.fleet.Start(context.Background(), drain, runOptions())
	if err != nil || rep.Result != rollout.Succeeded {
		t.Errorf("drain after the recovery: error %v, report %+v, want success", err, rep)
	}
}

// Power is lost again before or after each write that an agent makes to its store during a
// recovery. The next start recovers in the same way.
func TestPowerLossAtEveryWrite(t *testing.T) {
	if testing.Short() {
		t.Skip("takes too long for CI, which uses -short")
	}
	w := newRecoveryWorld(t, 1, 3, "return")
	w.startAll()
	h := w.hosts[0]
	op := w.newOperation(api.ActRestart, nil)
	opt := runOptions()
	opt.TTL = time.Minute // longer than the test, so only the power loss ends the lease
	var token int64
	for at := 1; at <= 8; at++ {
		for _, after := range []string{"", "1"} {
			t.Logf("power loss at write %d; after the write instead of before it: %v", at, after != "")
			if token == 0 {
				token = w.openOperation(op, opt.LeaseHolder)
			}
			w.powerOff(nil, h)
			h.start("E2E_AGENT="+h.config, fmt.Sprint("E2E_CRASH_AT=", at), "E2E_CRASH_AFTER="+after)
			died := h.waitExit(3 * time.Second)
			w.powerOff(nil, h)
			h.start()
			states := w.waitReady()
			w.checkAgainstProcesses(states)
			for _, i := range states[0].Instances {
				if i.Generation != 1 || i.LeaseHolder != "" || i.Operation != op.ID {
					t.Errorf("%s: generation %d, lease holder %q, operation %q; want generation 1, no lease holder, operation %q", i.Name, i.Generation, i.LeaseHolder, i.Operation, op.ID)
				}
			}
			w.waitWavesDone(h)
			agent, ctx := w.fleet.Agents[0], context.Background()
			if err := agent.Call(ctx, api.StepStart, &api.StepIn{Op: op.ID, Token: token, Instance: h.instances[0], Kind: api.Change}, nil); errorCode(err) != api.Fenced {
				t.Errorf("step with a token from before the power loss: got error %v, want code %s", err, api.Fenced)
			}
			if err := agent.Call(ctx, api.OpOpen, &api.OpenIn{Operation: op, LeaseHolder: opt.LeaseHolder, TTL: time.Minute}, nil); errorCode(err) != api.LeaseHeld || !strings.Contains(err.Error(), "lost power") {
				t.Errorf("opening the operation again for the lease holder from before the power loss: got error %v, want code %s and \"lost power\"", err, api.LeaseHeld)
			}
			if !died {
				return // the agent makes fewer writes than that: all of them were tried
			}
		}
	}
	t.Error("the recovery makes more than 8 writes, want at most 8, which are all that the test covers")
}
