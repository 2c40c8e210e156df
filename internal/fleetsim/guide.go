package fleetsim

import (
	"time"

	"martendrum/internal/peers"
	"martendrum/internal/recovery"
)

// Guide gives a sidecar the bounds that its Balancer must keep to.
type Guide interface {
	// Due is when Tick is to be called.
	Due() time.Duration
	// Tick sets the sidecar's bounds.
	Tick(now time.Duration, s *Sidecar)
}

// Recovery is a Guide that restarts a sidecar as package recovery decides.
type Recovery struct {
	*recovery.Machine
	peer *peers.Node // nil: there is nobody to query
	Last recovery.Orders
}

// NewRecovery returns the Guide of a sidecar that starts at now.
func NewRecovery(now time.Duration, size int, peer *peers.Node) *Recovery {
	return &Recovery{Machine: recovery.New(recovery.Config{Size: size}, now), peer: peer}
}

// Tick implements Guide.
func (r *Recovery) Tick(now time.Duration, s *Sidecar) {
	if r.peer != nil && r.Last.Phase != recovery.Serving {
		for m := range r.peer.DirectMembers(now) {
			r.ReceiveReport(int(m.Rank), recovery.Report{Phase: recovery.Phase(m.Phase), Age: m.Age})
		}
	}
	r.SetArrivals(s.Arrivals())
	r.SetCapacity(s.balancer.Capacity(Epoch + now))
	r.Last = r.Machine.Tick(now)
	if r.peer != nil {
		r.peer.SetPhase(now, uint8(r.Last.Phase))
	}
	s.SetBounds(r.Last.Bounds)
}
