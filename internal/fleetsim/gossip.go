package fleetsim

import (
	"errors"
	"time"

	"martendrum/internal/peers"
)

// Peer is a peers.Node in a world.
type Peer struct{ *peers.Node }

// Receive implements Node.
func (p Peer) Receive(now time.Duration, from int, msg any) {
	if err := p.Node.Receive(now, peers.Rank(from), msg.([]byte)); err != nil && !errors.As(err, new(*peers.DecodeError)) {
		panic(err) // the world gives nobody a wrong sender
	}
}

// Out implements Node.
func (p Peer) Out(send func(Message)) { sendDatagrams(p.Node, send) }

func sendDatagrams(n *peers.Node, send func(Message)) {
	for _, d := range n.Out() {
		send(Message{To: int(d.To), Body: d.Data, Size: len(d.Data)})
	}
}

// Gossip is a world of sidecars that only talk to each other.
type Gossip struct {
	*World
	config          peers.Config
	lastIncarnation uint64
}

// NewGossip returns a world of size places for sidecars, none of which runs yet: see Up.
func NewGossip(size int, seed uint64, net Network, workers int, cfg peers.Config) *Gossip {
	cfg.Size = size
	return &Gossip{World: New(size, seed, net, workers), config: cfg, lastIncarnation: 1}
}

// StartSidecar starts a sidecar in a new life, whose number is above the one before.
func (g *Gossip) StartSidecar(i int) Peer {
	cfg := g.config
	cfg.Self = peers.Rank(i)
	g.lastIncarnation++
	cfg.Incarnation = g.lastIncarnation
	n, err := peers.New(cfg, g.Now, g.Rand(i))
	if err != nil {
		panic(err) // of this package's own making
	}
	p := Peer{n}
	g.Start(i, p)
	return p
}

// Peer is the sidecar at a place, false if none runs there.
func (g *Gossip) Peer(i int) (Peer, bool) {
	p, ok := g.Node(i).(Peer)
	return p, ok
}

// InformedFraction is the share of running sidecars for which ok holds.
func (g *Gossip) InformedFraction(ok func(p Peer) bool) float64 {
	n, yes := 0, 0
	for i := range g.places {
		if p, up := g.Peer(i); up {
			if n++; ok(p) {
				yes++
			}
		}
	}
	return float64(yes) / float64(max(1, n))
}
