package e2e

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"martendrum/internal/standin/shop"
)

// serverGroup is a group of servers that count the requests they run, by key. As real servers do,
// they answer a request with a known Idempotency-Key header without running it again.
type serverGroup struct {
	mu       sync.Mutex
	runs     map[string]int             // by class and key, with a space between them
	requests int                        // number of requests received
	behave   func(request int) behavior // called with the request's number, from 1; nil: requests are served
	onPoint  func(string)               // called at each crash point at a server; nil: not called
}

// behavior is how a server handles a request. The zero behavior runs it and answers with status 200.
type behavior struct {
	reject   bool            // rejects the request without running it
	reset    bool            // runs the request and closes the connection without an answer
	fail     bool            // runs the request and answers with status 500
	truncate bool            // runs the request and closes the connection in the middle of the answer
	hold     <-chan struct{} // if not nil, the server answers only when it is closed
	bodySize int             // of the answer, in bytes; 0: the body is a text that names the key
}

// always returns a function that gives each request the same behavior.
func always(b behavior) func(int) behavior {
	return func(int) behavior { return b }
}

// onFirstRequest returns a function that gives the first request a behavior; the others are served.
func onFirstRequest(b behavior) func(int) behavior {
	return func(request int) behavior {
		if request == 1 {
			return b
		}
		return behavior{}
	}
}

func newServerGroup() *serverGroup { return &serverGroup{runs: make(map[string]int)} }

// newServers starts servers that belong to a group and returns their addresses. They are stopped when
// the test ends.
func newServers(t *testing.T, count int, group *serverGroup) []string {
	t.Helper()
	servers, err := shop.NewWith(count, group.handle)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(servers.Close)
	return servers.Addrs()
}

// handle is serve with the signature that shop.NewWith takes.
func (g *serverGroup) handle(_ *shop.Shop, _ string, writer http.ResponseWriter, request *http.Request) {
	g.serve(writer, request)
}

// setBehavior replaces the servers' behavior; nil: all requests are served.
func (g *serverGroup) setBehavior(behave func(request int) behavior) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.behave = behave
}

// reachPoint calls onPoint, if it is set, with the name of a crash point.
func (g *serverGroup) reachPoint(name string) {
	g.mu.Lock()
	onPoint := g.onPoint
	g.mu.Unlock()
	if onPoint != nil {
		onPoint(name)
	}
}

// requestKey returns a request's class, and its key in the form of serverGroup.runs.
func requestKey(request *http.Request, body []byte) (class, key string) {
	class, _, _ = strings.Cut(strings.Trim(request.URL.Path, "/"), "/")
	switch class {
	case "id-register":
		return class, class + " " + request.Header.Get("Idempotency-Key")
	case "activate":
		var activation struct{ Sim struct{ Iccid string } }
		json.Unmarshal(body, &activation)
		return class, class + " " + activation.Sim.Iccid
	}
	return class, class + " " + request.Header.Get("Req-Id")
}

// serve handles a request. Of the requests of class id-register with the same key only the first
// runs; each request of another class runs, so that a repeat by the sidecar is counted.
func (g *serverGroup) serve(writer http.ResponseWriter, request *http.Request) {
	body, err := io.ReadAll(request.Body)
	if err != nil {
		return // the request is incomplete
	}
	class, key := requestKey(request, body)
	g.reachPoint("a server has received the request")
	g.mu.Lock()
	g.requests++
	var b behavior
	if g.behave != nil {
		b = g.behave(g.requests)
	}
	if !b.reject && (class != "id-register" || g.runs[key] == 0) {
		g.runs[key]++
	}
	g.mu.Unlock()
	g.reachPoint("a server has run or rejected the request")
	if b.hold != nil {
		<-b.hold
	}
	b.answer(writer, "done: "+key)
	g.reachPoint("a server has answered")
}

// answer sends the response to a request, with text as its body, or closes the connection.
func (b behavior) answer(writer http.ResponseWriter, text string) {
	if b.bodySize > 0 {
		text = strings.Repeat("x", b.bodySize)
	}
	switch {
	case b.reject:
		writer.Header().Set("Srv-Declined", "1")
		writer.WriteHeader(http.StatusServiceUnavailable)
	case b.fail:
		writer.WriteHeader(http.StatusInternalServerError)
	case b.reset, b.truncate:
		connection, _, err := writer.(http.Hijacker).Hijack()
		if err != nil {
			return
		}
		if b.truncate {
			fmt.Fprintf(connection, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(text), text[:3])
		}
		connection.Close()
	default:
		writer.Header().Set("Content-Type", "text/plain")
		writer.Header().Set("Content-Length", fmt.Sprint(len(text)))
		io.WriteString(writer, text)
		writer.(http.Flusher).Flush()
	}
}

// awaitRun waits until a server has run a request.
func (g *serverGroup) awaitRun(t *testing.T, request clientRequest) {
	t.Helper()
	for deadline := time.Now().Add(testTimeout); g.runCount(request) == 0; time.Sleep(pollInterval) {
		if time.Now().After(deadline) {
			t.Fatalf("no server ran the %s request with key %q within %v", request.class, request.key, testTimeout)
		}
	}
}

// runCount returns how many times requests with a request's class and key ran.
func (g *serverGroup) runCount(request clientRequest) int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.runs[request.class+" "+request.key]
}
