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

// retryingClients sends requests, retries each until its deadline with the delays of the
// Retry-After header, and records the outcomes.
type retryingClients struct {
	stop chan struct{}
	wg   sync.WaitGroup

	mu            sync.Mutex
	requests      []clientRequest        // requests that have ended
	lost          []string               // attempts without a response whose instance was not killed
	killed        map[string][]time.Time // times at which an instance was killed, by its name
	notIdempotent map[string]bool        // ids of attempts that must not run twice
}

// clientRequest is the outcome of one request, with all its attempts.
type clientRequest struct {
	began  time.Time
	class  int // index into requestClasses
	served bool
}

// requestClasses are the classes of the clients' requests.
var requestClasses = []struct {
	name          string
	share, weight float64       // fraction of all requests; weight of each request in servedFraction
	timeout       time.Duration // from the first attempt
}{{"status-check", 0.5, 1, 3 * time.Second}, {"id-register", 0.3, 3, 2500 * time.Millisecond}, {"activate", 0.2, 10, 2500 * time.Millisecond}}

// startClients starts clients that send requests until stopAndWait. Each instance gets perSecond
// requests per second on average, not counting retries.
func (w *recoveryWorld) startClients(perSecond float64) *retryingClients {
	clients := &retryingClients{stop: make(chan struct{}), killed: make(map[string][]time.Time), notIdempotent: make(map[string]bool)}
	for _, h := range w.hosts {
		for name, addr := range h.listenAddresses {
			clients.wg.Go(func() {
				rng := rand.New(rand.NewPCG(uint64(w.rank[name]), 5))
				for n := 0; ; n++ {
					select {
					case <-clients.stop:
						return
					case <-time.After(time.Duration(rng.ExpFloat64() / perSecond * float64(time.Second))):
					}
					x, class := rng.Float64(), 0
					for x > requestClasses[class].share && class < len(requestClasses)-1 {
						x -= requestClasses[class].share
						class++
					}
					clients.wg.Go(func() { clients.sendUntilServed(name, addr, n, class) })
				}
			})
		}
	}
	w.t.Cleanup(clients.stopAndWait)
	return clients
}

// stopAndWait stops the clients and waits for their requests to end. It may be called repeatedly.
func (r *retryingClients) stopAndWait() {
	r.mu.Lock()
	select {
	case <-r.stop:
	default:
		close(r.stop)
	}
	r.mu.Unlock()
	r.wg.Wait()
}

// sendUntilServed sends request n to an instance. It retries while the instance does not accept the
// request or the status is 503, until the request's deadline.
func (r *retryingClients) sendUntilServed(name, addr string, n, class int) {
	began := time.Now()
	end := began.Add(requestClasses[class].timeout)
	served := false
	for try := 0; ; try++ {
		id := fmt.Sprintf("%s-%d-%d", name, n, try)
		status, after := r.attempt(name, addr, id, class, end)
		served = status == http.StatusOK
		if served || status != http.StatusServiceUnavailable && status != 0 {
			break
		}
		if time.Now().Add(after).After(end) {
			break
		}
		time.Sleep(max(after, 50*time.Millisecond)) // without a Retry-After, retry after 50 ms
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.requests = append(r.requests, clientRequest{began, class, served})
}

// attempt sends a request once and returns the status and the Retry-After time of the response. A
// status of 0 means that the instance did not accept the request, and 502 that the connection ended
// without a response.
func (r *retryingClients) attempt(name, addr, id string, class int, end time.Time) (status int, after time.Duration) {
	nc, err := net.DialTimeout("tcp", addr, time.Second)
	if err != nil {
		return 0, 0
	}
	defer nc.Close()
	nc.SetDeadline(end.Add(3 * time.Second))
	requestClass := requestClasses[class]
	head := fmt.Sprintf("Host: app\r\nReq-Kind: %s\r\nConnection: close\r\nReq-Id: %s\r\nReq-Deadline-Ms: %d\r\n", requestClass.name, id, max(1, time.Until(end).Milliseconds()))
	switch class {
	case 0:
		head = "GET /status-check HTTP/1.1\r\n" + head + "\r\n"
	case 1:
		head = "POST /id-register HTTP/1.1\r\n" + head + "Idempotency-Key: " + id + "\r\nContent-Length: 4\r\n\r\ncard"
	default:
		head = "POST /activate HTTP/1.1\r\n" + head + "Content-Length: 4\r\n\r\ncard"
		r.mu.Lock()
		r.notIdempotent[id] = true
		r.mu.Unlock()
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
		r.mu.Lock()
		defer r.mu.Unlock()
		for _, killed := range r.killed[name] {
			if killed.After(wrote.Add(-time.Second)) && killed.Before(time.Now().Add(time.Second)) {
				return http.StatusBadGateway, 0 // the instance was killed: the request may have run or not
			}
		}
		r.lost = append(r.lost, fmt.Sprintf("%s: %v", id, err))
		return http.StatusBadGateway, 0
	}
	seconds, _ := strconv.ParseFloat(resp.Header.Get("Retry-After"), 64)
	return resp.StatusCode, time.Duration(seconds * float64(time.Second))
}

// markKilled records that all instances of the hosts are being killed now.
func (r *retryingClients) markKilled(hosts ...*host) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, h := range hosts {
		for _, name := range h.instances {
			r.killed[name] = append(r.killed[name], time.Now())
		}
	}
}

// servedFraction returns the fraction of the requests that was served, by weight, among those that
// began within the span after from. It counts one class or, if class is below 0, all.
func (r *retryingClients) servedFraction(class int, from time.Time, span time.Duration) float64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	offered, served := 0.0, 0.0
	for _, request := range r.requests {
		if request.began.Before(from) || !request.began.Before(from.Add(span)) || class >= 0 && request.class != class {
			continue
		}
		offered += requestClasses[request.class].weight
		if request.served {
			served += requestClasses[request.class].weight
		}
	}
	return served / max(offered, 1)
}

// checkNoHarm stops the clients and checks, by the records of servers and clients, that no request
// was lost or ran twice and that no server in slow start was overloaded.
func (w *recoveryWorld) checkNoHarm(clients *retryingClients) {
	w.t.Helper()
	clients.stopAndWait()
	if len(clients.lost) > 0 {
		w.t.Errorf("%d requests were lost, want 0; the first: %s", len(clients.lost), clients.lost[0])
	}
	for id, n := range w.shop.Runs() {
		if clients.notIdempotent[id] && n > 1 {
			w.t.Errorf("request %s, which is not idempotent, ran %d times, want at most 1", id, n)
		}
	}
	if n := w.slowStart.FailedServers(); n > 0 {
		w.t.Errorf("%d servers in slow start were overloaded, want 0", n)
	}
}

// waitRecovered waits for the first span of two seconds, tried each half second after from, in
// which nine tenths of the requests, by weight, are served. It returns how long after from that
// span begins.
func (w *recoveryWorld) waitRecovered(clients *retryingClients, from time.Time) time.Duration {
	w.t.Helper()
	const span = 2 * time.Second
	at := from
	eventually(w.t, "nine tenths of the requests, by weight, to be served", func() bool {
		for ; time.Since(at) > span+3*time.Second; at = at.Add(500 * time.Millisecond) {
			if clients.servedFraction(-1, at, span) >= 0.9 {
				return true
			}
		}
		return false
	})
	return at.Sub(from)
}

// checkWaves checks the order in which instances were restarted: on each host the first instance of
// every shop was started before the second instance of any shop.
func (w *recoveryWorld) checkWaves(states []client.HostState) {
	w.t.Helper()
	for _, h := range states {
		first, second := make(map[string]time.Time), make(map[string]time.Time)
		for _, i := range h.Instances {
			shop := i.Labels["shop"]
			switch launched, found := first[shop]; {
			case !found:
				first[shop] = i.Launched
			case i.Launched.Before(launched):
				first[shop], second[shop] = i.Launched, launched
			default:
				second[shop] = i.Launched
			}
		}
		for shop, firstLaunch := range first {
			for other, secondLaunch := range second {
				if secondLaunch.Before(firstLaunch) {
					w.t.Errorf("%s: the second instance of %s was started before the first one of %s", h.Host.Name, other, shop)
				}
			}
		}
	}
}
