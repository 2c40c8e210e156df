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

const (
	// patience is how long a test waits for an expected event.
	patience = 20 * time.Second
	// soon is how long a test waits for a list after a silent watch: the list must arrive well before
	// the changes that the watch missed count as notified.
	soon = 5 * time.Second
)

// indented is a complete list of version 7, written over several lines.
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

// testWatcher is a Watcher that passes its lists and errors to the test through channels.
type testWatcher struct {
	*Watcher
	lists  chan *List
	failed chan error
}

// follow runs a Watcher with a stand-in for discovery. The stand-in calls handle for its n-th connection,
// counted from 0. If polled, the Watcher makes one call of Watch, otherwise of Follow.
func follow(t *testing.T, polled bool, handle func(n int, c net.Conn, r *http.Request)) *testWatcher {
	t.Helper()
	addr := tcp.Requests(t, func(conn, _ int, c net.Conn, r *http.Request) bool {
		handle(conn, c, r)
		return false
	})
	w := &testWatcher{lists: make(chan *List, 100), failed: make(chan error, 100)}
	w.Watcher = &Watcher{Addr: addr, Pace: Pace{CallTimeout: patience, RetrySpread: time.Second, MaxBackoff: 500 * time.Millisecond}, OnList: func(l *List) { w.lists <- l }, OnFailure: func(err error) { w.failed <- err }}
	t.Cleanup(w.Close)
	if polled {
		go func() { w.failed <- w.Watch() }()
	} else {
		go w.Follow()
	}
	return w
}

// next returns the next list, and fails the test if none arrives within the given time.
func (w *testWatcher) next(t *testing.T, within time.Duration) *List {
	t.Helper()
	select {
	case l := <-w.lists:
		return l
	case <-time.After(within):
		t.Fatalf("no list arrived within %v", within)
		return nil
	}
}

// responseHead is the head of a response whose body ends with the connection.
const responseHead = "HTTP/1.1 200 OK\r\n\r\n"

// hold keeps a connection open until its client closes it.
func hold(c net.Conn) { io.Copy(io.Discard, c) }

// Lists are consecutive JSON objects, which may span any number of lines and arrive in any number of
// pieces.
func TestListsOverLines(t *testing.T) {
	change := func(index int) string { return fmt.Sprintf(`{"index":%d,"snapshot":false,"endpoints":[]}`, index) }
	for name, pieces := range map[string][]string{
		"on one line each":       {strings.Join(strings.Fields(indented), "") + "\n" + change(8) + "\n\n" + change(9) + "\n"},
		"indented":               {indented + "\n\n" + change(8) + "\n" + change(9) + "\n"},
		"in pieces":              {indented[:20], indented[20:50], indented[50:] + change(8)[:9], change(8)[9:] + "\n" + change(9)},
		"without line ends":      {indented + change(8) + change(9)},
		"one list in each piece": {indented, "\n", change(8) + "\n", "\r\n", change(9) + "\n"},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			w := follow(t, false, func(_ int, c net.Conn, _ *http.Request) {
				io.WriteString(c, responseHead)
				for _, piece := range pieces {
					io.WriteString(c, piece)
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
				t.Errorf("first list: got %+v, want a complete list of version 7 with entries %+v", l, want)
			}
			for index := int64(8); index <= 9; index++ {
				if l := w.next(t, patience); l.Index != index || l.Complete {
					t.Errorf("got list %+v, want changes of version %d", l, index)
				}
			}
		})
	}
}

// A watch on which nothing arrives any more, or on which a list stays incomplete, is reopened well before
// the changes that it missed count as notified, and continues from the last version received. This
// holds for one call of Watch (polled) and for Follow.
func TestSilentWatchIsReopened(t *testing.T) {
	for _, polled := range []bool{false, true} {
		for name, afterList := range map[string]func(c net.Conn){
			"no bytes":                          hold,
			"incomplete list":                   func(c net.Conn) { io.WriteString(c, indented[:40]); hold(c) },
			"incomplete list, then empty lines": func(c net.Conn) { io.WriteString(c, "{\"index\":8,"); drip(c, "\n") },
			"incomplete list, slowly":           func(c net.Conn) { io.WriteString(c, `{"index":8,"name":"`); drip(c, "x") },
		} {
			t.Run(fmt.Sprintf("%s, polled %v", name, polled), func(t *testing.T) {
				t.Parallel()
				requestedAfter := make(chan string, 10)
				w := follow(t, polled, func(n int, c net.Conn, r *http.Request) {
					requestedAfter <- r.URL.Query().Get("after")
					io.WriteString(c, responseHead)
					if n == 0 {
						io.WriteString(c, indented)
						afterList(c)
					} else {
						io.WriteString(c, strings.Replace(indented, "7", "9", 1))
						hold(c)
					}
				})
				w.next(t, patience)
				if l := w.next(t, soon); l.Index != 9 {
					t.Errorf("after the watch was reopened: got %+v, want version 9", l)
				}
				if first, second := <-requestedAfter, <-requestedAfter; first != "" || second != "7" {
					t.Errorf("the calls requested changes after versions %q and %q, want \"\" and \"7\"", first, second)
				}
				if polled && len(w.failed) > 0 {
					t.Errorf("Watch returned %v, want it to reopen the watch itself", <-w.failed)
				}
			})
		}
	}
}

// A first call on which nothing arrives, or only the head of a response, is repeated in time.
func TestSilentFromTheFirstByte(t *testing.T) {
	for received, text := range map[string]string{"no bytes": "", "a head": responseHead} {
		for mode, pace := range map[string]Pace{"polled": PolledPace(), "pushed": PushedPace(2 * time.Second)} {
			t.Run(received+", "+mode, func(t *testing.T) {
				t.Parallel()
				addr := tcp.Requests(t, func(conn, _ int, c net.Conn, _ *http.Request) bool {
					if conn == 0 {
						io.WriteString(c, text)
					} else {
						io.WriteString(c, responseHead+indented)
					}
					hold(c)
					return false
				})
				w := &testWatcher{lists: make(chan *List, 100)}
				w.Watcher = &Watcher{Addr: addr, Pace: pace, OnList: func(l *List) { w.lists <- l }, OnFailure: func(error) {}}
				t.Cleanup(w.Close)
				go w.Follow()
				if l := w.next(t, soon); l.Index != 7 {
					t.Errorf("got list %+v, want version 7", l)
				}
			})
		}
	}
}

// If a watch falls silent, the call after it is lost and the next response is slow, the list still arrives
// before missed changes count as notified.
func TestSilentWatchAndLostCall(t *testing.T) {
	const responseTime = 1200 * time.Millisecond // of an overloaded discovery
	for name, loseCall := range map[string]func(c net.Conn){
		"no response": hold,
		"a head":      func(c net.Conn) { io.WriteString(c, responseHead); hold(c) },
		"rejected":    func(c net.Conn) { io.WriteString(c, "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n") },
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			fellSilent := make(chan time.Time, 1)
			addr := tcp.Requests(t, func(conn, _ int, c net.Conn, _ *http.Request) bool {
				switch conn {
				case 0:
					io.WriteString(c, responseHead+indented)
					fellSilent <- time.Now()
					hold(c)
				case 1:
					loseCall(c)
				default:
					time.Sleep(responseTime)
					io.WriteString(c, responseHead+strings.Replace(indented, "7", "9", 1))
					hold(c)
				}
				return false
			})
			w := &testWatcher{lists: make(chan *List, 100), failed: make(chan error, 100)}
			w.Watcher = &Watcher{Addr: addr, Pace: PolledPace(), OnList: func(l *List) { w.lists <- l }, OnFailure: func(err error) { w.failed <- err }}
			t.Cleanup(w.Close)
			go func() { w.failed <- w.Watch() }()
			w.next(t, patience)
			silentSince := <-fellSilent
			if l := w.next(t, patience); l.Index != 9 {
				t.Errorf("got list %+v, want version 9", l)
			}
			if delay := time.Since(silentSince); delay > maxNotificationDelay-notificationMargin {
				t.Errorf("the list arrived %v after the last byte of the silent watch, want at most %v", delay, maxNotificationDelay-notificationMargin)
			}
		})
	}
}

// An endpoint change while two calls run in parallel is followed at once. Close, which the test calls at
// its end, closes the connections that are open then.
func TestEndpointChangeDuringSecondCall(t *testing.T) {
	calls := make(chan int, 10)
	addr := tcp.Requests(t, func(conn, _ int, c net.Conn, _ *http.Request) bool {
		calls <- conn
		if conn == 0 {
			io.WriteString(c, responseHead+indented)
		}
		hold(c)
		return false
	})
	w := &testWatcher{lists: make(chan *List, 100), failed: make(chan error, 100)}
	w.Watcher = &Watcher{Addr: addr, Pace: PolledPace(), OnList: func(l *List) { w.lists <- l }, OnFailure: func(err error) { w.failed <- err }}
	t.Cleanup(w.Close)
	go func() { w.failed <- w.Watch() }()
	w.next(t, patience)
	for conn := range 3 {
		if got := <-calls; got != conn {
			t.Fatalf("got a call on connection %d, want %d", got, conn)
		}
	}
	newAddr := tcp.Requests(t, func(_, _ int, c net.Conn, _ *http.Request) bool {
		io.WriteString(c, responseHead+strings.Replace(indented, "7", "3", 1))
		hold(c)
		return false
	})
	changedAt := time.Now()
	w.SetEndpoint(newAddr, w.Pace)
	if l := w.next(t, patience); l.Index != 3 {
		t.Errorf("after SetEndpoint: got %+v, want version 3", l)
	}
	if took := time.Since(changedAt); took > PolledPace().SecondCallDelay {
		t.Errorf("the list of the new endpoint arrived after %v, want at most %v", took, PolledPace().SecondCallDelay)
	}
}

// drip writes s every 20 ms until the connection is closed.
func drip(c net.Conn, s string) {
	for {
		if _, err := io.WriteString(c, s); err != nil {
			return
		}
		time.Sleep(20 * time.Millisecond)
	}
}

// An invalid list ends the watch, and the next one requests the complete list. After a list that is too
// long, the next watch continues from the last version received.
func TestInvalidListsResetTheIndex(t *testing.T) {
	for name, text := range map[string]string{
		"invalid JSON":  indented + "} {",
		"no index":      indented + `{"endpoints":[]}`,
		"older version": indented + `{"index":6,"snapshot":false,"endpoints":[]}`,
		"not an object": indented + "[1, 2]",
		"too long":      indented + `{"index":8,"name":"` + strings.Repeat("x", maxList+1<<16),
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			requestedAfter := make(chan string, 100)
			w := follow(t, false, func(n int, c net.Conn, r *http.Request) {
				requestedAfter <- r.URL.Query().Get("after")
				io.WriteString(c, responseHead+text)
				hold(c)
			})
			w.next(t, patience)
			if err := <-w.failed; err == nil || errors.As(err, new(*SilentError)) {
				t.Errorf("the watch ended with %v, want an error that is not a SilentError", err)
			}
			want := ""
			if name == "too long" {
				want = "7" // the version of the last valid list
			}
			if _, second := <-requestedAfter, <-requestedAfter; second != want {
				t.Errorf("the second call requested changes after version %q, want %q", second, want)
			}
		})
	}
}

// A second call of Watch returns ErrOpen and opens no second watch. The open watch follows an endpoint
// change and requests the complete list there.
func TestOneWatchFollowsEndpointChanges(t *testing.T) {
	sendAndHold := func(index int) func(int, net.Conn, *http.Request) {
		return func(_ int, c net.Conn, _ *http.Request) {
			io.WriteString(c, responseHead+strings.Replace(indented, "7", fmt.Sprint(index), 1))
			hold(c)
		}
	}
	w := follow(t, true, sendAndHold(7))
	w.next(t, patience)
	if err := w.Watch(); !errors.Is(err, ErrOpen) {
		t.Errorf("second call of Watch: got %v, want ErrOpen", err)
	}
	newAddr := tcp.Requests(t, func(conn, _ int, c net.Conn, r *http.Request) bool {
		if r.URL.Query().Get("after") != "" {
			t.Error("the call to the new endpoint states a version of the old one, want none")
		}
		sendAndHold(3)(conn, c, r)
		return false
	})
	w.SetEndpoint(newAddr, w.Pace)
	if l := w.next(t, soon); l.Index != 3 {
		t.Errorf("after SetEndpoint: got %+v, want version 3", l)
	}
}
