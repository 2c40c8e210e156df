package e2e

import (
	"context"
	"flag"
	"fmt"
	"os"
	"strings"
	"testing"
	"time"

	"martendrum/internal/capacity/measure"
	"martendrum/internal/fleet/api"
	"martendrum/internal/fleet/control/client"
)

var (
	capacityWindow  = flag.Duration("capacity-window", 20*time.Second, "how long a capacity benchmark watches processes")
	capacitySettled = flag.Duration("capacity-settled", 5*time.Second, "how long a capacity benchmark lets processes come to rest before")
)

// hostProcesses is a host's agent and its sidecars, as process ids.
type hostProcesses struct {
	agent    int
	sidecars []int
}

// restingHost starts an agent with real sidecars, with the intervals of its defaults.
func restingHost(b *testing.B, sidecars int) (*world, hostProcesses) {
	b.Helper()
	w := newWorld(b, 1, sidecars)
	h := w.hosts[0]
	text, err := os.ReadFile(h.config)
	if err != nil {
		b.Fatal(err)
	}
	usual := strings.Replace(string(text), "health_each = \"200ms\"", "health_each = \"1s\"", 1)
	if err := os.WriteFile(h.config, []byte(usual), 0o600); err != nil {
		b.Fatal(err)
	}
	w.startAll()
	processes := hostProcesses{agent: h.cmd.Process.Pid}
	for _, host := range w.waitReady() {
		for _, instance := range host.Instances {
			processes.sidecars = append(processes.sidecars, instance.PID)
		}
	}
	return w, processes
}

// usages reads the usage of several processes.
func usages(b *testing.B, pids ...int) []measure.Usage {
	b.Helper()
	all := make([]measure.Usage, len(pids))
	for i, pid := range pids {
		usage, err := measure.Process(pid)
		if err != nil {
			b.Fatal(err)
		}
		all[i] = usage
	}
	return all
}

// reportMeanUsage reports the mean use of processes over a time, by their name.
func reportMeanUsage(b *testing.B, name string, before, after []measure.Usage, over time.Duration) {
	b.Helper()
	var processor time.Duration
	var resident, descriptors int64
	for i := range after {
		processor += after[i].Processor - before[i].Processor
		resident += after[i].Resident
		descriptors += after[i].Descriptors
	}
	count := float64(len(after))
	b.ReportMetric(100*processor.Seconds()/over.Seconds()/count, name+"-%core")
	b.ReportMetric(float64(resident)/(1<<20)/count, name+"-MiB")
	b.ReportMetric(float64(descriptors)/count, name+"-descriptors")
}

// watch measures a host's processes while work runs.
func (p hostProcesses) watch(b *testing.B, work func()) {
	b.Helper()
	agentBefore, sidecarsBefore := usages(b, p.agent), usages(b, p.sidecars...)
	began := time.Now()
	work()
	over := time.Since(began)
	reportMeanUsage(b, "agent", agentBefore, usages(b, p.agent), over)
	reportMeanUsage(b, "sidecar", sidecarsBefore, usages(b, p.sidecars...), over)
}

// BenchmarkAgentCapacity measures a real agent and its real sidecars at rest, by their
// number. Run it with -benchtime=1x.
func BenchmarkAgentCapacity(b *testing.B) {
	for _, sidecars := range []int{1, 2, 5, 10} {
		b.Run(fmt.Sprintf("sidecars=%d", sidecars), func(b *testing.B) {
			w, processes := restingHost(b, sidecars)
			w.fleet.Close()
			for b.Loop() {
				time.Sleep(*capacitySettled)
				processes.watch(b, func() { time.Sleep(*capacityWindow) })
			}
		})
	}
}

// BenchmarkSettingsChangeCapacity measures an agent with one sidecar while an operator's
// command reloads it so many times a minute. Run it with -benchtime=1x.
func BenchmarkSettingsChangeCapacity(b *testing.B) {
	for _, perMinute := range []int{0, 5, 10, 20} {
		b.Run(fmt.Sprintf("changes=%d", perMinute), func(b *testing.B) {
			w, processes := restingHost(b, 1)
			for b.Loop() {
				time.Sleep(*capacitySettled)
				processes.watch(b, func() { reloadEvenly(b, w, perMinute) })
			}
		})
	}
}

// reloadEvenly reloads all instances so many times, spread over a minute.
func reloadEvenly(b *testing.B, w *world, times int) {
	b.Helper()
	began := time.Now()
	for i := range times {
		time.Sleep(time.Until(began.Add(time.Duration(i) * time.Minute / time.Duration(times))))
		operation := w.op(api.ActReload, func(o *api.Operation) { o.Soak = 0 })
		report, err := w.fleet.Start(context.Background(), operation, client.Options{LeaseHolder: operation.ID, TTL: 15 * time.Second, GiveUp: eventuallyTimeout})
		if err != nil || !report.OK() {
			b.Fatal(report, err)
		}
	}
	time.Sleep(time.Until(began.Add(time.Minute)))
}
