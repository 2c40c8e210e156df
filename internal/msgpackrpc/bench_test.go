package msgpackrpc

import (
	"context"
	"fmt"
	"net"
	"runtime"
	"sync"
	"sync/atomic"
	"testing"
)

// BenchmarkIdleConnections measures the memory of idle connections, both ends in one process, after
// each has answered one call.
func BenchmarkIdleConnections(b *testing.B) {
	const connections = 1000
	for b.Loop() {
		before := memoryInUse()
		server := &Server{MaxConns: connections, Handler: func(context.Context, *Request) (any, error) {
			return make([]byte, 2000), nil
		}}
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			b.Fatal("Listen:", err)
		}
		serveResult := make(chan error, 1)
		go func() { serveResult <- server.Serve(listener) }()
		clients := make([]*Client, connections)
		for n := range clients {
			conn, err := net.Dial("tcp", listener.Addr().String())
			if err != nil {
				b.Fatal("Dial:", err)
			}
			clients[n] = NewClient(conn, Limits{}, nil)
			if err := clients[n].Call(b.Context(), "any", nil, nil); err != nil {
				b.Fatal("Call:", err)
			}
		}
		b.ReportMetric(float64(memoryInUse()-before)/connections, "B/connection")
		for _, client := range clients {
			client.Close()
		}
		server.Close()
		if err := <-serveResult; err != nil {
			b.Fatal("Serve:", err)
		}
	}
}

// memoryInUse returns the size of the heap and the stacks after a garbage collection, in bytes.
func memoryInUse() int64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return int64(stats.HeapInuse + stats.StackInuse)
}

// BenchmarkCall measures calls on one connection, for different numbers of concurrent calls.
func BenchmarkCall(b *testing.B) {
	for _, outstanding := range []int{1, 64, 256} {
		b.Run(fmt.Sprintf("outstanding=%d", outstanding), func(b *testing.B) {
			c := dialClient(b, serve(b, &Server{Handler: func(context.Context, *Request) (any, error) { return 1, nil }}), Limits{})
			b.ReportAllocs()
			var remaining atomic.Int64
			remaining.Store(int64(b.N))
			ctx := context.Background()
			var wg sync.WaitGroup
			b.ResetTimer()
			for range outstanding {
				wg.Go(func() {
					for remaining.Add(-1) >= 0 {
						if err := c.Call(ctx, "m", []any{1}, nil); err != nil {
							b.Error("Call:", err)
							return
						}
					}
				})
			}
			wg.Wait()
			b.ReportMetric(float64(b.N)/b.Elapsed().Seconds(), "calls/s")
		})
	}
}
