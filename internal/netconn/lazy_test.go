package netconn

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"runtime"
	"testing"
	"time"

	"martendrum/internal/framing/framingtest"
)

// patience is how long a test waits for an expected event.
const patience = 20 * time.Second

// connPair returns both ends of a TCP connection, which is closed when the test ends.
func connPair(t testing.TB) (local, remote net.Conn) {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatalf("opening a listener: %v", err)
	}
	defer ln.Close()
	if remote, err = net.Dial("tcp", ln.Addr().String()); err != nil {
		t.Fatalf("connecting to the listener: %v", err)
	}
	if local, err = ln.Accept(); err != nil {
		t.Fatalf("accepting the connection: %v", err)
	}
	t.Cleanup(func() { local.Close(); remote.Close() })
	local.SetDeadline(time.Now().Add(patience))
	remote.SetDeadline(time.Now().Add(patience))
	return local, remote
}

// Messages of all sizes, sent in pieces that do not match their boundaries, are read as they were sent, with a
// Wait before each. This holds for a socket and for a connection that is not a socket.
func TestLazyReadsAll(t *testing.T) {
	pipeLocal, pipeRemote := net.Pipe()
	socketLocal, socketRemote := connPair(t)
	for _, ends := range []struct{ local, remote net.Conn }{{socketLocal, socketRemote}, {pipeLocal, pipeRemote}} {
		l := NewLazyReader(ends.local)
		var sent bytes.Buffer
		for n := range 40 {
			fmt.Fprintf(&sent, "%06d%s", n*511, bytes.Repeat([]byte("x"), n*511)) // up to more than twice the buffer
		}
		go func() {
			framingtest.Send(ends.remote, sent.Bytes(), 3001)
			ends.remote.Close()
		}()
		for n := range 40 {
			if err := l.Wait(); err != nil {
				t.Fatalf("message %d: Wait() failed: %v", n, err)
			}
			head := make([]byte, 6)
			if _, err := io.ReadFull(l.Reader(), head); err != nil || string(head) != fmt.Sprintf("%06d", n*511) {
				t.Fatalf("message %d: got head %q, error %v; want head %06d", n, head, err, n*511)
			}
			if got, err := io.CopyN(io.Discard, l.Reader(), int64(n*511)); err != nil {
				t.Fatalf("message %d: read %d of %d bytes: %v", n, got, n*511, err)
			}
		}
		if err := l.Wait(); err != io.EOF {
			t.Errorf("Wait() at the end of the connection: got error %v, want %v", err, io.EOF)
		}
		if l.held != nil {
			t.Error("a buffer is held after the end of the connection")
		}
	}
}

// After a Wait without a byte to read, no buffer is held, whether the wait ended with its deadline, with the
// closing of the connection or with a reset by the peer.
func TestLazyHoldsNoBufferAfterFailedWait(t *testing.T) {
	local, remote := connPair(t)
	l := NewLazyReader(local)
	local.SetReadDeadline(time.Now().Add(10 * time.Millisecond))
	if err := l.Wait(); !errors.Is(err, os.ErrDeadlineExceeded) || l.held != nil {
		t.Errorf("Wait() past the read deadline: got error %v, buffer %v; want %v and no buffer", err, l.held, os.ErrDeadlineExceeded)
	}
	local.SetReadDeadline(time.Time{})
	io.WriteString(remote, "ab")
	if err := l.Wait(); err != nil || l.Buffered() == 0 {
		t.Fatalf("Wait() after two bytes were sent: got error %v and %d bytes buffered, want no error and at least 1 byte", err, l.Buffered())
	}
	l.Reader().Discard(l.Buffered())
	result := make(chan error, 1)
	go func() { result <- l.Wait() }()
	local.Close()
	if err := <-result; !errors.Is(err, net.ErrClosed) || l.held != nil {
		t.Errorf("Wait() on a connection that is closed: got error %v, buffer %v; want %v and no buffer", err, l.held, net.ErrClosed)
	}
	local, remote = connPair(t)
	l = NewLazyReader(local)
	remote.(*net.TCPConn).SetLinger(0)
	remote.Close()
	var reset net.Error
	if err := l.Wait(); err == nil || !errors.As(err, &reset) || l.held != nil {
		t.Errorf("Wait() on a connection that the peer has reset: got error %v, buffer %v; want a net.Error and no buffer", err, l.held)
	}
}

// BenchmarkIdle measures the memory of a connection whose reader waits. B/conn includes both ends of the
// connection and the waiting goroutine.
func BenchmarkIdle(b *testing.B) {
	const conns = 1000
	for b.Loop() {
		var before, after runtime.MemStats
		runtime.GC()
		runtime.ReadMemStats(&before)
		ended := make(chan error, conns)
		var locals, remotes []net.Conn
		for range conns {
			local, remote := connPair(b)
			locals, remotes = append(locals, local), append(remotes, remote)
			local.SetDeadline(time.Time{})
			go func() { ended <- NewLazyReader(local).Wait() }()
		}
		runtime.GC()
		runtime.GC() // only the second collection empties a sync.Pool
		runtime.ReadMemStats(&after)
		b.ReportMetric(float64(after.HeapAlloc+after.StackInuse-before.HeapAlloc-before.StackInuse)/conns, "B/conn")
		for n := range conns {
			locals[n].Close()
			remotes[n].Close()
		}
		for range conns {
			<-ended
		}
	}
}
