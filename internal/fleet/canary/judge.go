// Package canary says whether sidecars that run a change serve worse than those
// that do not, from what they counted over the same time. It is pure: it does no
// I/O and reads no clock; counts come in, verdicts with their evidence go out.
//
// Each instance is expected to be as many times as bad as the unchanged ones beside it,
// within a zone and a slot of time, as it was in its past; what the changed ones are
// beyond that is set against what the unchanged ones are. So neither a bad minute at the servers nor an instance
// that was always worse looks like the change's doing. The bounds hold however
// often they are looked at (see bound.go), over all measures together.
//
// It promises: the order in which windows come does not matter; a window that
// comes twice counts once; what can't be compared is left out and counted by
// reason, never filled in. It does not promise to find harm that falls on changed
// and unchanged instances alike: that is told apart as Suffering, and says to hold.
package canary

// Judge holds the windows of one change. Its bound is MaxSlots windows an instance.
type Judge struct {
	cfg             Config
	cells           []cell
	tests           []Test
	zoneNames       []string          // the names, without repetition
	zoneOf          []int             // of each instance
	slots           [][]*storedWindow // by slot, by instance; nil: no window
	arms            []arm             // of each instance
	excluded        map[Reason]int    // by Add
	unpairedWindows int               // windows without an unchanged one beside them, as advance found
	// What advance has added up, slots before done.
	aggregatedSlots    int
	totals             [][]totals                 // by cell, by instance
	noise              []noise                    // by cell
	usualFactor        [][]float64                // by cell, by instance: how many times as bad as the others it was before Start
	baseRate           [][]float64                // by cell, by zone: the rate of all before Start
	totalsBeforeChange [][]totals                 // of changed ones, as they stood before: their evidence as unchanged ones stays
	gaugeLines         [len(gauges)][sides][]line // by gauge, by side (1: changed), by instance
	baselineLevels     []level                    // by cell: the unchanged ones' rate by slot
	baselineRequests   float64                    // requests of the unchanged ones
}

type storedWindow struct {
	window   Window
	isChange bool
}

// New returns a judge without evidence.
func New(c Config) (*Judge, error) {
	if c.Margins == nil {
		c.Margins = Margins()
	}
	if err := c.Check(); err != nil {
		return nil, err
	}
	j := &Judge{cfg: c, excluded: make(map[Reason]int)}
	place := make(map[string]int)
	for _, z := range c.Zones {
		if _, ok := place[z]; !ok {
			place[z] = len(j.zoneNames)
			j.zoneNames = append(j.zoneNames, z)
		}
		j.zoneOf = append(j.zoneOf, place[z])
	}
	j.buildCells()
	j.reset()
	return j, nil
}

// reset forgets what was added up, not the windows.
func (j *Judge) reset() {
	j.aggregatedSlots, j.unpairedWindows, j.baselineRequests = 0, 0, 0
	j.totals, j.totalsBeforeChange = make([][]totals, len(j.cells)), make([][]totals, len(j.cells))
	for k := range j.totals {
		j.totals[k], j.totalsBeforeChange[k] = make([]totals, len(j.zoneOf)), make([]totals, len(j.zoneOf))
	}
	j.arms = make([]arm, len(j.zoneOf))
	j.usualFactor = nil
	j.noise, j.baselineLevels = make([]noise, len(j.cells)), make([]level, len(j.cells))
	for g := range j.gaugeLines {
		j.gaugeLines[g] = [sides][]line{make([]line, len(j.zoneOf)), make([]line, len(j.zoneOf))}
	}
}

// Add takes a window. It may come late, in any order, or again.
func (j *Judge) Add(w Window) {
	switch {
	case w.Instance < 0 || w.Instance >= len(j.zoneOf) || len(w.Classes) != len(j.cfg.Classes) || w.Slot < 0:
		j.excluded[Unrecognized]++
		return
	case w.Slot >= j.cfg.MaxSlots:
		j.excluded[BeyondMaxSlots]++
		return
	}
	for len(j.slots) <= w.Slot {
		j.slots = append(j.slots, make([]*storedWindow, len(j.zoneOf)))
	}
	if j.slots[w.Slot][w.Instance] != nil {
		return // told before
	}
	switch {
	case w.Release != j.cfg.Base && w.Release != j.cfg.Change:
		j.excluded[OtherRelease]++
		return
	case w.Age-j.cfg.Slot < j.cfg.Warm && w.Crashes == 0:
		j.excluded[WarmingUp]++
		return
	}
	j.slots[w.Slot][w.Instance] = &storedWindow{w, w.Release == j.cfg.Change}
	if w.Slot < j.aggregatedSlots {
		j.reset() // it is added up anew, in order
	}
}

// Begin sets the slot from which on the change is made, Config.Start.
func (j *Judge) Begin(slot int) {
	j.cfg.Start = slot
	j.reset()
}

// CompleteSlots is how many slots before the given one have windows of half of the
// instances at least.
func (j *Judge) CompleteSlots(before int) (n int) {
	for _, slot := range j.slots[:min(max(before, 0), len(j.slots))] {
		have := 0
		for _, g := range slot {
			if g != nil {
				have++
			}
		}
		if 2*have >= len(j.zoneOf) {
			n++
		}
	}
	return n
}

// Exclude counts evidence that its bearer left out.
func (j *Judge) Exclude(r Reason, windows int) { j.excluded[r] += windows }

// Excluded tells what was left out, by reason, in windows.
func (j *Judge) Excluded() map[Reason]int {
	out := make(map[Reason]int)
	for r, n := range j.excluded {
		out[r] = n
	}
	if j.unpairedWindows > 0 {
		out[NoBaseline] = j.unpairedWindows
	}
	return out
}

// Tests are the comparisons that are made.
func (j *Judge) Tests() []Test { return j.tests }

// alpha is one test's share of the false stops.
func (j *Judge) alpha() float64 { return j.cfg.FalseStops / float64(len(j.tests)) }
