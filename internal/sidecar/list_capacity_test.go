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

// capacityListSizes are the lengths of the server lists of the capacity benchmarks.
var capacityListSizes = []int{30, 300, 1000, 3000, 10000, 21000}

// listedServer is an entry of a serverList.
type listedServer struct {
	Name    string  `json:"name"`
	Address string  `json:"address"`
	Zone    string  `json:"zone"`
	Status  string  `json:"status"`
	Group   int     `json:"group"`
	Weight  float64 `json:"weight"`
	Since   int64   `json:"since_ms"`
}

// serverList is a server list in the JSON format of the discovery service.
type serverList struct {
	Index     int            `json:"index"`
	Snapshot  bool           `json:"snapshot"`
	Endpoints []listedServer `json:"endpoints"`
}

// capacityLine returns a complete list of servers of one service in 27 zones, as the line of JSON that
// the discovery service sends.
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
		b.Fatalf("encoding the list: %v", err)
	}
	return line
}

// capacityHost returns a new Host without servers.
func capacityHost(b *testing.B) *Host {
	b.Helper()
	set, err := settings.Parse([]byte(usualSettings))
	if err != nil {
		b.Fatalf("parsing the settings: %v", err)
	}
	pool := upstream.New(upstream.Config{ServerIdleTimeout: set.ConnIdle, DialTimeout: set.DialTimeout, DrainGrace: set.DrainGrace, MaxConns: 50})
	host, err := New(set, 1, pool, new(discovery.Watcher))
	if err != nil {
		b.Fatalf("creating the host: %v", err)
	}
	return host
}

// applyLine parses a list and passes it to a host, as the watcher does.
func applyLine(b *testing.B, host *Host, line []byte) {
	b.Helper()
	list, err := discovery.Parse(line)
	if err != nil {
		b.Fatalf("parsing the list: %v", err)
	}
	host.ApplyServers(list)
}

// BenchmarkWholeListCapacity applies a complete list to a new Host, which passes it to its Balancer and its
// connection pool. The pool has no connections.
func BenchmarkWholeListCapacity(b *testing.B) {
	for _, size := range capacityListSizes {
		b.Run(fmt.Sprintf("servers=%d", size), func(b *testing.B) {
			line := capacityLine(b, size)
			before := measure.HeapInUse()
			host := capacityHost(b)
			applyLine(b, host, line)
			heap := measure.HeapInUse() - before
			runtime.KeepAlive(host)
			for b.Loop() {
				applyLine(b, capacityHost(b), line)
			}
			b.ReportMetric(float64(len(line))/float64(size), "wire-B/server")
			b.ReportMetric(float64(heap)/float64(size), "heap-B/server")
		})
	}
}

// BenchmarkRepeatedListCapacity applies the same complete list again. This is the cost for a sidecar if
// the discovery service sends the complete list at each change.
func BenchmarkRepeatedListCapacity(b *testing.B) {
	for _, size := range capacityListSizes {
		b.Run(fmt.Sprintf("servers=%d", size), func(b *testing.B) {
			line := capacityLine(b, size)
			host := capacityHost(b)
			applyLine(b, host, line)
			for b.Loop() {
				applyLine(b, host, line)
			}
		})
	}
}

// BenchmarkListChangeCapacity applies a change of one server.
func BenchmarkListChangeCapacity(b *testing.B) {
	for _, size := range capacityListSizes {
		b.Run(fmt.Sprintf("servers=%d", size), func(b *testing.B) {
			host := capacityHost(b)
			applyLine(b, host, capacityLine(b, size))
			var change serverList
			if err := json.Unmarshal(capacityLine(b, 1), &change); err != nil {
				b.Fatalf("decoding the list: %v", err)
			}
			change.Snapshot = false
			var lines [2][]byte
			for i, status := range []string{"draining", "up"} {
				change.Endpoints[0].Status = status
				line, err := json.Marshal(change)
				if err != nil {
					b.Fatalf("encoding the change: %v", err)
				}
				lines[i] = line
			}
			applied := 0
			for b.Loop() {
				applyLine(b, host, lines[applied%2])
				applied++
			}
			b.ReportMetric(float64(len(lines[0])), "wire-B/change")
		})
	}
}
