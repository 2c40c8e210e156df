package e2e

import (
	"flag"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"runtime"
	"strconv"
	"strings"
	"testing"
	"time"
)

var capacityHosts = flag.String("capacity-hosts", "50,100,200,400", "numbers of hosts of the capacity benchmarks of one command")

// commandTimeout ends a command of a capacity benchmark that hangs.
const commandTimeout = 5 * time.Minute

// commandSampling is how often a command's descriptors and memory are looked at.
const commandSampling = 2 * time.Millisecond

// sizesOf reads a comma separated list of sizes.
func sizesOf(b *testing.B, list string) []int {
	b.Helper()
	var sizes []int
	for field := range strings.SplitSeq(list, ",") {
		size, err := strconv.Atoi(field)
		if err != nil {
			b.Fatal(err)
		}
		sizes = append(sizes, size)
	}
	return sizes
}

// openDescriptors counts the descriptors of a process, 0 if it has ended.
func openDescriptors(pid int) int64 {
	entries, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", pid))
	if err != nil {
		return 0
	}
	return int64(len(entries))
}

// peakResident is the most resident memory that a process had so far, in bytes; 0 if it
// has ended. The kernel's ru_maxrss is of no use here: it begins with the parent's.
func peakResident(pid int) int64 {
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0
	}
	_, after, found := strings.Cut(string(status), "VmHWM:")
	if !found {
		return 0
	}
	kilobytes, err := strconv.ParseInt(strings.Fields(after)[0], 10, 64)
	if err != nil {
		return 0
	}
	return kilobytes << 10
}

// liveHeap is the heap after a collection.
func liveHeap() uint64 {
	var stats runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&stats)
	return stats.HeapAlloc
}

// commandCost is what one process of the operators' command took.
type commandCost struct {
	elapsed     time.Duration
	processor   time.Duration
	peakMemory  int64 // resident bytes
	descriptors int64 // open at once, at most
}

// measureCommand runs a command to its end and measures it.
func measureCommand(b *testing.B, command *exec.Cmd) commandCost {
	b.Helper()
	var output strings.Builder
	command.Stdout, command.Stderr = &output, &output
	began := time.Now()
	if err := command.Start(); err != nil {
		b.Fatal(err)
	}
	timer := time.AfterFunc(commandTimeout, func() { command.Process.Kill() })
	defer timer.Stop()
	var descriptors, memory int64
	ended, sampled := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(sampled)
		ticker := time.NewTicker(commandSampling)
		defer ticker.Stop()
		for {
			select {
			case <-ended:
				return
			case <-ticker.C:
				descriptors = max(descriptors, openDescriptors(command.Process.Pid))
				memory = max(memory, peakResident(command.Process.Pid))
			}
		}
	}()
	err := command.Wait()
	elapsed := time.Since(began)
	close(ended)
	<-sampled
	if err != nil {
		text := output.String()
		b.Fatalf("%v: %s", err, text[max(0, len(text)-2000):])
	}
	return commandCost{
		elapsed:     elapsed,
		processor:   command.ProcessState.UserTime() + command.ProcessState.SystemTime(),
		peakMemory:  memory,
		descriptors: descriptors,
	}
}

// inventoryFile writes the inventory of a simulated fleet for commands that run as
// processes of their own.
func inventoryFile(b *testing.B, fleet *simulated) string {
	b.Helper()
	var text strings.Builder
	text.WriteString("timeout = \"10s\"\n")
	for _, agent := range fleet.fleet.Agents {
		fmt.Fprintf(&text, "[[host]]\nname = %q\naddress = %q\n", agent.Host.Name, agent.Host.Address)
	}
	path := filepath.Join(b.TempDir(), "fleet.toml")
	if err := os.WriteFile(path, []byte(text.String()), 0o600); err != nil {
		b.Fatal(err)
	}
	return path
}

func reportCost(b *testing.B, cost commandCost) {
	b.ReportMetric(cost.elapsed.Seconds(), "s-elapsed")
	b.ReportMetric(cost.processor.Seconds(), "s-cpu")
	b.ReportMetric(float64(cost.peakMemory)/(1<<20), "MiB-peak")
	b.ReportMetric(float64(cost.descriptors), "descriptors")
}

// BenchmarkReloadCapacity lets one command reload all instances of a fleet at once, one
// pretended instance on each host, and measures the command's process. Run it with
// -benchtime=1x and -count for more samples.
func BenchmarkReloadCapacity(b *testing.B) {
	for _, hosts := range sizesOf(b, *capacityHosts) {
		b.Run(fmt.Sprintf("hosts=%d", hosts), func(b *testing.B) {
			heapBefore, descriptorsBefore := liveHeap(), openDescriptors(os.Getpid())
			fleet := simulate(b, hosts, 1, time.Millisecond, time.Millisecond, nil)
			fleet.fleet.Close()
			heap, descriptors := liveHeap()-heapBefore, openDescriptors(os.Getpid())-descriptorsBefore
			inventory := inventoryFile(b, fleet)
			program := filepath.Join(programs(b), "martendrum")
			for b.Loop() {
				cost := measureCommand(b, exec.Command(program, "--fleet", inventory, "reload", "--all", "--batch", "100%", "--soak", "0s"))
				reportCost(b, cost)
			}
			b.ReportMetric(float64(heap)/float64(hosts), "agent-heap-B/host")
			b.ReportMetric(float64(descriptors)/float64(hosts), "agent-descriptors/host")
		})
	}
}

// BenchmarkListCapacity is the same for a command that only asks all agents.
func BenchmarkListCapacity(b *testing.B) {
	for _, hosts := range sizesOf(b, *capacityHosts) {
		b.Run(fmt.Sprintf("hosts=%d", hosts), func(b *testing.B) {
			fleet := simulate(b, hosts, 1, time.Millisecond, time.Millisecond, nil)
			fleet.fleet.Close()
			inventory := inventoryFile(b, fleet)
			program := filepath.Join(programs(b), "martendrum")
			for b.Loop() {
				reportCost(b, measureCommand(b, exec.Command(program, "--fleet", inventory, "list", "--json")))
			}
		})
	}
}
