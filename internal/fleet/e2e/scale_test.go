package e2e

import (
	"context"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"runtime"
	"strconv"
	"strings"
	"testing"
	"time"

	"martendrum/internal/fleet/api"
	"martendrum/internal/fleet/control/inventory"
	"martendrum/internal/fleet/control/rollout"
)

// Parameters of BenchmarkRollingRestart200.
const (
	simReady = 200 * time.Millisecond // from the start of a simulated sidecar until it is ready
	simDrain = 700 * time.Millisecond // from the stop of a simulated sidecar to its end
	simSoak  = 2 * time.Second
	simBatch = 20
)

// reportMemory reports the memory that this process, which runs all agents and the client, has
// obtained from the operating system.
func reportMemory(b *testing.B) {
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	b.ReportMetric(float64(m.Sys)/(1<<20), "MiB-all-agents-and-client")
}

// BenchmarkList200 lists 200 simulated instances on 20 agents over TCP.
func BenchmarkList200(b *testing.B) {
	s := simulate(b, 20, 10, time.Millisecond, time.Millisecond, nil)
	for b.Loop() {
		n := 0
		for _, h := range s.fleet.List(context.Background(), &inventory.Select{}) {
			n += len(h.Instances)
		}
		if n != 200 {
			b.Fatalf("listed %d instances, want 200", n)
		}
	}
	reportMemory(b)
}

// BenchmarkRollingRestart200 restarts 200 simulated instances on 20 agents in batches of 20. It
// reports by how many percent that takes longer than the sum of the batches' drains, starts and
// soak times.
func BenchmarkRollingRestart200(b *testing.B) {
	s := simulate(b, 20, 10, simReady, simDrain, nil)
	batchTimes := time.Duration(200/simBatch) * (simDrain + simReady + simSoak)
	for b.Loop() {
		op := s.newOperation(api.ActRestart)
		op.Soak = simSoak
		op.Policy.Batch, op.Policy.MaxUnavailable = simBatch, simBatch
		began := time.Now()
		rep, err := s.fleet.Start(context.Background(), op, runOptions())
		if err != nil || !rep.OK() {
			b.Fatalf("restart: report %+v, error %v, want success", rep, err)
		}
		b.ReportMetric(100*(float64(time.Since(began))/float64(batchTimes)-1), "%-on-top-of-gates")
	}
	reportMemory(b)
}

// BenchmarkHarmTakenBack60 upgrades 60 real sidecars on 6 agents in stages to a release that fails
// a tenth of its requests, which is rolled back. It reports the time from the first upgrade to the
// end of the last rollback, and how many instances ran the release.
func BenchmarkHarmTakenBack60(b *testing.B) {
	for b.Loop() {
		w := newStagedWorld(b, 6, 10)
		base := w.runningRelease()
		requests := w.startLoad()
		overlay := w.writeOverlay(fmt.Sprintf(`{"discovery": %q}`, startServers(b, func(n int64, rw http.ResponseWriter, _ *http.Request) bool {
			if n%10 == 0 {
				http.Error(rw, "no", http.StatusInternalServerError)
			}
			return n%10 == 0
		})))
		rep := w.startChange(append([]string{"start", "--stages", "6,50%,100%", "--binary", filepath.Join(w.binaries, "sidecar"), "--overlay", overlay},
			append(quickChange, "--longest", "80s", "--batch", "6", "--margin", "unserved=0.02:0.08", "--margin", "worth=0.02:0.08", "--margin", "failed=0.02:0.08")...)...).report()
		w.checkRelease(base)
		requests.stop()
		if rep.Result != rollout.AllRolledBack || len(requests.lost) > 0 {
			b.Fatalf("upgrade: result %s because %s, lost requests %v; want result %s and no lost request", rep.Result, rep.Why, requests.lost, rollout.AllRolledBack)
		}
		var first, last time.Time
		for _, r := range rep.Rows {
			for _, s := range r.Steps {
				if s.Kind == api.Change && (first.IsZero() || s.Started.Before(first)) {
					first = s.Started
				}
				if s.Kind == api.Rollback && s.Finished.After(last) {
					last = s.Finished
				}
			}
		}
		b.Logf("rolled back because %s; %d requests, %d served", rep.Why, requests.sent, requests.served)
		b.ReportMetric(last.Sub(first).Seconds(), "s-to-all-back")
		b.ReportMetric(float64(countChanged(rep)), "instances-touched")
	}
}

// BenchmarkAgentAtRest runs a real agent with ten real sidecars, at the default interval of health
// calls, for 20 s and reports the agent's resident memory and CPU usage. The agent collects metrics
// every 10 s, which is the default, every second, or not at all.
func BenchmarkAgentAtRest(b *testing.B) {
	for _, slot := range []string{"10s", "1s", "0s"} {
		b.Run("figures="+slot, func(b *testing.B) { agentAtRest(b, slot) })
	}
}

// agentAtRest measures an idle agent that collects metrics at the interval slot; "0s" means never.
func agentAtRest(b *testing.B, slot string) {
	w := newWorldWithSections(b, 1, 10, fmt.Sprintf("[figures]\nslot = %q\nkeep = \"30m\"\n", slot))
	h := w.hosts[0]
	text, err := os.ReadFile(h.config)
	if err == nil {
		err = os.WriteFile(h.config, []byte(strings.Replace(string(text), "health_each = \"200ms\"", "health_each = \"1s\"", 1)), 0o600)
	}
	if err != nil {
		b.Fatalf("editing the agent's configuration: %v", err)
	}
	w.startAll()
	w.fleet.Close()
	pid := h.cmd.Process.Pid
	cpu := func() time.Duration {
		text, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
		if err != nil {
			b.Fatal(err)
		}
		f := strings.Fields(string(text[strings.LastIndexByte(string(text), ')')+1:]))
		user, _ := strconv.Atoi(f[11])
		system, _ := strconv.Atoi(f[12])
		return time.Duration(user+system) * 10 * time.Millisecond // a tick is 10 ms on Linux
	}
	for b.Loop() {
		time.Sleep(2 * time.Second) // until the agent's start is over
		const measured = 20 * time.Second
		before := cpu()
		time.Sleep(measured)
		b.ReportMetric(100*float64(cpu()-before)/float64(measured), "%-of-a-core")
		text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
		if err != nil {
			b.Fatal(err)
		}
		_, after, _ := strings.Cut(string(text), "VmRSS:")
		kb, _ := strconv.Atoi(strings.Fields(after)[0])
		b.ReportMetric(float64(kb)/1024, "MiB-resident")
	}
}
