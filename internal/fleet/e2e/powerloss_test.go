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

// All hosts and servers lose power and restart in random order while clients retry at once.
func TestFleetRecoversFromPowerLoss(t *testing.T) {
	hosts, each := sized("E2E_HOSTS", 3), sized("E2E_EACH", 4)
	parts, ok := os.LookupEnv("E2E_PARTS")
	if !ok {
		parts = "return,peers"
	}
	p := newRecoveryWorld(t, hosts, each, parts)
	p.startAll()
	v := p.startClients(10)
	eventually(t, "clients that are served", func() bool { return v.servedFraction(-1, time.Now().Add(-2*time.Second), 2*time.Second) > 0.9 })
	p.powerOff(v, p.hosts...)
	at := time.Now()
	p.slowStart.Restart(at)
	p.shop.Started(at)
	p.powerOn(rand.New(rand.NewPCG(1, 1)), p.hosts...)
	states := p.waitReady()
	ready := time.Since(at)
	took := p.waitRecovered(v, at)
	t.Logf("%d sidecars on %d hosts, %s: ready after %v, nine tenths of the worth from %v on; first half of the ramp: status %.2f register %.2f activate %.2f, all %.2f",
		hosts*each, hosts, parts, ready, took, v.servedFraction(0, at, p.slowStart.For/2), v.servedFraction(1, at, p.slowStart.For/2), v.servedFraction(2, at, p.slowStart.For/2), v.servedFraction(-1, at, p.slowStart.For/2))
	p.checkWaves(states)
	p.checkRules(v)
	if !strings.Contains(parts, "peers") {
		return
	}
	if c := p.verdicts(p.hosts...); c["alone"] > 0 {
		t.Errorf("verdicts after the loss of everything: %v", c)
	}
	for _, h := range p.hosts {
		if n := p.powerLosses(h); n != 1 {
			t.Errorf("%s counts %d losses", h.name, n)
		}
	}
	if dear, cheap := v.servedFraction(2, at, p.slowStart.For/2), v.servedFraction(0, at, p.slowStart.For/2); dear < cheap-0.1 {
		t.Errorf("while servers were cold %.2f of activate and %.2f of status-check were served", dear, cheap)
	}
}

// A single sidecar that restarts learns from its peers that they stayed up, and its agent counts
// no power loss. The sidecars of a zone that lost power learn the same; its agent counts one loss.
func TestSingleRestartIsNoPowerLoss(t *testing.T) {
	p := newRecoveryWorld(t, 3, 2, "return,peers")
	p.startAll()
	for _, h := range p.hosts {
		for _, name := range h.instances {
			eventually(t, name+" serves", func() bool { return strings.Contains(p.log(name), "phase serving") })
		}
	}
	time.Sleep(6 * time.Second) // a word that it stayed up counts from an age of five on
	name := p.hosts[0].instances[0]
	for launch, f := range proc.Find(p.hosts[0].name + "/" + name + "/") {
		t.Log("killed", launch)
		syscall.Kill(f.PID, syscall.SIGKILL)
	}
	eventually(t, "a new process", func() bool { return strings.Count(p.allLogs(name), recoveryStartMark) == 2 })
	if eventually(t, "a verdict", func() bool { return p.verdict(name) != "" }); p.verdict(name) != "alone" {
		t.Errorf("one that came back alone says %s:\n%s", p.verdict(name), p.log(name))
	}
	if n := p.powerLosses(p.hosts[0]); n > 0 {
		t.Errorf("one crash was taken for %d losses of power", n)
	}
	// A zone.
	h := p.hosts[1]
	p.powerOff(nil, h)
	p.powerOn(rand.New(rand.NewPCG(1, 1)), h)
	p.waitReady()
	if c := p.verdicts(h); c["alone"] != len(h.instances) {
		t.Errorf("verdicts of a zone that came back: %v", c)
	}
	if n := p.powerLosses(h); n != 1 {
		t.Errorf("its agent counts %d losses", n)
	}
}

// Power is lost a second time during the recovery, and one host never returns: the others recover,
// and their agents back off.
func TestSecondLossMidRecovery(t *testing.T) {
	if testing.Short() {
		t.Skip("longer: not in CI")
	}
	p := newRecoveryWorld(t, 3, 4, "return,peers")
	p.startAll()
	v := p.startClients(8)
	rng := rand.New(rand.NewPCG(2, 2))
	left := p.hosts[:2]
	p.powerOff(v, p.hosts...)
	p.powerOn(rng, left...)
	eventually(t, "the first wave", func() bool { return len(proc.Find(left[0].name+"/")) > 0 && len(proc.Find(left[1].name+"/")) > 0 })
	p.powerOff(v, left...)
	at := time.Now()
	p.slowStart.Restart(at)
	p.shop.Started(at)
	p.powerOn(rng, left...)
	p.hosts = left // the third never returns
	var states []client.HostState
	eventually(t, "all that came back ready", func() bool {
		states = nil
		ready := 0
		for _, h := range p.fleet.List(context.Background(), &inventory.Select{}) {
			if h.Host.Name == left[0].name || h.Host.Name == left[1].name {
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
	for _, h := range left {
		if n := p.powerLosses(h); n != 2 {
			t.Errorf("%s counts %d losses", h.name, n)
		}
		data, _ := os.ReadFile(filepath.Join(filepath.Dir(h.config), "s", "losses.json"))
		if !strings.Contains(string(data), `"recent":2`) {
			t.Errorf("%s keeps %s", h.name, data)
		}
	}
	p.checkWaves(states)
	eventually(t, "clients of the hosts that are there are served", func() bool {
		good := 0
		v.mu.Lock()
		for _, x := range v.all[max(0, len(v.all)-100):] {
			if x.good && x.at.After(at) {
				good++
			}
		}
		v.mu.Unlock()
		return good > 50
	})
	p.checkRules(v)
}

// Silent peers delay nothing: a sidecar becomes ready as usual, serves, and stays cautious.
func TestPeersSilentAtStart(t *testing.T) {
	p := newRecoveryWorld(t, 1, 3, "return,peers")
	p.mesh.Set(faultnet.Fault{Drop: true}, func(int, int) bool { return true })
	p.startAll()
	for _, name := range p.hosts[0].instances {
		v := &retryingClients{down: make(map[string][]time.Time), once: make(map[string]bool)}
		for n := range 20 {
			v.client(name, p.hosts[0].listenAddresses[name], n, n%3)
		}
		if s := v.servedFraction(-1, time.Now().Add(-time.Hour), time.Hour); s < 1 {
			t.Errorf("%s: %.2f of the weight served while all peers are silent", name, s)
		}
	}
	if c := p.verdicts(p.hosts...); c["unsure"] != 3 {
		t.Errorf("verdicts: %v", c)
	}
}

// An operation is suspended by a power loss: its lease is void, and a resume continues without
// repeating a step.
func TestPowerLossMidChange(t *testing.T) {
	if testing.Short() {
		t.Skip("longer: not in CI")
	}
	p := newRecoveryWorld(t, 2, 3, "return,peers")
	p.startAll()
	op := p.op(api.ActRestart, func(o *api.Operation) { o.Soak = 2 * time.Second })
	done := make(chan *client.Report, 1)
	opt := options()
	opt.GiveUp = 8 * time.Second
	go func() {
		rep, err := p.fleet.Start(context.Background(), op, opt)
		if err != nil {
			t.Error(err)
		}
		done <- rep
	}()
	eventually(t, "a step under way", func() bool { return len(proc.Find(p.hosts[0].name+"/"+p.hosts[0].instances[0]+"/2/")) > 0 })
	p.powerOff(nil, p.hosts...)
	p.powerOn(rand.New(rand.NewPCG(3, 3)), p.hosts...)
	p.waitReady()
	rep := <-done
	p.waitWavesDone(p.hosts...)
	if rep.Result == rollout.Succeeded {
		t.Errorf("the run went on as if nothing had been: %s, %+v", rep.Result, rep.Rows)
	}
	again := options()
	rep, err := p.fleet.Resume(context.Background(), op.ID, again)
	if err != nil {
		t.Fatal(err)
	}
	for name, r := range p.rowsByInstance(rep, op) {
		if r.Outcome != rollout.Changed {
			t.Errorf("resumed, %s ends as %s: %s", name, r.Outcome, r.Reason)
		}
	}
	for _, h := range p.waitReady() {
		for _, i := range h.Instances {
			if i.Generation != 2 {
				t.Errorf("%s is in generation %d: a restart was repeated or skipped", i.Name, i.Generation)
			}
		}
	}
}

// While one host recovers, no operation begins on any host, neither at its agent nor by a command
// for another host. It may begin once all waves have started.
func TestDrainWaitsForRecovery(t *testing.T) {
	p := newRecoveryWorldWithWave(t, 2, 4, "return", 2*time.Second)
	p.startAll()
	p.powerOff(nil, p.hosts[0])
	p.powerOn(rand.New(rand.NewPCG(1, 1)), p.hosts[0])
	var h client.HostState
	eventually(t, "a host that says that it comes back", func() bool {
		h = p.fleet.List(context.Background(), &inventory.Select{})[0]
		return h.Returning != ""
	})
	drain := p.op(api.ActDrain, func(o *api.Operation) {
		o.Targets = []api.Target{{Host: p.hosts[1].name, Instance: p.hosts[1].instances[0]}}
	})
	_, err := p.fleet.Start(context.Background(), drain, options())
	if e, ok := errors.AsType[*api.ReturningError](err); !ok || e.Host != p.hosts[0].name {
		t.Errorf("a drain of another host: %v", err)
	}
	own := p.op(api.ActRestart, func(o *api.Operation) {
		o.Targets = []api.Target{{Host: p.hosts[0].name, Instance: p.hosts[0].instances[0]}}
	})
	if err := p.fleet.Agents[0].Call(context.Background(), api.OpOpen, &api.OpenIn{Operation: own, LeaseHolder: "me", TTL: time.Second}, nil); errorCode(err) != api.LeaseHeld || !strings.Contains(err.Error(), "power loss") {
		t.Errorf("an operation there: %v", err)
	}
	states := p.waitReady()
	p.waitWavesDone(p.hosts[0])
	p.checkWaves(states[:1]) // the other started as ever, all at once
	if states[0].Epoch != 1 || states[1].Epoch != 0 {
		t.Errorf("losses reported: %d and %d", states[0].Epoch, states[1].Epoch)
	}
	rep, err := p.fleet.Start(context.Background(), drain, options())
	if err != nil || rep.Result != rollout.Succeeded {
		t.Errorf("a drain after it: %v, %+v", err, rep)
	}
}

// Power is lost again before and after each write that an agent makes to its store during the
// recovery: the next start recovers all the same.
func TestPowerLossAtEveryWrite(t *testing.T) {
	if testing.Short() {
		t.Skip("longer: not in CI")
	}
	p := newRecoveryWorld(t, 1, 3, "return")
	p.startAll()
	h := p.hosts[0]
	op := p.op(api.ActRestart, nil)
	opt := options()
	opt.TTL = time.Minute // longer than the test: only the loss ends it
	var token int64
	for at := 1; at <= 8; at++ {
		for _, after := range []string{"", "1"} {
			t.Logf("write %d, after it %q", at, after)
			if token == 0 {
				token = p.openOperation(op, opt.LeaseHolder)
			}
			p.powerOff(nil, h)
			h.start("E2E_AGENT="+h.config, fmt.Sprint("E2E_CRASH_AT=", at), "E2E_CRASH_AFTER="+after)
			died := h.waitExit(3 * time.Second)
			p.powerOff(nil, h)
			h.start()
			states := p.waitReady()
			p.checkAgainstProcesses(states)
			for _, i := range states[0].Instances {
				if i.Generation != 1 || i.LeaseHolder != "" || i.Operation != op.ID {
					t.Errorf("%s: generation %d, held by %q, operation %q", i.Name, i.Generation, i.LeaseHolder, i.Operation)
				}
			}
			p.waitWavesDone(h)
			agent, ctx := p.fleet.Agents[0], context.Background()
			if err := agent.Call(ctx, api.StepStart, &api.StepIn{Op: op.ID, Token: token, Instance: h.instances[0], Kind: api.Change}, nil); errorCode(err) != api.Fenced {
				t.Errorf("a step by a token of before the loss: %v", err)
			}
			if err := agent.Call(ctx, api.OpOpen, &api.OpenIn{Operation: op, LeaseHolder: opt.LeaseHolder, TTL: time.Minute}, nil); errorCode(err) != api.LeaseHeld || !strings.Contains(err.Error(), "lost its power") {
				t.Errorf("the run from before the loss opens its operation again: %v", err)
			}
			if !died {
				return // there is no such write: all were tried
			}
		}
	}
	t.Error("the return has more writes than were tried")
}
