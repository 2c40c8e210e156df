package martendrum

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"martendrum/internal/capacity/measure"
)

// capacityServers are the lengths of the server list of the capacity benchmarks.
var capacityServers = []int{30, 300, 1000, 3000, 10000, 21000}

// callInterval is the time between two requests of a sidecar with 62 requests a second.
const callInterval = time.Second / 62

// discardHost carries out nothing and keeps the cookie of the latest timer.
type discardHost struct{ timer uint64 }

func (h *discardHost) Send(RequestID, string, time.Duration, time.Duration) {}
func (h *discardHost) Cancel(RequestID, int)                                {}
func (h *discardHost) Reject(RequestID, time.Duration)                      {}
func (h *discardHost) Fail(RequestID)                                       {}
func (h *discardHost) SetTimer(cookie uint64, _ time.Duration)              { h.timer = cookie }
func (h *discardHost) CloseIdle(string)                                     {}
func (h *discardHost) Probe(string)                                         {}
func (h *discardHost) Subscribe()                                           {}

// capacityList is a server list of one service over the 27 zones.
func capacityList(size int) []Endpoint {
	list := make([]Endpoint, size)
	for i := range list {
		list[i] = Endpoint{Name: fmt.Sprintf("server-%05d", i), Zone: fmt.Sprintf("zone-%02d", i%27), CapacityHint: 1}
	}
	return list
}

func capacityBalancer(b *testing.B, host Host) *Balancer {
	b.Helper()
	balancer, err := New(testConfig(), 1, host)
	if err != nil {
		b.Fatal(err)
	}
	return balancer
}

// serveOne plays one request from its arrival to its good answer.
func serveOne(balancer *Balancer, host *discardHost, now time.Duration, id RequestID) {
	balancer.Arrive(now, Request{ID: id, Deadline: now + 300*ms})
	balancer.AttemptFinished(now+ms, id, 0, OK, true, LoadReport{})
	balancer.TimerFired(now+100*ms, host.timer)
}

// BenchmarkDecisionCapacity is all decisions about one request, at 62 requests a second.
func BenchmarkDecisionCapacity(b *testing.B) {
	for _, size := range capacityServers {
		b.Run(fmt.Sprintf("servers=%d", size), func(b *testing.B) {
			host := new(discardHost)
			balancer := capacityBalancer(b, host)
			balancer.ServersListed(0, capacityList(size))
			now, id := time.Duration(0), RequestID(0)
			for b.Loop() {
				now += callInterval
				id++
				serveOne(balancer, host, now, id)
			}
		})
	}
}

// BenchmarkServerListCapacity takes a complete server list into a new balancer.
func BenchmarkServerListCapacity(b *testing.B) {
	for _, size := range capacityServers {
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

// BenchmarkServerChangeCapacity takes the change of one server, which starts to drain or
// serves again, and the next request, which recomputes the sampling table.
func BenchmarkServerChangeCapacity(b *testing.B) {
	for _, size := range capacityServers {
		b.Run(fmt.Sprintf("servers=%d", size), func(b *testing.B) {
			host := new(discardHost)
			balancer := capacityBalancer(b, host)
			list := capacityList(size)
			balancer.ServersListed(0, list)
			now, id := time.Duration(0), RequestID(0)
			for b.Loop() {
				now += callInterval
				id++
				changed := list[int(id/2)%size]
				if id%2 == 1 {
					changed.State = Draining
				}
				balancer.ServersChanged(now, []Endpoint{changed})
				serveOne(balancer, host, now, id)
			}
		})
	}
}
