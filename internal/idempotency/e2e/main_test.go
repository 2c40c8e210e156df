// Package e2e tests the idempotency store in complete sidecars: client connections, decision
// module, server connections and store. The sidecars communicate over loopback sockets, and
// some tests kill their processes.
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

// testTimeout is how long a test waits for an expected event before it fails.
const testTimeout = 30 * time.Second

// TestMain runs the tests. If the environment variable E2E_RECORD is set, this process is the
// child of a test instead: it runs one sidecar with that configuration, which kills itself at
// its crash point.
func TestMain(m *testing.M) {
	if text := os.Getenv("E2E_RECORD"); text != "" {
		var config sidecarConfig
		err := json.Unmarshal([]byte(text), &config)
		if err == nil {
			err = runChild(&config)
		}
		if err != nil {
			fmt.Fprintln(os.Stderr, err)
			os.Exit(1)
		}
		return
	}
	os.Exit(m.Run())
}

// sidecarConfig is the configuration of a sidecar under test. With neither SQLite nor Postgres
// the sidecar has no store.
type sidecarConfig struct {
	SQLite   string   // path of the store's SQLite file
	Postgres string   // URL of the store's database; ignored if SQLite is set
	Servers  []string // the servers' addresses
	CrashAt  int64    // number of the crash point, from 1, at which the process kills itself; 0: none

	MaxWait          time.Duration // longest wait of a request for the store; 0: 10 s
	LeaseMargin      time.Duration // how long a lease outlasts its request's deadline; 0: 5 s
	MaxAnswerBytes   int           // longest answer that is stored; 0: 64 KiB
	LatencyObjective string        // of all classes, in µs; "": 20 s
	SweepAtOnce      bool          // delete answered entries after 1 ms, with a sweep every 10 ms

	wrapBackend func(idempotency.Backend) idempotency.Backend // nil: the store is used directly
}

// settingsTemplate is the sidecar's settings, with AIM in place of the latency objective.
const settingsTemplate = `{"replicasOfMe":1,"registryMode":"automatic",
	"caps":{"attemptsCap":3,"mayCancel":true,"secondCopies":false,"connIdleUs":30000000,"dialTimeoutUs":5000000,"mostHeld":500,"retryAfter":true,"maxRetryAfterUs":1000000},
	"guarantees":{"drainGraceUs":2000000,"coldFrom":1},
	"classes":[{"name":"status-check","promiseUs":AIM,"hardLimitUs":20000000,"effect":"repeatable","worth":1},
	{"name":"id-register","promiseUs":AIM,"hardLimitUs":20000000,"effect":"by_key","repeatWindowUs":15000000,"worth":3},
	{"name":"activate","promiseUs":AIM,"hardLimitUs":20000000,"effect":"once","worth":10},
	{"name":"report","promiseUs":AIM,"hardLimitUs":20000000,"effect":"once","worth":10}]}`

func mustParseKeyRule(text string) idempotency.KeyRule {
	rule, err := idempotency.ParseKeyRule(text)
	if err != nil {
		panic(err)
	}
	return rule
}

// testSidecar is a sidecar that runs in this process.
type testSidecar struct {
	address  string
	host     *sidecar.Host
	server   *downstream.Server
	recorder *recorder.Recorder
	backend  idempotency.Backend
	listener net.Listener
}

// start starts a sidecar in this process. onPoint, if not nil, is called with the name of each
// crash point that the sidecar reaches.
func start(config *sidecarConfig, onPoint func(string)) (*testSidecar, error) {
	objective := orDefault(config.LatencyObjective, "20000000")
	parsedSettings, err := settings.Parse([]byte(strings.ReplaceAll(settingsTemplate, "AIM", objective)))
	if err != nil {
		return nil, err
	}
	pool := upstream.New(upstream.Config{ServerIdleTimeout: parsedSettings.ConnIdle, DialTimeout: parsedSettings.DialTimeout, DrainGrace: parsedSettings.DrainGrace, MaxConns: 300})
	s := &testSidecar{}
	if s.host, err = sidecar.New(parsedSettings, 1, pool, new(discovery.Watcher)); err != nil {
		return nil, err
	}
	list := &discovery.List{Index: 1, Complete: true}
	for i, address := range config.Servers {
		list.Entries = append(list.Entries, discovery.Entry{Endpoint: martendrum.Endpoint{Name: fmt.Sprint("s", i), CapacityHint: 1}, Address: address})
	}
	s.host.ApplyServers(list)
	if config.SQLite != "" || config.Postgres != "" {
		if err := s.openRecorder(config, onPoint); err != nil {
			return nil, err
		}
	}
	s.server = downstream.New(downstream.Config{MaxConns: 1000, MaxBody: 8 << 20}, s.host)
	if s.listener, err = net.Listen("tcp", "127.0.0.1:0"); err != nil {
		return nil, err
	}
	s.address = s.listener.Addr().String()
	go s.server.Serve(s.listener)
	return s, nil
}

// orDefault returns value, or fallback if value is zero.
func orDefault[T comparable](value, fallback T) T {
	var zero T
	if value == zero {
		return fallback
	}
	return value
}

// openRecorder opens the store and sets the sidecar's recorder, with crash points if onPoint is
// not nil.
func (s *testSidecar) openRecorder(config *sidecarConfig, onPoint func(string)) error {
	retention := idempotency.Retention{Answered: time.Hour, NeverRan: time.Hour, Unsettled: time.Hour}
	sweepInterval := time.Hour
	if config.SweepAtOnce {
		retention.Answered, sweepInterval = time.Millisecond, 10*time.Millisecond
	}
	if err := s.openBackend(config, retention, onPoint); err != nil {
		return err
	}
	writers := 1
	if config.SQLite == "" {
		writers = 2
	}
	maxWait := orDefault(config.MaxWait, 10*time.Second)
	s.recorder = recorder.New(recorder.Config{
		StoreName:        "e2e",
		MaxTransactions:  writers,
		MaxBatch:         64,
		MaxQueuedOps:     1000,
		MaxQueuedBytes:   4 << 20,
		StatementTimeout: 10 * time.Second,
		EndRetryDuration: time.Minute,
		LeaseMargin:      orDefault(config.LeaseMargin, 5*time.Second),
		MaxAnswerBytes:   orDefault(config.MaxAnswerBytes, 64<<10),
		Retention:        retention,
		SweepInterval:    sweepInterval,
		BreakerThreshold: 3,
		MinBackoff:       20 * time.Millisecond,
		MaxBackoff:       100 * time.Millisecond,
		Classes: []recorder.Class{
			{Name: "id-register", KeyRule: mustParseKeyRule("header:Idempotency-Key"), FailOpen: true, MaxWait: maxWait},
			{Name: "activate", KeyRule: mustParseKeyRule("json:/sim/iccid"), MaxWait: maxWait},
			{Name: "report", KeyRule: mustParseKeyRule("request-id"), MaxWait: maxWait},
		},
	}, s.backend)
	if onPoint != nil {
		s.host.SetRecorder(&crashPointRecorder{s.recorder, onPoint})
	} else {
		s.host.SetRecorder(s.recorder)
	}
	return nil
}

// openBackend opens the store, with crash points if onPoint is not nil.
func (s *testSidecar) openBackend(config *sidecarConfig, retention idempotency.Retention, onPoint func(string)) (err error) {
	if config.SQLite != "" {
		s.backend, err = sqlite.Open(context.Background(), sqlite.Config{Path: config.SQLite, MaxBytes: 64 << 20, Retention: retention, Owner: true})
	} else {
		s.backend, err = postgres.Open(postgres.Config{URL: config.Postgres, MaxConnections: 2, StatementTimeout: 10 * time.Second, ConnectTimeout: 5 * time.Second})
	}
	if err != nil {
		return err
	}
	if config.wrapBackend != nil {
		s.backend = config.wrapBackend(s.backend)
	}
	if onPoint == nil {
		return nil
	}
	if config.SQLite != "" {
		if err := addCrashTrigger(config.SQLite, onPoint); err != nil {
			return err
		}
	}
	s.backend = &crashPointBackend{s.backend, onPoint}
	return nil
}

// stop closes the listener and then the recorder.
func (s *testSidecar) stop() {
	s.listener.Close()
	if s.recorder != nil {
		ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
		s.recorder.Close(ctx)
		cancel()
	}
}

// runChild runs a sidecar in a child process, which kills itself at its crash point. It prints
// the sidecar's address once the sidecar accepts connections and, when the test closes standard
// input, the number of crash points reached.
func runChild(config *sidecarConfig) error {
	var count atomic.Int64
	s, err := start(config, func(string) {
		if count.Add(1) == config.CrashAt {
			syscall.Kill(os.Getpid(), syscall.SIGKILL)
			select {}
		}
	})
	if err != nil {
		return err
	}
	fmt.Println("ready", s.address)
	io.Copy(io.Discard, os.Stdin) // returns when the test closes it
	fmt.Println("points", count.Load())
	return nil
}
