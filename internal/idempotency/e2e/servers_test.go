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

// serverGroup is servers that count the requests they run by key and, as the real ones
// do, ignore repeats of an idempotency key.
type serverGroup struct {
	mu       sync.Mutex
	runs     map[string]int // by class and key
	requests int            // received
	behave   func(request int) behavior
	onPoint  func(string) // called at each crash point at a server
}

// behavior is what a server does with a request.
type behavior struct {
	reject   bool // rejects it without running it
	reset    bool // runs it and closes the connection
	fail     bool // runs it and answers 500
	truncate bool // runs it and closes the connection within the answer
	hold     <-chan struct{}
	bodySize int // of the answer; 0: a text that names the key
}

// always is the same behavior for each request.
func always(b behavior) func(int) behavior {
	return func(int) behavior { return b }
}

// onFirstRequest is a behavior for the first request; others are served.
func onFirstRequest(b behavior) func(int) behavior {
	return func(request int) behavior {
		if request == 1 {
			return b
		}
		return behavior{}
	}
}

func newServerGroup() *serverGroup { return &serverGroup{runs: make(map[string]int)} }

// newServers starts servers of a group, which end with the test, and returns their
// addresses.
func newServers(t *testing.T, count int, group *serverGroup) []string {
	t.Helper()
	servers, err := shop.NewWith(count, group.handle)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(servers.Close)
	return servers.Addrs()
}

// handle is serve in the form that the stand-in servers take.
func (g *serverGroup) handle(_ *shop.Shop, _ string, writer http.ResponseWriter, request *http.Request) {
	g.serve(writer, request)
}

// setBehavior replaces what servers do; nil: they serve.
func (g *serverGroup) setBehavior(behave func(request int) behavior) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.behave = behave
}

func (g *serverGroup) reachPoint(name string) {
	g.mu.Lock()
	onPoint := g.onPoint
	g.mu.Unlock()
	if onPoint != nil {
		onPoint(name)
	}
}

// requestKey is the class and key of a request.
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

func (g *serverGroup) serve(writer http.ResponseWriter, request *http.Request) {
	body, err := io.ReadAll(request.Body)
	if err != nil {
		return // an incomplete request
	}
	class, key := requestKey(request, body)
	g.reachPoint("a server has it")
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
	g.reachPoint("a server has run it")
	if b.hold != nil {
		<-b.hold
	}
	b.answer(writer, "done: "+key)
	g.reachPoint("a server has answered")
}

// answer answers a request, or closes its connection.
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
			t.Fatal("no server got it")
		}
	}
}

// runCount is how often a request's key ran.
func (g *serverGroup) runCount(request clientRequest) int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.runs[request.class+" "+request.key]
}
