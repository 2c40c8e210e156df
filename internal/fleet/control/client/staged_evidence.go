package client

import (
	"fmt"
	"sort"
	"time"

	"martendrum/internal/fleet/api"
	"martendrum/internal/fleet/canary"
)

// source is the state of one host's metrics.
type source struct {
	lastBoundary int64     // the latest that was received
	lastMetrics  time.Time // when current metrics were last received
	problem      string    // why they are not; "": unknown or none
}

// evidence turns the samples of the hosts' agents into windows for the canary analysis.
type evidence struct {
	spec        *api.Staged
	judge       *canary.Judge
	targetIndex map[api.Target]int
	differs     []canary.Differ // by place
}

// newEvidence returns empty evidence for an operation whose first stage started at a slot.
func newEvidence(op *api.Operation, start int) (*evidence, error) {
	cfg := op.Staged.Judge
	cfg.Start = start
	j, err := canary.New(cfg)
	if err != nil {
		return nil, err
	}
	e := &evidence{spec: op.Staged, judge: j, targetIndex: make(map[api.Target]int), differs: make([]canary.Differ, len(op.Targets))}
	for i, t := range op.Targets {
		e.targetIndex[t], e.differs[i] = i, canary.Differ{Slot: cfg.Slot, MaxOffset: cfg.Slot / 4}
	}
	return e, nil
}

// add adds a host's samples, which are in order of time. Duplicates are ignored.
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

// metricsAnswer is a host's answer to a call for its metrics.
type metricsAnswer struct {
	host    string
	metrics *api.MetricsOut
	err     error
	sent    time.Time
}

// collectMetrics polls one host for its metrics until the run ends.
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
				continue // more samples are available
			}
		}
		select {
		case <-time.After(wait):
		case <-r.ctx.Done():
			return
		}
	}
}

// takeMetrics adds a host's samples to the evidence. Samples by a clock that is off by more than a
// quarter of a slot are left out.
func (s *staged) takeMetrics(g metricsAnswer) {
	h, slot := s.sources[g.host], s.spec.Judge.Slot
	if g.err != nil {
		h.problem = g.err.Error()
		return
	}
	// The host's time must lie between the call and now; the rest is the offset of its clock.
	now, off := time.Now(), time.Duration(0)
	if g.metrics.Now.Before(g.sent) {
		off = g.metrics.Now.Sub(g.sent)
	} else if g.metrics.Now.After(now) {
		off = g.metrics.Now.Sub(now)
	}
	clockOff := off.Abs() > slot/4
	if !clockOff {
		s.add(g.host, g.metrics.Samples)
	}
	for _, x := range g.metrics.Samples {
		if _, ok := s.targetIndex[api.Target{Host: g.host, Instance: x.Instance}]; ok && clockOff && x.Boundary > h.lastBoundary {
			s.judge.Exclude(canary.ClockSkew, 1)
		}
	}
	h.lastBoundary = max(h.lastBoundary, g.metrics.Last)
	h.problem = ""
	switch {
	case clockOff:
		h.problem = fmt.Sprintf("its clock is %v off this one's", off.Round(time.Millisecond))
	case g.metrics.Slot != slot:
		h.problem = fmt.Sprintf("it takes figures each %v, not each %v", g.metrics.Slot, slot)
	case h.lastBoundary >= s.boundary()-maxSilentSlots:
		h.lastMetrics = now
	}
}

// boundary returns the latest boundary by the local clock.
func (s *staged) boundary() int64 { return time.Now().UnixNano() / int64(s.spec.Judge.Slot) }

// latestSlot returns the latest slot whose metrics should have arrived by now.
func (s *staged) latestSlot() int {
	t := time.Now().Add(-s.spec.Judge.Slot * 3 / 2).UnixNano()
	return int(t/int64(s.spec.Judge.Slot)-s.spec.First) - 1
}

// missingEvidence names a host without current metrics, "" if there is none.
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

// maxSilentSlots is the number of slots after which a host without metrics counts as missing
// evidence.
const maxSilentSlots = 4
