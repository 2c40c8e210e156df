package canary

// pool holds the sums of the unchanged instances of one zone in one slot.
type pool struct {
	events, exposure, squares float64
	weightedExposure          float64 // sum of each instance's exposure times its usual factor
}

// freezeBaseline fixes the usual factor of each instance: its rate so far as a multiple of
// the rate of its zone. The first call, before the first slot of the present phase, sets the
// factors; later calls do nothing. From then on the rate of the unchanged instances is
// corrected by the factors of the instances that remain unchanged. Otherwise a zone would
// look better merely because its worst instances are changed first.
func (j *Judge) freezeBaseline() {
	if j.usualFactor != nil {
		return
	}
	j.usualFactor, j.baseRate = make([][]float64, len(j.cells)), make([][]float64, len(j.cells))
	for k := range j.cells {
		j.baseRate[k] = j.historyRateByZone(k)
		j.usualFactor[k] = make([]float64, len(j.zoneOf))
		for i := range j.usualFactor[k] {
			// No prior events are added here: the expected events of a zone, multiplied by
			// the factors, must add up to the observed events of the zone.
			j.usualFactor[k][i] = 1
			if s := &j.totals[k][i]; s.expected[history] > 0 {
				j.usualFactor[k][i] = s.events[history] / s.expected[history]
			}
		}
	}
}

// historyRateByZone returns, by zone, the rate of all instances in the history phase, 0 where
// there was no exposure.
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

// slotPriorEvents is the number of events, at the history rate of the zone, that are added
// as a prior to the events of a zone in one slot.
const slotPriorEvents = 0.5

// expectedRate is the rate expected of an instance with a usual factor of 1, given the
// unchanged instances of the same zone and slot, whose sums are p. In the history phase it
// is their rate. In the present phase it is the history rate of the zone times a scale: the
// events of the slot divided by the events expected from the history rate. With few events
// the scale stays near 1. For a zone without any event in its history there is no scale:
// the expected rate is 0, and the rates of changed and unchanged instances are compared
// directly.
func (j *Judge) expectedRate(cell, zone int, p *pool) float64 {
	if j.usualFactor == nil {
		return p.events / p.exposure
	}
	base, prior := j.baseRate[cell][zone], slotPriorEvents*p.squares/p.exposure
	return base * (p.events + prior) / (p.weightedExposure*base + prior)
}

// factorOf is the usual factor of an instance in a cell; 1 in the history phase.
func (j *Judge) factorOf(cell, instance int) float64 {
	if j.usualFactor == nil {
		return 1
	}
	return j.usualFactor[cell][instance]
}
