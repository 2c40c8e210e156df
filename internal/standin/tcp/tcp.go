// Package tcp is the accept loop of stand-in servers that speak for themselves: a test
// says what becomes of each connection.
package tcp

import (
	"bufio"
	"net"
	"net/http"
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

// Requests is Serve for HTTP/1.1: each takes the n-th request, from 0, of the conn-th
// connection, writes its answer, and returns false to close the connection.
func Requests(t testing.TB, each func(conn, n int, c net.Conn, r *http.Request) bool) (addr string) {
	t.Helper()
	return Serve(t, func(conn int, c net.Conn) {
		br := bufio.NewReader(c)
		for n := 0; ; n++ {
			if r, err := http.ReadRequest(br); err != nil || !each(conn, n, c, r) {
				return
			}
		}
	})
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
