package canary

import (
	"fmt"
	"math"
	"sort"
)

// Verdict is what is known of a test, or of a change.
type Verdict string

// The verdicts.
const (
	Worse        Verdict = "worse"
	NotWorse     Verdict = "not worse"
	Inconclusive Verdict = "can't tell yet"
)

// Evidence is a test's verdict with the figures it rests on.
type Evidence struct {
	Test
	Verdict Verdict `json:"verdict"`
	// Estimate is how much more of the measure the changed ones have, in its unit;
	// with the stated certainty the truth lies above Low, and likewise below High.
	Estimate float64 `json:"estimate"`
	Low      float64 `json:"low"`
	High     float64 `json:"high"`
	Margin   Margin  `json:"margin"`
	// Usual is the unchanged ones' rate.
	Usual     float64 `json:"usual"`
	Changed   int     `json:"changed"` // instances
	Unchanged int     `json:"unchanged"`
	Exposure  float64 `json:"exposure"` // of the changed ones: requests, attempts or minutes
	// Needs is by what factor Exposure must grow before harm of Margin.Exclude can
	// be ruled out, if the estimate stays; 0: more of it will not do, or no need.
	Needs float64 `json:"needs,omitempty"`
	Why   string  `json:"why,omitempty"` // of a verdict that can't be told
	// Advisory says that it can't be told and does not keep the whole from being told.
	Advisory bool `json:"aside,omitempty"`

	variance, expectedEvents, seenEvents, driftFloor float64
}

func (e Evidence) String() string {
	s := fmt.Sprintf("%s: %s", e.Test, e.Verdict)
	if e.High > e.Low { // else there were no bounds to speak of
		s += fmt.Sprintf(": %+.4g, between %+.4g and %+.4g", e.Estimate, e.Low, e.High)
	}
	if e.Changed > 0 {
		s += fmt.Sprintf(" (usual %.4g; %d changed, %d not; exposure %.0f)", e.Usual, e.Changed, e.Unchanged, e.Exposure)
	}
	if e.Why != "" {
		s += ": " + e.Why
	}
	if e.Needs > 0 {
		s += fmt.Sprintf(", wants %.1f times as much", e.Needs)
	}
	return s
}

// Degradation is a measure that the unchanged ones have become worse in against their
// own past. It is either the change's doing, by way of the servers, or a bad day.
type Degradation struct {
	Measure Measure `json:"measure"`
	Class   string  `json:"class,omitempty"`
	Usual   float64 `json:"past"`
	Now     float64 `json:"now"`
	Limit   float64 `json:"limit"` // what Now may be
}

// Judgement is what is known at a look.
type Judgement struct {
	Verdict      Verdict        `json:"verdict"`
	Evidence     []Evidence     `json:"evidence"` // worse first, then what can't be told, the asides last
	Degradations []Degradation  `json:"suffering,omitempty"`
	Excluded     map[Reason]int `json:"left_out,omitempty"` // windows, by reason
	Slots        int            `json:"slots"`              // of evidence since the start
}

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

// degradationSigma is how many standard deviations of its past a rate may rise by.
const degradationSigma = 4

// minDegradationSlots is how many slots of the past tell what is usual.
const minDegradationSlots = 6

// degradations compares the unchanged ones' last slots with their own past. Its
// answer is a reason to wait, not to stop: it is no bound that may be looked at
// again and again.
func (j *Judge) degradations() (out []Degradation) {
	for k, c := range j.cells {
		l := &j.baselineLevels[k]
		if c.measure != Unserved && c.measure != Rejections || l.slots[0] < minDegradationSlots || len(l.recent) < recentSlots/2 {
			continue
		}
		past := l.rateSum[0] / l.slots[0]
		variance := max(0, l.rateSquares[0]/l.slots[0]-past*past)
		now := 0.0
		for _, r := range l.recent {
			now += r
		}
		now /= float64(len(l.recent))
		limit := past + max(j.cfg.Margins[c.measure].Exclude, degradationSigma*math.Sqrt(variance*(1/float64(len(l.recent))+1/l.slots[0])))
		if now > limit {
			s := Degradation{Measure: c.measure, Usual: past, Now: now, Limit: limit}
			if c.class >= 0 {
				s.Class = j.cfg.Classes[c.class]
			}
			out = append(out, s)
		}
	}
	return out
}
