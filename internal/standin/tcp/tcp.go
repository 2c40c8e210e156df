// Package tcp is the accept loop of stand-in servers that speak for themselves: a test
// says what becomes of each connection.
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

// Delayed is Serve behind a full queue: connections to addr come up only after open has been
// called, up to a second or two later, when the system tries again.
func Delayed(t testing.TB, each func(n int, c net.Conn)) (addr string, open func()) {
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
	var fill []net.Conn
	for {
		c, err := net.DialTimeout("tcp", addr, 200*time.Millisecond)
		if err != nil {
			break // the queue is full
		}
		if fill = append(fill, c); len(fill) > 10 {
			t.Fatal("the queue does not fill")
		}
	}
	return addr, sync.OnceFunc(func() {
		for _, c := range fill {
			taken, err := ln.Accept()
			if err != nil {
				t.Error(err)
				return
			}
			taken.Close()
			c.Close()
		}
		go Accept(ln, each)
	})
}

// Unread is how many bytes lie in a socket that its process has not read.
func Unread(t testing.TB, c syscall.Conn) (n int) {
	t.Helper()
	raw, err := c.SyscallConn()
	if err == nil {
		err = raw.Control(func(fd uintptr) { n, err = unix.IoctlGetInt(int(fd), unix.SIOCINQ) })
	}
	if err != nil {
		t.Fatal(err)
	}
	return n
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
