package client

import (
	"context"
	"errors"
	"fmt"
	"sort"
	"time"

	"martendrum/internal/fleet/api"
	"martendrum/internal/fleet/canary"
	"martendrum/internal/fleet/stage"
)

// staged carries out a change in stages: it gathers figures of all hosts, has them
// judged, and opens the targets of a stage once the one before has passed. What is
// decided, it writes down at the agents before it acts on it.
type staged struct {
	*evidence
	r     *runner
	m     *stage.Machine
	last  canary.Judgement
	hosts map[string]*source
	note  api.Note
	dirty bool   // the note is to be written before anything is done on it
	busy  bool   // it is being written
	told  string // verdict last told
}

// source is where one host's figures have come to.
type source struct {
	after int64     // the latest boundary taken over
	heard time.Time // the last answer with figures
	why   string    // what is wrong with it
}

// evidence makes windows of what hosts' agents tell, for a judge.
type evidence struct {
	spec  *api.Staged
	j     *canary.Judge
	place map[api.Target]int
	diffs []canary.Differ // by place
}

// newEvidence returns none so far, of an operation whose first stage began at slot start.
func newEvidence(op *api.Operation, start int) (*evidence, error) {
	cfg := op.Staged.Judge
	cfg.Start = start
	j, err := canary.New(cfg)
	if err != nil {
		return nil, err
	}
	e := &evidence{spec: op.Staged, j: j, place: make(map[api.Target]int), diffs: make([]canary.Differ, len(op.Targets))}
	for i, t := range op.Targets {
		e.place[t], e.diffs[i] = i, canary.Differ{Slot: cfg.Slot, MaxOffset: cfg.Slot / 4}
	}
	return e, nil
}

// add takes a host's samples, in the order of their time. Those told before do no harm.
func (e *evidence) add(host string, samples []api.Sample) {
	for n := range samples {
		x := &samples[n]
		i, ok := e.place[api.Target{Host: host, Instance: x.Instance}]
		if !ok {
			continue
		}
		if w, ok := e.diffs[i].Next(x.CanarySample(i, e.spec.Judge.Classes), e.spec.First); ok {
			e.j.Add(w)
		}
	}
}

// gathered is a host's answer to a call for figures.
type gathered struct {
	host string
	out  *api.MetricsOut
	err  error
	sent time.Time
}

// noteInterval is how often a note is written where only time has passed, in slots.
const noteInterval = 6

// blindAfter is for how many slots a host may be silent before its instances'
// evidence is held to be missing.
const blindAfter = 4

// stages sets a staged change up at the latest note that any host has.
func (r *runner) stages(note *api.Note) error {
	spec := r.op.Staged
	start := spec.Judge.MaxSlots // all is past so far
	s := &staged{r: r, hosts: make(map[string]*source)}
	if note != nil {
		s.note = *note
		if note.State.Stage > 0 {
			start = note.Start
		}
	}
	var err error
	if s.evidence, err = newEvidence(&r.op, start); err != nil {
		return err
	}
	if s.m, err = stage.New(spec.Plan, s.note.State, len(r.op.Targets)); err != nil {
		return err
	}
	for _, host := range r.order {
		s.hosts[host] = &source{after: spec.First - 1, heard: time.Now()}
	}
	r.staged = s
	s.open()
	return nil
}

// release is an operator's word to go on; it is written down before it is acted on.
func (s *staged) release() error {
	before := s.m.State()
	if err := s.m.Release(); err != nil {
		return err
	}
	s.note.State, s.dirty = s.m.State(), true
	s.log(api.Verdict{Stage: before.Stage, Text: "let go on by " + s.r.opt.LeaseHolder + ", which held: " + before.HoldReason})
	return nil
}

// log keeps a verdict in the note, of which the latest stay.
func (s *staged) log(v api.Verdict) {
	v.At = time.Now().UTC()
	s.note.Log = append(s.note.Log, v)
	s.note.Log = s.note.Log[max(0, len(s.note.Log)-api.MaxVerdicts):]
}

// open lets the rollout begin what the stages allow.
func (s *staged) open() {
	state := s.m.State()
	s.r.m.Open(s.m.Open(), state.From, !state.Done)
	if state.Worse != "" {
		s.r.m.Trip("judged worse: " + state.Worse)
	}
}

// gather asks one host for its figures, a slot after the other.
func (s *staged) gather(p *part) {
	r, slot := s.r, s.spec.Judge.Slot
	after := s.spec.First - 1
	for r.ctx.Err() == nil {
		out := &api.MetricsOut{}
		sent := time.Now()
		err := p.agent.Call(r.ctx, api.Metrics, &api.MetricsIn{After: after}, out)
		select {
		case r.figures <- gathered{p.agent.Host.Name, out, err, sent}:
		case <-r.ctx.Done():
			return
		}
		wait := slot / 2
		if err == nil {
			if out.Last > after {
				after = out.Last
			}
			if len(out.Samples) > 0 && time.Since(time.Unix(0, out.Last*int64(slot))) > 2*slot {
				continue // there is more
			}
		}
		select {
		case <-time.After(wait):
		case <-r.ctx.Done():
			return
		}
	}
}

// take takes a host's figures over.
func (s *staged) take(g gathered) {
	h, slot := s.hosts[g.host], s.spec.Judge.Slot
	if g.err != nil {
		h.why = g.err.Error()
		return
	}
	// The answer's time lies between the question and now: what is outside is the clock's.
	now, off := time.Now(), time.Duration(0)
	if g.out.Now.Before(g.sent) {
		off = g.out.Now.Sub(g.sent)
	} else if g.out.Now.After(now) {
		off = g.out.Now.Sub(now)
	}
	late := off.Abs() > slot/4
	if !late {
		s.add(g.host, g.out.Samples)
	}
	for _, x := range g.out.Samples {
		if _, ok := s.place[api.Target{Host: g.host, Instance: x.Instance}]; ok && late && x.Boundary > h.after {
			s.j.Exclude(canary.ClockSkew, 1)
		}
	}
	h.after = max(h.after, g.out.Last)
	h.why = ""
	switch {
	case late:
		h.why = fmt.Sprintf("its clock is %v off this one's", off.Round(time.Millisecond))
	case g.out.Slot != slot:
		h.why = fmt.Sprintf("it takes figures each %v, not each %v", g.out.Slot, slot)
	case h.after >= s.boundary()-blindAfter:
		h.heard = now
	}
}

// boundary is the latest one by this clock.
func (s *staged) boundary() int64 { return time.Now().UnixNano() / int64(s.spec.Judge.Slot) }

// slot is the latest slot of which all figures should be there by now.
func (s *staged) slot() int {
	t := time.Now().Add(-s.spec.Judge.Slot * 3 / 2).UnixNano()
	return int(t/int64(s.spec.Judge.Slot)-s.spec.First) - 1
}

// blind says why the evidence is not whole: a host whose changed instances nobody
// hears of.
func (s *staged) blind() string {
	var silent []string
	for host, h := range s.hosts {
		if time.Since(h.heard) <= blindAfter*s.spec.Judge.Slot {
			continue
		}
		why := h.why
		if why == "" {
			why = "no figures"
		}
		silent = append(silent, fmt.Sprintf("no evidence of host %s since %s: %s", host, h.heard.Format(time.TimeOnly), why))
	}
	sort.Strings(silent)
	if len(silent) > 0 {
		return silent[0]
	}
	return ""
}

// look judges the slots that have passed since the last look.
func (s *staged) look() {
	slot := s.slot()
	if s.r.m.Why() != "" {
		return // it was stopped, for this or another reason
	}
	if slot < 0 || s.busy || s.dirty || slot <= s.m.State().LastSlot {
		if s.dirty && !s.busy {
			s.write()
		}
		return
	}
	s.last = s.j.Evaluate(slot + 1)
	for i := range s.diffs {
		for reason, n := range s.diffs[i].Excluded {
			s.last.Excluded[reason] += n
		}
	}
	before := s.m.State()
	changed := s.m.Observe(stage.Observation{Slot: slot, HistorySlots: s.j.CompleteSlots(slot + 1), Judgement: s.last, Settled: s.r.m.Settled(), EvidenceGap: s.blind()})
	state := s.m.State()
	if before.Stage == 0 && state.Stage > 0 {
		s.note.Start = slot + 1
		s.j.Begin(s.note.Start)
	}
	s.tell(slot, before, state)
	s.note.State = state
	if changed || state.Slots >= noteInterval && state.Slots%noteInterval == 0 && before.Slots != state.Slots {
		s.dirty = true
		s.write()
	}
}

// tell notes a change of what is known, for the report and whoever watches.
func (s *staged) tell(slot int, before, now stage.State) {
	kind, text := "", ""
	switch {
	case now.Worse != before.Worse:
		kind, text = "worse", now.Worse
	case now.Stage != before.Stage:
		kind, text = "stage", fmt.Sprintf("stage %d of %d begins: %d of %d instances", now.Stage, len(s.spec.Plan.Upto), s.m.Open(), len(s.r.op.Targets))
	case now.Done && !before.Done:
		kind, text = "stage", "the last stage has passed"
	case now.HoldReason != before.HoldReason && now.HoldReason != "":
		kind, text = "hold", now.HoldReason
	case now.PauseReason != before.PauseReason && now.PauseReason != "":
		kind, text = "wait", now.PauseReason
	}
	if kind == "" {
		if line := string(s.last.Verdict); now.Stage > 0 && line != s.told {
			s.told = line
			s.r.tell(Event{Kind: "verdict", Text: line})
		}
		return
	}
	v := api.Verdict{Slot: slot, Stage: now.Stage, Verdict: string(s.last.Verdict), Text: text}
	for n, e := range s.last.Evidence {
		if n == 4 || e.Verdict == canary.NotWorse || kind != "worse" && kind != "hold" {
			break
		}
		v.Evidence = append(v.Evidence, e.String())
	}
	s.log(v)
	s.r.tell(Event{Kind: kind, Text: text})
}

// write writes the note at all hosts at once; it is in force once one has it.
func (s *staged) write() {
	s.busy = true
	s.note.Number++
	s.note.At, s.note.By = time.Now().UTC(), s.r.opt.LeaseHolder
	note := s.note
	note.Log = append([]api.Verdict(nil), note.Log...)
	r := s.r
	r.wg.Go(func() {
		var agents []*Agent
		for _, host := range r.order {
			agents = append(agents, r.parts[host].agent)
		}
		errs := ForInterval(agents, func(_ int, a *Agent) error {
			ctx, cancel := context.WithTimeout(r.ctx, r.fleet.Timeout)
			defer cancel()
			token := r.parts[a.Host.Name].held()
			if token == 0 {
				return errors.New("not held")
			}
			return a.Call(ctx, api.OpNote, &api.NoteIn{Op: r.op.ID, Token: token, Note: note}, nil)
		})
		got := 0
		for _, err := range errs {
			if err == nil {
				got++
			}
		}
		select {
		case r.noted <- got:
		case <-r.ctx.Done():
		}
	})
}

// noteWritten goes on once the note is at a host, or tries again at the next look.
func (s *staged) noteWritten(hosts int) {
	s.busy = false
	if hosts == 0 {
		return
	}
	s.dirty = false
	s.open()
}

// latest is the note that went furthest.
func latest(outs map[string]*api.OpOut) (note *api.Note) {
	for _, out := range outs {
		if n := out.Operation.Note; n != nil && (note == nil || n.Number > note.Number) {
			note = n
		}
	}
	return note
}

// Replay judges a staged change again from the figures that its agents still keep, a
// slot after the other, up to where its note stands. Hosts that don't answer are left
// out, and named.
func (f *Fleet) Replay(ctx context.Context, rep *Report) (series []canary.Judgement, missing []string, err error) {
	spec, note := rep.Operation.Staged, rep.Stages
	if spec == nil || note == nil || note.State.Stage == 0 {
		return nil, nil, fmt.Errorf("operation %s has no stage that was judged", rep.Operation.ID)
	}
	e, err := newEvidence(&rep.Operation, note.Start)
	if err != nil {
		return nil, nil, err
	}
	for _, host := range hosts(&rep.Operation) {
		a := f.Agent(host)
		if a == nil {
			missing = append(missing, host)
			continue
		}
		for after := spec.First - 1; ; {
			var out api.MetricsOut
			if err := a.Call(ctx, api.Metrics, &api.MetricsIn{After: after}, &out); err != nil {
				missing = append(missing, host)
				break
			}
			e.add(host, out.Samples)
			if len(out.Samples) == 0 || out.Last <= after {
				break
			}
			after = out.Last
		}
	}
	for slot := note.Start; slot <= note.State.LastSlot; slot++ {
		series = append(series, e.j.Evaluate(slot+1))
	}
	return series, missing, nil
}
