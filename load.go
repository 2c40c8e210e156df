package martendrum

import (
	"cmp"
	"math"
	"time"
)

const (
	// weightCorrectionRate is how strongly one latency corrects a server's weight, which
	// stays within a factor of maxWeightCorrection of the hint. Corrections add up to the
	// full rate only over weightCorrectionInterval.
	weightCorrectionRate     = 0.2
	maxWeightCorrection      = 4.0
	weightCorrectionInterval = 2 * time.Second
	meanStep                 = 0.04            // of running means over all servers
	rateMemory               = 4 * time.Second // how fast the count of sends fades
	// latencyPrior is the weight, in samples, of the prior that a server is as fast as the
	// mean; latencyMemory is how fast old samples fade.
	latencyPrior     = 1.0
	latencyMemory    = 12 * time.Second
	minLatency       = 1e-6            // in fractions of the latency objective; keeps ratios finite
	loadReportMemory = 3 * time.Second // how fast a load report loses its weight: queues last for seconds
	// overloadedLoad is the load, in requests, that a late answer implies, and
	// overloadedWeightFactor the weight correction that goes with it.
	overloadedLoad         = 8.0
	overloadedWeightFactor = 0.7
	// utilizationLimit is just above full utilization, where the load stays finite.
	utilizationLimit = 1.01
)

// decay is the weight of a sample of the given age; it falls to 1/e in memory.
func decay(age, memory time.Duration) float64 { return math.Exp(-float64(age) / float64(memory)) }

// rate is this balancer's recent sends a second.
func (set *endpointSet) rate(now time.Duration) float64 {
	return set.sendCount * decay(now-set.sendCountAt, rateMemory) / rateMemory.Seconds()
}

// recordSend counts a send to s.
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

// queueDepth is how many requests s would have with one more, by its fading load report.
func (s *server) queueDepth(now time.Duration) float64 {
	return 1 + s.load*decay(now-s.loadAt, loadReportMemory)
}

// latency is a server's recent latency relative to the mean of all servers.
func (s *server) latency(now time.Duration) float64 {
	weight := decay(now-s.latencyAt, latencyMemory)
	return (s.latencySum*weight + latencyPrior) / (s.latencyWeight*weight + latencyPrior)
}

// recordLatency records how long an attempt took, in fractions of the latency objective, takes
// the load report and corrects the server's weight: capacity hints may be missing or wrong, and
// with equal weights a slow server's queue fills first.
func (set *endpointSet) recordLatency(s *server, outcome Outcome, report LoadReport, latency, queueDepth float64, now time.Duration) {
	latency = max(latency, minLatency)
	set.meanLatency = cmp.Or(set.meanLatency, latency) // starts at the first
	set.meanLatency += meanStep * (latency - set.meanLatency)
	if set.config.Probes { // only Balancer.wouldEarnNothing reads it
		set.latencyPerQueued = cmp.Or(set.latencyPerQueued, latency/queueDepth)
		set.latencyPerQueued *= math.Pow(1+meanStep, math.Copysign(1, latency-set.latencyPerQueued*queueDepth))
	}
	weight := decay(now-s.latencyAt, latencyMemory)
	s.latencySum = s.latencySum*weight + latency/set.meanLatency
	s.latencyWeight = s.latencyWeight*weight + 1
	s.latencyAt = now
	// Corrections are scaled to time: a busy balancer gets many answers before one shows.
	strength := weightCorrectionRate * min(1, float64(now-s.weightCorrectedAt)/float64(weightCorrectionInterval))
	s.weightCorrectedAt = now
	correction := math.Pow(set.meanLatency/latency, strength)
	if outcome == TimedOut || latency > 1 {
		// A jam sustains itself where each balancer keeps just one request at the server:
		// all of them together keep its queue full. A late answer therefore counts as a
		// high load, whatever the load report says.
		s.load = overloadedLoad
		s.loadAt = now
		correction = overloadedWeightFactor
	} else {
		s.updateLoad(report, now)
	}
	s.weightCorrection = max(1/maxWeightCorrection, min(s.weightCorrection*correction, maxWeightCorrection))
}

// updateLoad takes a load report: the requests in flight, else an estimate of them from the
// utilization.
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
