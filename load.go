package martendrum

import (
	"cmp"
	"math"
	"time"
)

const (
	// weightCorrectionRate is how strongly one latency corrects a server's learned weight,
	// which stays within maxWeightCorrection of the hint's, above and below.
	weightCorrectionRate     = 0.2
	maxWeightCorrection      = 4.0
	weightCorrectionInterval = 2 * time.Second
	meanStep                 = 0.04            // of running means over all servers
	rateMemory               = 4 * time.Second // what the count of recent sends looks back on
	// latencyPrior is the weight, in samples, of "as fast as the fleet" in a
	// server's latency estimate; latencyMemory is how fast old samples fade.
	latencyPrior     = 1.0
	latencyMemory    = 12 * time.Second
	loadReportMemory = 3 * time.Second // how fast a load report loses its weight: queues stay seconds
	// The load that a late answer stands for, and what it leaves of the weight.
	overloadedLoad         = 8.0
	overloadedWeightFactor = 0.7
)

// queueDepth is how many requests s would have with one more, by its fading load report.
func (s *server) queueDepth(now time.Duration) float64 {
	return 1 + s.load*decay(now-s.loadAt, loadReportMemory)
}

// latency is a server's recent latency relative to the mean of all servers.
func (s *server) latency(now time.Duration) float64 {
	w := decay(now-s.latencyAt, latencyMemory)
	return (s.latencySum*w + latencyPrior) / (s.latencyWeight*w + latencyPrior)
}

// recordLatency records how long an attempt took, in fractions of the latency objective, takes
// the load report and corrects the server's weight: capacity hints may be missing or wrong, and
// with equal weights a slow server's queue fills first.
func (set *endpointSet) recordLatency(s *server, outcome Outcome, report LoadReport, latency, queueDepth float64, now time.Duration) {
	latency = max(latency, 1e-6)
	set.meanLatency = cmp.Or(set.meanLatency, latency) // starts at the first
	set.meanLatency += meanStep * (latency - set.meanLatency)
	if set.config.Probes { // only their limit reads it
		set.latencyPerQueued = cmp.Or(set.latencyPerQueued, latency/queueDepth)
		set.latencyPerQueued *= math.Pow(1+meanStep, math.Copysign(1, latency-set.latencyPerQueued*queueDepth))
	}
	w := decay(now-s.latencyAt, latencyMemory)
	s.latencySum, s.latencyWeight, s.latencyAt = s.latencySum*w+latency/set.meanLatency, s.latencyWeight*w+1, now
	// Scaled to time: a busy balancer has many answers before a step shows.
	strength := weightCorrectionRate * min(1, float64(now-s.weightCorrectedAt)/float64(weightCorrectionInterval))
	s.weightCorrectedAt = now
	correction := math.Pow(set.meanLatency/latency, strength)
	if outcome == TimedOut || latency > 1 {
		// Guards against a jam that feeds itself: each balancer keeps just one
		// send there, yet all of them together hold the queue full.
		s.load, s.loadAt, correction = overloadedLoad, now, overloadedWeightFactor
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
		s.load, s.loadAt = report.InFlight, now
	case report.HasUtilization:
		s.load, s.loadAt = min(report.Utilization/(1.01-min(report.Utilization, 1)), overloadedLoad), now
	}
}

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

// decay is the weight of a sample of the given age; it falls to 1/e in memory.
func decay(age, memory time.Duration) float64 { return math.Exp(-float64(age) / float64(memory)) }
