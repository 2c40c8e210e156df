package chalkrack_test

import (
	"fmt"
	"time"

	"chalkrack"
)

// printer is a Host that prints what it is asked. A real one would do it, and
// report each attempt's end and each timer back to the balancer.
type printer struct{ timers []uint64 }

func (p *printer) Send(id chalkrack.RequestID, server string, _, _ time.Duration) {
	fmt.Printf("send request %d to %s\n", id, server)
}
func (p *printer) Cancel(id chalkrack.RequestID, attempt int) {
	fmt.Printf("cancel attempt %d of request %d\n", attempt, id)
}
func (p *printer) Refuse(id chalkrack.RequestID, _ time.Duration) {
	fmt.Printf("refuse request %d\n", id)
}
func (p *printer) Fail(id chalkrack.RequestID)             { fmt.Printf("fail request %d\n", id) }
func (p *printer) SetTimer(cookie uint64, _ time.Duration) { p.timers = append(p.timers, cookie) }
func (p *printer) CloseIdle(string)                        {}
func (p *printer) Probe(string)                            {}
func (p *printer) Subscribe()                              {}

// A request, its copy, and the loser called off. A new balancer knows no response
// times yet and copies one request in ten at once; this seed's first is one.
func Example() {
	host := new(printer)
	b, err := chalkrack.New(chalkrack.Config{
		Instances:    1,
		MaxAttempts:  3,
		MayCancel:    true,
		SecondCopies: true,
		Classes:      []chalkrack.Class{{Aim: 200 * time.Millisecond, Worth: 1}},
	}, 9, host)
	if err != nil {
		fmt.Println(err)
		return
	}
	now := time.Duration(0)
	b.ServersListed(now, []chalkrack.Endpoint{{Name: "red"}, {Name: "blue"}})

	b.Arrive(now, chalkrack.Request{ID: 7, Tenant: -1, Deadline: now + time.Second})
	now += time.Millisecond
	b.Timer(now, host.timers[0]) // the copy's delay is over

	now += 30 * time.Millisecond
	b.Done(now, 7, 1, chalkrack.OK, true, chalkrack.Report{}) // the copy answers first
	b.Done(now, 7, 0, chalkrack.Cancelled, true, chalkrack.Report{})

	_, err = chalkrack.New(chalkrack.Config{Instances: 1, MaxAttempts: 3}, 1, host)
	fmt.Println(err)
	// Output:
	// send request 7 to blue
	// send request 7 to red
	// cancel attempt 0 of request 7
	// chalkrack: config: Instances, Classes and MaxAttempts must be above 0
}
