package link

import (
	"fmt"
	"io"
	"net"
	"testing"
	"time"

	"martendrum/internal/standin/tcp"
)

// TestQueueOfAClosedSocket closes a socket with connections in its accept queue. If the successor
// has a second socket under SO_REUSEPORT, the connections that the kernel assigned to the first
// one are reset. If it has the passed socket, which shares the first one's queue, none is lost.
// This is why a hand-over passes the socket.
func TestQueueOfAClosedSocket(t *testing.T) {
	const clients = 60
	// closeAndServe opens connections to old's address, closes old, and serves them on next.
	closeAndServe := func(old, next *net.TCPListener) (served, lost int) {
		t.Helper()
		defer next.Close()
		var open []net.Conn
		for n := range clients {
			conn, err := net.Dial("tcp", old.Addr().String())
			if err != nil {
				t.Fatalf("dial: %v", err)
			}
			defer conn.Close()
			conn.SetDeadline(time.Now().Add(20 * time.Second))
			fmt.Fprintf(conn, "%02d", n)
			open = append(open, conn)
		}
		old.Close() // it has accepted no connection of its queue
		go tcp.Accept(next, func(_ int, conn net.Conn) { io.CopyN(conn, conn, 2) })
		for n, conn := range open {
			echo := make([]byte, 2)
			if _, err := io.ReadFull(conn, echo); err == nil && string(echo) == fmt.Sprintf("%02d", n) {
				served++
			} else {
				lost++
			}
		}
		return served, lost
	}
	listen := func(address string) *net.TCPListener {
		listener, err := Listen(address)
		if err != nil {
			t.Fatalf("Listen(%q): %v", address, err)
		}
		return listener
	}
	first := listen("127.0.0.1:0")
	file, err := first.File() // the same open socket, as SCM_RIGHTS would pass it
	if err != nil {
		t.Fatalf("File: %v", err)
	}
	passed, err := net.FileListener(file)
	file.Close()
	if err != nil {
		t.Fatalf("FileListener: %v", err)
	}
	if served, lost := closeAndServe(first, passed.(*net.TCPListener)); lost != 0 {
		t.Errorf("passed socket: %d connections served, %d lost, want none lost", served, lost)
	}
	second := listen("127.0.0.1:0")
	served, lost := closeAndServe(second, listen(second.Addr().String()))
	t.Logf("second socket: %d of %d connections lost", lost, clients)
	if lost == 0 || served == 0 {
		t.Errorf("second socket: %d connections served, %d lost; want some of each, otherwise the test proves nothing", served, lost)
	}
}
