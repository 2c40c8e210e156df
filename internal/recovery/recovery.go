// Package recovery decides how one sidecar comes back: alone, or with everybody after a
// power loss. It has no I/O, clock or goroutine.
//
// A Machine is told what other sidecars say of themselves, how many requests came and how
// much the servers may take, and says which phase this sidecar is in and which bounds its
// Balancer keeps to. What it promises:
//
//   - A request is never held back for it, and none is refused while the servers are warm:
//     it sheds, the cheapest first, the share that cold servers don't surely bear.
//   - Whether the others stayed up is decided within MaxQueryTime; undecided means careful.
//   - Each phase has a longest time, and phases only go up within a life.
//   - It rests on no clock of another's, and on no single other's word.
//
// It does not know how servers warm up (the Balancer's Room does), who the others are
// (package peers does), or what lies on a disk (package checkpoint does).
package recovery

import (
	"cmp"
	"time"

	"martendrum"
)

// Phase is how far a sidecar has come in its life.
type Phase uint8

// The phases.
const (
	Querying  Phase = iota + 1 // whether the others stayed up
	Returning                  // with everybody, or it can't be told
	Serving
)

func (p Phase) String() string {
	if p < Querying || p > Serving {
		return "unknown"
	}
	return [...]string{"asking", "returning", "serving"}[p-1]
}

// Verdict is what the others' words come to.
type Verdict uint8

// The verdicts.
const (
	Undecided Verdict = iota // not decided yet
	Alone                    // the others stayed up
	Everybody                // they came back as this one did
	Unsure                   // too few spoke in time
)

func (v Verdict) String() string {
	return [...]string{"open", "alone", "everybody", "unsure"}[v]
}

// Config is what a Machine is told. The zero value of a time means its default.
type Config struct {
	Size          int           // sidecars in the fleet
	MaxQueryTime  time.Duration // after it the verdict stands, whoever has spoken
	MaxReturnTime time.Duration // longest time in Returning
	Interval      time.Duration // between two looks while there is something to decide
	IdleInterval  time.Duration // between two looks later
}

const (
	defaultQueryTime    = 300 * time.Millisecond
	defaultReturnTime   = time.Minute
	defaultInterval     = 100 * time.Millisecond
	defaultIdleInterval = 500 * time.Millisecond
	// sufficientReports others' words decide at once, if they agree; a single one never does
	// where there are more, so that no liar makes a verdict.
	sufficientReports = 3
	// minReturnTime is the least time of Returning: by then the list of servers has come.
	minReturnTime = time.Second
	// minUptime is the age from which a sidecar's word that it serves shows that it was not
	// part of this loss.
	minUptime = 5 * time.Second
	// demandWindow is what arrivals are averaged over. The first ones count as if they had
	// come in all of it: clients that waited come at once.
	demandWindow = 3 * time.Second
	// maxDemandFactor times the usual demand is the most that is taken for true of what comes.
	maxDemandFactor = 1.5
	// usualDemandMemory is what the usual demand is averaged over.
	usualDemandMemory = time.Minute
	// retryFraction is the share of those turned away who are taken to come again, so that
	// they are not counted as new ones.
	retryFraction = 0.7
	// fullCapacityFactor is the servers' mean warmth from which on nothing is bounded; reducedCapacityFactor
	// below which it is again: not the same, so that it does not flap.
	fullCapacityFactor    = 0.98
	reducedCapacityFactor = 0.9
)

// Report is what another sidecar says of itself.
type Report struct {
	Phase Phase
	Age   time.Duration // of its life
}

// stayedUp says that it stayed up.
func (w Report) stayedUp() bool { return w.Phase >= Serving && w.Age >= minUptime }

// Orders is what a Machine wants done.
type Orders struct {
	Phase   Phase
	Verdict Verdict
	Bounds  martendrum.Bounds
}

// Machine is one sidecar's return. Its methods take the time since any fixed moment.
type Machine struct {
	config Config
	began  time.Duration
	due    time.Duration

	reports map[int]Report
	phase   Phase
	verdict Verdict

	constrained                       bool // the servers take less than comes
	slowStartFactor, capacityFraction float64
	arrivals                          uint64          // arrivals
	measuredArrivals                  uint64          // of these, at the last look
	samples                           []arrivalSample // of the last demandWindow

	priorDemand, priorWeight float64 // from before this life
	usualDemand              float64 // the usual demand of this one
	learnedAt                time.Duration
}

// arrivalSample is how many requests came, since the look before, that were nobody's second try.
type arrivalSample struct {
	at            time.Duration
	firstArrivals float64
}

// New returns the Machine of a sidecar that starts at now.
func New(cfg Config, now time.Duration) *Machine {
	cfg.MaxQueryTime, cfg.MaxReturnTime = cmp.Or(cfg.MaxQueryTime, defaultQueryTime), cmp.Or(cfg.MaxReturnTime, defaultReturnTime)
	cfg.Interval, cfg.IdleInterval = cmp.Or(cfg.Interval, defaultInterval), cmp.Or(cfg.IdleInterval, defaultIdleInterval)
	m := &Machine{config: cfg, began: now, due: now, reports: make(map[int]Report), phase: Querying, slowStartFactor: 1, capacityFraction: 1}
	if cfg.Size < 2 {
		m.verdict, m.phase = Unsure, Returning // nobody to ask
	}
	return m
}

// Due is when Tick is to be called next.
func (m *Machine) Due() time.Duration { return m.due }

// ReceiveReport takes what another sidecar says of itself. Only its own word counts, not what
// others tell of it.
func (m *Machine) ReceiveReport(rank int, w Report) {
	if m.phase == Serving || len(m.reports) >= maxReports && m.reports[rank].Phase == 0 {
		return
	}
	m.reports[rank] = w
}

// maxReports bounds the words kept: more decide nothing more.
const maxReports = 64

// SetArrivals takes how many requests have come in all.
func (m *Machine) SetArrivals(total uint64) { m.arrivals = total }

// SetUsualDemand takes the demand that usually came before this life, by requests a second, and how
// much that is still worth, from 0 to 1.
func (m *Machine) SetUsualDemand(perSecond, weight float64) {
	m.priorDemand, m.priorWeight = perSecond, weight
}

// UsualDemand is how many requests a second usually come: 0 until it is known.
func (m *Machine) UsualDemand() float64 { return m.usualDemand }

// SetCapacity takes the servers' mean warmth and the share of what usually comes that they bear.
func (m *Machine) SetCapacity(warmth, share float64) {
	m.slowStartFactor, m.capacityFraction = max(0, min(warmth, 1)), max(0, min(share, 1))
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
	if m.phase == Returning && (m.verdict == Alone || m.verdict != Undecided && !m.constrained && now-m.began >= minReturnTime || now-m.began >= m.config.MaxReturnTime) {
		m.phase, m.reports = Serving, nil
	}
	if m.due = now + m.config.Interval; m.phase == Serving && !m.constrained {
		m.due = now + m.config.IdleInterval
	}
	o := Orders{Phase: m.phase, Verdict: m.verdict}
	if m.constrained {
		o.Bounds = martendrum.Bounds{MinShedFraction: m.shedFraction(), NominalRate: m.estimateDemand(), SuspendOptionalWork: true}
	}
	o.Bounds.SuspendOptionalWork = o.Bounds.SuspendOptionalWork || m.phase == Returning
	return o
}

// decideVerdict comes to a verdict: when enough agree, when time is up, and later, for one that
// was unsure, when enough have spoken.
func (m *Machine) decideVerdict(now time.Duration) {
	if m.verdict == Alone || m.verdict == Everybody || m.phase == Serving || m.config.Size < 2 {
		return
	}
	up, down := 0, 0
	for _, w := range m.reports {
		if w.stayedUp() {
			up++
		} else {
			down++
		}
	}
	enough := min(sufficientReports, m.config.Size-1)
	late := now-m.began >= m.config.MaxQueryTime
	switch {
	case up+down >= enough && (up == 0 || down == 0 || late):
		m.verdict = Everybody // half and half: the careful one
		if up > down {
			m.verdict = Alone
		}
	case late:
		m.verdict = Unsure
	}
}

// recordArrivals notes what has come since the last look.
func (m *Machine) recordArrivals(now time.Duration) {
	m.samples = append(m.samples, arrivalSample{now, float64(m.arrivals-m.measuredArrivals) * (1 - retryFraction*m.shedFraction())})
	m.measuredArrivals = m.arrivals
	for len(m.samples) > 1 && now-m.samples[0].at > demandWindow {
		m.samples = m.samples[1:]
	}
}

func (m *Machine) shedFraction() float64 {
	if !m.constrained {
		return 0
	}
	return 1 - m.capacityFraction
}

// estimateDemand is how many requests a second come for the first time, about.
func (m *Machine) estimateDemand() float64 {
	sum := 0.0
	for _, l := range m.samples {
		sum += l.firstArrivals
	}
	now := sum / demandWindow.Seconds()
	if m.priorDemand > 0 {
		return m.priorWeight*min(now, maxDemandFactor*m.priorDemand) + (1-m.priorWeight)*now
	}
	return now
}

// learnUsualDemand keeps the usual demand up to date, while nothing is unusual.
func (m *Machine) learnUsualDemand(now time.Duration) {
	if m.phase != Serving || m.constrained || now-m.began < demandWindow {
		return
	}
	d := m.estimateDemand()
	m.usualDemand = cmp.Or(m.usualDemand, d) // starts at the first
	m.usualDemand += (d - m.usualDemand) * min(1, (now-m.learnedAt).Seconds()/usualDemandMemory.Seconds())
	m.learnedAt = now
}
