package canary

import (
	"fmt"
	"math"
	"sort"
)

// Evaluate judges the evidence of all slots before the given one. It may be called any
// number of times.
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

// rank is the place of the evidence in a judgement: what decides it comes first.
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

// minorClassFraction is the fraction of all requests below which a class is minor.
const minorClassFraction = 0.02

// decisive reports whether an inconclusive test makes the judgement inconclusive. A test of
// one zone or of a minor class does not: it stops a change that is worse there, but there
// is rarely enough traffic to rule harm out, so it would hold every change.
func (j *Judge) decisive(e *Evidence) bool {
	if e.zone != allZones {
		return false
	}
	if e.cell >= len(j.cells) || j.cells[e.cell].class == allClasses {
		return true
	}
	return j.baselineLevels[e.cell].exposure >= minorClassFraction*j.baselineRequests
}

// estimates are the estimates of the instances in a cell or, from len(Judge.cells) on, of
// a gauge. A changed instance has two: as an unchanged one before, and as a changed one.
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

// gaugeFloors are the smallest standard deviations assumed for a value of each gauge, since
// a page of memory (in MiB) or a few descriptors come and go.
var gaugeFloors = [len(gauges)]float64{0.25, 2}

// gaugeEstimates are the growths of a gauge at each instance and side.
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

// cellEstimate compares an instance's present with the rate expected of it: that of the
// unchanged instances in the same slots, multiplied by the instance's factor in the past.
// On a bad day, an instance that always fails twice as often is expected to do so too.
func (j *Judge) cellEstimate(k, i int, s *totals, isChanged bool) instanceEstimate {
	c, l := &j.cells[k], &j.baselineLevels[k]
	tolerate, excess := j.cfg.Margins[c.measure].Tolerate, j.noise[k].factor()
	prior, factor := s.priorEvents(), s.historyFactor()
	rate := s.expected[present] / s.exposure[present]
	// The variances are those at the boundary of the null hypothesis, for the windows that
	// there were, and never 0: events that have not been seen may still come.
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

// worseBoundFraction is the fraction of the tolerated margin that the lower bound must
// exceed before a change is judged worse. It makes up for what the bound does not cover:
// rates of few events are skewed, and instances drift more on a bad day.
const worseBoundFraction = 0.5

// decide sets the verdict of a test's evidence. driftKnown says whether there are enough
// unchanged instances to estimate drift.
func (j *Judge) decide(e *Evidence, driftKnown bool) {
	e.Verdict = Inconclusive
	switch {
	case e.Changed == 0:
		e.Why = "no changed instance has both a past and a present beside unchanged ones"
	case e.Unchanged == 0 || !driftKnown:
		e.Why = fmt.Sprintf("%d unchanged instances; %d at least tell how much instances drift by themselves", e.Unchanged, minDriftInstances)
	case e.Measure == Crashes && rareLog(e.seenEvents, e.expectedEvents) > -math.Log(j.alpha()):
		// Few crashes are enough here: they are more than the usual rate and the tolerated
		// margin explain.
		e.Verdict, e.Low, e.High = Worse, e.Estimate-e.Margin.Tolerate, math.MaxFloat64
	case e.Measure == Crashes && e.expectedEvents < minEvents && e.seenEvents <= e.expectedEvents:
		// Crashes are rare: no more of them than expected is all that can be shown.
		e.Verdict, e.Low, e.High = NotWorse, -math.MaxFloat64, e.Margin.Exclude
	case e.expectedEvents < minEvents:
		e.Why, e.Needs = "too few requests", minEvents/max(e.expectedEvents, minNeedsEvents)
	default:
		j.decideByBounds(e)
	}
}

// minNeedsEvents keeps Evidence.Needs finite where no event is expected.
const minNeedsEvents = 1e-3

// decideByBounds sets the verdict by the bounds of the estimate.
func (j *Judge) decideByBounds(e *Evidence) {
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
