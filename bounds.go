package martendrum

import "time"

// Bounds is what a Balancer is asked to keep to by those who see more of the fleet than
// it does. The zero value asks nothing: it decides as without.
type Bounds struct {
	// MinShedFraction is the least share of the traffic, the cheapest first, that is refused on
	// arrival: more than that the servers can't take.
	MinShedFraction float64
	// NominalRate is how many sends a second would come from here if servers took them all;
	// cold servers get by it instead of by what was sent of late. 0: not known.
	NominalRate float64
	// SuspendOptionalWork says that copies and optional probes wait.
	SuspendOptionalWork bool
}

// SetBounds sets the bounds in force from now on.
func (b *Balancer) SetBounds(bounds Bounds) {
	b.bounds = bounds
	b.endpoints.nominalRate = bounds.NominalRate
	b.admission.minShedFraction = bounds.MinShedFraction
}

// warmServerHeadroom times its usual share is what a warm server is taken to bear while others are
// cold. It may do harm where all are near their limits: then late answers tell.
const warmServerHeadroom = 1.5

// Capacity tells of the servers of the working set their mean warmth, and the share of what
// usually comes that they bear now: 1 where all are warm, less while many are cold. Without
// servers both are 1, since nothing can be said.
func (b *Balancer) Capacity(now time.Duration) (warmth, share float64) {
	set := &b.endpoints
	set.refresh(now)
	nominal, warm, capacity := 0.0, 0.0, 0.0
	for _, s := range set.workingSet {
		nominal += s.capacityHint
		factor := set.slowStartFactor(s, now)
		warm += s.capacityHint * factor
		if factor == 1 {
			factor = warmServerHeadroom
		}
		capacity += s.capacityHint * factor
	}
	if nominal == 0 {
		return 1, 1
	}
	return warm / nominal, min(1, capacity/nominal)
}
