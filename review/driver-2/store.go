package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"martendrum/internal/standin/shop"
)

// recordText is deploy/record.toml with a wait that suits a busy machine.
const recordText = `store = "sqlite"
[sqlite]
path = "record.db"
[wait]
share = 0.5
[[class]]
name = "id-register"
key = "header:Idempotency-Key"
away = "pass"
[[class]]
name = "activate"
key = "json:/sim/iccid"
away = "refuse"
`

// server is the behavior of the stand-in servers. As the pages say, an idempotency key runs once.
type server struct {
	rig    *rig
	pieces atomic.Bool   // answers come in four pieces, in chunks
	work   time.Duration // until the answer

	mu       sync.Mutex
	received map[string]int // by key
	ran      map[string]int // by key
}

// pieceInterval is the time between the pieces of an answer.
const pieceInterval = 150 * time.Millisecond

// serve handles a request.
func (s *server) serve(_ *shop.Shop, name string, w http.ResponseWriter, q *http.Request) {
	body, err := io.ReadAll(q.Body)
	if err != nil {
		s.rig.note("%s: %s broke: %v", name, q.Header.Get("Req-Id"), err)
		return
	}
	key := q.Header.Get("Idempotency-Key")
	var activation struct{ Sim struct{ Iccid string } }
	if json.Unmarshal(body, &activation) == nil && activation.Sim.Iccid != "" {
		key = activation.Sim.Iccid
	}
	s.mu.Lock()
	s.received[key]++
	again := key != "" && s.ran[key] > 0
	if !again {
		s.ran[key]++
	}
	s.mu.Unlock()
	s.rig.note("%s: received %s key %q, %d bytes; ran %v", name, q.Header.Get("Req-Id"), key, len(body), !again)
	time.Sleep(s.work)
	if s.pieces.Load() {
		for _, piece := range []string{"done ", key, " tail "} {
			io.WriteString(w, piece)
			w.(http.Flusher).Flush()
			time.Sleep(pieceInterval)
		}
		io.WriteString(w, tail(body))
	} else {
		fmt.Fprintf(w, "done %s tail %s", key, tail(body))
	}
	s.rig.note("%s: answered %s key %q", name, q.Header.Get("Req-Id"), key)
}

// tail returns the last bytes of a body, by which the bodies of a case differ.
func tail(body []byte) string { return string(body[max(0, len(body)-8):]) }

// receivedCount returns how often servers have received a key.
func (s *server) receivedCount(key string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.received[key]
}

// startStore starts three servers and a sidecar with an idempotency store. It returns the servers' behavior
// and the sidecar's address.
func startStore(r *rig, work time.Duration) (*server, string) {
	s := &server{rig: r, work: work, received: make(map[string]int), ran: make(map[string]int)}
	var err error
	r.servers, err = shop.NewWith(3, s.serve)
	r.require(err == nil, "servers: %v", err)
	config, listen := r.sidecarConfig("n1", 60101)
	record := r.write("record.toml", recordText)
	r.start("sidecar", runSidecar("review/driver-2/out/sidecar-record"), "BALANCER_NAME=n1", "BALANCER_LISTEN="+listen,
		"BALANCER_DISCOVERY="+r.servers.Discovery, "BALANCER_CONFIG="+config, "TMPDIR="+r.temp, "MARTENDRUM_RECORD="+record)
	r.awaitReady(listen)
	time.Sleep(500 * time.Millisecond)
	warm := r.send(listen, register("warm", "warm-key", "{}"))
	r.require(warm.status == http.StatusOK, "the first request got status %d", warm.status)
	return s, listen
}

// register returns a request to register an identity.
func register(id, key, body string) request {
	return request{method: http.MethodPost, path: "/id-register", class: "id-register", id: id, key: key, body: body, deadline: 2500 * time.Millisecond}
}

// sentAndRefused sends requests that leave the servers too little time. What is refused (503: not sent) must not
// have reached a server, and the retry that the refusal asks for must not be told that it may have run.
func sentAndRefused(r *rig) {
	s, listen := startStore(r, 300*time.Millisecond)
	refused := make(map[int]bool)
	for n := range 8 {
		q := register(fmt.Sprintf("first-%d", n), fmt.Sprintf("key-%d", n), "{}")
		if r.trouble {
			q.deadline = 150 * time.Millisecond
		}
		refused[n] = r.send(listen, q).status == http.StatusServiceUnavailable
		time.Sleep(100 * time.Millisecond)
	}
	time.Sleep(2 * time.Second) // Retry-After is at most that
	for n := range 8 {
		key := fmt.Sprintf("key-%d", n)
		received := s.receivedCount(key)
		a := r.send(listen, register(fmt.Sprintf("second-%d", n), key, "{}"))
		if refused[n] && received > 0 && a.status != http.StatusOK {
			r.breaks("the request with %s was answered 503 (not sent, retry with the same key), though servers had received it %d times; the retry got status %d, Record-State %q", key, received, a.status, a.recordState)
		}
	}
}

// clientLeaves closes a client's connection before its server answers, and repeats the key later.
func clientLeaves(r *rig) {
	s, listen := startStore(r, 400*time.Millisecond)
	for n := range 5 {
		key := fmt.Sprintf("key-%d", n)
		q := register(fmt.Sprintf("first-%d", n), key, "{}")
		if r.trouble {
			conn, err := dialSend(listen, q)
			r.require(err == nil, "no connection: %v", err)
			received := await(2*time.Second, 5*time.Millisecond, func() bool { return s.receivedCount(key) > 0 })
			r.require(received, "no server received %s", key)
			conn.Close()
			r.note("client: %s closed its connection", q.id)
		} else {
			r.send(listen, q)
		}
		time.Sleep(time.Second)
		a := r.send(listen, register(fmt.Sprintf("second-%d", n), key, "{}"))
		if a.status != http.StatusOK {
			r.breaks("the repeat of %s got status %d, Record-State %q; want the answer, which its server has given", key, a.status, a.recordState)
		}
	}
}

// answerInPieces lets servers send short answers in four pieces. A client must get the answer that its server has
// given, at once or on a repeat of its key.
func answerInPieces(r *rig) {
	s, listen := startStore(r, 20*time.Millisecond)
	s.pieces.Store(r.trouble)
	for n := range 5 {
		key := fmt.Sprintf("896210-%d", n)
		q := request{method: http.MethodPost, path: "/activate", class: "activate", id: fmt.Sprintf("first-%d", n), body: fmt.Sprintf(`{"sim":{"iccid":%q}}`, key), deadline: 2500 * time.Millisecond}
		first := r.send(listen, q)
		time.Sleep(time.Second)
		q.id = fmt.Sprintf("second-%d", n)
		second := r.send(listen, q)
		if first.status != http.StatusOK && second.status != http.StatusOK {
			r.breaks("the request with %s, which its server has run and answered 200, got status %d; the repeat of its key got status %d, Record-State %q; servers received it %d times", key, first.status, second.status, second.recordState, s.receivedCount(key))
		}
	}
}
