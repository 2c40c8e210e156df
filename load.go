package martendrum

import (
	"cmp"
	"math"
	"time"
)

const (
	// weightCorrectionRate is the strength with which one latency corrects a server's weight:
	// the exponent of the ratio of the mean latency to this one. Latencies recorded closer
	// together than weightCorrectionInterval have a proportionally smaller exponent. The weight
	// stays within a factor of maxWeightCorrection of the capacity hint.
	weightCorrectionRate     = 0.2
	maxWeightCorrection      = 4.0
	weightCorrectionInterval = 2 * time.Second
	meanStep                 = 0.04            // weight of one sample in running means over all servers
	rateMemory               = 4 * time.Second // time constant of the decay of the count of sends
	// latencyPrior is the weight, in samples, of the prior assumption that a server's latency is
	// the mean of all servers. latencyMemory is the time constant of the decay of old samples.
	latencyPrior     = 1.0
	latencyMemory    = 12 * time.Second
	minLatency       = 1e-6            // as a fraction of the latency objective; keeps ratios finite
	loadReportMemory = 3 * time.Second // time constant of the decay of a load report: queues last for seconds
	// overloadedLoad is the load, in requests in flight, that is assumed of a server after a late
	// answer. overloadedWeightFactor is the factor by which that answer corrects its weight.
	overloadedLoad         = 8.0
	overloadedWeightFactor = 0.7
	// utilizationLimit stands in for full utilization when a load is estimated from a utilization.
	// It is just above 1, which keeps the estimate finite.
	utilizationLimit = 1.01
)

// decay returns the weight of a sample of the given age. memory is the time constant: in that time the
// weight falls by a factor of e.
func decay(age, memory time.Duration) float64 { return math.Exp(-float64(age) / float64(memory)) }

// rate returns this balancer's recent rate of sends, in sends a second.
func (set *endpointSet) rate(now time.Duration) float64 {
	return set.sendCount * decay(now-set.sendCountAt, rateMemory) / rateMemory.Seconds()
}

// recordSend counts a send to s, and charges it to the slow-start budget of s.
func (set *endpointSet) recordSend(s *server, now time.Duration) {
	set.sendCount = set.sendCount*decay(now-set.sendCountAt, rateMemory) + 1
	set.sendCountAt = now
	s.inFlight++
	if now < s.slowStartEnds {
		s.slowStartTokens.tokens--
	}
}

// recordAcceptance updates the running fraction of sends that were not rejected.
func (set *endpointSet) recordAcceptance(accepted bool) {
	set.acceptedFraction *= 1 - meanStep
	if accepted {
		set.acceptedFraction += meanStep
	}
}

// queueDepth returns the number of requests that s would have in flight with one more, by its last
// load report, which decays with its age.
func (s *server) queueDepth(now time.Duration) float64 {
	return 1 + s.load*decay(now-s.loadAt, loadReportMemory)
}

// latency returns a server's recent latency as a multiple of the mean of all servers.
func (s *server) latency(now time.Duration) float64 {
	weight := decay(now-s.latencyAt, latencyMemory)
	return (s.latencySum*weight + latencyPrior) / (s.latencyWeight*weight + latencyPrior)
}

// recordLatency records the latency of an attempt, as a fraction of the latency objective, and the
// load report that came with the answer. It also corrects the server's sampling weight, because
// capacity hints may be missing or wrong, and with equal weights the queue of a slow server fills
// first. queueDepth is attempt.queueDepth.
func (set *endpointSet) recordLatency(s *server, outcome Outcome, report LoadReport, latency, queueDepth float64, now time.Duration) {
	latency = max(latency, minLatency)
	set.meanLatency = cmp.Or(set.meanLatency, latency) // the first latency is the initial mean
	set.meanLatency += meanStep * (latency - set.meanLatency)
	if set.config.Probes { // only Balancer.isExpectedTooLate reads it
		set.latencyPerQueued = cmp.Or(set.latencyPerQueued, latency/queueDepth)
		set.latencyPerQueued *= math.Pow(1+meanStep, math.Copysign(1, latency-set.latencyPerQueued*queueDepth))
	}
	weight := decay(now-s.latencyAt, latencyMemory)
	s.latencySum = s.latencySum*weight + latency/set.meanLatency
	s.latencyWeight = s.latencyWeight*weight + 1
	s.latencyAt = now
	// The exponent is proportional to the time since the last one, because a balancer with
	// many requests gets many answers before a correction takes effect.
	exponent := weightCorrectionRate * min(1, float64(now-s.weightCorrectedAt)/float64(weightCorrectionInterval))
	s.weightCorrectedAt = now
	correction := math.Pow(set.meanLatency/latency, exponent)
	if outcome == TimedOut || latency > 1 {
		// If each balancer has just one request at an overloaded server, the requests of all
		// balancers together keep its queue full. A late answer therefore counts as a high
		// load, whatever the load report says.
		s.load = overloadedLoad
		s.loadAt = now
		correction = overloadedWeightFactor
	} else {
		s.updateLoad(report, now)
	}
	s.weightCorrection = max(1/maxWeightCorrection, min(s.weightCorrection*correction, maxWeightCorrection))
}

// updateLoad records a load report: its number of requests in flight, or else an estimate of that
// number from its utilization. An empty report changes nothing.
func (s *server) updateLoad(report LoadReport, now time.Duration) {
	switch {
	case report.HasInFlight:
		s.load = report.InFlight
		s.loadAt = now
	case report.HasUtilization:
		s.load = min(report.Utilization/(utilizationLimit-min(report.Utilization, 1)), overloadedLoad)
		s.loadAt = now
	}
}
