package fleetsim

import (
	"errors"
	"time"

	"martendrum/internal/peers"
)

// Peer is a peers.Node that runs in a World.
type Peer struct{ *peers.Node }

// Receive implements Node.
func (p Peer) Receive(now time.Duration, from int, msg any) {
	err := p.Node.Receive(now, peers.Rank(from), msg.([]byte))
	if err != nil && !errors.As(err, new(*peers.DecodeError)) {
		panic(err) // a World always passes the true sender
	}
}

// Out implements Node.
func (p Peer) Out(send func(Message)) { sendDatagrams(p.Node, send) }

// sendDatagrams passes the node's outgoing datagrams to send.
func sendDatagrams(node *peers.Node, send func(Message)) {
	for _, d := range node.Out() {
		send(Message{To: int(d.To), Body: d.Data, Size: len(d.Data)})
	}
}

// Gossip is a World of sidecars that only gossip: they have no Balancer and no clients.
type Gossip struct {
	*World
	config          peers.Config
	lastIncarnation uint64
}

// NewGossip returns a world with size places for sidecars, none of which runs yet. cfg holds what
// all sidecars have in common; its Size, Self and Incarnation are overwritten.
func NewGossip(size int, seed uint64, net Network, workers int, cfg peers.Config) *Gossip {
	cfg.Size = size
	return &Gossip{World: New(size, seed, net, workers), config: cfg, lastIncarnation: 1}
}

// StartSidecar starts a sidecar at place i, in place of one that may run there, with a higher
// incarnation than any sidecar before.
func (g *Gossip) StartSidecar(i int) Peer {
	g.lastIncarnation++
	cfg := g.config
	cfg.Self = peers.Rank(i)
	cfg.Incarnation = g.lastIncarnation
	node, err := peers.New(cfg, g.Now, g.Rand(i))
	if err != nil {
		panic(err) // only if the caller's configuration is invalid
	}
	p := Peer{node}
	g.Start(i, p)
	return p
}

// Peer returns the sidecar at place i, false if none runs there.
func (g *Gossip) Peer(i int) (Peer, bool) {
	p, ok := g.Node(i).(Peer)
	return p, ok
}

// InformedFraction returns the fraction of the running sidecars for which informed returns true.
func (g *Gossip) InformedFraction(informed func(p Peer) bool) float64 {
	running, count := 0, 0
	for i := range g.places {
		p, up := g.Peer(i)
		if !up {
			continue
		}
		running++
		if informed(p) {
			count++
		}
	}
	return float64(count) / float64(max(1, running))
}
