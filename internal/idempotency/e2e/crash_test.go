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
	"martendrum/internal/standin/shop"
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

func launchChild(p *sidecarConfig) (*childProcess, error) {
	text, err := json.Marshal(p)
	if err != nil {
		return nil, err
	}
	c := &childProcess{command: exec.Command(os.Args[0])}
	c.command.Env = append(os.Environ(), "E2E_RECORD="+string(text))
	c.command.Stderr = &c.stderr
	in, err := c.command.StdinPipe()
	if err != nil {
		return nil, err
	}
	c.closeStdin = in.Close
	out, err := c.command.StdoutPipe()
	if err != nil {
		return nil, err
	}
	c.stdout = bufio.NewReader(out)
	if err := c.command.Start(); err != nil {
		return nil, err
	}
	line, err := c.stdout.ReadString('\n')
	if addr, ok := strings.CutPrefix(strings.TrimSpace(line), "ready "); ok {
		c.address = addr
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

// points ends the process in peace and returns how many points it passed.
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

// crashCase is one way to run a request.
type crashCase struct {
	store  string
	class  string
	name   string
	behave func(hit int) behavior
}

func (c crashCase) String() string { return c.store + " " + c.class + " " + c.name }

// crashTotals is what became of the keys.
type crashTotals struct {
	mu                                            sync.Mutex
	runs, answered, rejected, mayHaveRun, retried int
	byKind                                        map[string]int
}

// A sidecar is killed at each point in turn: they are counted in a run without a kill,
// and then each is died at in a run of its own. A new sidecar over the same record is
// asked again with the same key. Nothing runs twice, and each key ends answered,
// refused and then carried out, or listed as one that may have run.
func TestCrashAtEveryPoint(t *testing.T) {
	served := crashCase{name: "served", behave: always(behavior{})}
	declined := crashCase{name: "turned away once", behave: onFirstRequest(behavior{reject: true})}
	reset := crashCase{name: "run, then reset", behave: onFirstRequest(behavior{reset: true})}
	half := crashCase{name: "half an answer", behave: onFirstRequest(behavior{truncate: true})}
	failed := crashCase{name: "run, then 500", behave: onFirstRequest(behavior{fail: true})}
	refused := crashCase{name: "turned away by all", behave: always(behavior{reject: true})}
	total := &crashTotals{byKind: make(map[string]int)}
	t.Run("all", func(t *testing.T) {
		for _, store := range []string{"sqlite", "postgres"} {
			for class, cs := range map[string][]crashCase{
				"activate":    {served, declined, reset, half, failed, refused},
				"id-register": {served, reset, refused},
				"report":      {served, reset},
			} {
				for _, c := range cs {
					c.store, c.class = store, class
					t.Run(c.String(), func(t *testing.T) {
						t.Parallel()
						c.run(t, total)
					})
				}
			}
		}
	})
	t.Logf("%d runs that were killed: %v; keys: %d answered, %d of them asked again after a refusal, %d refused for good, %d may have run",
		total.runs, total.byKind, total.answered, total.retried, total.rejected, total.mayHaveRun)
	if total.runs < 300 || total.answered == 0 || total.mayHaveRun == 0 || total.retried == 0 {
		t.Error("too few points, or one of the ends never came")
	}
}

func (c crashCase) run(t *testing.T, total *crashTotals) {
	dir := t.TempDir()
	w := newServerGroup()
	s, err := shop.NewWith(serversPerSidecar, w.handle)
	if err != nil {
		t.Fatal(err)
	}
	defer s.Close()
	var pg *pgserver.Server
	if c.store == "postgres" {
		if pg, err = pgserver.Start(pgserver.Config{}); err != nil {
			t.Fatal(err)
		}
		defer pg.Close()
	}
	n := 0
	counts := c.runOnce(t, s, w, pg, dir, &n, "", 0, nil)
	for kind, limit := range counts {
		for at := int64(1); at <= limit; at++ {
			c.runOnce(t, s, w, pg, dir, &n, kind, at, total)
			if t.Failed() {
				return
			}
		}
	}
}

// runOnce makes one request, whose sidecar dies at point at of a kind, and asks again.
// Without a kind nothing dies, and the points are counted.
func (c crashCase) runOnce(t *testing.T, s *shop.Shop, w *serverGroup, pg *pgserver.Server, dir string, n *int, kind string, at int64, total *crashTotals) map[string]int64 {
	t.Helper()
	*n++
	request := clientRequest{class: c.class, key: fmt.Sprintf("key%d", *n)}
	p := &sidecarConfig{Servers: s.Addrs()}
	if pg != nil {
		p.Postgres = pg.URL()
	} else {
		p.SQLite = filepath.Join(dir, "record.db")
	}
	if kind == inSidecar {
		p.CrashAt = at
	}
	child, err := launchChild(p)
	if err != nil {
		t.Fatal(err)
	}
	defer child.end()
	var server, client, database atomic.Int64
	dies := func(where string, count *atomic.Int64) {
		if count.Add(1) == at && kind == where {
			child.kill()
			child.command.Process.Wait() // dead before it can do more
		}
	}
	w.mu.Lock()
	w.requests, w.behave, w.onPoint = 0, c.behave, func(string) { dies(atServer, &server) }
	w.mu.Unlock()
	if pg != nil {
		pg.Inject(func(pgserver.Event) pgserver.Fault {
			dies(atDatabase, &database)
			return pgserver.Fault{}
		})
	}
	first, err := sendRequest(child.address, request, func() { dies(atClient, &client) })
	if err != nil {
		t.Fatalf("%v, %s %d: %v", c, kind, at, err)
	}
	dies(atClient, &client)
	if kind == "" {
		points, err := child.points()
		if err != nil {
			t.Fatal(err)
		}
		counts := map[string]int64{inSidecar: points, atServer: server.Load(), atClient: client.Load()}
		if pg != nil {
			counts[atDatabase] = database.Load()
		}
		return counts
	}
	child.end()
	if pg != nil {
		pg.Inject(nil)
		pg.SetSkew(time.Duration(*n) * time.Minute) // the dead owner's time is over
	}
	w.mu.Lock()
	w.requests, w.behave, w.onPoint = 0, nil, nil
	w.mu.Unlock()
	again, err := start(p, nil)
	if err != nil {
		t.Fatalf("%v, %s %d: %v", c, kind, at, err)
	}
	defer again.stop()
	c.check(t, w, again, request, first, fmt.Sprintf("%v, %s, point %d, first %v", c, kind, at, first.status), kind, total)
	return nil
}

func (c crashCase) check(t *testing.T, w *serverGroup, n *testSidecar, request clientRequest, first clientResponse, where, kind string, total *crashTotals) {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	row, err := n.backend.Get(ctx, request.class, request.key)
	if err != nil {
		t.Fatalf("%s: %v", where, err)
	}
	before := w.runCount(request)
	a, err := sendRequest(n.address, request, nil)
	if err != nil {
		t.Fatalf("%s: %v", where, err)
	}
	total.mu.Lock()
	defer total.mu.Unlock()
	total.runs++
	total.byKind[kind]++
	switch {
	case w.runCount(request) > 1:
		t.Errorf("%s: it ran %d times; row %+v", where, w.runCount(request), row)
	case a.status == http.StatusOK:
		total.answered++
		if w.runCount(request) != 1 || first.status == http.StatusOK && a.body != first.body || a.body != "done: "+request.class+" "+request.key {
			t.Errorf("%s: answered %q, at first %q, ran %d times", where, a.body, first.body, w.runCount(request))
		}
		if first.status == http.StatusServiceUnavailable {
			total.retried++
		}
	case a.status == http.StatusServiceUnavailable:
		total.rejected++
		t.Errorf("%s: refused though the store and the servers are well", where)
	case a.status == http.StatusConflict && strings.HasPrefix(a.recordState, "may-have-run"):
		total.mayHaveRun++
		rows, err := n.backend.List(ctx, idempotency.Filter{State: idempotency.MayHaveRun, Class: request.class, Limit: 10000})
		listed := false
		for _, r := range rows {
			listed = listed || r.Key == request.key
		}
		switch {
		case err != nil || !listed:
			t.Errorf("%s: it may have run and is not listed: %v", where, err)
		case first.status == http.StatusOK || first.status == http.StatusServiceUnavailable:
			t.Errorf("%s: what the client was told (%d) was not kept", where, first.status)
		case row.Attempts == 0 && row.State != idempotency.MayHaveRun:
			t.Errorf("%s: nothing was sent, and it is said to may have run: %+v", where, row)
		}
	default:
		t.Errorf("%s: asked again: %+v (ran %d, before %d, row %+v)", where, a, w.runCount(request), before, row)
	}
}
