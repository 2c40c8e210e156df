package fleetsim

import (
	"math"
	"math/rand/v2"
	"slices"
	"time"
)

// Epoch is the Unix time at which a world begins: balancers and lists speak of Unix time.
const Epoch = 1_000_000 * time.Hour

// SlowStart is how servers warm up, and what fells one that is cold.
type SlowStart struct {
	InitialFraction  float64 // share of its capacity that a fresh one has
	Duration         time.Duration
	OverloadFactor   float64 // it falls when sent more than this multiple of its capacity of the time
	OverloadDuration time.Duration
}

// capacityFraction is the share of its capacity that a server of that age has.
func (r SlowStart) capacityFraction(age time.Duration) float64 {
	if age >= r.Duration || r.Duration <= 0 {
		return 1
	}
	return r.InitialFraction + (1-r.InitialFraction)*float64(max(0, age))/float64(r.Duration)
}

// Server is a server with a queue: workers that each take a request for a time drawn
// about the mean, longer while it is cold.
type Server struct {
	SlowStart   SlowStart
	Workers     int
	ServiceTime time.Duration // mean, of a warm one
	QueueLimit  int           // requests that may wait
	UniformWork bool          // each takes just the mean

	Crashes  int // how often it fell while cold
	Executed int // requests that it has carried out

	up             bool
	started        time.Duration
	rng            *rand.Rand
	running        []job
	waiting        []job
	recentArrivals []time.Duration // arrivals within the window, while cold
	outbox         []Message
}

// job is an attempt at a server.
type job struct {
	from      int
	attemptID attemptID
	end       time.Duration
}

// attemptID is what goes to a server, and comes back.
type attemptID struct {
	id      uint64
	attempt int
}

// result is a server's answer.
type result struct {
	attemptID
	status status
}

type status uint8

const (
	executed      status = iota
	rejected             // turned away unseen
	connectFailed        // no connection
)

// Capacity is how many requests a second it can carry out when warm.
func (s *Server) Capacity() float64 { return float64(s.Workers) / s.ServiceTime.Seconds() }

// Start starts it cold, Down ends it and all that it had.
func (s *Server) Start(now time.Duration, rng *rand.Rand) {
	s.up, s.started, s.rng = true, now, rng
	s.recentArrivals = s.recentArrivals[:0]
}

// Stop stops the server; requests that run or wait there are lost.
func (s *Server) Stop() { s.up, s.running, s.waiting = false, nil, nil }

// Due implements Node.
func (s *Server) Due() time.Duration {
	due := Never
	for _, j := range s.running {
		due = min(due, j.end)
	}
	return due
}

// Tick implements Node: what has been carried out is answered.
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

func (s *Server) begin(now time.Duration, j job) {
	took := float64(s.ServiceTime) / s.SlowStart.capacityFraction(now-s.started)
	if !s.UniformWork {
		took *= s.rng.ExpFloat64()
	}
	j.end = now + max(time.Microsecond, time.Duration(took))
	s.running = append(s.running, j)
}

func (s *Server) answer(j job, o status) {
	s.outbox = append(s.outbox, Message{To: j.from, Body: result{j.attemptID, o}})
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

// overloaded counts an arrival and says whether it fells a cold server: more than N + 3
// roots of N + 3 within the window, N being what it may get then.
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
	n := s.SlowStart.OverloadFactor * s.Capacity() * s.SlowStart.capacityFraction(age) * s.SlowStart.OverloadDuration.Seconds()
	return float64(len(s.recentArrivals)) > n+3*math.Sqrt(n)+3
}

// Out implements Node.
func (s *Server) Out(send func(Message)) {
	for _, m := range s.outbox {
		send(m)
	}
	s.outbox = s.outbox[:0]
}
