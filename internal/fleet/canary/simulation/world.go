package simulation

import (
	"math"
	"math/rand/v2"
	"time"

	"gonum.org/v1/gonum/stat/distuv"

	"martendrum/internal/fleet/canary"
)

// The parameters of a fleet. A spread is the standard deviation of the logarithm of a
// factor: 1.1 is about a factor of 3 up or down. A loss is the fraction of requests that
// are rejected or fail.
const (
	slotLength   = 10 * time.Second
	historySlots = 30                // slots before the change starts
	slotsPlayed  = historySlots + 54 // length of a run, by the end of which the change is complete

	zoneCount  = 3
	meanRate   = 4.0 // requests per second of an instance; the median is half of it
	rateSpread = 1.1

	usualLoss      = 0.02
	instanceSpread = 0.5  // of the usual loss, between instances
	lossStep       = 0.02 // spread of the change of an instance's loss from slot to slot
	burstSpread    = 0.4  // of the loss of a single window
	swingStep      = 0.10 // standard deviation of the steps of the fleet's and each zone's log loss
	swingDecay     = 0.95 // fraction of the swing that remains from slot to slot
	maxLoss        = 0.9
	failedFraction = 0.2 // of the lost requests; the others are rejected

	degradedSlots       = 6   // length of a degradation that the change does not cause
	degradedFactor      = 8.0 // by which losses are higher in it
	degradedRunFraction = 0.5 // of the runs that have one

	usualAttempts  = 1.15 // per request
	attemptsSpread = 0.05

	slowFraction    = 0.002 // of requests, held in the sidecar for too long
	meanFiles       = 10
	baseFiles       = 20
	crashesPerSlot  = 1e-5
	memoryNoiseKiB  = 300
	youngMemoryDrop = 0.3 // fraction of its memory that a process lacks when it starts
)

// The releases that are compared.
const (
	baseRelease   = "old"
	changeRelease = "new"
)

const classCount = 3

// The classes of requests, their weights, and their fractions of the traffic.
var (
	classes       = []string{"activate", "register", "status"}
	classWeights  = []float64{5, 2, 1}
	classFraction = [classCount]float64{0.2, 0.3, 0.5}
)

// Stage is a stage of the simulated change.
type Stage struct {
	Fraction float64 // of the fleet that runs the change
	From     int     // first slot of the stage, counted from the change's start
}

// Stages are the stages of the simulated change.
var Stages = []Stage{{0.02, 0}, {0.10, 18}, {0.50, 36}}

// instance is the state of one instance.
type instance struct {
	zone       int
	rate       float64 // requests per second
	usualLoss  float64
	attempts   float64 // per request
	memoryKiB  float64
	changeSlot int // slot of its change; slotsPlayed: never
	lossFactor float64
}

// world is the state of one run. All randomness comes from rng, in a fixed order.
type world struct {
	rng          *rand.Rand
	harm         Harm
	instances    []instance
	commonSwing  float64            // of the logarithm of all losses
	zoneSwing    [zoneCount]float64 // likewise, by zone
	degradedFrom int                // first slot of the degradation
	degradedZone int                // its zone, or anyZone
}

// newWorld draws a fleet of the given size.
func newWorld(size int, harm Harm, seed uint64) *world {
	w := &world{rng: rand.New(rand.NewPCG(seed, uint64(size))), harm: harm, degradedFrom: -degradedSlots, instances: make([]instance, size)}
	for i := range w.instances {
		w.instances[i] = instance{
			zone:       i % zoneCount,
			rate:       meanRate / 2 * w.factor(rateSpread),
			usualLoss:  usualLoss * w.factor(instanceSpread),
			attempts:   usualAttempts * w.factor(attemptsSpread),
			memoryKiB:  8192 + 4096*w.rng.Float64(),
			changeSlot: slotsPlayed,
			lossFactor: 1,
		}
	}
	order := w.rng.Perm(size)
	for s := len(Stages) - 1; s >= 0; s-- {
		for _, i := range order[:max(1, int(Stages[s].Fraction*float64(size)))] {
			w.instances[i].changeSlot = historySlots + Stages[s].From
		}
	}
	if w.rng.Float64() < degradedRunFraction {
		w.degradedFrom, w.degradedZone = historySlots+w.rng.IntN(slotsPlayed-historySlots), w.rng.IntN(zoneCount+1)-1
	}
	return w
}

// factor draws a factor of the given spread.
func (w *world) factor(spread float64) float64 { return math.Exp(spread * w.rng.NormFloat64()) }

// binomial draws from a binomial distribution.
func (w *world) binomial(n uint32, p float64) uint32 {
	if n == 0 || p <= 0 {
		return 0
	}
	return uint32(distuv.Binomial{N: float64(n), P: min(p, 1), Src: w.rng}.Rand())
}

// poisson draws from a Poisson distribution.
func (w *world) poisson(mean float64) uint32 {
	if mean <= 0 {
		return 0
	}
	return uint32(distuv.Poisson{Lambda: mean, Src: w.rng}.Rand())
}

// step simulates one slot and returns its windows.
func (w *world) step(slot int) []canary.Window {
	w.commonSwing = swingDecay*w.commonSwing + swingStep*w.rng.NormFloat64()
	for z := range w.zoneSwing {
		w.zoneSwing[z] = swingDecay*w.zoneSwing[z] + swingStep*w.rng.NormFloat64()
	}
	out := make([]canary.Window, 0, len(w.instances))
	for i := range w.instances {
		x := &w.instances[i]
		x.lossFactor *= w.factor(lossStep)
		if slot == x.changeSlot {
			continue // its process is replaced
		}
		out = append(out, w.window(i, slot))
	}
	return out
}

// window draws the window of an instance in a slot.
func (w *world) window(i, slot int) canary.Window {
	x := &w.instances[i]
	out := canary.Window{Instance: i, Slot: slot, Release: baseRelease, Classes: make([]canary.Counts, classCount)}
	harm := Harm{}
	if slot > x.changeSlot {
		harm, out.Release = w.harm, changeRelease
	}
	loss := w.loss(x, slot)
	requests := uint32(0)
	for class := range classes {
		out.Classes[class] = w.counts(x, class, loss, &harm)
		requests += out.Classes[class].Served + out.Classes[class].Rejected + out.Classes[class].Failed
	}
	out.Attempts = requests + w.poisson(float64(requests)*((x.attempts-1)*w.factor(burstSpread)+harm.ExtraAttempts))
	out.Finished = out.Attempts
	out.Rejected = w.binomial(out.Finished, min(maxLoss, 2*loss))
	out.Sampled, out.Slow = requests, w.binomial(requests, slowFraction*w.factor(burstSpread))
	minutes := x.ageMinutes(slot)
	out.Age = time.Duration(minutes * float64(time.Minute))
	memoryKiB := x.memoryKiB*(1-youngMemoryDrop*math.Exp(-minutes)) + memoryNoiseKiB*w.rng.NormFloat64() + 1024*harm.Leak*minutes
	out.Memory = uint64(max(1024, memoryKiB) * 1024)
	out.Files = baseFiles + w.poisson(meanFiles)
	if w.rng.Float64() < crashesPerSlot {
		out.Crashes = 1
	}
	return out
}

// loss draws the loss of an instance in a slot, without the harm of the change.
func (w *world) loss(x *instance, slot int) float64 {
	loss := x.usualLoss * x.lossFactor * math.Exp(w.commonSwing+w.zoneSwing[x.zone]) * w.factor(burstSpread)
	if slot >= w.degradedFrom && slot < w.degradedFrom+degradedSlots && (w.degradedZone < 0 || w.degradedZone == x.zone) {
		loss *= degradedFactor
	}
	return loss
}

// counts draws the requests of a class at an instance in a slot, by outcome.
func (w *world) counts(x *instance, class int, loss float64, harm *Harm) canary.Counts {
	requests := w.poisson(x.rate * classFraction[class] * slotLength.Seconds())
	p := min(maxLoss, loss)
	if harm.affects(class, x.zone) {
		p += (1 - p) * harm.Lost
	}
	lost := w.binomial(requests, p)
	failed := w.binomial(lost, failedFraction)
	return canary.Counts{Served: requests - lost, Rejected: lost - failed, Failed: failed}
}

// ageMinutes is the age of the instance's process at the end of a slot.
func (x *instance) ageMinutes(slot int) float64 {
	if slot > x.changeSlot {
		return float64(slot-x.changeSlot) * slotLength.Minutes()
	}
	return float64(slot+1) * slotLength.Minutes()
}

// config is the judge's configuration for a fleet of the given size.
func config(size int) canary.Config {
	c := canary.Config{Classes: classes, Weights: classWeights, Base: baseRelease, Change: changeRelease, Start: historySlots, Slot: slotLength,
		Warm: slotLength, Settle: 4 * time.Minute, FalseStops: 0.01, MaxSlots: slotsPlayed, Zones: make([]string, size)}
	for i := range c.Zones {
		c.Zones[i] = "zone-" + string(rune('a'+i%zoneCount))
	}
	return c
}
