package hollow

import (
	"os"
	"syscall"
	"time"
)

// cost is what the workers and relays have used so far.
type cost struct {
	began   time.Time
	workers Usage
	relays  []Usage
}

func (s *scale) cost() cost {
	s.t.Helper()
	return cost{began: time.Now(), workers: s.workers.usage(), relays: s.relayUsage()}
}

// addCost writes what was used since.
func (s *scale) addCost(name string, before cost) {
	s.t.Helper()
	after, count := s.cost(), float64(len(s.workers.hosts))
	elapsed := seconds(after.began.Sub(before.began))
	var processor, resident, descriptors []float64
	total := 0.0
	for n, relay := range after.relays {
		share := 100 * seconds(relay.Processor-before.relays[n].Processor) / elapsed
		total += share
		processor = append(processor, share)
		resident = append(resident, float64(relay.Resident))
		descriptors = append(descriptors, float64(relay.Descriptors))
	}
	relays := float64(len(after.relays))
	s.results.add(name+"-subscriber",
		value{float64(after.workers.Read-before.workers.Read) / elapsed / count, "received-B/s"},
		value{float64(after.workers.Written-before.workers.Written) / elapsed / count, "sent-B/s"},
		value{100 * seconds(after.workers.Processor-before.workers.Processor) / elapsed / count, "%core"},
		value{float64(after.workers.Resident) / count, "resident-B"})
	s.results.add(name+"-relay",
		value{total / relays, "mean-%core"}, value{largest(processor), "max-%core"}, value{processor[0], "writer-%core"},
		value{sum(resident) / relays, "mean-resident-B"}, value{largest(resident), "max-resident-B"}, value{resident[0], "writer-resident-B"},
		value{sum(descriptors) / relays, "mean-descriptors"}, value{largest(descriptors), "max-descriptors"}, value{descriptors[0], "writer-descriptors"})
}

func sum(values []float64) float64 {
	total := 0.0
	for _, value := range values {
		total += value
	}
	return total
}

// descriptorPeak is the maximum of descriptors that a relay had at once.
type descriptorPeak struct {
	done  chan struct{}
	limit chan int
}

// watchDescriptors samples the relays' descriptors until stop.
func (s *scale) watchDescriptors() *descriptorPeak {
	const lookInterval = 200 * time.Millisecond
	peak := &descriptorPeak{done: make(chan struct{}), limit: make(chan int, 1)}
	var pids []int
	for _, relay := range s.cluster.relays {
		if relay.process != nil {
			pids = append(pids, relay.process.pid())
		}
	}
	go func() {
		limit := 0
		for {
			for _, pid := range pids {
				count, _ := Descriptors(pid) // 0 where it has ended
				limit = max(limit, count)
			}
			select {
			case <-peak.done:
				peak.limit <- limit
				return
			case <-time.After(lookInterval):
			}
		}
	}()
	return peak
}

// stop ends the sampling and returns the maximum.
func (p *descriptorPeak) stop() int {
	close(p.done)
	return <-p.limit
}

// heapProfiles signals relays and workers to write heap profiles, if profiles are enabled.
func (s *scale) heapProfiles() {
	if s.cluster.profiles == "" {
		return
	}
	if err := os.MkdirAll(s.cluster.profiles, 0o700); err != nil {
		s.t.Fatal(err)
	}
	for _, relay := range s.cluster.relays {
		relay.process.command.Process.Signal(syscall.SIGUSR1)
	}
	for _, handle := range s.workers.handles {
		handle.process.command.Process.Signal(syscall.SIGUSR1)
	}
	time.Sleep(2 * time.Second)
}
