package martendrum

import "time"

// Bounds are limits that the host sets on a Balancer from information about the whole fleet,
// which the Balancer does not have. The zero value sets no limits.
type Bounds struct {
	// MinShedFraction is the least fraction of the traffic to shed on arrival, lowest weight
	// first, because the servers cannot take more. More is shed if the shed level is higher.
	MinShedFraction float64
	// NominalRate is the number of sends a second that this balancer would make if the servers
	// accepted all of them. It sets the pace of sends to servers in slow start where it is above
	// the recent rate of accepted sends. 0 means unknown.
	NominalRate float64
	// SuspendOptionalWork turns off hedges, and probes before the first send of a request.
	SuspendOptionalWork bool
}

// SetBounds replaces the bounds. They apply until the next call.
func (b *Balancer) SetBounds(bounds Bounds) {
	b.bounds = bounds
	b.endpoints.nominalRate = bounds.NominalRate
	b.admission.minShedFraction = bounds.MinShedFraction
}

// fullCapacityHeadroom is the multiple of its usual load that a server at full capacity is
// assumed to sustain while others are in slow start. Where all servers are near their limits,
// the assumption is too high; late answers then raise the shed level.
const fullCapacityHeadroom = 1.5

// WorkingSetCapacity returns two fractions for the working set: its mean slow-start factor, weighted by
// capacity, and the part of its usual load that it can sustain now. Both are 1 if every server
// has its full capacity or if there is no server.
func (b *Balancer) WorkingSetCapacity(now time.Duration) (slowStartFactor, sustainableLoad float64) {
	set := &b.endpoints
	set.refresh(now)
	nominal, present, withHeadroom := 0.0, 0.0, 0.0
	for _, s := range set.workingSet {
		nominal += s.capacityHint
		factor := set.slowStartFactor(s, now)
		present += s.capacityHint * factor
		if factor == 1 {
			factor = fullCapacityHeadroom
		}
		withHeadroom += s.capacityHint * factor
	}
	if nominal == 0 {
		return 1, 1
	}
	return present / nominal, min(1, withHeadroom/nominal)
}
