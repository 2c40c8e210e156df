package shop

import (
	"fmt"
	"io"
	"math"
	"net/http"
	"sync"
	"time"
)

// SlowStart configures servers with slow start, for NewWith: a few workers, a short queue. A
// server that gets more than the overload rule allows fails for good.
type SlowStart struct {
	Workers int
	Work    time.Duration // of a request at a warm server
	Queue   int
	From    float64 // share of its capacity that a fresh one has
	For     time.Duration
	Factor  float64 // sent more than this multiple of its capacity of the time ...
	Window  time.Duration

	mu      sync.Mutex
	started time.Time // zero: warm
	servers map[string]*slowStartServer
}

type slowStartServer struct {
	slots    chan struct{}
	inFlight int
	recent   []time.Time
	fell     bool
}

// Restart starts all servers anew, in slow start.
func (r *SlowStart) Restart(at time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.started, r.servers = at, nil
}

// Fallen is how many servers fell.
func (r *SlowStart) Fallen() (n int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, s := range r.servers {
		if s.fell {
			n++
		}
	}
	return n
}

// take admits a request to a server and says how long it works on it; ok is false if it
// is rejected unseen.
func (r *SlowStart) take(name string, now time.Time) (s *slowStartServer, work time.Duration, ok bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if s = r.servers[name]; s == nil {
		if r.servers == nil {
			r.servers = make(map[string]*slowStartServer)
		}
		s = &slowStartServer{slots: make(chan struct{}, r.Workers)}
		r.servers[name] = s
	}
	warmth, age := 1.0, now.Sub(r.started)
	if cold := !r.started.IsZero() && age < r.For; cold {
		warmth = r.From + (1-r.From)*float64(age)/float64(r.For)
		s.recent = append(s.recent, now)
		for now.Sub(s.recent[0]) > r.Window {
			s.recent = s.recent[1:]
		}
		n := r.Factor * float64(r.Workers) / r.Work.Seconds() * warmth * r.Window.Seconds()
		s.fell = s.fell || float64(len(s.recent)) > n+3*math.Sqrt(n)+3
	}
	if s.fell || s.inFlight >= r.Workers+r.Queue {
		return s, 0, false
	}
	s.inFlight++
	return s, time.Duration(float64(r.Work) / warmth), true
}

// Serve is for NewWith.
func (r *SlowStart) Serve(s *Shop, name string, w http.ResponseWriter, q *http.Request) {
	id := q.Header.Get("Req-Id")
	io.Copy(io.Discard, q.Body)
	at, work, ok := r.take(name, time.Now())
	if !ok {
		w.Header().Set("Srv-Declined", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	at.slots <- struct{}{}
	s.Ran(id)
	time.Sleep(work)
	<-at.slots
	r.mu.Lock()
	at.inFlight--
	r.mu.Unlock()
	fmt.Fprintf(w, "%s by %s", id, name)
}
