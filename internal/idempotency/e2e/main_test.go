// Package e2e tests the store of record in whole sidecars: front, decision module,
// upstream and store, over sockets of this machine, with processes that are killed.
package e2e

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"os"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

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
