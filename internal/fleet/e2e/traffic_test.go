package e2e

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"strings"
	"sync"
	"time"
)

// trafficClients sends requests to every instance until stop, each on a new connection and without
// retries, and records which were lost.
type trafficClients struct {
	wg     sync.WaitGroup
	end    chan struct{}
	mu     sync.Mutex
	kills  map[string][]time.Time // times at which an instance was killed, by its name
	sent   int
	served int
	lost   []string // ids and faults of lost requests
}

// shutdownRace is the age up to which a request without a response does not count as lost. A
// sidecar closes its listener 700 ms after SIGTERM, and a client that connects at that moment is
// not served. A request that was sent before SIGTERM is older than shutdownRace when its connection
// ends.
const shutdownRace = 400 * time.Millisecond

// startTraffic starts clients that send requests to each instance, one per interval on average.
// Every second request is an activate, the others are a status-check.
func (w *world) startTraffic(interval time.Duration) *trafficClients {
	c := &trafficClients{end: make(chan struct{}), kills: make(map[string][]time.Time)}
	n := 0
	for _, h := range w.hosts {
		for name, addr := range h.listenAddresses {
			n++
			c.wg.Go(func() {
				for id := 0; ; id++ {
					select {
					case <-c.end:
						return
					case <-time.After(interval/2 + rand.N(interval)):
					}
					c.send(name, addr, fmt.Sprintf("%s-%d", name, id), id%2 == 0)
				}
			})
		}
	}
	return c
}

// send sends one request to an instance and records its outcome.
func (c *trafficClients) send(name, addr, id string, activate bool) {
	nc, err := net.DialTimeout("tcp", addr, time.Second)
	if err != nil {
		return // no process accepts connections, so the request was not sent
	}
	defer nc.Close()
	nc.SetDeadline(time.Now().Add(10 * time.Second))
	req := "GET /status-check HTTP/1.1\r\nHost: app\r\nReq-Kind: status-check\r\nConnection: close\r\nReq-Id: " + id + "\r\n\r\n"
	if activate {
		req = "POST /activate HTTP/1.1\r\nHost: app\r\nReq-Kind: activate\r\nConnection: close\r\nContent-Length: 4\r\nReq-Id: " + id + "\r\n\r\ncard"
	}
	if _, err := io.WriteString(nc, req); err != nil {
		return // the request was not sent completely
	}
	wrote := time.Now()
	response, err := io.ReadAll(nc)
	ended := time.Now()
	complete := err == nil && strings.HasPrefix(string(response), "HTTP/1.1 ")
	c.mu.Lock()
	defer c.mu.Unlock()
	c.sent++
	switch {
	case complete && strings.HasPrefix(string(response), "HTTP/1.1 200"):
		c.served++
		if !strings.Contains(string(response), id) {
			c.lost = append(c.lost, fmt.Sprintf("%s: got the response to another request", id))
		}
	case complete: // a response with another status than 200 is no loss
	default:
		for _, killed := range c.kills[name] {
			if killed.After(wrote.Add(-time.Second)) && killed.Before(ended.Add(time.Second)) {
				return // the instance was killed, so the loss is no fault of the sidecar
			}
		}
		if ended.Sub(wrote) > shutdownRace {
			c.lost = append(c.lost, fmt.Sprintf("%s: connection ended without a response %v after the request: %v", id, ended.Sub(wrote), err))
		}
	}
}

// markKilled records that an instance is being killed now.
func (c *trafficClients) markKilled(name string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.kills[name] = append(c.kills[name], time.Now())
}

// stop stops the clients and waits for their requests to end. It may be called once.
func (c *trafficClients) stop() {
	close(c.end)
	c.wg.Wait()
}
