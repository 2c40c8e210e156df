package canary

// pool is the sums of the unchanged instances of a zone in a slot.
type pool struct {
	events, exposure, squares float64
	weightedExposure          float64 // exposure, each instance's multiplied by its usual factor
}

// freezeBaseline fixes, at the first slot of the present, each instance's usual factor:
// its rate so far as a multiple of the rate of its zone. From then on the rate of the
// unchanged instances is corrected by the factors of those that remain unchanged.
// Otherwise a zone would look better merely because its worst instances are changed
// first.
func (j *Judge) freezeBaseline() {
	if j.usualFactor != nil {
		return
	}
	j.usualFactor, j.baseRate = make([][]float64, len(j.cells)), make([][]float64, len(j.cells))
	for k := range j.cells {
		j.baseRate[k] = j.historyRateByZone(k)
		j.usualFactor[k] = make([]float64, len(j.zoneOf))
		for i := range j.usualFactor[k] {
			// Without prior events: over a zone, the factors must add up to its events.
			j.usualFactor[k][i] = 1
			if s := &j.totals[k][i]; s.expected[history] > 0 {
				j.usualFactor[k][i] = s.events[history] / s.expected[history]
			}
		}
	}
}

// historyRateByZone is the rate of all instances of each zone in the past, 0 where there was
// no exposure.
func (j *Judge) historyRateByZone(k int) []float64 {
	rate := make([]float64, len(j.zoneNames))
	exposure := make([]float64, len(j.zoneNames))
	for i, z := range j.zoneOf {
		rate[z] += j.totals[k][i].events[history]
		exposure[z] += j.totals[k][i].exposure[history]
	}
	for z := range exposure {
		if exposure[z] > 0 {
			rate[z] /= exposure[z]
		}
	}
	return rate
}

// slotPriorEvents is the number of events, at the zone's past rate, that are added to those
// of a zone's slot.
const slotPriorEvents = 0.5

// expectedRate is the rate that the unchanged instances of a zone lead one to expect of an
// instance with a usual factor of 1 in the same slot. In the present it is the zone's
// past rate, scaled by how many times as many events the slot has as expected; with few
// events the scale stays near 1. A zone without any event in its past gives no scale:
// there the expected rate is 0 and changed and unchanged instances are compared as they
// are.
func (j *Judge) expectedRate(cell, zone int, p *pool) float64 {
	if j.usualFactor == nil {
		return p.events / p.exposure
	}
	base, prior := j.baseRate[cell][zone], slotPriorEvents*p.squares/p.exposure
	return base * (p.events + prior) / (p.weightedExposure*base + prior)
}

// factorOf is an instance's usual factor in a cell, 1 in the past.
func (j *Judge) factorOf(cell, instance int) float64 {
	if j.usualFactor == nil {
		return 1
	}
	return j.usualFactor[cell][instance]
}
