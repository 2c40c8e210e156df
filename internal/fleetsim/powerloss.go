package fleetsim

import (
	"math/rand/v2"
	"time"

	"martendrum"
	"martendrum/internal/peers"
)

// PowerLoss is an experiment: the restart of all servers and sidecars after a power loss.
type PowerLoss struct {
	Sidecars, Servers int
	Zones             int           // number of zones, at most len(zoneNames)
	Queue             int           // Server.QueueLimit
	Load              float64       // ratio of the demand to the full capacity of all servers
	Spread            time.Duration // servers restart within this time, and sidecars within an equal time after that
	SlowStart         SlowStart
	UniformWork       bool    // Server.UniformWork
	Clients           Clients // clients of each sidecar
	EnableGossip      bool    // sidecars gossip
	UseRecovery       bool    // sidecars keep to the bounds of package recovery
	Network           Network
	Seed              uint64
	Workers           int           // number of goroutines of the run
	Until             time.Duration // length of the run
}

// serverWorkers is the value of Server.Workers.
const serverWorkers = 4

// zoneNames lists the names of the zones.
var zoneNames = []string{"a", "b", "c", "d", "e", "f"}

// SiteConfig returns the configuration of the model's Balancers. instances is the number of
// sidecars in the fleet. The configuration has an idempotent, a keyed and a non-idempotent
// class, in ascending order of weight. limits is how long a client waits for an answer, by
// class, including its retries.
func SiteConfig(instances int, slowStart SlowStart) (cfg martendrum.Config, limits []time.Duration) {
	cfg = martendrum.Config{
		Instances: instances,
		Classes: []martendrum.Class{
			{LatencyObjective: 800 * time.Millisecond, Weight: 1, Idempotency: martendrum.Idempotent},
			{LatencyObjective: time.Second, Weight: 3, Idempotency: martendrum.IdempotencyKeyed, DedupWindow: 1500 * time.Millisecond},
			{LatencyObjective: 750 * time.Millisecond, Weight: 10, Idempotency: martendrum.NonIdempotent},
		},
		MaxAttempts:              5,
		AllowCancellation:        true,
		AllowHedging:             true,
		MaxRetryAfter:            2 * time.Second,
		WastedWorkCost:           0.2,
		CrossZoneCost:            0.03,
		SlowStartInitialFraction: slowStart.InitialFraction,
		SlowStartDuration:        slowStart.Duration,
		OverloadFactor:           slowStart.OverloadFactor,
		OverloadDuration:         slowStart.OverloadDuration,
	}
	return cfg, []time.Duration{3 * time.Second, 2500 * time.Millisecond, 2500 * time.Millisecond}
}

// PowerLossResult describes how a fleet recovered.
type PowerLossResult struct {
	PowerLoss
	Offered, Served [][]float64 // by class, then second; sums over all sidecars (see Tally)
	Weights         []float64   // by class
	Crashes         int         // number of servers that crashed from overload in slow start
	Sends           int         // attempts sent to servers
	BytesPerSecond  float64     // sent in datagrams, mean of all sidecars
}

// powerLossRun is the state of a run of the experiment.
type powerLossRun struct {
	PowerLoss
	world   *World
	config  martendrum.Config
	limits  []time.Duration // by class
	zones   []string
	servers []*Server
	list    []martendrum.Endpoint // server list that every sidecar receives
	places  []int                 // places of the servers on list
}

// Run runs the experiment from the return of power: all servers restart within Spread, in slow
// start, and all sidecars within the next Spread, each with requests that wait (see
// Clients.Burst).
func (l PowerLoss) Run() PowerLossResult {
	run := &powerLossRun{
		PowerLoss: l,
		world:     New(l.Sidecars+l.Servers, l.Seed, l.Network, l.Workers),
		zones:     zoneNames[:max(1, l.Zones)],
	}
	run.config, run.limits = SiteConfig(l.Sidecars, l.SlowStart)
	run.startServers()
	run.startSidecars()
	run.world.Run(l.Until, nil)
	return run.result()
}

// startServers starts the servers at the places after those of the sidecars.
func (r *powerLossRun) startServers() {
	loadPerRate := r.Load / r.Clients.Rate
	serviceTime := time.Duration(serverWorkers * float64(time.Second) * loadPerRate * float64(r.Servers) / float64(r.Sidecars))
	for i := range r.Servers {
		place := r.Sidecars + i
		server := &Server{
			SlowStart:   r.SlowStart,
			Workers:     serverWorkers,
			ServiceTime: serviceTime,
			QueueLimit:  r.Queue,
			UniformWork: r.UniformWork,
		}
		rng := r.world.Rand(place)
		server.Start(time.Duration(rng.Float64()*float64(r.Spread)), rng)
		r.world.Start(place, server)
		r.servers = append(r.servers, server)
		r.list = append(r.list, martendrum.Endpoint{
			Name:         serverName(place),
			Zone:         r.zones[i%len(r.zones)],
			CapacityHint: 1,
			Started:      Epoch + server.started,
		})
		r.places = append(r.places, place)
	}
}

// startStep is the time step at which sidecars are started.
const startStep = 50 * time.Millisecond

// startSidecars starts each sidecar at a random time, and runs the world until all have started.
func (r *powerLossRun) startSidecars() {
	starts := make([]time.Duration, r.Sidecars)
	for i := range starts {
		starts[i] = r.Spread + time.Duration(r.world.Rand(i).Float64()*float64(r.Spread))
	}
	for now := r.Spread; now <= 2*r.Spread; now += startStep {
		r.world.Run(now, nil)
		for i := range starts {
			if r.world.Node(i) == nil && starts[i] <= now {
				r.startSidecar(i)
			}
		}
	}
}

// maxListDelay is the longest time from the start of a sidecar until it receives the server list.
const maxListDelay = 100 * time.Millisecond

// startSidecar starts the sidecar at place i.
func (r *powerLossRun) startSidecar(i int) {
	cfg := r.config
	cfg.Zone = r.zones[i%len(r.zones)]
	rng := r.world.Rand(i)
	var peer *peers.Node
	if r.EnableGossip {
		peer = r.newPeer(i, rng)
	}
	var controller BoundsController
	if r.UseRecovery {
		controller = NewRecovery(r.world.Now, r.Sidecars, peer)
	}
	s := NewSidecar(r.world.Now, cfg, r.limits, r.Clients, rng, peer, controller)
	s.ReceiveList(time.Duration(rng.Float64()*float64(maxListDelay)), r.list, r.places)
	r.world.Start(i, s)
}

// newPeer returns the gossip node of the sidecar at place i.
func (r *powerLossRun) newPeer(i int, rng *rand.Rand) *peers.Node {
	cfg := peers.Config{Cluster: "model", Self: peers.Rank(i), Size: r.Sidecars, Incarnation: 1}
	peer, err := peers.New(cfg, r.world.Now, rng)
	if err != nil {
		panic(err) // only if the configuration above is invalid
	}
	return peer
}

// result adds up what all nodes have counted.
func (r *powerLossRun) result() PowerLossResult {
	result := PowerLossResult{PowerLoss: r.PowerLoss}
	for _, class := range r.config.Classes {
		result.Weights = append(result.Weights, class.Weight)
	}
	bytes := uint64(0)
	for i := range r.Sidecars {
		s := r.world.Node(i).(*Sidecar)
		result.Offered = addCounts(result.Offered, s.Tally.Offered)
		result.Served = addCounts(result.Served, s.Tally.Served)
		result.Sends += s.Tally.Sends
		_, sent := r.world.Sent(i)
		bytes += sent
	}
	for _, server := range r.servers {
		result.Crashes += server.Crashes
	}
	result.BytesPerSecond = float64(bytes) / float64(r.Sidecars) / r.Until.Seconds()
	return result
}

// addCounts adds counts by class and second to sum and returns it, extended where needed.
func addCounts(sum, counts [][]float64) [][]float64 {
	for class := range counts {
		for len(sum) <= class {
			sum = append(sum, nil)
		}
		for second, n := range counts[class] {
			for len(sum[class]) <= second {
				sum[class] = append(sum[class], 0)
			}
			sum[class][second] += n
		}
	}
	return sum
}

// countAt returns the count of a class and second, 0 if there is none.
func countAt(counts [][]float64, class, second int) float64 {
	if class >= len(counts) || second >= len(counts[class]) {
		return 0
	}
	return counts[class][second]
}

// AllClasses stands for all classes in the methods of PowerLossResult.
const AllClasses = -1

// ServedFraction considers the requests of a class (or AllClasses) that were first sent in the
// given number of seconds from firstSecond on. It returns the fraction of them, by weight, that
// was served in time, 0 if there were none.
func (r PowerLossResult) ServedFraction(class, firstSecond, seconds int) float64 {
	offered, served := 0.0, 0.0
	for second := firstSecond; second < firstSecond+seconds; second++ {
		for c, weight := range r.Weights {
			if class < 0 || c == class {
				offered += weight * countAt(r.Offered, c, second)
				served += weight * countAt(r.Served, c, second)
			}
		}
	}
	if offered == 0 {
		return 0
	}
	return served / offered
}

const (
	// recoveryWindow is the number of seconds whose served fraction decides whether a fleet has
	// recovered.
	recoveryWindow = 3
	// secondsBeforeEnd is the number of seconds at the end of a run in which no window begins,
	// because requests from the last seconds may still be open.
	secondsBeforeEnd = 5
)

// RecoveredAt returns the first second that begins a window of recoveryWindow seconds with a
// served fraction of at least minFraction; -1 if there is none.
func (r PowerLossResult) RecoveredAt(class int, minFraction float64) int {
	for second := 0; time.Duration(second+secondsBeforeEnd)*time.Second < r.Until; second++ {
		if r.ServedFraction(class, second, recoveryWindow) >= minFraction {
			return second
		}
	}
	return -1
}
