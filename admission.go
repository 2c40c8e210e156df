package martendrum

import (
	"cmp"
	"slices"
	"time"
)

const (
	// Each outcome of an attempt moves the shed level by one of these steps. The level settles
	// where a fifth of the answers are late or half of the attempts are rejected. The step for
	// a rejection is smaller because a rejection costs only the attempt.
	lateIncrease     = 0.08
	rejectedIncrease = 0.02
	onTimeDecrease   = 0.02
	// A balancer that makes fewer than unitGainRate sends a second multiplies its steps by up
	// to maxGain, so that its shed level does not stay high after the overload has ended.
	unitGainRate = 8.0
	maxGain      = 4.0
	minGainRate  = 0.1 // sends a second; keeps the quotient unitGainRate/rate finite
	// shedTolerance is the shed level that random late answers cause in a healthy fleet.
	// Only the part of the level above it is shed.
	shedTolerance = 0.06
	// maxShedProbability bounds the probability with which a request is shed. It is high
	// because clients retry: the requests admitted at each retry add up.
	maxShedProbability = 0.99
	// arrivalWindow is the number of recent arrivals that the fractions of arrivals by rank
	// are averaged over.
	arrivalWindow      = 100
	minArrivalFraction = 0.01 // least fraction assumed for a rank; keeps the shed probability finite
	// Where nearly all requests are shed, hardly any outcomes lower the shed level. The level
	// therefore decays with the time constant shedMemory once there has been no outcome for
	// shedDecayDelay. Without that delay it would decay between any two outcomes, and the
	// level of a balancer with few requests would be too low.
	shedMemory     = 8 * time.Second
	shedDecayDelay = time.Second
	// quotaBurst is the time over which a tenant can accumulate unused quota.
	quotaBurst = 4 * time.Second
)

// admissionController decides which requests are shed on arrival. The shed level gives the
// fraction of the traffic to shed; the requests of lowest weight are shed first. Requests above
// their tenant's quota have a lower weight, so that they do not displace those of other tenants.
//
// Each request has a rank that combines its class and its tenant's quota: 2*class for a request
// within the quota, 2*class+1 for one above it.
type admissionController struct {
	config           *Config
	shedLevel        float64       // fraction of the traffic to shed, before shedTolerance is subtracted
	minShedFraction  float64       // see Bounds.MinShedFraction
	shedLevelAt      time.Duration // when shedLevel last changed
	arrivalFractions []float64     // moving averages of the fraction of arrivals of each rank
	ranksByWeight    []int         // ranks, lowest weight first
	tenantQuotas     []tokenBucket // by tenant
}

// configure adds ranks and quotas for the classes and tenants that are new in the configuration
// and sorts the ranks by weight.
func (a *admissionController) configure() {
	classes := len(a.config.Classes)
	for len(a.arrivalFractions) < 2*classes { // the initial estimate: equal traffic in each class, all of it within quotas
		rank := len(a.arrivalFractions)
		a.ranksByWeight = append(a.ranksByWeight, rank, rank+1)
		a.arrivalFractions = append(a.arrivalFractions, 1/float64(classes), 0)
	}
	for i := len(a.tenantQuotas); i < len(a.config.TenantQuotas); i++ {
		a.tenantQuotas = append(a.tenantQuotas, tokenBucket{tokens: a.localQuota(i) * quotaBurst.Seconds()})
	}
	slices.SortStableFunc(a.ranksByWeight, func(i, j int) int { return cmp.Compare(a.weight(i), a.weight(j)) })
}

// localQuota returns this balancer's share of a tenant's quota, in requests a second.
func (a *admissionController) localQuota(tenant int) float64 {
	return a.config.TenantQuotas[tenant] / float64(a.config.Instances)
}

// weight returns a rank's priority weight per unit of work. The latency objective of the class
// stands in for the work of a request, since nothing else indicates it.
func (a *admissionController) weight(rank int) float64 {
	class := &a.config.Classes[rank/2]
	withinQuota := class.Weight / class.LatencyObjective.Seconds()
	if rank%2 == 0 {
		return withinQuota
	}
	return withinQuota * a.config.OverQuotaWeight
}

// meanWeight returns the mean weight of recent arrivals, as if all of them were within quotas.
func (a *admissionController) meanWeight() float64 {
	mean := 0.0
	for rank, fraction := range a.arrivalFractions {
		mean += fraction * a.weight(rank/2*2)
	}
	return mean
}

// recordArrival counts an arrival, charges it to the tenant's quota and returns its rank. A
// request of an unknown tenant counts as within the quota.
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

// shedProbability returns the probability with which a request of the rank is shed now.
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

// decayedShedLevel returns the shed level at now, after its decay since the last outcome.
func (a *admissionController) decayedShedLevel(now time.Duration) float64 {
	return a.shedLevel * decay(max(0, now-a.shedLevelAt-shedDecayDelay), shedMemory)
}

// updateShedLevel adjusts the shed level to the outcome of one attempt. rate is this balancer's
// recent rate of sends, in sends a second.
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
