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

// trafficClients sends requests to every instance until stop, each on a new connection, and keeps which
// were lost.
type trafficClients struct {
	wg     sync.WaitGroup
	end    chan struct{}
	mu     sync.Mutex
	kills  map[string][]time.Time
	sent   int
	served int
	lost   []string
}

// shutdownRace is how long before a sidecar's end a request may be written that the sidecar no
// longer accepts: it closes its listener 700 ms after SIGTERM, and a client that connects at that
// moment is not served. Any request from before SIGTERM is older.
const shutdownRace = 400 * time.Millisecond

func (w *world) startTraffic(each time.Duration) *trafficClients {
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
					case <-time.After(each/2 + rand.N(each)):
					}
					c.send(name, addr, fmt.Sprintf("%s-%d", name, id), id%2 == 0)
				}
			})
		}
	}
	return c
}

func (c *trafficClients) send(name, addr, id string, activate bool) {
	nc, err := net.DialTimeout("tcp", addr, time.Second)
	if err != nil {
		return // nobody there: nothing was taken
	}
	defer nc.Close()
	nc.SetDeadline(time.Now().Add(10 * time.Second))
	req := "GET /status-check HTTP/1.1\r\nHost: app\r\nReq-Kind: status-check\r\nConnection: close\r\nReq-Id: " + id + "\r\n\r\n"
	if activate {
		req = "POST /activate HTTP/1.1\r\nHost: app\r\nReq-Kind: activate\r\nConnection: close\r\nContent-Length: 4\r\nReq-Id: " + id + "\r\n\r\ncard"
	}
	if _, err := io.WriteString(nc, req); err != nil {
		return // not all of it was taken
	}
	wrote := time.Now()
	b, err := io.ReadAll(nc)
	got := time.Now()
	whole := err == nil && strings.HasPrefix(string(b), "HTTP/1.1 ")
	c.mu.Lock()
	defer c.mu.Unlock()
	c.sent++
	switch {
	case whole && strings.HasPrefix(string(b), "HTTP/1.1 200"):
		c.served++
		if !strings.Contains(string(b), id) {
			c.lost = append(c.lost, fmt.Sprintf("%s got another's answer", id))
		}
	case whole: // refused or failed: an answer
	default:
		for _, k := range c.kills[name] {
			if k.After(wrote.Add(-time.Second)) && k.Before(got.Add(time.Second)) {
				return // it was killed, which is no sidecar's fault
			}
		}
		if got.Sub(wrote) > shutdownRace {
			c.lost = append(c.lost, fmt.Sprintf("%s: no answer %v after it was sent: %v", id, got.Sub(wrote), err))
		}
	}
}

func (c *trafficClients) killed(name string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.kills[name] = append(c.kills[name], time.Now())
}

func (c *trafficClients) stop() {
	close(c.end)
	c.wg.Wait()
}
