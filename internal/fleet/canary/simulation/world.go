// Package simulation plays the judge on synthetic fleets, beside two plainer ways to
// judge, and reports how often each stops a change that does no harm and how soon
// each stops one that does. It is a checking tool: no part of a sidecar, an agent
// or a change uses it. Runs are told apart by their seeds and repeat exactly.
//
// A fleet's instances differ by more than an order of magnitude in traffic and are
// usually worse or better than each other; rates move with the day, with the zone,
// by bursts, and by themselves at each instance.
package simulation

import (
	"math"
	"math/rand/v2"
	"time"

	"gonum.org/v1/gonum/stat/distuv"

	"martendrum/internal/fleet/canary"
)

// Harm is what a changed instance does worse.
type Harm struct {
	Name string
	// Lost is the share of requests that it loses on top, of Class (-1: of all), in
	// Zone (-1: in all).
	Lost        float64
	Class, Zone int
	Tries       float64 // attempts a request on top
	Leak        float64 // MiB a minute
}

// Harms are those of the report; the first does none.
func Harms() []Harm {
	return []Harm{
		{Name: "none", Class: -1, Zone: -1},
		{Name: "serves 2 % less", Lost: 0.02, Class: -1, Zone: -1},
		{Name: "serves 5 % less", Lost: 0.05, Class: -1, Zone: -1},
		{Name: "serves 20 % less", Lost: 0.20, Class: -1, Zone: -1},
		{Name: "loses 20 % of one class in one zone", Lost: 0.20, Class: 0, Zone: 0},
		{Name: "sends a third more attempts", Tries: 0.33, Class: -1, Zone: -1},
		{Name: "leaks 3 MiB a minute", Leak: 3, Class: -1, Zone: -1},
	}
}

// The world's constants; the shares are of requests.
const (
	slotLength  = 10 * time.Second
	pastSlots   = 30
	zones       = 3
	meanRate    = 4.0  // requests a second of an instance, at the median half of it
	rateSpread  = 1.1  // standard deviation of the logarithm: factor 3 up or down
	usualLost   = 0.02 // refused or failed
	failedOf    = 0.2  // of these
	ownSpread   = 0.5  // of instances' usual loss, as rateSpread
	walk        = 0.02 // step of an instance's loss a slot, as rateSpread
	burst       = 0.4  // of a window's loss, as rateSpread
	swing       = 0.10 // step of the fleet's and of each zone's loss a slot
	swingBack   = 0.95 // of it stays from slot to slot
	badMinute   = 6    // slots
	badFactor   = 8.0  // by which all lose more then
	badShare    = 0.5  // of runs that have one
	usualTries  = 1.15
	triesSpread = 0.05
)

var (
	classes    = []string{"activate", "register", "status"}
	worth      = []float64{5, 2, 1}
	classShare = []float64{0.2, 0.3, 0.5}
)

// Stages are the shares of the fleet that run the change, and the slots, counted
// from the change's start, from which on they do.
var Stages = []struct {
	Share float64
	From  int
}{{0.02, 0}, {0.10, 18}, {0.50, 36}}

// slotsPlayed is a run's length; after it a change has gone through.
const slotsPlayed = pastSlots + 54

type instance struct {
	zone                   int
	rate, usual, tries, kb float64
	from                   int // slot of its change; slotsPlayed: never
	at                     float64
}

type world struct {
	rng   *rand.Rand
	harm  Harm
	inst  []instance
	fleet float64
	zone  [zones]float64
	bad   int
	badIn int // zone, -1: all
}

func newWorld(size int, harm Harm, seed uint64) *world {
	w := &world{rng: rand.New(rand.NewPCG(seed, uint64(size))), harm: harm, bad: -badMinute, inst: make([]instance, size)}
	for i := range w.inst {
		w.inst[i] = instance{zone: i % zones, rate: meanRate / 2 * w.spread(rateSpread), usual: usualLost * w.spread(ownSpread),
			tries: usualTries * w.spread(triesSpread), kb: 8192 + 4096*w.rng.Float64(), from: slotsPlayed, at: 1}
	}
	order := w.rng.Perm(size)
	for s := len(Stages) - 1; s >= 0; s-- {
		for _, i := range order[:max(1, int(Stages[s].Share*float64(size)))] {
			w.inst[i].from = pastSlots + Stages[s].From
		}
	}
	if w.rng.Float64() < badShare {
		w.bad, w.badIn = pastSlots+w.rng.IntN(slotsPlayed-pastSlots), w.rng.IntN(zones+1)-1
	}
	return w
}

// spread draws a factor whose logarithm has the given standard deviation.
func (w *world) spread(sd float64) float64 { return math.Exp(sd * w.rng.NormFloat64()) }

func (w *world) binomial(n uint32, p float64) uint32 {
	if n == 0 || p <= 0 {
		return 0
	}
	return uint32(distuv.Binomial{N: float64(n), P: min(p, 1), Src: w.rng}.Rand())
}

func (w *world) poisson(mean float64) uint32 {
	if mean <= 0 {
		return 0
	}
	return uint32(distuv.Poisson{Lambda: mean, Src: w.rng}.Rand())
}

// step plays one slot and returns the windows of it.
func (w *world) step(slot int) []canary.Window {
	w.fleet = swingBack*w.fleet + swing*w.rng.NormFloat64()
	for z := range w.zone {
		w.zone[z] = swingBack*w.zone[z] + swing*w.rng.NormFloat64()
	}
	out := make([]canary.Window, 0, len(w.inst))
	for i := range w.inst {
		x := &w.inst[i]
		x.at *= w.spread(walk)
		if slot == x.from {
			continue // its process is replaced
		}
		harm := Harm{}
		release := "old"
		if slot > x.from {
			harm, release = w.harm, "new"
		}
		lost := x.usual * x.at * math.Exp(w.fleet+w.zone[x.zone]) * w.spread(burst)
		if slot >= w.bad && slot < w.bad+badMinute && (w.badIn < 0 || w.badIn == x.zone) {
			lost *= badFactor
		}
		win := canary.Window{Instance: i, Slot: slot, Release: release, Classes: make([]canary.Counts, len(classes))}
		all := uint32(0)
		for c := range classes {
			n := w.poisson(x.rate * classShare[c] * slotLength.Seconds())
			p := min(0.9, lost)
			if (harm.Class < 0 || harm.Class == c) && (harm.Zone < 0 || harm.Zone == x.zone) {
				p += (1 - p) * harm.Lost
			}
			bad := w.binomial(n, p)
			failed := w.binomial(bad, failedOf)
			win.Classes[c] = canary.Counts{Served: n - bad, Rejected: bad - failed, Failed: failed}
			all += n
		}
		win.Attempts = all + w.poisson(float64(all)*((x.tries-1)*w.spread(burst)+harm.Tries))
		win.Finished = win.Attempts
		win.Rejected = w.binomial(win.Finished, min(0.9, 2*lost))
		win.Sampled, win.Slow = all, w.binomial(all, 0.002*w.spread(burst))
		age := float64(slot+1) * slotLength.Minutes()
		if slot > x.from {
			age = float64(slot-x.from) * slotLength.Minutes()
		}
		win.Age = time.Duration(age * float64(time.Minute))
		kb := x.kb*(1-0.3*math.Exp(-age)) + 300*w.rng.NormFloat64() + 1024*harm.Leak*age
		win.Memory = uint64(max(1024, kb) * 1024)
		win.Files = 20 + w.poisson(10)
		if w.rng.Float64() < 1e-5 {
			win.Crashes = 1
		}
		out = append(out, win)
	}
	return out
}

func config(size int) canary.Config {
	c := canary.Config{Classes: classes, Weights: worth, Base: "old", Change: "new", Start: pastSlots, Slot: slotLength,
		Warm: slotLength, Settle: 4 * time.Minute, FalseStops: 0.01, MaxSlots: slotsPlayed, Zones: make([]string, size)}
	for i := range c.Zones {
		c.Zones[i] = "zone-" + string(rune('a'+i%zones))
	}
	return c
}
