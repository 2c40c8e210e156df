package e2e

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"martendrum/internal/idempotency"
	"martendrum/internal/standin/pgserver"
)

// childProcess is a sidecar in a process of its own.
type childProcess struct {
	command    *exec.Cmd
	address    string
	closeStdin func() error
	stdout     *bufio.Reader
	stderr     bytes.Buffer
	endOnce    sync.Once
}

// launchChild starts a child and waits until it serves.
func launchChild(config *sidecarConfig) (*childProcess, error) {
	text, err := json.Marshal(config)
	if err != nil {
		return nil, err
	}
	c := &childProcess{command: exec.Command(os.Args[0])}
	c.command.Env = append(os.Environ(), "E2E_RECORD="+string(text))
	c.command.Stderr = &c.stderr
	stdin, err := c.command.StdinPipe()
	if err != nil {
		return nil, err
	}
	c.closeStdin = stdin.Close
	stdout, err := c.command.StdoutPipe()
	if err != nil {
		return nil, err
	}
	c.stdout = bufio.NewReader(stdout)
	if err := c.command.Start(); err != nil {
		return nil, err
	}
	line, err := c.stdout.ReadString('\n')
	if address, ok := strings.CutPrefix(strings.TrimSpace(line), "ready "); ok {
		c.address = address
		return c, nil
	}
	c.end()
	return nil, fmt.Errorf("the sidecar did not start: %v %s", err, c.stderr.String())
}

func (c *childProcess) kill() { c.command.Process.Kill() }

// end kills the process, if it still runs, and waits for it.
func (c *childProcess) end() {
	c.endOnce.Do(func() {
		c.command.Process.Kill()
		c.command.Wait()
	})
}

// points ends the process gracefully and returns how many crash points it passed.
func (c *childProcess) points() (n int64, err error) {
	c.closeStdin()
	line, err := c.stdout.ReadString('\n')
	if _, scanErr := fmt.Sscanf(line, "points %d", &n); scanErr != nil {
		return 0, fmt.Errorf("%q %v", line, err)
	}
	return n, nil
}

// Kinds of crash points, by where they are counted.
const (
	inSidecar  = "in the sidecar"  // it kills itself
	atServer   = "at a server"     // it is killed while a server has its request
	atClient   = "at the client"   // it is killed when the client has sent, or has its answer
	atDatabase = "at the database" // it is killed before or after a statement
)

// crashCase is one way in which a request runs.
type crashCase struct {
	store  string
	class  string
	name   string
	behave func(request int) behavior
}

func (c crashCase) String() string { return c.store + " " + c.class + " " + c.name }

// crashTotals counts the outcomes of all cases.
type crashTotals struct {
	mu                                            sync.Mutex
	runs, answered, rejected, mayHaveRun, retried int
	byKind                                        map[string]int
}

// TestCrashAtEveryPoint kills a sidecar at each crash point in turn: the points are
// counted in a run without a kill, and each is then died at in a run of its own. A new
// sidecar over the same store gets the same key again. Nothing runs twice, and each key
// ends answered, rejected and then carried out, or listed as one that may have run.
func TestCrashAtEveryPoint(t *testing.T) {
	served := crashCase{name: "served", behave: always(behavior{})}
	rejectedOnce := crashCase{name: "rejected once", behave: onFirstRequest(behavior{reject: true})}
	reset := crashCase{name: "run, then reset", behave: onFirstRequest(behavior{reset: true})}
	truncated := crashCase{name: "truncated answer", behave: onFirstRequest(behavior{truncate: true})}
	failed := crashCase{name: "run, then 500", behave: onFirstRequest(behavior{fail: true})}
	rejected := crashCase{name: "rejected by all", behave: always(behavior{reject: true})}
	totals := &crashTotals{byKind: make(map[string]int)}
	t.Run("all", func(t *testing.T) {
		for _, store := range []string{"sqlite", "postgres"} {
			for class, cases := range map[string][]crashCase{
				"activate":    {served, rejectedOnce, reset, truncated, failed, rejected},
				"id-register": {served, reset, rejected},
				"report":      {served, reset},
			} {
				for _, c := range cases {
					c.store, c.class = store, class
					t.Run(c.String(), func(t *testing.T) {
						t.Parallel()
						c.run(t, totals)
					})
				}
			}
		}
	})
	t.Logf("%d runs that were killed: %v; keys: %d answered, %d of them retried after a rejection, %d rejected for good, %d may have run",
		totals.runs, totals.byKind, totals.answered, totals.retried, totals.rejected, totals.mayHaveRun)
	if totals.runs < 300 || totals.answered == 0 || totals.mayHaveRun == 0 || totals.retried == 0 {
		t.Error("too few crash points, or one of the outcomes never came")
	}
}

// crashRun is the fixture of one case.
type crashRun struct {
	crashCase
	servers   *serverGroup
	addresses []string
	database  *pgserver.Server // nil for SQLite
	directory string
	keys      int // used so far
	totals    *crashTotals
}

// run counts the crash points of each kind and dies at each.
func (c crashCase) run(t *testing.T, totals *crashTotals) {
	r := &crashRun{crashCase: c, servers: newServerGroup(), directory: t.TempDir(), totals: totals}
	r.addresses = newServers(t, serversPerSidecar, r.servers)
	if c.store == "postgres" {
		var err error
		if r.database, err = pgserver.Start(pgserver.Config{}); err != nil {
			t.Fatal(err)
		}
		defer r.database.Close()
	}
	for kind, points := range r.countPoints(t) {
		for at := int64(1); at <= points; at++ {
			r.crashAt(t, kind, at)
			if t.Failed() {
				return
			}
		}
	}
}

// newConfig is the configuration of a sidecar, and newRequest a request with a new key.
func (r *crashRun) newConfig() *sidecarConfig {
	config := &sidecarConfig{Servers: r.addresses}
	if r.database != nil {
		config.Postgres = r.database.URL()
	} else {
		config.SQLite = filepath.Join(r.directory, "record.db")
	}
	return config
}

func (r *crashRun) newRequest() clientRequest {
	r.keys++
	return clientRequest{class: r.class, key: fmt.Sprintf("key%d", r.keys)}
}

// crashCounters count the crash points outside of the sidecar.
type crashCounters struct{ server, client, database atomic.Int64 }

// countPoints makes one request without a kill and returns the crash points of each kind.
func (r *crashRun) countPoints(t *testing.T) map[string]int64 {
	t.Helper()
	child, counters, _ := r.send(t, r.newConfig(), r.newRequest(), "", 0)
	defer child.end()
	points, err := child.points()
	if err != nil {
		t.Fatal(err)
	}
	counts := map[string]int64{inSidecar: points, atServer: counters.server.Load(), atClient: counters.client.Load()}
	if r.database != nil {
		counts[atDatabase] = counters.database.Load()
	}
	return counts
}

// send starts a sidecar and sends it a request; the sidecar dies at a point of a kind.
func (r *crashRun) send(t *testing.T, config *sidecarConfig, request clientRequest, kind string, at int64) (*childProcess, *crashCounters, clientResponse) {
	t.Helper()
	child, err := launchChild(config)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(child.end)
	counters := &crashCounters{}
	reach := func(where string, count *atomic.Int64) {
		if count.Add(1) == at && kind == where {
			child.kill()
			child.command.Process.Wait() // dead before it can do more
		}
	}
	r.servers.mu.Lock()
	r.servers.requests, r.servers.behave = 0, r.behave
	r.servers.onPoint = func(string) { reach(atServer, &counters.server) }
	r.servers.mu.Unlock()
	if r.database != nil {
		r.database.Inject(func(pgserver.Event) pgserver.Fault {
			reach(atDatabase, &counters.database)
			return pgserver.Fault{}
		})
	}
	response, err := sendRequest(child.address, request, func() { reach(atClient, &counters.client) })
	if err != nil {
		t.Fatalf("%v, %s %d: %v", r, kind, at, err)
	}
	reach(atClient, &counters.client)
	return child, counters, response
}

// crashAt makes one request, whose sidecar dies at a point of a kind, and sends it again
// to another sidecar over the same store.
func (r *crashRun) crashAt(t *testing.T, kind string, at int64) {
	t.Helper()
	config, request := r.newConfig(), r.newRequest()
	if kind == inSidecar {
		config.CrashAt = at
	}
	child, _, first := r.send(t, config, request, kind, at)
	child.end()
	if r.database != nil {
		r.database.Inject(nil)
		r.database.SetSkew(time.Duration(r.keys) * time.Minute) // the dead owner's lease is over
	}
	r.servers.mu.Lock()
	r.servers.requests, r.servers.behave, r.servers.onPoint = 0, nil, nil
	r.servers.mu.Unlock()
	next, err := start(config, nil)
	if err != nil {
		t.Fatalf("%v, %s %d: %v", r, kind, at, err)
	}
	defer next.stop()
	where := fmt.Sprintf("%v, %s, point %d, first %v", r, kind, at, first.status)
	r.check(t, next, request, first, where, kind)
}

// check sends the request again and compares the response, the entry and the runs.
func (r *crashRun) check(t *testing.T, next *testSidecar, request clientRequest, first clientResponse, where, kind string) {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	entry, err := next.backend.Get(ctx, request.class, request.key)
	if err != nil {
		t.Fatalf("%s: %v", where, err)
	}
	before := r.servers.runCount(request)
	again, err := sendRequest(next.address, request, nil)
	if err != nil {
		t.Fatalf("%s: %v", where, err)
	}
	ran := r.servers.runCount(request)
	r.totals.mu.Lock()
	defer r.totals.mu.Unlock()
	r.totals.runs++
	r.totals.byKind[kind]++
	switch {
	case ran > 1:
		t.Errorf("%s: it ran %d times; entry %+v", where, ran, entry)
	case again.status == http.StatusOK:
		r.totals.answered++
		if ran != 1 || first.status == http.StatusOK && again.body != first.body || again.body != "done: "+request.class+" "+request.key {
			t.Errorf("%s: answered %q, at first %q, ran %d times", where, again.body, first.body, ran)
		}
		if first.status == http.StatusServiceUnavailable {
			r.totals.retried++
		}
	case again.status == http.StatusServiceUnavailable:
		r.totals.rejected++
		t.Errorf("%s: rejected though the store and the servers are well", where)
	case again.status == http.StatusConflict && strings.HasPrefix(again.recordState, "may-have-run"):
		r.totals.mayHaveRun++
		checkListed(ctx, t, next.backend, request, first, entry, where)
	default:
		t.Errorf("%s: repeated: %+v (ran %d, before %d, entry %+v)", where, again, ran, before, entry)
	}
}

// checkListed checks that a key that may have run is listed, and that its first response
// and its entry before the repeat permit that.
func checkListed(ctx context.Context, t *testing.T, backend idempotency.Backend, request clientRequest, first clientResponse, entry idempotency.Entry, where string) {
	t.Helper()
	entries, err := backend.List(ctx, idempotency.Filter{State: idempotency.MayHaveRun, Class: request.class, Limit: 10000})
	listed := false
	for _, e := range entries {
		listed = listed || e.Key == request.key
	}
	switch {
	case err != nil || !listed:
		t.Errorf("%s: it may have run and is not listed: %v", where, err)
	case first.status == http.StatusOK || first.status == http.StatusServiceUnavailable:
		t.Errorf("%s: the client's first response (%d) did not hold", where, first.status)
	case entry.Attempts == 0 && entry.State != idempotency.MayHaveRun:
		t.Errorf("%s: nothing was sent, and it is said that it may have run: %+v", where, entry)
	}
}
