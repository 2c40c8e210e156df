package sidecar

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"

	"martendrum/internal/metrics"
)

// read is all metrics of a Host that start made, by full name.
func read(t *testing.T, h *Host) map[string]float64 {
	t.Helper()
	var text bytes.Buffer
	h.meter.(*metrics.Set).Write(&text)
	got := make(map[string]float64)
	for in := bufio.NewScanner(&text); in.Scan(); {
		at := strings.LastIndexByte(in.Text(), ' ')
		if at < 0 {
			continue
		}
		v, err := strconv.ParseFloat(in.Text()[at+1:], 64)
		if err != nil {
			t.Fatalf("metric %q: %v", in.Text(), err)
		}
		got[strings.TrimPrefix(in.Text()[:at], "edge_balancer_")] = v
	}
	return got
}

// A scripted day: served, declined and tried again, failed, broken, refused at a
// limit, abandoned, cancelled. Each metric agrees with what servers and clients counted.
func TestMetricsAgreeWithCounted(t *testing.T) {
	var ran atomic.Int64 // requests that arrived completely at a server
	declined := new(sync.Map)
	hold := make(chan struct{})
	act := func(c net.Conn, r *http.Request) bool {
		if r.URL.Path == "/_load" {
			return false
		}
		io.Copy(io.Discard, r.Body)
		ran.Add(1)
		what, _, _ := strings.Cut(r.Header.Get("Req-Id"), "-")
		switch _, again := declined.LoadOrStore(r.Header.Get("Req-Id"), true); {
		case what == "declined" && !again:
			io.WriteString(c, "HTTP/1.1 503 Busy\r\nSrv-Declined: 1\r\nContent-Length: 0\r\n\r\n")
			return true
		case what == "error":
			io.WriteString(c, "HTTP/1.1 500 No\r\nContent-Length: 0\r\n\r\n")
			return true
		case what == "reset":
			return false
		case what == "hold", what == "gone":
			<-hold
		}
		io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
		return true
	}
	h, srv, at := start(t, served(t, act), served(t, act), served(t, act))
	counted := map[string]int{}
	send := func(what, class string, n int) {
		c := dialled(t, at)
		head := map[string]string{
			"look": "GET /look HTTP/1.1\r\nHost: a\r\nReq-Id: %s-%d\r\n\r\n",
			"pay":  "POST /pay HTTP/1.1\r\nHost: a\r\nReq-Id: %s-%d\r\nContent-Length: 2\r\n\r\nab",
		}[class]
		fmt.Fprintf(c, head, what+"-"+class, n)
		resp, err := http.ReadResponse(bufio.NewReader(c), nil)
		if err != nil {
			t.Fatal(err)
		}
		result := "errors"
		switch resp.StatusCode {
		case 200:
			result = "ok"
		case 503, 429:
			result = "shed"
		}
		counted[fmt.Sprintf(`responses{kind=%q,result=%q}`, class, result)]++
	}
	for n := range 30 {
		for _, what := range []string{"fine", "declined", "error", "reset"} {
			send(what, "look", n)
			send(what, "pay", n)
		}
	}
	// Three are held, one of them is abandoned; a fourth is refused at the limit.
	var open []net.Conn
	for n, what := range []string{"hold", "hold", "gone"} {
		c := dialled(t, at)
		fmt.Fprintf(c, "POST /pay HTTP/1.1\r\nHost: a\r\nReq-Id: %s-%d\r\nContent-Length: 0\r\n\r\n", what, 1000+n)
		open = append(open, c)
	}
	wait(t, "three to be held", func() bool { return h.InFlight() == 3 && srv.Active() == 3 })
	h.Limit(3, 3)
	send("fine", "pay", 9999)
	h.Limit(100, 100)
	open[2].Close()
	wait(t, "the abandoned one to go", func() bool { return srv.Active() == 2 })
	close(hold)
	for _, c := range open[:2] {
		if resp, err := http.ReadResponse(bufio.NewReader(c), nil); err != nil || resp.StatusCode != 200 {
			t.Fatal(resp, err)
		}
		counted[`responses{kind="pay",result="ok"}`]++
	}
	wait(t, "nothing held", func() bool { return h.InFlight() == 0 })
	got := read(t, h)
	for _, class := range []string{"look", "pay"} {
		for _, result := range []string{"ok", "shed", "errors"} {
			name := fmt.Sprintf(`responses{kind=%q,result=%q}`, class, result)
			if got[name] != float64(counted[name]) {
				t.Errorf("%s %v, clients counted %d", name, got[name], counted[name])
			}
		}
	}
	if counted[`responses{kind="pay",result="errors"}`] == 0 || counted[`responses{kind="pay",result="shed"}`] != 1 {
		t.Errorf("the day did not go as meant: %v", counted)
	}
	if got["tries"] != float64(ran.Load()) {
		t.Errorf("tries %v, servers counted %d", got["tries"], ran.Load())
	}
	if got[`limited{reason="held"}`] != 1 || got[`attempts{outcome="declined"}`] < 1 || got[`attempts{outcome="reset"}`] < 30 || got[`attempts{outcome="error"}`] < 30 {
		t.Errorf("causes: %v", got)
	}
	ends := 0.0
	for name, v := range got {
		if strings.HasPrefix(name, "attempts{") && !strings.Contains(name, "connect") && !strings.Contains(name, "not_sent") {
			ends += v
		}
	}
	if ends != got["tries"] {
		t.Errorf("%v attempts ended, %v were written", ends, got["tries"])
	}
	if listed, avoided := h.Servers(); listed != 3 || avoided > 1 {
		t.Errorf("%d servers, %d avoided", listed, avoided)
	}
	if n := got["own_seconds_count"]; n < 200 {
		t.Errorf("own time logged %v times", n)
	}
}
