package martendrum

import "time"

const (
	errorRateStep   = 0.3         // of the fading fraction of errors
	maxErrorRate    = 0.15        // a server above it is avoided for the class
	errorRateMemory = time.Second // how fast the fraction fades
	// ejectionThreshold consecutive failures eject a server for baseEjectionTime, doubled each
	// time up to maxEjectionTime. A random factor between a half and three halves keeps
	// balancers from returning together.
	ejectionThreshold   = 2
	baseEjectionTime    = time.Second
	maxEjectionTime     = 16 * time.Second
	maxEjectionDoubling = 10 // keeps the shift from overflowing
	// A server that answered within ejectionGrace is not ejected: where connections break at
	// random, the remaining servers would be overloaded. This delays the ejection of a crashed
	// process by as much.
	ejectionGrace = 100 * time.Millisecond
	// maxEjectedFraction of the members are ejected at most: more failures than that are
	// everyone's or this balancer's own.
	maxEjectedFraction = 0.4
)

// recordHealth records what an attempt's outcome says about the server's health.
func (set *endpointSet) recordHealth(s *server, class int, outcome Outcome, now time.Duration) {
	switch outcome {
	case OK:
		s.answeredAt = now
		s.failures = 0
		s.ejections = 0
	case Rejected:
		s.answeredAt = now
	case ServerError, Reset, TimedOut, ConnectFailed:
		set.recordFailure(s, now)
	}
	if outcome == ServerError {
		rate := s.errorRate(class, now)*(1-errorRateStep) + errorRateStep
		s.errorRates[class] = tokenBucket{rate, now}
	}
}

// errorRate is a server's fading fraction of errors in a class. A server that fails one class
// only, and serves the others well, is never ejected; it is avoided for that class instead.
func (s *server) errorRate(class int, now time.Duration) float64 {
	return s.errorRates[class].tokens * decay(now-s.errorRates[class].at, errorRateMemory)
}

// recordFailure counts a failure of a server and ejects it after enough consecutive ones.
func (set *endpointSet) recordFailure(s *server, now time.Duration) {
	s.failures++
	switch {
	case s.failures < ejectionThreshold,
		s.answeredAt > 0 && now-s.answeredAt < ejectionGrace,
		now < s.ejectedUntil,
		float64(len(set.ejected)+1) > maxEjectedFraction*float64(len(set.members)):
		return
	}
	span := min(baseEjectionTime<<min(s.ejections, maxEjectionDoubling), maxEjectionTime)
	s.ejections++
	s.failures = ejectionThreshold - 1 // one more failure after its return ejects it again
	s.ejectedUntil = now + span/2 + time.Duration(set.random()*float64(span))
	set.ejected = append(set.ejected, s)
	set.dirty = true
}
