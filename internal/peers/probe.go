package peers

import (
	"math"
	"slices"
	"time"
)

// probe is the one that is under way: asked itself, then through others.
type probe struct {
	target   Rank
	seq      uint32
	next     time.Duration // when something is to be done about it
	indirect bool
	until    time.Duration
}

// relay is a probe made for another.
type relay struct {
	for_     Rank
	theirSeq uint32
	target   Rank
	seq      uint32
	until    time.Duration
}

// maxMissed probes in a row without an answer make a suspect: more in a large fleet, so
// that where datagrams get lost the suspicions that all hear of stay as rare.
func (n *Node) maxMissed() uint8 {
	return uint8(1 + math.Ceil(math.Log10(float64(n.cfg.Size))))
}

// maxRelays bounds the probes made for others at once.
const maxRelays = 32

// begin starts the period's probe: one that somebody doubts, else the next in this
// round's order, so that each is asked once in a round.
func (n *Node) begin(now time.Duration) {
	n.due = now + n.cfg.Period*time.Duration(1+n.health)
	if n.cfg.Size < 2 || n.self.State == Left || n.probe != nil {
		return
	}
	var target Rank
	if len(n.aside) > 0 {
		target, n.aside = n.aside[0], n.aside[1:]
	} else {
		if len(n.order) == 0 {
			for r := range n.members {
				if Rank(r) != n.cfg.Self {
					n.order = append(n.order, Rank(r))
				}
			}
			n.rng.Shuffle(len(n.order), func(i, j int) { n.order[i], n.order[j] = n.order[j], n.order[i] })
		}
		target, n.order = n.order[0], n.order[1:]
	}
	n.seq++
	wait := n.cfg.Timeout * time.Duration(1+n.health)
	n.probe = &probe{target: target, seq: n.seq, next: now + wait, until: n.due}
	n.send(now, target, message{kind: kindPing, seq: n.seq}, true)
}

// lookAt has a sidecar probed out of turn.
func (n *Node) lookAt(r Rank) {
	if len(n.aside) < maxAside && !slices.Contains(n.aside, r) {
		n.aside = append(n.aside, r)
	}
}

// chase goes on with a probe that was not answered in time.
func (n *Node) chase(now time.Duration, p *probe) {
	if !p.indirect {
		p.indirect, p.next = true, p.until
		for _, r := range n.sample(indirectFan, now, true) {
			if r != p.target {
				n.send(now, r, message{kind: kindReach, seq: p.seq, target: p.target}, true)
			}
		}
		return
	}
	n.probe = nil
	n.sicken(1)
	m := &n.members[p.target]
	m.missed = min(m.missed+1, n.maxMissed())
	switch {
	case m.record.Incarnation == 0:
	case m.missed < n.maxMissed(): // chance, where datagrams are lost
		n.lookAt(p.target)
	case m.record.State == Alive:
		n.stats.Suspected++
		r := m.record
		r.State = Suspect
		n.take(now, r)
	case m.record.State == Suspect && m.lastReceived > m.suspected:
		m.suspected = now // it spoke since, and is silent again
	}
}

// acked takes an answer.
func (n *Node) acked(now time.Duration, from Rank, seq uint32) {
	if p := n.probe; p != nil && p.target == from && p.seq == seq {
		n.probe = nil
		n.sicken(-1)
		return
	}
	for i, r := range n.relays {
		if r.target == from && r.seq == seq {
			n.relays = slices.Delete(n.relays, i, i+1)
			n.send(now, r.for_, message{kind: kindFound, seq: r.theirSeq, target: from}, true)
			return
		}
	}
}

// reach pings target for another.
func (n *Node) reach(now time.Duration, for_, target Rank, seq uint32) {
	n.relays = slices.DeleteFunc(n.relays, func(r relay) bool { return now >= r.until })
	if target == n.cfg.Self || target == for_ || len(n.relays) >= maxRelays {
		return
	}
	n.seq++
	n.relays = append(n.relays, relay{for_: for_, theirSeq: seq, target: target, seq: n.seq, until: now + n.cfg.Period})
	n.send(now, target, message{kind: kindPing, seq: n.seq}, true)
}

// found takes that another has reached the target of this sidecar's probe.
func (n *Node) found(now time.Duration, target Rank, seq uint32) {
	if p := n.probe; p != nil && p.target == target && p.seq == seq {
		n.probe = nil
		n.members[target].missed = 0
		n.sicken(-1)
	}
}
