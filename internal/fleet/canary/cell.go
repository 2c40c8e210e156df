package canary

// cell is one measure of one class of requests, or of all classes. For each instance it is
// counted as events and exposure, such as failed requests and all requests; its rate is the
// events divided by the exposure.
type cell struct {
	measure Measure
	class   int  // allClasses, or an index into Config.Classes
	poisson bool // true: events are a Poisson count; false: each unit of exposure is an event or not
	read    func(w *Window) reading
}

// allClasses is the class of a cell that counts the requests of all classes.
const allClasses = -1

// reading is the events and the exposure that a cell reads from a window.
type reading struct {
	events, exposure float64
	// squares is the sum of the squared weights of the units of exposure. It equals the
	// exposure if each unit has weight 1.
	squares float64
}

// unweighted is a reading in which each unit of exposure has weight 1.
func unweighted(events, exposure float64) reading {
	return reading{events: events, exposure: exposure, squares: exposure}
}

// variance is the variance that chance alone causes in the number of events at the given
// rate. squares is the sum of the squared weights of the exposure (see reading).
func (c *cell) variance(rate, squares float64) float64 {
	if c.poisson {
		return max(rate, 0) * squares
	}
	p := min(max(rate, 0), 1)
	return p * (1 - p) * squares
}

// allZones is the zone of a test over all zones.
const allZones = -1

// Test is one comparison of changed with unchanged instances: a measure of one class or of
// all classes, in one zone or over all zones.
type Test struct {
	Measure Measure `json:"measure"`
	Class   string  `json:"class,omitempty"` // "": all
	Zone    string  `json:"zone,omitempty"`  // "": all
	cell    int     // index into Judge.cells; for a gauge, len(Judge.cells) plus its index in gauges
	zone    int     // allZones, or an index into Judge.zoneNames
}

// String returns the name of the test, such as "unserved of status in zone-1".
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

// gauges are the measures of which the growth is judged.
var gauges = [...]Measure{Memory, Files}

// buildCells creates the cells and tests of the measures that have a margin.
func (j *Judge) buildCells() {
	for class, name := range j.cfg.Classes {
		j.addCell(unservedOf(class), name, true)
		j.addCell(failedOf(class), name, false)
	}
	j.addCell(weightedLoss(j.cfg.Weights), "", true)
	j.addCell(cell{Attempts, allClasses, true, func(w *Window) reading {
		return unweighted(float64(w.Attempts), w.requests())
	}}, "", false)
	j.addCell(cell{Rejections, allClasses, false, func(w *Window) reading {
		return unweighted(float64(w.Rejected), float64(w.Finished))
	}}, "", false)
	j.addCell(cell{Slow, allClasses, false, func(w *Window) reading {
		return unweighted(float64(w.Slow), float64(w.Sampled))
	}}, "", false)
	minutes := j.cfg.Slot.Minutes()
	j.addCell(cell{Crashes, allClasses, true, func(w *Window) reading {
		return unweighted(float64(w.Crashes), minutes)
	}}, "", false)
	for g, m := range gauges {
		if _, ok := j.cfg.Margins[m]; ok {
			j.addTests(m, "", len(j.cells)+g, false)
		}
	}
}

// unservedOf counts the requests of a class that were rejected or failed.
func unservedOf(class int) cell {
	return cell{Unserved, class, false, func(w *Window) reading {
		counts := w.Classes[class]
		return unweighted(float64(counts.Rejected)+float64(counts.Failed), counts.Total())
	}}
}

// failedOf counts the requests of a class that failed.
func failedOf(class int) cell {
	return cell{Failed, class, false, func(w *Window) reading {
		counts := w.Classes[class]
		return unweighted(float64(counts.Failed), counts.Total())
	}}
}

// weightedLoss counts the requests of all classes that were rejected or failed, each with
// the weight of its class.
func weightedLoss(weights []float64) cell {
	return cell{WeightedLoss, allClasses, false, func(w *Window) (r reading) {
		for class, counts := range w.Classes {
			weight := weights[class]
			r.events += weight * (float64(counts.Rejected) + float64(counts.Failed))
			r.exposure += weight * counts.Total()
			r.squares += weight * weight * counts.Total()
		}
		return r
	}}
}

// addCell adds a cell and its tests, if its measure has a margin. class is the name of the
// class, "" for all classes; byZone is as in addTests.
func (j *Judge) addCell(c cell, class string, byZone bool) {
	if _, ok := j.cfg.Margins[c.measure]; !ok {
		return
	}
	j.cells = append(j.cells, c)
	j.addTests(c.measure, class, len(j.cells)-1, byZone)
}

// addTests adds the test of a cell or gauge over all zones. If byZone is true and there is
// more than one zone, it also adds a test for each zone.
func (j *Judge) addTests(m Measure, class string, cell int, byZone bool) {
	j.tests = append(j.tests, Test{m, class, "", cell, allZones})
	if byZone && len(j.zoneNames) > 1 {
		for z, name := range j.zoneNames {
			j.tests = append(j.tests, Test{m, class, name, cell, z})
		}
	}
}
