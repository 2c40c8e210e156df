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
	capacitySizes = flag.String("capacity-sizes", "50,100,150,200,300", "fleet sizes of BenchmarkMembershipCapacity")
	capacitySeeds = flag.Int("capacity-seeds", 3, "seeds of BenchmarkMembershipCapacity, from 1")
	capacityLimit = flag.Duration("capacity-limit", 5*time.Minute, "simulated time after which BenchmarkMembershipCapacity gives up")
)

// capacityWorkers bounds the goroutines of a simulated fleet in a capacity benchmark.
const capacityWorkers = 3

// membershipStep is the resolution of the time to converge.
const membershipStep = 250 * time.Millisecond

// capacityFleets reads the sizes that the flag gives.
func capacityFleets(b *testing.B) []int {
	b.Helper()
	sizes, err := measure.Sizes(*capacitySizes)
	if err != nil {
		b.Fatal(err)
	}
	return sizes
}

// processorTime is the processor time that this process has used so far.
func processorTime(b *testing.B) time.Duration {
	b.Helper()
	usage, err := measure.Process(os.Getpid())
	if err != nil {
		b.Fatal(err)
	}
	return usage.Processor
}

// sentBytes is what all sidecars of a simulated fleet have sent so far.
func sentBytes(fleet *Gossip, size int) uint64 {
	total := uint64(0)
	for rank := range size {
		_, bytes := fleet.Sent(rank)
		total += bytes
	}
	return total
}

// knowsNearlyAll returns a condition: a sidecar knows 99 in 100 of the fleet to be alive.
func knowsNearlyAll(fleet *Gossip, size int) func(Peer) bool {
	return func(peer Peer) bool {
		return float64(peer.Count(fleet.Now).Living) >= 0.99*float64(size)
	}
}

// BenchmarkMembershipCapacity starts all sidecars of a simulated fleet at once, each with
// the default budget of 600 bytes a second, and measures the simulated time until nine in
// ten know 99 in 100 of the others. Run it with -benchtime=1x.
func BenchmarkMembershipCapacity(b *testing.B) {
	for _, size := range capacityFleets(b) {
		for seed := 1; seed <= *capacitySeeds; seed++ {
			b.Run(fmt.Sprintf("size=%d/seed=%d", size, seed), func(b *testing.B) {
				for b.Loop() {
					measureMembership(b, size, uint64(seed))
				}
			})
		}
	}
}

// runUntilNineInTen runs a fleet, in steps, until a condition holds for nine in ten of its
// sidecars, and returns how long that took.
func runUntilNineInTen(b *testing.B, fleet *Gossip, step time.Duration, condition func(Peer) bool) time.Duration {
	b.Helper()
	began := fleet.Now
	for fleet.InformedFraction(condition) < 0.9 {
		if fleet.Now-began > *capacityLimit {
			b.Fatalf("not converged after %v of simulated time", fleet.Now-began)
		}
		fleet.Run(fleet.Now+step, nil)
	}
	return fleet.Now - began
}

func measureMembership(b *testing.B, size int, seed uint64) {
	b.Helper()
	heapBefore := measure.HeapInUse()
	processorBefore := processorTime(b)
	fleet := gossip(size, seed, platform, capacityWorkers)
	runUntilNineInTen(b, fleet, membershipStep, knowsNearlyAll(fleet, size))
	sidecarSeconds := float64(size) * fleet.Now.Seconds()
	b.ReportMetric(fleet.Now.Seconds(), "s-to-converge")
	b.ReportMetric(float64(sentBytes(fleet, size))/sidecarSeconds, "sent-B/s")
	b.ReportMetric((processorTime(b)-processorBefore).Seconds()*1e6/sidecarSeconds, "cpu-us/s")
	b.ReportMetric(float64(measure.HeapInUse()-heapBefore)/float64(size), "heap-B/sidecar")
	runtime.KeepAlive(fleet)
}

// BenchmarkMemberCapacity measures the heap of one membership node that knows of nobody
// yet, by the size of its fleet.
func BenchmarkMemberCapacity(b *testing.B) {
	for _, size := range []int{300, 1000, 3000, 10000, 21000} {
		b.Run(fmt.Sprintf("size=%d", size), func(b *testing.B) {
			for b.Loop() {
				before := measure.HeapInUse()
				fleet := NewGossip(size, 1, platform, 1, peers.Config{Cluster: "test", Kinds: kinds})
				places := measure.HeapInUse()
				fleet.StartSidecar(0)
				b.ReportMetric(float64(measure.HeapInUse()-places), "heap-B/node")
				b.ReportMetric(float64(places-before)/float64(size), "model-B/place")
				runtime.KeepAlive(fleet)
			}
		})
	}
}

// changeStep is the resolution of the times of a single change.
const changeStep = 20 * time.Millisecond

// zones is the number of zones of the fleet: one of them is lost in a benchmark.
const zones = 27

// BenchmarkMembershipChangeCapacity measures changes in a fleet whose members know each
// other: the simulated time until nine in ten know of one restart, of the loss of a zone
// (one member in 27, all killed at once), and of the zone's return. Run it with
// -benchtime=1x.
func BenchmarkMembershipChangeCapacity(b *testing.B) {
	for _, size := range capacityFleets(b) {
		for seed := 1; seed <= *capacitySeeds; seed++ {
			b.Run(fmt.Sprintf("size=%d/seed=%d", size, seed), func(b *testing.B) {
				for b.Loop() {
					measureMembershipChange(b, size, uint64(seed))
				}
			})
		}
	}
}

func measureMembershipChange(b *testing.B, size int, seed uint64) {
	b.Helper()
	fleet := gossip(size, seed, platform, capacityWorkers)
	runUntilNineInTen(b, fleet, membershipStep, knowsNearlyAll(fleet, size))
	restarted := size - 1
	fleet.StartSidecar(restarted)
	knowsRestart := knowsAlive(fleet, []int{restarted}, incarnations(fleet, []int{restarted}))
	b.ReportMetric(runUntilNineInTen(b, fleet, changeStep, knowsRestart).Seconds(), "s-restart")

	lost := make([]int, max(1, size/zones))
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

// incarnations returns the present incarnations of running sidecars.
func incarnations(fleet *Gossip, ranks []int) []uint64 {
	numbers := make([]uint64, len(ranks))
	for i, rank := range ranks {
		peer, _ := fleet.Peer(rank)
		numbers[i] = peer.Incarnation()
	}
	return numbers
}

// knowsAlive returns a condition: a sidecar knows others to be alive, in these incarnations or
// later ones.
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

// knowsDown returns a condition: a sidecar knows others to be dead or silent.
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
