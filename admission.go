package martendrum

import (
	"cmp"
	"slices"
	"time"
)

const (
	// The shed level rests where a fifth of answers are late or half of the
	// sends turned away, which costs only an attempt.
	lateIncrease     = 0.08
	rejectedIncrease = 0.02
	onTimeDecrease   = 0.02
	// A balancer of fewer than unitGainRate sends a second takes larger steps, by
	// maxGain at most. Guards against a level that outlives its cause.
	unitGainRate = 8.0
	maxGain      = 4.0
	// shedTolerance is the level that chance alone gives a calm fleet.
	shedTolerance      = 0.06
	maxShedProbability = 0.99 // not less: clients try again, and what is let in at each try adds up
	// arrivalWindow is how many arrivals the classes' shares look back on.
	arrivalWindow = 100
	// Where nearly all is shed, the level fades by itself after shedDecayDelay without an
	// outcome. Fading all the time, quiet balancers rested at three quarters late.
	shedMemory     = 8 * time.Second
	shedDecayDelay = time.Second
	// quotaBurst is the time for which a tenant may save up its share.
	quotaBurst = 4 * time.Second
)

// admissionController sheds the requests of lowest weight on arrival, a fraction of the
// traffic that the shed level gives. Classes of higher weight are not shed before lower ones,
// and a tenant above its quota does not displace others.
//
// Requests are ranked by class and quota: rank 2*class is within the tenant's quota,
// 2*class+1 above it.
type admissionController struct {
	config           *Config
	shedLevel        float64       // fraction of the traffic to shed, before shedTolerance
	minShedFraction  float64       // see Bounds.MinShedFraction
	shedLevelAt      time.Duration // when shedLevel last changed
	arrivalFractions []float64     // fading fractions of arrivals, by rank
	ranksByWeight    []int         // ranks, lowest weight first
	tenantQuotas     []tokenBucket
}

// configure adds ranks and quotas for the configuration's new classes and tenants and sorts
// the ranks.
func (a *admissionController) configure() {
	for len(a.arrivalFractions) < 2*len(a.config.Classes) { // all within the shares, until seen otherwise
		a.ranksByWeight = append(a.ranksByWeight, len(a.arrivalFractions), len(a.arrivalFractions)+1)
		a.arrivalFractions = append(a.arrivalFractions, 1/float64(len(a.config.Classes)), 0)
	}
	for i := len(a.tenantQuotas); i < len(a.config.TenantQuotas); i++ {
		a.tenantQuotas = append(a.tenantQuotas, tokenBucket{tokens: a.config.TenantQuotas[i] / float64(a.config.Instances) * quotaBurst.Seconds()})
	}
	slices.SortStableFunc(a.ranksByWeight, func(i, j int) int { return cmp.Compare(a.weight(i), a.weight(j)) })
}

// weight is a rank's priority weight per unit of work, which only the latency objective
// indicates.
func (a *admissionController) weight(rank int) float64 {
	class := &a.config.Classes[rank/2]
	if rank%2 > 0 {
		return class.Weight / class.LatencyObjective.Seconds() * a.config.OverQuotaWeight
	}
	return class.Weight / class.LatencyObjective.Seconds()
}

// meanWeight is the mean weight of arrivals, as if all were within quotas.
func (a *admissionController) meanWeight() (mean float64) {
	for r, share := range a.arrivalFractions {
		mean += share * a.weight(r/2*2)
	}
	return mean
}

// recordArrival counts an arrival against its tenant's quota and returns its rank.
func (a *admissionController) recordArrival(class, tenant int, now time.Duration) (rank int) {
	rank = 2 * class
	if tenant >= 0 && tenant < len(a.tenantQuotas) {
		rate := a.config.TenantQuotas[tenant] / float64(a.config.Instances)
		quota := &a.tenantQuotas[tenant]
		quota.refill(rate, rate*quotaBurst.Seconds(), now)
		if quota.tokens >= 1 {
			quota.tokens--
		} else {
			rank++
		}
	}
	for i := range a.arrivalFractions {
		a.arrivalFractions[i] *= 1 - 1.0/arrivalWindow
	}
	a.arrivalFractions[rank] += 1.0 / arrivalWindow
	return rank
}

// shedProbability is the probability with which a request of the rank is shed now.
func (a *admissionController) shedProbability(rank int, now time.Duration) float64 {
	left := max(a.decayedShedLevel(now)-shedTolerance, a.minShedFraction)
	for _, r := range a.ranksByWeight {
		if left <= 0 {
			return 0
		}
		if r == rank {
			return min(left/max(a.arrivalFractions[r], 0.01), maxShedProbability)
		}
		left -= a.arrivalFractions[r] * maxShedProbability
	}
	return 0
}

// decayedShedLevel is the shed level less what has faded since the last outcome.
func (a *admissionController) decayedShedLevel(now time.Duration) float64 {
	return a.shedLevel * decay(max(0, now-a.shedLevelAt-shedDecayDelay), shedMemory)
}

// updateShedLevel moves the shed level by one attempt's outcome; rate is in sends a second.
func (a *admissionController) updateShedLevel(rejected, late bool, rate float64, now time.Duration) {
	gain := max(1, min(unitGainRate/max(rate, 0.1), maxGain))
	step := -onTimeDecrease
	if late {
		step = lateIncrease
	} else if rejected {
		step = rejectedIncrease
	}
	a.shedLevel, a.shedLevelAt = max(0, min(a.decayedShedLevel(now)+gain*step, 1)), now
}
