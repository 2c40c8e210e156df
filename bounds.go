package martendrum

import "time"

// Bounds is what a Balancer is asked to keep to by those who see more of the fleet than
// it does. The zero value asks nothing: it decides as without.
type Bounds struct {
	// Shed is the least share of the traffic, the cheapest first, that is refused on
	// arrival: more than that the servers can't take.
	Shed float64
	// Nominal is how many sends a second would come from here if servers took them all;
	// cold servers get by it instead of by what was sent of late. 0: not known.
	Nominal float64
	// Spare says that copies and optional probes wait.
	Spare bool
}

// Bound sets the bounds in force from now on.
func (b *Balancer) Bound(x Bounds) {
	b.bounds = x
	b.fleet.nominal = x.Nominal
	b.admit.least = x.Shed
}

// warmOver times its usual share is what a warm server is taken to bear while others are
// cold. It may do harm where all are near their limits: then late answers tell.
const warmOver = 1.5

// Room tells of the servers of the working set their mean warmth, and the share of what
// usually comes that they bear now: 1 where all are warm, less while many are cold. Without
// servers both are 1, since nothing can be said.
func (b *Balancer) Room(now time.Duration) (warmth, share float64) {
	f := &b.fleet
	f.refresh(now)
	all, warm, room := 0.0, 0.0, 0.0
	for _, s := range f.set {
		all += s.hint
		w := f.warmth(s, now)
		warm += s.hint * w
		if w == 1 {
			w = warmOver
		}
		room += s.hint * w
	}
	if all == 0 {
		return 1, 1
	}
	return warm / all, min(1, room/all)
}
