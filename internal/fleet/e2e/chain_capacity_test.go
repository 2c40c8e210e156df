package e2e

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"martendrum/internal/standin/shop"
)

var (
	chainRate    = flag.Float64("chain-rate", 62, "calls per second that BenchmarkChainCapacity sends through each chain")
	chainWindow  = flag.Duration("chain-window", 60*time.Second, "how long BenchmarkChainCapacity and BenchmarkCallRateCapacity measure")
	chainServers = flag.String("chain-servers", "30,300,3000", "lengths of the server lists of BenchmarkChainCapacity, separated by commas")
)

// chainDepth is the number of applications in the chain of BenchmarkChainCapacity: the depth of the
// calls of the fleet.
const chainDepth = 7

// chainWarmup is how long calls run before they are measured, so that connections are open.
const chainWarmup = 5 * time.Second

// The two ways through a chain, as paths of requests. A path begins with the request's class.
const (
	throughSidecars = "/status-check/sidecars"
	direct          = "/status-check/direct"
)

// discoveryStandIn is a discovery service for tests. Like the platform's discovery, it sends a list
// of servers and then an empty line each second. Between those it sends the changes of the list that
// a test passes to it.
type discoveryStandIn struct {
	completeList []byte
	changes      chan []byte
	end          chan struct{} // closed to end all watches
}

// ServeHTTP implements http.Handler. A request watches the list until it ends; each change goes to
// one of the watches only.
func (d *discoveryStandIn) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	flusher := w.(http.Flusher)
	ticker := time.NewTicker(time.Second)
	defer ticker.Stop()
	line := d.completeList
	for {
		if _, err := w.Write(line); err != nil {
			return
		}
		flusher.Flush()
		select {
		case <-ticker.C:
			line = []byte("\n")
		case line = <-d.changes:
		case <-r.Context().Done():
			return
		case <-d.end:
			return
		}
	}
}

// chainEntry is a server in discovery's JSON format.
type chainEntry struct {
	Name    string  `json:"name"`
	Address string  `json:"address"`
	Zone    string  `json:"zone"`
	Status  string  `json:"status"`
	Weight  float64 `json:"weight"`
}

// chainList is a list of servers, or a change of one, in discovery's JSON format.
type chainList struct {
	Index     int          `json:"index"`
	Snapshot  bool         `json:"snapshot"`
	Endpoints []chainEntry `json:"endpoints"`
}

// line returns the list as a line of JSON.
func (l chainList) line(b *testing.B) []byte {
	b.Helper()
	line, err := json.Marshal(l)
	if err != nil {
		b.Fatal(err)
	}
	return append(line, '\n')
}

// startDiscovery starts a discovery service that lists one address under many server names. It
// returns the service and its own address.
func startDiscovery(b *testing.B, servers int, address string) (*discoveryStandIn, string) {
	b.Helper()
	list := chainList{Index: 1, Snapshot: true}
	for i := range servers {
		list.Endpoints = append(list.Endpoints, chainEntry{
			Name: fmt.Sprintf("server-%05d", i), Address: address, Zone: fmt.Sprintf("zone-%02d", i%27), Status: "up", Weight: 1,
		})
	}
	discovery := &discoveryStandIn{completeList: list.line(b), changes: make(chan []byte), end: make(chan struct{})}
	discoveryAddress := serveHTTP(b, discovery)
	b.Cleanup(func() { close(discovery.end) }) // runs before the server's shutdown, which waits for open watches
	return discovery, discoveryAddress
}

// serveHTTP serves HTTP on a loopback port until the benchmark ends, and returns the address.
func serveHTTP(b *testing.B, handler http.Handler) (address string) {
	b.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	server := &http.Server{Handler: handler, ReadHeaderTimeout: eventuallyTimeout, IdleTimeout: 2 * eventuallyTimeout}
	served := make(chan struct{})
	go func() {
		defer close(served)
		server.Serve(listener)
	}()
	b.Cleanup(func() {
		ctx, cancel := context.WithTimeout(context.Background(), eventuallyTimeout)
		defer cancel()
		if server.Shutdown(ctx) != nil {
			server.Close()
		}
		<-served
	})
	return listener.Addr().String()
}

// startSidecar starts a sidecar process and waits until it is ready. The sidecar may open enough
// sockets for a connection to each server of its working set.
func startSidecar(b *testing.B, name, discovery string) (pid int, listen string) {
	b.Helper()
	dir := b.TempDir()
	path, listen, err := new(shop.Shop).Config(dir, name, int(lastUnique.Add(1)))
	if err != nil {
		b.Fatal(err)
	}
	text, err := os.ReadFile(path)
	if err != nil {
		b.Fatal(err)
	}
	moreSockets := strings.Replace(string(text), `"sockets": 128`, `"sockets": 512`, 1)
	if err := os.WriteFile(path, []byte(moreSockets), 0o600); err != nil {
		b.Fatal(err)
	}
	command := exec.Command(filepath.Join(programs(b), "sidecar"))
	command.Env = append(os.Environ(), "TMPDIR="+dir, "BALANCER_CONFIG="+path, "BALANCER_DISCOVERY="+discovery,
		"BALANCER_LISTEN=", "BALANCER_MGMT=", "MARTENDRUM_FLEET=return")
	if err := command.Start(); err != nil {
		b.Fatalf("starting sidecar %s: %v", name, err)
	}
	b.Cleanup(func() {
		command.Process.Kill()
		command.Wait()
	})
	health := &http.Client{Timeout: eventuallyTimeout}
	defer health.CloseIdleConnections()
	eventually(b, "sidecar "+name+" to be ready", func() bool {
		response, err := health.Get("http://" + listen + "/_health")
		if err != nil {
			return false
		}
		response.Body.Close()
		return response.StatusCode == http.StatusOK
	})
	return command.Process.Pid, listen
}

// chain is a sequence of applications. Each one calls the next, through the next one's sidecar or
// directly.
type chain struct {
	depth    int
	client   *http.Client
	sidecars []string // address of each application's sidecar
	apps     []string // address of each application
	pids     []int    // process ids of the sidecars
	lastID   atomic.Int64
	ran      [2]atomic.Int64 // calls that the last application has answered: through sidecars, direct
}

// newChain starts depth applications in this process and a sidecar process in front of each. The
// server list of each sidecar names its application the given number of times.
func newChain(b *testing.B, depth, servers int) *chain {
	b.Helper()
	c := &chain{depth: depth, client: &http.Client{Timeout: eventuallyTimeout, Transport: &http.Transport{MaxIdleConnsPerHost: 100, IdleConnTimeout: 3 * time.Second}}}
	b.Cleanup(c.client.CloseIdleConnections)
	c.apps, c.sidecars = make([]string, depth), make([]string, depth)
	for level := range depth {
		c.apps[level] = serveHTTP(b, c.application(level))
	}
	for level := range depth {
		_, discovery := startDiscovery(b, servers, c.apps[level])
		pid, listen := startSidecar(b, fmt.Sprint("level-", level), discovery)
		c.pids = append(c.pids, pid)
		c.sidecars[level] = listen
	}
	return c
}

// application returns the handler of the application at a level. It calls the next application, if
// any, before it answers.
func (c *chain) application(level int) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if level+1 < c.depth {
			if err := c.call(r.URL.Path, level+1); err != nil {
				http.Error(w, err.Error(), http.StatusInternalServerError)
				return
			}
		} else if r.URL.Path == throughSidecars {
			c.ran[0].Add(1)
		} else {
			c.ran[1].Add(1)
		}
		io.WriteString(w, "yes")
	})
}

// call calls the application at a level, through its sidecar or directly as the path says.
func (c *chain) call(path string, level int) error {
	address := c.apps[level]
	if path == throughSidecars {
		address = c.sidecars[level]
	}
	request, err := http.NewRequest(http.MethodGet, "http://"+address+path, nil)
	if err != nil {
		return err
	}
	request.Header.Set("Req-Id", fmt.Sprintf("c%d", c.lastID.Add(1)))
	request.Header.Set("Req-Kind", "status-check")
	response, err := c.client.Do(request)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	if _, err := io.Copy(io.Discard, response.Body); err != nil {
		return err
	}
	if response.StatusCode != http.StatusOK {
		return fmt.Errorf("call of %s at level %d: got status %s, want 200", path, level, response.Status)
	}
	return nil
}

// latencies holds the results of calls through a chain, either all through sidecars or all direct.
type latencies struct {
	mu     sync.Mutex
	took   []time.Duration // latencies of the successful calls
	failed []error
}

func (l *latencies) add(took time.Duration, err error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if err != nil {
		l.failed = append(l.failed, err)
		return
	}
	l.took = append(l.took, took)
}

// quantile returns a quantile of the latencies in milliseconds; 0.99 is the 99th percentile. It
// sorts the latencies, so it may run only after the last add.
func (l *latencies) quantile(q float64) float64 {
	slices.Sort(l.took)
	return l.took[int(q*float64(len(l.took)-1))].Seconds() * 1000
}

// load sends calls for the given duration, rate calls per second on average. Calls begin at random
// times, whether or not earlier calls have ended.
func (c *chain) load(path string, rate float64, duration time.Duration) *latencies {
	measured := &latencies{}
	var calls sync.WaitGroup
	next, end := time.Now(), time.Now().Add(duration)
	for {
		next = next.Add(time.Duration(rand.ExpFloat64() / rate * float64(time.Second)))
		if next.After(end) {
			break
		}
		time.Sleep(time.Until(next))
		calls.Go(func() {
			began := time.Now()
			err := c.call(path, 0)
			measured.add(time.Since(began), err)
		})
	}
	calls.Wait()
	return measured
}

// loadBothWays sends calls through the sidecars and directly at the same time, so that the machine
// is equally busy for both.
func (c *chain) loadBothWays(rate float64, duration time.Duration) (sidecars, withoutSidecars *latencies) {
	var ways sync.WaitGroup
	ways.Go(func() { sidecars = c.load(throughSidecars, rate, duration) })
	ways.Go(func() { withoutSidecars = c.load(direct, rate, duration) })
	ways.Wait()
	return sidecars, withoutSidecars
}

// BenchmarkChainCapacity sends calls through a chain of seven applications, at the same time through
// a sidecar process in front of each and directly, for server lists of different lengths. Run it
// with -benchtime=1x.
func BenchmarkChainCapacity(b *testing.B) {
	for _, servers := range capacitySizes(b, *chainServers) {
		b.Run(fmt.Sprintf("servers=%d", servers), func(b *testing.B) {
			measureChain(b, newChain(b, chainDepth, servers), *chainRate)
		})
	}
}

// callRateServers is the length of the server list of BenchmarkCallRateCapacity.
const callRateServers = 300

// BenchmarkCallRateCapacity sends calls through one sidecar with a list of 300 servers at different
// rates per second. It measures the sidecar's connections, CPU time and memory. Run it with
// -benchtime=1x.
func BenchmarkCallRateCapacity(b *testing.B) {
	for _, rate := range []int{15, 31, 62, 124, 248} {
		b.Run(fmt.Sprintf("rate=%d", rate), func(b *testing.B) {
			measureChain(b, newChain(b, 1, callRateServers), float64(rate))
		})
	}
}

// measureChain warms up a chain, sends calls through it, and reports their latencies and the
// resource usage of the sidecars.
func measureChain(b *testing.B, c *chain, rate float64) {
	b.Helper()
	c.loadBothWays(rate, chainWarmup)
	for b.Loop() {
		before, ranBefore := usages(b, c.pids...), c.ran[0].Load()
		sidecars, withoutSidecars := c.loadBothWays(rate, *chainWindow)
		reportMeanUsage(b, "sidecar", before, usages(b, c.pids...), *chainWindow)
		for _, way := range []*latencies{sidecars, withoutSidecars} {
			if failed := len(way.failed); failed > 0 {
				b.Fatalf("%d calls failed and %d succeeded, want no failure; the first error: %v", failed, len(way.took), way.failed[0])
			}
		}
		b.ReportMetric(sidecars.quantile(0.5), "sidecars-p50-ms")
		b.ReportMetric(sidecars.quantile(0.99), "sidecars-p99-ms")
		b.ReportMetric(withoutSidecars.quantile(0.5), "direct-p50-ms")
		b.ReportMetric(withoutSidecars.quantile(0.99), "direct-p99-ms")
		b.ReportMetric(sidecars.quantile(0.99)-withoutSidecars.quantile(0.99), "added-p99-ms")
		b.ReportMetric(float64(c.ran[0].Load()-ranBefore)/float64(len(sidecars.took)), "runs/call")
	}
}

// BenchmarkSidecarListCapacity measures one sidecar without traffic for server lists of different
// lengths: with a constant list, and while a server starts to drain or becomes available again
// every tenth of a second. Run it with -benchtime=1x.
func BenchmarkSidecarListCapacity(b *testing.B) {
	const changeEvery = 100 * time.Millisecond
	for _, servers := range []int{30, 300, 3000, 21000} {
		for _, changing := range []bool{false, true} {
			b.Run(fmt.Sprintf("servers=%d/changing=%v", servers, changing), func(b *testing.B) {
				discovery, discoveryAddress := startDiscovery(b, servers, "127.0.0.1:9")
				pid, _ := startSidecar(b, "listed", discoveryAddress)
				for b.Loop() {
					time.Sleep(*capacitySettled)
					before, began := usages(b, pid), time.Now()
					for index := 2; changing && time.Since(began) < *capacityWindow; index++ {
						time.Sleep(changeEvery)
						discovery.changes <- changeOf(index, servers).line(b)
					}
					time.Sleep(time.Until(began.Add(*capacityWindow)))
					reportMeanUsage(b, "sidecar", before, usages(b, pid), time.Since(began))
				}
			})
		}
	}
}

// changeOf returns the change of the list with an index. A server starts to drain at an even index
// and is up again at the next one.
func changeOf(index, servers int) chainList {
	status := "draining"
	if index%2 == 1 {
		status = "up"
	}
	server := index / 2 % servers
	return chainList{Index: index, Endpoints: []chainEntry{{
		Name: fmt.Sprintf("server-%05d", server), Address: "127.0.0.1:9", Zone: fmt.Sprintf("zone-%02d", server%27), Status: status, Weight: 1,
	}}}
}
