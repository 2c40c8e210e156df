package client

import (
	"fmt"
	"sort"
	"time"

	"martendrum/internal/fleet/api"
	"martendrum/internal/fleet/canary"
)

// source is what is known about the metrics of one host.
type source struct {
	lastBoundary int64     // latest boundary for which metrics were received
	lastMetrics  time.Time // when current metrics were last received
	problem      string    // why current metrics are missing, as far as known
}

// evidence turns the samples of the hosts' agents into windows and passes these to the canary
// analysis.
type evidence struct {
	spec           *api.Staged
	judge          *canary.Judge
	targetIndex    map[api.Target]int
	windowBuilders []canary.WindowBuilder // by target index
}

// newEvidence returns empty evidence for an operation whose first stage started at slot start.
func newEvidence(op *api.Operation, start int) (*evidence, error) {
	cfg := op.Staged.Judge
	cfg.Start = start
	j, err := canary.New(cfg)
	if err != nil {
		return nil, err
	}
	e := &evidence{spec: op.Staged, judge: j, targetIndex: make(map[api.Target]int), windowBuilders: make([]canary.WindowBuilder, len(op.Targets))}
	for i, t := range op.Targets {
		e.targetIndex[t], e.windowBuilders[i] = i, canary.WindowBuilder{Slot: cfg.Slot, MaxOffset: cfg.Slot / 4}
	}
	return e, nil
}

// add adds a host's samples, which must be in order of time. Duplicates, and samples of instances that
// are not targets, are ignored.
func (e *evidence) add(host string, samples []api.Sample) {
	for n := range samples {
		sample := &samples[n]
		i, ok := e.targetIndex[api.Target{Host: host, Instance: sample.Instance}]
		if !ok {
			continue
		}
		if window, ok := e.windowBuilders[i].Next(sample.CanarySample(i, e.spec.Judge.Classes), e.spec.First); ok {
			e.judge.Add(window)
		}
	}
}

// metricsAnswer is the result of a call for a host's metrics.
type metricsAnswer struct {
	host    string
	metrics *api.MetricsOut
	err     error
	sent    time.Time // when the call was sent, by the local clock
}

// collectMetrics polls one host for its metrics, twice in each slot, and sends the results to
// r.metrics until the run ends. It runs in a goroutine for each host.
func (s *staged) collectMetrics(hr *hostRun) {
	r, slot := s.runner, s.spec.Judge.Slot
	after := s.spec.First - 1
	for r.ctx.Err() == nil {
		out := &api.MetricsOut{}
		sent := time.Now()
		err := hr.agent.Call(r.ctx, api.Metrics, &api.MetricsIn{After: after}, out)
		select {
		case r.metrics <- metricsAnswer{hr.agent.Host.Name, out, err, sent}:
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

// addMetrics adds a host's samples to the evidence. If the host's clock differs from the local clock by
// more than a quarter of a slot, its samples are left out and counted as excluded.
func (s *staged) addMetrics(answer metricsAnswer) {
	src, slot := s.sources[answer.host], s.spec.Judge.Slot
	if answer.err != nil {
		src.problem = answer.err.Error()
		return
	}
	// A correct clock shows a time between the sending of the call and now; the clock is off by the
	// distance from that interval.
	now, off := time.Now(), time.Duration(0)
	if answer.metrics.Now.Before(answer.sent) {
		off = answer.metrics.Now.Sub(answer.sent)
	} else if answer.metrics.Now.After(now) {
		off = answer.metrics.Now.Sub(now)
	}
	clockOff := off.Abs() > slot/4
	if !clockOff {
		s.add(answer.host, answer.metrics.Samples)
	}
	for _, sample := range answer.metrics.Samples {
		if _, ok := s.targetIndex[api.Target{Host: answer.host, Instance: sample.Instance}]; ok && clockOff && sample.Boundary > src.lastBoundary {
			s.judge.Exclude(canary.ClockSkew, 1)
		}
	}
	src.lastBoundary = max(src.lastBoundary, answer.metrics.Last)
	src.problem = ""
	switch {
	case clockOff:
		src.problem = fmt.Sprintf("its clock differs by %v from the local clock", off.Round(time.Millisecond))
	case answer.metrics.Slot != slot:
		src.problem = fmt.Sprintf("its agent collects metrics every %v instead of every %v", answer.metrics.Slot, slot)
	case src.lastBoundary >= s.boundary()-maxSilentSlots:
		src.lastMetrics = now
	}
}

// boundary returns the number of the latest slot boundary by the local clock.
func (s *staged) boundary() int64 { return time.Now().UnixNano() / int64(s.spec.Judge.Slot) }

// latestSlot returns the latest slot whose metrics should have arrived by now: one that ended at least
// one and a half slots ago. It is negative if there is none.
func (s *staged) latestSlot() int {
	t := time.Now().Add(-s.spec.Judge.Slot * 3 / 2).UnixNano()
	return int(t/int64(s.spec.Judge.Slot)-s.spec.First) - 1
}

// missingEvidence names a host without current metrics and the reason. It returns "" if there is none.
func (s *staged) missingEvidence() string {
	var gaps []string
	for host, src := range s.sources {
		if time.Since(src.lastMetrics) <= maxSilentSlots*s.spec.Judge.Slot {
			continue
		}
		reason := src.problem
		if reason == "" {
			reason = "no metrics received"
		}
		gaps = append(gaps, fmt.Sprintf("no evidence of host %s since %s: %s", host, src.lastMetrics.Format(time.TimeOnly), reason))
	}
	sort.Strings(gaps)
	if len(gaps) > 0 {
		return gaps[0]
	}
	return ""
}

// maxSilentSlots is the number of slots after which the evidence of a host without new metrics counts
// as missing.
const maxSilentSlots = 4
