package martendrum

import "time"

const (
	errorRateStep   = 0.3
	maxErrorRate    = 0.15 // more keeps the class away
	errorRateMemory = time.Second
	// ejectionThreshold consecutive failures make a server suspect. It is ejected for
	// baseEjectionTime, doubled each time up to maxEjectionTime, with a random part so that
	// balancers do not return together. One that answered well within ejectionGrace is
	// not: where connections break by chance, the rest would overflow. It may do harm
	// for that time where a process has died.
	ejectionThreshold = 2
	ejectionGrace     = 100 * time.Millisecond
	baseEjectionTime  = time.Second
	maxEjectionTime   = 16 * time.Second
	// maxEjectedFraction of the fleet at most: past it, failures are everyone's or our own.
	maxEjectedFraction = 0.4
)

// errorRate is a server's fading fraction of errors in a class. A server that fails one class
// only, and serves the others well, is never ejected; it is avoided for that class instead.
func (s *server) errorRate(class int, now time.Duration) float64 {
	return s.errorRates[class].tokens * decay(now-s.errorRates[class].at, errorRateMemory)
}

// recordFailure counts a failure of a server and ejects it after enough consecutive ones.
func (set *endpointSet) recordFailure(s *server, now time.Duration) {
	s.failures++
	if s.failures < ejectionThreshold || s.answeredAt > 0 && now-s.answeredAt < ejectionGrace || now < s.ejectedUntil || float64(len(set.ejected)+1) > maxEjectedFraction*float64(len(set.members)) {
		return
	}
	span := min(baseEjectionTime<<min(s.ejections, 10), maxEjectionTime)
	s.ejections++
	s.failures = ejectionThreshold - 1 // one more failure on return ejects it again
	s.ejectedUntil = now + span/2 + time.Duration(set.random()*float64(span))
	set.ejected = append(set.ejected, s)
	set.dirty = true
}
