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

// All is how many there were.
func (c Counts) All() float64 { return float64(c.Served) + float64(c.Rejected) + float64(c.Failed) }

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
	// Timed are requests whose time in the sidecar was taken, Slow those of them
	// held for too long, which whoever reads the figures decides (package scrape).
	Timed, Slow uint32
	Crashes     uint32 // ends of a process that nobody asked for, since the window before
	Memory      uint64 // resident, in bytes, at the window's end; 0: not known
	Files       uint32 // open descriptors, likewise
}

// requests is how many requests there were.
func (w *Window) requests() (n float64) {
	for _, c := range w.Classes {
		n += c.All()
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
	Restarted   Reason = "process started anew"
	Missing     Reason = "no figures at a boundary"
	OffBoundary Reason = "figures not of the boundary"
	Fell        Reason = "a count fell"
	Clock       Reason = "clocks differ"
	Other       Reason = "another release"
	Young       Reason = "process still warming up"
	Beyond      Reason = "past the slots that are kept"
	Strange     Reason = "not of this fleet's classes or instances"
	Alone       Reason = "no unchanged instance beside it"
)

// Judge holds the windows of one change. Its bound is MaxSlots windows an instance.
type Judge struct {
	cfg   Config
	cells []cell
	tests []Test
	zones []string       // the names, without repetition
	zone  []int          // of each instance
	slots [][]*got       // by slot, by instance; nil: no window
	arm   []arm          // of each instance
	left  map[Reason]int // by Add
	alone int            // windows without an unchanged one beside them, as advance found
	// What advance has added up, slots before done.
	done             int
	sums             [][]sums     // by cell, by instance
	noise            []noise      // by cell
	usualFactor      [][]float64  // by cell, by instance: how many times as bad as the others it was before Start
	base             [][]float64  // by cell, by zone: the rate of all before Start
	was              [][]sums     // of changed ones, as they stood before: their evidence as unchanged ones stays
	gauge            [2][2][]line // by gauge, by side (1: changed), by instance
	now              []level      // by cell: the unchanged ones' rate by slot
	baselineRequests float64      // requests of the unchanged ones
}

type got struct {
	w   Window
	new bool
}

// arm is the side on which an instance counts.
type arm uint8

const (
	mute    arm = iota // nothing of it came
	old                // not changed so far
	changed            // since a window of it, it runs the change
	back               // it was changed and runs the old again: no side
)

// New returns a judge without evidence.
func New(c Config) (*Judge, error) {
	if c.Margins == nil {
		c.Margins = Margins()
	}
	if err := c.Check(); err != nil {
		return nil, err
	}
	j := &Judge{cfg: c, left: make(map[Reason]int)}
	place := make(map[string]int)
	for _, z := range c.Zones {
		if _, ok := place[z]; !ok {
			place[z] = len(j.zones)
			j.zones = append(j.zones, z)
		}
		j.zone = append(j.zone, place[z])
	}
	j.lay()
	j.clear()
	return j, nil
}

// clear forgets what was added up, not the windows.
func (j *Judge) clear() {
	j.done, j.alone, j.baselineRequests = 0, 0, 0
	j.sums, j.was = make([][]sums, len(j.cells)), make([][]sums, len(j.cells))
	for k := range j.sums {
		j.sums[k], j.was[k] = make([]sums, len(j.zone)), make([]sums, len(j.zone))
	}
	j.arm = make([]arm, len(j.zone))
	j.usualFactor = nil
	j.noise, j.now = make([]noise, len(j.cells)), make([]level, len(j.cells))
	for g := range j.gauge {
		j.gauge[g] = [2][]line{make([]line, len(j.zone)), make([]line, len(j.zone))}
	}
}

// Add takes a window. It may come late, in any order, or again.
func (j *Judge) Add(w Window) {
	switch {
	case w.Instance < 0 || w.Instance >= len(j.zone) || len(w.Classes) != len(j.cfg.Classes) || w.Slot < 0:
		j.left[Strange]++
		return
	case w.Slot >= j.cfg.MaxSlots:
		j.left[Beyond]++
		return
	}
	for len(j.slots) <= w.Slot {
		j.slots = append(j.slots, make([]*got, len(j.zone)))
	}
	if j.slots[w.Slot][w.Instance] != nil {
		return // told before
	}
	switch {
	case w.Release != j.cfg.Base && w.Release != j.cfg.Change:
		j.left[Other]++
		return
	case w.Age-j.cfg.Slot < j.cfg.Warm && w.Crashes == 0:
		j.left[Young]++
		return
	}
	j.slots[w.Slot][w.Instance] = &got{w, w.Release == j.cfg.Change}
	if w.Slot < j.done {
		j.clear() // it is added up anew, in order
	}
}

// Begin sets the slot from which on the change is made, Config.Start.
func (j *Judge) Begin(slot int) {
	j.cfg.Start = slot
	j.clear()
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
		if 2*have >= len(j.zone) {
			n++
		}
	}
	return n
}

// Leave counts evidence that its bearer left out.
func (j *Judge) Leave(r Reason, windows int) { j.left[r] += windows }

// Left tells what was left out, by reason, in windows.
func (j *Judge) Left() map[Reason]int {
	out := make(map[Reason]int)
	for r, n := range j.left {
		out[r] = n
	}
	if j.alone > 0 {
		out[Alone] = j.alone
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

// lay makes the cells and tests that the configuration asks for.
func (j *Judge) lay() {
	add := func(c cell, class string, byZone bool) {
		if _, ok := j.cfg.Margins[c.measure]; !ok {
			return
		}
		j.cells = append(j.cells, c)
		j.test(c.measure, class, len(j.cells)-1, byZone)
	}
	for c, name := range j.cfg.Classes {
		add(cell{Unserved, c, false, func(w *Window) (float64, float64, float64) {
			k := w.Classes[c]
			return float64(k.Rejected) + float64(k.Failed), k.All(), k.All()
		}}, name, true)
		add(cell{Failed, c, false, func(w *Window) (float64, float64, float64) {
			k := w.Classes[c]
			return float64(k.Failed), k.All(), k.All()
		}}, name, false)
	}
	add(cell{WeightedLoss, -1, false, func(w *Window) (x, n, n2 float64) {
		for c, k := range w.Classes {
			v := j.cfg.Weights[c]
			x += v * (float64(k.Rejected) + float64(k.Failed))
			n += v * k.All()
			n2 += v * v * k.All()
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
		return float64(w.Slow), float64(w.Timed), float64(w.Timed)
	}}, "", false)
	minutes := j.cfg.Slot.Minutes()
	add(cell{Crashes, -1, true, func(w *Window) (float64, float64, float64) {
		return float64(w.Crashes), minutes, minutes
	}}, "", false)
	for g, m := range gauges {
		if _, ok := j.cfg.Margins[m]; ok {
			j.test(m, "", len(j.cells)+g, false)
		}
	}
}

var gauges = [...]Measure{Memory, Files}

func (j *Judge) test(m Measure, class string, cell int, byZone bool) {
	j.tests = append(j.tests, Test{m, class, "", cell, -1})
	if byZone && len(j.zones) > 1 {
		for z, name := range j.zones {
			j.tests = append(j.tests, Test{m, class, name, cell, z})
		}
	}
}

// Tests are the comparisons that are made.
func (j *Judge) Tests() []Test { return j.tests }

// alpha is one test's share of the false stops.
func (j *Judge) alpha() float64 { return j.cfg.FalseStops / float64(len(j.tests)) }

// sums are what one instance counted in one cell: its past [0] and present [1],
// with the events that the unchanged ones beside it would lead one to expect.
type sums struct{ x, n, n2, e [2]float64 }

// noise compares the unchanged ones' windows with what chance alone gives.
type noise struct{ square, variance float64 }

// factor is how much more windows vary than chance alone would have it; 1 at least.
func (o noise) factor() float64 {
	if o.variance <= 0 {
		return 1
	}
	return max(1, o.square/o.variance)
}

// level is the unchanged ones' rate over the slots: its past [0] and the present [1].
type level struct {
	n, sum, square [2]float64
	x, exposure    float64 // of all slots together
	recent         []float64
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

// advance adds up all slots before the given one.
func (j *Judge) advance(before int) {
	for ; j.done < min(before, len(j.slots)); j.done++ {
		slot, phase := j.slots[j.done], 0
		if j.done >= j.cfg.Start {
			phase = 1
			j.freeze()
		}
		j.sides(slot, phase)
		for k := range j.cells {
			j.count(k, slot, phase)
		}
	}
}

// sides says on which side each instance of a slot counts, and takes its gauges.
func (j *Judge) sides(slot []*got, phase int) {
	beside := make([]int, len(j.zones))
	for i, g := range slot {
		if g != nil && !g.new {
			beside[j.zone[i]]++
		}
	}
	for i, g := range slot {
		if g == nil {
			continue
		}
		switch {
		case g.new && j.arm[i] != back:
			if j.arm[i] != changed {
				j.change(i)
			}
			j.arm[i] = changed
		case j.arm[i] == changed:
			j.arm[i] = back
		case j.arm[i] == mute:
			j.arm[i] = old
		}
		side := 1
		if !g.new {
			side = 0
			j.baselineRequests += g.w.requests()
		} else if beside[j.zone[i]] == 0 {
			j.alone++
		}
		for n, v := range [...]float64{float64(g.w.Memory) / (1 << 20), float64(g.w.Files)} {
			if v > 0 && (g.new || phase == 1) && g.w.Age >= j.cfg.Settle {
				j.gauge[n][side][i].add(g.w.Age.Minutes(), v)
			}
		}
	}
}

// pool is what the unchanged ones of a zone came to in a slot.
type pool struct {
	x, n, n2 float64 // events, exposure, its squares
	usual    float64 // the exposure, as many times as each is as bad as the usual one
}

// count adds a slot up in one cell.
func (j *Judge) count(k int, slot []*got, phase int) {
	c, pools := &j.cells[k], make([]pool, len(j.zones))
	var x, n float64
	for i, g := range slot {
		if g != nil && !g.new {
			dx, dn, dn2 := c.read(&g.w)
			p := &pools[j.zone[i]]
			p.x, p.n, p.n2, p.usual = p.x+dx, p.n+dn, p.n2+dn2, p.usual+dn*j.times(k, i)
			x, n = x+dx, n+dn
		}
	}
	if n > 0 {
		j.now[k].add(phase, x, n)
	}
	for i, g := range slot {
		if g == nil {
			continue
		}
		dx, dn, dn2 := c.read(&g.w)
		beside := &pools[j.zone[i]]
		if dn == 0 || beside.n == 0 {
			continue
		}
		at := phase
		if g.new {
			at = 1
		}
		s := &j.sums[k][i]
		s.x[at] += dx
		s.n[at] += dn
		s.n2[at] += dn2
		s.e[at] += dn * j.expected(k, j.zone[i], beside)
		own := j.times(k, i)
		if rest := beside.usual - dn*own; !g.new && rest > 0 {
			// Against the others, so that its own events don't hide in the rate.
			q := (beside.x - dx) / rest
			d := dx - dn*own*q
			j.noise[k].square += d * d
			j.noise[k].variance += c.spread(own*q, dn2) + c.spread(q, rest)*(dn*own/rest)*(dn*own/rest)
		}
	}
}

// freeze settles, at the first slot of the present, how many times as bad as the
// others each instance was until then. From there on the others' rate is that of
// instances of the usual kind, whoever of them is still unchanged: else a zone would
// look better as its bad ones are changed first.
func (j *Judge) freeze() {
	if j.usualFactor != nil {
		return
	}
	j.usualFactor, j.base = make([][]float64, len(j.cells)), make([][]float64, len(j.cells))
	for k := range j.usualFactor {
		j.usualFactor[k], j.base[k] = make([]float64, len(j.zone)), make([]float64, len(j.zones))
		exposure := make([]float64, len(j.zones))
		for i, z := range j.zone {
			j.base[k][z] += j.sums[k][i].x[0]
			exposure[z] += j.sums[k][i].n[0]
		}
		for z := range exposure {
			if exposure[z] > 0 {
				j.base[k][z] /= exposure[z]
			}
		}
		for i := range j.usualFactor[k] {
			// Not shrunk: over a zone, these add up to what it had.
			j.usualFactor[k][i] = 1
			if s := &j.sums[k][i]; s.e[0] > 0 {
				j.usualFactor[k][i] = s.x[0] / s.e[0]
			}
		}
	}
}

// expected is the rate of an instance of the usual kind in a slot, by the unchanged ones
// of its zone. In the present it is the zone's past rate, as many times as the slot's
// events ask for; where they are few, it stays near once. Where there never were any,
// nothing tells by how many times they became more: then old and new are compared as
// they are.
func (j *Judge) expected(cell, zone int, p *pool) float64 {
	if j.usualFactor == nil {
		return p.x / p.n
	}
	base, little := j.base[cell][zone], littleSlot*p.n2/p.n
	return base * (p.x + little) / (p.usual*base + little)
}

// littleSlot is how many events as expected are added to those of a zone's slot.
const littleSlot = 0.5

func (j *Judge) times(cell, instance int) float64 {
	if j.usualFactor == nil {
		return 1
	}
	return j.usualFactor[cell][instance]
}

// littlePast is how many events like those of the instances beside it are added to an
// instance's past: with few of its own it counts as one like the others.
const littlePast = 3.0

// little is littlePast in the weights of the exposure.
func (s *sums) little() float64 { return littlePast * s.n2[0] / s.n[0] }

// times is how many times as bad as those beside it an instance was in its past.
func (s *sums) times() float64 {
	if s.n[0] <= 0 {
		return 1
	}
	return (s.x[0] + s.little()) / (s.e[0] + s.little())
}

// change makes an instance a changed one: all that it has counted is its past.
func (j *Judge) change(i int) {
	for k := range j.cells {
		s := &j.sums[k][i]
		j.was[k][i] = *s
		*s = sums{x: [2]float64{s.x[0] + s.x[1]}, n: [2]float64{s.n[0] + s.n[1]}, n2: [2]float64{s.n2[0] + s.n2[1]}, e: [2]float64{s.e[0] + s.e[1]}}
	}
}

func (l *level) add(phase int, x, n float64) {
	r := x / n
	l.n[phase]++
	l.sum[phase] += r
	l.square[phase] += r * r
	l.x += x
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
	last                float64 // age
	n, t, v, tt, tv, v2 float64
}

func (l *line) add(t, v float64) {
	if t < l.last {
		*l = line{} // another process, with a line of its own
	}
	l.last = t
	l.n++
	l.t += t
	l.v += v
	l.tt += t * t
	l.tv += t * v
	l.v2 += v * v
}

// minLine is how many points a line needs to be spoken of.
const minLine = 5

// slope returns the growth a minute and its variance; floor is the least standard
// deviation that a point is held to have.
func (l *line) slope(floor float64) (a, s2 float64, ok bool) {
	if l.n < minLine {
		return 0, 0, false
	}
	stt := l.tt - l.t*l.t/l.n
	if stt <= 0 {
		return 0, 0, false
	}
	stv, svv := l.tv-l.t*l.v/l.n, l.v2-l.v*l.v/l.n
	a = stv / stt
	rest := max(0, svv-a*stv) / (l.n - 2)
	return a, max(rest, floor*floor) / stt, !math.IsNaN(a)
}
