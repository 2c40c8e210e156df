package recovery

import (
	"cmp"
	"slices"
	"time"
)

// Place is where an instance of a host belongs.
type Place struct{ Name, Shop, Zone string }

// Waves orders a host's instances for their return: every shop has one before any has
// two, and within a wave zones take turns. No wave holds more than most; most below 1
// means no bound.
func Waves(places []Place, limit int) [][]string {
	nth := make(map[string]int) // of a shop's instances
	type turn struct {
		Place
		wave, inZone int
	}
	turns := make([]turn, len(places))
	for i, p := range places {
		shop := p.Shop
		if shop == "" {
			shop = "\x00" + p.Name // one of its own
		}
		turns[i] = turn{Place: p, wave: nth[shop]}
		nth[shop]++
	}
	type zoneWave struct {
		zone string
		wave int
	}
	seen := make(map[zoneWave]int)
	for i := range turns {
		z := zoneWave{turns[i].Zone, turns[i].wave}
		turns[i].inZone = seen[z]
		seen[z]++
	}
	slices.SortStableFunc(turns, func(a, b turn) int {
		return cmp.Or(cmp.Compare(a.wave, b.wave), cmp.Compare(a.inZone, b.inZone), cmp.Compare(a.Zone, b.Zone))
	})
	var waves [][]string
	last := -1
	for _, t := range turns {
		if t.wave != last || limit > 0 && len(waves[len(waves)-1]) >= limit {
			waves = append(waves, nil)
			last = t.wave
		}
		waves[len(waves)-1] = append(waves[len(waves)-1], t.Name)
	}
	return waves
}

// PaceConfig says how the waves of a host follow each other.
type PaceConfig struct {
	MinInterval time.Duration // from one wave to the next, at least
	MaxInterval time.Duration // and at most, also where some of a wave are not ready
	// ConsecutiveLosses is how many losses came in a row, this one too. Least grows with them, by
	// up to maxIntervalFactor: power that flaps must not start storms.
	ConsecutiveLosses int
}

// maxIntervalFactor bounds what a power that flaps makes of the time between waves.
const maxIntervalFactor = 16

// Pace lets the instances of a host start in waves. A wave begins when all of the one
// before are up or known to be down, or its longest time is over.
type Pace struct {
	config  PaceConfig
	waveOf  map[string]int
	pending []int // not done, by wave
	done    map[string]bool
	current int
	began   time.Duration
}

// NewPace returns the Pace of waves that begin at now.
func NewPace(cfg PaceConfig, waves [][]string, now time.Duration) *Pace {
	flap := min(1<<min(max(0, cfg.ConsecutiveLosses-1), 10), maxIntervalFactor)
	cfg.MinInterval *= time.Duration(flap)
	cfg.MaxInterval = max(cfg.MaxInterval, cfg.MinInterval)
	p := &Pace{config: cfg, waveOf: make(map[string]int), done: make(map[string]bool), began: now}
	for n, w := range waves {
		p.pending = append(p.pending, len(w))
		for _, name := range w {
			p.waveOf[name] = n
		}
	}
	return p
}

// Done says that an instance is up, or will not be for now: the next ones need not wait
// for it.
func (p *Pace) Done(name string) {
	if w, ok := p.waveOf[name]; ok && !p.done[name] {
		p.done[name] = true
		p.pending[w]--
	}
}

// MayStart says whether an instance may start now. One that the waves don't name may.
func (p *Pace) MayStart(now time.Duration, name string) bool {
	for p.current < len(p.pending) {
		age := now - p.began
		if age < p.config.MinInterval || p.pending[p.current] > 0 && age < p.config.MaxInterval {
			break
		}
		p.current++
		p.began = now
	}
	w, ok := p.waveOf[name]
	return !ok || w <= p.current
}

// Finished says that every wave has begun and the last one has had its time.
func (p *Pace) Finished(now time.Duration) bool {
	p.MayStart(now, "")
	return p.current >= len(p.pending)
}
