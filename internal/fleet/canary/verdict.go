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
	// Aside says that it can't be told and does not keep the whole from being told.
	Aside bool `json:"aside,omitempty"`

	s2, events, seen, floor float64
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
	Verdict   Verdict        `json:"verdict"`
	Evidence  []Evidence     `json:"evidence"` // worse first, then what can't be told, the asides last
	Suffering []Degradation  `json:"suffering,omitempty"`
	Left      map[Reason]int `json:"left_out,omitempty"` // windows, by reason
	Slots     int            `json:"slots"`              // of evidence since the start
}

// Evaluate judges all that has come of slots before the given one. It may be called
// as often as one likes.
func (j *Judge) Evaluate(before int) Judgement {
	j.advance(before)
	out := Judgement{Verdict: NotWorse, Left: j.Left(), Slots: max(0, j.done-j.cfg.Start)}
	views := make([][]view, len(j.cells)+len(gauges))
	drifts, known := make([]float64, len(views)), make([]bool, len(views))
	for k := range views {
		views[k] = j.views(k)
		drifts[k], known[k] = drift(views[k])
	}
	var some []view
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
			if l := &j.now[t.cell]; l.exposure > 0 {
				e.Usual = l.x / l.exposure
			}
		}
		j.rule(&e, known[t.cell])
		e.Aside = e.Verdict == Inconclusive && !j.holds(&e)
		if e.Verdict == Worse || e.Verdict == Inconclusive && out.Verdict == NotWorse && !e.Aside {
			out.Verdict = e.Verdict
		}
		out.Evidence = append(out.Evidence, e)
	}
	rank := func(e *Evidence) int {
		if e.Aside {
			return 3
		}
		return map[Verdict]int{Worse: 0, Inconclusive: 1, NotWorse: 2}[e.Verdict]
	}
	sort.SliceStable(out.Evidence, func(a, b int) bool { return rank(&out.Evidence[a]) < rank(&out.Evidence[b]) })
	out.Suffering = j.suffering()
	return out
}

// minorShare is the part of all requests under which a class is minor.
const minorShare = 0.02

// holds says whether a test that can't be told keeps the whole from being told. Those of
// one zone or of a minor class stop a change that does worse there, and else would hold
// each: there is never enough traffic to rule harm out in the smallest corner.
func (j *Judge) holds(e *Evidence) bool {
	if e.zone >= 0 {
		return false
	}
	if e.cell >= len(j.cells) || j.cells[e.cell].class < 0 {
		return true
	}
	return j.now[e.cell].exposure >= minorShare*j.baselineRequests
}

// views are what the instances say in a cell, or of a gauge. One that was changed speaks
// twice: for what it was, and for what it is.
func (j *Judge) views(k int) (out []view) {
	if g := k - len(j.cells); g >= 0 {
		// A page of memory comes and goes, and so do a few descriptors.
		floor := [...]float64{0.25, 2}[g]
		for i, z := range j.zone {
			for side := range j.gauge[g] {
				l := &j.gauge[g][side][i]
				if a, s2, ok := l.slope(floor); ok && j.arm[i] != back {
					out = append(out, view{zone: z, new: side == 1, a: a, s2: s2, n: l.n, events: leastEvents})
				}
			}
		}
		return out
	}
	c, l := &j.cells[k], &j.now[k]
	if l.exposure == 0 {
		return nil
	}
	tolerate, factor := j.cfg.Margins[c.measure].Tolerate, j.noise[k].factor()
	say := func(i int, s *sums, isNew bool) {
		if s.n[0] <= 0 || s.n[1] <= 0 {
			return
		}
		// It is as many times as bad as those beside it as it was in its past: on a bad
		// day, an instance that is always twice as bad is so too.
		little, times := s.little(), s.times()
		rate := s.e[1] / s.n[1]
		// At the boundary of the null, in the windows that it had, and never 0: what was
		// not seen may yet come.
		now, past := max(times*rate, l.x/l.exposure)+tolerate, (s.x[0]+little/littlePast)/s.n[0]
		out = append(out, view{
			zone:   j.zone[i],
			new:    isNew,
			a:      s.x[1]/s.n[1] - times*rate,
			s2:     factor * (c.spread(now, s.n2[1])/(s.n[1]*s.n[1]) + rate*rate*c.spread(past, s.n2[0])/((s.e[0]+little)*(s.e[0]+little))),
			n:      s.n[1],
			events: now * s.n[1] * s.n[1] / s.n2[1],
			seen:   s.x[1],
		})
	}
	for i := range j.zone {
		switch j.arm[i] {
		case old:
			say(i, &j.sums[k][i], false)
		case changed:
			say(i, &j.was[k][i], false)
			say(i, &j.sums[k][i], true)
		}
	}
	return out
}

// sureShare is the part of what is tolerated that even the lower bound must pass. With 0
// one in 25 harmless changes of 60 instances was stopped: rates of few events are
// skewed, and instances drift by more on a bad day than the bound allows for.
const sureShare = 0.5

// rule says what a test's evidence amounts to.
func (j *Judge) rule(e *Evidence, known bool) {
	e.Verdict = Inconclusive
	switch {
	case e.Changed == 0:
		e.Why = "no changed instance has both a past and a present beside unchanged ones"
		return
	case e.Unchanged == 0 || !known:
		e.Why = fmt.Sprintf("%d unchanged instances; %d at least tell how much instances drift by themselves", e.Unchanged, minDrift)
		return
	case e.Measure == Crashes && rareLog(e.seen, e.events) > -math.Log(j.alpha()):
		// Few as they are, they are more than the unchanged ones' rate and what is
		// tolerated would bring.
		e.Verdict, e.Low, e.High = Worse, e.Estimate-e.Margin.Tolerate, math.MaxFloat64
		return
	case e.Measure == Crashes && e.events < leastEvents && e.seen <= e.events:
		// Crashes are rare: that there were none is as much as can be known.
		e.Verdict, e.Low, e.High = NotWorse, -math.MaxFloat64, e.Margin.Exclude
		return
	case e.events < leastEvents:
		e.Why, e.Needs = "too few requests", leastEvents/max(e.events, 1e-3)
		return
	}
	r := radius(e.s2, e.Margin.Tolerate, j.alpha())
	e.Low, e.High = e.Estimate-r, e.Estimate+r
	switch {
	case e.Low > sureShare*e.Margin.Tolerate && e.Estimate >= e.Margin.Tolerate:
		e.Verdict = Worse
	case e.High < e.Margin.Exclude:
		e.Verdict = NotWorse
	case e.Estimate >= e.Margin.Exclude:
		e.Why = "it looks worse, and chance is not ruled out"
	default:
		need := informationFor(e.Margin.Exclude-max(0, e.Estimate), e.Margin.Tolerate, j.alpha())
		if best := 1 / max(e.floor, 1e-300); e.floor > 0 && need > best {
			e.Why = fmt.Sprintf("instances drift by themselves: %d changed ones are too few, however long", e.Changed)
		} else {
			e.Why, e.Needs = "too little traffic", max(1, need*e.s2)
		}
	}
}

// sufferSigma is how many standard deviations of its past a rate may rise by.
const sufferSigma = 4

// minSuffer is how many slots of the past tell what is usual.
const minSuffer = 6

// suffering compares the unchanged ones' last slots with their own past. Its
// answer is a reason to wait, not to stop: it is no bound that may be looked at
// again and again.
func (j *Judge) suffering() (out []Degradation) {
	for k, c := range j.cells {
		l := &j.now[k]
		if c.measure != Unserved && c.measure != Rejections || l.n[0] < minSuffer || len(l.recent) < recentSlots/2 {
			continue
		}
		past := l.sum[0] / l.n[0]
		variance := max(0, l.square[0]/l.n[0]-past*past)
		now := 0.0
		for _, r := range l.recent {
			now += r
		}
		now /= float64(len(l.recent))
		limit := past + max(j.cfg.Margins[c.measure].Exclude, sufferSigma*math.Sqrt(variance*(1/float64(len(l.recent))+1/l.n[0])))
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
