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

// A step of the wall clock changes no duration: the Balancer's time and the deadlines of open requests
// are unaffected, and a server that is listed afterwards with a recent start is accepted.
func TestWallClockStepsChangeNoSpan(t *testing.T) {
	for _, by := range []time.Duration{3 * time.Second, -3 * time.Second, time.Hour, -time.Hour} {
		t.Run(fmt.Sprint("step of ", by), func(t *testing.T) {
			atStart := clock.Step(by) // the clock is wrong when the process starts
			h, _, at := start(t, tcp.Serve(t, func(_ int, c net.Conn) { io.Copy(io.Discard, c) }))
			atStart()
			before := h.now()
			began := time.Now()
			c := dialSidecar(t, at)
			fmt.Fprintf(c, "POST /pay HTTP/1.1\r\nHost: a\r\nReq-Id: 1\r\nReq-Deadline-Ms: 400\r\nContent-Length: 0\r\n\r\n")
			back := clock.Step(-2 * by) // then it is wrong in the other direction
			defer back()
			if moved, passed := h.now()-before, time.Since(began); moved > passed+time.Second || moved < 0 {
				t.Errorf("the Balancer's time moved by %v", moved)
			}
			if _, err := http.ReadResponse(bufio.NewReader(c), nil); err != nil {
				t.Error(err)
			}
			if took := time.Since(began); took < 300*time.Millisecond || took > 2*time.Second {
				t.Errorf("a request that may wait for 400 ms was answered after %v", took)
			}
			truth := time.Duration(time.Now().UnixNano())
			h.Listed(&discovery.List{Index: 2, Entries: []discovery.Entry{{
				Endpoint: martendrum.Endpoint{Name: "fresh", CapacityHint: 1, Started: truth - 500*time.Millisecond}, Address: "127.0.0.1:1",
			}}})
			listed, _ := h.Servers()
			if listed != 2 {
				t.Errorf("%d servers are listed", listed)
			}
		})
	}
}
