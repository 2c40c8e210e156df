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

var capacityHosts = flag.String("capacity-hosts", "50,100,200,400", "numbers of hosts, separated by commas, for the capacity benchmarks of one command")

// commandTimeout is how long a command of a capacity benchmark may run.
const commandTimeout = 5 * time.Minute

// inventoryFile writes the inventory of a simulated fleet, for commands that run as separate
// processes, and returns its path.
func inventoryFile(b *testing.B, fleet *simulatedFleet) string {
	b.Helper()
	return inventoryOf(b, fleet, func(host inventory.Host) string { return host.Address })
}

// inventoryOf writes an inventory with the address that the function returns for each host, and
// returns its path.
func inventoryOf(b *testing.B, fleet *simulatedFleet, address func(inventory.Host) string) string {
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

// measureCommand runs martendrum and reports its elapsed time, CPU time, peak memory and file
// descriptors.
func measureCommand(b *testing.B, arguments ...string) {
	b.Helper()
	cost, err := measure.RunCommand(exec.Command(filepath.Join(programs(b), "martendrum"), arguments...), commandTimeout)
	if err != nil {
		b.Fatalf("running martendrum %v: %v", arguments, err)
	}
	b.ReportMetric(cost.Elapsed.Seconds(), "s-elapsed")
	b.ReportMetric(cost.Processor.Seconds(), "s-cpu")
	b.ReportMetric(float64(cost.PeakResident)/(1<<20), "MiB-peak")
	b.ReportMetric(float64(cost.Descriptors), "descriptors")
}

// capacitySizes parses the value of a flag that holds a list of sizes.
func capacitySizes(b *testing.B, list string) []int {
	b.Helper()
	sizes, err := measure.ParseSizes(list)
	if err != nil {
		b.Fatalf("parsing the sizes %q: %v", list, err)
	}
	return sizes
}

// descriptorsInUse returns the number of open file descriptors of this process.
func descriptorsInUse(b *testing.B) int64 {
	b.Helper()
	usage, err := measure.ProcessUsage(os.Getpid())
	if err != nil {
		b.Fatal(err)
	}
	return usage.Descriptors
}

// BenchmarkReloadCapacity measures the process of one command that reloads all instances of a fleet
// at once, with one simulated instance on each host. It also reports the heap and the descriptors
// that each of the agents, which run in this process, takes. Run it with -benchtime=1x, and with
// -count for more samples.
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

// BenchmarkListCapacity measures the process of one command that only lists all instances of a
// fleet, with one simulated instance on each host.
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

// BenchmarkReloadBytesCapacity counts the bytes that one reload command sends to each host and
// receives from it, over TCP without TLS. A proxy in front of each agent counts them. Run it with
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
					b.Fatalf("starting the proxy of host %s: %v", host.Name, err)
				}
				links = append(links, link)
				return "tcp:" + link.Addr()
			})
			for b.Loop() {
				measureCommand(b, "--fleet", file, "reload", "--all", "--batch", "100%", "--soak", "0s")
			}
			var sent, received int64
			for _, link := range links {
				toHost, fromHost := link.RelayedBytes()
				sent += toHost
				received += fromHost
			}
			b.ReportMetric(float64(sent)/float64(hosts), "sent-B/host")
			b.ReportMetric(float64(received)/float64(hosts), "received-B/host")
		})
	}
}
