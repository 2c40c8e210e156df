package faultnet

import (
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"syscall"
	"testing"
	"time"

	"go.uber.org/goleak"
)

// startEcho starts servers that send back what they receive, over TCP and UDP, until the test ends. It
// returns their addresses.
func startEcho(t *testing.T) (tcp, udp string) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			go func() {
				io.Copy(c, c)
				c.Close()
			}()
		}
	}()
	pc, err := net.ListenPacket("udp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	go func() {
		buf := make([]byte, 2048)
		for {
			n, from, err := pc.ReadFrom(buf)
			if err != nil {
				return
			}
			pc.WriteTo(buf[:n], from)
		}
	}()
	t.Cleanup(func() { ln.Close(); pc.Close() })
	return ln.Addr().String(), pc.LocalAddr().String()
}

// exchange sends a word and returns as much of its echo as arrives before the timeout. If that is
// not the complete word, the error says why.
func exchange(t *testing.T, c net.Conn, word string, timeout time.Duration) (string, error) {
	t.Helper()
	if _, err := io.WriteString(c, word); err != nil {
		return "", err
	}
	c.SetReadDeadline(time.Now().Add(timeout))
	buf := make([]byte, len(word))
	n, err := io.ReadFull(c, buf)
	return string(buf[:n]), err
}

const (
	// longTimeout bounds the wait for data that must arrive.
	longTimeout = 10 * time.Second
	// shortTimeout is the wait for data that must not arrive, and the delay and jitter of the test
	// of delays.
	shortTimeout = 150 * time.Millisecond
)

// TestFaultnet checks each fault of a TCP link in turn on one link. A script sets and removes
// the first stall, and resets all connections once; the test injects the other faults directly.
func TestFaultnet(t *testing.T) {
	defer goleak.VerifyNone(t)
	t.Run("all", func(t *testing.T) {
		to, _ := startEcho(t)
		n := New(1, Step{On: "stage", Times: 2, Link: "a", Fault: Fault{Stall: Both}}, Step{Conns: 3, Link: "a", Reset: true}, Step{On: "healed", Link: "a"})
		defer n.Close()
		l, err := n.TCP("a", to)
		if err != nil {
			t.Fatal(err)
		}
		if _, err := n.TCP("a", to); err == nil {
			t.Error("a second link with the same name was made, want an error")
		}
		dial := func() net.Conn {
			c, err := net.Dial("tcp", l.Addr())
			if err != nil {
				t.Fatal(err)
			}
			t.Cleanup(func() { c.Close() })
			return c
		}
		isTimeout := func(err error) bool { return errors.Is(err, os.ErrDeadlineExceeded) }
		isReset := func(err error) bool { return errors.Is(err, syscall.ECONNRESET) || errors.Is(err, syscall.EPIPE) }

		c := dial()
		if got, err := exchange(t, c, "hello", longTimeout); got != "hello" || err != nil {
			t.Fatalf("without a fault: got %q, %v; want %q", got, err, "hello")
		}
		// The second report of the event stalls the link: the connection stays open, and no data is lost.
		n.ReportEvent("stage")
		if got, _ := exchange(t, c, "once", longTimeout); got != "once" {
			t.Errorf("after the first of two reports of the event: got %q, want %q", got, "once")
		}
		n.ReportEvent("stage")
		if got, err := exchange(t, c, "twice", shortTimeout); got != "" || !isTimeout(err) {
			t.Errorf("stalled link: got %q, %v; want no data and a timeout", got, err)
		}
		n.ReportEvent("healed")
		c.SetReadDeadline(time.Now().Add(longTimeout))
		buf := make([]byte, 5)
		if _, err := io.ReadFull(c, buf); string(buf) != "twice" {
			t.Errorf("after the stall: got %q, %v; want %q", buf, err, "twice")
		}
		// A stall of the direction Back only: the data arrives at the target, and no answer arrives.
		there, back := l.RelayedBytes()
		l.Set(Fault{Stall: Back})
		if _, err := exchange(t, c, "way", shortTimeout); !isTimeout(err) {
			t.Errorf("link stalled in the direction Back: got error %v, want a timeout", err)
		}
		if newThere, newBack := l.RelayedBytes(); newThere != there+3 || newBack != back {
			t.Errorf("link stalled in the direction Back: relayed %d bytes There and %d Back, want 3 and 0", newThere-there, newBack-back)
		}
		l.Set(Fault{})
		c.SetReadDeadline(time.Now().Add(longTimeout))
		io.ReadFull(c, buf[:3])
		l.Set(Fault{Delay: shortTimeout, Jitter: shortTimeout})
		began := time.Now()
		if got, err := exchange(t, c, "late", longTimeout); got != "late" || time.Since(began) < 2*shortTimeout {
			t.Errorf("link with a delay: got %q, %v after %v; want %q after at least %v", got, err, time.Since(began), "late", 2*shortTimeout)
		}
		l.Set(Fault{})
		// A cut in the middle of a message.
		l.Cut()
		if got, err := exchange(t, c, "halfhalf", longTimeout); len(got) >= 8 || !isReset(err) && err != io.ErrUnexpectedEOF && err != io.EOF {
			t.Errorf("cut connection: got %q, %v; want less than 8 bytes and a closed connection", got, err)
		}
		// The script resets all connections when the third one is made.
		second := dial()
		exchange(t, second, "x", longTimeout)
		// The reset may arrive before the call that opens the connection returns.
		third, err := net.Dial("tcp", l.Addr())
		if err == nil {
			defer third.Close()
			third.SetReadDeadline(time.Now().Add(longTimeout))
			_, err = third.Read(buf)
		}
		if !isReset(err) && err != io.EOF {
			t.Errorf("third connection: got error %v, want a reset or the end of the data", err)
		}
		// With Drop, a new connection is reset right after it is accepted. Without it, data is relayed again.
		l.Set(Fault{Drop: true})
		if d, err := net.Dial("tcp", l.Addr()); err == nil {
			d.SetReadDeadline(time.Now().Add(longTimeout))
			if _, err := d.Read(buf); !isReset(err) {
				t.Errorf("link with Drop: got error %v, want a reset", err)
			}
			d.Close()
		}
		l.Set(Fault{})
		if got, err := exchange(t, dial(), "again", longTimeout); got != "again" {
			t.Errorf("after Drop: got %q, %v; want %q", got, err, "again")
		}
	})
}

// TestFaultnetDatagrams checks that the same seed loses the same datagrams, that another seed loses
// others, and that answers are relayed back to the sender.
func TestFaultnetDatagrams(t *testing.T) {
	defer goleak.VerifyNone(t)
	t.Run("all", func(t *testing.T) {
		_, to := startEcho(t)
		// losses returns a character for each of 30 datagrams: "." if it was answered, ">" if it was
		// lost on its way to the target and "<" if its answer was lost.
		losses := func(seed uint64) (out string) {
			n := New(seed)
			defer n.Close()
			l, err := n.UDP("u", to)
			if err != nil {
				t.Fatal(err)
			}
			c, err := net.Dial("udp", l.Addr())
			if err != nil {
				t.Fatal(err)
			}
			defer c.Close()
			l.Set(Fault{Loss: 0.3})
			for i := range 30 {
				l.mu.Lock()
				before := l.carried
				l.mu.Unlock()
				fmt.Fprint(c, i)
				c.SetReadDeadline(time.Now().Add(shortTimeout))
				buf := make([]byte, 16)
				if _, err := c.Read(buf); err == nil {
					out += "."
				} else if there, _ := l.RelayedBytes(); there > before[0] {
					out += "<"
				} else {
					out += ">"
				}
			}
			return out
		}
		first, second := losses(7), losses(7)
		if first != second || first == losses(8) {
			t.Errorf("losses with seed 7 are %s and %s; want them equal, and other losses with seed 8", first, second)
		}
	})
}
