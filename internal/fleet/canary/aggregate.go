package canary

// The phases of a change, as indices. The rate of an instance in the history phase is its
// usual rate, with which its rate in the present phase is compared.
const (
	history = iota // slots before Config.Start
	present        // slots from Config.Start on
	phases
)

// arm is the side of the comparison that an instance belongs to.
type arm uint8

const (
	armUnknown   arm = iota // no window of the instance has been added up
	armUnchanged            // the instance has not run the change so far
	armChanged              // the instance runs the change
	armReverted             // the instance ran the change and runs the base release again: it is on neither side
)

// totals are the sums of one instance in one cell, by phase: the events and the exposure of
// the instance, the sum of the squared weights in the exposure, and the number of events
// expected from the rate of the unchanged instances of the same zone in the same slots.
type totals struct{ events, exposure, squares, expected [phases]float64 }

// historyPriorEvents is the number of events, at the rate of the zone, that are added to the
// history of each instance as a prior. An instance with few events of its own is thereby
// assumed to be similar to the other instances of its zone.
const historyPriorEvents = 3.0

// priorEvents is historyPriorEvents in weighted events, as the totals count them.
func (s *totals) priorEvents() float64 {
	return historyPriorEvents * s.squares[history] / s.exposure[history]
}

// historyFactor is the rate of the instance in its history, as a multiple of the rate of the
// unchanged instances of its zone; 1 if the instance has no history.
func (s *totals) historyFactor() float64 {
	if s.exposure[history] <= 0 {
		return 1
	}
	return (s.events[history] + s.priorEvents()) / (s.expected[history] + s.priorEvents())
}

// merged returns the totals with both phases counted as history.
func (s *totals) merged() totals {
	return totals{
		events:   [phases]float64{s.events[history] + s.events[present]},
		exposure: [phases]float64{s.exposure[history] + s.exposure[present]},
		squares:  [phases]float64{s.squares[history] + s.squares[present]},
		expected: [phases]float64{s.expected[history] + s.expected[present]},
	}
}

// noise holds the squared deviations of the unchanged instances' windows from their expected
// values, and the sum of the variances that chance alone would cause.
type noise struct{ observed, byChance float64 }

// factor is the observed variance as a multiple of the variance by chance, at least 1.
func (o noise) factor() float64 {
	if o.byChance <= 0 {
		return 1
	}
	return max(1, o.observed/o.byChance)
}

// aggregate adds the slots before the given one to the sums, each slot once and in
// ascending order.
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

// assignArms updates the arm of each instance that has a window in the slot, and adds the
// gauges of the window.
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

// assignArm updates the arm of an instance after its next window. isChange reports whether
// the instance ran the change in that window.
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

// markChanged prepares the totals of an instance for the changed arm: all that the instance
// has counted so far becomes its history. The totals from its time as an unchanged instance
// are kept, since they remain part of the evidence.
func (j *Judge) markChanged(i int) {
	for k := range j.cells {
		s := &j.totals[k][i]
		j.totalsBeforeChange[k][i] = *s
		*s = s.merged()
	}
}

// addGauges adds the gauges of a window. The gauges of an unchanged instance count in the
// present phase only; the gauges of a process younger than Config.MinGaugeAge do not count.
func (j *Judge) addGauges(i int, stored *storedWindow, phase int) {
	w := &stored.window
	side := unchangedSide
	if stored.isChange {
		side = changedSide
	}
	for g, value := range [...]float64{float64(w.Memory) / bytesPerMiB, float64(w.Files)} {
		if value > 0 && (stored.isChange || phase == present) && w.Age >= j.cfg.MinGaugeAge {
			j.gaugeLines[g][side][i].add(w.Age.Minutes(), value)
		}
	}
}

// The two sides of the comparison, as indices.
const (
	unchangedSide = iota
	changedSide
	sides
)

// bytesPerMiB converts resident memory to MiB, the unit of the margin of Memory.
const bytesPerMiB = 1 << 20

// addSlot adds the windows of a slot to the totals and the noise of cell k.
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
		countedPhase := phase
		if stored.isChange {
			countedPhase = present
		}
		s := &j.totals[k][i]
		s.events[countedPhase] += r.events
		s.exposure[countedPhase] += r.exposure
		s.squares[countedPhase] += r.squares
		s.expected[countedPhase] += r.exposure * j.expectedRate(k, j.zoneOf[i], pool)
		if !stored.isChange {
			j.noise[k].add(c, r, pool, j.factorOf(k, i))
		}
	}
}

// poolUnchanged adds up the unchanged instances of a slot by zone. It also adds their rate,
// over all zones, to the baseline level of cell k.
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
// zone, whose sums are p. The window itself is subtracted from p, since it would otherwise
// be compared with itself in part. factor is the usual factor of the instance.
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
