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
	Lost          float64
	Class, Zone   int
	ExtraAttempts float64 // attempts a request on top
	Leak          float64 // MiB a minute
}

// Harms are those of the report; the first does none.
func Harms() []Harm {
	return []Harm{
		{Name: "none", Class: -1, Zone: -1},
		{Name: "serves 2 % less", Lost: 0.02, Class: -1, Zone: -1},
		{Name: "serves 5 % less", Lost: 0.05, Class: -1, Zone: -1},
		{Name: "serves 20 % less", Lost: 0.20, Class: -1, Zone: -1},
		{Name: "loses 20 % of one class in one zone", Lost: 0.20, Class: 0, Zone: 0},
		{Name: "sends a third more attempts", ExtraAttempts: 0.33, Class: -1, Zone: -1},
		{Name: "leaks 3 MiB a minute", Leak: 3, Class: -1, Zone: -1},
	}
}

// The world's constants; the shares are of requests.
const (
	slotLength          = 10 * time.Second
	historySlots        = 30
	zoneCount           = 3
	meanRate            = 4.0  // requests a second of an instance, at the median half of it
	rateSpread          = 1.1  // standard deviation of the logarithm: factor 3 up or down
	usualLoss           = 0.02 // refused or failed
	failedFraction      = 0.2  // of these
	instanceSpread      = 0.5  // of instances' usual loss, as rateSpread
	lossStep            = 0.02 // step of an instance's loss a slot, as rateSpread
	burstSpread         = 0.4  // of a window's loss, as rateSpread
	swingStep           = 0.10 // step of the fleet's and of each zone's loss a slot
	swingDecay          = 0.95 // of it stays from slot to slot
	degradedSlots       = 6    // slots
	degradedFactor      = 8.0  // by which all lose more then
	degradedRunFraction = 0.5  // of runs that have one
	usualAttempts       = 1.15
	attemptsSpread      = 0.05
)

var (
	classes       = []string{"activate", "register", "status"}
	classWeights  = []float64{5, 2, 1}
	classFraction = []float64{0.2, 0.3, 0.5}
)

// Stages are the shares of the fleet that run the change, and the slots, counted
// from the change's start, from which on they do.
var Stages = []struct {
	Share float64
	From  int
}{{0.02, 0}, {0.10, 18}, {0.50, 36}}

// slotsPlayed is a run's length; after it a change has gone through.
const slotsPlayed = historySlots + 54

type instance struct {
	zone                                 int
	rate, usualLoss, attempts, memoryKiB float64
	changeSlot                           int // slot of its change; slotsPlayed: never
	lossFactor                           float64
}

type world struct {
	rng          *rand.Rand
	harm         Harm
	instances    []instance
	commonSwing  float64
	zoneSwing    [zoneCount]float64
	degradedFrom int
	degradedZone int // zone, -1: all
}

func newWorld(size int, harm Harm, seed uint64) *world {
	w := &world{rng: rand.New(rand.NewPCG(seed, uint64(size))), harm: harm, degradedFrom: -degradedSlots, instances: make([]instance, size)}
	for i := range w.instances {
		w.instances[i] = instance{zone: i % zoneCount, rate: meanRate / 2 * w.spread(rateSpread), usualLoss: usualLoss * w.spread(instanceSpread),
			attempts: usualAttempts * w.spread(attemptsSpread), memoryKiB: 8192 + 4096*w.rng.Float64(), changeSlot: slotsPlayed, lossFactor: 1}
	}
	order := w.rng.Perm(size)
	for s := len(Stages) - 1; s >= 0; s-- {
		for _, i := range order[:max(1, int(Stages[s].Share*float64(size)))] {
			w.instances[i].changeSlot = historySlots + Stages[s].From
		}
	}
	if w.rng.Float64() < degradedRunFraction {
		w.degradedFrom, w.degradedZone = historySlots+w.rng.IntN(slotsPlayed-historySlots), w.rng.IntN(zoneCount+1)-1
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
	w.commonSwing = swingDecay*w.commonSwing + swingStep*w.rng.NormFloat64()
	for z := range w.zoneSwing {
		w.zoneSwing[z] = swingDecay*w.zoneSwing[z] + swingStep*w.rng.NormFloat64()
	}
	out := make([]canary.Window, 0, len(w.instances))
	for i := range w.instances {
		x := &w.instances[i]
		x.lossFactor *= w.spread(lossStep)
		if slot == x.changeSlot {
			continue // its process is replaced
		}
		harm := Harm{}
		release := "old"
		if slot > x.changeSlot {
			harm, release = w.harm, "new"
		}
		lost := x.usualLoss * x.lossFactor * math.Exp(w.commonSwing+w.zoneSwing[x.zone]) * w.spread(burstSpread)
		if slot >= w.degradedFrom && slot < w.degradedFrom+degradedSlots && (w.degradedZone < 0 || w.degradedZone == x.zone) {
			lost *= degradedFactor
		}
		win := canary.Window{Instance: i, Slot: slot, Release: release, Classes: make([]canary.Counts, len(classes))}
		all := uint32(0)
		for c := range classes {
			n := w.poisson(x.rate * classFraction[c] * slotLength.Seconds())
			p := min(0.9, lost)
			if (harm.Class < 0 || harm.Class == c) && (harm.Zone < 0 || harm.Zone == x.zone) {
				p += (1 - p) * harm.Lost
			}
			bad := w.binomial(n, p)
			failed := w.binomial(bad, failedFraction)
			win.Classes[c] = canary.Counts{Served: n - bad, Rejected: bad - failed, Failed: failed}
			all += n
		}
		win.Attempts = all + w.poisson(float64(all)*((x.attempts-1)*w.spread(burstSpread)+harm.ExtraAttempts))
		win.Finished = win.Attempts
		win.Rejected = w.binomial(win.Finished, min(0.9, 2*lost))
		win.Sampled, win.Slow = all, w.binomial(all, 0.002*w.spread(burstSpread))
		age := float64(slot+1) * slotLength.Minutes()
		if slot > x.changeSlot {
			age = float64(slot-x.changeSlot) * slotLength.Minutes()
		}
		win.Age = time.Duration(age * float64(time.Minute))
		kb := x.memoryKiB*(1-0.3*math.Exp(-age)) + 300*w.rng.NormFloat64() + 1024*harm.Leak*age
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
	c := canary.Config{Classes: classes, Weights: classWeights, Base: "old", Change: "new", Start: historySlots, Slot: slotLength,
		Warm: slotLength, Settle: 4 * time.Minute, FalseStops: 0.01, MaxSlots: slotsPlayed, Zones: make([]string, size)}
	for i := range c.Zones {
		c.Zones[i] = "zone-" + string(rune('a'+i%zoneCount))
	}
	return c
}
