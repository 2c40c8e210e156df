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
	LeaseHolder string        // identifies this run; must be unique
	TTL         time.Duration // of the leases
	// GiveUp is how long the run waits for a silent agent before the agent's running steps count as
	// failed. A rollout in which no step runs and nothing has changed for as long is ended.
	GiveUp   time.Duration
	Progress func(Event) // may be nil; called from one goroutine
	// Release lets a staged change that is on hold continue with its next stage.
	Release bool
}

// runner runs one operation. A goroutine for each host follows the host's status and sends it to the
// goroutine of run through the channels. Fields that change during the run belong to the goroutine of
// run.
type runner struct {
	fleet          *Fleet
	operation      api.Operation
	options        Options
	machine        *rollout.Machine
	hostRuns       map[string]*hostRun
	hostNames      []string // sorted
	targetIndex    map[api.Target]int
	reportedStates []rollout.State // by target index: the state after the latest event
	events         chan hostEvent
	wg             sync.WaitGroup
	ctx            context.Context // of the hosts' goroutines; ends with the run
	notes          []string        // for the report
	lastChange     time.Time
	previousResult string // result at a host where the operation was already closed; "" if there is none

	staged       *staged // nil if the operation is not a staged change
	metrics      chan metricsAnswer
	notesWritten chan int // number of hosts that have stored the latest note
}

// newRunner returns a runner for an operation. It returns an error if the operation's policy or
// targets are invalid, or if a host is not in the inventory.
func (f *Fleet) newRunner(operation api.Operation, options Options) (*runner, error) {
	machine, err := rollout.New(operation.Policy, operation.Targets, operation.Places...)
	if err != nil {
		return nil, err
	}
	r := &runner{
		fleet:          f,
		operation:      operation,
		options:        options,
		machine:        machine,
		hostRuns:       make(map[string]*hostRun),
		hostNames:      targetHosts(&operation),
		targetIndex:    make(map[api.Target]int),
		reportedStates: make([]rollout.State, len(operation.Targets)),
		events:         make(chan hostEvent),
		lastChange:     time.Now(),
		metrics:        make(chan metricsAnswer),
		notesWritten:   make(chan int),
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

// tickInterval is how often a run checks what depends on the time: evidence and silent hosts.
const tickInterval = 200 * time.Millisecond

// run carries out the operation and returns its report. If ctx ends first, the operation stays open
// and can be resumed.
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
			r.staged.addMetrics(answer)
		case hosts := <-r.notesWritten:
			r.staged.noteWritten(hosts)
		case <-tick.C:
			r.tick()
		}
	}
	cancel()
	r.waitForHosts()
	return r.finish(context.WithoutCancel(ctx)), nil
}

// followHosts starts the goroutines of the hosts where the operation has not ended.
func (r *runner) followHosts() {
	for _, host := range r.hostNames {
		hr := r.hostRuns[host]
		if hr.noRecord != "" || hr.status != nil && hr.status.State == api.OpClosed {
			continue
		}
		r.wg.Go(func() { r.follow(hr) })
		if r.staged != nil {
			r.wg.Go(func() { r.staged.collectMetrics(hr) })
		}
	}
}

// tick evaluates new evidence of a staged change and gives up silent hosts.
func (r *runner) tick() {
	if r.staged != nil {
		r.staged.evaluate()
		if r.machine.Settled() {
			r.lastChange = time.Now() // the rollout waits for evidence, not for instances
		}
	}
	r.giveUpWaiting()
}

// waitForHosts waits until the goroutines of the hosts have ended, and discards what they send.
func (r *runner) waitForHosts() {
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
