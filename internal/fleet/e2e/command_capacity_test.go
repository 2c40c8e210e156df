package e2e

import (
	"flag"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"martendrum/internal/capacity/measure"
	"martendrum/internal/fleet/control/inventory"
	"martendrum/internal/standin/faultnet"
)

var capacityHosts = flag.String("capacity-hosts", "50,100,200,400", "numbers of hosts of the capacity benchmarks of one command")

// commandTimeout ends a command of a capacity benchmark that hangs.
const commandTimeout = 5 * time.Minute

// inventoryFile writes the inventory of a simulated fleet for commands that run as
// processes of their own.
func inventoryFile(b *testing.B, fleet *simulated) string {
	b.Helper()
	return inventoryOf(b, fleet, func(host inventory.Host) string { return host.Address })
}

// inventoryOf writes an inventory in which each host is reached at the address given.
func inventoryOf(b *testing.B, fleet *simulated, address func(inventory.Host) string) string {
	b.Helper()
	var text strings.Builder
	text.WriteString("timeout = \"10s\"\n")
	for _, agent := range fleet.fleet.Agents {
		fmt.Fprintf(&text, "[[host]]\nname = %q\naddress = %q\n", agent.Host.Name, address(agent.Host))
	}
	path := filepath.Join(b.TempDir(), "fleet.toml")
	if err := os.WriteFile(path, []byte(text.String()), 0o600); err != nil {
		b.Fatal(err)
	}
	return path
}

// measureCommand runs the operators' command and reports what its process took.
func measureCommand(b *testing.B, arguments ...string) {
	b.Helper()
	cost, err := measure.Command(exec.Command(filepath.Join(programs(b), "martendrum"), arguments...), commandTimeout)
	if err != nil {
		b.Fatal(err)
	}
	b.ReportMetric(cost.Elapsed.Seconds(), "s-elapsed")
	b.ReportMetric(cost.Processor.Seconds(), "s-cpu")
	b.ReportMetric(float64(cost.PeakResident)/(1<<20), "MiB-peak")
	b.ReportMetric(float64(cost.Descriptors), "descriptors")
}

// capacitySizes reads a flag that holds a list of sizes.
func capacitySizes(b *testing.B, list string) []int {
	b.Helper()
	sizes, err := measure.Sizes(list)
	if err != nil {
		b.Fatal(err)
	}
	return sizes
}

// descriptorsInUse counts the descriptors of this process.
func descriptorsInUse(b *testing.B) int64 {
	b.Helper()
	usage, err := measure.Process(os.Getpid())
	if err != nil {
		b.Fatal(err)
	}
	return usage.Descriptors
}

// BenchmarkReloadCapacity lets one command reload all instances of a fleet at once, one
// pretended instance on each host, and measures the command's process. Run it with
// -benchtime=1x and -count for more samples.
func BenchmarkReloadCapacity(b *testing.B) {
	for _, hosts := range capacitySizes(b, *capacityHosts) {
		b.Run(fmt.Sprintf("hosts=%d", hosts), func(b *testing.B) {
			heapBefore, descriptorsBefore := measure.HeapInUse(), descriptorsInUse(b)
			fleet := simulate(b, hosts, 1, time.Millisecond, time.Millisecond, nil)
			fleet.fleet.Close()
			heap, descriptors := measure.HeapInUse()-heapBefore, descriptorsInUse(b)-descriptorsBefore
			file := inventoryFile(b, fleet)
			for b.Loop() {
				measureCommand(b, "--fleet", file, "reload", "--all", "--batch", "100%", "--soak", "0s")
			}
			b.ReportMetric(float64(heap)/float64(hosts), "agent-heap-B/host")
			b.ReportMetric(float64(descriptors)/float64(hosts), "agent-descriptors/host")
		})
	}
}

// BenchmarkListCapacity is the same for a command that only asks all agents.
func BenchmarkListCapacity(b *testing.B) {
	for _, hosts := range capacitySizes(b, *capacityHosts) {
		b.Run(fmt.Sprintf("hosts=%d", hosts), func(b *testing.B) {
			fleet := simulate(b, hosts, 1, time.Millisecond, time.Millisecond, nil)
			fleet.fleet.Close()
			file := inventoryFile(b, fleet)
			for b.Loop() {
				measureCommand(b, "--fleet", file, "list", "--json")
			}
		})
	}
}

// BenchmarkReloadBytesCapacity counts what one reload command sends to each host and gets
// from it, over TCP without TLS: a relay stands before each agent. Run it with
// -benchtime=1x.
func BenchmarkReloadBytesCapacity(b *testing.B) {
	for _, hosts := range capacitySizes(b, *capacityHosts) {
		b.Run(fmt.Sprintf("hosts=%d", hosts), func(b *testing.B) {
			fleet := simulate(b, hosts, 1, time.Millisecond, time.Millisecond, nil)
			fleet.fleet.Close()
			network := faultnet.New(1)
			b.Cleanup(network.Close)
			var links []*faultnet.Link
			file := inventoryOf(b, fleet, func(host inventory.Host) string {
				link, err := network.TCP(host.Name, strings.TrimPrefix(host.Address, "tcp:"))
				if err != nil {
					b.Fatal(err)
				}
				links = append(links, link)
				return "tcp:" + link.Addr()
			})
			for b.Loop() {
				measureCommand(b, "--fleet", file, "reload", "--all", "--batch", "100%", "--soak", "0s")
			}
			var sent, received int64
			for _, link := range links {
				there, back := link.Carried()
				sent += there
				received += back
			}
			b.ReportMetric(float64(sent)/float64(hosts), "sent-B/host")
			b.ReportMetric(float64(received)/float64(hosts), "received-B/host")
		})
	}
}
