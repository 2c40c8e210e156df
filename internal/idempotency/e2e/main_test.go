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

// patience is how long a test waits for what must come.
const patience = 30 * time.Second

// TestMain also plays a sidecar that kills itself at a point.
func TestMain(m *testing.M) {
	if text := os.Getenv("E2E_RECORD"); text != "" {
		var p plan
		err := json.Unmarshal([]byte(text), &p)
		if err == nil {
			err = child(&p)
		}
		if err != nil {
			fmt.Fprintln(os.Stderr, err)
			os.Exit(1)
		}
		return
	}
	os.Exit(m.Run())
}

// plan is what a sidecar of these tests is told.
type plan struct {
	SQLite   string // its file, or
	Postgres string // its URL
	Servers  []string
	CrashAt  int64 // the point to die at, counted from 1; 0: none

	Wait  time.Duration // for the store; 0: 10 s
	Lease time.Duration // 0: 5 s
	Most  int           // bytes of an answer that are kept; 0: 64 KiB
	Aim   string        // of the classes, in µs; "": 20 s
	Sweep bool          // what is answered is dropped at once, without an end

	wrap func(idempotency.Backend) idempotency.Backend
}

const form = `{"replicasOfMe":1,"registryMode":"automatic",
	"caps":{"attemptsCap":3,"mayCancel":true,"secondCopies":false,"connIdleUs":30000000,"dialTimeoutUs":5000000,"mostHeld":500,"retryAfter":true,"maxRetryAfterUs":1000000},
	"guarantees":{"drainGraceUs":2000000,"coldFrom":1},
	"classes":[{"name":"status-check","promiseUs":AIM,"hardLimitUs":20000000,"effect":"repeatable","worth":1},
	{"name":"id-register","promiseUs":AIM,"hardLimitUs":20000000,"effect":"by_key","repeatWindowUs":15000000,"worth":3},
	{"name":"activate","promiseUs":AIM,"hardLimitUs":20000000,"effect":"once","worth":10},
	{"name":"report","promiseUs":AIM,"hardLimitUs":20000000,"effect":"once","worth":10}]}`

func rule(t string) idempotency.Rule {
	r, err := idempotency.ParseRule(t)
	if err != nil {
		panic(err)
	}
	return r
}

// node is a running sidecar.
type node struct {
	addr    string
	host    *sidecar.Host
	srv     *downstream.Server
	keeper  *recorder.Recorder
	backend idempotency.Backend
	ln      net.Listener
}

// start starts a sidecar. points, where set, is told of each crash point.
func start(p *plan, points func(string)) (*node, error) {
	aim := p.Aim
	if aim == "" {
		aim = "20000000"
	}
	set, err := settings.Parse([]byte(strings.ReplaceAll(form, "AIM", aim)))
	if err != nil {
		return nil, err
	}
	pool := upstream.New(upstream.Config{ServerIdleTimeout: set.ConnIdle, DialTimeout: set.DialTimeout, DrainGrace: set.DrainGrace, MaxConns: 300})
	n := &node{}
	if n.host, err = sidecar.New(set, 1, pool, new(discovery.Watcher)); err != nil {
		return nil, err
	}
	l := &discovery.List{Index: 1, Complete: true}
	for i, addr := range p.Servers {
		l.Entries = append(l.Entries, discovery.Entry{Endpoint: martendrum.Endpoint{Name: fmt.Sprint("s", i), CapacityHint: 1}, Address: addr})
	}
	n.host.Listed(l)
	if p.SQLite != "" || p.Postgres != "" {
		if err := n.record(p, points); err != nil {
			return nil, err
		}
	}
	n.srv = downstream.New(downstream.Config{MaxConns: 1000, MaxBody: 8 << 20}, n.host)
	if n.ln, err = net.Listen("tcp", "127.0.0.1:0"); err != nil {
		return nil, err
	}
	n.addr = n.ln.Addr().String()
	go n.srv.Serve(n.ln)
	return n, nil
}

func or[T comparable](v, other T) T {
	var zero T
	if v == zero {
		return other
	}
	return v
}

func (n *node) record(p *plan, points func(string)) (err error) {
	keep := idempotency.Retention{Answered: time.Hour, NeverRan: time.Hour, Unsettled: time.Hour}
	each := time.Hour
	if p.Sweep {
		keep.Answered, each = time.Millisecond, 10*time.Millisecond
	}
	writers := 1
	if p.SQLite != "" {
		n.backend, err = sqlite.Open(context.Background(), sqlite.Config{Path: p.SQLite, MaxBytes: 64 << 20, Retention: keep, Owner: true})
	} else {
		writers = 2
		n.backend, err = postgres.Open(postgres.Config{URL: p.Postgres, Connections: 2, Statement: 10 * time.Second, Connect: 5 * time.Second})
	}
	if err != nil {
		return err
	}
	if p.wrap != nil {
		n.backend = p.wrap(n.backend)
	}
	if points != nil {
		if p.SQLite != "" {
			if err := within(p.SQLite, points); err != nil {
				return err
			}
		}
		n.backend = &pointed{n.backend, points}
	}
	wait := or(p.Wait, 10*time.Second)
	n.keeper = recorder.New(recorder.Config{Name: "e2e", Writers: writers, Batch: 64, Queue: 1000, QueueBytes: 4 << 20, Statement: 10 * time.Second,
		EndFor: time.Minute, Lease: or(p.Lease, 5*time.Second), MaxAnswerBytes: or(p.Most, 64<<10), Retention: keep, SweepInterval: each,
		BreakAfter: 3, MinBackoff: 20 * time.Millisecond, MaxBackoff: 100 * time.Millisecond,
		Classes: []recorder.Class{{Name: "id-register", Rule: rule("header:Idempotency-Key"), FailOpen: true, Wait: wait},
			{Name: "activate", Rule: rule("json:/sim/iccid"), Wait: wait}, {Name: "report", Rule: rule("request-id"), Wait: wait}}}, n.backend)
	if points != nil {
		n.host.SetRecorder(&pointedRecorder{n.keeper, points})
	} else {
		n.host.SetRecorder(n.keeper)
	}
	return nil
}

func (n *node) stop() {
	n.ln.Close()
	if n.keeper != nil {
		ctx, cancel := context.WithTimeout(context.Background(), patience)
		n.keeper.Close(ctx)
		cancel()
	}
}

// inside is told of each row that SQLite has written, in the midst of its transaction.
var inside atomic.Pointer[func(string)]

func init() {
	driver.MustRegisterScalarFunction("crash_point", 0, func(*driver.FunctionContext, []sqldriver.Value) (sqldriver.Value, error) {
		if at := inside.Load(); at != nil {
			(*at)("a row is written, its transaction is not")
		}
		return int64(0), nil
	})
}

// within puts the points into a file, as a trigger.
func within(path string, points func(string)) error {
	inside.Store(&points)
	db, err := sql.Open("sqlite", path)
	if err != nil {
		return err
	}
	defer db.Close()
	_, err = db.Exec("CREATE TRIGGER IF NOT EXISTS crash AFTER INSERT ON record BEGIN SELECT crash_point(); END")
	return err
}

// pointed names the points before and after each transaction.
type pointed struct {
	idempotency.Backend
	at func(string)
}

func (b *pointed) Apply(ctx context.Context, ops []*idempotency.Op) error {
	b.at("before the transaction")
	err := b.Backend.Apply(ctx, ops)
	b.at("after the transaction")
	return err
}

// pointedRecorder names the points between the sidecar and its record.
type pointedRecorder struct {
	r  sidecar.Recorder
	at func(string)
}

func (p *pointedRecorder) Begin(x *downstream.Exchange, left time.Duration, then func(sidecar.Verdict)) {
	p.at("a request has come")
	p.r.Begin(x, left, func(v sidecar.Verdict) {
		p.at("before the request goes on")
		if v.Entry != nil {
			v.Entry = &pointedEntry{v.Entry, p.at}
		}
		then(v)
		p.at("after the request went on")
	})
}

type pointedEntry struct {
	e  sidecar.Entry
	at func(string)
}

func (p *pointedEntry) Sending(n int, server string, then func(bool)) {
	p.at("an attempt is decided")
	p.e.Sending(n, server, func(ok bool) {
		p.at("before its first byte")
		then(ok)
		p.at("after its last byte")
	})
}

func (p *pointedEntry) End(e sidecar.End, ans *upstream.Answer, left time.Duration, then func()) {
	p.at("the end is known")
	p.e.End(e, ans, left, func() {
		p.at("before the answer goes out")
		then()
		p.at("after the answer went out")
	})
}

// child is a process that is killed at a point.
func child(p *plan) error {
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
	fmt.Println("ready", n.addr)
	io.Copy(io.Discard, os.Stdin) // until the test closes it
	fmt.Println("points", count.Load())
	return nil
}

// request is what a client asks.
type request struct {
	class, key, id, body string
	deadline             time.Duration
}

func (q *request) bytes() []byte {
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

// answer is what a client is told; status 0: the connection ended without.
type answer struct {
	status int
	state  string // Record-State
	retry  string
	body   string
}

var lastID atomic.Int64

// ask asks a sidecar once, on a connection of its own. sent, where set, is told when
// the request has gone out.
func ask(addr string, q request, sent func()) (a answer, err error) {
	if q.id == "" {
		q.id = fmt.Sprintf("r%d", lastID.Add(1))
	}
	c, err := net.DialTimeout("tcp", addr, patience)
	if err != nil {
		return a, nil // it has died
	}
	defer c.Close()
	c.SetDeadline(time.Now().Add(patience))
	if _, err := c.Write(q.bytes()); err != nil {
		return a, nil
	}
	if sent != nil {
		sent()
	}
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		if ne, ok := err.(net.Error); ok && ne.Timeout() {
			return a, fmt.Errorf("%s %s: no answer within %v", q.class, q.key, patience)
		}
		return a, nil
	}
	defer resp.Body.Close()
	b, err := io.ReadAll(resp.Body)
	if err != nil {
		return a, nil
	}
	return answer{resp.StatusCode, resp.Header.Get("Record-State"), resp.Header.Get("Retry-After"), string(b)}, nil
}

// world is servers that count what they run by key, and drop repeats of a keyed
// request as the real ones do.
type world struct {
	mu   sync.Mutex
	runs map[string]int // by class and key
	hits int            // requests that came
	act  func(hit int) act
	at   func(string) // told of each point at a server
}

// act is what a server does with a request.
type act struct {
	decline bool // turns it away unseen
	reset   bool // runs it and breaks off
	fail    bool // runs it and says 500
	half    bool // runs it and breaks off in the midst of the answer
	hold    <-chan struct{}
	size    int // of the answer's body; 0: as it comes
}

func (w *world) point(name string) {
	w.mu.Lock()
	at := w.at
	w.mu.Unlock()
	if at != nil {
		at(name)
	}
}

func (w *world) serve(rw http.ResponseWriter, r *http.Request) {
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
	w.point("a server has it")
	w.mu.Lock()
	w.hits++
	var a act
	if w.act != nil {
		a = w.act(w.hits)
	}
	if !a.decline && (class != "id-register" || w.runs[key] == 0) {
		w.runs[key]++
	}
	w.mu.Unlock()
	w.point("a server has run it")
	if a.hold != nil {
		<-a.hold
	}
	text := "done: " + key
	if a.size > 0 {
		text = strings.Repeat("x", a.size)
	}
	switch {
	case a.decline:
		rw.Header().Set("Srv-Declined", "1")
		rw.WriteHeader(http.StatusServiceUnavailable)
	case a.fail:
		rw.WriteHeader(http.StatusInternalServerError)
	case a.reset, a.half:
		c, _, err := rw.(http.Hijacker).Hijack()
		if err != nil {
			return
		}
		if a.half {
			fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(text), text[:3])
		}
		c.Close()
	default:
		rw.Header().Set("Content-Type", "text/plain")
		rw.Header().Set("Content-Length", fmt.Sprint(len(text)))
		io.WriteString(rw, text)
		rw.(http.Flusher).Flush()
	}
	w.point("a server has answered")
}

func (w *world) ran(q request) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.runs[q.class+" "+q.key]
}
