package chalkrack

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

// Room is the share of what warm servers would take that those of the working set bear
// now: 1 where all are warm, less while some are cold. Without servers it is 1, since
// nothing can be said.
func (b *Balancer) Room(now time.Duration) float64 {
	f := &b.fleet
	f.refresh(now)
	all, room := 0.0, 0.0
	for _, s := range f.set {
		all += s.hint
		room += s.hint * f.warmth(s, now)
	}
	if all == 0 {
		return 1
	}
	return room / all
}
