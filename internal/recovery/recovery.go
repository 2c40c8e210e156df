// Package recovery decides how one sidecar restarts: alone, or together with all
// others after a power loss. It has no I/O, clock or goroutine.
//
// A Machine takes other sidecars' reports on themselves, the number of requests that
// arrived and the capacity of the servers. It says which phase this sidecar is in and which
// bounds its Balancer must keep to. It promises:
//
//   - No request is delayed, and none is rejected while the servers have their full
//     capacity. Otherwise it sheds, lowest weight first, what exceeds their capacity.
//   - Whether the other sidecars stayed up is decided within MaxQueryTime. If it is unsure,
//     the sidecar restarts as after a power loss.
//   - Each phase has a longest time, and phases only advance within an incarnation.
//   - It relies on no other sidecar's clock, and on no single other sidecar's report.
//
// It does not know how servers warm up (Balancer.Capacity does), who the others are
// (package peers does), or what is stored on a disk (package checkpoint does).
package recovery

import (
	"cmp"
	"time"

	"martendrum"
)

// Phase is how far a sidecar's restart has come.
type Phase uint8

const (
	// Querying lasts until it is decided whether the others stayed up.
	Querying Phase = iota + 1
	// Returning is a restart together with the fleet, or one where that is unsure.
	Returning
	// Serving is the end of the restart.
	Serving
)

// String implements fmt.Stringer with the names that are logged and exported.
func (p Phase) String() string {
	if p < Querying || p > Serving {
		return "unknown"
	}
	return [...]string{"asking", "returning", "serving"}[p-1]
}

// Verdict is the conclusion from the others' reports.
type Verdict uint8

const (
	// Undecided means that too few reports have arrived so far.
	Undecided Verdict = iota
	// Alone means that the others stayed up.
	Alone
	// Everybody means that the others restarted as this sidecar did.
	Everybody
	// Unsure means that too few reports arrived in time.
	Unsure
)

// String implements fmt.Stringer with the names that are logged and exported.
func (v Verdict) String() string {
	return [...]string{"open", "alone", "everybody", "unsure"}[v]
}

// Config is the configuration of a Machine. The zero value of a time means its default.
type Config struct {
	Size          int           // sidecars in the fleet, this one included
	MaxQueryTime  time.Duration // the longest time in Querying
	MaxReturnTime time.Duration // the longest time in Returning, from the start
	Interval      time.Duration // between two calls of Tick during the restart or while bounds are in force
	IdleInterval  time.Duration // between two calls of Tick otherwise
}

const (
	defaultQueryTime    = 300 * time.Millisecond
	defaultReturnTime   = time.Minute
	defaultInterval     = 100 * time.Millisecond
	defaultIdleInterval = 500 * time.Millisecond
	// sufficientReports decide at once if they agree. A smaller fleet needs those of all
	// others, so that one false report decides only where there is just one.
	sufficientReports = 3
	// minReturnTime is the shortest time in Returning: by then the server list has come.
	minReturnTime = time.Second
	// minUptime is the age from which on a serving sidecar cannot have been part of the
	// same power loss.
	minUptime = 5 * time.Second
	// demandWindow is the time over which arrivals are averaged. The first ones are spread
	// over all of it, because clients that waited arrive at once.
	demandWindow = 3 * time.Second
	// maxDemandFactor times the prior demand is the most that arrivals are taken to be.
	maxDemandFactor = 1.5
	// usualDemandMemory is the time over which the usual demand is averaged.
	usualDemandMemory = time.Minute
	// retryFraction is the assumed fraction of rejected clients who retry, and whose
	// retries are not counted as demand.
	retryFraction = 0.7
	// Bounds come into force when the mean slow-start factor is below
	// reducedCapacityFactor and end at fullCapacityFactor. The gap avoids flapping.
	fullCapacityFactor    = 0.98
	reducedCapacityFactor = 0.9
	// maxReports bounds the reports in memory; more would not change a verdict.
	maxReports = 64
)

// Report is what another sidecar says of itself.
type Report struct {
	Phase Phase
	Age   time.Duration // time since its start
}

// stayedUp reports whether the sidecar was up before this one's restart.
func (r Report) stayedUp() bool { return r.Phase >= Serving && r.Age >= minUptime }

// Orders is what a Machine decides.
type Orders struct {
	Phase   Phase
	Verdict Verdict
	Bounds  martendrum.Bounds
}

// Machine is one sidecar's restart. Its methods take the time since any fixed moment. It is
// not safe for concurrent use.
type Machine struct {
	config Config
	began  time.Duration
	due    time.Duration

	reports map[int]Report // by rank
	phase   Phase
	verdict Verdict

	constrained      bool    // the servers bear less than the usual load
	slowStartFactor  float64 // mean of the servers, 0 to 1
	capacityFraction float64 // of the usual load that the servers bear, 0 to 1

	arrivals         uint64          // in all
	measuredArrivals uint64          // of these, at the last Tick
	samples          []arrivalSample // of the last demandWindow

	priorDemand float64       // usual demand before this start, in requests a second; 0: unknown
	priorWeight float64       // weight of priorDemand, 0 to 1
	usualDemand float64       // usual demand since this start; 0: unknown
	learnedAt   time.Duration // when usualDemand was last updated
}

// arrivalSample is the estimated number of requests, retries left out, since the sample
// before.
type arrivalSample struct {
	at            time.Duration
	firstArrivals float64
}

// New returns the Machine of a sidecar that starts at now.
func New(cfg Config, now time.Duration) *Machine {
	cfg.MaxQueryTime = cmp.Or(cfg.MaxQueryTime, defaultQueryTime)
	cfg.MaxReturnTime = cmp.Or(cfg.MaxReturnTime, defaultReturnTime)
	cfg.Interval = cmp.Or(cfg.Interval, defaultInterval)
	cfg.IdleInterval = cmp.Or(cfg.IdleInterval, defaultIdleInterval)
	m := &Machine{
		config:           cfg,
		began:            now,
		due:              now,
		reports:          make(map[int]Report),
		phase:            Querying,
		slowStartFactor:  1,
		capacityFraction: 1,
	}
	if cfg.Size < 2 { // nobody to query
		m.verdict = Unsure
		m.phase = Returning
	}
	return m
}

// Due is when Tick is to be called next.
func (m *Machine) Due() time.Duration { return m.due }

// ReceiveReport takes what the sidecar of the rank says of itself. Reports on third parties
// must not be given.
func (m *Machine) ReceiveReport(rank int, report Report) {
	if m.phase == Serving || len(m.reports) >= maxReports && m.reports[rank].Phase == 0 {
		return
	}
	m.reports[rank] = report
}

// SetArrivals takes the number of requests that have arrived in all.
func (m *Machine) SetArrivals(total uint64) { m.arrivals = total }

// SetUsualDemand takes the usual demand before this start, in requests a second, and the
// weight, from 0 to 1, that it still has.
func (m *Machine) SetUsualDemand(perSecond, weight float64) {
	m.priorDemand = perSecond
	m.priorWeight = weight
}

// UsualDemand is the usual demand in requests a second, 0 until it is known.
func (m *Machine) UsualDemand() float64 { return m.usualDemand }

// SetCapacity takes the servers' mean slow-start factor and the fraction of the usual load
// that they bear, as Balancer.Capacity returns them.
func (m *Machine) SetCapacity(slowStartFactor, bearable float64) {
	m.slowStartFactor = max(0, min(slowStartFactor, 1))
	m.capacityFraction = max(0, min(bearable, 1))
}

// Tick decides.
func (m *Machine) Tick(now time.Duration) Orders {
	m.decideVerdict(now)
	m.recordArrivals(now)
	m.learnUsualDemand(now)
	switch {
	case m.slowStartFactor < reducedCapacityFactor:
		m.constrained = true
	case m.slowStartFactor >= fullCapacityFactor:
		m.constrained = false
	}
	if m.phase == Querying && m.verdict != Undecided {
		m.phase = Returning
	}
	if m.phase == Returning && m.mayServe(now) {
		m.phase = Serving
		m.reports = nil
	}
	interval := m.config.Interval
	if m.phase == Serving && !m.constrained {
		interval = m.config.IdleInterval
	}
	m.due = now + interval
	return m.orders()
}

// mayServe reports whether Returning ends.
func (m *Machine) mayServe(now time.Duration) bool {
	age := now - m.began
	switch {
	case m.verdict == Alone, age >= m.config.MaxReturnTime:
		return true
	}
	return m.verdict != Undecided && !m.constrained && age >= minReturnTime
}

// orders returns the present phase, verdict and bounds.
func (m *Machine) orders() Orders {
	orders := Orders{Phase: m.phase, Verdict: m.verdict}
	if m.constrained {
		orders.Bounds.MinShedFraction = m.shedFraction()
		orders.Bounds.NominalRate = m.estimateDemand()
	}
	orders.Bounds.SuspendOptionalWork = m.constrained || m.phase == Returning
	return orders
}

// decideVerdict decides as soon as sufficient reports agree, or when MaxQueryTime is over.
// An unsure verdict is decided later if sufficient reports arrive.
func (m *Machine) decideVerdict(now time.Duration) {
	if m.verdict == Alone || m.verdict == Everybody || m.phase == Serving || m.config.Size < 2 {
		return
	}
	up, restarted := 0, 0
	for _, report := range m.reports {
		if report.stayedUp() {
			up++
		} else {
			restarted++
		}
	}
	sufficient := min(sufficientReports, m.config.Size-1)
	timeIsOver := now-m.began >= m.config.MaxQueryTime
	switch {
	case up+restarted >= sufficient && (up == 0 || restarted == 0 || timeIsOver):
		m.verdict = Everybody // on a tie too: it is the careful verdict
		if up > restarted {
			m.verdict = Alone
		}
	case timeIsOver:
		m.verdict = Unsure
	}
}

// recordArrivals samples the requests that have arrived since the last call. Of the clients
// that were shed, retryFraction is assumed to have come back.
func (m *Machine) recordArrivals(now time.Duration) {
	arrived := float64(m.arrivals - m.measuredArrivals)
	m.samples = append(m.samples, arrivalSample{now, arrived * (1 - retryFraction*m.shedFraction())})
	m.measuredArrivals = m.arrivals
	for len(m.samples) > 1 && now-m.samples[0].at > demandWindow {
		m.samples = m.samples[1:]
	}
}

// shedFraction is the fraction of the load that the servers do not bear.
func (m *Machine) shedFraction() float64 {
	if !m.constrained {
		return 0
	}
	return 1 - m.capacityFraction
}

// estimateDemand estimates the requests a second, retries left out. The prior demand bounds
// the estimate by its weight.
func (m *Machine) estimateDemand() float64 {
	sum := 0.0
	for _, sample := range m.samples {
		sum += sample.firstArrivals
	}
	present := sum / demandWindow.Seconds()
	if m.priorDemand > 0 {
		return m.priorWeight*min(present, maxDemandFactor*m.priorDemand) + (1-m.priorWeight)*present
	}
	return present
}

// learnUsualDemand updates the usual demand in normal operation.
func (m *Machine) learnUsualDemand(now time.Duration) {
	if m.phase != Serving || m.constrained || now-m.began < demandWindow {
		return
	}
	demand := m.estimateDemand()
	m.usualDemand = cmp.Or(m.usualDemand, demand) // starts at the first estimate
	m.usualDemand += (demand - m.usualDemand) * min(1, (now-m.learnedAt).Seconds()/usualDemandMemory.Seconds())
	m.learnedAt = now
}
