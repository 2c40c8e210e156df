package client

import (
	"context"
	"errors"
	"fmt"
	"sort"
	"sync"
	"time"

	"martendrum/internal/fleet/api"
	"martendrum/internal/fleet/inventory"
	"martendrum/internal/fleet/judge"
	"martendrum/internal/fleet/rollout"
)

// Options of a run.
type Options struct {
	Holder string        // names this run; new for each
	TTL    time.Duration // of the leases
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

// Row is one instance in a report.
type Row struct {
	Host     string        `json:"host"`
	Instance string        `json:"instance"`
	Outcome  rollout.State `json:"outcome"`
	Reason   string        `json:"reason,omitempty"`
	// What is known of the instance itself; if Unknown, as it was last seen.
	Unknown  string        `json:"unknown,omitempty"` // since when and why it is not known now
	LastSeen time.Time     `json:"last_seen,omitzero"`
	State    *api.Instance `json:"state,omitempty"`
	Steps    []api.Step    `json:"steps,omitempty"`
}

// Report is what became of an operation: each of its instances exactly once.
type Report struct {
	Operation api.Operation `json:"operation"`
	Result    string        `json:"result"` // as package rollout has them; "open" while it is
	Why       string        `json:"why,omitempty"`
	Holder    string        `json:"holder,omitempty"`
	Rows      []Row         `json:"rows"`
	Notes     []string      `json:"notes,omitempty"`
	// Of a staged change: where it stands, and what was last known of it.
	Stages    *api.Note        `json:"stages,omitempty"`
	Judgement *judge.Judgement `json:"judgement,omitempty"`
}

// OK says that all went as asked, and is known to have.
func (r *Report) OK() bool {
	if r.Result != rollout.Succeeded {
		return false
	}
	for _, row := range r.Rows {
		if row.Unknown != "" {
			return false
		}
	}
	return true
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

// Start begins an operation: it takes the leases at every host, all or none, and
// brings it to its end. The error tells that nothing was changed; what went wrong
// later is in the report.
func (f *Fleet) Start(ctx context.Context, op api.Operation, opt Options) (*Report, error) {
	r, err := f.runner(op, opt)
	if err != nil {
		return nil, err
	}
	if op.Staged != nil {
		if err := r.stages(nil); err != nil {
			return nil, fmt.Errorf("nothing was changed: %w", err)
		}
	}
	if err := f.whole(ctx); err != nil {
		return nil, fmt.Errorf("nothing was changed: %w", err)
	}
	// In one order everywhere: of two who want the same, one gets the first.
	for n, host := range r.order {
		p := r.parts[host]
		var out api.OpenOut
		if err := p.agent.Call(ctx, api.OpOpen, &api.OpenIn{Operation: op, Holder: opt.Holder, TTL: opt.TTL}, &out); err != nil {
			for _, back := range r.order[:n+1] {
				if q := r.parts[back]; back != host || errors.As(err, new(*UnreachableError)) {
					// Where no answer came it may have been taken: said again, it is given back.
					cctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), f.Timeout)
					if back == host {
						q.agent.Call(cctx, api.OpAbort, &api.AbortIn{Op: op.ID}, nil)
					} else {
						q.agent.Call(cctx, api.OpClose, &api.CloseIn{Op: op.ID, Token: q.token, Result: "not begun"}, nil)
					}
					cancel()
				}
			}
			return nil, fmt.Errorf("nothing was changed: %w", err)
		}
		p.token = out.Token
	}
	return r.run(ctx)
}

// lookMost is how long the fleet is asked whether it is whole. Who is silent for longer is
// down, which is no return.
const lookMost = time.Second

// whole says whether no host of the fleet comes back from a power loss, those that the
// operation does not touch among them.
func (f *Fleet) whole(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, lookMost)
	defer cancel()
	for _, h := range f.List(ctx, &inventory.Select{}) {
		if h.Returning != "" {
			e := &api.ReturningError{Host: h.Host.Name, How: h.Returning}
			return fmt.Errorf("%w; %s", e, e.Advice())
		}
	}
	return nil
}

// Find looks for an operation at all hosts.
func (f *Fleet) Find(ctx context.Context, id string) (op api.Operation, outs map[string]*api.OpOut, errs map[string]error) {
	outs, errs = make(map[string]*api.OpOut), make(map[string]error)
	var mu sync.Mutex
	Each(f.Agents, func(_ int, a *Agent) error {
		out := &api.OpOut{}
		err := a.Call(ctx, api.OpStatus, &api.StatusIn{Op: id}, out)
		mu.Lock()
		defer mu.Unlock()
		if err != nil {
			errs[a.Host.Name] = err
			return nil
		}
		outs[a.Host.Name], op = out, out.Operation
		return nil
	})
	return op, outs, errs
}

// Resume goes on with an operation where it stood, as the agents' records tell.
// Hosts that don't answer are unknown until they do.
func (f *Fleet) Resume(ctx context.Context, id string, opt Options) (*Report, error) {
	op, outs, errs := f.Find(ctx, id)
	if len(outs) == 0 {
		return nil, notFound(id, errs)
	}
	if op.Policy.OnFailure == rollout.Pause {
		// Going on after a pause means to: what has failed by now is counted no more.
		op.Policy.Canaries = 0
		for _, out := range outs {
			for _, s := range out.Steps {
				if s.Status == api.StepFailed {
					op.Policy.MaxFailures++
				}
			}
		}
	}
	r, err := f.runner(op, opt)
	if err != nil {
		return nil, err
	}
	open := 0
	for _, host := range r.order {
		p, out := r.parts[host], outs[host]
		if out != nil && out.State == api.OpClosed {
			p.last = out
			r.ended = out.Result
			continue
		}
		if e, ok := errors.AsType[*api.Error](errs[host]); ok && e.Code != api.NoOperation {
			return nil, e
		}
		if out != nil && out.State == api.OpAborting {
			return nil, fmt.Errorf("operation %s is being aborted at host %s", id, host)
		}
		open++
		var got api.OpenOut
		err := p.agent.Call(ctx, api.OpOpen, &api.OpenIn{Operation: op, Holder: opt.Holder, TTL: opt.TTL}, &got)
		if errors.As(err, new(*UnreachableError)) {
			continue // its follower tries again
		}
		if err != nil {
			return nil, err
		}
		p.token = got.Token
	}
	if open == 0 {
		return nil, fmt.Errorf("operation %s has ended everywhere: %s; see `martendrum report %s`", id, r.ended, id)
	}
	for host, out := range outs {
		if p := r.parts[host]; p != nil {
			r.take(p, out)
		}
	}
	if r.ended != "" {
		r.m.Abort("it had ended: " + r.ended)
	}
	if op.Staged != nil {
		if err := r.stages(latest(outs)); err != nil {
			return nil, err
		}
		if opt.Release {
			if err := r.staged.release(); err != nil {
				return nil, fmt.Errorf("operation %s can't go on: %w", id, err)
			}
		}
	}
	return r.run(ctx)
}

func notFound(id string, errs map[string]error) error {
	for _, err := range errs {
		if errors.As(err, new(*UnreachableError)) {
			return fmt.Errorf("operation %s: not known at any host that answered: %w", id, err)
		}
	}
	return api.Errorf(api.NoOperation, "operation %s is known at no host", id)
}

// Abort stops an operation at every host that has it. Steps under way come to
// their end; nothing new is begun.
func (f *Fleet) Abort(ctx context.Context, id string) (map[string]error, error) {
	op, outs, errs := f.Find(ctx, id)
	if len(outs) == 0 {
		return nil, notFound(id, errs)
	}
	failed := make(map[string]error)
	for _, host := range hosts(&op) {
		a := f.Agent(host)
		err := errs[host]
		if a != nil && outs[host] != nil {
			err = a.Call(ctx, api.OpAbort, &api.AbortIn{Op: id}, nil)
		}
		if e, ok := errors.AsType[*api.Error](err); ok && e.Code == api.NoOperation {
			err = nil
		}
		if err != nil {
			failed[host] = err
		}
	}
	return failed, nil
}

// Report tells what the agents' records say of an operation.
func (f *Fleet) Report(ctx context.Context, id string) (*Report, error) {
	op, outs, errs := f.Find(ctx, id)
	if len(outs) == 0 {
		return nil, notFound(id, errs)
	}
	r, err := f.runner(op, Options{})
	if err != nil {
		return nil, err
	}
	result, holder := "", ""
	for host, out := range outs {
		if p := r.parts[host]; p != nil {
			r.take(p, out)
			if out.State != api.OpClosed {
				result = out.State
				if out.Holder != "" {
					holder = out.Holder
				}
			} else if result == "" {
				result = out.Result
			}
		}
	}
	for _, host := range r.order {
		if e := errs[host]; e != nil {
			r.parts[host].silent = time.Now()
			r.m.Silent(host, e.Error())
		}
	}
	rep := r.report()
	rep.Result, rep.Holder, rep.Why = result, holder, ""
	rep.Stages = latest(outs)
	return rep, nil
}

func hosts(op *api.Operation) (out []string) {
	seen := make(map[string]bool)
	for _, t := range op.Targets {
		if !seen[t.Host] {
			seen[t.Host] = true
			out = append(out, t.Host)
		}
	}
	sort.Strings(out)
	return out
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
			if err = p.agent.Call(r.ctx, api.OpOpen, &api.OpenIn{Operation: r.op, Holder: r.opt.Holder, TTL: r.opt.TTL}, &got); err == nil {
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
			err = p.agent.Call(r.ctx, api.OpOpen, &api.OpenIn{Operation: r.op, Holder: r.opt.Holder, TTL: r.opt.TTL}, &got)
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

// finish closes the operation where that can be done, and reports.
func (r *runner) finish(ctx context.Context) *Report {
	result := r.m.Result()
	if r.ended != "" {
		result = r.ended
	}
	// The last word of each host, and the end of the operation there.
	var agents []*Agent
	for _, host := range r.order {
		if r.parts[host].gaveUp || !r.parts[host].silent.IsZero() {
			r.notes = append(r.notes, fmt.Sprintf("host %s: %s: the operation may still be open there; `martendrum report %s` tells once it answers, `martendrum resume %s` ends it", host, r.unknown(r.parts[host]), r.op.ID, r.op.ID))
			continue
		}
		agents = append(agents, r.parts[host].agent)
	}
	var mu sync.Mutex
	Each(agents, func(_ int, a *Agent) error {
		p := r.parts[a.Host.Name]
		out := &api.OpOut{}
		var err error
		if token := p.held(); token != 0 && result != "" && result != rollout.Paused {
			err = a.Call(ctx, api.OpClose, &api.CloseIn{Op: r.op.ID, Token: token, Result: result}, out)
		} else {
			err = a.Call(ctx, api.OpStatus, &api.StatusIn{Op: r.op.ID}, out)
		}
		mu.Lock()
		defer mu.Unlock()
		if err != nil {
			r.notes = append(r.notes, fmt.Sprintf("host %s: not ended there: %v", a.Host.Name, err))
			return err
		}
		r.take(p, out)
		return nil
	})
	rep := r.report()
	rep.Result = result
	if result == "" {
		rep.Result = "interrupted"
		rep.Notes = append(rep.Notes, fmt.Sprintf("the operation stays open: `martendrum resume %s` goes on with it, `martendrum abort %s` ends it", r.op.ID, r.op.ID))
	}
	if result == rollout.Paused {
		rep.Notes = append(rep.Notes, fmt.Sprintf("`martendrum resume %s` goes on once the cause is mended, `martendrum abort %s` ends it", r.op.ID, r.op.ID))
	}
	return rep
}

// report makes a report of what is known now.
func (r *runner) report() *Report {
	rep := &Report{Operation: r.op, Result: r.m.Result(), Why: r.m.Why(), Notes: r.notes}
	for _, t := range r.m.Targets() {
		p := r.parts[t.Host]
		row := Row{Host: t.Host, Instance: t.Instance, Outcome: t.State, Reason: t.Reason, LastSeen: p.agent.Seen()}
		if !p.silent.IsZero() {
			row.Unknown = r.unknown(p)
		}
		if p.last != nil {
			for _, x := range p.last.Instances {
				if x.Name == t.Instance {
					row.State = &x
				}
			}
			for _, s := range p.last.Steps {
				if s.Instance == t.Instance {
					row.Steps = append(row.Steps, s)
				}
			}
		}
		rep.Rows = append(rep.Rows, row)
	}
	if r.staged != nil {
		rep.Stages, rep.Judgement = &r.staged.note, &r.staged.last
	}
	return rep
}
