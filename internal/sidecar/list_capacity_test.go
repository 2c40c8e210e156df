package sidecar

import (
	"encoding/json"
	"fmt"
	"runtime"
	"testing"

	"martendrum/internal/capacity/measure"
	"martendrum/internal/discovery"
	"martendrum/internal/settings"
	"martendrum/internal/upstream"
)

// capacityServers are the lengths of the server list of the capacity benchmarks.
var capacityServers = []int{30, 300, 1000, 3000, 10000, 21000}

// listedServer is an entry of the list in discovery's form.
type listedServer struct {
	Name    string  `json:"name"`
	Address string  `json:"address"`
	Zone    string  `json:"zone"`
	Status  string  `json:"status"`
	Group   int     `json:"group"`
	Weight  float64 `json:"weight"`
	Since   int64   `json:"since_ms"`
}

// serverList is a list in discovery's form.
type serverList struct {
	Index     int            `json:"index"`
	Snapshot  bool           `json:"snapshot"`
	Endpoints []listedServer `json:"endpoints"`
}

// capacityLine returns a complete list of servers of one service over 27 zones, as discovery
// writes it.
func capacityLine(b *testing.B, size int) []byte {
	b.Helper()
	list := serverList{Index: 1, Snapshot: true}
	for i := range size {
		list.Endpoints = append(list.Endpoints, listedServer{
			Name: fmt.Sprintf("server-%05d", i), Address: fmt.Sprintf("10.%d.%d.%d:8443", i%27, i/250%250, 1+i%250),
			Zone: fmt.Sprintf("zone-%02d", i%27), Status: "up", Weight: 1, Since: 1_700_000_000_000,
		})
	}
	line, err := json.Marshal(list)
	if err != nil {
		b.Fatal(err)
	}
	return line
}

func capacityHost(b *testing.B) *Host {
	b.Helper()
	set, err := settings.Parse([]byte(usualSettings))
	if err != nil {
		b.Fatal(err)
	}
	pool := upstream.New(upstream.Config{ServerIdleTimeout: set.ConnIdle, DialTimeout: set.DialTimeout, DrainGrace: set.DrainGrace, MaxConns: 50})
	host, err := New(set, 1, pool, new(discovery.Watcher))
	if err != nil {
		b.Fatal(err)
	}
	return host
}

// takeList reads a list and hands it to a host, as the watch does.
func takeList(b *testing.B, host *Host, line []byte) {
	b.Helper()
	list, err := discovery.Parse(line)
	if err != nil {
		b.Fatal(err)
	}
	host.Listed(list)
}

// BenchmarkWholeListCapacity reads a complete list into a new sidecar without connections:
// decisions and connection pool.
func BenchmarkWholeListCapacity(b *testing.B) {
	for _, size := range capacityServers {
		b.Run(fmt.Sprintf("servers=%d", size), func(b *testing.B) {
			line := capacityLine(b, size)
			before := measure.HeapInUse()
			host := capacityHost(b)
			takeList(b, host, line)
			heap := measure.HeapInUse() - before
			runtime.KeepAlive(host)
			for b.Loop() {
				takeList(b, capacityHost(b), line)
			}
			b.ReportMetric(float64(len(line))/float64(size), "wire-B/server")
			b.ReportMetric(float64(heap)/float64(size), "heap-B/server")
		})
	}
}

// BenchmarkRepeatedListCapacity reads the same complete list again: the cost for a sidecar of a
// discovery that pushes the complete list at each change.
func BenchmarkRepeatedListCapacity(b *testing.B) {
	for _, size := range capacityServers {
		b.Run(fmt.Sprintf("servers=%d", size), func(b *testing.B) {
			line := capacityLine(b, size)
			host := capacityHost(b)
			takeList(b, host, line)
			for b.Loop() {
				takeList(b, host, line)
			}
		})
	}
}

// BenchmarkListChangeCapacity takes the change of one server.
func BenchmarkListChangeCapacity(b *testing.B) {
	for _, size := range capacityServers {
		b.Run(fmt.Sprintf("servers=%d", size), func(b *testing.B) {
			host := capacityHost(b)
			takeList(b, host, capacityLine(b, size))
			var change serverList
			if err := json.Unmarshal(capacityLine(b, 1), &change); err != nil {
				b.Fatal(err)
			}
			change.Snapshot = false
			var lines [2][]byte
			for i, status := range []string{"draining", "up"} {
				change.Endpoints[0].Status = status
				line, err := json.Marshal(change)
				if err != nil {
					b.Fatal(err)
				}
				lines[i] = line
			}
			turn := 0
			for b.Loop() {
				takeList(b, host, lines[turn%2])
				turn++
			}
			b.ReportMetric(float64(len(lines[0])), "wire-B/change")
		})
	}
}
