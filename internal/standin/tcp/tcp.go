// Package tcp provides accept loops for stand-in servers, on loopback: a test passes a function that
// handles each connection or request.
package tcp

import (
	"bufio"
	"net"
	"net/http"
	"os"
	"sync"
	"syscall"
	"testing"
	"time"

	"golang.org/x/sys/unix"
)

// Serve listens on a free loopback port until the test ends, and returns its address, host:port. It
// calls handle in a new goroutine for each connection, numbered from 0 in the order of acceptance,
// and closes the connection when handle returns.
func Serve(t testing.TB, handle func(n int, c net.Conn)) (addr string) {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { ln.Close() })
	go Accept(ln, handle)
	return ln.Addr().String()
}

// Requests is Serve for HTTP/1.1. It calls handle for request n of connection conn, both counted from 0.
// handle writes the response to c, and returns false to close the connection. The request's body is
// not read ahead.
func Requests(t testing.TB, handle func(conn, n int, c net.Conn, r *http.Request) bool) (addr string) {
	t.Helper()
	return Serve(t, func(conn int, c net.Conn) {
		br := bufio.NewReader(c)
		for n := 0; ; n++ {
			if r, err := http.ReadRequest(br); err != nil || !handle(conn, n, c, r) {
				return
			}
		}
	})
}

// Delayed is Serve with a full accept queue: connections to addr are established only after open has
// been called, up to a second or two later, when the system sends the SYN again. open may be
// called several times.
func Delayed(t testing.TB, handle func(n int, c net.Conn)) (addr string, open func()) {
	t.Helper()
	fd, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM|syscall.SOCK_CLOEXEC, 0)
	if err != nil {
		t.Fatal(err)
	}
	f := os.NewFile(uintptr(fd), "late")
	defer f.Close()
	if err := syscall.Bind(fd, &syscall.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}}); err != nil {
		t.Fatal(err)
	}
	if err := syscall.Listen(fd, 0); err != nil {
		t.Fatal(err)
	}
	ln, err := net.FileListener(f)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { ln.Close() })
	addr = ln.Addr().String()
	var queued []net.Conn
	for {
		c, err := net.DialTimeout("tcp", addr, 200*time.Millisecond)
		if err != nil {
			break // the accept queue is full
		}
		if queued = append(queued, c); len(queued) > 10 {
			t.Fatal("the accept queue is not full after more than 10 connections")
		}
	}
	return addr, sync.OnceFunc(func() {
		for _, c := range queued {
			accepted, err := ln.Accept()
			if err != nil {
				t.Error("accepting a connection of the full queue: ", err)
				return
			}
			accepted.Close()
			c.Close()
		}
		go Accept(ln, handle)
	})
}

// Unread returns the number of bytes that a socket has received and its process has not read.
func Unread(t testing.TB, c syscall.Conn) (n int) {
	t.Helper()
	raw, err := c.SyscallConn()
	if err == nil {
		err = raw.Control(func(fd uintptr) { n, err = unix.IoctlGetInt(int(fd), unix.SIOCINQ) })
	}
	if err != nil {
		t.Fatal("reading the number of unread bytes: ", err)
	}
	return n
}

// Accept is the accept loop of Serve on the caller's listener. It returns when the listener is closed.
func Accept(ln net.Listener, handle func(n int, c net.Conn)) {
	for n := 0; ; n++ {
		c, err := ln.Accept()
		if err != nil {
			return
		}
		go func() {
			defer c.Close()
			handle(n, c)
		}()
	}
}
