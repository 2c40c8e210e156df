// Package canary judges whether sidecars that run a change serve worse than those that
// do not, from what both counted over the same time (canary analysis, as in Kayenta). It
// is pure: it does no I/O and reads no clock; windows of counts come in, verdicts with
// their evidence go out.
//
// Each instance is compared with the unchanged instances of its zone in the same slots of
// time, as a multiple that is known from its past. The excess of the changed instances is
// then tested against that of the unchanged ones. Neither a bad minute at the servers nor
// an instance that was always worse therefore looks like an effect of the change. The
// bounds hold under repeated looks (see bound.go), over all measures together.
//
// It promises: the order in which windows are added does not matter; a window that is
// added twice counts once; windows that cannot be compared are excluded and counted by
// reason, never estimated. It does not promise to find harm that affects changed and
// unchanged instances alike: that is reported as a Degradation, a reason to wait.
package canary

// Judge holds the windows of one change: at most Config.MaxSlots for each instance.
type Judge struct {
	cfg                Config
	cells              []cell
	tests              []Test
	zoneNames          []string                   // distinct, in the order of Config.Zones
	zoneOf             []int                      // of each instance, an index into zoneNames
	slots              [][]*storedWindow          // by slot and instance; nil: no window
	arms               []arm                      // of each instance
	excluded           map[Reason]int             // by Add
	unpairedWindows    int                        // windows of changed instances in a zone and slot without an unchanged one
	aggregatedSlots    int                        // the fields below are the sums of the slots before this one
	totals             [][]totals                 // by cell and instance
	noise              []noise                    // by cell
	usualFactor        [][]float64                // by cell and instance: its rate before Start as a multiple of its zone's
	baseRate           [][]float64                // by cell and zone: the rate of all instances before Start
	totalsBeforeChange [][]totals                 // of changed instances: the totals from when they were unchanged
	gaugeLines         [len(gauges)][sides][]line // by gauge, side and instance
	baselineLevels     []level                    // by cell: the rate of the unchanged instances
	baselineRequests   float64                    // requests of the unchanged instances
}

// storedWindow is a window that was not excluded.
type storedWindow struct {
	window   Window
	isChange bool // whether the instance ran Config.Change
}

// New returns a judge without evidence. Without margins in the configuration it uses
// those of Margins.
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

// reset discards the sums, not the windows.
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

// Add adds a window. Windows may come late, in any order, and repeatedly.
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
		return // a repetition
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
		j.reset() // all slots are added up again, in order
	}
}

// Begin sets Config.Start, the first slot in which the change is made.
func (j *Judge) Begin(slot int) {
	j.cfg.Start = slot
	j.reset()
}

// CompleteSlots is how many slots before the given one have windows of at least half of
// the instances.
func (j *Judge) CompleteSlots(before int) (n int) {
	for _, slot := range j.slots[:min(max(before, 0), len(j.slots))] {
		windows := 0
		for _, g := range slot {
			if g != nil {
				windows++
			}
		}
		if 2*windows >= len(j.zoneOf) {
			n++
		}
	}
	return n
}

// Exclude counts windows that the caller excluded.
func (j *Judge) Exclude(r Reason, windows int) { j.excluded[r] += windows }

// Excluded is the number of excluded windows by reason.
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

// Tests are the comparisons that the judge makes.
func (j *Judge) Tests() []Test { return j.tests }

// alpha is the probability of a false stop allowed to one test, equal for all tests.
func (j *Judge) alpha() float64 { return j.cfg.FalseStops / float64(len(j.tests)) }
