package e2e

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"path/filepath"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"martendrum/internal/standin/pgserver"
	"martendrum/internal/standin/shop"
)

// benchmarkClient sends all its requests on one connection, as a point-of-sale process does.
type benchmarkClient struct {
	connection net.Conn
	reader     *bufio.Reader
}

// send sends a request and returns the response's status. It returns an error if the complete
// response does not arrive within testTimeout.
func (c *benchmarkClient) send(request clientRequest) (status int, err error) {
	request.id = fmt.Sprintf("b%d", lastID.Add(1))
	c.connection.SetDeadline(time.Now().Add(testTimeout))
	if _, err := c.connection.Write(request.bytes()); err != nil {
		return 0, err
	}
	response, err := http.ReadResponse(c.reader, nil)
	if err != nil {
		return 0, err
	}
	defer response.Body.Close()
	_, err = io.Copy(io.Discard, response.Body)
	return response.StatusCode, err
}

// BenchmarkStore measures the latency and throughput of id-register requests, each with a
// unique key, through one sidecar with three servers that answer at once. 64 clients send as
// fast as they can ("closed"), or together at 300 or 2,000 requests per second. Clients, sidecar
// and servers run in one process. With "sqlite-swept" a sweep every 10 ms deletes the entries
// that have been answered; with "off" there is no store.
//
//	go test ./internal/idempotency/e2e -run '^$' -bench Store -benchtime 10s
func BenchmarkStore(b *testing.B) {
	for _, store := range []string{"off", "sqlite", "sqlite-swept", "postgres"} {
		for _, rate := range []int{0, 300, 2000} {
			name := fmt.Sprintf("%s/%d", store, rate)
			if rate == 0 {
				name = store + "/closed"
			}
			b.Run(name, func(b *testing.B) { benchmarkStore(b, store, rate) })
		}
	}
}

// benchmarkClients is the number of clients of BenchmarkStore.
const benchmarkClients = 64

func benchmarkStore(b *testing.B, store string, rate int) {
	s := startBenchmarkSidecar(b, store)
	m := &measurement{keyPrefix: fmt.Sprintf("%s-%d", store, rate)}
	clients := dialBenchmarkClients(b, s.address)
	for _, client := range clients {
		m.send(client) // a warm-up: its latency is discarded
	}
	m.latencies = nil
	b.ResetTimer()
	started := time.Now()
	m.run(clients, b.N, rate)
	elapsed := time.Since(started)
	b.StopTimer()
	m.report(b, elapsed)
	if s.recorder != nil {
		batches, ops := s.recorder.Batches()
		b.ReportMetric(float64(ops)/float64(max(batches, 1)), "ops/commit")
	}
	b.ReportMetric(0, "ns/op")
}

// startBenchmarkSidecar starts a sidecar, its servers and its store. They are stopped when the
// benchmark ends.
func startBenchmarkSidecar(b *testing.B, store string) *testSidecar {
	b.Helper()
	servers, err := shop.NewWith(serversPerSidecar, func(_ *shop.Shop, _ string, writer http.ResponseWriter, request *http.Request) {
		io.Copy(io.Discard, request.Body)
		io.WriteString(writer, "registered")
	})
	if err != nil {
		b.Fatal(err)
	}
	b.Cleanup(servers.Close)
	config := &sidecarConfig{Servers: servers.Addrs(), MaxWait: 200 * time.Millisecond}
	switch store {
	case "sqlite", "sqlite-swept":
		config.SweepAtOnce = store == "sqlite-swept"
		config.SQLite = filepath.Join(b.TempDir(), "record.db")
	case "postgres":
		database, err := pgserver.Start(pgserver.Config{})
		if err != nil {
			b.Fatal(err)
		}
		b.Cleanup(func() { database.Close() })
		config.Postgres = database.URL()
	}
	s, err := start(config, nil)
	if err != nil {
		b.Fatal(err)
	}
	b.Cleanup(s.stop)
	return s
}

// dialBenchmarkClients connects benchmarkClients clients to the sidecar.
func dialBenchmarkClients(b *testing.B, address string) (clients []*benchmarkClient) {
	b.Helper()
	for range benchmarkClients {
		connection, err := net.Dial("tcp", address)
		if err != nil {
			b.Fatal(err)
		}
		b.Cleanup(func() { connection.Close() })
		clients = append(clients, &benchmarkClient{connection, bufio.NewReader(connection)})
	}
	return clients
}

// measurement collects the latencies of a benchmark's requests.
type measurement struct {
	keyPrefix string
	lastKey   atomic.Int64
	notServed atomic.Int64

	mu        sync.Mutex
	latencies []time.Duration
}

// send sends one request with a new key and records its latency.
func (m *measurement) send(client *benchmarkClient) {
	started := time.Now()
	key := fmt.Sprintf("%s-%d", m.keyPrefix, m.lastKey.Add(1))
	status, err := client.send(clientRequest{class: "id-register", key: key, body: "card 896210, buyer 3174"})
	latency := time.Since(started)
	if err != nil || status != http.StatusOK {
		m.notServed.Add(1)
	}
	m.mu.Lock()
	m.latencies = append(m.latencies, latency)
	m.mu.Unlock()
}

// run distributes requests over the clients and waits for their responses. rate is in requests
// per second; 0: the clients send as fast as they can.
func (m *measurement) run(clients []*benchmarkClient, requests, rate int) {
	var wg sync.WaitGroup
	work := make(chan struct{}, 10000)
	for _, client := range clients {
		wg.Go(func() {
			for range work {
				m.send(client)
			}
		})
	}
	started := time.Now()
	for n := range requests {
		if rate > 0 {
			time.Sleep(time.Until(started.Add(time.Duration(n) * time.Second / time.Duration(rate))))
		}
		work <- struct{}{}
	}
	close(work)
	wg.Wait()
}

// report reports throughput, latency percentiles and the number of requests that were not
// answered with status 200.
func (m *measurement) report(b *testing.B, elapsed time.Duration) {
	slices.Sort(m.latencies)
	b.ReportMetric(float64(len(m.latencies))/elapsed.Seconds(), "req/s")
	b.ReportMetric(float64(m.latencies[len(m.latencies)/2].Microseconds()), "p50-µs")
	b.ReportMetric(float64(m.latencies[len(m.latencies)*99/100].Microseconds()), "p99-µs")
	b.ReportMetric(float64(m.notServed.Load()), "not-served")
}
