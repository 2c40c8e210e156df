package martendrum

import (
	"cmp"
	"slices"
	"time"
)

const (
	// The shed level settles where a fifth of the answers are late, or half of the attempts
	// are rejected, which costs only the attempt.
	lateIncrease     = 0.08
	rejectedIncrease = 0.02
	onTimeDecrease   = 0.02
	// A balancer of fewer than unitGainRate sends a second takes larger steps, up to a factor
	// of maxGain, so that its level does not outlive the overload.
	unitGainRate = 8.0
	maxGain      = 4.0
	minGainRate  = 0.1 // keeps the gain finite
	// shedTolerance is the level that random late answers cause in a healthy fleet.
	shedTolerance = 0.06
	// maxShedProbability bounds shedding. It is high because clients retry, and what is
	// admitted at each retry adds up.
	maxShedProbability = 0.99
	// arrivalWindow is the number of arrivals over which their fractions by rank fade.
	arrivalWindow      = 100
	minArrivalFraction = 0.01 // of a rank; keeps the probability finite
	// Where nearly all is shed, the level fades once no outcome has come for shedDecayDelay.
	// Fading between any two outcomes would keep a quiet balancer's level too low.
	shedMemory     = 8 * time.Second
	shedDecayDelay = time.Second
	// quotaBurst is the time for which a tenant may save up its quota.
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
	classes := len(a.config.Classes)
	for len(a.arrivalFractions) < 2*classes { // until observed, all arrivals are within quotas
		rank := len(a.arrivalFractions)
		a.ranksByWeight = append(a.ranksByWeight, rank, rank+1)
		a.arrivalFractions = append(a.arrivalFractions, 1/float64(classes), 0)
	}
	for i := len(a.tenantQuotas); i < len(a.config.TenantQuotas); i++ {
		a.tenantQuotas = append(a.tenantQuotas, tokenBucket{tokens: a.localQuota(i) * quotaBurst.Seconds()})
	}
	slices.SortStableFunc(a.ranksByWeight, func(i, j int) int { return cmp.Compare(a.weight(i), a.weight(j)) })
}

// localQuota is this balancer's part of a tenant's quota, in requests a second.
func (a *admissionController) localQuota(tenant int) float64 {
	return a.config.TenantQuotas[tenant] / float64(a.config.Instances)
}

// weight is a rank's priority weight per unit of work, which only the latency objective
// indicates.
func (a *admissionController) weight(rank int) float64 {
	class := &a.config.Classes[rank/2]
	withinQuota := class.Weight / class.LatencyObjective.Seconds()
	if rank%2 == 0 {
		return withinQuota
	}
	return withinQuota * a.config.OverQuotaWeight
}

// meanWeight is the mean weight of arrivals, as if all were within quotas.
func (a *admissionController) meanWeight() float64 {
	mean := 0.0
	for rank, fraction := range a.arrivalFractions {
		mean += fraction * a.weight(rank/2*2)
	}
	return mean
}

// recordArrival counts an arrival against its tenant's quota and returns its rank.
func (a *admissionController) recordArrival(class, tenant int, now time.Duration) (rank int) {
	rank = 2 * class
	if tenant >= 0 && tenant < len(a.tenantQuotas) {
		rate := a.localQuota(tenant)
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
	toShed := max(a.decayedShedLevel(now)-shedTolerance, a.minShedFraction)
	for _, r := range a.ranksByWeight {
		if toShed <= 0 {
			return 0
		}
		if r == rank {
			return min(toShed/max(a.arrivalFractions[r], minArrivalFraction), maxShedProbability)
		}
		toShed -= a.arrivalFractions[r] * maxShedProbability
	}
	return 0
}

// decayedShedLevel is the shed level less what has faded since the last outcome.
func (a *admissionController) decayedShedLevel(now time.Duration) float64 {
	return a.shedLevel * decay(max(0, now-a.shedLevelAt-shedDecayDelay), shedMemory)
}

// updateShedLevel moves the shed level by one attempt's outcome; rate is in sends a second.
func (a *admissionController) updateShedLevel(rejected, late bool, rate float64, now time.Duration) {
	gain := max(1, min(unitGainRate/max(rate, minGainRate), maxGain))
	step := -onTimeDecrease
	if late {
		step = lateIncrease
	} else if rejected {
		step = rejectedIncrease
	}
	a.shedLevel = max(0, min(a.decayedShedLevel(now)+gain*step, 1))
	a.shedLevelAt = now
}
