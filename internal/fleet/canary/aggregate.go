package canary

// The phases of a change: the slots before Config.Start, and those from it on.
const (
	history = iota
	present
	phases
)

// arm is the side of the comparison that an instance belongs to.
type arm uint8

const (
	armUnknown   arm = iota // no window of it has come
	armUnchanged            // it has not run the change so far
	armChanged              // it has run the change since one of its windows
	armReverted             // it ran the change and runs the base release again: on neither side
)

// totals are the sums of one instance in one cell, by phase: its events and exposure,
// the sum of the squared weights in the exposure, and the events expected by the rate
// of the unchanged instances of its zone in the same slots.
type totals struct{ events, exposure, squares, expected [phases]float64 }

// historyPriorEvents is the number of events, at the rate of the instances of its zone, that
// are added to an instance's past. An instance with few events of its own thereby counts
// as similar to the others.
const historyPriorEvents = 3.0

// priorEvents is historyPriorEvents in units of the weighted exposure.
func (s *totals) priorEvents() float64 {
	return historyPriorEvents * s.squares[history] / s.exposure[history]
}

// historyFactor is the instance's rate in the past as a multiple of the rate of the unchanged
// instances of its zone.
func (s *totals) historyFactor() float64 {
	if s.exposure[history] <= 0 {
		return 1
	}
	return (s.events[history] + s.priorEvents()) / (s.expected[history] + s.priorEvents())
}

// merged is the totals with both phases counted as the past.
func (s *totals) merged() totals {
	return totals{
		events:   [phases]float64{s.events[history] + s.events[present]},
		exposure: [phases]float64{s.exposure[history] + s.exposure[present]},
		squares:  [phases]float64{s.squares[history] + s.squares[present]},
		expected: [phases]float64{s.expected[history] + s.expected[present]},
	}
}

// noise compares the variance of the unchanged instances' windows with the variance that
// chance alone causes.
type noise struct{ observed, byChance float64 }

// factor is the observed variance as a multiple of that by chance, at least 1.
func (o noise) factor() float64 {
	if o.byChance <= 0 {
		return 1
	}
	return max(1, o.observed/o.byChance)
}

// aggregate adds up all slots before the given one.
func (j *Judge) aggregate(before int) {
	for ; j.aggregatedSlots < min(before, len(j.slots)); j.aggregatedSlots++ {
		slot, phase := j.slots[j.aggregatedSlots], history
		if j.aggregatedSlots >= j.cfg.Start {
			phase = present
			j.freezeBaseline()
		}
		j.assignArms(slot, phase)
		for k := range j.cells {
			j.addSlot(k, slot, phase)
		}
	}
}

// assignArms updates the arm of each instance with a window in the slot, and adds the
// values of its gauges.
func (j *Judge) assignArms(slot []*storedWindow, phase int) {
	unchangedInZone := make([]int, len(j.zoneNames))
	for i, stored := range slot {
		if stored != nil && !stored.isChange {
			unchangedInZone[j.zoneOf[i]]++
		}
	}
	for i, stored := range slot {
		if stored == nil {
			continue
		}
		j.assignArm(i, stored.isChange)
		if !stored.isChange {
			j.baselineRequests += stored.window.requests()
		} else if unchangedInZone[j.zoneOf[i]] == 0 {
			j.unpairedWindows++
		}
		j.addGauges(i, stored, phase)
	}
}

// assignArm updates an instance's arm by the release of a window of it.
func (j *Judge) assignArm(i int, isChange bool) {
	switch {
	case isChange && j.arms[i] != armReverted:
		if j.arms[i] != armChanged {
			j.markChanged(i)
		}
		j.arms[i] = armChanged
	case j.arms[i] == armChanged:
		j.arms[i] = armReverted
	case j.arms[i] == armUnknown:
		j.arms[i] = armUnchanged
	}
}

// markChanged moves an instance to the changed arm: all that it has counted so far becomes
// its past. Its totals as an unchanged instance remain in evidence.
func (j *Judge) markChanged(i int) {
	for k := range j.cells {
		s := &j.totals[k][i]
		j.totalsBeforeChange[k][i] = *s
		*s = s.merged()
	}
}

// addGauges adds the gauges of a window. Those of an unchanged instance count in the
// present only, and those of a young process do not count.
func (j *Judge) addGauges(i int, stored *storedWindow, phase int) {
	w := &stored.window
	side := unchangedSide
	if stored.isChange {
		side = changedSide
	}
	for g, value := range [...]float64{float64(w.Memory) / bytesPerMiB, float64(w.Files)} {
		if value > 0 && (stored.isChange || phase == present) && w.Age >= j.cfg.Settle {
			j.gaugeLines[g][side][i].add(w.Age.Minutes(), value)
		}
	}
}

// The sides of the comparison, as indices.
const (
	unchangedSide = iota
	changedSide
	sides
)

// bytesPerMiB converts resident memory to the unit of its margin.
const bytesPerMiB = 1 << 20

// addSlot adds a slot to the totals of one cell.
func (j *Judge) addSlot(k int, slot []*storedWindow, phase int) {
	c := &j.cells[k]
	pools := j.poolUnchanged(k, slot, phase)
	for i, stored := range slot {
		if stored == nil {
			continue
		}
		r := c.read(&stored.window)
		pool := &pools[j.zoneOf[i]]
		if r.exposure == 0 || pool.exposure == 0 {
			continue
		}
		at := phase
		if stored.isChange {
			at = present
		}
		s := &j.totals[k][i]
		s.events[at] += r.events
		s.exposure[at] += r.exposure
		s.squares[at] += r.squares
		s.expected[at] += r.exposure * j.expectedRate(k, j.zoneOf[i], pool)
		if !stored.isChange {
			j.noise[k].add(c, r, pool, j.factorOf(k, i))
		}
	}
}

// poolUnchanged adds up the unchanged instances of a slot by zone, and adds their rate to
// the baseline level of the cell.
func (j *Judge) poolUnchanged(k int, slot []*storedWindow, phase int) []pool {
	c, pools := &j.cells[k], make([]pool, len(j.zoneNames))
	var events, exposure float64
	for i, stored := range slot {
		if stored != nil && !stored.isChange {
			r := c.read(&stored.window)
			p := &pools[j.zoneOf[i]]
			p.events += r.events
			p.exposure += r.exposure
			p.squares += r.squares
			p.weightedExposure += r.exposure * j.factorOf(k, i)
			events += r.events
			exposure += r.exposure
		}
	}
	if exposure > 0 {
		j.baselineLevels[k].add(phase, events, exposure)
	}
	return pools
}

// add compares a window of an unchanged instance with the other unchanged instances of its
// zone. The window itself is left out of their rate, since its events would otherwise
// hide in it. factor is the instance's usual factor.
func (o *noise) add(c *cell, r reading, p *pool, factor float64) {
	rest := p.weightedExposure - r.exposure*factor
	if rest <= 0 {
		return
	}
	rate := (p.events - r.events) / rest
	deviation := r.events - r.exposure*factor*rate
	o.observed += deviation * deviation
	o.byChance += c.variance(factor*rate, r.squares) + c.variance(rate, rest)*(r.exposure*factor/rest)*(r.exposure*factor/rest)
}
