package martendrum_test

import (
	"fmt"
	"time"

	"martendrum"
)

// printer is a Host that prints the actions. A real Host would carry them out and report each outcome
// and each expired timer to the Balancer.
type printer struct{ timers []uint64 }

func (p *printer) Send(id martendrum.RequestID, server string, _, _ time.Duration) {
	fmt.Printf("send request %d to %s\n", id, server)
}
func (p *printer) Cancel(id martendrum.RequestID, attempt int) {
	fmt.Printf("cancel attempt %d of request %d\n", attempt, id)
}
func (p *printer) Reject(id martendrum.RequestID, _ time.Duration) {
	fmt.Printf("reject request %d\n", id)
}
func (p *printer) Fail(id martendrum.RequestID)            { fmt.Printf("fail request %d\n", id) }
func (p *printer) SetTimer(cookie uint64, _ time.Duration) { p.timers = append(p.timers, cookie) }
func (p *printer) CloseIdle(string)                        {}
func (p *printer) Probe(string)                            {}
func (p *printer) Subscribe()                              {}

// A request is hedged, and its slower attempt is cancelled. A new Balancer knows no latencies yet and
// hedges one request in ten without a delay. With this seed the first request is hedged.
func Example() {
	host := new(printer)
	b, err := martendrum.New(martendrum.Config{
		Instances:         1,
		MaxAttempts:       3,
		AllowCancellation: true,
		AllowHedging:      true,
		Classes:           []martendrum.Class{{LatencyObjective: 200 * time.Millisecond, Weight: 1}},
	}, 9, host)
	if err != nil {
		fmt.Println(err)
		return
	}
	now := time.Duration(0)
	b.ServersListed(now, []martendrum.Endpoint{{Name: "red"}, {Name: "blue"}})

	b.Arrive(now, martendrum.Request{ID: 7, Tenant: -1, Deadline: now + time.Second})
	now += time.Millisecond
	b.TimerFired(now, host.timers[0]) // the hedge's delay is over

	now += 30 * time.Millisecond
	b.AttemptFinished(now, 7, 1, martendrum.OK, true, martendrum.LoadReport{}) // the hedge answers first
	b.AttemptFinished(now, 7, 0, martendrum.Cancelled, true, martendrum.LoadReport{})

	_, err = martendrum.New(martendrum.Config{Instances: 1, MaxAttempts: 3}, 1, host)
	fmt.Println(err)
	// Output:
	// send request 7 to blue
	// send request 7 to red
	// cancel attempt 0 of request 7
	// martendrum: config: Instances, Classes and MaxAttempts must be above 0
}
