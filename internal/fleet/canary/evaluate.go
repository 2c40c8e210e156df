package canary

import (
	"fmt"
	"math"
	"sort"
)

// Evaluate judges all windows of the slots before the given one. It may be called any number
// of times: the bounds hold over all evaluations together. The slot must not be lower than in an
// earlier call, since slots that were evaluated once may remain included.
func (j *Judge) Evaluate(before int) Judgement {
	j.aggregate(before)
	out := Judgement{Verdict: NotWorse, Excluded: j.Excluded(), Slots: max(0, j.aggregatedSlots-j.cfg.Start)}
	estimates := make([][]instanceEstimate, len(j.cells)+len(gauges))
	drifts := make([]drift, len(estimates))
	for k := range estimates {
		estimates[k] = j.estimates(k)
		drifts[k] = estimateDrift(estimates[k])
	}
	var inZone []instanceEstimate
	for _, t := range j.tests {
		inZone = inZone[:0]
		for _, e := range estimates[t.cell] {
			if t.zone == allZones || e.zone == t.zone {
				inZone = append(inZone, e)
			}
		}
		e := j.evaluateTest(t, inZone, drifts[t.cell])
		if e.Verdict == Worse || e.Verdict == Inconclusive && out.Verdict == NotWorse && !e.Advisory {
			out.Verdict = e.Verdict
		}
		out.Evidence = append(out.Evidence, e)
	}
	sort.SliceStable(out.Evidence, func(a, b int) bool { return out.Evidence[a].rank() < out.Evidence[b].rank() })
	out.Degradations = j.degradations()
	return out
}

// evaluateTest returns the evidence of one test from the estimates of its instances.
func (j *Judge) evaluateTest(t Test, estimates []instanceEstimate, d drift) Evidence {
	e := contrast(estimates, d.variance)
	e.Test, e.Margin = t, j.cfg.Margins[t.Measure]
	if t.cell < len(j.cells) {
		if l := &j.baselineLevels[t.cell]; l.exposure > 0 {
			e.Usual = l.events / l.exposure
		}
	}
	j.decide(&e, d.known)
	e.Advisory = e.Verdict == Inconclusive && !j.decisive(&e)
	return e
}

// rank is the sort key of the evidence in a judgement: the evidence that decides the verdict
// comes first.
func (e *Evidence) rank() int {
	switch {
	case e.Advisory:
		return 3
	case e.Verdict == Worse:
		return 0
	case e.Verdict == Inconclusive:
		return 1
	}
	return 2
}

// minorClassFraction is the fraction of the unchanged instances' requests below which a class
// counts as minor.
const minorClassFraction = 0.02

// decisive reports whether an inconclusive test makes the judgement inconclusive. A test of
// one zone or of a minor class does not: it can stop a change that is worse there, but it
// rarely has enough traffic to rule harm out, and would therefore hold up every change.
func (j *Judge) decisive(e *Evidence) bool {
	if e.zone != allZones {
		return false
	}
	if e.cell >= len(j.cells) || j.cells[e.cell].class == allClasses {
		return true
	}
	return j.baselineLevels[e.cell].exposure >= minorClassFraction*j.baselineRequests
}

// estimates returns the estimates of the instances in cell k or, from k = len(Judge.cells)
// on, of gauge k - len(Judge.cells). A changed instance has up to two: one from the time
// before it was changed, as an unchanged instance, and one from the time since.
func (j *Judge) estimates(k int) (out []instanceEstimate) {
	if g := k - len(j.cells); g >= 0 {
		return j.gaugeEstimates(g)
	}
	if j.baselineLevels[k].exposure == 0 {
		return nil
	}
	add := func(i int, s *totals, isChanged bool) {
		if s.exposure[history] > 0 && s.exposure[present] > 0 {
			out = append(out, j.cellEstimate(k, i, s, isChanged))
		}
	}
	for i := range j.zoneOf {
		switch j.arms[i] {
		case armUnchanged:
			add(i, &j.totals[k][i], false)
		case armChanged:
			add(i, &j.totalsBeforeChange[k][i], false)
			add(i, &j.totals[k][i], true)
		}
	}
	return out
}

// gaugeFloors are the smallest standard deviations assumed for a value of each gauge, in MiB
// and in descriptors, since a process always allocates and frees a few pages and descriptors.
var gaugeFloors = [len(gauges)]float64{0.25, 2}

// gaugeEstimates returns the growth of gauge g at each instance and side that has enough
// values. Instances that were reverted are left out.
func (j *Judge) gaugeEstimates(g int) (out []instanceEstimate) {
	for i, z := range j.zoneOf {
		for side := range j.gaugeLines[g] {
			l := &j.gaugeLines[g][side][i]
			if growth, ok := l.slope(gaugeFloors[g]); ok && j.arms[i] != armReverted {
				out = append(out, instanceEstimate{zone: z, isChanged: side == changedSide,
					estimate: growth.perMinute, variance: growth.variance, exposure: l.points, expectedEvents: minEvents})
			}
		}
	}
	return out
}

// cellEstimate compares the rate of an instance in the present phase with the rate expected
// of it: that of the unchanged instances in the same slots, multiplied by the history factor
// of the instance. An instance that has always failed twice as often as the others is
// thereby expected to fail twice as often when all instances fail more.
func (j *Judge) cellEstimate(k, i int, s *totals, isChanged bool) instanceEstimate {
	c, l := &j.cells[k], &j.baselineLevels[k]
	tolerate, excess := j.cfg.Margins[c.measure].Tolerate, j.noise[k].factor()
	prior, factor := s.priorEvents(), s.historyFactor()
	rate := s.expected[present] / s.exposure[present]
	// The variances are those at the boundary of the null hypothesis (an excess of exactly
	// Margin.Tolerate), given the exposure of the windows. They are never 0, since events
	// that have not occurred so far may still occur.
	nowRate := max(factor*rate, l.events/l.exposure) + tolerate
	pastRate := (s.events[history] + prior/historyPriorEvents) / s.exposure[history]
	return instanceEstimate{
		zone:           j.zoneOf[i],
		isChanged:      isChanged,
		estimate:       s.events[present]/s.exposure[present] - factor*rate,
		variance:       excess * (c.variance(nowRate, s.squares[present])/(s.exposure[present]*s.exposure[present]) + rate*rate*c.variance(pastRate, s.squares[history])/((s.expected[history]+prior)*(s.expected[history]+prior))),
		exposure:       s.exposure[present],
		expectedEvents: nowRate * s.exposure[present] * s.exposure[present] / s.squares[present],
		seenEvents:     s.events[present],
	}
}

// worseBoundFraction is the fraction of Margin.Tolerate that the lower bound must exceed for
// a change to be judged worse. It makes up for what the bound does not cover: the
// distribution of few events is skewed, and instances drift more while all do worse than
// usual.
const worseBoundFraction = 0.5

// decide sets the verdict and the bounds of a test's evidence, and if it is inconclusive, Why
// and Needs. driftKnown says whether there are enough unchanged instances to estimate drift.
func (j *Judge) decide(e *Evidence, driftKnown bool) {
	e.Verdict = Inconclusive
	switch {
	case e.Changed == 0:
		e.Why = "no changed instance has both windows from before and windows from after its change that can be compared with unchanged instances"
	case e.Unchanged == 0 || !driftKnown:
		e.Why = fmt.Sprintf("%d unchanged instances; at least %d are needed to estimate how much instances drift by themselves", e.Unchanged, minDriftInstances)
	case e.Measure == Crashes && rareEventLogEvidence(e.seenEvents, e.expectedEvents) > -math.Log(j.alpha()):
		// The crashes may be few, but they are more than the usual rate and the tolerated
		// margin explain. There is no upper bound.
		e.Verdict, e.Low, e.High = Worse, e.Estimate-e.Margin.Tolerate, math.MaxFloat64
	case e.Measure == Crashes && e.expectedEvents < minEvents && e.seenEvents <= e.expectedEvents:
		// Crashes are too rare for a bound of their rate. That there were no more of them
		// than expected is enough.
		e.Verdict, e.Low, e.High = NotWorse, -math.MaxFloat64, e.Margin.Exclude
	case e.expectedEvents < minEvents:
		e.Why, e.Needs = "too few requests", minEvents/max(e.expectedEvents, minNeedsEvents)
	default:
		j.decideByBounds(e)
	}
}

// minNeedsEvents keeps Evidence.Needs finite if no event is expected.
const minNeedsEvents = 1e-3

// decideByBounds sets the bounds of the estimate, and the verdict that follows from them.
func (j *Judge) decideByBounds(e *Evidence) {
	r := radius(e.variance, e.Margin.Tolerate, j.alpha())
	e.Low, e.High = e.Estimate-r, e.Estimate+r
	switch {
	case e.Low > worseBoundFraction*e.Margin.Tolerate && e.Estimate >= e.Margin.Tolerate:
		e.Verdict = Worse
	case e.High < e.Margin.Exclude:
		e.Verdict = NotWorse
	case e.Estimate >= e.Margin.Exclude:
		e.Why = "it looks worse, but chance is not ruled out yet"
	default:
		need := informationFor(e.Margin.Exclude-max(0, e.Estimate), e.Margin.Tolerate, j.alpha())
		if best := 1 / max(e.driftFloor, 1e-300); e.driftFloor > 0 && need > best {
			e.Why = fmt.Sprintf("instances drift by themselves: %d changed instances are too few, however long the stage lasts", e.Changed)
		} else {
			e.Why, e.Needs = "too little traffic", max(1, need*e.variance)
		}
	}
}
