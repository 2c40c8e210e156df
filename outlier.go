package martendrum

import "time"

const (
	errorRateStep   = 0.3         // weight of one error in a server's error rate for a class
	maxErrorRate    = 0.15        // a server with a higher error rate is avoided for the class
	errorRateMemory = time.Second // time constant of the decay of the error rate
	// ejectionThreshold consecutive failures eject a server for baseEjectionTime, which doubles
	// with each ejection in a row, up to maxEjectionTime. The time is multiplied by a random
	// factor between 1/2 and 3/2, so that balancers do not all return to the server at once.
	ejectionThreshold   = 2
	baseEjectionTime    = time.Second
	maxEjectionTime     = 16 * time.Second
	maxEjectionDoubling = 10 // limits the shift by the number of ejections, which could overflow
	// A server that has answered within the last ejectionGrace is not ejected. Where connections
	// break at random, ejections would overload the remaining servers. The price is that a crashed
	// server is ejected later by this time.
	ejectionGrace = 100 * time.Millisecond
	// maxEjectedFraction is the largest fraction of the members that are ejected at the same
	// time. If more of them fail, the cause affects all servers or lies with this balancer.
	maxEjectedFraction = 0.4
)

// recordHealth updates a server's failures and its error rate for the class with the outcome of an
// attempt.
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

// errorRate returns a server's decaying fraction of errors in a class. A server that fails only one
// class is usually not ejected, because each answer to another class resets its failures; it is
// avoided for the failing class instead.
func (s *server) errorRate(class int, now time.Duration) float64 {
	return s.errorRates[class].tokens * decay(now-s.errorRates[class].at, errorRateMemory)
}

// recordFailure counts a failure of a server and ejects the server after ejectionThreshold
// consecutive failures, unless it has just answered, is ejected already, or too many are ejected.
func (set *endpointSet) recordFailure(s *server, now time.Duration) {
	s.failures++
	switch {
	case s.failures < ejectionThreshold,
		s.answeredAt > 0 && now-s.answeredAt < ejectionGrace,
		now < s.ejectedUntil,
		float64(len(set.ejected)+1) > maxEjectedFraction*float64(len(set.members)):
		return
	}
	ejectionTime := min(baseEjectionTime<<min(s.ejections, maxEjectionDoubling), maxEjectionTime)
	s.ejections++
	s.failures = ejectionThreshold - 1 // one failure after the ejection ejects it again
	s.ejectedUntil = now + ejectionTime/2 + time.Duration(set.random()*float64(ejectionTime))
	set.ejected = append(set.ejected, s)
	set.dirty = true
}
