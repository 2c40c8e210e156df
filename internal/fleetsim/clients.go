package fleetsim

import (
	"time"

	"martendrum"
)

// Clients describes the requests that come to one sidecar.
type Clients struct {
	Rate           float64   // requests a second, retries by clients left out
	ClassFractions []float64 // fractions of the classes
	Burst          float64   // how many seconds of requests wait when the sidecar starts
	RetryFraction  float64   // fraction of rejected clients who retry after Retry-After, within their limit
	AcceptLate     bool      // an answer after the latency objective counts as served in time
}

// clientRequest is a request of a client, or its retry of one.
type clientRequest struct {
	id           martendrum.RequestID
	class        int
	firstArrived time.Duration // when the client's first request arrived
	deadline     time.Duration
	attemptsDone []bool // by index
	inFlight     int    // attempts
	finished     bool   // answered or given up
}

// Tally counts what became of requests, by class and then second of the client's first one.
type Tally struct {
	Offered, Served [][]float64 // all first requests; those that were served in time
	LateAnswers     int
	Expired         int // requests without an answer at their deadline
	Sends           int // attempts
}

// count adds one to a list of counts by class and second.
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

// arrive gives a client's request to the Balancer. firstArrived is now unless it is a retry.
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

// nextClient schedules the next client's request, and so on.
func (s *Sidecar) nextClient() {
	wait := time.Duration(s.rng.ExpFloat64() / s.clients.Rate * float64(time.Second))
	s.timers.set(s.now+wait, func() {
		s.arrive(s.drawClass(), s.now)
		s.nextClient()
	})
}

// drawClass draws the class of a request.
func (s *Sidecar) drawClass() int {
	x := s.rng.Float64()
	for class, fraction := range s.clients.ClassFractions {
		if x -= fraction; x < 0 {
			return class
		}
	}
	return 0
}

// expire ends a request at its deadline.
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

// finishAttempt reports the outcome of an attempt to the Balancer and counts the answer.
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
