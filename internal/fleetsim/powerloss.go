package fleetsim

import (
	"time"

	"martendrum"
	"martendrum/internal/peers"
)

// PowerLoss is a power loss and what comes back from it.
type PowerLoss struct {
	Sidecars, Servers int
	Zones             int
	Queue             int           // of a server
	Load              float64       // demand by what all warm servers can carry
	Spread            time.Duration // over which sidecars come back, and servers
	SlowStart         SlowStart
	UniformWork       bool    // each request is the same work
	Clients           Clients // Rate: of each sidecar
	ShareReports      bool    // sidecars tell each other
	UseRecovery       bool    // they come back as package recovery says
	Network           Network
	Seed              uint64
	Workers           int
	Until             time.Duration
}

// SiteConfig is what the model's fleet serves: a class that is safe, a keyed and an unsafe one,
// by worth.
func SiteConfig(instances int, ramp SlowStart) (martendrum.Config, []time.Duration) {
	return martendrum.Config{
		Instances: instances,
		Classes: []martendrum.Class{
			{LatencyObjective: 800 * time.Millisecond, Weight: 1, Idempotency: martendrum.Idempotent},
			{LatencyObjective: time.Second, Weight: 3, Idempotency: martendrum.IdempotencyKeyed, DedupWindow: 1500 * time.Millisecond},
			{LatencyObjective: 750 * time.Millisecond, Weight: 10, Idempotency: martendrum.NonIdempotent},
		},
		MaxAttempts: 5, AllowCancellation: true, AllowHedging: true, MaxRetryAfter: 2 * time.Second, WastedWorkCost: 0.2, CrossZoneCost: 0.03,
		SlowStartInitialFraction: ramp.InitialFraction, SlowStartDuration: ramp.Duration, OverloadFactor: ramp.OverloadFactor, OverloadDuration: ramp.OverloadDuration,
	}, []time.Duration{3 * time.Second, 2500 * time.Millisecond, 2500 * time.Millisecond}
}

// PowerLossResult is how a fleet came back.
type PowerLossResult struct {
	PowerLoss
	Offered, Served [][]float64 // by class, then second, over all sidecars
	Weights         []float64   // of the classes
	Crashes         int         // cold servers that fell
	Sends           int
	BytesPerSecond  float64 // of datagrams, for each sidecar and second
}

// Run plays it from the moment at which the power is back: servers and sidecars come up
// within Spread, all servers cold, all clients at once.
func (l PowerLoss) Run() PowerLossResult {
	w := New(l.Sidecars+l.Servers, l.Seed, l.Network, l.Workers)
	cfg, limits := SiteConfig(l.Sidecars, l.SlowStart)
	each := l.Load / l.Clients.Rate // servers' capacity for each sidecar
	work := time.Duration(4 * float64(time.Second) * each * float64(l.Servers) / float64(l.Sidecars))
	var list []martendrum.Endpoint
	var places []int
	servers := make([]*Server, l.Servers)
	zones := []string{"a", "b", "c", "d", "e", "f"}[:max(1, l.Zones)]
	up := make([]time.Duration, l.Sidecars)
	for i := range servers {
		at := l.Sidecars + i
		s := &Server{SlowStart: l.SlowStart, Workers: 4, ServiceTime: work, QueueLimit: l.Queue, UniformWork: l.UniformWork}
		rng := w.Rand(at)
		s.Start(time.Duration(rng.Float64()*float64(l.Spread)), rng)
		servers[i] = s
		w.Start(at, s)
		list = append(list, martendrum.Endpoint{Name: serverName(at), Zone: zones[i%len(zones)], CapacityHint: 1, Started: Epoch + s.started})
		places = append(places, at)
	}
	for i := range up {
		up[i] = l.Spread + time.Duration(w.Rand(i).Float64()*float64(l.Spread))
	}
	// All have come back by the time that servers have; the list tells of them.
	for step := l.Spread; step <= 2*l.Spread; step += 50 * time.Millisecond {
		w.Run(step, nil)
		for i := range up {
			if w.Node(i) == nil && up[i] <= step {
				l.startSidecar(w, i, cfg, limits, list, places, zones)
			}
		}
	}
	w.Run(l.Until, nil)
	r := PowerLossResult{PowerLoss: l}
	for _, c := range cfg.Classes {
		r.Weights = append(r.Weights, c.Weight)
	}
	bytes := uint64(0)
	for i := range l.Sidecars {
		s := w.Node(i).(*Sidecar)
		r.Offered, r.Served = addSeries(r.Offered, s.Tally.Offered), addSeries(r.Served, s.Tally.Served)
		r.Sends += s.Tally.Sends
		_, b := w.Sent(i)
		bytes += b
	}
	for _, s := range servers {
		r.Crashes += s.Crashes
	}
	r.BytesPerSecond = float64(bytes) / float64(l.Sidecars) / l.Until.Seconds()
	return r
}

func (l PowerLoss) startSidecar(w *World, i int, cfg martendrum.Config, limits []time.Duration, list []martendrum.Endpoint, places []int, zones []string) {
	cfg.Zone = zones[i%len(zones)]
	rng := w.Rand(i)
	var peer *peers.Node
	if l.ShareReports {
		var err error
		peer, err = peers.New(peers.Config{Cluster: "model", Self: peers.Rank(i), Size: l.Sidecars, Incarnation: 1}, w.Now, rng)
		if err != nil {
			panic(err) // of this package's own making
		}
	}
	var guide Guide
	if l.UseRecovery {
		guide = NewRecovery(w.Now, l.Sidecars, peer)
	}
	s := NewSidecar(w.Now, cfg, limits, l.Clients, rng, peer, guide)
	s.ReceiveList(time.Duration(rng.Float64()*float64(100*time.Millisecond)), list, places)
	w.Start(i, s)
}

func addSeries(a, b [][]float64) [][]float64 {
	for c := range b {
		for len(a) <= c {
			a = append(a, nil)
		}
		for s, v := range b[c] {
			for len(a[c]) <= s {
				a[c] = append(a[c], 0)
			}
			a[c][s] += v
		}
	}
	return a
}

func valueAt(list [][]float64, class, second int) float64 {
	if class >= len(list) || second >= len(list[class]) {
		return 0
	}
	return list[class][second]
}

// ServedFraction is the share of the worth offered from second on, for so many seconds, that was
// served in time; of one class, or of all for -1.
func (r PowerLossResult) ServedFraction(class, second, seconds int) float64 {
	offered, served := 0.0, 0.0
	for s := second; s < second+seconds; s++ {
		for c, worth := range r.Weights {
			if class < 0 || c == class {
				offered += worth * valueAt(r.Offered, c, s)
				served += worth * valueAt(r.Served, c, s)
			}
		}
	}
	if offered == 0 {
		return 0
	}
	return served / offered
}

// RecoveredAt is the first second from which on, for three seconds, the share of worth served is
// at least least; -1 if there is none.
func (r PowerLossResult) RecoveredAt(class int, least float64) int {
	for s := 0; time.Duration(s+5)*time.Second < r.Until; s++ {
		if r.ServedFraction(class, s, 3) >= least {
			return s
		}
	}
	return -1
}
