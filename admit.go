package chalkrack

import (
	"cmp"
	"slices"
	"time"
)

const (
	// The shed level rests where a fifth of answers are late or half of the
	// sends turned away, which costs only an attempt.
	lateStep = 0.04
	fullStep = 0.01
	calmStep = 0.01
	// A balancer of fewer than calmRate sends a second takes larger steps, by
	// gainMax at most. Guards against a level that outlives its cause.
	calmRate = 8.0
	gainMax  = 4.0
	// shedSlack is the level that chance alone gives a calm fleet.
	shedSlack = 0.06
	shedMax   = 0.99 // not less: clients try again, and what is let in at each try adds up
	// arrivalMemory is how many arrivals the classes' shares look back on.
	arrivalMemory = 100
	// Where nearly all is shed, the level fades by itself after shedHold without an
	// outcome. Fading all the time, quiet balancers rested at three quarters late.
	shedMemory = 8 * time.Second
	shedHold   = time.Second
	// shareBurst is the time for which a tenant may save up its share.
	shareBurst = 4 * time.Second
)

// admitter refuses on arrival the share `level` of the traffic that is worth least.
// Guards against all classes losing alike, and a tenant that crowds out others.
type admitter struct {
	cfg     *Config
	level   float64
	at      time.Duration // of the last change of level
	share   []float64     // of arrivals, by rank: class, then class above share
	ranked  []int         // ranks, cheapest first
	tenants []bucket
}

// bucket is a token bucket.
type bucket struct {
	tokens float64
	at     time.Duration
}

// refill adds rate tokens a second up to burst, which is 1 at least.
func (b *bucket) refill(rate, burst float64, now time.Duration) {
	b.tokens, b.at = min(b.tokens+rate*(now-b.at).Seconds(), max(1, burst)), now
}

func newAdmitter(cfg *Config) admitter {
	n := 2 * len(cfg.Classes)
	a := admitter{cfg: cfg, share: make([]float64, n), tenants: make([]bucket, len(cfg.Tenants))}
	for i := range n {
		a.ranked = append(a.ranked, i)
	}
	for i := range cfg.Classes { // all within the shares, until seen otherwise
		a.share[i] = 1 / float64(len(cfg.Classes))
	}
	for i, allowed := range cfg.Tenants {
		a.tenants[i].tokens = allowed / float64(cfg.Instances) * shareBurst.Seconds()
	}
	slices.SortStableFunc(a.ranked, func(i, j int) int { return cmp.Compare(a.worth(i), a.worth(j)) })
	return a
}

// worth is by work, of which the aim is the only sign.
func (a *admitter) worth(rank int) float64 {
	if c := rank - len(a.cfg.Classes); c >= 0 {
		return a.worth(c) * a.cfg.OverShareWorth
	}
	return a.cfg.Classes[rank].Worth / a.cfg.Classes[rank].Aim.Seconds()
}

// meanWorth is the mean over arrivals, were all within the shares.
func (a *admitter) meanWorth() (m float64) {
	for r, share := range a.share {
		m += share * a.worth(r%len(a.cfg.Classes))
	}
	return m
}

// arrived counts an arrival and returns its rank.
func (a *admitter) arrived(class, tenant int, now time.Duration) int {
	if tenant >= 0 && tenant < len(a.tenants) {
		rate := a.cfg.Tenants[tenant] / float64(a.cfg.Instances)
		t := &a.tenants[tenant]
		t.refill(rate, rate*shareBurst.Seconds(), now)
		if t.tokens >= 1 {
			t.tokens--
		} else {
			class += len(a.cfg.Classes)
		}
	}
	for i := range a.share {
		a.share[i] *= 1 - 1.0/arrivalMemory
	}
	a.share[class] += 1.0 / arrivalMemory
	return class
}

// odds is the probability with which a request of the rank is shed now.
func (a *admitter) odds(rank int, now time.Duration) float64 {
	left := a.faded(now) - shedSlack
	for _, r := range a.ranked {
		if left <= 0 {
			return 0
		}
		if r == rank {
			return min(left/max(a.share[r], 0.01), shedMax)
		}
		left -= a.share[r] * shedMax
	}
	return 0
}

// faded is the level less what it has lost since the last outcome.
func (a *admitter) faded(now time.Duration) float64 {
	return a.level * fade(max(0, now-a.at-shedHold), shedMemory)
}

// outcome feeds the level with one attempt's end; rate is of sends a second.
func (a *admitter) outcome(full, late bool, rate float64, now time.Duration) {
	a.level, a.at = a.faded(now), now
	gain := max(1, min(calmRate/max(rate, 0.1), gainMax))
	step := -calmStep
	if late {
		step = lateStep
	} else if full {
		step = fullStep
	}
	a.level = max(0, min(a.level+gain*step, 1))
}
