package main

import (
	"errors"
	"fmt"
	"log/slog"
	"math"
	"strings"
	"sync"
	"syscall"
	"time"

	"martendrum"
	"martendrum/internal/checkpoint"
	"martendrum/internal/metrics"
	"martendrum/internal/peers"
	"martendrum/internal/peers/link"
	"martendrum/internal/recovery"
	"martendrum/internal/settings"
	"martendrum/internal/sidecar"
)

// fleetConfig is what a sidecar does together with the others of its tier, by the words
// of MARTENDRUM_FLEET. The zero value is nothing.
type fleetConfig struct {
	comeBack bool         // careful after a start while servers are cold
	share    *link.Config // nil: it neither tells nor hears
	keep     string       // the checkpoint's file; empty: none
}

// The words of MARTENDRUM_FLEET.
const (
	wordReturn = "return"
	wordPeers  = "peers"
)

// FleetError says what of MARTENDRUM_FLEET can't be.
type FleetError struct{ What, Do string }

// Error implements error.
func (e *FleetError) Error() string { return "MARTENDRUM_FLEET: " + e.What }

// Advice says what an operator can do.
func (e *FleetError) Advice() string { return e.Do }

func loadFleet(words string, s *settings.Settings, listen string, addrs []string) (c fleetConfig, err error) {
	for _, w := range strings.FieldsFunc(words, func(r rune) bool { return r == ',' || r == ' ' }) {
		switch w {
		case wordReturn:
			c.comeBack = true
		case wordPeers:
			if !s.Peers || listen == "" || len(addrs) == 0 {
				return c, &FleetError{"peers: the configuration has no peers to tell anything", "give peers, peer_listen and settings.caps.peers, or leave the word out"}
			}
			c.share = &link.Config{Listen: listen, Peers: addrs, Node: peers.Config{Fleet: s.Fleet, Self: peers.Rank(s.Rank)}}
			if s.Rank < 0 || s.Rank >= len(addrs) {
				return c, &FleetError{fmt.Sprintf("peers: settings.rank is %d of %d peers", s.Rank, len(addrs)), "number the sidecars of the tier from 0 in settings.rank, in the order of peers"}
			}
		default:
			return c, &FleetError{fmt.Sprintf("unknown word %q", w), fmt.Sprintf("use %s, %s or both, with a comma between", wordReturn, wordPeers)}
		}
	}
	return c, nil
}

// fleet is the part of a sidecar that acts together with others: it brings what they tell
// and what the host knows to the machines that decide, and carries out what these want.
type fleet struct {
	host  *sidecar.Host
	stop  chan struct{}
	wg    sync.WaitGroup
	begun time.Time

	mu      sync.Mutex
	link    *link.Link        // nil: off, or its address is an old process's still
	machine *recovery.Machine // nil: off; the loop's
	orders  recovery.Orders

	keep, name string // the checkpoint's file and whose it is
	before     *checkpoint.Checkpoint
	age        time.Duration // of before
	savedAt    time.Time
}

// startFleet starts what the configuration asks for. beside says that an old process
// serves beside this one, which may have the address for datagrams still.
func startFleet(c *config, host *sidecar.Host, metricSet *metrics.Set, beside bool) (*fleet, error) {
	f := &fleet{host: host, stop: make(chan struct{}), begun: time.Now(), keep: c.fleet.keep, name: c.listen}
	f.savedAt = f.begun
	size := 1
	if f.keep != "" {
		f.recall()
	}
	if share := c.fleet.share; share != nil {
		share.Seed = c.seed
		if f.before != nil { // whatever the clock says
			share.Node.Life = max(f.before.Life+1, uint64(max(1, f.begun.UnixMilli())))
		}
		size = len(share.Peers)
		l, err := link.Open(*share)
		switch {
		case err == nil:
			f.link = l
		case beside && errors.Is(err, syscall.EADDRINUSE):
			f.wg.Go(func() { f.bind(*share) })
		default:
			return nil, err
		}
		f.gauges(metricSet)
	}
	if c.fleet.comeBack {
		f.machine = recovery.New(recovery.Config{Size: size}, 0)
		if f.before != nil {
			_, weight := recovery.Kept(f.before.Learned, f.age, recovery.Open)
			f.machine.Usual(f.before.Demand, weight)
		}
		metricSet.Gauge("phase", "", func() float64 { return float64(f.now().Phase) })
		metricSet.Gauge("bound_shed", "", func() float64 { return f.now().Bounds.Shed })
		f.wg.Go(f.steer)
	}
	return f, nil
}

// recall reads the checkpoint of the life before this one.
func (f *fleet) recall() {
	var err error
	f.before, f.age, err = checkpoint.Load(f.keep, f.name, f.begun)
	if bad, ok := errors.AsType[*checkpoint.NotTrustedError](err); ok {
		slog.Warn("checkpoint not trusted", "err", err, "advice", bad.Advice())
		if bad.Why == checkpoint.Foreign {
			f.keep = "" // it is not this one's to write
		}
	}
}

// warm has the host learn what of the checkpoint still holds. It is called when the list
// has come, before the first request.
func (f *fleet) warm() {
	if f.before == nil {
		return
	}
	l, weight := recovery.Kept(f.before.Learned, f.age, f.now().Verdict)
	f.host.Learn(l, f.age)
	slog.Info("checkpoint taken as a hint", "age", f.age, "times", len(l.Primary), "servers", len(l.Servers), "demand", f.before.Demand, "weight", weight)
}

// saveEach is how often the checkpoint is written.
const saveEach = 10 * time.Second

// save writes the checkpoint while the sidecar serves as usual, if it is time or last says
// that the life ends.
func (f *fleet) save(now time.Time, last bool) {
	if f.keep == "" || f.machine == nil || f.now().Phase != recovery.Serving || !last && now.Sub(f.savedAt) < saveEach {
		return
	}
	f.savedAt = now
	c := checkpoint.Checkpoint{Name: f.name, Saved: now.UnixMilli(), Demand: f.machine.Demand(), Learned: f.host.Learned()}
	f.tell(func(_ time.Duration, n *peers.Node) { c.Life = n.Life() })
	if err := checkpoint.Save(f.keep, c); err != nil {
		slog.Warn("the checkpoint is not kept", "err", err, "advice", "look at the disk; the sidecar serves on")
	}
}

// bind waits until the old process has given up the address for datagrams.
func (f *fleet) bind(share link.Config) {
	retryUntil(f.stop, func() bool {
		l, err := link.Open(share)
		if errors.Is(err, syscall.EADDRINUSE) {
			return false
		}
		if err != nil {
			slog.Warn("nothing is told to other sidecars, nor heard", "err", err)
			return true
		}
		f.mu.Lock()
		defer f.mu.Unlock()
		f.link = l
		return true
	})
}

// peers is the link, nil if there is none.
func (f *fleet) peers() *link.Link {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.link
}

// tell lets do use the peers.Node, if there is one.
func (f *fleet) tell(do func(now time.Duration, n *peers.Node)) {
	if l := f.peers(); l != nil {
		l.Do(do)
	}
}

// now is what was decided last.
func (f *fleet) now() recovery.Orders {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.orders
}

// steer looks at the fleet whenever the machine wants it.
func (f *fleet) steer() {
	t := time.NewTimer(0)
	defer t.Stop()
	for {
		select {
		case <-f.stop:
			return
		case <-t.C:
		}
		f.look()
		f.save(time.Now(), false)
		t.Reset(max(f.machine.Due()-time.Since(f.begun), time.Millisecond))
	}
}

// look brings the machine what is known, and carries out what it decides.
func (f *fleet) look() {
	before := f.now()
	if before.Phase != recovery.Serving {
		f.tell(func(now time.Duration, n *peers.Node) {
			for m := range n.Speaking(now) {
				f.machine.Hear(int(m.Rank), recovery.Word{Phase: recovery.Phase(m.Phase), Age: m.Age})
			}
		})
	}
	var o recovery.Orders
	f.host.Steer(func(now time.Duration, arrivals uint64, b *martendrum.Balancer) {
		f.machine.Arrived(arrivals)
		f.machine.Room(b.Room(now))
		o = f.machine.Tick(time.Since(f.begun))
		b.Bound(o.Bounds)
	})
	f.mu.Lock()
	f.orders = o
	f.mu.Unlock()
	f.tell(func(now time.Duration, n *peers.Node) { n.SetPhase(now, uint8(o.Phase)) })
	if o.Phase != before.Phase {
		slog.Info("phase "+o.Phase.String(), "verdict", o.Verdict, "after", time.Since(f.begun).Round(time.Millisecond), "shed", o.Bounds.Shed)
	} else if shed := o.Bounds.Shed > 0; shed != (before.Bounds.Shed > 0) {
		slog.Info("cold servers", "bounded", shed, "shed", o.Bounds.Shed, "demand", o.Bounds.Nominal)
	}
}

// gauges adds the metrics of what is told.
func (f *fleet) gauges(metricSet *metrics.Set) {
	ask := func(read func(now time.Duration, n *peers.Node) float64) func() float64 {
		return func() float64 {
			v := math.NaN()
			f.tell(func(now time.Duration, n *peers.Node) { v = read(now, n) })
			return v
		}
	}
	count := func(name, labels string, of func(peers.Stats) uint64) {
		metricSet.Gauge(name, labels, ask(func(_ time.Duration, n *peers.Node) float64 { return float64(of(n.Stats())) }))
	}
	metricSet.Gauge("peers", `state="living"`, ask(func(now time.Duration, n *peers.Node) float64 { return float64(n.Count(now).Living) }))
	metricSet.Gauge("peers", `state="known"`, ask(func(now time.Duration, n *peers.Node) float64 { return float64(n.Count(now).Known) }))
	metricSet.Gauge("peers", `state="all"`, ask(func(now time.Duration, n *peers.Node) float64 { return float64(n.Count(now).Size) }))
	metricSet.Gauge("peer_life", "", ask(func(_ time.Duration, n *peers.Node) float64 { return float64(n.Life()) }))
	metricSet.Gauge("peer_health", "", ask(func(_ time.Duration, n *peers.Node) float64 { return float64(n.Health()) }))
	count("peer_bytes", `way="out"`, func(s peers.Stats) uint64 { return s.SentBytes })
	count("peer_bytes", `way="in"`, func(s peers.Stats) uint64 { return s.ReceivedBytes })
	count("peer_dropped", `why="damaged"`, func(s peers.Stats) uint64 { return s.Damaged })
	count("peer_dropped", `why="refused"`, func(s peers.Stats) uint64 { return s.Refused })
	count("peer_dropped", `why="ceiling"`, func(s peers.Stats) uint64 { return s.Withheld })
	metricSet.Gauge("peer_dropped", `why="stranger"`, func() float64 {
		if l := f.peers(); l != nil {
			return float64(l.Counts().Strays)
		}
		return math.NaN()
	})
}

// close ends all of it. Others are told that this sidecar leaves.
func (f *fleet) close() {
	close(f.stop)
	f.wg.Wait()
	f.save(time.Now(), true)
	if l := f.peers(); l != nil {
		l.Close()
	}
}
