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

// readMetrics returns the values of all metrics of a Host that start has created, by full name without
// the prefix edge_balancer_.
func readMetrics(t *testing.T, h *Host) map[string]float64 {
	t.Helper()
	var text bytes.Buffer
	h.meter.(*metrics.Set).Write(&text)
	got := make(map[string]float64)
	for in := bufio.NewScanner(&text); in.Scan(); {
		nameEnd := strings.LastIndexByte(in.Text(), ' ')
		if nameEnd < 0 {
			continue
		}
		value, err := strconv.ParseFloat(in.Text()[nameEnd+1:], 64)
		if err != nil {
			t.Fatalf("parsing metric %q: %v", in.Text(), err)
		}
		got[strings.TrimPrefix(in.Text()[:nameEnd], "edge_balancer_")] = value
	}
	return got
}

// Each metric agrees with the counts of the servers and clients, for requests that are served, rejected by
// a server and retried, answered with an error, reset, rejected at a limit, or abandoned by their client
// and cancelled.
func TestMetricsAgreeWithCounts(t *testing.T) {
	server := &countingServer{release: make(chan struct{})}
	h, srv, addr := start(t, startServer(t, server.act), startServer(t, server.act), startServer(t, server.act))
	clients := &countingClients{t: t, addr: addr, responses: make(map[string]int)}
	for n := range 30 {
		for _, behavior := range []string{"fine", "declined", "error", "reset"} {
			clients.send(behavior, "look", n)
			clients.send(behavior, "pay", n)
		}
	}
	testRequestsInFlight(t, h, srv, server, clients)
	got := readMetrics(t, h)
	clients.checkResponses(got)
	if got["tries"] != float64(server.received.Load()) {
		t.Errorf("metric tries = %v, want %d as the servers counted", got["tries"], server.received.Load())
	}
	if got[`limited{reason="held"}`] != 1 || got[`attempts{outcome="declined"}`] < 1 || got[`attempts{outcome="reset"}`] < 30 || got[`attempts{outcome="error"}`] < 30 {
		t.Errorf("metrics = %v, want 1 request limited as held, at least 1 attempt declined, and at least 30 each with reset and error", got)
	}
	if ends := finishedAttempts(got); ends != got["tries"] {
		t.Errorf("sum of the metrics attempts = %v, want %v as in the metric tries", ends, got["tries"])
	}
	if listed, avoided := h.Servers(); listed != 3 || avoided > 1 {
		t.Errorf("Servers() = %d listed, %d avoided; want 3 listed, at most 1 avoided", listed, avoided)
	}
	if n := got["own_seconds_count"]; n < 200 {
		t.Errorf("metric own_seconds_count = %v, want at least 200", n)
	}
}

// testRequestsInFlight has a server hold three requests, one of which is then abandoned by its client,
// while a fourth request is rejected at the limit.
func testRequestsInFlight(t *testing.T, h *Host, srv *downstream.Server, server *countingServer, clients *countingClients) {
	t.Helper()
	var open []net.Conn
	for n, behavior := range []string{"hold", "hold", "gone"} {
		c := dialSidecar(t, clients.addr)
		fmt.Fprintf(c, "POST /pay HTTP/1.1\r\nHost: a\r\nReq-Id: %s-%d\r\nContent-Length: 0\r\n\r\n", behavior, 1000+n)
		open = append(open, c)
	}
	eventually(t, "three requests in flight", func() bool { return h.InFlight() == 3 && srv.Active() == 3 })
	h.SetInFlightLimits(3, 3)
	clients.send("fine", "pay", 9999)
	h.SetInFlightLimits(100, 100)
	open[2].Close()
	eventually(t, "the end of the abandoned request", func() bool { return srv.Active() == 2 })
	close(server.release)
	for _, c := range open[:2] {
		if resp, err := http.ReadResponse(bufio.NewReader(c), nil); err != nil || resp.StatusCode != 200 {
			t.Fatalf("held request: got response %v, error %v; want status 200", resp, err)
		}
		clients.responses[`responses{kind="pay",result="ok"}`]++
	}
	eventually(t, "no request in flight", func() bool { return h.InFlight() == 0 })
}

// countingServer counts the requests that arrive completely. The first word of a request's ID says how it
// is answered.
type countingServer struct {
	received atomic.Int64
	seen     sync.Map      // IDs of requests
	release  chan struct{} // closed: held requests are answered
}

// act answers a request, or returns false to close the connection.
func (s *countingServer) act(c net.Conn, r *http.Request) bool {
	if r.URL.Path == "/_load" {
		return false
	}
	io.Copy(io.Discard, r.Body)
	s.received.Add(1)
	behavior, _, _ := strings.Cut(r.Header.Get("Req-Id"), "-")
	switch _, again := s.seen.LoadOrStore(r.Header.Get("Req-Id"), true); {
	case behavior == "declined" && !again:
		io.WriteString(c, "HTTP/1.1 503 Busy\r\nSrv-Declined: 1\r\nContent-Length: 0\r\n\r\n")
		return true
	case behavior == "error":
		io.WriteString(c, "HTTP/1.1 500 No\r\nContent-Length: 0\r\n\r\n")
		return true
	case behavior == "reset":
		return false
	case behavior == "hold", behavior == "gone":
		<-s.release
	}
	io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
	return true
}

// countingClients counts the clients' responses by the metric that should count them.
type countingClients struct {
	t         *testing.T
	addr      string
	responses map[string]int // by the metric's name with its labels
}

// send sends a request on a new connection and counts its response. behavior is what countingServer does
// with it.
func (clients *countingClients) send(behavior, class string, n int) {
	clients.t.Helper()
	c := dialSidecar(clients.t, clients.addr)
	head := map[string]string{
		"look": "GET /look HTTP/1.1\r\nHost: a\r\nReq-Id: %s-%d\r\n\r\n",
		"pay":  "POST /pay HTTP/1.1\r\nHost: a\r\nReq-Id: %s-%d\r\nContent-Length: 2\r\n\r\nab",
	}[class]
	fmt.Fprintf(c, head, behavior+"-"+class, n)
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		clients.t.Fatalf("reading the response to a %s request of class %s: %v", behavior, class, err)
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

// checkResponses compares the response metrics with the clients' counts.
func (clients *countingClients) checkResponses(got map[string]float64) {
	clients.t.Helper()
	for _, class := range []string{"look", "pay"} {
		for _, result := range []string{"ok", "shed", "errors"} {
			name := fmt.Sprintf(`responses{kind=%q,result=%q}`, class, result)
			if got[name] != float64(clients.responses[name]) {
				clients.t.Errorf("metric %s = %v, want %d as the clients counted", name, got[name], clients.responses[name])
			}
		}
	}
	if clients.responses[`responses{kind="pay",result="errors"}`] == 0 || clients.responses[`responses{kind="pay",result="shed"}`] != 1 {
		clients.t.Errorf("responses = %v, want some errors and exactly 1 shed response in class pay", clients.responses)
	}
}

// finishedAttempts returns the sum of the metrics attempts, without the outcomes of attempts that were not
// written completely.
func finishedAttempts(got map[string]float64) (ends float64) {
	for name, value := range got {
		if strings.HasPrefix(name, "attempts{") && !strings.Contains(name, "connect") && !strings.Contains(name, "not_sent") {
			ends += value
		}
	}
	return ends
}
