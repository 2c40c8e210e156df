package simulation

import (
	"math"
	"math/rand/v2"
	"time"

	"gonum.org/v1/gonum/stat/distuv"

	"martendrum/internal/fleet/canary"
)

// The parameters of a simulated fleet. A spread is the standard deviation of the logarithm of
// a random factor: a spread of 1.1 means a factor of about 3 up or down. A loss is the fraction
// of requests that are rejected or fail.
const (
	slotLength   = 10 * time.Second
	historySlots = 30                // slots before the change starts
	slotsPerRun  = historySlots + 54 // length of a run, which ends with the last stage of the change

	zoneCount  = 3
	meanRate   = 4.0 // requests per second of an instance; the median of the instances is half of it
	rateSpread = 1.1

	usualLoss      = 0.02 // median of the instances
	instanceSpread = 0.5  // spread of the usual loss between instances
	lossStep       = 0.02 // spread of the factor by which the loss of an instance changes from slot to slot
	burstSpread    = 0.4  // spread of the factor of a single window
	swingStep      = 0.10 // standard deviation of the random step of a swing (see world) in each slot
	swingDecay     = 0.95 // fraction of a swing that remains in the next slot
	maxLoss        = 0.9
	failedFraction = 0.2 // fraction of the lost requests that fail; the others are rejected

	// Some runs have a degradation, which the change does not cause: a time in which the
	// losses of the fleet or of one zone are higher.
	degradedSlots       = 6   // length of the degradation
	degradedFactor      = 8.0 // factor of the losses in it
	degradedRunFraction = 0.5 // fraction of the runs that have one

	usualAttempts  = 1.15 // attempts per request
	attemptsSpread = 0.05 // spread of usualAttempts between instances

	slowFraction    = 0.002 // fraction of requests that spend too much time in the sidecar
	meanFiles       = 10    // mean number of open descriptors beyond baseFiles
	baseFiles       = 20
	crashesPerSlot  = 1e-5 // probability of a crash of an instance in a slot
	memoryNoiseKiB  = 300  // standard deviation of the noise of resident memory
	youngMemoryDrop = 0.3  // fraction by which the memory of a new process is lower
)

// The releases before and after the change.
const (
	baseRelease   = "old"
	changeRelease = "new"
)

// classCount is the length of classes.
const classCount = 3

// The classes of requests, their weights, and their fractions of the traffic.
var (
	classes       = []string{"activate", "register", "status"}
	classWeights  = []float64{5, 2, 1}
	classFraction = [classCount]float64{0.2, 0.3, 0.5}
)

// Stage is a stage of the simulated change.
type Stage struct {
	Fraction float64 // fraction of the fleet that runs the change
	From     int     // first slot of the stage, counted from the change's start
}

// Stages lists the stages of the simulated change in ascending order.
var Stages = []Stage{{0.02, 0}, {0.10, 18}, {0.50, 36}}

// instance is the state of one simulated instance.
type instance struct {
	zone       int
	rate       float64 // requests per second
	usualLoss  float64
	attempts   float64 // attempts per request
	memoryKiB  float64
	changeSlot int     // slot in which it is changed; slotsPerRun: never
	lossFactor float64 // random walk that its usual loss is multiplied by
}

// world is the state of one run. All randomness comes from rng, in a fixed order.
//
// A swing is what is added to the logarithm of a loss; it varies over time as a first-order
// autoregressive process around 0.
type world struct {
	rng          *rand.Rand
	harm         Harm
	instances    []instance
	commonSwing  float64            // swing of all losses
	zoneSwing    [zoneCount]float64 // additional swing of the losses in each zone
	degradedFrom int                // first slot of the degradation; -degradedSlots: there is none
	degradedZone int                // zone of the degradation, or anyZone
}

// newWorld draws the instances of a fleet of the given size, the order in which the stages
// change them, and the degradation.
func newWorld(size int, harm Harm, seed uint64) *world {
	w := &world{rng: rand.New(rand.NewPCG(seed, uint64(size))), harm: harm, degradedFrom: -degradedSlots, instances: make([]instance, size)}
	for i := range w.instances {
		w.instances[i] = instance{
			zone:       i % zoneCount,
			rate:       meanRate / 2 * w.factor(rateSpread),
			usualLoss:  usualLoss * w.factor(instanceSpread),
			attempts:   usualAttempts * w.factor(attemptsSpread),
			memoryKiB:  8192 + 4096*w.rng.Float64(),
			changeSlot: slotsPerRun,
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
		w.degradedFrom, w.degradedZone = historySlots+w.rng.IntN(slotsPerRun-historySlots), w.rng.IntN(zoneCount+1)-1
	}
	return w
}

// factor draws a log-normal factor with the given spread; its median is 1.
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
		inst := &w.instances[i]
		inst.lossFactor *= w.factor(lossStep)
		if slot == inst.changeSlot {
			continue // there is no window, since the process is replaced in this slot
		}
		out = append(out, w.window(i, slot))
	}
	return out
}

// window draws the window of instance i in a slot.
func (w *world) window(i, slot int) canary.Window {
	inst := &w.instances[i]
	out := canary.Window{Instance: i, Slot: slot, Release: baseRelease, Classes: make([]canary.Counts, classCount)}
	harm := Harm{}
	if slot > inst.changeSlot {
		harm, out.Release = w.harm, changeRelease
	}
	loss := w.loss(inst, slot)
	requests := uint32(0)
	for class := range classes {
		out.Classes[class] = w.counts(inst, class, loss, &harm)
		requests += out.Classes[class].Served + out.Classes[class].Rejected + out.Classes[class].Failed
	}
	out.Attempts = requests + w.poisson(float64(requests)*((inst.attempts-1)*w.factor(burstSpread)+harm.ExtraAttempts))
	out.Finished = out.Attempts
	out.Rejected = w.binomial(out.Finished, min(maxLoss, 2*loss))
	out.Sampled, out.Slow = requests, w.binomial(requests, slowFraction*w.factor(burstSpread))
	minutes := inst.ageMinutes(slot)
	out.Age = time.Duration(minutes * float64(time.Minute))
	memoryKiB := inst.memoryKiB*(1-youngMemoryDrop*math.Exp(-minutes)) + memoryNoiseKiB*w.rng.NormFloat64() + 1024*harm.Leak*minutes
	out.Memory = uint64(max(1024, memoryKiB) * 1024)
	out.Files = baseFiles + w.poisson(meanFiles)
	if w.rng.Float64() < crashesPerSlot {
		out.Crashes = 1
	}
	return out
}

// loss draws the loss of an instance in a slot, without the harm of the change.
func (w *world) loss(inst *instance, slot int) float64 {
	loss := inst.usualLoss * inst.lossFactor * math.Exp(w.commonSwing+w.zoneSwing[inst.zone]) * w.factor(burstSpread)
	if slot >= w.degradedFrom && slot < w.degradedFrom+degradedSlots && (w.degradedZone < 0 || w.degradedZone == inst.zone) {
		loss *= degradedFactor
	}
	return loss
}

// counts draws the number of requests of a class at an instance in a slot, by outcome.
func (w *world) counts(inst *instance, class int, loss float64, harm *Harm) canary.Counts {
	requests := w.poisson(inst.rate * classFraction[class] * slotLength.Seconds())
	p := min(maxLoss, loss)
	if harm.affects(class, inst.zone) {
		p += (1 - p) * harm.Lost
	}
	lost := w.binomial(requests, p)
	failed := w.binomial(lost, failedFraction)
	return canary.Counts{Served: requests - lost, Rejected: lost - failed, Failed: failed}
}

// ageMinutes returns the age of the instance's process at the end of a slot, in minutes.
func (inst *instance) ageMinutes(slot int) float64 {
	if slot > inst.changeSlot {
		return float64(slot-inst.changeSlot) * slotLength.Minutes()
	}
	return float64(slot+1) * slotLength.Minutes()
}

// config returns the configuration of the canary analysis for a fleet of the given size.
func config(size int) canary.Config {
	c := canary.Config{Classes: classes, Weights: classWeights, Base: baseRelease, Change: changeRelease, Start: historySlots, Slot: slotLength,
		WarmUp: slotLength, MinGaugeAge: 4 * time.Minute, FalseStops: 0.01, MaxSlots: slotsPerRun, Zones: make([]string, size)}
	for i := range c.Zones {
		c.Zones[i] = "zone-" + string(rune('a'+i%zoneCount))
	}
	return c
}
