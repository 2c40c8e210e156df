package canary

import (
	"fmt"
	"math"
	"sort"
)

// Evaluate judges all that has come of slots before the given one. It may be called
// as often as one likes.
func (j *Judge) Evaluate(before int) Judgement {
	j.aggregate(before)
	out := Judgement{Verdict: NotWorse, Excluded: j.Excluded(), Slots: max(0, j.aggregatedSlots-j.cfg.Start)}
	views := make([][]instanceEstimate, len(j.cells)+len(gauges))
	drifts, known := make([]float64, len(views)), make([]bool, len(views))
	for k := range views {
		views[k] = j.estimates(k)
		drifts[k], known[k] = estimateDrift(views[k])
	}
	var some []instanceEstimate
	for _, t := range j.tests {
		some = some[:0]
		for _, v := range views[t.cell] {
			if t.zone < 0 || v.zone == t.zone {
				some = append(some, v)
			}
		}
		e := contrast(some, drifts[t.cell])
		e.Test, e.Margin = t, j.cfg.Margins[t.Measure]
		if t.cell < len(j.cells) {
			if l := &j.baselineLevels[t.cell]; l.exposure > 0 {
				e.Usual = l.events / l.exposure
			}
		}
		j.decide(&e, known[t.cell])
		e.Advisory = e.Verdict == Inconclusive && !j.decisive(&e)
		if e.Verdict == Worse || e.Verdict == Inconclusive && out.Verdict == NotWorse && !e.Advisory {
			out.Verdict = e.Verdict
		}
		out.Evidence = append(out.Evidence, e)
	}
	rank := func(e *Evidence) int {
		if e.Advisory {
			return 3
		}
		return map[Verdict]int{Worse: 0, Inconclusive: 1, NotWorse: 2}[e.Verdict]
	}
	sort.SliceStable(out.Evidence, func(a, b int) bool { return rank(&out.Evidence[a]) < rank(&out.Evidence[b]) })
	out.Degradations = j.degradations()
	return out
}

// minorClassFraction is the part of all requests under which a class is minor.
const minorClassFraction = 0.02

// decisive says whether a test that can't be told keeps the whole from being told. Those of
// one zone or of a minor class stop a change that does worse there, and else would hold
// each: there is never enough traffic to rule harm out in the smallest corner.
func (j *Judge) decisive(e *Evidence) bool {
	if e.zone >= 0 {
		return false
	}
	if e.cell >= len(j.cells) || j.cells[e.cell].class < 0 {
		return true
	}
	return j.baselineLevels[e.cell].exposure >= minorClassFraction*j.baselineRequests
}

// estimates are what the instances say in a cell, or of a gauge. One that was changed speaks
// twice: for what it was, and for what it is.
func (j *Judge) estimates(k int) (out []instanceEstimate) {
	if g := k - len(j.cells); g >= 0 {
		// A page of memory comes and goes, and so do a few descriptors.
		floor := [...]float64{0.25, 2}[g]
		for i, z := range j.zoneOf {
			for side := range j.gaugeLines[g] {
				l := &j.gaugeLines[g][side][i]
				if a, s2, ok := l.slope(floor); ok && j.arms[i] != armReverted {
					out = append(out, instanceEstimate{zone: z, isChanged: side == 1, estimate: a, variance: s2, exposure: l.points, expectedEvents: minEvents})
				}
			}
		}
		return out
	}
	c, l := &j.cells[k], &j.baselineLevels[k]
	if l.exposure == 0 {
		return nil
	}
	tolerate, factor := j.cfg.Margins[c.measure].Tolerate, j.noise[k].factor()
	say := func(i int, s *totals, isNew bool) {
		if s.exposure[0] <= 0 || s.exposure[1] <= 0 {
			return
		}
		// It is as many times as bad as those beside it as it was in its past: on a bad
		// day, an instance that is always twice as bad is so too.
		little, times := s.priorEvents(), s.pastFactor()
		rate := s.expected[1] / s.exposure[1]
		// At the boundary of the null, in the windows that it had, and never 0: what was
		// not seen may yet come.
		now, past := max(times*rate, l.events/l.exposure)+tolerate, (s.events[0]+little/pastPriorEvents)/s.exposure[0]
		out = append(out, instanceEstimate{
			zone:           j.zoneOf[i],
			isChanged:      isNew,
			estimate:       s.events[1]/s.exposure[1] - times*rate,
			variance:       factor * (c.spread(now, s.squares[1])/(s.exposure[1]*s.exposure[1]) + rate*rate*c.spread(past, s.squares[0])/((s.expected[0]+little)*(s.expected[0]+little))),
			exposure:       s.exposure[1],
			expectedEvents: now * s.exposure[1] * s.exposure[1] / s.squares[1],
			seenEvents:     s.events[1],
		})
	}
	for i := range j.zoneOf {
		switch j.arms[i] {
		case armUnchanged:
			say(i, &j.totals[k][i], false)
		case armChanged:
			say(i, &j.totalsBeforeChange[k][i], false)
			say(i, &j.totals[k][i], true)
		}
	}
	return out
}

// worseBoundFraction is the part of what is tolerated that even the lower bound must pass. With 0
// one in 25 harmless changes of 60 instances was stopped: rates of few events are
// skewed, and instances drift by more on a bad day than the bound allows for.
const worseBoundFraction = 0.5

// decide says what a test's evidence amounts to.
func (j *Judge) decide(e *Evidence, known bool) {
	e.Verdict = Inconclusive
	switch {
	case e.Changed == 0:
		e.Why = "no changed instance has both a past and a present beside unchanged ones"
		return
	case e.Unchanged == 0 || !known:
		e.Why = fmt.Sprintf("%d unchanged instances; %d at least tell how much instances drift by themselves", e.Unchanged, minDriftInstances)
		return
	case e.Measure == Crashes && rareLog(e.seenEvents, e.expectedEvents) > -math.Log(j.alpha()):
		// Few as they are, they are more than the unchanged ones' rate and what is
		// tolerated would bring.
		e.Verdict, e.Low, e.High = Worse, e.Estimate-e.Margin.Tolerate, math.MaxFloat64
		return
	case e.Measure == Crashes && e.expectedEvents < minEvents && e.seenEvents <= e.expectedEvents:
		// Crashes are rare: that there were none is as much as can be known.
		e.Verdict, e.Low, e.High = NotWorse, -math.MaxFloat64, e.Margin.Exclude
		return
	case e.expectedEvents < minEvents:
		e.Why, e.Needs = "too few requests", minEvents/max(e.expectedEvents, 1e-3)
		return
	}
	r := radius(e.variance, e.Margin.Tolerate, j.alpha())
	e.Low, e.High = e.Estimate-r, e.Estimate+r
	switch {
	case e.Low > worseBoundFraction*e.Margin.Tolerate && e.Estimate >= e.Margin.Tolerate:
		e.Verdict = Worse
	case e.High < e.Margin.Exclude:
		e.Verdict = NotWorse
	case e.Estimate >= e.Margin.Exclude:
		e.Why = "it looks worse, and chance is not ruled out"
	default:
		need := informationFor(e.Margin.Exclude-max(0, e.Estimate), e.Margin.Tolerate, j.alpha())
		if best := 1 / max(e.driftFloor, 1e-300); e.driftFloor > 0 && need > best {
			e.Why = fmt.Sprintf("instances drift by themselves: %d changed ones are too few, however long", e.Changed)
		} else {
			e.Why, e.Needs = "too little traffic", max(1, need*e.variance)
		}
	}
}
