package shop

import (
	"fmt"
	"io"
	"math"
	"net/http"
	"sync"
	"time"
)

// Ramp is servers that start cold and warm up, for NewWith: a few workers, a short queue,
// and more than the overload rule allows fells one for good.
type Ramp struct {
	Workers int
	Work    time.Duration // of a request at a warm server
	Queue   int
	From    float64 // share of its capacity that a fresh one has
	For     time.Duration
	Factor  float64 // sent more than this multiple of its capacity of the time ...
	Window  time.Duration

	mu      sync.Mutex
	started time.Time // zero: warm
	servers map[string]*coldServer
}

type coldServer struct {
	slots  chan struct{}
	held   int
	recent []time.Time
	fell   bool
}

// Restart makes all servers cold from now on, and up.
func (r *Ramp) Restart(at time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.started, r.servers = at, nil
}

// Fallen is how many servers fell.
func (r *Ramp) Fallen() (n int) {
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
// is turned away unseen.
func (r *Ramp) take(name string, now time.Time) (s *coldServer, work time.Duration, ok bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if s = r.servers[name]; s == nil {
		if r.servers == nil {
			r.servers = make(map[string]*coldServer)
		}
		s = &coldServer{slots: make(chan struct{}, r.Workers)}
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
	if s.fell || s.held >= r.Workers+r.Queue {
		return s, 0, false
	}
	s.held++
	return s, time.Duration(float64(r.Work) / warmth), true
}

// Serve is for NewWith.
func (r *Ramp) Serve(s *Shop, name string, w http.ResponseWriter, q *http.Request) {
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
	at.held--
	r.mu.Unlock()
	fmt.Fprintf(w, "%s by %s", id, name)
}
