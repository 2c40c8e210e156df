package martendrum

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"martendrum/internal/capacity/measure"
)

// capacityListSizes are the lengths of the server list in the capacity benchmarks.
var capacityListSizes = []int{30, 300, 1000, 3000, 10000, 21000}

// requestInterval is the time between two requests of a sidecar that gets 62 requests a second.
const requestInterval = time.Second / 62

// discardHost is a Host that carries out no action and keeps only the cookie of the last timer.
type discardHost struct{ timer uint64 }

func (h *discardHost) Send(RequestID, string, time.Duration, time.Duration) {}
func (h *discardHost) Cancel(RequestID, int)                                {}
func (h *discardHost) Reject(RequestID, time.Duration)                      {}
func (h *discardHost) Fail(RequestID)                                       {}
func (h *discardHost) SetTimer(cookie uint64, _ time.Duration)              { h.timer = cookie }
func (h *discardHost) CloseIdle(string)                                     {}
func (h *discardHost) Probe(string)                                         {}
func (h *discardHost) Subscribe()                                           {}

// capacityList returns a server list with size servers in 27 zones.
func capacityList(size int) []Endpoint {
	list := make([]Endpoint, size)
	for i := range list {
		list[i] = Endpoint{Name: fmt.Sprintf("server-%05d", i), Zone: fmt.Sprintf("zone-%02d", i%27), CapacityHint: 1}
	}
	return list
}

// capacityBalancer returns a Balancer for host without a server list.
func capacityBalancer(b *testing.B, host Host) *Balancer {
	b.Helper()
	balancer, err := New(testConfig(), 1, host)
	if err != nil {
		b.Fatal(err)
	}
	return balancer
}

// serveRequest passes the events of one request to the Balancer: its arrival, its answer without an error
// and its timer.
func serveRequest(balancer *Balancer, host *discardHost, now time.Duration, id RequestID) {
	balancer.Arrive(now, Request{ID: id, Deadline: now + 300*ms})
	balancer.AttemptFinished(now+ms, id, 0, OK, true, LoadReport{})
	balancer.TimerFired(now+100*ms, host.timer)
}

// BenchmarkDecisionCapacity measures all decisions about one request, at 62 requests a second.
func BenchmarkDecisionCapacity(b *testing.B) {
	for _, size := range capacityListSizes {
		b.Run(fmt.Sprintf("servers=%d", size), func(b *testing.B) {
			host := new(discardHost)
			balancer := capacityBalancer(b, host)
			balancer.ServersListed(0, capacityList(size))
			now, id := time.Duration(0), RequestID(0)
			for b.Loop() {
				now += requestInterval
				id++
				serveRequest(balancer, host, now, id)
			}
		})
	}
}

// BenchmarkServerListCapacity measures how a new Balancer applies a complete server list, and the
// memory that it then takes.
func BenchmarkServerListCapacity(b *testing.B) {
	for _, size := range capacityListSizes {
		b.Run(fmt.Sprintf("servers=%d", size), func(b *testing.B) {
			list := capacityList(size)
			before := measure.HeapInUse()
			balancer := capacityBalancer(b, new(discardHost))
			balancer.ServersListed(0, list)
			heap := measure.HeapInUse() - before
			runtime.KeepAlive(balancer)
			for b.Loop() {
				capacityBalancer(b, new(discardHost)).ServersListed(0, list)
			}
			b.ReportMetric(float64(heap)/float64(size), "heap-B/server")
		})
	}
}

// BenchmarkServerChangeCapacity measures a change of one server, which starts to drain or serves again,
// and the next request, which recomputes the working set.
func BenchmarkServerChangeCapacity(b *testing.B) {
	for _, size := range capacityListSizes {
		b.Run(fmt.Sprintf("servers=%d", size), func(b *testing.B) {
			host := new(discardHost)
			balancer := capacityBalancer(b, host)
			list := capacityList(size)
			balancer.ServersListed(0, list)
			now, id := time.Duration(0), RequestID(0)
			for b.Loop() {
				now += requestInterval
				id++
				changed := list[int(id/2)%size]
				if id%2 == 1 {
					changed.State = Draining
				}
				balancer.ServersChanged(now, []Endpoint{changed})
				serveRequest(balancer, host, now, id)
			}
		})
	}
}
