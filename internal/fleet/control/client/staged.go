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
	runner          *runner
	machine         *stage.Machine
	judgement       canary.Judgement
	sources         map[string]*source
	note            api.Note
	notePending     bool   // the note is to be written before anything is done on it
	noteInFlight    bool   // it is being written
	notifiedVerdict string // verdict last told
}

// source is where one host's figures have come to.
type source struct {
	lastBoundary int64     // the latest boundary taken over
	lastMetrics  time.Time // the last answer with figures
	problem      string    // what is wrong with it
}

// evidence makes windows of what hosts' agents tell, for a judge.
type evidence struct {
	spec        *api.Staged
	judge       *canary.Judge
	targetIndex map[api.Target]int
	differs     []canary.Differ // by place
}

// newEvidence returns none so far, of an operation whose first stage began at slot start.
func newEvidence(op *api.Operation, start int) (*evidence, error) {
	cfg := op.Staged.Judge
	cfg.Start = start
	j, err := canary.New(cfg)
	if err != nil {
		return nil, err
	}
	e := &evidence{spec: op.Staged, judge: j, targetIndex: make(map[api.Target]int), differs: make([]canary.Differ, len(op.Targets))}
	for i, t := range op.Targets {
		e.targetIndex[t], e.differs[i] = i, canary.Differ{Slot: cfg.Slot, Off: cfg.Slot / 4}
	}
	return e, nil
}

// add takes a host's samples, in the order of their time. Those told before do no harm.
func (e *evidence) add(host string, samples []api.Sample) {
	for n := range samples {
		x := &samples[n]
		i, ok := e.targetIndex[api.Target{Host: host, Instance: x.Instance}]
		if !ok {
			continue
		}
		if w, ok := e.differs[i].Next(x.CanarySample(i, e.spec.Judge.Classes), e.spec.First); ok {
			e.judge.Add(w)
		}
	}
}

// metricsAnswer is a host's answer to a call for figures.
type metricsAnswer struct {
	host    string
	metrics *api.MetricsOut
	err     error
	sent    time.Time
}

// noteSlots is how often a note is written where only time has passed, in slots.
const noteSlots = 6

// maxSilentSlots is for how many slots a host may be silent before its instances'
// evidence is held to be missing.
const maxSilentSlots = 4

// setUpStages sets a staged change up at the latest note that any host has.
func (r *runner) setUpStages(note *api.Note) error {
	spec := r.operation.Staged
	start := spec.Judge.MaxSlots // all is past so far
	s := &staged{runner: r, sources: make(map[string]*source)}
	if note != nil {
		s.note = *note
		if note.State.Stage > 0 {
			start = note.Start
		}
	}
	var err error
	if s.evidence, err = newEvidence(&r.operation, start); err != nil {
		return err
	}
	if s.machine, err = stage.New(spec.Plan, s.note.State, len(r.operation.Targets)); err != nil {
		return err
	}
	for _, host := range r.hostNames {
		s.sources[host] = &source{lastBoundary: spec.First - 1, lastMetrics: time.Now()}
	}
	r.staged = s
	s.openTargets()
	return nil
}

// release is an operator's word to go on; it is written down before it is acted on.
func (s *staged) release() error {
	before := s.machine.State()
	if err := s.machine.Release(); err != nil {
		return err
	}
	s.note.State, s.notePending = s.machine.State(), true
	s.addVerdict(api.Verdict{Stage: before.Stage, Text: "let go on by " + s.runner.options.LeaseHolder + ", which held: " + before.HoldReason})
	return nil
}

// addVerdict keeps a verdict in the note, of which the latest stay.
func (s *staged) addVerdict(v api.Verdict) {
	v.At = time.Now().UTC()
	s.note.Log = append(s.note.Log, v)
	s.note.Log = s.note.Log[max(0, len(s.note.Log)-api.MaxVerdicts):]
}

// openTargets lets the rollout begin what the stages allow.
func (s *staged) openTargets() {
	state := s.machine.State()
	s.runner.machine.Open(s.machine.Open(), state.From, !state.Done)
	if state.Worse != "" {
		s.runner.machine.Trip("judged worse: " + state.Worse)
	}
}

// collectMetrics asks one host for its figures, a slot after the other.
func (s *staged) collectMetrics(p *hostRun) {
	r, slot := s.runner, s.spec.Judge.Slot
	after := s.spec.First - 1
	for r.ctx.Err() == nil {
		out := &api.MetricsOut{}
		sent := time.Now()
		err := p.agent.Call(r.ctx, api.Metrics, &api.MetricsIn{After: after}, out)
		select {
		case r.metrics <- metricsAnswer{p.agent.Host.Name, out, err, sent}:
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

// takeMetrics takes a host's figures over.
func (s *staged) takeMetrics(g metricsAnswer) {
	h, slot := s.sources[g.host], s.spec.Judge.Slot
	if g.err != nil {
		h.problem = g.err.Error()
		return
	}
	// The answer's time lies between the question and now: what is outside is the clock's.
	now, off := time.Now(), time.Duration(0)
	if g.metrics.Now.Before(g.sent) {
		off = g.metrics.Now.Sub(g.sent)
	} else if g.metrics.Now.After(now) {
		off = g.metrics.Now.Sub(now)
	}
	late := off.Abs() > slot/4
	if !late {
		s.add(g.host, g.metrics.Samples)
	}
	for _, x := range g.metrics.Samples {
		if _, ok := s.targetIndex[api.Target{Host: g.host, Instance: x.Instance}]; ok && late && x.Boundary > h.lastBoundary {
			s.judge.Leave(canary.Clock, 1)
		}
	}
	h.lastBoundary = max(h.lastBoundary, g.metrics.Last)
	h.problem = ""
	switch {
	case late:
		h.problem = fmt.Sprintf("its clock is %v off this one's", off.Round(time.Millisecond))
	case g.metrics.Slot != slot:
		h.problem = fmt.Sprintf("it takes figures each %v, not each %v", g.metrics.Slot, slot)
	case h.lastBoundary >= s.boundary()-maxSilentSlots:
		h.lastMetrics = now
	}
}

// boundary is the latest one by this clock.
func (s *staged) boundary() int64 { return time.Now().UnixNano() / int64(s.spec.Judge.Slot) }

// latestSlot is the latest slot of which all figures should be there by now.
func (s *staged) latestSlot() int {
	t := time.Now().Add(-s.spec.Judge.Slot * 3 / 2).UnixNano()
	return int(t/int64(s.spec.Judge.Slot)-s.spec.First) - 1
}

// missingEvidence says why the evidence is not whole: a host whose changed instances nobody
// hears of.
func (s *staged) missingEvidence() string {
	var silent []string
	for host, h := range s.sources {
		if time.Since(h.lastMetrics) <= maxSilentSlots*s.spec.Judge.Slot {
			continue
		}
		why := h.problem
		if why == "" {
			why = "no figures"
		}
		silent = append(silent, fmt.Sprintf("no evidence of host %s since %s: %s", host, h.lastMetrics.Format(time.TimeOnly), why))
	}
	sort.Strings(silent)
	if len(silent) > 0 {
		return silent[0]
	}
	return ""
}

// evaluate judges the slots that have passed since the last look.
func (s *staged) evaluate() {
	slot := s.latestSlot()
	if s.runner.machine.Why() != "" {
		return // it was stopped, for this or another reason
	}
	if slot < 0 || s.noteInFlight || s.notePending || slot <= s.machine.State().Looked {
		if s.notePending && !s.noteInFlight {
			s.writeNote()
		}
		return
	}
	s.judgement = s.judge.Evaluate(slot + 1)
	for i := range s.differs {
		for reason, n := range s.differs[i].Left {
			s.judgement.Left[reason] += n
		}
	}
	before := s.machine.State()
	changed := s.machine.Look(stage.Look{Slot: slot, HistorySlots: s.judge.CompleteSlots(slot + 1), Judgement: s.judgement, Settled: s.runner.machine.Settled(), Blind: s.missingEvidence()})
	state := s.machine.State()
	if before.Stage == 0 && state.Stage > 0 {
		s.note.Start = slot + 1
		s.judge.Begin(s.note.Start)
	}
	s.notify(slot, before, state)
	s.note.State = state
	if changed || state.Slots >= noteSlots && state.Slots%noteSlots == 0 && before.Slots != state.Slots {
		s.notePending = true
		s.writeNote()
	}
}

// notify notes a change of what is known, for the report and whoever watches.
func (s *staged) notify(slot int, before, now stage.State) {
	kind, text := "", ""
	switch {
	case now.Worse != before.Worse:
		kind, text = "worse", now.Worse
	case now.Stage != before.Stage:
		kind, text = "stage", fmt.Sprintf("stage %d of %d begins: %d of %d instances", now.Stage, len(s.spec.Plan.Upto), s.machine.Open(), len(s.runner.operation.Targets))
	case now.Done && !before.Done:
		kind, text = "stage", "the last stage has passed"
	case now.HoldReason != before.HoldReason && now.HoldReason != "":
		kind, text = "hold", now.HoldReason
	case now.PauseReason != before.PauseReason && now.PauseReason != "":
		kind, text = "wait", now.PauseReason
	}
	if kind == "" {
		if line := string(s.judgement.Verdict); now.Stage > 0 && line != s.notifiedVerdict {
			s.notifiedVerdict = line
			s.runner.notify(Event{Kind: "verdict", Text: line})
		}
		return
	}
	v := api.Verdict{Slot: slot, Stage: now.Stage, Verdict: string(s.judgement.Verdict), Text: text}
	for n, e := range s.judgement.Evidence {
		if n == 4 || e.Verdict == canary.NotWorse || kind != "worse" && kind != "hold" {
			break
		}
		v.Evidence = append(v.Evidence, e.String())
	}
	s.addVerdict(v)
	s.runner.notify(Event{Kind: kind, Text: text})
}

// writeNote writes the note at all hosts at once; it is in force once one has it.
func (s *staged) writeNote() {
	s.noteInFlight = true
	s.note.Number++
	s.note.At, s.note.By = time.Now().UTC(), s.runner.options.LeaseHolder
	note := s.note
	note.Log = append([]api.Verdict(nil), note.Log...)
	r := s.runner
	r.wg.Go(func() {
		var agents []*Agent
		for _, host := range r.hostNames {
			agents = append(agents, r.hostRuns[host].agent)
		}
		errs := ForEach(agents, func(_ int, a *Agent) error {
			ctx, cancel := context.WithTimeout(r.ctx, r.fleet.Timeout)
			defer cancel()
			token := r.hostRuns[a.Host.Name].leaseToken()
			if token == 0 {
				return errors.New("not held")
			}
			return a.Call(ctx, api.OpNote, &api.NoteIn{Op: r.operation.ID, Token: token, Note: note}, nil)
		})
		got := 0
		for _, err := range errs {
			if err == nil {
				got++
			}
		}
		select {
		case r.notesWritten <- got:
		case <-r.ctx.Done():
		}
	})
}

// noteWritten goes on once the note is at a host, or tries again at the next look.
func (s *staged) noteWritten(hosts int) {
	s.noteInFlight = false
	if hosts == 0 {
		return
	}
	s.notePending = false
	s.openTargets()
}

// latestNote is the note that went furthest.
func latestNote(outs map[string]*api.OpOut) (note *api.Note) {
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
	for _, host := range targetHosts(&rep.Operation) {
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
	for slot := note.Start; slot <= note.State.Looked; slot++ {
		series = append(series, e.judge.Evaluate(slot+1))
	}
	return series, missing, nil
}
