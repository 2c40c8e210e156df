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
	Longest     time.Duration // and at most, also where some of a wave are not ready
	// Losses is how many losses came in a row, this one too. Least grows with them, by
	// up to maxFlap: power that flaps must not start storms.
	Losses int
}

// maxFlap bounds what a power that flaps makes of the time between waves.
const maxFlap = 16

// Pace lets the instances of a host start in waves. A wave begins when all of the one
// before are up or known to be down, or its longest time is over.
type Pace struct {
	cfg     PaceConfig
	wave    map[string]int
	left    []int // not done, by wave
	done    map[string]bool
	current int
	began   time.Duration
}

// NewPace returns the Pace of waves that begin at now.
func NewPace(cfg PaceConfig, waves [][]string, now time.Duration) *Pace {
	flap := min(1<<min(max(0, cfg.Losses-1), 10), maxFlap)
	cfg.MinInterval *= time.Duration(flap)
	cfg.Longest = max(cfg.Longest, cfg.MinInterval)
	p := &Pace{cfg: cfg, wave: make(map[string]int), done: make(map[string]bool), began: now}
	for n, w := range waves {
		p.left = append(p.left, len(w))
		for _, name := range w {
			p.wave[name] = n
		}
	}
	return p
}

// Done says that an instance is up, or will not be for now: the next ones need not wait
// for it.
func (p *Pace) Done(name string) {
	if w, ok := p.wave[name]; ok && !p.done[name] {
		p.done[name] = true
		p.left[w]--
	}
}

// May says whether an instance may start now. One that the waves don't name may.
func (p *Pace) May(now time.Duration, name string) bool {
	for p.current < len(p.left) {
		age := now - p.began
		if age < p.cfg.MinInterval || p.left[p.current] > 0 && age < p.cfg.Longest {
			break
		}
		p.current++
		p.began = now
	}
	w, ok := p.wave[name]
	return !ok || w <= p.current
}

// Over says that every wave has begun and the last one has had its time.
func (p *Pace) Over(now time.Duration) bool {
	p.May(now, "")
	return p.current >= len(p.left)
}
