package sidecar

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"martendrum"
	"martendrum/internal/clock"
	"martendrum/internal/discovery"
	"martendrum/internal/standin/tcp"
)

// A step of the wall clock changes no duration: it affects neither the Balancer's time nor the deadlines
// of open requests, and a server that is listed afterwards with a recent start is accepted.
func TestWallClockStepsChangeNoDuration(t *testing.T) {
	for _, by := range []time.Duration{3 * time.Second, -3 * time.Second, time.Hour, -time.Hour} {
		t.Run(fmt.Sprint("step of ", by), func(t *testing.T) {
			undoStartStep := clock.Step(by) // the clock is wrong when the process starts
			h, _, at := start(t, tcp.Serve(t, func(_ int, c net.Conn) { io.Copy(io.Discard, c) }))
			undoStartStep()
			before := h.now()
			began := time.Now()
			c := dialSidecar(t, at)
			fmt.Fprintf(c, "POST /pay HTTP/1.1\r\nHost: a\r\nReq-Id: 1\r\nReq-Deadline-Ms: 400\r\nContent-Length: 0\r\n\r\n")
			undoStep := clock.Step(-2 * by) // then it is wrong in the other direction
			defer undoStep()
			if moved, passed := h.now()-before, time.Since(began); moved > passed+time.Second || moved < 0 {
				t.Errorf("the Balancer's time advanced by %v while %v passed on the monotonic clock, want at least 0 and at most 1 s more", moved, passed)
			}
			if _, err := http.ReadResponse(bufio.NewReader(c), nil); err != nil {
				t.Errorf("reading the response: %v", err)
			}
			if took := time.Since(began); took < 300*time.Millisecond || took > 2*time.Second {
				t.Errorf("a request with a deadline of 400 ms was answered after %v, want 300 ms to 2 s", took)
			}
			unixNow := time.Duration(time.Now().UnixNano())
			h.ApplyServers(&discovery.List{Index: 2, Entries: []discovery.Entry{{
				Endpoint: martendrum.Endpoint{Name: "fresh", CapacityHint: 1, Started: unixNow - 500*time.Millisecond}, Address: "127.0.0.1:1",
			}}})
			listed, _ := h.Servers()
			if listed != 2 {
				t.Errorf("%d servers are listed, want 2", listed)
			}
		})
	}
}
