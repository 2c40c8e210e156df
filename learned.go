package martendrum

import (
	"slices"
	"time"
)

// Learned is what a Balancer has learned, for another one that takes its place. Times
// are ages, so that clocks need not agree. Rates are left out: each process counts
// cold servers' budgets from its own, and two that count the same sends would spend twice.
type Learned struct {
	Delay    float64         `json:"Delay"` // SingleR's d and q; the running share of lost sends
	Odds     float64         `json:"Odds"`
	Lost     float64         `json:"Lost"`
	Primary  []LearnedTime   `json:"Primary"`
	Copies   []LearnedTime   `json:"Copies"`
	Pairs    [][2]float64    `json:"Pairs"`
	Level    float64         `json:"Level"`    // of shedding
	LevelAge time.Duration   `json:"LevelAge"` // since it changed
	Taken    float64         `json:"Taken"`
	MeanTime float64         `json:"MeanTime"`
	Servers  []LearnedServer `json:"Servers"`
}

// LearnedTime is a logged response time in fractions of the aim.
type LearnedTime struct {
	At       float64 `json:"At"`
	Censored bool    `json:"Censored"`
}

// LearnedServer is what was learned of one server since it started last.
type LearnedServer struct {
	Name         string        `json:"Name"`
	Started      time.Duration `json:"Started"`
	Weight       float64       `json:"Weight"` // corrects the hint
	Sum          float64       `json:"Sum"`    // of relative latencies
	N            float64       `json:"N"`
	Age          time.Duration `json:"Age"`
	Failures     int           `json:"Failures"`
	Ejections    int           `json:"Ejections"`
	EjectedAbout time.Duration `json:"EjectedAbout"` // how much longer it is left out
}

// Learned is what b has learned so far.
func (b *Balancer) Learned(now time.Duration) Learned {
	r := &b.reissue
	l := Learned{
		Delay: r.d, Odds: r.q, Lost: r.lost,
		Level: b.admit.level, LevelAge: now - b.admit.at,
		Taken: b.fleet.taken, MeanTime: b.fleet.meanLat,
	}
	for _, s := range r.primary.buf {
		l.Primary = append(l.Primary, LearnedTime{s.at, s.censored})
	}
	for _, s := range r.copies.buf {
		l.Copies = append(l.Copies, LearnedTime{s.at, s.censored})
	}
	for _, p := range r.pairs.buf {
		l.Pairs = append(l.Pairs, [2]float64{p.x, p.y})
	}
	for _, s := range b.fleet.members {
		l.Servers = append(l.Servers, LearnedServer{
			Name: s.name, Started: s.started, Weight: s.learned, Sum: s.latSum, N: s.latN, Age: now - s.latAt,
			Failures: s.failures, Ejections: s.ejections, EjectedAbout: max(0, s.ejectedUntil-now),
		})
	}
	return l
}

// Learn takes over what another Balancer had learned by age ago. It is called before
// the first request. What belongs to a server that is not listed, or has started anew,
// is left out.
func (b *Balancer) Learn(now time.Duration, l Learned, age time.Duration) {
	r := &b.reissue
	r.d, r.q, r.lost = l.Delay, l.Odds, l.Lost
	r.lose(false, false) // sets the budget
	for _, s := range l.Primary {
		r.primary.add(sample{s.At, s.Censored}, primaryWindow)
	}
	for _, s := range l.Copies {
		r.copies.add(sample{s.At, s.Censored}, copyWindow)
	}
	for _, p := range l.Pairs {
		r.pairs.add(pair{p[0], p[1]}, pairWindow)
	}
	b.admit.level, b.admit.at = l.Level, now-l.LevelAge-age
	f := &b.fleet
	f.taken, f.meanLat = l.Taken, l.MeanTime
	for _, k := range l.Servers {
		s := f.byName[k.Name]
		if s == nil || !s.serving || s.started != k.Started {
			continue
		}
		s.learned, s.latSum, s.latN, s.latAt = k.Weight, k.Sum, k.N, now-k.Age-age
		s.failures, s.ejections = k.Failures, k.Ejections
		if left := k.EjectedAbout - age; left > 0 && !slices.Contains(f.ejected, s) {
			s.ejectedUntil = now + left
			f.ejected = append(f.ejected, s)
		}
	}
	f.dirty = true
}
