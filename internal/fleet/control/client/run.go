package client

import (
	"context"
	"errors"
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

// Event is something that an operator may want to see while an operation runs.
type Event struct {
	At       time.Time `json:"at"`
	Kind     string    `json:"kind"` // begin, ok, failed, silent, answers, note; of stages: stage, verdict, wait, hold, worse
	Host     string    `json:"host,omitempty"`
	Instance string    `json:"instance,omitempty"`
	Step     string    `json:"step,omitempty"`
	Text     string    `json:"text,omitempty"`
	Done     int       `json:"done"` // targets that have come to their end
	Of       int       `json:"of"`
}

// hostRun is one host's part in a run.
type hostRun struct {
	agent        *Agent
	mu           sync.Mutex
	token        int64 // 0: the operation has ended there
	status       *api.OpOut
	silentSince  time.Time // since when it does not answer
	givenUp      bool
	pendingSteps map[int]string // steps that were asked for and may not have come, by target
	stepCalls    map[int]bool   // of these, a call is under way
}

func (p *hostRun) leaseToken() int64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.token
}

type hostEvent struct {
	host   string
	status *api.OpOut
	err    error
	// Of a step that was asked for.
	isStep bool
	target int
	kind   string
	result *api.Step
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

func (r *runner) notify(e Event) {
	if r.options.Progress == nil {
		return
	}
	e.At, e.Of = time.Now(), len(r.shownStates)
	for _, t := range r.machine.Targets() {
		if t.State != rollout.Pending && t.State != rollout.Changing && t.State != rollout.Unknown && t.State != rollout.RollingBack {
			e.Done++
		}
	}
	r.options.Progress(e)
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

// follow keeps an eye on one host, and its leases alive.
func (r *runner) follow(p *hostRun) {
	wait := min(2*time.Second, r.options.TTL/3)
	after, pause := int64(0), 50*time.Millisecond
	for r.ctx.Err() == nil {
		token := p.leaseToken()
		var err error
		if token == 0 { // it was not reached yet, or its lease ran out meanwhile
			var got api.OpenOut
			if err = p.agent.Call(r.ctx, api.OpOpen, &api.OpenIn{Operation: r.operation, LeaseHolder: r.options.LeaseHolder, TTL: r.options.TTL}, &got); err == nil {
				token = got.Token
				p.mu.Lock()
				p.token = token
				p.mu.Unlock()
			}
		}
		out := &api.OpOut{}
		if err == nil {
			in := &api.StatusIn{Op: r.operation.ID, Token: token, TTL: r.options.TTL, After: after, Wait: wait}
			err = p.agent.CallFor(r.ctx, wait+r.fleet.Timeout, api.OpStatus, in, out)
		}
		if e, ok := errors.AsType[*api.Error](err); ok && e.Code == api.Fenced {
			// Its time ran out. It may be taken again as long as nobody else did.
			p.mu.Lock()
			p.token = 0
			p.mu.Unlock()
			var got api.OpenOut
			err = p.agent.Call(r.ctx, api.OpOpen, &api.OpenIn{Operation: r.operation, LeaseHolder: r.options.LeaseHolder, TTL: r.options.TTL}, &got)
			if err == nil {
				p.mu.Lock()
				p.token = got.Token
				p.mu.Unlock()
				continue
			}
		}
		if err == nil {
			// An agent that was started anew counts from 0 again.
			after, pause = out.Change, 50*time.Millisecond
		} else {
			after, out = 0, nil
		}
		select {
		case r.events <- hostEvent{host: p.agent.Host.Name, status: out, err: err}:
		case <-r.ctx.Done():
			return
		}
		if err != nil {
			select {
			case <-time.After(pause):
			case <-r.ctx.Done():
				return
			}
			pause = min(2*pause, time.Second)
		}
	}
}

// startStep asks for a step.
func (r *runner) startStep(a rollout.Action) {
	t := r.operation.Targets[a.Target]
	p := r.hostRuns[t.Host]
	if p.pendingSteps[a.Target] != a.Kind {
		r.notify(Event{Kind: "begin", Host: t.Host, Instance: t.Instance, Step: a.Kind})
	}
	p.pendingSteps[a.Target] = a.Kind
	if p.stepCalls[a.Target] {
		return
	}
	p.stepCalls[a.Target] = true
	token := p.leaseToken()
	r.wg.Go(func() {
		got := &api.Step{}
		err := p.agent.Call(r.ctx, api.StepStart, &api.StepIn{Op: r.operation.ID, Token: token, Instance: t.Instance, Kind: a.Kind}, got)
		select {
		case r.events <- hostEvent{host: t.Host, err: err, isStep: true, target: a.Target, kind: a.Kind, result: got}:
		case <-r.ctx.Done():
		}
	})
}

func (r *runner) handleEvent(e hostEvent) {
	p := r.hostRuns[e.host]
	apiErr, said := errors.AsType[*api.Error](e.err)
	if e.isStep {
		delete(p.stepCalls, e.target)
	}
	switch {
	case e.isStep && e.err == nil:
		if p.pendingSteps[e.target] != e.kind {
			return // a status of the host, later than this answer, has told already
		}
		delete(p.pendingSteps, e.target)
		r.machine.Recall(e.target, e.kind, e.result.Status, e.result.Reason)
	case e.isStep && !said:
		// It may have been begun: the host's next status tells, or it is asked again.
	case e.isStep && apiErr.Code == api.Fenced:
		// The follower finds out who holds it, or takes it again.
	case e.isStep && apiErr.Code == api.Closed:
		r.machine.Abort(apiErr.Message)
		delete(p.pendingSteps, e.target)
		r.machine.Done(e.target, e.kind, false, apiErr.Message)
	case e.isStep:
		delete(p.pendingSteps, e.target)
		r.machine.Done(e.target, e.kind, false, apiErr.Message)
	case e.err == nil:
		r.handleStatus(p, e.status)
	case said:
		// Another has it, or it has ended: nothing may be changed from here.
		r.loseHost(p, apiErr)
	case p.silentSince.IsZero():
		p.silentSince = time.Now()
		r.machine.Silent(e.host, r.unknownSince(p))
		r.notify(Event{Kind: "silent", Host: e.host, Text: e.err.Error()})
	}
}

func (r *runner) loseHost(p *hostRun, e *api.Error) {
	if e.Code == api.Unwritable {
		return // it answers, and can't be written to: its steps say so
	}
	r.machine.Abort(e.Message)
	for i, kind := range p.pendingSteps {
		delete(p.pendingSteps, i)
		r.machine.Done(i, kind, false, e.Message)
	}
	// What runs there is another's to follow.
	if p.silentSince.IsZero() {
		p.silentSince = time.Now()
		r.machine.Silent(p.agent.Host.Name, e.Message)
	}
	r.machine.GiveUp(p.agent.Host.Name)
	p.givenUp = true
}

func (r *runner) unknownSince(p *hostRun) string {
	seen := "never seen"
	if t := p.agent.Seen(); !t.IsZero() {
		seen = "last seen " + t.Format(time.RFC3339)
	}
	return fmt.Sprintf("unknown since %s, %s", p.silentSince.Format(time.RFC3339), seen)
}

// handleStatus takes a host's state.
func (r *runner) handleStatus(p *hostRun, out *api.OpOut) {
	host := p.agent.Host.Name
	if !p.silentSince.IsZero() {
		p.silentSince, p.givenUp = time.Time{}, false
		r.machine.Answers(host)
		r.notify(Event{Kind: "answers", Host: host})
	}
	r.takeStatus(p, out)
	if out.State != api.OpOpened {
		r.machine.Abort(fmt.Sprintf("operation %s is %s at host %s", r.operation.ID, out.State, host))
	}
	// Steps that were asked for and are not on record never came.
	for i, kind := range p.pendingSteps {
		if out.State == api.OpOpened {
			r.startStep(rollout.Action{Target: i, Kind: kind})
		} else {
			delete(p.pendingSteps, i)
			r.machine.Done(i, kind, false, "not begun: the operation was aborted")
		}
	}
}

// takeStatus takes over what a host's record says.
func (r *runner) takeStatus(p *hostRun, out *api.OpOut) {
	p.status = out
	host := p.agent.Host.Name
	for _, kind := range []string{api.Change, api.Rollback} {
		for _, s := range out.Steps {
			if i, ok := r.targetIndex[api.Target{Host: host, Instance: s.Instance}]; ok && s.Kind == kind {
				if p.pendingSteps[i] == kind {
					delete(p.pendingSteps, i)
				}
				r.machine.Recall(i, kind, s.Status, s.Reason)
			}
		}
	}
	for _, x := range out.Instances {
		if i, ok := r.targetIndex[api.Target{Host: host, Instance: x.Name}]; ok {
			r.machine.Down(i, x.Desired == api.Running && x.State != "ready")
		}
	}
}

// notifyChanges tells what has changed.
func (r *runner) notifyChanges() {
	for i, t := range r.machine.Targets() {
		if r.shownStates[i] == t.State {
			continue
		}
		r.shownStates[i], r.lastChange = t.State, time.Now()
		kind := ""
		switch t.State {
		case rollout.Changed, rollout.RolledBack:
			kind = "ok"
		case rollout.Failed, rollout.RollbackFailed:
			kind = "failed"
		}
		if kind != "" {
			r.notify(Event{Kind: kind, Host: t.Host, Instance: t.Instance, Step: string(t.State), Text: t.Reason})
		}
	}
}

// giveUpSilent ends what has been waited for for long enough.
func (r *runner) giveUpSilent() {
	for _, host := range r.hostNames {
		p := r.hostRuns[host]
		if !p.silentSince.IsZero() && !p.givenUp && time.Since(p.silentSince) > r.options.GiveUp {
			p.givenUp, r.lastChange = true, time.Now() // others may go on now
			r.machine.GiveUp(host)
			r.notify(Event{Kind: "note", Host: host, Text: "waited for no longer: " + r.unknownSince(p)})
		}
	}
	if time.Since(r.lastChange) > r.options.GiveUp {
		r.machine.Stuck()
	}
}
