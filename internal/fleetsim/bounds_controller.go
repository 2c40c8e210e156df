package fleetsim

import (
	"time"

	"martendrum/internal/peers"
	"martendrum/internal/recovery"
)

// BoundsController decides, over time, which bounds the Balancer of a sidecar must keep to.
type BoundsController interface {
	// Due returns when Tick is to be called next.
	Due() time.Duration
	// Tick sets the bounds of the sidecar.
	Tick(now time.Duration, s *Sidecar)
}

// Recovery is a BoundsController that sets the bounds that package recovery decides on
// while the sidecar restarts.
type Recovery struct {
	*recovery.Machine
	peer *peers.Node       // gossip node of the sidecar; nil: no reports of other sidecars are known
	Last recovery.Decision // result of the last Tick
}

// NewRecovery returns the Recovery of a sidecar that starts at now, in a fleet of size sidecars.
// peer may be nil.
func NewRecovery(now time.Duration, size int, peer *peers.Node) *Recovery {
	return &Recovery{Machine: recovery.New(recovery.Config{Size: size}, now), peer: peer}
}

// Tick implements BoundsController.
func (r *Recovery) Tick(now time.Duration, s *Sidecar) {
	if r.peer != nil && r.Last.Phase != recovery.Serving {
		for m := range r.peer.DirectMembers(now) {
			r.ReceiveReport(int(m.Rank), recovery.Report{Phase: recovery.Phase(m.Phase), Age: m.Age})
		}
	}
	r.SetArrivals(s.Arrivals())
	r.SetCapacity(s.balancer.WorkingSetCapacity(Epoch + now))
	r.Last = r.Machine.Tick(now)
	if r.peer != nil {
		r.peer.SetPhase(now, uint8(r.Last.Phase))
	}
	s.SetBounds(r.Last.Bounds)
}
