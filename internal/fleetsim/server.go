package fleetsim

import (
	"math"
	"math/rand/v2"
	"slices"
	"time"
)

// Epoch is the time at which a world begins, since the Unix epoch. Balancers and server lists use
// Unix time; all other times of this package count from the beginning of the world.
const Epoch = 1_000_000 * time.Hour

// SlowStart describes how a server warms up after its start, and which load crashes it meanwhile.
type SlowStart struct {
	InitialFraction  float64       // fraction of its capacity that a server has when it starts
	Duration         time.Duration // time until the server has its full capacity
	OverloadFactor   float64       // load, as a multiple of the present capacity, that crashes the server
	OverloadDuration time.Duration // how long the server must receive that load to crash
}

// capacityFraction returns the fraction of its full capacity that a server of the given age has.
func (s SlowStart) capacityFraction(age time.Duration) float64 {
	if age >= s.Duration || s.Duration <= 0 {
		return 1
	}
	return s.InitialFraction + (1-s.InitialFraction)*float64(max(0, age))/float64(s.Duration)
}

// Server is a Node that executes attempts. It has workers, each of which executes one attempt at
// a time, and a queue. Service times are exponentially distributed unless UniformWork is set, and
// longer during slow start.
type Server struct {
	SlowStart   SlowStart
	Workers     int
	ServiceTime time.Duration // mean time to execute an attempt at full capacity
	QueueLimit  int           // number of attempts that may wait
	UniformWork bool          // every attempt takes the mean time

	Crashes  int // number of crashes from overload during slow start
	Executed int // number of executed attempts

	up             bool
	started        time.Duration
	rng            *rand.Rand
	running        []job
	waiting        []job
	recentArrivals []time.Duration // during slow start: arrival times within the last OverloadDuration
	outbox         []Message
}

// job is an attempt at a server.
type job struct {
	from      int // place of the sidecar that sent it
	attemptID attemptID
	end       time.Duration // when its execution ends
}

// attemptID identifies an attempt among those of one sidecar.
type attemptID struct {
	id      uint64 // ID of the request
	attempt int    // index of the attempt within the request
}

// result is a server's answer to an attempt.
type result struct {
	attemptID
	status status
}

// status is the outcome of an attempt.
type status uint8

const (
	executed      status = iota
	rejected             // not executed, because the queue was full
	connectFailed        // not executed, because the server is down
)

// Capacity returns how many attempts per second the server executes at full capacity.
func (s *Server) Capacity() float64 { return float64(s.Workers) / s.ServiceTime.Seconds() }

// Start starts the server; its slow start begins at now.
func (s *Server) Start(now time.Duration, rng *rand.Rand) {
	s.up = true
	s.started = now
	s.rng = rng
	s.recentArrivals = s.recentArrivals[:0]
}

// Stop stops the server. Running and waiting attempts are lost without an answer.
func (s *Server) Stop() {
	s.up = false
	s.running = nil
	s.waiting = nil
}

// Due implements Node.
func (s *Server) Due() time.Duration {
	due := Never
	for _, j := range s.running {
		due = min(due, j.end)
	}
	return due
}

// Tick implements Node: it answers executed attempts and begins waiting ones.
func (s *Server) Tick(now time.Duration) {
	s.running = slices.DeleteFunc(s.running, func(j job) bool {
		if j.end > now {
			return false
		}
		s.Executed++
		s.answer(j, executed)
		return true
	})
	for len(s.waiting) > 0 && len(s.running) < s.Workers {
		s.begin(now, s.waiting[0])
		s.waiting = s.waiting[1:]
	}
}

// begin begins to execute an attempt.
func (s *Server) begin(now time.Duration, j job) {
	serviceTime := float64(s.ServiceTime) / s.SlowStart.capacityFraction(now-s.started)
	if !s.UniformWork {
		serviceTime *= s.rng.ExpFloat64()
	}
	j.end = now + max(time.Microsecond, time.Duration(serviceTime))
	s.running = append(s.running, j)
}

// answer sends the status of an attempt to its sidecar.
func (s *Server) answer(j job, st status) {
	s.outbox = append(s.outbox, Message{To: j.from, Body: result{j.attemptID, st}})
}

// Receive implements Node.
func (s *Server) Receive(now time.Duration, from int, msg any) {
	j := job{from: from, attemptID: msg.(attemptID)}
	if !s.up {
		s.answer(j, connectFailed)
		return
	}
	if s.overloaded(now) {
		s.Crashes++
		s.Stop()
		s.answer(j, connectFailed)
		return
	}
	switch {
	case len(s.running) < s.Workers:
		s.begin(now, j)
	case len(s.waiting) < s.QueueLimit:
		s.waiting = append(s.waiting, j)
	default:
		s.answer(j, rejected)
	}
}

// overloaded records an arrival and reports whether it crashes the server. A server in slow start
// crashes if more than N + 3 sqrt(N) + 3 attempts arrive within OverloadDuration, where N is the
// number of attempts in that time at a load of OverloadFactor.
func (s *Server) overloaded(now time.Duration) bool {
	age := now - s.started
	if age >= s.SlowStart.Duration {
		s.recentArrivals = nil
		return false
	}
	s.recentArrivals = append(s.recentArrivals, now)
	for len(s.recentArrivals) > 0 && now-s.recentArrivals[0] > s.SlowStart.OverloadDuration {
		s.recentArrivals = s.recentArrivals[1:]
	}
	tolerated := s.SlowStart.OverloadFactor * s.Capacity() * s.SlowStart.capacityFraction(age) * s.SlowStart.OverloadDuration.Seconds()
	return float64(len(s.recentArrivals)) > tolerated+3*math.Sqrt(tolerated)+3
}

// Out implements Node.
func (s *Server) Out(send func(Message)) {
	for _, m := range s.outbox {
		send(m)
	}
	s.outbox = s.outbox[:0]
}
