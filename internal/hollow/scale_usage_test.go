package hollow

import (
	"os"
	"syscall"
	"time"
)

// cost is the resource usage of the workers and relays up to a time.
type cost struct {
	at      time.Time
	workers Usage   // sum of all workers
	relays  []Usage // of each running relay
}

// cost reads the current usage.
func (s *scaleRun) cost() cost {
	s.t.Helper()
	return cost{at: time.Now(), workers: s.workers.usage(), relays: s.relayUsage()}
}

// addCost writes the usage per subscriber and per relay between before and now.
func (s *scaleRun) addCost(name string, before cost) {
	s.t.Helper()
	after, count := s.cost(), float64(len(s.workers.hosts))
	elapsed := seconds(after.at.Sub(before.at))
	var processorShares, resident, descriptors []float64
	total := 0.0
	for n, relay := range after.relays {
		percent := 100 * seconds(relay.Processor-before.relays[n].Processor) / elapsed
		total += percent
		processorShares = append(processorShares, percent)
		resident = append(resident, float64(relay.Resident))
		descriptors = append(descriptors, float64(relay.Descriptors))
	}
	relays := float64(len(after.relays))
	s.results.add(name+"-subscriber",
		metric{float64(after.workers.Read-before.workers.Read) / elapsed / count, "received-B/s"},
		metric{float64(after.workers.Written-before.workers.Written) / elapsed / count, "sent-B/s"},
		metric{100 * seconds(after.workers.Processor-before.workers.Processor) / elapsed / count, "%core"},
		metric{float64(after.workers.Resident) / count, "resident-B"})
	s.results.add(name+"-relay",
		metric{total / relays, "mean-%core"}, metric{largest(processorShares), "max-%core"}, metric{processorShares[0], "writer-%core"},
		metric{sum(resident) / relays, "mean-resident-B"}, metric{largest(resident), "max-resident-B"}, metric{resident[0], "writer-resident-B"},
		metric{sum(descriptors) / relays, "mean-descriptors"}, metric{largest(descriptors), "max-descriptors"}, metric{descriptors[0], "writer-descriptors"})
}

func sum(values []float64) float64 {
	total := 0.0
	for _, value := range values {
		total += value
	}
	return total
}

// descriptorPeak samples the relays' open file descriptors and keeps the maximum of any one relay.
type descriptorPeak struct {
	done    chan struct{} // closed to end the sampling
	maximum chan int      // gets the maximum at the end
}

// watchDescriptors samples the descriptors of the running relays until stop is called.
func (s *scaleRun) watchDescriptors() *descriptorPeak {
	const sampleInterval = 200 * time.Millisecond
	peak := &descriptorPeak{done: make(chan struct{}), maximum: make(chan int, 1)}
	var pids []int
	for _, relay := range s.cluster.relays {
		if relay.process != nil {
			pids = append(pids, relay.process.pid())
		}
	}
	go func() {
		maximum := 0
		for {
			for _, pid := range pids {
				count, _ := Descriptors(pid) // 0 if the relay has ended
				maximum = max(maximum, count)
			}
			select {
			case <-peak.done:
				peak.maximum <- maximum
				return
			case <-time.After(sampleInterval):
			}
		}
	}()
	return peak
}

// stop ends the sampling and returns the maximum.
func (p *descriptorPeak) stop() int {
	close(p.done)
	return <-p.maximum
}

// heapProfiles signals the relays and workers to write heap profiles, if profiles are enabled, and
// gives them 2 s to do so.
func (s *scaleRun) heapProfiles() {
	if s.cluster.profiles == "" {
		return
	}
	if err := os.MkdirAll(s.cluster.profiles, 0o700); err != nil {
		s.t.Fatalf("create the folder of profiles: %v", err)
	}
	for _, relay := range s.cluster.relays {
		relay.process.command.Process.Signal(syscall.SIGUSR1)
	}
	for _, handle := range s.workers.handles {
		handle.process.command.Process.Signal(syscall.SIGUSR1)
	}
	time.Sleep(2 * time.Second)
}
