package martendrum

import "time"

// Bounds is what a Balancer must keep to at the request of those who see more of the fleet
// than it does. The zero value bounds nothing.
type Bounds struct {
	// MinShedFraction is the fraction of the traffic, lowest weight first, that is shed on
	// arrival at least, because servers cannot take more.
	MinShedFraction float64
	// NominalRate is the sends a second that this balancer would make if servers accepted
	// all. Servers in slow start are paced by it where it is above the recent rate. 0: unknown.
	NominalRate float64
	// SuspendOptionalWork suspends hedges and probes before a send.
	SuspendOptionalWork bool
}

// SetBounds sets the bounds in force from now on.
func (b *Balancer) SetBounds(bounds Bounds) {
	b.bounds = bounds
	b.endpoints.nominalRate = bounds.NominalRate
	b.admission.minShedFraction = bounds.MinShedFraction
}

// warmServerHeadroom is the multiple of its usual load that a server at full capacity is
// taken to bear while others are in slow start. Where all are near their limits it is too
// high; late answers then raise the shed level.
const warmServerHeadroom = 1.5

// Capacity returns, for the working set, the mean slow-start factor and the fraction of the
// usual load that it can bear now. Both are 1 where every server has its full capacity, and
// where there is no server.
func (b *Balancer) Capacity(now time.Duration) (slowStartFactor, bearable float64) {
	set := &b.endpoints
	set.refresh(now)
	nominal, present, withHeadroom := 0.0, 0.0, 0.0
	for _, s := range set.workingSet {
		nominal += s.capacityHint
		factor := set.slowStartFactor(s, now)
		present += s.capacityHint * factor
		if factor == 1 {
			factor = warmServerHeadroom
		}
		withHeadroom += s.capacityHint * factor
	}
	if nominal == 0 {
		return 1, 1
	}
	return present / nominal, min(1, withHeadroom/nominal)
}
