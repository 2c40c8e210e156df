package client

import (
	"context"
	"sync"
	"time"

	"martendrum/internal/fleet/api"
	"martendrum/internal/fleet/control/rollout"
)

// Options configure a run of an operation.
type Options struct {
	LeaseHolder string        // identifies this run; unique
	TTL         time.Duration // of the leases
	// GiveUp is how long the run waits for a silent agent until its steps count as failed, and
	// for any change until a rollout that can't continue ends.
	GiveUp   time.Duration
	Progress func(Event) // may be nil; called from one goroutine
	// Release lets a staged change that is on hold continue with its next stage.
	Release bool
}

// runner runs one operation. Its fields belong to the goroutine of run, but for ctx and what it
// shares by channels; goroutines of hosts report to it.
type runner struct {
	fleet          *Fleet
	operation      api.Operation
	options        Options
	machine        *rollout.Machine
	hostRuns       map[string]*hostRun
	hostNames      []string // sorted
	targetIndex    map[api.Target]int
	shownStates    []rollout.State // by target, as last reported in an event
	events         chan hostEvent
	wg             sync.WaitGroup
	ctx            context.Context // of the goroutines of hosts
	notes          []string        // for the report
	lastChange     time.Time
	previousResult string // at a host where the operation is already closed; "": none

	staged       *staged // nil: not a staged change
	metrics      chan metricsAnswer
	notesWritten chan int // the number of hosts that have the latest note
}

// newRunner returns a runner of an operation that has not started.
func (f *Fleet) newRunner(operation api.Operation, options Options) (*runner, error) {
	machine, err := rollout.New(operation.Policy, operation.Targets, operation.Places...)
	if err != nil {
		return nil, err
	}
	r := &runner{
		fleet:        f,
		operation:    operation,
		options:      options,
		machine:      machine,
		hostRuns:     make(map[string]*hostRun),
		hostNames:    targetHosts(&operation),
		targetIndex:  make(map[api.Target]int),
		shownStates:  make([]rollout.State, len(operation.Targets)),
		events:       make(chan hostEvent),
		lastChange:   time.Now(),
		metrics:      make(chan metricsAnswer),
		notesWritten: make(chan int),
	}
	for _, host := range r.hostNames {
		agent := f.Agent(host)
		if agent == nil {
			return nil, &UnknownHostError{Host: host, Operation: operation.ID}
		}
		r.hostRuns[host] = &hostRun{agent: agent, pendingSteps: make(map[int]string), stepCalls: make(map[int]bool)}
	}
	for i, target := range operation.Targets {
		r.targetIndex[target] = i
	}
	return r, nil
}

// tickInterval is the period in which a run looks at what changes with time alone.
const tickInterval = 200 * time.Millisecond

// run carries the operation out, or leaves it open when ctx ends.
func (r *runner) run(ctx context.Context) (*Report, error) {
	var cancel context.CancelFunc
	r.ctx, cancel = context.WithCancel(ctx)
	r.followHosts()
	tick := time.NewTicker(tickInterval)
	defer tick.Stop()
	for r.machine.Result() == "" && ctx.Err() == nil {
		for _, action := range r.machine.Next() {
			if action.Kind != "" {
				r.startStep(action)
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
		case answer := <-r.metrics:
			r.staged.takeMetrics(answer)
		case hosts := <-r.notesWritten:
			r.staged.noteWritten(hosts)
		case <-tick.C:
			r.tick()
		}
	}
	cancel()
	r.drain()
	return r.finish(context.WithoutCancel(ctx)), nil
}

// followHosts starts the goroutines of the hosts where the operation is not closed.
func (r *runner) followHosts() {
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
}

// tick does what depends on the time.
func (r *runner) tick() {
	if r.staged != nil {
		r.staged.evaluate()
		if r.machine.Settled() {
			r.lastChange = time.Now() // the rollout waits for evidence, not for instances
		}
	}
	r.giveUpSilent()
}

// drain waits for the goroutines of the hosts and discards what they report.
func (r *runner) drain() {
	done := make(chan struct{})
	go func() {
		r.wg.Wait()
		close(done)
	}()
	for {
		select {
		case <-r.events:
		case <-r.metrics:
		case <-r.notesWritten:
		case <-done:
			return
		}
	}
}
