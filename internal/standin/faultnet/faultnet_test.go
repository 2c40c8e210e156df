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

// echo answers what it is sent, over TCP and UDP, until the test ends.
func echo(t *testing.T) (tcp, udp string) {
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

// say sends a word and reads so much of its echo as comes within a time.
func say(t *testing.T, c net.Conn, word string, limit time.Duration) (string, error) {
	t.Helper()
	if _, err := io.WriteString(c, word); err != nil {
		return "", err
	}
	c.SetReadDeadline(time.Now().Add(limit))
	buf := make([]byte, len(word))
	n, err := io.ReadFull(c, buf)
	return string(buf[:n]), err
}

const (
	soon  = 10 * time.Second
	never = 150 * time.Millisecond
)

func TestFaultnet(t *testing.T) {
	defer goleak.VerifyNone(t)
	t.Run("all", func(t *testing.T) {
		to, _ := echo(t)
		n := New(1, Step{On: "stage", Times: 2, Link: "a", Fault: Fault{Stall: Both}}, Step{Conns: 3, Link: "a", Reset: true}, Step{On: "healed", Link: "a"})
		defer n.Close()
		l, err := n.TCP("a", to)
		if err != nil {
			t.Fatal(err)
		}
		if _, err := n.TCP("a", to); err == nil {
			t.Error("two links of one name")
		}
		dial := func() net.Conn {
			c, err := net.Dial("tcp", l.Addr())
			if err != nil {
				t.Fatal(err)
			}
			t.Cleanup(func() { c.Close() })
			return c
		}
		timeout := func(err error) bool { return errors.Is(err, os.ErrDeadlineExceeded) }
		broken := func(err error) bool { return errors.Is(err, syscall.ECONNRESET) || errors.Is(err, syscall.EPIPE) }

		c := dial()
		if got, err := say(t, c, "hello", soon); got != "hello" || err != nil {
			t.Fatal(got, err)
		}
		// Stalled on the second mark: open and silent, and nothing is lost by it.
		n.Mark("stage")
		if got, _ := say(t, c, "once", soon); got != "once" {
			t.Error("stalled on the first of two marks")
		}
		n.Mark("stage")
		if got, err := say(t, c, "twice", never); got != "" || !timeout(err) {
			t.Errorf("stalled: %q %v", got, err)
		}
		n.Mark("healed")
		c.SetReadDeadline(time.Now().Add(soon))
		buf := make([]byte, 5)
		if _, err := io.ReadFull(c, buf); string(buf) != "twice" {
			t.Errorf("after the stall: %q %v", buf, err)
		}
		// One way only: it arrives there, and no answer comes.
		there, back := l.Carried()
		l.Set(Fault{Stall: Back})
		if _, err := say(t, c, "way", never); !timeout(err) {
			t.Error("one way:", err)
		}
		if th, ba := l.Carried(); th != there+3 || ba != back {
			t.Errorf("carried %d and %d more; want 3 and 0", th-there, ba-back)
		}
		l.Set(Fault{})
		c.SetReadDeadline(time.Now().Add(soon))
		io.ReadFull(c, buf[:3])
		l.Set(Fault{Delay: never, Jitter: never})
		began := time.Now()
		if got, err := say(t, c, "late", soon); got != "late" || time.Since(began) < 2*never {
			t.Errorf("delayed both ways: %q %v after %v", got, err, time.Since(began))
		}
		l.Set(Fault{})
		// Cut in mid-message.
		l.Cut()
		if got, err := say(t, c, "halfhalf", soon); len(got) >= 8 || !broken(err) && err != io.ErrUnexpectedEOF && err != io.EOF {
			t.Errorf("cut: %q %v", got, err)
		}
		// The third connection resets all.
		second := dial()
		say(t, second, "x", soon)
		third := dial()
		third.SetReadDeadline(time.Now().Add(soon))
		if _, err := third.Read(buf); !broken(err) && err != io.EOF {
			t.Error("the third connection:", err)
		}
		// Dropped: refused after the connect, and sound again once healed.
		l.Set(Fault{Drop: true})
		if d, err := net.Dial("tcp", l.Addr()); err == nil {
			d.SetReadDeadline(time.Now().Add(soon))
			if _, err := d.Read(buf); !broken(err) {
				t.Error("dropped:", err)
			}
			d.Close()
		}
		l.Set(Fault{})
		if got, err := say(t, dial(), "again", soon); got != "again" {
			t.Error("healed:", got, err)
		}
	})
}

// Datagrams: the same seed loses the same ones, and answers find their way back.
func TestFaultnetDatagrams(t *testing.T) {
	defer goleak.VerifyNone(t)
	t.Run("all", func(t *testing.T) {
		_, to := echo(t)
		lost := func(seed uint64) (out string) {
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
				c.SetReadDeadline(time.Now().Add(never))
				buf := make([]byte, 16)
				if _, err := c.Read(buf); err == nil {
					out += "."
				} else if there, _ := l.Carried(); there > before[0] {
					out += "<"
				} else {
					out += ">"
				}
			}
			return out
		}
		a, b := lost(7), lost(7)
		if a != b || a == lost(8) {
			t.Errorf("lost %s and %s", a, b)
		}
	})
}
