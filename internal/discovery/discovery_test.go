package discovery

import (
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"reflect"
	"strings"
	"testing"
	"time"

	"martendrum"
	"martendrum/internal/standin/tcp"
)

// patience bounds the wait for an expected event; soon is well before the changes that a silent
// watch missed count as notified.
const (
	patience = 20 * time.Second
	soon     = 5 * time.Second
)

// indented is a complete list of version 7 over several lines.
const indented = `{
	"index": 7,
	"snapshot": true,

	"endpoints": [
		{
			"name": "a", "address": "127.0.0.1:1",
			"status": "up"
		},
		{"name": "b", "address": "127.0.0.1:2", "status": "draining"}
	]
}
`

// watched is a Watcher that queues its lists and failures.
type watched struct {
	*Watcher
	lists  chan *List
	failed chan error
}

// follow runs a Watcher with a discovery whose n-th call is handled by each. If polled, it makes one
// Watch; otherwise it follows the list.
func follow(t *testing.T, polled bool, each func(n int, c net.Conn, r *http.Request)) *watched {
	t.Helper()
	addr := tcp.Requests(t, func(conn, _ int, c net.Conn, r *http.Request) bool {
		each(conn, c, r)
		return false
	})
	w := &watched{lists: make(chan *List, 100), failed: make(chan error, 100)}
	w.Watcher = &Watcher{Addr: addr, Pace: Pace{CallTimeout: patience, RetrySpread: time.Second, MaxBackoff: 500 * time.Millisecond}, Listed: func(l *List) { w.lists <- l }, Failed: func(err error) { w.failed <- err }}
	t.Cleanup(w.Close)
	if polled {
		go func() { w.failed <- w.Watch() }()
	} else {
		go w.Follow()
	}
	return w
}

// next returns the next list, within a bound.
func (w *watched) next(t *testing.T, within time.Duration) *List {
	t.Helper()
	select {
	case l := <-w.lists:
		return l
	case <-time.After(within):
		t.Fatalf("no list within %v", within)
		return nil
	}
}

// answer is the head of an answer whose body ends with the connection.
const answer = "HTTP/1.1 200 OK\r\n\r\n"

// hold keeps a connection open until its client closes it.
func hold(c net.Conn) { io.Copy(io.Discard, c) }

// Lists are consecutive JSON objects, over any number of lines and in any number of pieces.
func TestListsOverLines(t *testing.T) {
	change := func(index int) string { return fmt.Sprintf(`{"index":%d,"snapshot":false,"endpoints":[]}`, index) }
	for name, pieces := range map[string][]string{
		"on one line each":     {strings.Join(strings.Fields(indented), "") + "\n" + change(8) + "\n\n" + change(9) + "\n"},
		"indented":             {indented + "\n\n" + change(8) + "\n" + change(9) + "\n"},
		"in pieces":            {indented[:20], indented[20:50], indented[50:] + change(8)[:9], change(8)[9:] + "\n" + change(9)},
		"without a line's end": {indented + change(8) + change(9)},
		"a list each":          {indented, "\n", change(8) + "\n", "\r\n", change(9) + "\n"},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			w := follow(t, false, func(_ int, c net.Conn, _ *http.Request) {
				io.WriteString(c, answer)
				for _, p := range pieces {
					io.WriteString(c, p)
					time.Sleep(5 * time.Millisecond)
				}
				hold(c)
			})
			l := w.next(t, patience)
			want := []Entry{
				{martendrum.Endpoint{Name: "a", State: martendrum.Serving}, "127.0.0.1:1"},
				{martendrum.Endpoint{Name: "b", State: martendrum.Draining}, "127.0.0.1:2"},
			}
			if l.Index != 7 || !l.Complete || !reflect.DeepEqual(l.Entries, want) {
				t.Errorf("the first list was read as %+v", l)
			}
			for index := int64(8); index <= 9; index++ {
				if l := w.next(t, patience); l.Index != index || l.Complete {
					t.Errorf("list %d was read as %+v", index, l)
				}
			}
		})
	}
}

// A watch on which nothing arrives, or on which a list stops half way, is reopened well before
// the changes that it missed count as notified, polled or pushed, and continues from the last
// version received.
func TestSilentWatchIsReopened(t *testing.T) {
	for _, polled := range []bool{false, true} {
		for name, then := range map[string]func(c net.Conn){
			"nothing":               hold,
			"half a list":           func(c net.Conn) { io.WriteString(c, indented[:40]); hold(c) },
			"half, and empty lines": func(c net.Conn) { io.WriteString(c, "{\"index\":8,"); drip(c, "\n") },
			"half, drop by drop":    func(c net.Conn) { io.WriteString(c, `{"index":8,"name":"`); drip(c, "x") },
		} {
			t.Run(fmt.Sprintf("%s, polled %v", name, polled), func(t *testing.T) {
				t.Parallel()
				after := make(chan string, 10)
				w := follow(t, polled, func(n int, c net.Conn, r *http.Request) {
					after <- r.URL.Query().Get("after")
					io.WriteString(c, answer)
					if n == 0 {
						io.WriteString(c, indented)
						then(c)
					} else {
						io.WriteString(c, strings.Replace(indented, "7", "9", 1))
						hold(c)
					}
				})
				w.next(t, patience)
				if l := w.next(t, soon); l.Index != 9 {
					t.Errorf("after it was reopened, it got %+v", l)
				}
				if a, b := <-after, <-after; a != "" || b != "7" {
					t.Errorf("requested changes after %q, then after %q", a, b)
				}
				if polled && len(w.failed) > 0 {
					t.Errorf("a failure was reported: %v", <-w.failed)
				}
			})
		}
	}
}

// A watch that is silent from its first byte, or after its head, is reopened in time.
func TestSilentFromTheFirstByte(t *testing.T) {
	for head, text := range map[string]string{"nothing": "", "a head": answer} {
		for pace, p := range map[string]Pace{"polled": Polled(), "pushed": Pushed(2 * time.Second)} {
			t.Run(head+", "+pace, func(t *testing.T) {
				t.Parallel()
				addr := tcp.Requests(t, func(conn, _ int, c net.Conn, _ *http.Request) bool {
					if conn == 0 {
						io.WriteString(c, text)
					} else {
						io.WriteString(c, answer+indented)
					}
					hold(c)
					return false
				})
				w := &watched{lists: make(chan *List, 100)}
				w.Watcher = &Watcher{Addr: addr, Pace: p, Listed: func(l *List) { w.lists <- l }, Failed: func(error) {}}
				t.Cleanup(w.Close)
				go w.Follow()
				if l := w.next(t, soon); l.Index != 7 {
					t.Errorf("it got %+v", l)
				}
			})
		}
	}
}

// A silent watch and the lost call after it together cost less than the time after which
// changes count as notified, also where the next response is slow.
func TestSilentWatchAndLostCall(t *testing.T) {
	const slow = 1200 * time.Millisecond // how long an overloaded discovery takes to answer
	for name, lost := range map[string]func(c net.Conn){
		"no answer": hold,
		"a head":    func(c net.Conn) { io.WriteString(c, answer); hold(c) },
		"rejected":  func(c net.Conn) { io.WriteString(c, "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n") },
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			silent := make(chan time.Time, 1)
			addr := tcp.Requests(t, func(conn, _ int, c net.Conn, _ *http.Request) bool {
				switch conn {
				case 0:
					io.WriteString(c, answer+indented)
					silent <- time.Now()
					hold(c)
				case 1:
					lost(c)
				default:
					time.Sleep(slow)
					io.WriteString(c, answer+strings.Replace(indented, "7", "9", 1))
					hold(c)
				}
				return false
			})
			w := &watched{lists: make(chan *List, 100), failed: make(chan error, 100)}
			w.Watcher = &Watcher{Addr: addr, Pace: Polled(), Listed: func(l *List) { w.lists <- l }, Failed: func(err error) { w.failed <- err }}
			t.Cleanup(w.Close)
			go func() { w.failed <- w.Watch() }()
			w.next(t, patience)
			since := <-silent
			if l := w.next(t, patience); l.Index != 9 {
				t.Errorf("it got %+v", l)
			}
			if late := time.Since(since); late > maxNotificationDelay-notificationMargin {
				t.Errorf("notified %v after the watch fell silent", late)
			}
		})
	}
}

// An endpoint change during a second call is followed at once, and Close ends both calls.
func TestEndpointChangeDuringSecondCall(t *testing.T) {
	calls := make(chan int, 10)
	addr := tcp.Requests(t, func(conn, _ int, c net.Conn, _ *http.Request) bool {
		calls <- conn
		if conn == 0 {
			io.WriteString(c, answer+indented)
		}
		hold(c)
		return false
	})
	w := &watched{lists: make(chan *List, 100), failed: make(chan error, 100)}
	w.Watcher = &Watcher{Addr: addr, Pace: Polled(), Listed: func(l *List) { w.lists <- l }, Failed: func(err error) { w.failed <- err }}
	t.Cleanup(w.Close)
	go func() { w.failed <- w.Watch() }()
	w.next(t, patience)
	for conn := range 3 {
		if got := <-calls; got != conn {
			t.Fatalf("call %d came as %d", conn, got)
		}
	}
	there := tcp.Requests(t, func(_, _ int, c net.Conn, _ *http.Request) bool {
		io.WriteString(c, answer+strings.Replace(indented, "7", "3", 1))
		hold(c)
		return false
	})
	moved := time.Now()
	w.SetEndpoint(there, w.Pace)
	if l := w.next(t, patience); l.Index != 3 {
		t.Errorf("after the move: %+v", l)
	}
	if took := time.Since(moved); took > Polled().SecondCallDelay {
		t.Errorf("the move was followed after %v", took)
	}
}

// drip writes s again and again until the connection ends.
func drip(c net.Conn, s string) {
	for {
		if _, err := io.WriteString(c, s); err != nil {
			return
		}
		time.Sleep(20 * time.Millisecond)
	}
}

// Invalid JSON, or a list without end, ends the watch; the next one requests the complete list.
func TestInvalidListsResetTheIndex(t *testing.T) {
	for name, text := range map[string]string{
		"no JSON":       indented + "} {",
		"no index":      indented + `{"endpoints":[]}`,
		"older version": indented + `{"index":6,"snapshot":false,"endpoints":[]}`,
		"no object":     indented + "[1, 2]",
		"without end":   indented + `{"index":8,"name":"` + strings.Repeat("x", maxList+1<<16),
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			after := make(chan string, 100)
			w := follow(t, false, func(n int, c net.Conn, r *http.Request) {
				after <- r.URL.Query().Get("after")
				io.WriteString(c, answer+text)
				hold(c)
			})
			w.next(t, patience)
			if err := <-w.failed; err == nil || errors.As(err, new(*SilentError)) {
				t.Errorf("the watch ended with %v", err)
			}
			want := ""
			if name == "without end" {
				want = "7" // the list received before is valid
			}
			if _, again := <-after, <-after; again != want {
				t.Errorf("requested changes after %q, want %q", again, want)
			}
		})
	}
}

// A second call does not open a second watch, and an endpoint change is followed by the open one,
// also while it waits for its retry.
func TestOneWatchFollowsEndpointChanges(t *testing.T) {
	holding := func(index int) func(int, net.Conn, *http.Request) {
		return func(_ int, c net.Conn, _ *http.Request) {
			io.WriteString(c, answer+strings.Replace(indented, "7", fmt.Sprint(index), 1))
			hold(c)
		}
	}
	w := follow(t, true, holding(7))
	w.next(t, patience)
	if err := w.Watch(); !errors.Is(err, ErrOpen) {
		t.Errorf("a second watch: %v", err)
	}
	there := tcp.Requests(t, func(conn, _ int, c net.Conn, r *http.Request) bool {
		if r.URL.Query().Get("after") != "" {
			t.Error("the new discovery got a version of the old one")
		}
		holding(3)(conn, c, r)
		return false
	})
	w.SetEndpoint(there, w.Pace)
	if l := w.next(t, soon); l.Index != 3 {
		t.Errorf("after the move: %+v", l)
	}
}
