package fleetsim

import (
	"time"

	"martendrum/internal/peers"
	"martendrum/internal/recovery"
)

// Recovery is a Guide that has a sidecar come back as package recovery says.
type Recovery struct {
	*recovery.Machine
	peer *peers.Node // nil: nobody to ask
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
			r.Hear(int(m.Rank), recovery.Report{Phase: recovery.Phase(m.Phase), Age: m.Age})
		}
	}
	r.Arrived(s.Arrivals())
	r.SetCapacity(s.b.Capacity(Epoch + now))
	r.Last = r.Machine.Tick(now)
	if r.peer != nil {
		r.peer.SetPhase(now, uint8(r.Last.Phase))
	}
	s.Bound(r.Last.Bounds)
}
