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
func (b *Balancer) SetBounds(x Bounds) {
	b.bounds = x
	b.endpoints.nominalRate = x.NominalRate
	b.admission.minShedFraction = x.MinShedFraction
}

// warmServerHeadroom times its usual share is what a warm server is taken to bear while others are
// cold. It may do harm where all are near their limits: then late answers tell.
const warmServerHeadroom = 1.5

// Capacity tells of the servers of the working set their mean warmth, and the share of what
// usually comes that they bear now: 1 where all are warm, less while many are cold. Without
// servers both are 1, since nothing can be said.
func (b *Balancer) Capacity(now time.Duration) (warmth, share float64) {
	f := &b.endpoints
	f.refresh(now)
	all, warm, room := 0.0, 0.0, 0.0
	for _, s := range f.workingSet {
		all += s.capacityHint
		w := f.slowStartFactor(s, now)
		warm += s.capacityHint * w
		if w == 1 {
			w = warmServerHeadroom
		}
		room += s.capacityHint * w
	}
	if all == 0 {
		return 1, 1
	}
	return warm / all, min(1, room/all)
}
