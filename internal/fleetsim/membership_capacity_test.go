package fleetsim

import (
	"flag"
	"fmt"
	"os"
	"runtime"
	"testing"
	"time"

	"martendrum/internal/capacity/measure"
	"martendrum/internal/peers"
)

var (
	capacitySizes = flag.String("capacity-sizes", "50,100,150,200,300", "fleet sizes of the capacity benchmarks, separated by commas")
	capacitySeeds = flag.Int("capacity-seeds", 3, "number of runs of a capacity benchmark at each size; their seeds count from 1")
	capacityLimit = flag.Duration("capacity-limit", 5*time.Minute, "simulated time after which a membership benchmark fails")
)

// capacityWorkers is the maximum number of goroutines of a simulated fleet in a capacity benchmark.
const capacityWorkers = 3

// membershipStep is the simulated time between two checks of whether sidecars know nearly all
// others, or know of the loss of a zone.
const membershipStep = 250 * time.Millisecond

// fleetSizes returns the sizes in the flag -capacity-sizes.
func fleetSizes(b *testing.B) []int {
	b.Helper()
	sizes, err := measure.ParseSizes(*capacitySizes)
	if err != nil {
		b.Fatalf("flag -capacity-sizes: %v", err)
	}
	return sizes
}

// processorTime returns the processor time that this process has used so far.
func processorTime(b *testing.B) time.Duration {
	b.Helper()
	usage, err := measure.ProcessUsage(os.Getpid())
	if err != nil {
		b.Fatalf("read the resource usage of this process: %v", err)
	}
	return usage.Processor
}

// sentBytes returns the number of bytes that all sidecars of a simulated fleet have sent so far.
func sentBytes(fleet *Gossip, size int) uint64 {
	total := uint64(0)
	for rank := range size {
		_, bytes := fleet.Sent(rank)
		total += bytes
	}
	return total
}

// knowsNearlyAll returns a function that reports whether a sidecar knows at least 99 in 100 members
// of the fleet as alive.
func knowsNearlyAll(fleet *Gossip, size int) func(Peer) bool {
	return func(peer Peer) bool {
		return float64(peer.Count(fleet.Now).Living) >= 0.99*float64(size)
	}
}

// BenchmarkMembershipCapacity starts all sidecars of a simulated fleet at once, each with
// the default budget of 600 bytes a second, and measures the simulated time until nine in
// ten know 99 in 100 members of the fleet as alive. Run it with -benchtime=1x.
func BenchmarkMembershipCapacity(b *testing.B) {
	for _, size := range fleetSizes(b) {
		for seed := 1; seed <= *capacitySeeds; seed++ {
			b.Run(fmt.Sprintf("size=%d/seed=%d", size, seed), func(b *testing.B) {
				for b.Loop() {
					measureMembership(b, size, uint64(seed))
				}
			})
		}
	}
}

// runUntilNineInTen runs a fleet until a condition holds for nine in ten of its sidecars, and returns
// how long that took in simulated time. The condition is checked after each step.
func runUntilNineInTen(b *testing.B, fleet *Gossip, step time.Duration, condition func(Peer) bool) time.Duration {
	b.Helper()
	began := fleet.Now
	for fleet.InformedFraction(condition) < 0.9 {
		if fleet.Now-began > *capacityLimit {
			b.Fatalf("the awaited condition holds for a fraction of %.2f of the sidecars after %v of simulated time, want at least 0.9", fleet.InformedFraction(condition), fleet.Now-began)
		}
		fleet.Run(fleet.Now+step, nil)
	}
	return fleet.Now - began
}

// measureMembership runs BenchmarkMembershipCapacity once, for one size and seed.
func measureMembership(b *testing.B, size int, seed uint64) {
	b.Helper()
	heapBefore := measure.HeapInUse()
	processorBefore := processorTime(b)
	fleet := startGossip(size, seed, platformNetwork, capacityWorkers)
	runUntilNineInTen(b, fleet, membershipStep, knowsNearlyAll(fleet, size))
	sidecarSeconds := float64(size) * fleet.Now.Seconds()
	b.ReportMetric(fleet.Now.Seconds(), "s-to-converge")
	b.ReportMetric(float64(sentBytes(fleet, size))/sidecarSeconds, "sent-B/s")
	b.ReportMetric((processorTime(b)-processorBefore).Seconds()*1e6/sidecarSeconds, "cpu-us/s")
	b.ReportMetric(float64(measure.HeapInUse()-heapBefore)/float64(size), "heap-B/sidecar")
	runtime.KeepAlive(fleet)
}

// BenchmarkMemberCapacity measures the heap of one membership node that knows no other member
// yet, by the size of its fleet, and the heap that the simulator itself uses for each sidecar.
func BenchmarkMemberCapacity(b *testing.B) {
	for _, size := range []int{300, 1000, 3000, 10000, 21000} {
		b.Run(fmt.Sprintf("size=%d", size), func(b *testing.B) {
			for b.Loop() {
				before := measure.HeapInUse()
				fleet := NewGossip(size, 1, platformNetwork, 1, peers.Config{Cluster: "test", Kinds: kinds})
				beforeStart := measure.HeapInUse()
				fleet.StartSidecar(0)
				b.ReportMetric(float64(measure.HeapInUse()-beforeStart), "heap-B/node")
				b.ReportMetric(float64(beforeStart-before)/float64(size), "model-B/place")
				runtime.KeepAlive(fleet)
			}
		})
	}
}

// changeStep is the simulated time between two checks of whether sidecars know of a restart, or of
// the return of a zone.
const changeStep = 20 * time.Millisecond

// zoneCount is the number of zones of the fleet, of which BenchmarkMembershipChangeCapacity stops
// one.
const zoneCount = 27

// BenchmarkMembershipChangeCapacity measures changes in a fleet whose members know each
// other: the simulated time until nine in ten know of one restart, of the loss of a zone
// (one member in 27, all killed at once), and of the zone's return. Run it with
// -benchtime=1x.
func BenchmarkMembershipChangeCapacity(b *testing.B) {
	for _, size := range fleetSizes(b) {
		for seed := 1; seed <= *capacitySeeds; seed++ {
			b.Run(fmt.Sprintf("size=%d/seed=%d", size, seed), func(b *testing.B) {
				for b.Loop() {
					measureMembershipChange(b, size, uint64(seed))
				}
			})
		}
	}
}

// measureMembershipChange runs BenchmarkMembershipChangeCapacity once, for one size and seed.
func measureMembershipChange(b *testing.B, size int, seed uint64) {
	b.Helper()
	fleet := startGossip(size, seed, platformNetwork, capacityWorkers)
	runUntilNineInTen(b, fleet, membershipStep, knowsNearlyAll(fleet, size))
	restarted := size - 1
	fleet.StartSidecar(restarted)
	knowsRestart := knowsAlive(fleet, []int{restarted}, incarnations(fleet, []int{restarted}))
	b.ReportMetric(runUntilNineInTen(b, fleet, changeStep, knowsRestart).Seconds(), "s-restart")

	lost := make([]int, max(1, size/zoneCount))
	for i := range lost {
		lost[i] = i
		fleet.Stop(i)
	}
	b.ReportMetric(runUntilNineInTen(b, fleet, membershipStep, knowsDown(fleet, lost)).Seconds(), "s-zone-lost")
	for _, rank := range lost {
		fleet.StartSidecar(rank)
	}
	knowsReturn := knowsAlive(fleet, lost, incarnations(fleet, lost))
	b.ReportMetric(runUntilNineInTen(b, fleet, changeStep, knowsReturn).Seconds(), "s-zone-returned")
}

// incarnations returns the present incarnations of running sidecars, in the order of ranks.
func incarnations(fleet *Gossip, ranks []int) []uint64 {
	current := make([]uint64, len(ranks))
	for i, rank := range ranks {
		peer, _ := fleet.Peer(rank)
		current[i] = peer.Incarnation()
	}
	return current
}

// knowsAlive returns a function that reports whether a sidecar knows the members of these ranks as
// alive, in these incarnations or later ones.
func knowsAlive(fleet *Gossip, ranks []int, incarnations []uint64) func(Peer) bool {
	return func(peer Peer) bool {
		for i, rank := range ranks {
			member := peer.Member(peers.Rank(rank), fleet.Now)
			if member.State != peers.Alive || member.Incarnation < incarnations[i] {
				return false
			}
		}
		return true
	}
}

// knowsDown returns a function that reports whether a sidecar knows the members of these ranks as
// dead or silent.
func knowsDown(fleet *Gossip, ranks []int) func(Peer) bool {
	return func(peer Peer) bool {
		for _, rank := range ranks {
			state := peer.Member(peers.Rank(rank), fleet.Now).State
			if state != peers.Dead && state != peers.Silent {
				return false
			}
		}
		return true
	}
}
