package canary

// arm is the side on which an instance counts.
type arm uint8

const (
	armUnknown   arm = iota // nothing of it came
	armUnchanged            // not changed so far
	armChanged              // since a window of it, it runs the change
	armReverted             // it was changed and runs the old again: no side
)

// totals are what one instance counted in one cell: its past [0] and present [1],
// with the events that the unchanged ones beside it would lead one to expect.
type totals struct{ events, exposure, squares, expected [2]float64 }

// pastPriorEvents is how many events like those of the instances beside it are added to an
// instance's past: with few of its own it counts as one like the others.
const pastPriorEvents = 3.0

// priorEvents is pastPriorEvents in the weights of the exposure.
func (s *totals) priorEvents() float64 { return pastPriorEvents * s.squares[0] / s.exposure[0] }

// pastFactor is how many times as bad as those beside it an instance was in its past.
func (s *totals) pastFactor() float64 {
	if s.exposure[0] <= 0 {
		return 1
	}
	return (s.events[0] + s.priorEvents()) / (s.expected[0] + s.priorEvents())
}

// noise compares the unchanged ones' windows with what chance alone gives.
type noise struct{ observed, byChance float64 }

// factor is how much more windows vary than chance alone would have it; 1 at least.
func (o noise) factor() float64 {
	if o.byChance <= 0 {
		return 1
	}
	return max(1, o.observed/o.byChance)
}

// aggregate adds up all slots before the given one.
func (j *Judge) aggregate(before int) {
	for ; j.aggregatedSlots < min(before, len(j.slots)); j.aggregatedSlots++ {
		slot, phase := j.slots[j.aggregatedSlots], 0
		if j.aggregatedSlots >= j.cfg.Start {
			phase = 1
			j.freezeBaseline()
		}
		j.assignArms(slot, phase)
		for k := range j.cells {
			j.addSlot(k, slot, phase)
		}
	}
}

// assignArms says on which side each instance of a slot counts, and takes its gauges.
func (j *Judge) assignArms(slot []*storedWindow, phase int) {
	beside := make([]int, len(j.zoneNames))
	for i, g := range slot {
		if g != nil && !g.isChange {
			beside[j.zoneOf[i]]++
		}
	}
	for i, g := range slot {
		if g == nil {
			continue
		}
		switch {
		case g.isChange && j.arms[i] != armReverted:
			if j.arms[i] != armChanged {
				j.markChanged(i)
			}
			j.arms[i] = armChanged
		case j.arms[i] == armChanged:
			j.arms[i] = armReverted
		case j.arms[i] == armUnknown:
			j.arms[i] = armUnchanged
		}
		side := 1
		if !g.isChange {
			side = 0
			j.baselineRequests += g.window.requests()
		} else if beside[j.zoneOf[i]] == 0 {
			j.unpairedWindows++
		}
		for n, v := range [...]float64{float64(g.window.Memory) / (1 << 20), float64(g.window.Files)} {
			if v > 0 && (g.isChange || phase == 1) && g.window.Age >= j.cfg.Settle {
				j.gaugeLines[n][side][i].add(g.window.Age.Minutes(), v)
			}
		}
	}
}

// markChanged makes an instance a changed one: all that it has counted is its past.
func (j *Judge) markChanged(i int) {
	for k := range j.cells {
		s := &j.totals[k][i]
		j.totalsBeforeChange[k][i] = *s
		*s = totals{events: [2]float64{s.events[0] + s.events[1]}, exposure: [2]float64{s.exposure[0] + s.exposure[1]}, squares: [2]float64{s.squares[0] + s.squares[1]}, expected: [2]float64{s.expected[0] + s.expected[1]}}
	}
}

// pool is what the unchanged ones of a zone came to in a slot.
type pool struct {
	events, exposure, squares float64 // events, exposure, its squares
	weightedExposure          float64 // the exposure, as many times as each is as bad as the usual one
}

// addSlot adds a slot up in one cell.
func (j *Judge) addSlot(k int, slot []*storedWindow, phase int) {
	c, pools := &j.cells[k], make([]pool, len(j.zoneNames))
	var x, n float64
	for i, g := range slot {
		if g != nil && !g.isChange {
			dx, dn, dn2 := c.read(&g.window)
			p := &pools[j.zoneOf[i]]
			p.events, p.exposure, p.squares, p.weightedExposure = p.events+dx, p.exposure+dn, p.squares+dn2, p.weightedExposure+dn*j.factorOf(k, i)
			x, n = x+dx, n+dn
		}
	}
	if n > 0 {
		j.baselineLevels[k].add(phase, x, n)
	}
	for i, g := range slot {
		if g == nil {
			continue
		}
		dx, dn, dn2 := c.read(&g.window)
		beside := &pools[j.zoneOf[i]]
		if dn == 0 || beside.exposure == 0 {
			continue
		}
		at := phase
		if g.isChange {
			at = 1
		}
		s := &j.totals[k][i]
		s.events[at] += dx
		s.exposure[at] += dn
		s.squares[at] += dn2
		s.expected[at] += dn * j.expectedRate(k, j.zoneOf[i], beside)
		own := j.factorOf(k, i)
		if rest := beside.weightedExposure - dn*own; !g.isChange && rest > 0 {
			// Against the others, so that its own events don't hide in the rate.
			q := (beside.events - dx) / rest
			d := dx - dn*own*q
			j.noise[k].observed += d * d
			j.noise[k].byChance += c.spread(own*q, dn2) + c.spread(q, rest)*(dn*own/rest)*(dn*own/rest)
		}
	}
}

// freezeBaseline settles, at the first slot of the present, how many times as bad as the
// others each instance was until then. From there on the others' rate is that of
// instances of the usual kind, whoever of them is still unchanged: else a zone would
// look better as its bad ones are changed first.
func (j *Judge) freezeBaseline() {
	if j.usualFactor != nil {
		return
	}
	j.usualFactor, j.baseRate = make([][]float64, len(j.cells)), make([][]float64, len(j.cells))
	for k := range j.usualFactor {
		j.usualFactor[k], j.baseRate[k] = make([]float64, len(j.zoneOf)), make([]float64, len(j.zoneNames))
		exposure := make([]float64, len(j.zoneNames))
		for i, z := range j.zoneOf {
			j.baseRate[k][z] += j.totals[k][i].events[0]
			exposure[z] += j.totals[k][i].exposure[0]
		}
		for z := range exposure {
			if exposure[z] > 0 {
				j.baseRate[k][z] /= exposure[z]
			}
		}
		for i := range j.usualFactor[k] {
			// Not shrunk: over a zone, these add up to what it had.
			j.usualFactor[k][i] = 1
			if s := &j.totals[k][i]; s.expected[0] > 0 {
				j.usualFactor[k][i] = s.events[0] / s.expected[0]
			}
		}
	}
}

// slotPriorEvents is how many events as expected are added to those of a zone's slot.
const slotPriorEvents = 0.5

// expectedRate is the rate of an instance of the usual kind in a slot, by the unchanged ones
// of its zone. In the present it is the zone's past rate, as many times as the slot's
// events ask for; where they are few, it stays near once. Where there never were any,
// nothing tells by how many times they became more: then old and new are compared as
// they are.
func (j *Judge) expectedRate(cell, zone int, p *pool) float64 {
	if j.usualFactor == nil {
		return p.events / p.exposure
	}
	base, little := j.baseRate[cell][zone], slotPriorEvents*p.squares/p.exposure
	return base * (p.events + little) / (p.weightedExposure*base + little)
}

func (j *Judge) factorOf(cell, instance int) float64 {
	if j.usualFactor == nil {
		return 1
	}
	return j.usualFactor[cell][instance]
}
