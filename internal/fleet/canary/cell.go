package canary

// cell is a pair of counts that are kept for each instance: events and exposures.
type cell struct {
	measure Measure
	class   int  // -1: of all
	poisson bool // events a unit of exposure, rather than a share of it
	// read returns the events, the exposure, and the sum of squares of the weights
	// in it: the exposure itself where each counts 1.
	read func(w *Window) (x, n, n2 float64)
}

// spread is how many events, in variance, n2 of exposure give at rate p.
func (c *cell) spread(p, n2 float64) float64 {
	if c.poisson {
		return max(p, 0) * n2
	}
	p = min(max(p, 0), 1)
	return p * (1 - p) * n2
}

// Test is one comparison: a measure of a class, over all zones or in one alone.
type Test struct {
	Measure Measure `json:"measure"`
	Class   string  `json:"class,omitempty"`
	Zone    string  `json:"zone,omitempty"` // "": all
	cell    int     // or, from len(cells) on, a gauge
	zone    int     // -1: all
}

func (t Test) String() string {
	s := string(t.Measure)
	if t.Class != "" {
		s += " of " + t.Class
	}
	if t.Zone != "" {
		s += " in " + t.Zone
	}
	return s
}

var gauges = [...]Measure{Memory, Files}

// buildCells makes the cells and tests that the configuration asks for.
func (j *Judge) buildCells() {
	add := func(c cell, class string, byZone bool) {
		if _, ok := j.cfg.Margins[c.measure]; !ok {
			return
		}
		j.cells = append(j.cells, c)
		j.addTests(c.measure, class, len(j.cells)-1, byZone)
	}
	for c, name := range j.cfg.Classes {
		add(cell{Unserved, c, false, func(w *Window) (float64, float64, float64) {
			k := w.Classes[c]
			return float64(k.Rejected) + float64(k.Failed), k.Total(), k.Total()
		}}, name, true)
		add(cell{Failed, c, false, func(w *Window) (float64, float64, float64) {
			k := w.Classes[c]
			return float64(k.Failed), k.Total(), k.Total()
		}}, name, false)
	}
	add(cell{WeightedLoss, -1, false, func(w *Window) (x, n, n2 float64) {
		for c, k := range w.Classes {
			v := j.cfg.Weights[c]
			x += v * (float64(k.Rejected) + float64(k.Failed))
			n += v * k.Total()
			n2 += v * v * k.Total()
		}
		return x, n, n2
	}}, "", true)
	add(cell{Attempts, -1, true, func(w *Window) (float64, float64, float64) {
		return float64(w.Attempts), w.requests(), w.requests()
	}}, "", false)
	add(cell{Rejections, -1, false, func(w *Window) (float64, float64, float64) {
		return float64(w.Rejected), float64(w.Finished), float64(w.Finished)
	}}, "", false)
	add(cell{Slow, -1, false, func(w *Window) (float64, float64, float64) {
		return float64(w.Slow), float64(w.Sampled), float64(w.Sampled)
	}}, "", false)
	minutes := j.cfg.Slot.Minutes()
	add(cell{Crashes, -1, true, func(w *Window) (float64, float64, float64) {
		return float64(w.Crashes), minutes, minutes
	}}, "", false)
	for g, m := range gauges {
		if _, ok := j.cfg.Margins[m]; ok {
			j.addTests(m, "", len(j.cells)+g, false)
		}
	}
}

func (j *Judge) addTests(m Measure, class string, cell int, byZone bool) {
	j.tests = append(j.tests, Test{m, class, "", cell, -1})
	if byZone && len(j.zoneNames) > 1 {
		for z, name := range j.zoneNames {
			j.tests = append(j.tests, Test{m, class, name, cell, z})
		}
	}
}
