// Command sidecar is the real sidecar: one process between an application and
// the servers, which hosts one balancer. It runs until SIGTERM.
package main

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"math"
	"net"
	"os"
	"os/signal"
	"runtime"
	"runtime/debug"
	"slices"
	"strconv"
	"sync"
	"syscall"
	"time"

	"martendrum/internal/admin"
	"martendrum/internal/discovery"
	"martendrum/internal/front"
	"martendrum/internal/handover"
	"martendrum/internal/handover/idtable"
	"martendrum/internal/handover/link"
	"martendrum/internal/limitlog"
	"martendrum/internal/metrics"
	"martendrum/internal/sidecar"
	"martendrum/internal/upstream"
)

const (
	// Descriptors kept for the listener, discovery, the runtime and the log.
	socketsSpare = 24
	// A start waits for the list at most so long: what it was told may be old.
	listMost = 250 * time.Millisecond
	// New connections go on coming for a while after SIGTERM.
	lameFor = 700 * time.Millisecond
	// All is answered so long after SIGTERM, beside the longest deadline. SIGKILL
	// comes 0.7 s after that.
	quitAfter = 300 * time.Millisecond
	// A client's connection that has been idle for so long is closed while a new
	// process serves: its client is not about to use it.
	quietFor  = 300 * time.Millisecond
	sweepEach = 2 * time.Second
	// A process that was stopped may wake to SIGTERM and a new process at once. So many
	// times 10 ms it waits for that before it closes idle connections under its clients,
	// and so many once one has come.
	softLeast = 2
	softMost  = 30
	// lateEach is how often a new process looks whether the old one has given up an
	// address.
	lateEach = 100 * time.Millisecond
	// healthSum tells in answers to the health call which file is in force: its
	// SHA-256. An agent sees by it whether a reload was taken over.
	healthSum = "Config-Sum"
	// healthRecord tells how the store of record does, where there is one.
	healthRecord = "Record"
	// healthLaunch tells, where this process can hand over, which of two answers: the
	// name that whoever started it gave it, or its process id.
	healthLaunch = "Hands-Over"
)

// recorder is the store of record of a build that has one, see record.go.
type recorder interface {
	sidecar.Recorder
	Status() string
	// Lock is what a new process must have to own the store beside this one; nil: nothing.
	Lock() *os.File
	// Close writes what waits, as long as ctx allows.
	Close(ctx context.Context) error
}

// recordFlush is how long the last ends may take to be written: it fits between
// the last answer and SIGKILL.
const recordFlush = 200 * time.Millisecond

func closeRecord(r recorder) {
	ctx, cancel := context.WithTimeout(context.Background(), recordFlush)
	defer cancel()
	if err := r.Close(ctx); err != nil {
		slog.Warn("the record was not closed well", "err", err)
	}
}

// agentVersion is what this program and its agent say to each other: the health call's
// fields, the admin endpoint's metrics, the environment it is started with.
const agentVersion = 1

// versions tells what this program speaks, for the agent that is to run it beside
// another: its fields are internal/fleet/neighbour's, which this program does not link.
func versions() {
	fmt.Printf("{\"program\": \"sidecar\", \"hand_over\": %d, \"snapshot\": %d, \"record\": %d, \"agent\": %d}\n",
		handover.Version, handover.SnapshotVersion, recordVersion(), agentVersion)
}

func main() {
	if len(os.Args) > 1 && os.Args[1] == "versions" {
		versions()
		return
	}
	slog.SetDefault(limitlog.New(os.Stderr, slog.LevelInfo))
	term, hup := make(chan os.Signal, 1), make(chan os.Signal, 1)
	signal.Notify(term, syscall.SIGTERM, os.Interrupt)
	signal.Notify(hup, syscall.SIGHUP)
	c, err := load(os.Getenv)
	if err == nil {
		err = listen(c, term, hup)
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, "sidecar:", err)
		os.Exit(1)
	}
}

// rooms is the parts of a process that keep to a share of the limits, which two
// processes hold during a hand-over. Parts that are not there yet are told later.
type rooms struct {
	mu    sync.Mutex
	c     *config
	share handover.Share
	pool  *upstream.Pool
	srv   *front.Server
	host  *sidecar.Host
	lns   []*net.TCPListener

	accepting sync.WaitGroup // the loops that accept from lns
	leaving   bool
}

// full is all that one sidecar may hold by its configuration.
func full(c *config) handover.Share {
	held := c.settings.MostHeld
	if held == 0 {
		held = math.MaxInt32
	}
	return handover.Share{Sockets: c.sockets, MemoryMB: c.memoryMB, Held: held}
}

// reserved is how many descriptors of a share are kept for all but clients and servers.
func (c *config) reserved() int {
	n := socketsSpare + c.record.Sockets()
	if c.mgmt != "" {
		n += admin.MaxSockets
	}
	return n
}

// limit sets the limits of the process and returns those of its parts.
func limit(c *config, s handover.Share) (upstream.Config, front.Config) {
	runtime.GOMAXPROCS(max(1, int(math.Ceil(c.cores))))
	debug.SetMemoryLimit(int64(s.MemoryMB) << 20 * 6 / 10)
	conns := max(2, s.Sockets-c.reserved())
	return upstream.Config{
			ConnIdle:    c.settings.ConnIdle,
			DialTimeout: c.settings.DialTimeout,
			DrainGrace:  c.settings.DrainGrace,
			MostConns:   conns - conns/2,
		}, front.Config{
			MostConns: conns / 2,
			MostBody:  int64(s.MemoryMB) << 20 * 3 / 8,
		}
}

// Limit implements link.Host.
func (r *rooms) Limit(s handover.Share) {
	r.mu.Lock()
	defer r.mu.Unlock()
	less := s.Sockets < r.share.Sockets
	r.share = s
	up, in := limit(r.c, s)
	if r.pool != nil {
		r.pool.Limit(up)
		r.srv.Limit(in)
		r.host.Limit(s.Held, full(r.c).Held)
	}
	if less && r.pool != nil && !r.leaving { // else it gives up only what it does not use
		r.srv.Trim()
		r.pool.Trim()
		debug.FreeOSMemory()
	}
	slog.Info("share of the limits", "sockets", s.Sockets, "memory_mb", s.MemoryMB, "held", s.Held)
}

// now is the share in force.
func (r *rooms) now() handover.Share {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.share
}

// retune takes a new configuration. Limit makes its limits binding.
func (r *rooms) retune(c *config) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.c = c
}

// StopAccepting implements link.Host.
func (r *rooms) StopAccepting() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, ln := range r.lns {
		ln.Close()
	}
	// What was accepted is among the server's connections when this returns: what they
	// need is not given away.
	r.accepting.Wait()
}

// accept serves on listeners.
func (r *rooms) accept(lns []*net.TCPListener) {
	for _, ln := range lns {
		r.accepting.Go(func() { r.srv.Serve(ln) })
	}
}

// listens says where the process accepts.
func (r *rooms) listens(lns []*net.TCPListener) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.lns = lns
}

// ShareIDs implements link.Host.
func (r *rooms) ShareIDs(t *link.IDs) {
	r.srv.ShareIDs(t)
	if t.Counted() {
		r.host.ShareInFlight(t)
	}
}

// UnshareIDs implements link.Host.
func (r *rooms) UnshareIDs(t *link.IDs) {
	r.srv.UnshareIDs(t)
	r.host.UnshareInFlight(t)
}

func (r *rooms) leave() {
	r.mu.Lock()
	r.leaving = true
	r.mu.Unlock()
}

// uses is what the process still holds.
func (r *rooms) uses() handover.Share {
	return handover.Share{
		// Each request that may come on a client's connection needs one to a server.
		Sockets:  r.c.reserved() + 2*max(r.srv.Conns(), r.pool.Conns()),
		MemoryMB: residentMB(),
		// So with the requests held, where no tally is shared.
		Held: max(r.host.InFlight(), r.srv.Conns()),
	}
}

// residentMB is the resident memory of the process, rounded up; a GiB if it is not told.
func residentMB() int {
	data, err := os.ReadFile("/proc/self/statm")
	if err != nil {
		return 1 << 10
	}
	var size, resident int
	if _, err := fmt.Sscan(string(data), &size, &resident); err != nil {
		return 1 << 10
	}
	return resident*os.Getpagesize()>>20 + 1
}

// listen serves alone or takes over from an old process, which it finds by TMPDIR.
func listen(c *config, term, hup <-chan os.Signal) error {
	r := &rooms{c: c}
	dir := os.Getenv("TMPDIR")
	if dir == "" {
		r.Limit(full(c))
		ln, err := net.Listen("tcp", c.listen)
		if err != nil {
			return fmt.Errorf("listen: %w", err)
		}
		defer ln.Close()
		r.lns = []*net.TCPListener{ln.(*net.TCPListener)}
		return run(c, r, nil, nil, term, hup)
	}
	place := link.At(dir, c.listen)
	defer place.Close()
	began, err := link.Start(place, c.listen, full(c), c.record != nil, r)
	if err != nil {
		return err
	}
	defer began.Close()
	r.lns = began.Listeners()
	defer r.StopAccepting()
	return run(c, r, place, began, term, hup)
}

// run serves until term, and then until all that was taken is answered. place and
// began are nil where processes don't hand over.
func run(c *config, r *rooms, place *link.Place, began *link.New, term, hup <-chan os.Signal) error {
	// Requests are short-lived garbage over a small live heap: collecting less
	// often saves CPU, as far as the memory goes.
	debug.SetGCPercent(400)
	r.mu.Lock()
	up, in := limit(c, r.share)
	pool := upstream.New(up)
	watcher := &discovery.Watcher{Addr: c.discovery, Pace: c.pace}
	if c.known != nil {
		c.known.Whole = true
		watcher.Index = c.known.Index
	}
	host, err := sidecar.New(c.settings, c.seed, pool, watcher)
	if err != nil {
		r.mu.Unlock()
		return fmt.Errorf("settings: %w", err)
	}
	srv := front.New(in, host)
	host.Limit(r.share.Held, full(c).Held)
	r.pool, r.srv, r.host = pool, srv, host
	r.mu.Unlock()
	var lock *os.File
	if began != nil {
		lock = began.Record()
	}
	rec, err := openRecord(c, lock)
	if err != nil {
		return err
	}
	if rec != nil {
		host.SetRecorder(rec)
		defer closeRecord(rec)
	}
	if c.known != nil {
		host.Listed(c.known)
	}
	metricSet := metrics.New()
	metricSet.Classes(c.settings.Names())
	host.SetMeter(metricSet)
	srv.SetMeter(metricSet)
	gauges(metricSet, host, srv, pool, watcher)
	metricSet.Gauge("share", `of="sockets"`, func() float64 { return float64(r.now().Sockets) })
	metricSet.Gauge("share", `of="memory_mb"`, func() float64 { return float64(r.now().MemoryMB) })
	if c.mgmt != "" {
		adminServer := admin.New(func() bool { return host.Ready() && !srv.Draining() }, metricSet.Write)
		defer adminServer.Close()
		ln, err := net.Listen("tcp", c.mgmt)
		switch {
		case err == nil:
			go adminServer.Serve(ln)
		case errors.Is(err, syscall.EADDRINUSE) && began != nil && began.Shared():
			slog.Info("the old process has the admin address; this one listens there when that has gone", "mgmt", c.mgmt)
			gone := make(chan struct{})
			defer close(gone)
			go openLate(c.mgmt, adminServer, gone)
		default:
			return fmt.Errorf("mgmt: %w", err)
		}
	}
	srv.SetHealth(healthSum, c.sum)
	if rec != nil {
		srv.SetHealthFunc(healthRecord, rec.Status)
	}
	if place != nil {
		name := os.Getenv("MARTENDRUM_LAUNCH")
		if name == "" {
			name = strconv.Itoa(os.Getpid())
		}
		srv.SetHealthFunc(healthLaunch, func() string {
			if !place.Locked() { // on its own
				return ""
			}
			return name
		})
	}
	steer, err := startFleet(c, host, metricSet, began != nil && began.Shared())
	if err != nil {
		return err
	}
	defer steer.close()
	var alone <-chan struct{}
	var late <-chan []*net.TCPListener
	var failed <-chan error
	if began != nil {
		alone, late, failed = began.Alone(), began.Late(), began.Failed()
	}
	var old *link.Old // from when this process is alone
	defer func() {
		if old != nil {
			old.Close()
		}
	}()

	// The old process's ids are known for their life after its end.
	var forget <-chan time.Time
	var inherited *link.IDs
	inherit := func() {
		if inherited = began.IDs(); inherited != nil {
			r.ShareIDs(inherited)
		}
	}
	defer func() {
		if inherited != nil {
			r.UnshareIDs(inherited)
			inherited.Close()
		}
	}()
	if began != nil {
		inherit()
	}

	wait := time.NewTimer(listMost)
	defer wait.Stop()
	listed := make(chan struct{}, 1)
	accept := sync.OnceFunc(func() { r.accept(r.lns) })
	if began == nil || !began.Shared() {
		accept() // nobody else does: whoever comes now is better off than in the queue
	}
	ready := func() {
		wait.Stop()
		if began == nil || !warm(c, host, place, began) {
			steer.warm()
		}
		accept()
		host.SetReady(true)
		slog.Info("ready", "listen", r.lns[0].Addr())
		if began != nil {
			began.Ready()
		}
	}
	// woken takes that the old process hung, so that this one opened a socket of its own
	// beside, and has now handed over.
	woken := func(passed []*net.TCPListener) {
		r.listens(slices.Concat(passed, r.lns))
		inherit()
		slog.Info("the old process has woken and hands over")
		if host.Ready() {
			r.accept(passed)
			began.Ready()
		}
	}
	if c.asks {
		ready()
	} else {
		watcher.Listed = func(l *discovery.List) {
			host.Listed(l)
			select {
			case listed <- struct{}{}:
			default:
			}
		}
		go watcher.Follow()
		defer watcher.Close()
	}
	sweep := time.NewTicker(sweepEach)
	defer sweep.Stop()
	for {
		select {
		case <-listed:
			if !host.Ready() {
				ready()
			}
		case <-wait.C:
			if !host.Ready() {
				ready()
			}
		case now := <-sweep.C:
			pool.Sweep(now)
		case <-forget:
			r.UnshareIDs(inherited)
		case passed := <-late:
			woken(passed)
		case <-alone:
			alone = nil
			select {
			case passed := <-late: // it woke, and has ended since
				woken(passed)
			default:
			}
			r.Limit(full(c))
			if inherited != nil {
				forget = time.After(idtable.Life)
				host.UnshareInFlight(inherited) // what the old one counted has ended with it
			}
			at := c.listen // c may change under the snapshot
			old = link.NewOld(place, r.lns, handover.NewOld(at, full(c), func() []byte { return learned(at, host) }), r)
			if rec != nil && rec.Lock() != nil {
				old.PassRecord(rec.Lock())
			}
			if err := old.Publish(); err != nil {
				slog.Warn("a new process can't take over from this one", "err", err)
			}
		case err := <-failed:
			return err
		case <-hup:
			next, err := reload(os.Getenv, c)
			if err == nil {
				err = host.Retune(next.settings)
			}
			metricSet.Configured(err == nil)
			if err != nil {
				slog.Error("configuration not taken over: the one before stays", "err", err)
				continue
			}
			c = next
			metricSet.Classes(c.settings.Names())
			r.retune(next)
			switch {
			case old != nil:
				old.Retuned(full(next))
			case began == nil:
				r.Limit(full(next))
			default: // the share stays the old process's to change
				r.Limit(r.now())
			}
			srv.SetHealth(healthSum, next.sum)
			watcher.Move(next.discovery, next.pace)
			if next.asks {
				host.AskNow() // what has changed there counts as told soon, watch or no watch
			}
			slog.Info("configuration taken over", "discovery", next.discovery)
		case <-term:
			if succeeded := quit(c, r, old); place != nil && place.Locked() && !succeeded {
				if err := place.Save(learned(c.listen, host)); err != nil {
					slog.Warn("what was learned is not kept", "err", err)
				}
			}
			return nil
		}
	}
}

// openLate opens the admin endpoint once its address is free, unless gone is closed before.
func openLate(addr string, adminServer *admin.Server, gone <-chan struct{}) {
	until(gone, func() bool {
		ln, err := net.Listen("tcp", addr)
		if err == nil {
			adminServer.Serve(ln)
		}
		return err == nil
	})
}

// until tries again each lateEach until done says so, or stop is closed: for what an old
// process has to give up first.
func until(stop <-chan struct{}, done func() bool) {
	t := time.NewTicker(lateEach)
	defer t.Stop()
	for {
		select {
		case <-stop:
			return
		case <-t.C:
		}
		if done() {
			return
		}
	}
}

// gauges adds the metrics that are asked of those who hold them.
func gauges(f *metrics.Set, host *sidecar.Host, srv *front.Server, pool *upstream.Pool, watcher *discovery.Watcher) {
	f.Gauge("active", "", func() float64 { return float64(srv.Active()) })
	f.Gauge("pool_size", "", func() float64 { n, _ := host.Servers(); return float64(n) })
	f.Gauge("pool_ejected", "", func() float64 { _, n := host.Servers(); return float64(n) })
	f.Gauge("held", "", func() float64 { return float64(host.InFlight()) })
	f.Gauge("connections", `side="client"`, func() float64 { return float64(srv.Conns()) })
	f.Gauge("connections", `side="server"`, func() float64 { return float64(pool.Conns()) })
	f.Gauge("body_bytes", `of="held"`, func() float64 { n, _ := srv.BodyBytes(); return float64(n) })
	f.Gauge("body_bytes", `of="most"`, func() float64 { _, n := srv.BodyBytes(); return float64(n) })
	f.Gauge("discovery_age_seconds", "", func() float64 {
		age, ok := watcher.Age()
		if !ok {
			return math.NaN()
		}
		return age.Seconds()
	})
}

// quit serves on as long as connections may come, and until all is answered. Where a
// new process serves, no connection comes any more, and those that are open are given
// up one after the other when their clients leave them alone.
func quit(c *config, r *rooms, old *link.Old) (succeeded bool) {
	began := time.Now()
	host, srv := r.host, r.srv
	var longest time.Duration
	for _, d := range c.settings.Deadlines {
		longest = max(longest, d)
	}
	slog.Info("stopping", "held", host.InFlight())
	host.StopWithin(longest + quitAfter)
	r.leave()
	succeeded = old != nil && old.Leave()
	srv.Drain(old != nil) // softly for a moment: a process may be about to take over
	busy := func() bool { return srv.Busy() > 0 || succeeded && srv.Conns() > 0 }
	for n, closed := 0, false; ; n++ {
		took := time.Since(began)
		if !succeeded && took < lameFor {
			// stays
		} else if took >= longest+quitAfter+100*time.Millisecond || !busy() && (succeeded || closed) {
			break
		} else if !busy() {
			// Nobody may come in between the look and the end: whoever has is among the
			// connections when this returns, and is waited for.
			r.StopAccepting()
			closed = true
			continue
		}
		time.Sleep(10 * time.Millisecond)
		if old != nil && n%10 == 0 {
			succeeded = old.Needs(r.uses()) // one that came late may take over still
		}
		if old != nil && (succeeded || n < softLeast || n < softMost && old.Talking()) {
			srv.CloseIdle(quietFor)
		} else {
			srv.CloseIdle(0)
		}
	}
	slog.Info("stopped", "busy", srv.Busy(), "held", host.InFlight(), "after", time.Since(began))
	return succeeded
}

// learned is what this process knows, for the next one; empty if it can't be told.
func learned(listen string, host *sidecar.Host) []byte {
	data, err := handover.Encode(handover.Snapshot{Listen: listen, Saved: time.Now().UnixNano(), Learned: host.Learned()})
	if err != nil {
		slog.Warn("what was learned can't be told", "err", err)
		return nil
	}
	return data
}

// warm takes over what the process before this one had learned, told by itself or left
// in the place, and says whether it did. Nothing depends on it: what is of no use is left aside.
func warm(c *config, host *sidecar.Host, place *link.Place, began *link.New) (did bool) {
	data, from := began.Snapshot(), "the old process"
	if len(data) == 0 && place.Locked() {
		var err error
		if data, err = place.Saved(); err != nil {
			slog.Warn("cold start", "err", err)
			return false
		}
		from = "a process that has ended"
	}
	if len(data) == 0 {
		return false
	}
	l, age, err := handover.Decode(data, c.listen, time.Now())
	if err != nil {
		slog.Warn("cold start", "err", err)
		return false
	}
	host.Learn(l, age)
	slog.Info("warm start", "from", from, "age", age, "servers", len(l.Servers))
	return true
}
