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

// patience is how long a test waits for what must come.
const patience = 20 * time.Second

// pair is the two ends of a connection.
func pair(t testing.TB) (here, there net.Conn) {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	if there, err = net.Dial("tcp", ln.Addr().String()); err != nil {
		t.Fatal(err)
	}
	if here, err = ln.Accept(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { here.Close(); there.Close() })
	here.SetDeadline(time.Now().Add(patience))
	there.SetDeadline(time.Now().Add(patience))
	return here, there
}

// Messages of all sizes, in pieces and several at once, come as they were sent, with a
// wait before each; also on a connection that is no socket.
func TestLazyReadsAll(t *testing.T) {
	plainHere, plainThere := net.Pipe()
	here, there := pair(t)
	for _, c := range []struct{ here, there net.Conn }{{here, there}, {plainHere, plainThere}} {
		l := NewLazy(c.here)
		var sent bytes.Buffer
		for n := range 40 {
			fmt.Fprintf(&sent, "%06d%s", n*511, bytes.Repeat([]byte("x"), n*511)) // to twice the buffer
		}
		go func() {
			framingtest.Send(c.there, sent.Bytes(), 3001)
			c.there.Close()
		}()
		for n := range 40 {
			if err := l.Wait(); err != nil {
				t.Fatal(n, err)
			}
			head := make([]byte, 6)
			if _, err := io.ReadFull(l.Reader(), head); err != nil || string(head) != fmt.Sprintf("%06d", n*511) {
				t.Fatalf("message %d: %q, %v", n, head, err)
			}
			if got, err := io.CopyN(io.Discard, l.Reader(), int64(n*511)); err != nil {
				t.Fatal(n, got, err)
			}
		}
		if err := l.Wait(); err != io.EOF {
			t.Errorf("at the end: %v", err)
		}
		if l.now != nil {
			t.Error("a buffer is held after the end")
		}
	}
}

// Nothing is held while nothing is there, whatever ends the wait.
func TestLazyHoldsNothing(t *testing.T) {
	here, there := pair(t)
	l := NewLazy(here)
	here.SetReadDeadline(time.Now().Add(10 * time.Millisecond))
	if err := l.Wait(); !errors.Is(err, os.ErrDeadlineExceeded) || l.now != nil {
		t.Errorf("past its deadline: %v, %v", err, l.now)
	}
	here.SetReadDeadline(time.Time{})
	io.WriteString(there, "ab")
	if err := l.Wait(); err != nil || l.Buffered() == 0 {
		t.Fatal(err)
	}
	l.Reader().Discard(l.Buffered())
	result := make(chan error, 1)
	go func() { result <- l.Wait() }()
	here.Close()
	if err := <-result; !errors.Is(err, net.ErrClosed) || l.now != nil {
		t.Errorf("closed: %v, %v", err, l.now)
	}
	here, there = pair(t)
	l = NewLazy(here)
	there.(*net.TCPConn).SetLinger(0)
	there.Close()
	var reset net.Error
	if err := l.Wait(); err == nil || !errors.As(err, &reset) || l.now != nil {
		t.Errorf("reset: %v, %v", err, l.now)
	}
}

// BenchmarkIdle shows what a connection that waits costs in memory: B/conn, both of
// its ends and the goroutine that waits.
func BenchmarkIdle(b *testing.B) {
	const conns = 1000
	for b.Loop() {
		var before, after runtime.MemStats
		runtime.GC()
		runtime.ReadMemStats(&before)
		ended := make(chan error, conns)
		var here, there []net.Conn
		for range conns {
			h, t := pair(b)
			here, there = append(here, h), append(there, t)
			h.SetDeadline(time.Time{})
			go func() { ended <- NewLazy(h).Wait() }()
		}
		runtime.GC()
		runtime.GC() // pools are emptied by the second
		runtime.ReadMemStats(&after)
		b.ReportMetric(float64(after.HeapAlloc+after.StackInuse-before.HeapAlloc-before.StackInuse)/conns, "B/conn")
		for n := range conns {
			here[n].Close()
			there[n].Close()
		}
		for range conns {
			<-ended
		}
	}
}
