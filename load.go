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

// queueDepth is how many requests s holds with one more, by its load report.
func (s *server) queueDepth(now time.Duration) float64 {
	return 1 + s.load*decay(now-s.loadAt, loadReportMemory)
}

// latency is a server's recent latency relative to the fleet's.
func (s *server) latency(now time.Duration) float64 {
	w := decay(now-s.latencyAt, latencyMemory)
	return (s.latencySum*w + latencyPrior) / (s.latencyWeight*w + latencyPrior)
}

// recordLatency logs how long a send took, in fractions of the aim, takes its load
// report over and corrects its learned weight. Guards against capacity hints
// that are missing or wrong: with equal shares a slow kind of server fills first.
func (f *endpointSet) recordLatency(s *server, o Outcome, rep LoadReport, took, held float64, now time.Duration) {
	took = max(took, 1e-6)
	f.meanLatency = cmp.Or(f.meanLatency, took) // starts at the first
	f.meanLatency += meanStep * (took - f.meanLatency)
	if f.config.Probes { // only their limit reads it
		f.latencyPerQueued = cmp.Or(f.latencyPerQueued, took/held)
		f.latencyPerQueued *= math.Pow(1+meanStep, math.Copysign(1, took-f.latencyPerQueued*held))
	}
	w := decay(now-s.latencyAt, latencyMemory)
	s.latencySum, s.latencyWeight, s.latencyAt = s.latencySum*w+took/f.meanLatency, s.latencyWeight*w+1, now
	// Scaled to time: a busy balancer has many answers before a step shows.
	strength := weightCorrectionRate * min(1, float64(now-s.weightCorrectedAt)/float64(weightCorrectionInterval))
	s.weightCorrectedAt = now
	correct := math.Pow(f.meanLatency/took, strength)
	if o == TimedOut || took > 1 {
		// Guards against a jam that feeds itself: each balancer keeps just one
		// send there, yet all of them together hold the queue full.
		s.load, s.loadAt, correct = overloadedLoad, now, overloadedWeightFactor
	} else {
		s.updateLoad(rep, now)
	}
	s.weightCorrection = max(1/maxWeightCorrection, min(s.weightCorrection*correct, maxWeightCorrection))
}

// updateLoad takes a load report over.
func (s *server) updateLoad(rep LoadReport, now time.Duration) {
	switch {
	case rep.HasInFlight:
		s.load, s.loadAt = rep.InFlight, now
	case rep.HasUtilization:
		s.load, s.loadAt = min(rep.Utilization/(1.01-min(rep.Utilization, 1)), overloadedLoad), now
	}
}

// rate is this balancer's recent sends a second.
func (f *endpointSet) rate(now time.Duration) float64 {
	return f.sendCount * decay(now-f.sendCountAt, rateMemory) / rateMemory.Seconds()
}

// recordSend books a send to s.
func (f *endpointSet) recordSend(s *server, now time.Duration) {
	f.sendCount = f.sendCount*decay(now-f.sendCountAt, rateMemory) + 1
	f.sendCountAt = now
	s.inFlight++
	if now < s.slowStartEnds {
		s.slowStartTokens.tokens--
	}
}

// decay is the weight left to what is age old.
func decay(age, memory time.Duration) float64 { return math.Exp(-float64(age) / float64(memory)) }
