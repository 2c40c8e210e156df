package shop

import (
	"fmt"
	"io"
	"math"
	"net/http"
	"sync"
	"time"
)

// SlowStart simulates servers with slow start; its method Serve is passed to NewWith. Each server
// has a few workers and a short queue, and its capacity grows linearly after a start. A server
// that receives more than the overload rule allows during slow start fails permanently: it rejects
// all requests until Restart. The rule: within Window, a server may receive Factor times the
// number of requests that it can handle at its current capacity, plus a tolerance for chance.
type SlowStart struct {
	Workers int           // requests that a server handles at the same time
	Work    time.Duration // time to handle a request at full capacity
	Queue   int           // requests that wait for a worker; others are rejected
	From    float64       // share of the full capacity at the start, above 0 and at most 1
	For     time.Duration // time from the start to full capacity
	Factor  float64       // of the overload rule
	Window  time.Duration // of the overload rule

	mu      sync.Mutex
	started time.Time                   // zero: all servers have full capacity
	servers map[string]*slowStartServer // by name
}

// slowStartServer is the state of one server, guarded by SlowStart.mu.
type slowStartServer struct {
	slots    chan struct{} // holds a value for each busy worker
	inFlight int           // requests that are queued or being handled
	recent   []time.Time   // arrivals within the window, during slow start
	failed   bool
}

// Restart simulates a restart of all servers at the given time: they are in slow start, and none has
// failed.
func (r *SlowStart) Restart(at time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.started, r.servers = at, nil
}

// FailedServers returns the number of servers that have failed since the last Restart.
func (r *SlowStart) FailedServers() (n int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, s := range r.servers {
		if s.failed {
			n++
		}
	}
	return n
}

// admit admits a request to a server and returns the time that the server takes to handle it; ok is
// false if the server rejects it without handling it.
func (r *SlowStart) admit(name string, now time.Time) (s *slowStartServer, work time.Duration, ok bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if s = r.servers[name]; s == nil {
		if r.servers == nil {
			r.servers = make(map[string]*slowStartServer)
		}
		s = &slowStartServer{slots: make(chan struct{}, r.Workers)}
		r.servers[name] = s
	}
	capacityShare, age := 1.0, now.Sub(r.started)
	if inSlowStart := !r.started.IsZero() && age < r.For; inSlowStart {
		capacityShare = r.From + (1-r.From)*float64(age)/float64(r.For)
		s.recent = append(s.recent, now)
		for now.Sub(s.recent[0]) > r.Window {
			s.recent = s.recent[1:]
		}
		allowed := r.Factor * float64(r.Workers) / r.Work.Seconds() * capacityShare * r.Window.Seconds()
		s.failed = s.failed || float64(len(s.recent)) > allowed+3*math.Sqrt(allowed)+3
	}
	if s.failed || s.inFlight >= r.Workers+r.Queue {
		return s, 0, false
	}
	s.inFlight++
	return s, time.Duration(float64(r.Work) / capacityShare), true
}

// Serve handles a request to the server with the given name. It is passed to NewWith as serve.
func (r *SlowStart) Serve(s *Shop, name string, w http.ResponseWriter, request *http.Request) {
	id := request.Header.Get("Req-Id")
	io.Copy(io.Discard, request.Body)
	server, work, ok := r.admit(name, time.Now())
	if !ok {
		w.Header().Set("Srv-Declined", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	server.slots <- struct{}{}
	s.CountRun(id)
	time.Sleep(work)
	<-server.slots
	r.mu.Lock()
	server.inFlight--
	r.mu.Unlock()
	fmt.Fprintf(w, "%s by %s", id, name)
}
