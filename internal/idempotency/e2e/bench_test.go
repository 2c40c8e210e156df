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

// benchmarkClient keeps one connection, as a point-of-sale process does.
type benchmarkClient struct {
	connection net.Conn
	reader     *bufio.Reader
}

func (c *benchmarkClient) ask(request clientRequest) (int, error) {
	request.id = fmt.Sprintf("b%d", lastID.Add(1))
	c.connection.SetDeadline(time.Now().Add(testTimeout))
	if _, err := c.connection.Write(request.bytes()); err != nil {
		return 0, err
	}
	resp, err := http.ReadResponse(c.reader, nil)
	if err != nil {
		return 0, err
	}
	defer resp.Body.Close()
	_, err = io.Copy(io.Discard, resp.Body)
	return resp.StatusCode, err
}

// BenchmarkStore is id-register requests, each with a key of its own, through one
// sidecar before three servers that answer at once: as fast as 64 clients go
// (closed), and at a pace of 300 and 2,000 a second. All run in one process. Where the
// store is swept, every 10 ms, each row is dropped right after its answer.
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

func benchmarkStore(b *testing.B, store string, rate int) {
	servers, err := shop.NewWith(3, func(_ *shop.Shop, _ string, rw http.ResponseWriter, r *http.Request) {
		io.Copy(io.Discard, r.Body)
		io.WriteString(rw, "registered")
	})
	if err != nil {
		b.Fatal(err)
	}
	defer servers.Close()
	p := &sidecarConfig{Servers: servers.Addrs(), MaxWait: 200 * time.Millisecond}
	switch store {
	case "sqlite", "sqlite-swept":
		p.SweepAtOnce = store == "sqlite-swept"
		p.SQLite = filepath.Join(b.TempDir(), "record.db")
	case "postgres":
		pg, err := pgserver.Start(pgserver.Config{})
		if err != nil {
			b.Fatal(err)
		}
		defer pg.Close()
		p.Postgres = pg.URL()
	}
	n, err := start(p, nil)
	if err != nil {
		b.Fatal(err)
	}
	defer n.stop()
	const clients = 64
	var conns []*benchmarkClient
	for range clients {
		c, err := net.Dial("tcp", n.address)
		if err != nil {
			b.Fatal(err)
		}
		defer c.Close()
		conns = append(conns, &benchmarkClient{c, bufio.NewReader(c)})
	}
	var mu sync.Mutex
	var took []time.Duration
	var bad, key atomic.Int64
	one := func(c *benchmarkClient) {
		began := time.Now()
		status, err := c.ask(clientRequest{class: "id-register", key: fmt.Sprintf("%s-%d-%d", store, rate, key.Add(1)), body: "card 896210, buyer 3174"})
		d := time.Since(began)
		if err != nil || status != http.StatusOK {
			bad.Add(1)
		}
		mu.Lock()
		took = append(took, d)
		mu.Unlock()
	}
	for _, c := range conns {
		one(c) // warm
	}
	took = nil
	b.ResetTimer()
	began := time.Now()
	var wg sync.WaitGroup
	work := make(chan struct{}, 10000)
	for _, c := range conns {
		wg.Go(func() {
			for range work {
				one(c)
			}
		})
	}
	for k := range b.N {
		if rate > 0 {
			time.Sleep(time.Until(began.Add(time.Duration(k) * time.Second / time.Duration(rate))))
		}
		work <- struct{}{}
	}
	close(work)
	wg.Wait()
	lasted := time.Since(began)
	b.StopTimer()
	slices.Sort(took)
	b.ReportMetric(float64(len(took))/lasted.Seconds(), "req/s")
	b.ReportMetric(float64(took[len(took)/2].Microseconds()), "p50-µs")
	b.ReportMetric(float64(took[len(took)*99/100].Microseconds()), "p99-µs")
	b.ReportMetric(float64(bad.Load()), "not-served")
	if n.recorder != nil {
		batches, ops := n.recorder.Batches()
		b.ReportMetric(float64(ops)/float64(max(batches, 1)), "ops/commit")
	}
	b.ReportMetric(0, "ns/op")
}
