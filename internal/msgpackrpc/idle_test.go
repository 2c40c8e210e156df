package msgpackrpc

import (
	"context"
	"net"
	"runtime"
	"testing"
)

// BenchmarkIdleConnections tells what connections cost while nothing is said, both ends in one
// process, after each has answered one call.
func BenchmarkIdleConnections(b *testing.B) {
	const connections = 1000
	for b.Loop() {
		before := memoryInUse()
		server := &Server{Conns: connections, Handler: func(context.Context, *Request) (any, error) {
			return make([]byte, 2000), nil
		}}
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			b.Fatal(err)
		}
		served := make(chan error, 1)
		go func() { served <- server.Serve(listener) }()
		clients := make([]*Client, connections)
		for n := range clients {
			conn, err := net.Dial("tcp", listener.Addr().String())
			if err != nil {
				b.Fatal(err)
			}
			clients[n] = NewClient(conn, Limits{}, nil)
			if err := clients[n].Call(b.Context(), "any", nil, nil); err != nil {
				b.Fatal(err)
			}
		}
		b.ReportMetric(float64(memoryInUse()-before)/connections, "B/connection")
		for _, client := range clients {
			client.Close()
		}
		server.Close()
		if err := <-served; err != nil {
			b.Fatal(err)
		}
	}
}

// memoryInUse is the heap and the stacks after a collection.
func memoryInUse() int64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return int64(stats.HeapInuse + stats.StackInuse)
}
