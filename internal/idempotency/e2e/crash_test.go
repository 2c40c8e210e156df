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

// childProcess is a sidecar that runs in a child process.
type childProcess struct {
	command    *exec.Cmd
	address    string
	closeStdin func() error
	stdout     *bufio.Reader
	stderr     bytes.Buffer
	endOnce    sync.Once
}

// launchChild starts a sidecar in a child process and waits until it accepts connections. The
// caller ends it with end.
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
	return nil, fmt.Errorf("the sidecar did not start: %v; standard error: %s", err, c.stderr.String())
}

func (c *childProcess) kill() { c.command.Process.Kill() }

// end kills the process, if it still runs, and waits for it.
func (c *childProcess) end() {
	c.endOnce.Do(func() {
		c.command.Process.Kill()
		c.command.Wait()
	})
}

// stopAndCountPoints stops the process gracefully and returns the number of crash points that it
// reached.
func (c *childProcess) stopAndCountPoints() (n int64, err error) {
	c.closeStdin()
	line, err := c.stdout.ReadString('\n')
	if _, scanErr := fmt.Sscanf(line, "points %d", &n); scanErr != nil {
		return 0, fmt.Errorf("reading the number of crash points: got %q, %v", line, err)
	}
	return n, nil
}

// Kinds of crash points, by the process that reaches them.
const (
	inSidecar  = "in the sidecar"  // the sidecar kills itself
	atServer   = "at a server"     // the sidecar is killed while a server handles its request
	atClient   = "at the client"   // the sidecar is killed when the client has sent the request or received its response
	atDatabase = "at the database" // the sidecar is killed before or after a statement
)

// crashCase is a store, a class of requests and the servers' behavior in one test case.
type crashCase struct {
	store  string // "sqlite" or "postgres"
	class  string
	name   string // of the behavior
	behave func(request int) behavior
}

func (c crashCase) String() string { return c.store + " " + c.class + " " + c.name }

// crashTotals counts the crashes of all cases, and the outcomes of the repeated requests. retried
// counts those answered requests whose first sending was rejected; byKind counts the crashes by
// the kind of their crash point.
type crashTotals struct {
	mu                                               sync.Mutex
	crashes, answered, rejected, mayHaveRun, retried int
	byKind                                           map[string]int
}

// TestCrashAtEveryPoint kills a sidecar at each crash point. It first sends a request without
// a kill to count the crash points, and then, for each point, sends a request with a new key
// whose sidecar is killed there. A second sidecar with the same store then receives the
// same request again. No request may run twice. The second sidecar must answer the request, even if
// the first rejected it, or list its key as one whose request may have run.
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
	t.Logf("%d crashes: %v; keys: %d answered, of which %d after a rejection; %d rejected again; %d may have run",
		totals.crashes, totals.byKind, totals.answered, totals.retried, totals.rejected, totals.mayHaveRun)
	if totals.crashes < 300 || totals.answered == 0 || totals.mayHaveRun == 0 || totals.retried == 0 {
		t.Errorf("got %d crashes, %d keys answered, %d after a rejection, %d may have run; want at least 300 crashes and 1 key of each",
			totals.crashes, totals.answered, totals.retried, totals.mayHaveRun)
	}
}

// crashRun is the state of one case while it runs.
type crashRun struct {
	crashCase
	servers   *serverGroup
	addresses []string
	database  *pgserver.Server // nil for SQLite
	directory string
	keys      int // number of keys used so far
	totals    *crashTotals
}

// run counts the crash points of each kind and then kills a sidecar at each of them.
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
		for point := int64(1); point <= points; point++ {
			r.crashAt(t, kind, point)
			if t.Failed() {
				return
			}
		}
	}
}

// newConfig returns the configuration of a sidecar that uses the case's servers and store.
func (r *crashRun) newConfig() *sidecarConfig {
	config := &sidecarConfig{Servers: r.addresses}
	if r.database != nil {
		config.Postgres = r.database.URL()
	} else {
		config.SQLite = filepath.Join(r.directory, "record.db")
	}
	return config
}

// newRequest returns a request with a new key.
func (r *crashRun) newRequest() clientRequest {
	r.keys++
	return clientRequest{class: r.class, key: fmt.Sprintf("key%d", r.keys)}
}

// crashCounters counts the crash points reached outside of the sidecar.
type crashCounters struct{ server, client, database atomic.Int64 }

// countPoints sends one request without a kill and returns the number of crash points of each
// kind.
func (r *crashRun) countPoints(t *testing.T) map[string]int64 {
	t.Helper()
	child, counters, _ := r.send(t, r.newConfig(), r.newRequest(), "", 0)
	defer child.end()
	points, err := child.stopAndCountPoints()
	if err != nil {
		t.Fatal(err)
	}
	counts := map[string]int64{inSidecar: points, atServer: counters.server.Load(), atClient: counters.client.Load()}
	if r.database != nil {
		counts[atDatabase] = counters.database.Load()
	}
	return counts
}

// send starts a sidecar and sends it a request. It kills the sidecar at the crash point of the given
// kind and number, counted from 1; point 0 is never reached. With inSidecar it kills nothing: the
// sidecar kills itself at config.CrashAt. The process ends with the test at the latest.
func (r *crashRun) send(t *testing.T, config *sidecarConfig, request clientRequest, kind string, point int64) (*childProcess, *crashCounters, clientResponse) {
	t.Helper()
	child, err := launchChild(config)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(child.end)
	counters := &crashCounters{}
	reach := func(reachedKind string, count *atomic.Int64) {
		if count.Add(1) == point && kind == reachedKind {
			child.kill()
			child.command.Process.Wait() // the sidecar must not continue after the crash point
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
		t.Fatalf("%v, crash %s, point %d: first request: %v", r, kind, point, err)
	}
	reach(atClient, &counters.client)
	return child, counters, response
}

// crashAt sends a request to a sidecar that is killed at the given crash point, and sends it again
// to a second sidecar with the same store.
func (r *crashRun) crashAt(t *testing.T, kind string, point int64) {
	t.Helper()
	config, request := r.newConfig(), r.newRequest()
	if kind == inSidecar {
		config.CrashAt = point
	}
	child, _, first := r.send(t, config, request, kind, point)
	child.end()
	if r.database != nil {
		r.database.Inject(nil)
		r.database.SetSkew(time.Duration(r.keys) * time.Minute) // past the lease of the killed sidecar
	}
	r.servers.mu.Lock()
	r.servers.requests, r.servers.behave, r.servers.onPoint = 0, nil, nil
	r.servers.mu.Unlock()
	second, err := start(config, nil)
	if err != nil {
		t.Fatalf("%v, crash %s, point %d: starting the second sidecar: %v", r, kind, point, err)
	}
	defer second.stop()
	where := fmt.Sprintf("%v, crash %s, point %d, first response %d", r, kind, point, first.status)
	r.check(t, second, request, first, where, kind)
}

// check sends the request again, to the second sidecar, and checks the response against the
// first one, the entry and the number of runs. where is the head of its error messages.
func (r *crashRun) check(t *testing.T, second *testSidecar, request clientRequest, first clientResponse, where, kind string) {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	entry, err := second.backend.Get(ctx, request.class, request.key)
	if err != nil {
		t.Fatalf("%s: reading the entry: %v", where, err)
	}
	runsBefore := r.servers.runCount(request)
	repeated, err := sendRequest(second.address, request, nil)
	if err != nil {
		t.Fatalf("%s: repeated request: %v", where, err)
	}
	runs := r.servers.runCount(request)
	r.totals.mu.Lock()
	defer r.totals.mu.Unlock()
	r.totals.crashes++
	r.totals.byKind[kind]++
	switch {
	case runs > 1:
		t.Errorf("%s: the request ran %d times, want at most 1; entry %+v", where, runs, entry)
	case repeated.status == http.StatusOK:
		r.totals.answered++
		if runs != 1 || first.status == http.StatusOK && repeated.body != first.body || repeated.body != "done: "+request.class+" "+request.key {
			t.Errorf("%s: repeated request got answer %q (first answer %q) after %d runs, want the same answer after 1 run", where, repeated.body, first.body, runs)
		}
		if first.status == http.StatusServiceUnavailable {
			r.totals.retried++
		}
	case repeated.status == http.StatusServiceUnavailable:
		r.totals.rejected++
		t.Errorf("%s: repeated request got status 503 although the store and the servers work, want status 200, or 409 with may-have-run", where)
	case repeated.status == http.StatusConflict && strings.HasPrefix(repeated.recordState, "may-have-run"):
		r.totals.mayHaveRun++
		checkListed(ctx, t, second.backend, request, first, entry, where)
	default:
		t.Errorf("%s: repeated request got %+v, want status 200, or 409 with may-have-run (ran %d times, %d times before the repeat; entry %+v)", where, repeated, runs, runsBefore, entry)
	}
}

// checkListed checks that a key whose repeated request got may-have-run is listed, and that the
// response to the first request and the entry before the repeat are consistent with that state.
func checkListed(ctx context.Context, t *testing.T, backend idempotency.Backend, request clientRequest, first clientResponse, entry idempotency.Entry, where string) {
	t.Helper()
	entries, err := backend.List(ctx, idempotency.Filter{State: idempotency.MayHaveRun, Class: request.class, Limit: 10000})
	listed := false
	for _, e := range entries {
		listed = listed || e.Key == request.key
	}
	switch {
	case err != nil || !listed:
		t.Errorf("%s: the repeated request got may-have-run, but its key is not in the list of such keys (error: %v)", where, err)
	case first.status == http.StatusOK || first.status == http.StatusServiceUnavailable:
		t.Errorf("%s: the repeated request got may-have-run, but the first response had status %d, want neither 200 nor 503", where, first.status)
	case entry.Attempts == 0 && entry.State != idempotency.MayHaveRun:
		t.Errorf("%s: the repeated request got may-have-run, but the entry before it was %+v, want a recorded attempt or the state may-have-run", where, entry)
	}
}
