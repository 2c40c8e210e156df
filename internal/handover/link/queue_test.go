package link

import (
	"fmt"
	"io"
	"net"
	"testing"
	"time"

	"martendrum/internal/standin/tcp"
)

// TestQueueOfAClosedSocket closes a socket with connections in its accept queue. With a
// second socket under SO_REUSEPORT, those that the kernel gave the first one are reset; with
// the passed socket, whose queue both processes have, none is lost. This is why a hand-over
// passes the socket.
func TestQueueOfAClosedSocket(t *testing.T) {
	const clients = 60
	count := func(old, next *net.TCPListener) (served, lost int) {
		t.Helper()
		defer next.Close()
		var open []net.Conn
		for n := range clients {
			c, err := net.Dial("tcp", old.Addr().String())
			if err != nil {
				t.Fatal(err)
			}
			defer c.Close()
			c.SetDeadline(time.Now().Add(20 * time.Second))
			fmt.Fprintf(c, "%02d", n)
			open = append(open, c)
		}
		old.Close() // nothing of its queue was accepted
		go tcp.Accept(next, func(_ int, c net.Conn) { io.CopyN(c, c, 2) })
		for n, c := range open {
			b := make([]byte, 2)
			if _, err := io.ReadFull(c, b); err == nil && string(b) == fmt.Sprintf("%02d", n) {
				served++
			} else {
				lost++
			}
		}
		return served, lost
	}
	listen := func(addr string) *net.TCPListener {
		ln, err := Listen(addr)
		if err != nil {
			t.Fatal(err)
		}
		return ln
	}
	first := listen("127.0.0.1:0")
	file, err := first.File() // what SCM_RIGHTS gives: the same open socket
	if err != nil {
		t.Fatal(err)
	}
	passed, err := net.FileListener(file)
	file.Close()
	if err != nil {
		t.Fatal(err)
	}
	if served, lost := count(first, passed.(*net.TCPListener)); lost != 0 {
		t.Errorf("the passed socket: %d served, %d lost", served, lost)
	}
	second := listen("127.0.0.1:0")
	served, lost := count(second, listen(second.Addr().String()))
	t.Logf("a second socket: %d of %d connections lost", lost, clients)
	if lost == 0 || served == 0 {
		t.Errorf("a second socket: %d served, %d lost; the test shows nothing", served, lost)
	}
}
