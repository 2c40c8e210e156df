package upstream

import (
	"fmt"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"martendrum"
)

// A malformed answer is a failed attempt that may have run, and nothing of it is forwarded.
func TestMalformedAnswers(t *testing.T) {
	for name, text := range map[string]string{
		"noise":             "\x00\x01\x02\xff\xfe\r\n\r\n",
		"no version":        "ICY 200 OK\r\nContent-Length: 3\r\n\r\nyes",
		"version 2":         "HTTP/2.0 200 OK\r\nContent-Length: 3\r\n\r\nyes",
		"status no number":  "HTTP/1.1 2x0 OK\r\nContent-Length: 3\r\n\r\nyes",
		"no colon":          "HTTP/1.1 200 OK\r\nno colon here\r\nContent-Length: 3\r\n\r\nyes",
		"head without end":  "HTTP/1.1 200 OK\r\n" + strings.Repeat("X-Pad: pppp\r\n", 1<<14),
		"two lengths":       "HTTP/1.1 200 OK\r\nContent-Length: 3\r\nContent-Length: 2\r\n\r\nyes",
		"both lengths":      "HTTP/1.1 200 OK\r\nContent-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nyes\r\n0\r\n\r\n",
		"negative length":   "HTTP/1.1 200 OK\r\nContent-Length: -1\r\n\r\nyes",
		"3 GB":              "HTTP/1.1 200 OK\r\nContent-Length: 3221225472\r\n\r\nyes",
		"chunks of no size": "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nabcde\r\nzz\r\n",
		"protocol switch":   "HTTP/1.1 101 Switching Protocols\r\n\r\n",
		"interim for ever":  strings.Repeat("HTTP/1.1 103 Early Hints\r\n\r\n", 40) + goodAnswer,
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			addr := serve(t, func(_, _ int, c net.Conn) { io.WriteString(c, text) })
			p := newPool(addr)
			if e := sendOne(t, p); e.outcome != martendrum.Reset || e.answer != nil {
				t.Errorf("outcome %v with %v, want a reset with nothing", e.outcome, e.answer)
			}
			for n := 0; p.Conns() > 0; n++ {
				if n > 2000 {
					t.Fatal("the connection stayed open")
				}
				time.Sleep(time.Millisecond)
			}
		})
	}
}

// A reset does not end an answer: one without a length whose connection is reset before, in or
// after its body is a failed attempt that may have run.
func TestResetIsNoEnd(t *testing.T) {
	for _, body := range []string{"", "half", strings.Repeat("x", 8<<10)} {
		addr := serve(t, func(_, _ int, c net.Conn) {
			io.WriteString(c, "HTTP/1.1 200 OK\r\n\r\n"+body)
			c.(*net.TCPConn).SetLinger(0)
			c.Close()
		})
		if e := sendOne(t, newPool(addr)); e.outcome != martendrum.Reset || e.answer != nil {
			t.Errorf("%d bytes and a reset: outcome %v with %v", len(body), e.outcome, e.answer)
		}
	}
}

// A valid answer counts whatever precedes or follows it, and what follows it is never taken for
// the answer to the next request.
func TestBytesBeyondTheAnswer(t *testing.T) {
	for name, c := range map[string]struct{ ahead, behind string }{
		"duplicate": {"", goodAnswer},
		"noise":     {"", "\xff\xfe\x00noise"},
		"interim":   {"HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n", ""},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			addr := serve(t, func(conn, n int, nc net.Conn) {
				body := fmt.Sprintf("%d.%d", conn, n)
				text := fmt.Sprintf("%sHTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", c.ahead, len(body), body)
				io.WriteString(nc, text+c.behind)
			})
			p := newPool(addr)
			seen := make(map[string]bool)
			for n := range 20 {
				e := sendOne(t, p)
				if e.outcome != martendrum.OK || seen[string(e.answer.Body)] {
					t.Fatalf("answer %d: %v %v, want one of its own", n, e.outcome, e.answer)
				}
				seen[string(e.answer.Body)] = true
			}
		})
	}
}

// An answer that stalls fails while there is time left for a retry.
func TestAnswerStopsShort(t *testing.T) {
	hold := make(chan struct{})
	addr := serve(t, func(_, _ int, c net.Conn) {
		io.WriteString(c, goodAnswer[:len(goodAnswer)-1])
		<-hold
	})
	defer close(hold)
	if e := sendOne(t, newPool(addr)); e.outcome != martendrum.Reset || e.answer != nil {
		t.Errorf("outcome %v with %v, want a reset", e.outcome, e.answer)
	}
}

// Values of a load report that are not valid loads are ignored.
func TestParseLoad(t *testing.T) {
	for text, want := range map[string]martendrum.LoadReport{
		"inflight=7,queue=2,util=0.61":    {HasInFlight: true, InFlight: 7, HasUtilization: true, Utilization: 0.61},
		"inflight=NaN,util=Inf":           {},
		"inflight=-3,util=-0.1":           {},
		"inflight=1e300":                  {},
		"inflight=,=,,,util":              {},
		"\x00\xff,inflight=4, util =0.5,": {HasInFlight: true, InFlight: 4},
	} {
		if got := ParseLoad(text); got != want {
			t.Errorf("%q: %+v, want %+v", text, got, want)
		}
	}
}

// A long answer that is not read, such as a probe's or one that arrives after its request has
// ended, blocks neither its goroutine nor its connection.
func TestUnreadRestFreesConnection(t *testing.T) {
	body := strings.Repeat("x", 1<<20)
	p := newPool(serve(t, func(_, _ int, c net.Conn) {
		fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
	}))
	if e := sendOne(t, p); e.outcome != martendrum.OK || e.answer.Rest == nil {
		t.Fatalf("outcome %v with %v, want an incomplete answer", e.outcome, e.answer)
	}
	for n := 0; p.Conns() > 0; n++ {
		if n > 2000 {
			t.Fatal("the connection stayed open")
		}
		time.Sleep(time.Millisecond)
	}
}
