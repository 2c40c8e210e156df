// Package e2e tests the store of record in whole sidecars: front, decision module,
// upstream and store, over sockets of this machine, with processes that are killed.
package e2e

import (
	"bufio"
	"context"
	"database/sql"
	sqldriver "database/sql/driver"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	driver "modernc.org/sqlite"

	"martendrum"
	"martendrum/internal/discovery"
	"martendrum/internal/downstream"
	"martendrum/internal/idempotency"
	"martendrum/internal/idempotency/postgres"
	"martendrum/internal/idempotency/recorder"
	"martendrum/internal/idempotency/sqlite"
	"martendrum/internal/settings"
	"martendrum/internal/sidecar"
	"martendrum/internal/upstream"
)

// testTimeout is how long a test waits for what must come.
const testTimeout = 30 * time.Second

// TestMain also plays a sidecar that kills itself at a point.
func TestMain(m *testing.M) {
	if text := os.Getenv("E2E_RECORD"); text != "" {
		var p sidecarConfig
		err := json.Unmarshal([]byte(text), &p)
		if err == nil {
			err = runChild(&p)
		}
		if err != nil {
			fmt.Fprintln(os.Stderr, err)
			os.Exit(1)
		}
		return
	}
	os.Exit(m.Run())
}

// sidecarConfig is what a sidecar of these tests is told.
type sidecarConfig struct {
	SQLite   string // its file, or
	Postgres string // its URL
	Servers  []string
	CrashAt  int64 // the point to die at, counted from 1; 0: none

	MaxWait          time.Duration // for the store; 0: 10 s
	LeaseMargin      time.Duration // 0: 5 s
	MaxAnswerBytes   int           // bytes of an answer that are kept; 0: 64 KiB
	LatencyObjective string        // of the classes, in µs; "": 20 s
	SweepAtOnce      bool          // what is answered is dropped at once, without an end

	wrapBackend func(idempotency.Backend) idempotency.Backend
}

const settingsTemplate = `{"replicasOfMe":1,"registryMode":"automatic",
	"caps":{"attemptsCap":3,"mayCancel":true,"secondCopies":false,"connIdleUs":30000000,"dialTimeoutUs":5000000,"mostHeld":500,"retryAfter":true,"maxRetryAfterUs":1000000},
	"guarantees":{"drainGraceUs":2000000,"coldFrom":1},
	"classes":[{"name":"status-check","promiseUs":AIM,"hardLimitUs":20000000,"effect":"repeatable","worth":1},
	{"name":"id-register","promiseUs":AIM,"hardLimitUs":20000000,"effect":"by_key","repeatWindowUs":15000000,"worth":3},
	{"name":"activate","promiseUs":AIM,"hardLimitUs":20000000,"effect":"once","worth":10},
	{"name":"report","promiseUs":AIM,"hardLimitUs":20000000,"effect":"once","worth":10}]}`

func mustParseKeyRule(t string) idempotency.KeyRule {
	r, err := idempotency.ParseKeyRule(t)
	if err != nil {
		panic(err)
	}
	return r
}

// testSidecar is a running sidecar.
type testSidecar struct {
	address  string
	host     *sidecar.Host
	server   *downstream.Server
	recorder *recorder.Recorder
	backend  idempotency.Backend
	listener net.Listener
}

// start starts a sidecar. points, where set, is told of each crash point.
func start(p *sidecarConfig, points func(string)) (*testSidecar, error) {
	aim := p.LatencyObjective
	if aim == "" {
		aim = "20000000"
	}
	set, err := settings.Parse([]byte(strings.ReplaceAll(settingsTemplate, "AIM", aim)))
	if err != nil {
		return nil, err
	}
	pool := upstream.New(upstream.Config{ConnIdle: set.ConnIdle, DialTimeout: set.DialTimeout, DrainGrace: set.DrainGrace, MaxConns: 300})
	n := &testSidecar{}
	if n.host, err = sidecar.New(set, 1, pool, new(discovery.Watcher)); err != nil {
		return nil, err
	}
	l := &discovery.List{Index: 1, Complete: true}
	for i, addr := range p.Servers {
		l.Entries = append(l.Entries, discovery.Entry{Endpoint: martendrum.Endpoint{Name: fmt.Sprint("s", i), CapacityHint: 1}, Address: addr})
	}
	n.host.Listed(l)
	if p.SQLite != "" || p.Postgres != "" {
		if err := n.openRecorder(p, points); err != nil {
			return nil, err
		}
	}
	n.server = downstream.New(downstream.Config{MaxConns: 1000, MaxBody: 8 << 20}, n.host)
	if n.listener, err = net.Listen("tcp", "127.0.0.1:0"); err != nil {
		return nil, err
	}
	n.address = n.listener.Addr().String()
	go n.server.Serve(n.listener)
	return n, nil
}

func orDefault[T comparable](v, other T) T {
	var zero T
	if v == zero {
		return other
	}
	return v
}

func (n *testSidecar) openRecorder(p *sidecarConfig, points func(string)) (err error) {
	keep := idempotency.Retention{Answered: time.Hour, NeverRan: time.Hour, Unsettled: time.Hour}
	each := time.Hour
	if p.SweepAtOnce {
		keep.Answered, each = time.Millisecond, 10*time.Millisecond
	}
	writers := 1
	if p.SQLite != "" {
		n.backend, err = sqlite.Open(context.Background(), sqlite.Config{Path: p.SQLite, MaxBytes: 64 << 20, Retention: keep, Owner: true})
	} else {
		writers = 2
		n.backend, err = postgres.Open(postgres.Config{URL: p.Postgres, MaxConnections: 2, StatementTimeout: 10 * time.Second, ConnectTimeout: 5 * time.Second})
	}
	if err != nil {
		return err
	}
	if p.wrapBackend != nil {
		n.backend = p.wrapBackend(n.backend)
	}
	if points != nil {
		if p.SQLite != "" {
			if err := addCrashTrigger(p.SQLite, points); err != nil {
				return err
			}
		}
		n.backend = &crashPointBackend{n.backend, points}
	}
	wait := orDefault(p.MaxWait, 10*time.Second)
	n.recorder = recorder.New(recorder.Config{StoreName: "e2e", Writers: writers, MaxBatch: 64, MaxQueuedOps: 1000, MaxQueuedBytes: 4 << 20, StatementTimeout: 10 * time.Second,
		EndRetryDuration: time.Minute, LeaseMargin: orDefault(p.LeaseMargin, 5*time.Second), MaxAnswerBytes: orDefault(p.MaxAnswerBytes, 64<<10), Retention: keep, SweepInterval: each,
		BreakerThreshold: 3, MinBackoff: 20 * time.Millisecond, MaxBackoff: 100 * time.Millisecond,
		Classes: []recorder.Class{{Name: "id-register", KeyRule: mustParseKeyRule("header:Idempotency-Key"), FailOpen: true, MaxWait: wait},
			{Name: "activate", KeyRule: mustParseKeyRule("json:/sim/iccid"), MaxWait: wait}, {Name: "report", KeyRule: mustParseKeyRule("request-id"), MaxWait: wait}}}, n.backend)
	if points != nil {
		n.host.SetRecorder(&crashPointRecorder{n.recorder, points})
	} else {
		n.host.SetRecorder(n.recorder)
	}
	return nil
}

func (n *testSidecar) stop() {
	n.listener.Close()
	if n.recorder != nil {
		ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
		n.recorder.Close(ctx)
		cancel()
	}
}

// rowWritten is told of each row that SQLite has written, in the midst of its transaction.
var rowWritten atomic.Pointer[func(string)]

func init() {
	driver.MustRegisterScalarFunction("crash_point", 0, func(*driver.FunctionContext, []sqldriver.Value) (sqldriver.Value, error) {
		if at := rowWritten.Load(); at != nil {
			(*at)("a row is written, its transaction is not")
		}
		return int64(0), nil
	})
}

// addCrashTrigger puts the points into a file, as a trigger.
func addCrashTrigger(path string, points func(string)) error {
	rowWritten.Store(&points)
	db, err := sql.Open("sqlite", path)
	if err != nil {
		return err
	}
	defer db.Close()
	_, err = db.Exec("CREATE TRIGGER IF NOT EXISTS crash AFTER INSERT ON record BEGIN SELECT crash_point(); END")
	return err
}

// crashPointBackend names the points before and after each transaction.
type crashPointBackend struct {
	idempotency.Backend
	reach func(string)
}

func (b *crashPointBackend) Apply(ctx context.Context, ops []*idempotency.Op) error {
	b.reach("before the transaction")
	err := b.Backend.Apply(ctx, ops)
	b.reach("after the transaction")
	return err
}

// crashPointRecorder names the points between the sidecar and its record.
type crashPointRecorder struct {
	recorder sidecar.Recorder
	reach    func(string)
}

func (p *crashPointRecorder) Begin(x *downstream.Exchange, left time.Duration, then func(sidecar.Verdict)) {
	p.reach("a request has come")
	p.recorder.Begin(x, left, func(v sidecar.Verdict) {
		p.reach("before the request goes on")
		if v.Entry != nil {
			v.Entry = &crashPointEntry{v.Entry, p.reach}
		}
		then(v)
		p.reach("after the request went on")
	})
}

type crashPointEntry struct {
	entry sidecar.Entry
	reach func(string)
}

func (p *crashPointEntry) Sending(n int, server string, then func(bool)) {
	p.reach("an attempt is decided")
	p.entry.Sending(n, server, func(ok bool) {
		p.reach("before its first byte")
		then(ok)
		p.reach("after its last byte")
	})
}

func (p *crashPointEntry) End(e sidecar.End, ans *upstream.Answer, left time.Duration, then func()) {
	p.reach("the end is known")
	p.entry.End(e, ans, left, func() {
		p.reach("before the answer goes out")
		then()
		p.reach("after the answer went out")
	})
}

// runChild is a process that is killed at a point.
func runChild(p *sidecarConfig) error {
	var count atomic.Int64
	n, err := start(p, func(string) {
		if count.Add(1) == p.CrashAt {
			syscall.Kill(os.Getpid(), syscall.SIGKILL)
			select {}
		}
	})
	if err != nil {
		return err
	}
	fmt.Println("ready", n.address)
	io.Copy(io.Discard, os.Stdin) // until the test closes it
	fmt.Println("points", count.Load())
	return nil
}

// clientRequest is what a client asks.
type clientRequest struct {
	class, key, id, body string
	deadline             time.Duration
}

func (q *clientRequest) bytes() []byte {
	body := q.body
	head := "POST /" + q.class + "/1 HTTP/1.1\r\nHost: shop\r\nReq-Owner: toko\r\n"
	switch q.class {
	case "id-register":
		head += "Idempotency-Key: " + q.key + "\r\n"
	case "activate":
		if body == "" {
			body = `{"sim":{"iccid":"` + q.key + `"}}`
		}
	case "status-check":
		return fmt.Appendf(nil, "GET /status-check/1 HTTP/1.1\r\nHost: shop\r\nReq-Id: %s\r\nReq-Kind: status-check\r\n\r\n", q.id)
	}
	id := q.id
	if q.class == "report" {
		id = q.key
	}
	if q.deadline > 0 {
		head += fmt.Sprintf("Req-Deadline-Ms: %d\r\n", q.deadline.Milliseconds())
	}
	return fmt.Appendf(nil, "%sReq-Id: %s\r\nReq-Kind: %s\r\nContent-Length: %d\r\n\r\n%s", head, id, q.class, len(body), body)
}

// clientResponse is what a client is told; status 0: the connection ended without.
type clientResponse struct {
	status      int
	recordState string // Record-State
	retryAfter  string
	body        string
}

var lastID atomic.Int64

// sendRequest asks a sidecar once, on a connection of its own. sent, where set, is told when
// the request has gone out.
func sendRequest(addr string, q clientRequest, sent func()) (a clientResponse, err error) {
	if q.id == "" {
		q.id = fmt.Sprintf("r%d", lastID.Add(1))
	}
	c, err := net.DialTimeout("tcp", addr, testTimeout)
	if err != nil {
		return a, nil // it has died
	}
	defer c.Close()
	c.SetDeadline(time.Now().Add(testTimeout))
	if _, err := c.Write(q.bytes()); err != nil {
		return a, nil
	}
	if sent != nil {
		sent()
	}
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		if ne, ok := err.(net.Error); ok && ne.Timeout() {
			return a, fmt.Errorf("%s %s: no answer within %v", q.class, q.key, testTimeout)
		}
		return a, nil
	}
	defer resp.Body.Close()
	b, err := io.ReadAll(resp.Body)
	if err != nil {
		return a, nil
	}
	return clientResponse{resp.StatusCode, resp.Header.Get("Record-State"), resp.Header.Get("Retry-After"), string(b)}, nil
}

// serverGroup is servers that count what they run by key, and drop repeats of a keyed
// request as the real ones do.
type serverGroup struct {
	mu       sync.Mutex
	runs     map[string]int // by class and key
	requests int            // requests that came
	behave   func(hit int) behavior
	onPoint  func(string) // told of each point at a server
}

// behavior is what a server does with a request.
type behavior struct {
	reject   bool // turns it away unseen
	reset    bool // runs it and breaks off
	fail     bool // runs it and says 500
	truncate bool // runs it and breaks off in the midst of the answer
	hold     <-chan struct{}
	bodySize int // of the answer's body; 0: as it comes
}

func (w *serverGroup) reachPoint(name string) {
	w.mu.Lock()
	at := w.onPoint
	w.mu.Unlock()
	if at != nil {
		at(name)
	}
}

func (w *serverGroup) serve(rw http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return // it did not come whole
	}
	class, _, _ := strings.Cut(strings.Trim(r.URL.Path, "/"), "/")
	key := class + " " + r.Header.Get("Req-Id")
	switch class {
	case "id-register":
		key = class + " " + r.Header.Get("Idempotency-Key")
	case "activate":
		var b struct{ Sim struct{ Iccid string } }
		json.Unmarshal(body, &b)
		key = class + " " + b.Sim.Iccid
	}
	w.reachPoint("a server has it")
	w.mu.Lock()
	w.requests++
	var a behavior
	if w.behave != nil {
		a = w.behave(w.requests)
	}
	if !a.reject && (class != "id-register" || w.runs[key] == 0) {
		w.runs[key]++
	}
	w.mu.Unlock()
	w.reachPoint("a server has run it")
	if a.hold != nil {
		<-a.hold
	}
	text := "done: " + key
	if a.bodySize > 0 {
		text = strings.Repeat("x", a.bodySize)
	}
	switch {
	case a.reject:
		rw.Header().Set("Srv-Declined", "1")
		rw.WriteHeader(http.StatusServiceUnavailable)
	case a.fail:
		rw.WriteHeader(http.StatusInternalServerError)
	case a.reset, a.truncate:
		c, _, err := rw.(http.Hijacker).Hijack()
		if err != nil {
			return
		}
		if a.truncate {
			fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(text), text[:3])
		}
		c.Close()
	default:
		rw.Header().Set("Content-Type", "text/plain")
		rw.Header().Set("Content-Length", fmt.Sprint(len(text)))
		io.WriteString(rw, text)
		rw.(http.Flusher).Flush()
	}
	w.reachPoint("a server has answered")
}

func (w *serverGroup) runCount(q clientRequest) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.runs[q.class+" "+q.key]
}
