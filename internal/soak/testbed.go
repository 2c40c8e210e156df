package soak

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"sync"
	"time"
)

// Options configure a run.
type Options struct {
	Program   string // path of the sidecar
	Seams     string // value of MARTENDRUM_SEAMS: the seams by which a program built with the tag seams breaks rules on purpose; empty: none
	Directory string // for the sidecars' files; the caller removes it
	Host      int    // 1 to 200; sets the IP addresses of the sidecars. Concurrent runs need different ones
}

// startTimeout is how long the run waits for the first processes to be ready. After it, the clients
// and events begin all the same.
const startTimeout = 30 * time.Second

// testbed holds the processes and stand-ins of one run of a script.
type testbed struct {
	script   *Script
	options  Options
	recorder *recorder

	servers   []*server
	discovery *discovery
	sidecars  []*sidecar

	mu     sync.Mutex // guards failed
	failed error      // errors of the testbed itself
}

// Run runs a script, which takes about its length, and returns the record of the run and the logs of
// the sidecars. An error means that the testbed itself failed, not a sidecar; the record is then
// invalid.
func Run(script *Script, options Options) (record *Record, logs []string, err error) {
	w := &testbed{script: script, options: options, recorder: newRecorder()}
	defer func() {
		for _, s := range w.sidecars {
			logs = append(logs, s.log.String())
		}
	}()
	if err := w.build(); err != nil {
		w.tearDown()
		return nil, nil, err
	}
	end := w.startSidecars()
	w.awaitReady()
	w.runEvents()
	end()
	w.tearDown()
	record = w.recorder.finish()
	for n, s := range w.sidecars { // Processes[n] is the first process of sidecar n
		if panics := panicsIn(s.log.String()); panics > 0 {
			record.Processes[n].Panics = panics
		}
	}
	return record, logs, w.failed
}

// fail records an error of the testbed itself.
func (w *testbed) fail(err error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.failed = errors.Join(w.failed, err)
}

// build starts the servers and the discovery, and configures the sidecars without starting them.
func (w *testbed) build() error {
	w.discovery = newDiscovery(w.script, w.recorder)
	for n := range w.script.Servers {
		s, err := startServer(n, "127.0.0.1", w.script, w.recorder)
		if err != nil {
			return err
		}
		w.servers = append(w.servers, s)
		w.discovery.add(s)
	}
	for n := range w.script.Sidecars {
		s := &sidecar{number: n, program: w.options.Program, seams: w.options.Seams, script: w.script, recorder: w.recorder,
			directory: filepath.Join(w.options.Directory, fmt.Sprint("sidecar", n))}
		var err error
		if err = os.MkdirAll(s.directory, 0o700); err != nil {
			return fmt.Errorf("soak: create the folder of a sidecar: %w", err)
		}
		if s.address, err = freeAddress(fmt.Sprintf("127.%d.%d.%d", 20+w.options.Host, 1+os.Getpid()%250, n+1)); err != nil {
			return err
		}
		if s.discovery, err = w.discovery.listen(n); err != nil {
			return err
		}
		w.sidecars = append(w.sidecars, s)
		if err := s.configure(1); err != nil {
			return err
		}
	}
	return nil
}

// startSidecars starts the sidecars and the measurement of the recorder's lateness. The returned
// function ends the measurement, waits until its result is recorded, and ends the readiness checks
// of those sidecars that are not ready yet.
func (w *testbed) startSidecars() (end func()) {
	ctx, cancel := context.WithCancel(context.Background())
	var measurement sync.WaitGroup
	measurement.Go(func() { w.recorder.measureLateness(ctx) })
	for _, s := range w.sidecars {
		s.mu.Lock()
		if err := s.start(ctx); err != nil {
			w.fail(err)
		}
		s.mu.Unlock()
	}
	return func() {
		cancel()
		measurement.Wait()
	}
}

// awaitReady waits until the process of every sidecar is ready or has exited, for startTimeout at
// most.
func (w *testbed) awaitReady() {
	for until := time.Now().Add(startTimeout); time.Now().Before(until); time.Sleep(healthInterval) {
		ready := 0
		w.recorder.do(func(record *Record) {
			for _, process := range record.Processes {
				if process.Ready > 0 || process.Exited > 0 {
					ready++
				}
			}
		})
		if ready >= len(w.sidecars) {
			return
		}
	}
}

// runEvents starts the clients and carries out the events at their times. It returns when the
// script's length has passed and all clients and events have ended.
func (w *testbed) runEvents() {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	var clients, events sync.WaitGroup
	for _, s := range w.sidecars {
		w.startClients(ctx, &clients, s)
	}
	began := time.Now()
	for n := range w.script.Events {
		e := &w.script.Events[n]
		if time.Duration(e.At) >= time.Duration(w.script.Length) {
			break
		}
		time.Sleep(time.Until(began.Add(time.Duration(e.At))))
		events.Go(func() { w.runEvent(ctx, e) })
	}
	time.Sleep(time.Until(began.Add(time.Duration(w.script.Length))))
	cancel()
	clients.Wait()
	events.Wait()
}

// startClients starts the clients of one sidecar in a group.
func (w *testbed) startClients(ctx context.Context, group *sync.WaitGroup, s *sidecar) {
	script := w.script
	for n := range script.Clients + script.Slow {
		c := &client{name: fmt.Sprintf("%d.%d", s.number, n), sidecar: s.number, address: s.address, script: script, recorder: w.recorder,
			slow: n >= script.Clients, Rand: rand.New(rand.NewPCG(script.Seed, uint64(s.number)<<16|uint64(n)))}
		group.Go(func() { c.run(ctx) })
	}
	for n := range script.Stalling {
		random := rand.New(rand.NewPCG(script.Seed+1, uint64(s.number)<<16|uint64(n)))
		group.Go(func() { runStallingClient(ctx, s.number, s.address, random, w.recorder) })
	}
	if script.IdleConnections > 0 {
		group.Go(func() { holdIdleConnections(ctx, s.address, script.IdleConnections) })
	}
}

// runEvent carries out one event at all of its targets.
func (w *testbed) runEvent(ctx context.Context, e *Event) {
	var group sync.WaitGroup
	defer group.Wait()
	switch e.Kind {
	case EventDiscoveryMode:
		w.discovery.setMode(e.Mode)
		sleep(ctx, time.Duration(e.For))
		w.discovery.setMode(DiscoveryServes)
		return
	case EventStop, EventReload, EventPause:
		for _, target := range e.Targets {
			group.Go(func() { w.runSidecarEvent(ctx, e, w.sidecars[target]) })
		}
		return
	}
	for _, target := range e.Targets {
		group.Go(func() { w.runServerEvent(ctx, e, w.servers[target]) })
	}
}

// runSidecarEvent carries out an event at one sidecar.
func (w *testbed) runSidecarEvent(ctx context.Context, e *Event, s *sidecar) {
	var err error
	switch e.Kind {
	case EventStop:
		err = s.stop(ctx, e)
	case EventReload:
		err = s.reload(e.Factor)
	case EventPause:
		s.pause(time.Duration(e.For))
	}
	if err != nil {
		w.fail(fmt.Errorf("event %s of sidecar %d: %w", e.Kind, s.number, err))
	}
}

// runServerEvent carries out an event at one server.
func (w *testbed) runServerEvent(ctx context.Context, e *Event, s *server) {
	var err error
	switch e.Kind {
	case EventServerMode:
		err = s.setModeFor(ctx, e.Mode, time.Duration(e.For))
	case EventServerReset:
		s.reset()
	case EventServerDrain:
		w.discovery.setServerState(s.number, Draining, 0)
	case EventServerRemove:
		w.discovery.setServerState(s.number, Removed, 0)
		err = s.setMode(ModeDown)
	case EventServerReturn:
		err = s.restart()
		w.discovery.setServerState(s.number, Up, w.recorder.now())
	}
	if err != nil {
		w.fail(fmt.Errorf("event %s of server %d: %w", e.Kind, s.number, err))
	}
}

// tearDown ends all processes and stand-ins that were started.
func (w *testbed) tearDown() {
	for _, s := range w.sidecars {
		s.kill()
	}
	for _, s := range w.servers {
		s.close()
	}
	if w.discovery != nil {
		w.discovery.close()
	}
}
