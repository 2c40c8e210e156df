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

// Options say what a World plays with.
type Options struct {
	Program   string // the sidecar's
	Seams     string // MARTENDRUM_SEAMS of the sidecars, for a program built with them
	Directory string // for configurations; its owner removes it
	Host      int    // 1 to 200: a number that worlds playing side by side don't share
}

// maxStart is how long the first processes may take before the day begins all the same.
const maxStart = 30 * time.Second

// world is a script being played.
type world struct {
	script   *Script
	options  Options
	recorder *recorder

	servers   []*server
	discovery *discovery
	sidecars  []*sidecar

	mu     sync.Mutex
	failed error
}

// Play plays a script and returns what was recorded, and the sidecars' logs. An error says
// that the world itself failed, and the record is invalid.
func Play(script *Script, options Options) (record *Record, logs []string, err error) {
	w := &world{script: script, options: options, recorder: newRecorder()}
	defer func() {
		for _, s := range w.sidecars {
			logs = append(logs, s.log.String())
		}
	}()
	if err := w.build(); err != nil {
		w.tearDown()
		return nil, nil, err
	}
	end := w.begin()
	w.awaitReady()
	w.playEvents()
	end()
	w.tearDown()
	record = w.recorder.finish()
	for n, s := range w.sidecars {
		if panics := panicsIn(s.log.String()); panics > 0 {
			record.Processes[n].Panics = panics
		}
	}
	return record, logs, w.failed
}

// fail records an error of the world itself.
func (w *world) fail(err error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.failed = errors.Join(w.failed, err)
}

// build makes servers, discovery and sidecars.
func (w *world) build() error {
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
			return fmt.Errorf("soak: %w", err)
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

// begin starts the processes, and the probe of the recorder's own lateness, which end ends:
// it returns once the probe has noted what it found.
func (w *world) begin() (end func()) {
	ctx, cancel := context.WithCancel(context.Background())
	var probe sync.WaitGroup
	probe.Go(func() { w.recorder.measureLateness(ctx) })
	for _, s := range w.sidecars {
		s.mu.Lock()
		if err := s.start(ctx); err != nil {
			w.fail(err)
		}
		s.mu.Unlock()
	}
	return func() {
		cancel()
		probe.Wait()
	}
}

// awaitReady waits until every sidecar is ready, for maxStart at most.
func (w *world) awaitReady() {
	for until := time.Now().Add(maxStart); time.Now().Before(until); time.Sleep(healthInterval) {
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

// playEvents starts the clients, plays the events at their times, and returns when the day
// is over and everything that an event began has ended.
func (w *world) playEvents() {
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
		events.Go(func() { w.play(ctx, e) })
	}
	time.Sleep(time.Until(began.Add(time.Duration(w.script.Length))))
	cancel()
	clients.Wait()
	events.Wait()
}

// startClients starts the clients of one sidecar.
func (w *world) startClients(ctx context.Context, group *sync.WaitGroup, s *sidecar) {
	script := w.script
	for n := range script.Clients + script.Slow {
		c := &client{name: fmt.Sprintf("%d.%d", s.number, n), sidecar: s.number, address: s.address, script: script, recorder: w.recorder,
			slow: n >= script.Clients, Rand: rand.New(rand.NewPCG(script.Seed, uint64(s.number)<<16|uint64(n)))}
		group.Go(func() { c.run(ctx) })
	}
	for n := range script.Stalling {
		random := rand.New(rand.NewPCG(script.Seed+1, uint64(s.number)<<16|uint64(n)))
		group.Go(func() { stall(ctx, s.number, s.address, random, w.recorder) })
	}
	if script.IdleConnections > 0 {
		group.Go(func() { holdIdleConnections(ctx, s.address, script.IdleConnections) })
	}
}

// play plays one event.
func (w *world) play(ctx context.Context, e *Event) {
	var group sync.WaitGroup
	defer group.Wait()
	switch e.Kind {
	case EventDiscoveryMode:
		w.discovery.set(e.Mode)
		sleep(ctx, time.Duration(e.For))
		w.discovery.set(DiscoveryServes)
		return
	case EventStop, EventReload, EventHold:
		for _, target := range e.Targets {
			group.Go(func() { w.playSidecar(ctx, e, w.sidecars[target]) })
		}
		return
	}
	for _, target := range e.Targets {
		group.Go(func() { w.playServer(ctx, e, w.servers[target]) })
	}
}

func (w *world) playSidecar(ctx context.Context, e *Event, s *sidecar) {
	var err error
	switch e.Kind {
	case EventStop:
		err = s.stop(ctx, e)
	case EventReload:
		err = s.reload(e.Factor)
	case EventHold:
		s.stall(time.Duration(e.For))
	}
	if err != nil {
		w.fail(fmt.Errorf("%s of sidecar %d: %w", e.Kind, s.number, err))
	}
}

func (w *world) playServer(ctx context.Context, e *Event, s *server) {
	var err error
	switch e.Kind {
	case EventServerMode:
		err = s.during(ctx, e.Mode, time.Duration(e.For))
	case EventServerReset:
		s.reset()
	case EventServerDrain:
		w.discovery.change(s.number, Draining, 0)
	case EventServerRemove:
		w.discovery.change(s.number, Removed, 0)
		err = s.set(ModeDown)
	case EventServerReturn:
		err = s.restart()
		w.discovery.change(s.number, Up, w.recorder.now())
	}
	if err != nil {
		w.fail(fmt.Errorf("%s of server %d: %w", e.Kind, s.number, err))
	}
}

// tearDown ends all that was started.
func (w *world) tearDown() {
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
