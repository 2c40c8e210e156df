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

// part is one host's part in a run.
type part struct {
	agent   *Agent
	mu      sync.Mutex
	token   int64 // 0: the operation has ended there
	last    *api.OpOut
	silent  time.Time // since when it does not answer
	gaveUp  bool
	waiting map[int]string // steps that were asked for and may not have come, by target
	asking  map[int]bool   // of these, a call is under way
}

func (p *part) held() int64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.token
}

type event struct {
	host string
	out  *api.OpOut
	err  error
	// Of a step that was asked for.
	step   bool
	target int
	kind   string
	got    *api.Step
}

type runner struct {
	fleet   *Fleet
	op      api.Operation
	opt     Options
	m       *rollout.Machine
	parts   map[string]*part
	order   []string
	index   map[api.Target]int
	states  []rollout.State
	events  chan event
	wg      sync.WaitGroup
	ctx     context.Context
	notes   []string
	ended   string // the result at a host where the operation has ended already
	changed time.Time

	staged  *staged // nil: no stages
	figures chan gathered
	noted   chan int
}

func (f *Fleet) runner(op api.Operation, opt Options) (*runner, error) {
	m, err := rollout.New(op.Policy, op.Targets, op.Places...)
	if err != nil {
		return nil, err
	}
	r := &runner{fleet: f, op: op, opt: opt, m: m, parts: make(map[string]*part), order: hosts(&op),
		index: make(map[api.Target]int), states: make([]rollout.State, len(op.Targets)), events: make(chan event), changed: time.Now(),
		figures: make(chan gathered), noted: make(chan int)}
	for _, host := range r.order {
		a := f.Agent(host)
		if a == nil {
			return nil, fmt.Errorf("host %s of operation %s is not in the inventory", host, op.ID)
		}
		r.parts[host] = &part{agent: a, waiting: make(map[int]string), asking: make(map[int]bool)}
	}
	for i, t := range op.Targets {
		r.index[t] = i
	}
	return r, nil
}

func (r *runner) tell(e Event) {
	if r.opt.Progress == nil {
		return
	}
	e.At, e.Of = time.Now(), len(r.states)
	for _, t := range r.m.Targets() {
		if t.State != rollout.Pending && t.State != rollout.Changing && t.State != rollout.Unknown && t.State != rollout.RollingBack {
			e.Done++
		}
	}
	r.opt.Progress(e)
}

// run brings the operation to its end, or leaves it as it is when ctx ends.
func (r *runner) run(ctx context.Context) (*Report, error) {
	var cancel context.CancelFunc
	r.ctx, cancel = context.WithCancel(ctx)
	for _, host := range r.order {
		p := r.parts[host]
		if p.last != nil && p.last.State == api.OpClosed {
			continue
		}
		r.wg.Go(func() { r.follow(p) })
		if r.staged != nil {
			r.wg.Go(func() { r.staged.gather(p) })
		}
	}
	tick := time.NewTicker(200 * time.Millisecond)
	defer tick.Stop()
	for r.m.Result() == "" && ctx.Err() == nil {
		for _, a := range r.m.Next() {
			if a.Kind != "" {
				r.begin(a)
			}
		}
		r.show()
		if r.m.Result() != "" {
			break
		}
		select {
		case <-ctx.Done():
		case e := <-r.events:
			r.handle(e)
		case g := <-r.figures:
			r.staged.take(g)
		case n := <-r.noted:
			r.staged.noteWritten(n)
		case <-tick.C:
			if r.staged != nil {
				r.staged.look()
				if r.m.Settled() {
					r.changed = time.Now() // it waits for evidence, not for instances
				}
			}
			r.patience()
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
		case <-r.figures:
		case <-r.noted:
		case <-done:
			waiting = false
		}
	}
	return r.finish(context.WithoutCancel(ctx)), nil
}

// follow keeps an eye on one host, and its leases alive.
func (r *runner) follow(p *part) {
	wait := min(2*time.Second, r.opt.TTL/3)
	after, pause := int64(0), 50*time.Millisecond
	for r.ctx.Err() == nil {
		token := p.held()
		var err error
		if token == 0 { // it was not reached yet, or its lease ran out meanwhile
			var got api.OpenOut
			if err = p.agent.Call(r.ctx, api.OpOpen, &api.OpenIn{Operation: r.op, LeaseHolder: r.opt.LeaseHolder, TTL: r.opt.TTL}, &got); err == nil {
				token = got.Token
				p.mu.Lock()
				p.token = token
				p.mu.Unlock()
			}
		}
		out := &api.OpOut{}
		if err == nil {
			in := &api.StatusIn{Op: r.op.ID, Token: token, TTL: r.opt.TTL, After: after, Wait: wait}
			err = p.agent.CallFor(r.ctx, wait+r.fleet.Timeout, api.OpStatus, in, out)
		}
		if e, ok := errors.AsType[*api.Error](err); ok && e.Code == api.Fenced {
			// Its time ran out. It may be taken again as long as nobody else did.
			p.mu.Lock()
			p.token = 0
			p.mu.Unlock()
			var got api.OpenOut
			err = p.agent.Call(r.ctx, api.OpOpen, &api.OpenIn{Operation: r.op, LeaseHolder: r.opt.LeaseHolder, TTL: r.opt.TTL}, &got)
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
		case r.events <- event{host: p.agent.Host.Name, out: out, err: err}:
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

// begin asks for a step.
func (r *runner) begin(a rollout.Action) {
	t := r.op.Targets[a.Target]
	p := r.parts[t.Host]
	if p.waiting[a.Target] != a.Kind {
		r.tell(Event{Kind: "begin", Host: t.Host, Instance: t.Instance, Step: a.Kind})
	}
	p.waiting[a.Target] = a.Kind
	if p.asking[a.Target] {
		return
	}
	p.asking[a.Target] = true
	token := p.held()
	r.wg.Go(func() {
		got := &api.Step{}
		err := p.agent.Call(r.ctx, api.StepStart, &api.StepIn{Op: r.op.ID, Token: token, Instance: t.Instance, Kind: a.Kind}, got)
		select {
		case r.events <- event{host: t.Host, err: err, step: true, target: a.Target, kind: a.Kind, got: got}:
		case <-r.ctx.Done():
		}
	})
}

func (r *runner) handle(e event) {
	p := r.parts[e.host]
	apiErr, said := errors.AsType[*api.Error](e.err)
	if e.step {
		delete(p.asking, e.target)
	}
	switch {
	case e.step && e.err == nil:
		if p.waiting[e.target] != e.kind {
			return // a status of the host, later than this answer, has told already
		}
		delete(p.waiting, e.target)
		r.m.Recall(e.target, e.kind, e.got.Status, e.got.Reason)
	case e.step && !said:
		// It may have been begun: the host's next status tells, or it is asked again.
	case e.step && apiErr.Code == api.Fenced:
		// The follower finds out who holds it, or takes it again.
	case e.step && apiErr.Code == api.Closed:
		r.m.Abort(apiErr.Message)
		delete(p.waiting, e.target)
		r.m.Done(e.target, e.kind, false, apiErr.Message)
	case e.step:
		delete(p.waiting, e.target)
		r.m.Done(e.target, e.kind, false, apiErr.Message)
	case e.err == nil:
		r.answers(p, e.out)
	case said:
		// Another has it, or it has ended: nothing may be changed from here.
		r.lost(p, apiErr)
	case p.silent.IsZero():
		p.silent = time.Now()
		r.m.Silent(e.host, r.unknown(p))
		r.tell(Event{Kind: "silent", Host: e.host, Text: e.err.Error()})
	}
}

func (r *runner) lost(p *part, e *api.Error) {
	if e.Code == api.Unwritable {
		return // it answers, and can't be written to: its steps say so
	}
	r.m.Abort(e.Message)
	for i, kind := range p.waiting {
		delete(p.waiting, i)
		r.m.Done(i, kind, false, e.Message)
	}
	// What runs there is another's to follow.
	if p.silent.IsZero() {
		p.silent = time.Now()
		r.m.Silent(p.agent.Host.Name, e.Message)
	}
	r.m.GiveUp(p.agent.Host.Name)
	p.gaveUp = true
}

func (r *runner) unknown(p *part) string {
	seen := "never seen"
	if t := p.agent.Seen(); !t.IsZero() {
		seen = "last seen " + t.Format(time.RFC3339)
	}
	return fmt.Sprintf("unknown since %s, %s", p.silent.Format(time.RFC3339), seen)
}

// answers takes a host's state.
func (r *runner) answers(p *part, out *api.OpOut) {
	host := p.agent.Host.Name
	if !p.silent.IsZero() {
		p.silent, p.gaveUp = time.Time{}, false
		r.m.Answers(host)
		r.tell(Event{Kind: "answers", Host: host})
	}
	r.take(p, out)
	if out.State != api.OpOpened {
		r.m.Abort(fmt.Sprintf("operation %s is %s at host %s", r.op.ID, out.State, host))
	}
	// Steps that were asked for and are not on record never came.
	for i, kind := range p.waiting {
		if out.State == api.OpOpened {
			r.begin(rollout.Action{Target: i, Kind: kind})
		} else {
			delete(p.waiting, i)
			r.m.Done(i, kind, false, "not begun: the operation was aborted")
		}
	}
}

// take takes over what a host's record says.
func (r *runner) take(p *part, out *api.OpOut) {
	p.last = out
	host := p.agent.Host.Name
	for _, kind := range []string{api.Change, api.Rollback} {
		for _, s := range out.Steps {
			if i, ok := r.index[api.Target{Host: host, Instance: s.Instance}]; ok && s.Kind == kind {
				if p.waiting[i] == kind {
					delete(p.waiting, i)
				}
				r.m.Recall(i, kind, s.Status, s.Reason)
			}
		}
	}
	for _, x := range out.Instances {
		if i, ok := r.index[api.Target{Host: host, Instance: x.Name}]; ok {
			r.m.Down(i, x.Desired == api.Running && x.State != "ready")
		}
	}
}

// show tells what has changed.
func (r *runner) show() {
	for i, t := range r.m.Targets() {
		if r.states[i] == t.State {
			continue
		}
		r.states[i], r.changed = t.State, time.Now()
		kind := ""
		switch t.State {
		case rollout.Changed, rollout.RolledBack:
			kind = "ok"
		case rollout.Failed, rollout.RollbackFailed:
			kind = "failed"
		}
		if kind != "" {
			r.tell(Event{Kind: kind, Host: t.Host, Instance: t.Instance, Step: string(t.State), Text: t.Reason})
		}
	}
}

// patience ends what has been waited for for long enough.
func (r *runner) patience() {
	for _, host := range r.order {
		p := r.parts[host]
		if !p.silent.IsZero() && !p.gaveUp && time.Since(p.silent) > r.opt.GiveUp {
			p.gaveUp, r.changed = true, time.Now() // others may go on now
			r.m.GiveUp(host)
			r.tell(Event{Kind: "note", Host: host, Text: "waited for no longer: " + r.unknown(p)})
		}
	}
	if time.Since(r.changed) > r.opt.GiveUp {
		r.m.Stuck()
	}
}
