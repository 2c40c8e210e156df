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
	Asking    Phase = iota + 1 // whether the others stayed up
	Returning                  // with everybody, or it can't be told
	Serving
)

func (p Phase) String() string {
	if p < Asking || p > Serving {
		return "unknown"
	}
	return [...]string{"asking", "returning", "serving"}[p-1]
}

// Verdict is what the others' words come to.
type Verdict uint8

// The verdicts.
const (
	Open      Verdict = iota // not decided yet
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
	Rest          time.Duration // between two looks later
}

const (
	defaultQueryTime = 300 * time.Millisecond
	returnUsual      = time.Minute
	defaultInterval  = 100 * time.Millisecond
	restUsual        = 500 * time.Millisecond
	// wordsEnough others' words decide at once, if they agree; a single one never does
	// where there are more, so that no liar makes a verdict.
	wordsEnough = 3
	// minReturnTime is the least time of Returning: by then the list of servers has come.
	minReturnTime = time.Second
	// settled is the age from which a sidecar's word that it serves shows that it was not
	// part of this loss.
	settled = 5 * time.Second
	// demandOver is what arrivals are averaged over. The first ones count as if they had
	// come in all of it: clients that waited come at once.
	demandOver = 3 * time.Second
	// usualOver times the usual demand is the most that is taken for true of what comes.
	usualOver = 1.5
	// slowOver is what the usual demand is averaged over.
	slowOver = time.Minute
	// returns is the share of those turned away who are taken to come again, so that
	// they are not counted as new ones.
	returns = 0.7
	// warmEnough is the servers' mean warmth from which on nothing is bounded; warmLow
	// below which it is again: not the same, so that it does not flap.
	warmEnough = 0.98
	warmLow    = 0.9
)

// Report is what another sidecar says of itself.
type Report struct {
	Phase Phase
	Age   time.Duration // of its life
}

// up says that it stayed up.
func (w Report) up() bool { return w.Phase >= Serving && w.Age >= settled }

// Orders is what a Machine wants done.
type Orders struct {
	Phase   Phase
	Verdict Verdict
	Bounds  martendrum.Bounds
}

// Machine is one sidecar's return. Its methods take the time since any fixed moment.
type Machine struct {
	cfg   Config
	began time.Duration
	due   time.Duration

	words   map[int]Report
	phase   Phase
	verdict Verdict

	cold         bool // the servers take less than comes
	warmth, room float64
	total        uint64 // arrivals
	seen         uint64 // of these, at the last look
	looks        []look // of the last demandOver

	usual, weight float64 // from before this life
	slow          float64 // the usual demand of this one
	learned       time.Duration
}

// look is how many requests came, since the look before, that were nobody's second try.
type look struct {
	at    time.Duration
	fresh float64
}

// New returns the Machine of a sidecar that starts at now.
func New(cfg Config, now time.Duration) *Machine {
	cfg.MaxQueryTime, cfg.MaxReturnTime = cmp.Or(cfg.MaxQueryTime, defaultQueryTime), cmp.Or(cfg.MaxReturnTime, returnUsual)
	cfg.Interval, cfg.Rest = cmp.Or(cfg.Interval, defaultInterval), cmp.Or(cfg.Rest, restUsual)
	m := &Machine{cfg: cfg, began: now, due: now, words: make(map[int]Report), phase: Asking, warmth: 1, room: 1}
	if cfg.Size < 2 {
		m.verdict, m.phase = Unsure, Returning // nobody to ask
	}
	return m
}

// Due is when Tick is to be called next.
func (m *Machine) Due() time.Duration { return m.due }

// Hear takes what another sidecar says of itself. Only its own word counts, not what
// others tell of it.
func (m *Machine) Hear(rank int, w Report) {
	if m.phase == Serving || len(m.words) >= maxReports && m.words[rank].Phase == 0 {
		return
	}
	m.words[rank] = w
}

// maxReports bounds the words kept: more decide nothing more.
const maxReports = 64

// Arrived takes how many requests have come in all.
func (m *Machine) Arrived(total uint64) { m.total = total }

// Usual takes the demand that usually came before this life, by requests a second, and how
// much that is still worth, from 0 to 1.
func (m *Machine) Usual(perSecond, weight float64) { m.usual, m.weight = perSecond, weight }

// Demand is how many requests a second usually come: 0 until it is known.
func (m *Machine) Demand() float64 { return m.slow }

// SetCapacity takes the servers' mean warmth and the share of what usually comes that they bear.
func (m *Machine) SetCapacity(warmth, share float64) {
	m.warmth, m.room = max(0, min(warmth, 1)), max(0, min(share, 1))
}

// Tick decides.
func (m *Machine) Tick(now time.Duration) Orders {
	m.judge(now)
	m.measure(now)
	m.learn(now)
	switch {
	case m.warmth < warmLow:
		m.cold = true
	case m.warmth >= warmEnough:
		m.cold = false
	}
	if m.phase == Asking && m.verdict != Open {
		m.phase = Returning
	}
	if m.phase == Returning && (m.verdict == Alone || m.verdict != Open && !m.cold && now-m.began >= minReturnTime || now-m.began >= m.cfg.MaxReturnTime) {
		m.phase, m.words = Serving, nil
	}
	if m.due = now + m.cfg.Interval; m.phase == Serving && !m.cold {
		m.due = now + m.cfg.Rest
	}
	o := Orders{Phase: m.phase, Verdict: m.verdict}
	if m.cold {
		o.Bounds = martendrum.Bounds{MinShedFraction: m.shed(), NominalRate: m.demand(), SuspendOptionalWork: true}
	}
	o.Bounds.SuspendOptionalWork = o.Bounds.SuspendOptionalWork || m.phase == Returning
	return o
}

// judge comes to a verdict: when enough agree, when time is up, and later, for one that
// was unsure, when enough have spoken.
func (m *Machine) judge(now time.Duration) {
	if m.verdict == Alone || m.verdict == Everybody || m.phase == Serving || m.cfg.Size < 2 {
		return
	}
	up, down := 0, 0
	for _, w := range m.words {
		if w.up() {
			up++
		} else {
			down++
		}
	}
	enough := min(wordsEnough, m.cfg.Size-1)
	late := now-m.began >= m.cfg.MaxQueryTime
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

// measure notes what has come since the last look.
func (m *Machine) measure(now time.Duration) {
	m.looks = append(m.looks, look{now, float64(m.total-m.seen) * (1 - returns*m.shed())})
	m.seen = m.total
	for len(m.looks) > 1 && now-m.looks[0].at > demandOver {
		m.looks = m.looks[1:]
	}
}

func (m *Machine) shed() float64 {
	if !m.cold {
		return 0
	}
	return 1 - m.room
}

// demand is how many requests a second come for the first time, about.
func (m *Machine) demand() float64 {
	sum := 0.0
	for _, l := range m.looks {
		sum += l.fresh
	}
	now := sum / demandOver.Seconds()
	if m.usual > 0 {
		return m.weight*min(now, usualOver*m.usual) + (1-m.weight)*now
	}
	return now
}

// learn keeps the usual demand up to date, while nothing is unusual.
func (m *Machine) learn(now time.Duration) {
	if m.phase != Serving || m.cold || now-m.began < demandOver {
		return
	}
	d := m.demand()
	m.slow = cmp.Or(m.slow, d) // starts at the first
	m.slow += (d - m.slow) * min(1, (now-m.learned).Seconds()/slowOver.Seconds())
	m.learned = now
}
