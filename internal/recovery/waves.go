package recovery

import (
	"cmp"
	"slices"
	"time"
)

// Placement is an instance's name, shop and zone. Shop and zone are values of labels of the instance; the
// agent's configuration names the labels. An instance without a shop counts as a shop of its own.
type Placement struct{ Name, Shop, Zone string }

// orderedInstance is an instance with the numbers that determine its place in the order of starts.
type orderedInstance struct {
	Placement
	wave   int // number of instances of its shop before it
	inZone int // number of instances of its zone and wave before it
}

// Waves groups a host's instances into waves for their restart, and returns the names in each wave.
// Every shop starts one instance before any shop starts two, and within a wave the zones take turns.
// No wave has more than limit instances; a limit below 1 means no bound.
func Waves(places []Placement, limit int) [][]string {
	var waves [][]string
	currentWave := -1
	for _, instance := range inStartOrder(places) {
		if instance.wave != currentWave || limit > 0 && len(waves[len(waves)-1]) >= limit {
			waves = append(waves, nil)
			currentWave = instance.wave
		}
		waves[len(waves)-1] = append(waves[len(waves)-1], instance.Name)
	}
	return waves
}

// inStartOrder returns the instances in the order of their starts.
func inStartOrder(places []Placement) []orderedInstance {
	type zoneWave struct {
		zone string
		wave int
	}
	countByShop := make(map[string]int)
	countByZoneWave := make(map[zoneWave]int)
	ordered := make([]orderedInstance, len(places))
	for i, place := range places {
		shop := place.Shop
		if shop == "" {
			shop = "\x00" + place.Name // a shop of its own; no configured shop has such a name
		}
		wave := countByShop[shop]
		countByShop[shop]++
		key := zoneWave{place.Zone, wave}
		ordered[i] = orderedInstance{Placement: place, wave: wave, inZone: countByZoneWave[key]}
		countByZoneWave[key]++
	}
	slices.SortStableFunc(ordered, func(a, b orderedInstance) int {
		return cmp.Or(cmp.Compare(a.wave, b.wave), cmp.Compare(a.inZone, b.inZone), cmp.Compare(a.Zone, b.Zone))
	})
	return ordered
}

// StartPacerConfig configures the intervals between the waves of a host.
type StartPacerConfig struct {
	MinInterval time.Duration // minimum time from one wave to the next
	MaxInterval time.Duration // maximum time from one wave to the next, even if instances of the wave are not done; raised to the lengthened MinInterval if that is longer, see ConsecutiveLosses
	// ConsecutiveLosses is the number of power losses in a row, including this one. Each one
	// after the first doubles MinInterval, up to a factor of 16 (maxIntervalFactor): repeated
	// power losses must not cause repeated bursts of starts.
	ConsecutiveLosses int
}

const (
	maxIntervalFactor = 16
	maxDoublings      = 10 // prevents an overflow of the shift
)

// StartPacer lets the instances of a host start in waves. A wave begins when all instances of the previous
// wave are done, at the earliest MinInterval and at the latest MaxInterval after that wave began. It
// is not safe for concurrent use.
type StartPacer struct {
	config  StartPacerConfig
	waveOf  map[string]int // by instance name
	pending []int          // number of instances that are not done, by wave
	done    map[string]bool
	current int           // the wave that has begun
	began   time.Duration // when it began
}

// NewStartPacer returns the StartPacer of waves, of which the first begins at now.
func NewStartPacer(cfg StartPacerConfig, waves [][]string, now time.Duration) *StartPacer {
	doublings := min(max(0, cfg.ConsecutiveLosses-1), maxDoublings)
	cfg.MinInterval *= time.Duration(min(1<<doublings, maxIntervalFactor))
	cfg.MaxInterval = max(cfg.MaxInterval, cfg.MinInterval)
	p := &StartPacer{config: cfg, waveOf: make(map[string]int), done: make(map[string]bool), began: now}
	for n, wave := range waves {
		p.pending = append(p.pending, len(wave))
		for _, name := range wave {
			p.waveOf[name] = n
		}
	}
	return p
}

// Done marks an instance as done: it is up, or is known not to come up for now.
func (p *StartPacer) Done(name string) {
	wave, ok := p.waveOf[name]
	if !ok || p.done[name] {
		return
	}
	p.done[name] = true
	p.pending[wave]--
}

// MayStart reports whether an instance may start now. An instance that is in no wave may always
// start.
func (p *StartPacer) MayStart(now time.Duration, name string) bool {
	p.advance(now)
	wave, ok := p.waveOf[name]
	return !ok || wave <= p.current
}

// Finished reports whether every wave has begun, MinInterval has passed since the last one began, and the
// instances of the last one are done or its MaxInterval has passed.
func (p *StartPacer) Finished(now time.Duration) bool {
	p.advance(now)
	return p.current >= len(p.pending)
}

// advance begins the waves that are due.
func (p *StartPacer) advance(now time.Duration) {
	for p.current < len(p.pending) {
		age := now - p.began
		if age < p.config.MinInterval || p.pending[p.current] > 0 && age < p.config.MaxInterval {
			return
		}
		p.current++
		p.began = now
	}
}
