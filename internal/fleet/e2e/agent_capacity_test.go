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
	capacityWindow  = flag.Duration("capacity-window", 20*time.Second, "how long a capacity benchmark measures processes")
	capacitySettled = flag.Duration("capacity-settled", 5*time.Second, "how long a capacity benchmark waits for processes to become idle before it measures them")
)

// hostProcesses holds the process ids of an agent and its sidecars.
type hostProcesses struct {
	agent    int
	sidecars []int
}

// startIdleHost starts an agent with real sidecars and the default interval of health calls, and
// waits until they are ready.
func startIdleHost(b *testing.B, sidecars int) (*world, hostProcesses) {
	b.Helper()
	w := newWorld(b, 1, sidecars)
	h := w.hosts[0]
	text, err := os.ReadFile(h.config)
	if err != nil {
		b.Fatal(err)
	}
	withDefaults := strings.Replace(string(text), "health_each = \"200ms\"", "health_each = \"1s\"", 1)
	if err := os.WriteFile(h.config, []byte(withDefaults), 0o600); err != nil {
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

// usages reads the resource usage of several processes.
func usages(b *testing.B, pids ...int) []measure.Usage {
	b.Helper()
	all := make([]measure.Usage, len(pids))
	for i, pid := range pids {
		usage, err := measure.ProcessUsage(pid)
		if err != nil {
			b.Fatalf("reading the usage of process %d: %v", pid, err)
		}
		all[i] = usage
	}
	return all
}

// reportMeanUsage reports the mean usage of processes as metrics that begin with name. CPU usage is
// averaged over the elapsed time between the readings before and after; memory and descriptors are
// those of the second reading.
func reportMeanUsage(b *testing.B, name string, before, after []measure.Usage, elapsed time.Duration) {
	b.Helper()
	var processor time.Duration
	var resident, descriptors int64
	for i := range after {
		processor += after[i].Processor - before[i].Processor
		resident += after[i].Resident
		descriptors += after[i].Descriptors
	}
	count := float64(len(after))
	b.ReportMetric(100*processor.Seconds()/elapsed.Seconds()/count, name+"-%core")
	b.ReportMetric(float64(resident)/(1<<20)/count, name+"-MiB")
	b.ReportMetric(float64(descriptors)/count, name+"-descriptors")
}

// measureDuring reports the usage of a host's processes while work runs.
func (p hostProcesses) measureDuring(b *testing.B, work func()) {
	b.Helper()
	agentBefore, sidecarsBefore := usages(b, p.agent), usages(b, p.sidecars...)
	began := time.Now()
	work()
	elapsed := time.Since(began)
	reportMeanUsage(b, "agent", agentBefore, usages(b, p.agent), elapsed)
	reportMeanUsage(b, "sidecar", sidecarsBefore, usages(b, p.sidecars...), elapsed)
}

// BenchmarkAgentCapacity measures an idle agent and its idle sidecars, all real processes, for
// different numbers of sidecars. Run it with -benchtime=1x.
func BenchmarkAgentCapacity(b *testing.B) {
	for _, sidecars := range []int{1, 2, 5, 10} {
		b.Run(fmt.Sprintf("sidecars=%d", sidecars), func(b *testing.B) {
			w, processes := startIdleHost(b, sidecars)
			w.fleet.Close()
			for b.Loop() {
				time.Sleep(*capacitySettled)
				processes.measureDuring(b, func() { time.Sleep(*capacityWindow) })
			}
		})
	}
}

// BenchmarkSettingsChangeCapacity measures an agent with one sidecar while an operator's
// client reloads the sidecar at different rates per minute. Run it with -benchtime=1x.
func BenchmarkSettingsChangeCapacity(b *testing.B) {
	for _, perMinute := range []int{0, 5, 10, 20} {
		b.Run(fmt.Sprintf("changes=%d", perMinute), func(b *testing.B) {
			w, processes := startIdleHost(b, 1)
			for b.Loop() {
				time.Sleep(*capacitySettled)
				processes.measureDuring(b, func() { reloadEvenly(b, w, perMinute) })
			}
		})
	}
}

// reloadEvenly reloads all instances the given number of times, spread over a minute.
func reloadEvenly(b *testing.B, w *world, times int) {
	b.Helper()
	began := time.Now()
	for i := range times {
		time.Sleep(time.Until(began.Add(time.Duration(i) * time.Minute / time.Duration(times))))
		operation := w.newOperation(api.ActReload, func(o *api.Operation) { o.Soak = 0 })
		report, err := w.fleet.Start(context.Background(), operation, client.Options{LeaseHolder: operation.ID, TTL: 15 * time.Second, GiveUp: eventuallyTimeout})
		if err != nil || !report.OK() {
			b.Fatalf("reload %d: report %+v, error %v; want it to succeed", i, report, err)
		}
	}
	time.Sleep(time.Until(began.Add(time.Minute)))
}
