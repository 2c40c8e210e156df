package fleetsim

import (
	"math"
	"math/rand/v2"
	"slices"
	"time"
)

// Epoch is the Unix time at which a world begins: balancers and server lists use Unix time.
const Epoch = 1_000_000 * time.Hour

// SlowStart is how servers warm up, and which load crashes one that does.
type SlowStart struct {
	InitialFraction  float64       // fraction of its capacity that a server has when it starts
	Duration         time.Duration // until it has its full capacity
	OverloadFactor   float64       // multiple of its present capacity that crashes it
	OverloadDuration time.Duration // if received for this long
}

// capacityFraction is the fraction of its capacity that a server of the age has.
func (s SlowStart) capacityFraction(age time.Duration) float64 {
	if age >= s.Duration || s.Duration <= 0 {
		return 1
	}
	return s.InitialFraction + (1-s.InitialFraction)*float64(max(0, age))/float64(s.Duration)
}

// Server is a Node that executes attempts: workers, each with one attempt at a time, and a
// queue. Service times are exponentially distributed, and longer during slow start.
type Server struct {
	SlowStart   SlowStart
	Workers     int
	ServiceTime time.Duration // mean, at full capacity
	QueueLimit  int           // attempts that may wait
	UniformWork bool          // every attempt takes the mean

	Crashes  int // from overload during slow start
	Executed int // attempts

	up             bool
	started        time.Duration
	rng            *rand.Rand
	running        []job
	waiting        []job
	recentArrivals []time.Duration // within OverloadDuration, during slow start
	outbox         []Message
}

// job is an attempt at a server.
type job struct {
	from      int // place of its sidecar
	attemptID attemptID
	end       time.Duration // of its execution
}

// attemptID identifies an attempt of one sidecar.
type attemptID struct {
	id      uint64 // of the request
	attempt int    // index
}

// result is a server's answer.
type result struct {
	attemptID
	status status
}

// status is what became of an attempt.
type status uint8

const (
	executed      status = iota
	rejected             // without execution, because the queue was full
	connectFailed        // the server is down
)

// Capacity is how many attempts a second the server executes at full capacity.
func (s *Server) Capacity() float64 { return float64(s.Workers) / s.ServiceTime.Seconds() }

// Start starts the server, which begins its slow start.
func (s *Server) Start(now time.Duration, rng *rand.Rand) {
	s.up = true
	s.started = now
	s.rng = rng
	s.recentArrivals = s.recentArrivals[:0]
}

// Stop stops the server; attempts that run or wait there are lost.
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

// Tick implements Node: it answers what has been executed and begins what waits.
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

// begin begins the execution of an attempt.
func (s *Server) begin(now time.Duration, j job) {
	serviceTime := float64(s.ServiceTime) / s.SlowStart.capacityFraction(now-s.started)
	if !s.UniformWork {
		serviceTime *= s.rng.ExpFloat64()
	}
	j.end = now + max(time.Microsecond, time.Duration(serviceTime))
	s.running = append(s.running, j)
}

// answer sends the status of an attempt.
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

// overloaded counts an arrival and reports whether it crashes a server in slow start: more
// than N + 3 sqrt(N) + 3 within OverloadDuration, where N is the number it can bear.
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
	bearable := s.SlowStart.OverloadFactor * s.Capacity() * s.SlowStart.capacityFraction(age) * s.SlowStart.OverloadDuration.Seconds()
	return float64(len(s.recentArrivals)) > bearable+3*math.Sqrt(bearable)+3
}

// Out implements Node.
func (s *Server) Out(send func(Message)) {
	for _, m := range s.outbox {
		send(m)
	}
	s.outbox = s.outbox[:0]
}
