package client

import (
	"fmt"
	"sort"
	"time"

	"martendrum/internal/fleet/api"
	"martendrum/internal/fleet/canary"
)

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

// maxSilentSlots is for how many slots a host may be silent before its instances'
// evidence is held to be missing.
const maxSilentSlots = 4
