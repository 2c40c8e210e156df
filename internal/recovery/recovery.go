// Package recovery decides how one sidecar restarts: while the other sidecars of its fleet stayed
// up, or together with them after a power loss. It has no I/O, clock or goroutine.
//
// The inputs of a Machine are the reports of other sidecars on themselves, the number of requests
// that have arrived, and the capacity of the servers. It returns the phase that this sidecar is in
// and the bounds that its Balancer must keep to. It guarantees:
//
//   - No request is delayed, and none is shed while the servers have their full capacity. While their
//     capacity is reduced, the load that exceeds it is shed, lowest weight first.
//   - Whether the other sidecars stayed up is decided within MaxQueryTime. If too few of them report
//     by then, the sidecar restarts as after a power loss.
//   - Each phase has a maximum duration, and phases only advance within an incarnation.
//   - No decision depends on another sidecar's clock or, in a fleet of more than two, on the report
//     of a single other sidecar.
//
// The package does not know how servers warm up (Balancer.WorkingSetCapacity does), who the other
// sidecars are (package peers does), or what is stored on disk (package checkpoint does).
package recovery

import (
	"cmp"
	"time"

	"martendrum"
)

// Phase is a phase of a sidecar's restart.
type Phase uint8

const (
	// Querying lasts until the verdict on whether the other sidecars stayed up.
	Querying Phase = iota + 1
	// Returning is the phase after the verdict. It ends at once if the other sidecars stayed
	// up, otherwise when the servers have their full capacity or MaxReturnTime is over.
	Returning
	// Serving is normal operation after the restart.
	Serving
)

// String implements fmt.Stringer. It returns the names that are logged and exported.
func (p Phase) String() string {
	if p < Querying || p > Serving {
		return "unknown"
	}
	return [...]string{"asking", "returning", "serving"}[p-1]
}

// Verdict is the conclusion from the reports of the other sidecars.
type Verdict uint8

const (
	// Undecided means that too few reports have arrived so far, or that they disagree.
	Undecided Verdict = iota
	// OthersStayedUp means that only this sidecar restarted.
	OthersStayedUp
	// FleetRestarted means that the other sidecars restarted together with this one.
	FleetRestarted
	// Unsure means that too few reports arrived within MaxQueryTime.
	Unsure
)

// String implements fmt.Stringer. It returns the names that are logged and exported.
func (v Verdict) String() string {
	return [...]string{"open", "alone", "everybody", "unsure"}[v]
}

// Config is the configuration of a Machine. A duration of zero means its default.
type Config struct {
	Size          int           // number of sidecars in the fleet, including this one
	MaxQueryTime  time.Duration // maximum time in Querying
	MaxReturnTime time.Duration // maximum time from the start to the end of Returning
	Interval      time.Duration // between calls of Tick during the restart or while the servers have reduced capacity
	IdleInterval  time.Duration // between calls of Tick otherwise
}

const (
	defaultQueryTime    = 300 * time.Millisecond
	defaultReturnTime   = time.Minute
	defaultInterval     = 100 * time.Millisecond
	defaultIdleInterval = 500 * time.Millisecond
	// sufficientReports is the number of reports that decide at once if they agree. A smaller
	// fleet needs the reports of all others, so a single false report decides only if there is
	// just one other sidecar.
	sufficientReports = 3
	// minReturnTime is the minimum time from the start to the end of Returning, unless the other
	// sidecars stayed up. By then the server list has arrived.
	minReturnTime = time.Second
	// minUptime is the age from which a serving sidecar can't have restarted in the same power
	// loss.
	minUptime = 5 * time.Second
	// demandWindow is the time over which arrivals are averaged. Shortly after the start too,
	// they are divided by the whole window, because clients that waited arrive at once.
	demandWindow = 3 * time.Second
	// maxDemandFactor times the prior demand is the maximum of the part of the estimate that has
	// the weight of the prior demand, see estimateDemand.
	maxDemandFactor = 1.5
	// usualDemandMemory is the time constant of the average of the usual demand.
	usualDemandMemory = time.Minute
	// retryFraction is the assumed fraction of rejected clients that retry. Their retries are
	// not counted as demand.
	retryFraction = 0.7
	// The servers count as having reduced capacity from a mean slow-start factor below
	// reducedCapacityFactor until it reaches fullCapacityFactor. The gap avoids flapping.
	fullCapacityFactor    = 0.98
	reducedCapacityFactor = 0.9
	// maxReports is the maximum number of reports in memory; more would not change a verdict.
	maxReports = 64
)

// Report is the report of another sidecar on itself.
type Report struct {
	Phase Phase
	Age   time.Duration // time since its start
}

// stayedUp reports whether the sidecar was up before this one's restart.
func (r Report) stayedUp() bool { return r.Phase >= Serving && r.Age >= minUptime }

// Decision is the result of a Tick: the phase of the restart, the verdict, and the bounds for the
// Balancer.
type Decision struct {
	Phase   Phase
	Verdict Verdict
	Bounds  martendrum.Bounds
}

// Machine is the state machine of one sidecar's restart. Its methods take the current time as a
// duration since a fixed, arbitrary time. It is not safe for concurrent use.
type Machine struct {
	config Config
	began  time.Duration // when the sidecar started
	due    time.Duration // when Tick is to be called next

	reports map[int]Report // by rank
	phase   Phase
	verdict Verdict

	constrained      bool    // the servers have reduced capacity
	slowStartFactor  float64 // mean of the servers, from 0 to 1
	capacityFraction float64 // fraction of the usual load that the servers can serve, from 0 to 1

	arrivals         uint64          // total number of requests that have arrived
	measuredArrivals uint64          // value of arrivals at the last Tick
	samples          []arrivalSample // of the last demandWindow

	priorDemand float64       // usual demand before this start, in requests per second; 0: unknown
	priorWeight float64       // weight of priorDemand, 0 to 1
	usualDemand float64       // usual demand since this start, in requests per second; 0: unknown
	learnedAt   time.Duration // when usualDemand was last updated
}

// arrivalSample is the estimated number of requests since the previous sample, not counting
// retries.
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
	if cfg.Size < 2 { // there is no other sidecar to query
		m.verdict = Unsure
		m.phase = Returning
	}
	return m
}

// Due returns the time at which Tick is to be called next.
func (m *Machine) Due() time.Duration { return m.due }

// ReceiveReport handles the report of the sidecar with the given rank on itself. The caller must
// pass only reports that it received from that sidecar, not forwarded ones.
func (m *Machine) ReceiveReport(rank int, report Report) {
	if m.phase == Serving || len(m.reports) >= maxReports && m.reports[rank].Phase == 0 {
		return
	}
	m.reports[rank] = report
}

// SetArrivals sets the total number of requests that have arrived.
func (m *Machine) SetArrivals(total uint64) { m.arrivals = total }

// SetUsualDemand sets the usual demand before this start, in requests per second, and its weight,
// from 0 to 1.
func (m *Machine) SetUsualDemand(perSecond, weight float64) {
	m.priorDemand = perSecond
	m.priorWeight = weight
}

// UsualDemand returns the usual demand since this start in requests per second, 0 until it is known.
func (m *Machine) UsualDemand() float64 { return m.usualDemand }

// SetCapacity sets the servers' mean slow-start factor and the fraction of the usual load that they
// can serve, as Balancer.WorkingSetCapacity returns them.
func (m *Machine) SetCapacity(slowStartFactor, capacityFraction float64) {
	m.slowStartFactor = max(0, min(slowStartFactor, 1))
	m.capacityFraction = max(0, min(capacityFraction, 1))
}

// Tick updates the verdict, the phase and the bounds. It must be called when Due has come.
func (m *Machine) Tick(now time.Duration) Decision {
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
	return m.currentDecision()
}

// mayServe reports whether Returning may end.
func (m *Machine) mayServe(now time.Duration) bool {
	age := now - m.began
	switch {
	case m.verdict == OthersStayedUp, age >= m.config.MaxReturnTime:
		return true
	}
	return m.verdict != Undecided && !m.constrained && age >= minReturnTime
}

// currentDecision returns the current phase, verdict and bounds.
func (m *Machine) currentDecision() Decision {
	decision := Decision{Phase: m.phase, Verdict: m.verdict}
	if m.constrained {
		decision.Bounds.MinShedFraction = m.shedFraction()
		decision.Bounds.NominalRate = m.estimateDemand()
	}
	decision.Bounds.SuspendOptionalWork = m.constrained || m.phase == Returning
	return decision
}

// decideVerdict decides the verdict as soon as sufficient reports agree, or when MaxQueryTime is
// over. The verdict Unsure is replaced if sufficient reports arrive later.
func (m *Machine) decideVerdict(now time.Duration) {
	if m.verdict == OthersStayedUp || m.verdict == FleetRestarted || m.phase == Serving || m.config.Size < 2 {
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
	timedOut := now-m.began >= m.config.MaxQueryTime
	switch {
	case up+restarted >= sufficient && (up == 0 || restarted == 0 || timedOut):
		m.verdict = FleetRestarted // on a tie too: it is the more cautious verdict
		if up > restarted {
			m.verdict = OthersStayedUp
		}
	case timedOut:
		m.verdict = Unsure
	}
}

// recordArrivals adds a sample of the requests that have arrived since the last call. It assumes that
// a fraction retryFraction of the rejected clients has retried.
func (m *Machine) recordArrivals(now time.Duration) {
	arrived := float64(m.arrivals - m.measuredArrivals)
	m.samples = append(m.samples, arrivalSample{now, arrived * (1 - retryFraction*m.shedFraction())})
	m.measuredArrivals = m.arrivals
	for len(m.samples) > 1 && now-m.samples[0].at > demandWindow {
		m.samples = m.samples[1:]
	}
}

// shedFraction returns the fraction of the load that exceeds the servers' capacity.
func (m *Machine) shedFraction() float64 {
	if !m.constrained {
		return 0
	}
	return 1 - m.capacityFraction
}

// estimateDemand estimates the requests per second, not counting retries. If the prior demand is
// known, the result is the weighted mean of two estimates: the measured one limited by the prior
// demand, with the weight priorWeight, and the measured one.
func (m *Machine) estimateDemand() float64 {
	sum := 0.0
	for _, sample := range m.samples {
		sum += sample.firstArrivals
	}
	measured := sum / demandWindow.Seconds()
	if m.priorDemand > 0 {
		return m.priorWeight*min(measured, maxDemandFactor*m.priorDemand) + (1-m.priorWeight)*measured
	}
	return measured
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
