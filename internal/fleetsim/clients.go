package fleetsim

import (
	"time"

	"martendrum"
)

// Clients describes the clients of one sidecar.
type Clients struct {
	Rate           float64   // requests per second, without retries by clients
	ClassFractions []float64 // fraction of the requests by class; the sum is 1
	Burst          float64   // requests that wait when the sidecar starts, in seconds of Rate
	RetryFraction  float64   // fraction of the rejected requests that a client retries after Retry-After, if its deadline allows
	AcceptLate     bool      // an answer after the latency objective also counts as served in time
}

// clientRequest is a client's first request, or a retry after a rejection.
type clientRequest struct {
	id           martendrum.RequestID
	class        int
	firstArrived time.Duration // when the client's first request arrived
	deadline     time.Duration
	attemptsDone []bool // by index of the attempt
	inFlight     int    // number of attempts in flight
	finished     bool   // served, rejected, failed or expired: the client expects no further answer
}

// Tally counts the requests of a sidecar by outcome. Offered and Served are indexed by class, and
// then by the second in which the client sent its first request.
type Tally struct {
	// Offered counts clients' first requests. Served counts the requests that were served in
	// time, at the first request or at a retry.
	Offered, Served [][]float64
	LateAnswers     int // answers after the latency objective, unless Clients.AcceptLate
	Expired         int // requests without an answer at their deadline
	Sends           int // attempts sent to servers
}

// count adds one to the count of a class and of the second that contains at.
func count(list *[][]float64, class int, at time.Duration) {
	for len(*list) <= class {
		*list = append(*list, nil)
	}
	counts := &(*list)[class]
	second := int(at / time.Second)
	for len(*counts) <= second {
		*counts = append(*counts, 0)
	}
	(*counts)[second]++
}

// arrive passes a client's request to the Balancer. firstArrived is when the client's first
// request arrived: s.now, unless this one is a retry.
func (s *Sidecar) arrive(class int, firstArrived time.Duration) {
	if firstArrived == s.now {
		count(&s.Tally.Offered, class, firstArrived)
	}
	s.lastID++
	request := &clientRequest{
		id:           s.lastID,
		class:        class,
		firstArrived: firstArrived,
		deadline:     firstArrived + s.limits[class],
	}
	s.requests[request.id] = request
	s.timers.set(request.deadline, func() { s.expire(request) })
	s.balancer.Arrive(Epoch+s.now, martendrum.Request{
		ID:       request.id,
		Class:    class,
		Tenant:   -1,
		Deadline: Epoch + request.deadline,
	})
}

// nextClient schedules the first request of the next client, which schedules the one after it.
// The times between requests are exponentially distributed.
func (s *Sidecar) nextClient() {
	wait := time.Duration(s.rng.ExpFloat64() / s.clients.Rate * float64(time.Second))
	s.timers.set(s.now+wait, func() {
		s.arrive(s.drawClass(), s.now)
		s.nextClient()
	})
}

// drawClass draws the class of a request from ClassFractions.
func (s *Sidecar) drawClass() int {
	remainder := s.rng.Float64()
	for class, fraction := range s.clients.ClassFractions {
		if remainder -= fraction; remainder < 0 {
			return class
		}
	}
	return 0
}

// expire ends a request at its deadline, unless it has ended before.
func (s *Sidecar) expire(request *clientRequest) {
	if s.requests[request.id] == nil {
		return
	}
	for n := range request.attemptsDone {
		s.finishAttempt(request, n, martendrum.TimedOut)
	}
	if !request.finished {
		s.balancer.ClientDisconnected(Epoch+s.now, request.id)
		request.finished = true
		s.Tally.Expired++
		s.forget(request)
	}
}

// finishAttempt reports the outcome of an attempt to the Balancer, and counts the first answer
// to the request. It does nothing if the attempt has finished before.
func (s *Sidecar) finishAttempt(request *clientRequest, index int, outcome martendrum.Outcome) {
	if request.attemptsDone[index] {
		return
	}
	request.attemptsDone[index] = true
	request.inFlight--
	if outcome == martendrum.OK && !request.finished {
		request.finished = true
		if s.now-request.firstArrived <= s.config.Classes[request.class].LatencyObjective || s.clients.AcceptLate {
			count(&s.Tally.Served, request.class, request.firstArrived)
		} else {
			s.Tally.LateAnswers++
		}
	}
	s.balancer.AttemptFinished(Epoch+s.now, request.id, index, outcome, request.finished, martendrum.LoadReport{})
	s.forget(request)
}

// forget drops a request that is finished and has no attempt in flight.
func (s *Sidecar) forget(request *clientRequest) {
	if request.finished && request.inFlight == 0 {
		delete(s.requests, request.id)
	}
}
