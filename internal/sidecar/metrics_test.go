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

	"martendrum/internal/downstream"
	"martendrum/internal/metrics"
)

// readMetrics returns all metrics of a Host that start made, by full name.
func readMetrics(t *testing.T, h *Host) map[string]float64 {
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

// Each metric agrees with what servers and clients counted: requests that are served, declined and
// retried, failed, broken, rejected at a limit, abandoned and cancelled.
func TestMetricsAgreeWithCounted(t *testing.T) {
	server := &countingServer{release: make(chan struct{})}
	h, srv, addr := start(t, startServer(t, server.act), startServer(t, server.act), startServer(t, server.act))
	clients := &countingClients{t: t, addr: addr, responses: make(map[string]int)}
	for n := range 30 {
		for _, what := range []string{"fine", "declined", "error", "reset"} {
			clients.send(what, "look", n)
			clients.send(what, "pay", n)
		}
	}
	testRequestsInFlight(t, h, srv, server, clients)
	got := readMetrics(t, h)
	clients.checkResponses(got)
	if got["tries"] != float64(server.received.Load()) {
		t.Errorf("tries %v, servers counted %d", got["tries"], server.received.Load())
	}
	if got[`limited{reason="held"}`] != 1 || got[`attempts{outcome="declined"}`] < 1 || got[`attempts{outcome="reset"}`] < 30 || got[`attempts{outcome="error"}`] < 30 {
		t.Errorf("causes: %v", got)
	}
	if ends := finishedAttempts(got); ends != got["tries"] {
		t.Errorf("%v attempts ended, %v were written", ends, got["tries"])
	}
	if listed, avoided := h.Servers(); listed != 3 || avoided > 1 {
		t.Errorf("%d servers, %d avoided", listed, avoided)
	}
	if n := got["own_seconds_count"]; n < 200 {
		t.Errorf("own time logged %v times", n)
	}
}

// testRequestsInFlight has three requests held by a server, one of which its client abandons, and a
// fourth rejected at the limit.
func testRequestsInFlight(t *testing.T, h *Host, srv *downstream.Server, server *countingServer, clients *countingClients) {
	t.Helper()
	var open []net.Conn
	for n, what := range []string{"hold", "hold", "gone"} {
		c := dialSidecar(t, clients.addr)
		fmt.Fprintf(c, "POST /pay HTTP/1.1\r\nHost: a\r\nReq-Id: %s-%d\r\nContent-Length: 0\r\n\r\n", what, 1000+n)
		open = append(open, c)
	}
	eventually(t, "three requests in flight", func() bool { return h.InFlight() == 3 && srv.Active() == 3 })
	h.Limit(3, 3)
	clients.send("fine", "pay", 9999)
	h.Limit(100, 100)
	open[2].Close()
	eventually(t, "the end of the abandoned one", func() bool { return srv.Active() == 2 })
	close(server.release)
	for _, c := range open[:2] {
		if resp, err := http.ReadResponse(bufio.NewReader(c), nil); err != nil || resp.StatusCode != 200 {
			t.Fatal(resp, err)
		}
		clients.responses[`responses{kind="pay",result="ok"}`]++
	}
	eventually(t, "no request in flight", func() bool { return h.InFlight() == 0 })
}

// countingServer counts the requests that arrive completely. It treats them by the first word of
// their ids.
type countingServer struct {
	received atomic.Int64
	seen     sync.Map      // ids
	release  chan struct{} // closed: held requests are answered
}

func (s *countingServer) act(c net.Conn, r *http.Request) bool {
	if r.URL.Path == "/_load" {
		return false
	}
	io.Copy(io.Discard, r.Body)
	s.received.Add(1)
	what, _, _ := strings.Cut(r.Header.Get("Req-Id"), "-")
	switch _, again := s.seen.LoadOrStore(r.Header.Get("Req-Id"), true); {
	case what == "declined" && !again:
		io.WriteString(c, "HTTP/1.1 503 Busy\r\nSrv-Declined: 1\r\nContent-Length: 0\r\n\r\n")
		return true
	case what == "error":
		io.WriteString(c, "HTTP/1.1 500 No\r\nContent-Length: 0\r\n\r\n")
		return true
	case what == "reset":
		return false
	case what == "hold", what == "gone":
		<-s.release
	}
	io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
	return true
}

// countingClients counts responses as the metrics should.
type countingClients struct {
	t         *testing.T
	addr      string
	responses map[string]int // by the metric's full name
}

// send sends a request on a connection of its own and counts its response.
func (clients *countingClients) send(what, class string, n int) {
	clients.t.Helper()
	c := dialSidecar(clients.t, clients.addr)
	head := map[string]string{
		"look": "GET /look HTTP/1.1\r\nHost: a\r\nReq-Id: %s-%d\r\n\r\n",
		"pay":  "POST /pay HTTP/1.1\r\nHost: a\r\nReq-Id: %s-%d\r\nContent-Length: 2\r\n\r\nab",
	}[class]
	fmt.Fprintf(c, head, what+"-"+class, n)
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		clients.t.Fatal(err)
	}
	result := "errors"
	switch resp.StatusCode {
	case 200:
		result = "ok"
	case 503, 429:
		result = "shed"
	}
	clients.responses[fmt.Sprintf(`responses{kind=%q,result=%q}`, class, result)]++
}

// checkResponses compares the metrics of responses with the clients' counts.
func (clients *countingClients) checkResponses(got map[string]float64) {
	clients.t.Helper()
	for _, class := range []string{"look", "pay"} {
		for _, result := range []string{"ok", "shed", "errors"} {
			name := fmt.Sprintf(`responses{kind=%q,result=%q}`, class, result)
			if got[name] != float64(clients.responses[name]) {
				clients.t.Errorf("%s %v, clients counted %d", name, got[name], clients.responses[name])
			}
		}
	}
	if clients.responses[`responses{kind="pay",result="errors"}`] == 0 || clients.responses[`responses{kind="pay",result="shed"}`] != 1 {
		clients.t.Errorf("the requests did not end as scripted: %v", clients.responses)
	}
}

// finishedAttempts sums up the attempts that ended after they had been written.
func finishedAttempts(got map[string]float64) (ends float64) {
	for name, v := range got {
		if strings.HasPrefix(name, "attempts{") && !strings.Contains(name, "connect") && !strings.Contains(name, "not_sent") {
			ends += v
		}
	}
	return ends
}
