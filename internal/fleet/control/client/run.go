package client

import (
	"context"
	"fmt"
	"sync"
	"time"

	"martendrum/internal/fleet/api"
	"martendrum/internal/fleet/control/rollout"
)

// Options of a run.
type Options struct {
	LeaseHolder string        // names this run; new for each
	TTL         time.Duration // of the leases
	// GiveUp is how long a silent agent is waited for before its steps count as
	// failed, and how long a rollout that can't go on waits for a change.
	GiveUp   time.Duration
	Progress func(Event) // may be nil; called from one goroutine
	// Release lets a staged change that holds go on to its next stage.
	Release bool
}

type runner struct {
	fleet          *Fleet
	operation      api.Operation
	options        Options
	machine        *rollout.Machine
	hostRuns       map[string]*hostRun
	hostNames      []string
	targetIndex    map[api.Target]int
	shownStates    []rollout.State
	events         chan hostEvent
	wg             sync.WaitGroup
	ctx            context.Context
	notes          []string
	previousResult string // the result at a host where the operation has ended already
	lastChange     time.Time

	staged       *staged // nil: no stages
	metrics      chan metricsAnswer
	notesWritten chan int
}

func (f *Fleet) newRunner(op api.Operation, opt Options) (*runner, error) {
	m, err := rollout.New(op.Policy, op.Targets, op.Places...)
	if err != nil {
		return nil, err
	}
	r := &runner{fleet: f, operation: op, options: opt, machine: m, hostRuns: make(map[string]*hostRun), hostNames: targetHosts(&op),
		targetIndex: make(map[api.Target]int), shownStates: make([]rollout.State, len(op.Targets)), events: make(chan hostEvent), lastChange: time.Now(),
		metrics: make(chan metricsAnswer), notesWritten: make(chan int)}
	for _, host := range r.hostNames {
		a := f.Agent(host)
		if a == nil {
			return nil, fmt.Errorf("host %s of operation %s is not in the inventory", host, op.ID)
		}
		r.hostRuns[host] = &hostRun{agent: a, pendingSteps: make(map[int]string), stepCalls: make(map[int]bool)}
	}
	for i, t := range op.Targets {
		r.targetIndex[t] = i
	}
	return r, nil
}

// run brings the operation to its end, or leaves it as it is when ctx ends.
func (r *runner) run(ctx context.Context) (*Report, error) {
	var cancel context.CancelFunc
	r.ctx, cancel = context.WithCancel(ctx)
	for _, host := range r.hostNames {
		p := r.hostRuns[host]
		if p.status != nil && p.status.State == api.OpClosed {
			continue
		}
		r.wg.Go(func() { r.follow(p) })
		if r.staged != nil {
			r.wg.Go(func() { r.staged.collectMetrics(p) })
		}
	}
	tick := time.NewTicker(200 * time.Millisecond)
	defer tick.Stop()
	for r.machine.Result() == "" && ctx.Err() == nil {
		for _, a := range r.machine.Next() {
			if a.Kind != "" {
				r.startStep(a)
			}
		}
		r.notifyChanges()
		if r.machine.Result() != "" {
			break
		}
		select {
		case <-ctx.Done():
		case e := <-r.events:
			r.handleEvent(e)
		case g := <-r.metrics:
			r.staged.takeMetrics(g)
		case n := <-r.notesWritten:
			r.staged.noteWritten(n)
		case <-tick.C:
			if r.staged != nil {
				r.staged.evaluate()
				if r.machine.Settled() {
					r.lastChange = time.Now() // it waits for evidence, not for instances
				}
			}
			r.giveUpSilent()
		}
	}
	cancel()
	done := make(chan struct{})
	go func() {
		r.wg.Wait()
		close(done)
	}()
	for waiting := true; waiting; {
		select {
		case <-r.events: // of no use any more
		case <-r.metrics:
		case <-r.notesWritten:
		case <-done:
			waiting = false
		}
	}
	return r.finish(context.WithoutCancel(ctx)), nil
}
