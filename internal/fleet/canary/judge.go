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

import (
	"fmt"
	"math"
	"time"
)

// Counts are what a class of requests came to in a window, in requests.
type Counts struct {
	Served   uint32 `msgpack:"Served" json:"Served"`
	Rejected uint32 `msgpack:"Refused" json:"Refused"`
	Failed   uint32 `msgpack:"Failed" json:"Failed"`
}

// Total is how many there were.
func (c Counts) Total() float64 { return float64(c.Served) + float64(c.Rejected) + float64(c.Failed) }

// Window is what one process counted in one slot of time.
type Window struct {
	Instance int // its place in Config.Zones
	// Slot counts slots of Config.Slot length, from the same moment at all hosts.
	Slot int
	// Release is what it ran: the program's and the configuration's hash. A window
	// in which that changed is none (see Differ).
	Release string
	Age     time.Duration // of the process at the window's end
	Classes []Counts      // by class, as Config.Classes names them
	// Attempts are attempts written to servers; Ended all that ended, Declined those
	// of them that a server turned away.
	Attempts, Finished, Rejected uint32
	// Sampled are requests whose time in the sidecar was taken, Slow those of them
	// held for too long, which whoever reads the figures decides (package scrape).
	Sampled, Slow uint32
	Crashes       uint32 // ends of a process that nobody asked for, since the window before
	Memory        uint64 // resident, in bytes, at the window's end; 0: not known
	Files         uint32 // open descriptors, likewise
}

// requests is how many requests there were.
func (w *Window) requests() (n float64) {
	for _, c := range w.Classes {
		n += c.Total()
	}
	return n
}

// Measure is one thing that is compared.
type Measure string

// The measures.
const (
	Unserved     Measure = "unserved" // share of a class's requests refused or failed
	Failed       Measure = "failed"   // share of a class's requests failed: they may have run
	WeightedLoss Measure = "worth"    // share of the worth asked for that was not served
	Attempts     Measure = "attempts" // attempts a request
	Rejections   Measure = "declined" // share of attempts that servers turned away
	Slow         Measure = "slow"     // share of requests held in the sidecar for too long
	Crashes      Measure = "crashes"  // a minute
	Memory       Measure = "memory"   // growth, MiB a minute
	Files        Measure = "files"    // growth of open descriptors, a minute
)

// Margin is how much worse a measure may be, in the measure's unit.
type Margin struct {
	// Tolerate is what is stood: an estimate below it stops nothing.
	Tolerate float64 `msgpack:"Tolerate" json:"Tolerate"`
	// Exclude is the harm that must be ruled out before "not worse" is said.
	Exclude float64 `msgpack:"Exclude" json:"Exclude"`
}

// Margins are the defaults: docs/design/staged-change.md argues each.
func Margins() map[Measure]Margin {
	return map[Measure]Margin{
		Unserved:     {0.01, 0.05},
		Failed:       {0.01, 0.03},
		WeightedLoss: {0.01, 0.04},
		Attempts:     {0.05, 0.25},
		Rejections:   {0.03, 0.15},
		Slow:         {0.02, 0.10},
		Crashes:      {0.05, 0.50},
		Memory:       {0.25, 2},
		Files:        {2, 20},
	}
}

// Config is what a judge needs to know before the first window.
type Config struct {
	Classes []string  `msgpack:"Classes" json:"Classes"`
	Weights []float64 `msgpack:"Worth" json:"Worth"` // of a request of each class
	// Zones has each instance's zone, "" where it has none.
	Zones   []string           `msgpack:"Zones" json:"Zones"`
	Margins map[Measure]Margin `msgpack:"Margins" json:"Margins"`
	// Base and Change are the releases compared. Windows of others are left out.
	Base   string `msgpack:"Base" json:"Base"`
	Change string `msgpack:"Change" json:"Change"`
	// Start is the slot from which on the change is made to anyone.
	Start int `msgpack:"Start" json:"Start"`
	// Slot is a slot's length.
	Slot time.Duration `msgpack:"Slot" json:"Slot"`
	// Warm is how old a process must be at a window's begin for it to count.
	Warm time.Duration `msgpack:"Warm" json:"Warm"`
	// Settle is likewise for memory and descriptors, which grow at first.
	Settle time.Duration `msgpack:"Settle" json:"Settle"`
	// FalseStops is the probability with which a change that is no worse is ever
	// called worse, over all measures, classes, zones and looks together.
	FalseStops float64 `msgpack:"FalseStops" json:"FalseStops"`
	// MaxSlots bounds what is kept: windows of later slots are left out.
	MaxSlots int `msgpack:"SlotsMost" json:"SlotsMost"`
}

// Check says what is wrong with a configuration.
func (c *Config) Check() error {
	switch {
	case len(c.Zones) == 0:
		return fmt.Errorf("judge: no instance to judge")
	case len(c.Classes) == 0 || len(c.Classes) != len(c.Weights):
		return fmt.Errorf("judge: %d classes and the worth of %d; want one worth a class, and a class at least", len(c.Classes), len(c.Weights))
	case c.Base == c.Change:
		return fmt.Errorf("judge: old and new are both release %.12s: there is nothing to compare", c.Base)
	case c.Slot <= 0 || c.Warm < 0 || c.Settle < 0 || c.MaxSlots < 1 || c.Start < 0:
		return fmt.Errorf("judge: slot %v, warm %v, settle %v, %d slots, start %d; want a slot above 0, 1 slot or more, the others 0 or more", c.Slot, c.Warm, c.Settle, c.MaxSlots, c.Start)
	case !(c.FalseStops > 0 && c.FalseStops < 0.5):
		return fmt.Errorf("judge: rate of false stops is %v; want above 0 and under 0.5", c.FalseStops)
	}
	for m, g := range c.Margins {
		if !(g.Tolerate > 0 && g.Exclude > g.Tolerate) {
			return fmt.Errorf("judge: margin of %s: tolerate %v, exclude %v; want 0 < tolerate < exclude", m, g.Tolerate, g.Exclude)
		}
	}
	return nil
}

// Reason is why evidence was left out.
type Reason string

// The reasons. Differ gives the first ones, a Judge the others.
const (
	Restarted        Reason = "process started anew"
	MissingSample    Reason = "no figures at a boundary"
	OffBoundary      Reason = "figures not of the boundary"
	CounterDecreased Reason = "a count fell"
	ClockSkew        Reason = "clocks differ"
	OtherRelease     Reason = "another release"
	WarmingUp        Reason = "process still warming up"
	BeyondMaxSlots   Reason = "past the slots that are kept"
	Unrecognized     Reason = "not of this fleet's classes or instances"
	NoBaseline       Reason = "no unchanged instance beside it"
)

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
	totals             [][]totals   // by cell, by instance
	noise              []noise      // by cell
	usualFactor        [][]float64  // by cell, by instance: how many times as bad as the others it was before Start
	baseRate           [][]float64  // by cell, by zone: the rate of all before Start
	totalsBeforeChange [][]totals   // of changed ones, as they stood before: their evidence as unchanged ones stays
	gaugeLines         [2][2][]line // by gauge, by side (1: changed), by instance
	baselineLevels     []level      // by cell: the unchanged ones' rate by slot
	baselineRequests   float64      // requests of the unchanged ones
}

type storedWindow struct {
	window   Window
	isChange bool
}

// arm is the side on which an instance counts.
type arm uint8

const (
	armUnknown   arm = iota // nothing of it came
	armUnchanged            // not changed so far
	armChanged              // since a window of it, it runs the change
	armReverted             // it was changed and runs the old again: no side
)

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
		j.gaugeLines[g] = [2][]line{make([]line, len(j.zoneOf)), make([]line, len(j.zoneOf))}
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

// cell is a pair of counts that are kept for each instance: events and exposures.
type cell struct {
	measure Measure
	class   int  // -1: of all
	poisson bool // events a unit of exposure, rather than a share of it
	// read returns the events, the exposure, and the sum of squares of the weights
	// in it: the exposure itself where each counts 1.
	read func(w *Window) (x, n, n2 float64)
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

var gauges = [...]Measure{Memory, Files}

func (j *Judge) addTests(m Measure, class string, cell int, byZone bool) {
	j.tests = append(j.tests, Test{m, class, "", cell, -1})
	if byZone && len(j.zoneNames) > 1 {
		for z, name := range j.zoneNames {
			j.tests = append(j.tests, Test{m, class, name, cell, z})
		}
	}
}

// Tests are the comparisons that are made.
func (j *Judge) Tests() []Test { return j.tests }

// alpha is one test's share of the false stops.
func (j *Judge) alpha() float64 { return j.cfg.FalseStops / float64(len(j.tests)) }

// totals are what one instance counted in one cell: its past [0] and present [1],
// with the events that the unchanged ones beside it would lead one to expect.
type totals struct{ events, exposure, squares, expected [2]float64 }

// noise compares the unchanged ones' windows with what chance alone gives.
type noise struct{ observed, byChance float64 }

// factor is how much more windows vary than chance alone would have it; 1 at least.
func (o noise) factor() float64 {
	if o.byChance <= 0 {
		return 1
	}
	return max(1, o.observed/o.byChance)
}

// level is the unchanged ones' rate over the slots: its past [0] and the present [1].
type level struct {
	slots, rateSum, rateSquares [2]float64
	events, exposure            float64 // of all slots together
	recent                      []float64
}

// recentSlots is how far back the present state of the unchanged ones is looked at.
const recentSlots = 6

// spread is how many events, in variance, n2 of exposure give at rate p.
func (c *cell) spread(p, n2 float64) float64 {
	if c.poisson {
		return max(p, 0) * n2
	}
	p = min(max(p, 0), 1)
	return p * (1 - p) * n2
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

// slotPriorEvents is how many events as expected are added to those of a zone's slot.
const slotPriorEvents = 0.5

func (j *Judge) factorOf(cell, instance int) float64 {
	if j.usualFactor == nil {
		return 1
	}
	return j.usualFactor[cell][instance]
}

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

// markChanged makes an instance a changed one: all that it has counted is its past.
func (j *Judge) markChanged(i int) {
	for k := range j.cells {
		s := &j.totals[k][i]
		j.totalsBeforeChange[k][i] = *s
		*s = totals{events: [2]float64{s.events[0] + s.events[1]}, exposure: [2]float64{s.exposure[0] + s.exposure[1]}, squares: [2]float64{s.squares[0] + s.squares[1]}, expected: [2]float64{s.expected[0] + s.expected[1]}}
	}
}

func (l *level) add(phase int, x, n float64) {
	r := x / n
	l.slots[phase]++
	l.rateSum[phase] += r
	l.rateSquares[phase] += r * r
	l.events += x
	l.exposure += n
	if phase == 1 {
		l.recent = append(l.recent, r)
		if len(l.recent) > recentSlots {
			l.recent = l.recent[1:]
		}
	}
}

// line fits a straight line through a gauge over the process's age.
type line struct {
	lastAge                                                       float64 // age
	points, ageSum, valueSum, ageSquares, ageValues, valueSquares float64
}

func (l *line) add(t, v float64) {
	if t < l.lastAge {
		*l = line{} // another process, with a line of its own
	}
	l.lastAge = t
	l.points++
	l.ageSum += t
	l.valueSum += v
	l.ageSquares += t * t
	l.ageValues += t * v
	l.valueSquares += v * v
}

// minLinePoints is how many points a line needs to be spoken of.
const minLinePoints = 5

// slope returns the growth a minute and its variance; floor is the least standard
// deviation that a point is held to have.
func (l *line) slope(floor float64) (a, s2 float64, ok bool) {
	if l.points < minLinePoints {
		return 0, 0, false
	}
	stt := l.ageSquares - l.ageSum*l.ageSum/l.points
	if stt <= 0 {
		return 0, 0, false
	}
	stv, svv := l.ageValues-l.ageSum*l.valueSum/l.points, l.valueSquares-l.valueSum*l.valueSum/l.points
	a = stv / stt
	rest := max(0, svv-a*stv) / (l.points - 2)
	return a, max(rest, floor*floor) / stt, !math.IsNaN(a)
}
