package martendrum

import (
	"cmp"
	"slices"
	"time"
)

const (
	// The shed level rests where a fifth of answers are late or half of the
	// sends turned away, which costs only an attempt.
	lateStep = 0.08
	fullStep = 0.02
	calmStep = 0.02
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
	least   float64       // shed in any case: see Bounds
	at      time.Duration // of the last change of level
	share   []float64     // of arrivals, by rank: twice the class, and 1 more above the tenant's share
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

// configure makes room for the configuration's classes and tenants.
func (a *admitter) configure() {
	for len(a.share) < 2*len(a.cfg.Classes) { // all within the shares, until seen otherwise
		a.ranked = append(a.ranked, len(a.share), len(a.share)+1)
		a.share = append(a.share, 1/float64(len(a.cfg.Classes)), 0)
	}
	for i := len(a.tenants); i < len(a.cfg.Tenants); i++ {
		a.tenants = append(a.tenants, bucket{tokens: a.cfg.Tenants[i] / float64(a.cfg.Instances) * shareBurst.Seconds()})
	}
	slices.SortStableFunc(a.ranked, func(i, j int) int { return cmp.Compare(a.worth(i), a.worth(j)) })
}

// worth is by work, of which the aim is the only sign.
func (a *admitter) worth(rank int) float64 {
	c := &a.cfg.Classes[rank/2]
	if rank%2 > 0 {
		return c.Worth / c.Aim.Seconds() * a.cfg.OverShareWorth
	}
	return c.Worth / c.Aim.Seconds()
}

// meanWorth is the mean over arrivals, were all within the shares.
func (a *admitter) meanWorth() (m float64) {
	for r, share := range a.share {
		m += share * a.worth(r/2*2)
	}
	return m
}

// arrived counts an arrival and returns its rank.
func (a *admitter) arrived(class, tenant int, now time.Duration) (rank int) {
	rank = 2 * class
	if tenant >= 0 && tenant < len(a.tenants) {
		rate := a.cfg.Tenants[tenant] / float64(a.cfg.Instances)
		t := &a.tenants[tenant]
		t.refill(rate, rate*shareBurst.Seconds(), now)
		if t.tokens >= 1 {
			t.tokens--
		} else {
			rank++
		}
	}
	for i := range a.share {
		a.share[i] *= 1 - 1.0/arrivalMemory
	}
	a.share[rank] += 1.0 / arrivalMemory
	return rank
}

// odds is the probability with which a request of the rank is shed now.
func (a *admitter) odds(rank int, now time.Duration) float64 {
	left := max(a.faded(now)-shedSlack, a.least)
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
	gain := max(1, min(calmRate/max(rate, 0.1), gainMax))
	step := -calmStep
	if late {
		step = lateStep
	} else if full {
		step = fullStep
	}
	a.level, a.at = max(0, min(a.faded(now)+gain*step, 1)), now
}
