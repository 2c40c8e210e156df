// Package canary judges whether sidecars that run a change serve requests worse than
// sidecars that do not, from what both counted over the same time (canary analysis, as in
// Kayenta). The package does no I/O and reads no clock: its input is windows of counts, its
// output verdicts with their evidence.
//
// Time is divided into slots, and a window holds the counts of one instance in one slot. The
// rate of each instance is compared with the rate of the unchanged instances of its zone in
// the same slots, after multiplying the latter by the ratio of the two rates before the
// change. The excess of the changed instances is then tested against the excess of the
// unchanged ones. Neither a short disturbance at the servers nor an instance that was always
// worse therefore looks like an effect of the change. The bounds hold under repeated
// evaluation (see bound.go), over all measures together.
//
// Guarantees: the order in which windows are added does not matter; a window that is added
// twice counts once; windows that cannot be compared are excluded and counted by reason,
// never estimated. Harm that affects changed and unchanged instances alike is not guaranteed
// to be found; where it is, it is reported as a Degradation, which is a reason to wait.
package canary

// Judge holds the windows of one change, at most Config.MaxSlots for each instance, and
// evaluates them. It is not safe for concurrent use.
type Judge struct {
	cfg                Config
	cells              []cell
	tests              []Test
	zoneNames          []string                   // distinct, in the order of Config.Zones
	zoneOf             []int                      // of each instance, an index into zoneNames
	slots              [][]*storedWindow          // by slot and instance; nil: no window
	arms               []arm                      // of each instance
	excluded           map[Reason]int             // windows excluded by Add and Exclude, by reason
	unpairedWindows    int                        // windows of changed instances without a window of an unchanged one in the same zone and slot
	aggregatedSlots    int                        // arms, unpairedWindows and the fields below are computed from the slots before this one
	totals             [][]totals                 // by cell and instance
	noise              []noise                    // by cell
	usualFactor        [][]float64                // by cell and instance: its rate before Start as a multiple of its zone's
	baseRate           [][]float64                // by cell and zone: the rate of all instances before Start
	totalsBeforeChange [][]totals                 // by cell and instance: of a changed instance, the totals from before its change
	gaugeLines         [len(gauges)][sides][]line // by gauge, side and instance
	baselineLevels     []level                    // by cell: the rate of the unchanged instances
	baselineRequests   float64                    // number of requests of the unchanged instances
}

// storedWindow is a window that was not excluded.
type storedWindow struct {
	window   Window
	isChange bool // the instance ran Config.Change, not Config.Base
}

// New returns a Judge without windows. If c.Margins is nil, the default margins (see Margins)
// are used. It returns an error if the configuration is invalid.
func New(c Config) (*Judge, error) {
	if c.Margins == nil {
		c.Margins = Margins()
	}
	if err := c.Check(); err != nil {
		return nil, err
	}
	j := &Judge{cfg: c, excluded: make(map[Reason]int)}
	zoneIndex := make(map[string]int)
	for _, z := range c.Zones {
		if _, ok := zoneIndex[z]; !ok {
			zoneIndex[z] = len(j.zoneNames)
			j.zoneNames = append(j.zoneNames, z)
		}
		j.zoneOf = append(j.zoneOf, zoneIndex[z])
	}
	j.buildCells()
	j.reset()
	return j, nil
}

// reset discards the sums, so that aggregate starts again from the windows.
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

// Add adds a window, or excludes and counts it. Windows may be added late, in any order, and
// repeatedly.
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
		return // a repeated window
	}
	switch {
	case w.Release != j.cfg.Base && w.Release != j.cfg.Change:
		j.excluded[OtherRelease]++
		return
	case w.Age-j.cfg.Slot < j.cfg.WarmUp && w.Crashes == 0:
		j.excluded[WarmingUp]++
		return
	}
	j.slots[w.Slot][w.Instance] = &storedWindow{w, w.Release == j.cfg.Change}
	if w.Slot < j.aggregatedSlots {
		j.reset() // the next evaluation adds up all slots again, in ascending order
	}
}

// SetStart sets Config.Start, the first slot in which any instance is changed. Windows that were
// added before are kept.
func (j *Judge) SetStart(slot int) {
	j.cfg.Start = slot
	j.reset()
}

// CompleteSlots returns the number of slots before the given one that have windows of at
// least half of the instances.
func (j *Judge) CompleteSlots(before int) (n int) {
	for _, slot := range j.slots[:min(max(before, 0), len(j.slots))] {
		windows := 0
		for _, stored := range slot {
			if stored != nil {
				windows++
			}
		}
		if 2*windows >= len(j.zoneOf) {
			n++
		}
	}
	return n
}

// Exclude counts windows that the caller excluded for reason r.
func (j *Judge) Exclude(r Reason, windows int) { j.excluded[r] += windows }

// Excluded returns the number of excluded windows by reason. The map is a copy.
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

// Tests returns the comparisons that the judge makes.
func (j *Judge) Tests() []Test { return j.tests }

// alpha is the highest acceptable probability that a single test causes a false stop. It is
// equal for all tests, so that all together keep Config.FalseStops (Bonferroni correction).
func (j *Judge) alpha() float64 { return j.cfg.FalseStops / float64(len(j.tests)) }
