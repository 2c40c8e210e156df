package e2e

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"

	"martendrum/internal/fleet/control/client"
)

// retryingClients sends requests, retries them as Retry-After says until their deadline, and keeps
// the outcomes.
type retryingClients struct {
	stop chan struct{}
	wg   sync.WaitGroup

	mu   sync.Mutex
	all  []clientRequest
	lost []string
	down map[string][]time.Time // when an instance was killed
	once map[string]bool        // ids of requests that must not run twice
}

type clientRequest struct {
	at    time.Time
	class int
	good  bool
}

var requestClasses = []struct {
	path         string
	share, worth float64
	limit        time.Duration
}{{"status-check", 0.5, 1, 3 * time.Second}, {"id-register", 0.3, 3, 2500 * time.Millisecond}, {"activate", 0.2, 10, 2500 * time.Millisecond}}

// startClients sends perSecond requests a second to each instance until stopAndWait.
func (p *recoveryWorld) startClients(perSecond float64) *retryingClients {
	v := &retryingClients{stop: make(chan struct{}), down: make(map[string][]time.Time), once: make(map[string]bool)}
	for _, h := range p.hosts {
		for name, addr := range h.listenAddresses {
			v.wg.Go(func() {
				rng := rand.New(rand.NewPCG(uint64(p.rank[name]), 5))
				for n := 0; ; n++ {
					select {
					case <-v.stop:
						return
					case <-time.After(time.Duration(rng.ExpFloat64() / perSecond * float64(time.Second))):
					}
					x, class := rng.Float64(), 0
					for x > requestClasses[class].share && class < len(requestClasses)-1 {
						x -= requestClasses[class].share
						class++
					}
					v.wg.Go(func() { v.client(name, addr, n, class) })
				}
			})
		}
	}
	p.t.Cleanup(v.stopAndWait)
	return v
}

func (v *retryingClients) stopAndWait() {
	v.mu.Lock()
	select {
	case <-v.stop:
	default:
		close(v.stop)
	}
	v.mu.Unlock()
	v.wg.Wait()
}

// client retries one request until it is served, rejected for good, or past its deadline.
func (v *retryingClients) client(name, addr string, n, class int) {
	began := time.Now()
	end := began.Add(requestClasses[class].limit)
	good := false
	for try := 0; ; try++ {
		id := fmt.Sprintf("%s-%d-%d", name, n, try)
		status, after := v.attempt(name, addr, id, class, end)
		good = status == http.StatusOK
		if good || status != http.StatusServiceUnavailable && status != 0 {
			break
		}
		if time.Now().Add(after).After(end) {
			break
		}
		time.Sleep(max(after, 50*time.Millisecond)) // who found nobody there comes back at once
	}
	v.mu.Lock()
	defer v.mu.Unlock()
	v.all = append(v.all, clientRequest{began, class, good})
}

// attempt sends a request once. A status of 0 means that no server accepted it.
func (v *retryingClients) attempt(name, addr, id string, class int, end time.Time) (status int, after time.Duration) {
	nc, err := net.DialTimeout("tcp", addr, time.Second)
	if err != nil {
		return 0, 0
	}
	defer nc.Close()
	nc.SetDeadline(end.Add(3 * time.Second))
	c := requestClasses[class]
	head := fmt.Sprintf("Host: app\r\nReq-Kind: %s\r\nConnection: close\r\nReq-Id: %s\r\nReq-Deadline-Ms: %d\r\n", c.path, id, max(1, time.Until(end).Milliseconds()))
	switch class {
	case 0:
		head = "GET /status-check HTTP/1.1\r\n" + head + "\r\n"
	case 1:
		head = "POST /id-register HTTP/1.1\r\n" + head + "Idempotency-Key: " + id + "\r\nContent-Length: 4\r\n\r\ncard"
	default:
		head = "POST /activate HTTP/1.1\r\n" + head + "Content-Length: 4\r\n\r\ncard"
		v.mu.Lock()
		v.once[id] = true
		v.mu.Unlock()
	}
	if _, err := io.WriteString(nc, head); err != nil {
		return 0, 0
	}
	wrote := time.Now()
	resp, err := http.ReadResponse(bufio.NewReader(nc), nil)
	if err == nil {
		_, err = io.Copy(io.Discard, resp.Body)
	}
	if err != nil {
		v.mu.Lock()
		defer v.mu.Unlock()
		for _, k := range v.down[name] {
			if k.After(wrote.Add(-time.Second)) && k.Before(time.Now().Add(time.Second)) {
				return http.StatusBadGateway, 0 // it was killed: nobody can say what became of it
			}
		}
		v.lost = append(v.lost, fmt.Sprintf("%s: %v", id, err))
		return http.StatusBadGateway, 0
	}
	seconds, _ := strconv.ParseFloat(resp.Header.Get("Retry-After"), 64)
	return resp.StatusCode, time.Duration(seconds * float64(time.Second))
}

func (v *retryingClients) markKilled(hosts ...*host) {
	v.mu.Lock()
	defer v.mu.Unlock()
	for _, h := range hosts {
		for _, name := range h.instances {
			v.down[name] = append(v.down[name], time.Now())
		}
	}
}

// servedFraction returns the fraction of the weight offered within a span that was served, of one
// class or, below 0, of all.
func (v *retryingClients) servedFraction(class int, from time.Time, span time.Duration) float64 {
	v.mu.Lock()
	defer v.mu.Unlock()
	offered, served := 0.0, 0.0
	for _, x := range v.all {
		if x.at.Before(from) || !x.at.Before(from.Add(span)) || class >= 0 && x.class != class {
			continue
		}
		offered += requestClasses[x.class].worth
		if x.good {
			served += requestClasses[x.class].worth
		}
	}
	return served / max(offered, 1)
}

// checkRules checks by the records of servers and clients that no request was lost or ran twice,
// and that no server in slow start was overloaded.
func (p *recoveryWorld) checkRules(v *retryingClients) {
	p.t.Helper()
	v.stopAndWait()
	if len(v.lost) > 0 {
		p.t.Errorf("%d requests lost, as %s", len(v.lost), v.lost[0])
	}
	for id, n := range p.shop.Runs() {
		if v.once[id] && n > 1 {
			p.t.Errorf("%s ran %d times", id, n)
		}
	}
	if n := p.slowStart.Fallen(); n > 0 {
		p.t.Errorf("%d servers in slow start were overloaded", n)
	}
}

// waitRecovered waits until nine tenths of the weight offered within two seconds are served, and
// returns how long after from that was.
func (p *recoveryWorld) waitRecovered(v *retryingClients, from time.Time) time.Duration {
	p.t.Helper()
	const span = 2 * time.Second
	at := from
	eventually(p.t, "nine tenths of the weight served", func() bool {
		for ; time.Since(at) > span+3*time.Second; at = at.Add(500 * time.Millisecond) {
			if v.servedFraction(-1, at, span) >= 0.9 {
				return true
			}
		}
		return false
	})
	return at.Sub(from)
}

// checkWaves checks that on each host the first instance of every shop was started before the
// second one of any.
func (p *recoveryWorld) checkWaves(states []client.HostState) {
	p.t.Helper()
	for _, h := range states {
		first, second := make(map[string]time.Time), make(map[string]time.Time)
		for _, i := range h.Instances {
			s := i.Labels["shop"]
			switch at, there := first[s]; {
			case !there:
				first[s] = i.Launched
			case i.Launched.Before(at):
				first[s], second[s] = i.Launched, at
			default:
				second[s] = i.Launched
			}
		}
		for a, late := range first {
			for b, early := range second {
				if early.Before(late) {
					p.t.Errorf("%s: %s had two before %s had one", h.Host.Name, b, a)
				}
			}
		}
	}
}
