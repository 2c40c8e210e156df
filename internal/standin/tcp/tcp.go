// Package tcp is the accept loop of stand-in servers that speak for themselves: a test
// says what becomes of each connection.
package tcp

import (
	"net"
	"testing"
)

// Serve listens on a loopback address of its own until the test ends, and returns it.
// Each connection, numbered from 0 in the order of acceptance, is each's in a goroutine
// of its own, and closed when that returns.
func Serve(t testing.TB, each func(n int, c net.Conn)) (addr string) {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { ln.Close() })
	go Accept(ln, each)
	return ln.Addr().String()
}

// Accept is the loop of Serve on a listener of the caller's, until that is closed.
func Accept(ln net.Listener, each func(n int, c net.Conn)) {
	for n := 0; ; n++ {
		c, err := ln.Accept()
		if err != nil {
			return
		}
		go func() {
			defer c.Close()
			each(n, c)
		}()
	}
}
