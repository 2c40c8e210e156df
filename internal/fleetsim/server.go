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
	From   float64 // share of its capacity that a fresh one has
	For    time.Duration
	Factor float64 // it falls when sent more than this multiple of its capacity of the time
	Window time.Duration
}

// capacityFraction is the share of its capacity that a server of that age has.
func (r SlowStart) capacityFraction(age time.Duration) float64 {
	if age >= r.For || r.For <= 0 {
		return 1
	}
	return r.From + (1-r.From)*float64(max(0, age))/float64(r.For)
}

// Server is a server with a queue: workers that each take a request for a time drawn
// about the mean, longer while it is cold.
type Server struct {
	Ramp    SlowStart
	Workers int
	Work    time.Duration // mean, of a warm one
	Queue   int           // requests that may wait
	Even    bool          // each takes just the mean

	Fallen int // how often it fell while cold
	Ran    int // requests that it has carried out

	up      bool
	started time.Duration
	rng     *rand.Rand
	running []job
	waiting []job
	recent  []time.Duration // arrivals within the window, while cold
	out     []Message
}

// job is an attempt at a server.
type job struct {
	from int
	try  try
	ends time.Duration
}

// try is what goes to a server, and comes back.
type try struct {
	id      uint64
	attempt int
}

// result is a server's answer.
type result struct {
	try
	what outcome
}

type outcome uint8

const (
	served  outcome = iota
	full            // turned away unseen
	refused         // no connection
)

// Capacity is how many requests a second it can carry out when warm.
func (s *Server) Capacity() float64 { return float64(s.Workers) / s.Work.Seconds() }

// Up starts it cold, Down ends it and all that it had.
func (s *Server) Up(now time.Duration, rng *rand.Rand) {
	s.up, s.started, s.rng = true, now, rng
	s.recent = s.recent[:0]
}

// Down stops the server; requests that run or wait there are lost.
func (s *Server) Down() { s.up, s.running, s.waiting = false, nil, nil }

// Due implements Node.
func (s *Server) Due() time.Duration {
	due := Never
	for _, j := range s.running {
		due = min(due, j.ends)
	}
	return due
}

// Tick implements Node: what has been carried out is answered.
func (s *Server) Tick(now time.Duration) {
	s.running = slices.DeleteFunc(s.running, func(j job) bool {
		if j.ends > now {
			return false
		}
		s.Ran++
		s.answer(j, served)
		return true
	})
	for len(s.waiting) > 0 && len(s.running) < s.Workers {
		s.begin(now, s.waiting[0])
		s.waiting = s.waiting[1:]
	}
}

func (s *Server) begin(now time.Duration, j job) {
	took := float64(s.Work) / s.Ramp.capacityFraction(now-s.started)
	if !s.Even {
		took *= s.rng.ExpFloat64()
	}
	j.ends = now + max(time.Microsecond, time.Duration(took))
	s.running = append(s.running, j)
}

func (s *Server) answer(j job, o outcome) {
	s.out = append(s.out, Message{To: j.from, Body: result{j.try, o}})
}

// Receive implements Node.
func (s *Server) Receive(now time.Duration, from int, msg any) {
	j := job{from: from, try: msg.(try)}
	if !s.up {
		s.answer(j, refused)
		return
	}
	if s.strained(now) {
		s.Fallen++
		s.Down()
		s.answer(j, refused)
		return
	}
	switch {
	case len(s.running) < s.Workers:
		s.begin(now, j)
	case len(s.waiting) < s.Queue:
		s.waiting = append(s.waiting, j)
	default:
		s.answer(j, full)
	}
}

// strained counts an arrival and says whether it fells a cold server: more than N + 3
// roots of N + 3 within the window, N being what it may get then.
func (s *Server) strained(now time.Duration) bool {
	age := now - s.started
	if age >= s.Ramp.For {
		s.recent = nil
		return false
	}
	s.recent = append(s.recent, now)
	for len(s.recent) > 0 && now-s.recent[0] > s.Ramp.Window {
		s.recent = s.recent[1:]
	}
	n := s.Ramp.Factor * s.Capacity() * s.Ramp.capacityFraction(age) * s.Ramp.Window.Seconds()
	return float64(len(s.recent)) > n+3*math.Sqrt(n)+3
}

// Out implements Node.
func (s *Server) Out(send func(Message)) {
	for _, m := range s.out {
		send(m)
	}
	s.out = s.out[:0]
}
