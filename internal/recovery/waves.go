package recovery

import (
	"cmp"
	"slices"
	"time"
)

// Place is where an instance of a host belongs. An instance without a shop is a shop of its own.
type Place struct{ Name, Shop, Zone string }

// startOrder is what the order of starts depends on.
type startOrder struct {
	Place
	wave   int // instances of its shop before it
	inZone int // instances of its zone and wave before it
}

// Waves orders a host's instances for their restart: every shop has one before any has two,
// and within a wave zones take turns. No wave is larger than limit; a limit below 1 means no
// bound.
func Waves(places []Place, limit int) [][]string {
	var waves [][]string
	last := -1
	for _, instance := range inStartOrder(places) {
		if instance.wave != last || limit > 0 && len(waves[len(waves)-1]) >= limit {
			waves = append(waves, nil)
			last = instance.wave
		}
		waves[len(waves)-1] = append(waves[len(waves)-1], instance.Name)
	}
	return waves
}

// inStartOrder returns the instances in the order of their starts.
func inStartOrder(places []Place) []startOrder {
	type zoneWave struct {
		zone string
		wave int
	}
	ofShop := make(map[string]int)
	ofZoneWave := make(map[zoneWave]int)
	ordered := make([]startOrder, len(places))
	for i, place := range places {
		shop := place.Shop
		if shop == "" {
			shop = "\x00" + place.Name // its own; no shop has such a name
		}
		wave := ofShop[shop]
		ofShop[shop]++
		zw := zoneWave{place.Zone, wave}
		ordered[i] = startOrder{Place: place, wave: wave, inZone: ofZoneWave[zw]}
		ofZoneWave[zw]++
	}
	slices.SortStableFunc(ordered, func(a, b startOrder) int {
		return cmp.Or(cmp.Compare(a.wave, b.wave), cmp.Compare(a.inZone, b.inZone), cmp.Compare(a.Zone, b.Zone))
	})
	return ordered
}

// PaceConfig says how the waves of a host follow each other.
type PaceConfig struct {
	MinInterval time.Duration // from one wave to the next
	MaxInterval time.Duration // from one wave to the next, also where some of a wave are not ready
	// ConsecutiveLosses is the number of power losses in a row, this one included. Each more
	// doubles MinInterval, up to maxIntervalFactor: flapping power must not cause start storms.
	ConsecutiveLosses int
}

const (
	maxIntervalFactor = 16
	maxDoublings      = 10 // keeps the shift from overflowing
)

// Pace lets the instances of a host start in waves. A wave begins when all instances of the one
// before are done, MinInterval after it at the earliest and MaxInterval at the latest. It is
// not safe for concurrent use.
type Pace struct {
	config  PaceConfig
	waveOf  map[string]int // by instance
	pending []int          // instances that are not done, by wave
	done    map[string]bool
	current int           // the wave that has begun
	began   time.Duration // when it began
}

// NewPace returns the Pace of waves that begin at now.
func NewPace(cfg PaceConfig, waves [][]string, now time.Duration) *Pace {
	doublings := min(max(0, cfg.ConsecutiveLosses-1), maxDoublings)
	cfg.MinInterval *= time.Duration(min(1<<doublings, maxIntervalFactor))
	cfg.MaxInterval = max(cfg.MaxInterval, cfg.MinInterval)
	p := &Pace{config: cfg, waveOf: make(map[string]int), done: make(map[string]bool), began: now}
	for n, wave := range waves {
		p.pending = append(p.pending, len(wave))
		for _, name := range wave {
			p.waveOf[name] = n
		}
	}
	return p
}

// Done says that an instance is up, or is known not to come up for now.
func (p *Pace) Done(name string) {
	wave, ok := p.waveOf[name]
	if !ok || p.done[name] {
		return
	}
	p.done[name] = true
	p.pending[wave]--
}

// MayStart reports whether an instance may start now. One that is in no wave may.
func (p *Pace) MayStart(now time.Duration, name string) bool {
	p.advance(now)
	wave, ok := p.waveOf[name]
	return !ok || wave <= p.current
}

// Finished reports whether every wave has begun and the last one is done or over.
func (p *Pace) Finished(now time.Duration) bool {
	p.advance(now)
	return p.current >= len(p.pending)
}

// advance begins the waves that are due.
func (p *Pace) advance(now time.Duration) {
	for p.current < len(p.pending) {
		age := now - p.began
		if age < p.config.MinInterval || p.pending[p.current] > 0 && age < p.config.MaxInterval {
			return
		}
		p.current++
		p.began = now
	}
}
