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
	requester    Rank
	requesterSeq uint32
	target       Rank
	seq          uint32
	until        time.Duration
}

// maxMissed probes in a row without an answer make a suspect: more in a large fleet, so
// that where datagrams get lost the suspicions that all hear of stay as rare.
func (n *Node) maxMissed() uint8 {
	return uint8(1 + math.Ceil(math.Log10(float64(n.config.Size))))
}

// maxRelays bounds the probes made for others at once.
const maxRelays = 32

// startProbe starts the period's probe: one that somebody doubts, else the next in this
// round's order, so that each is asked once in a round.
func (n *Node) startProbe(now time.Duration) {
	n.probeDue = now + n.config.Period*time.Duration(1+n.health)
	if n.config.Size < 2 || n.self.State == Left || n.probe != nil {
		return
	}
	var target Rank
	if len(n.priorityProbes) > 0 {
		target, n.priorityProbes = n.priorityProbes[0], n.priorityProbes[1:]
	} else {
		if len(n.probeOrder) == 0 {
			for r := range n.members {
				if Rank(r) != n.config.Self {
					n.probeOrder = append(n.probeOrder, Rank(r))
				}
			}
			n.rng.Shuffle(len(n.probeOrder), func(i, j int) { n.probeOrder[i], n.probeOrder[j] = n.probeOrder[j], n.probeOrder[i] })
		}
		target, n.probeOrder = n.probeOrder[0], n.probeOrder[1:]
	}
	n.seq++
	wait := n.config.Timeout * time.Duration(1+n.health)
	n.probe = &probe{target: target, seq: n.seq, next: now + wait, until: n.probeDue}
	n.send(now, target, message{kind: kindPing, seq: n.seq}, true)
}

// probeOutOfTurn has a sidecar probed out of turn.
func (n *Node) probeOutOfTurn(r Rank) {
	if len(n.priorityProbes) < maxPriorityProbes && !slices.Contains(n.priorityProbes, r) {
		n.priorityProbes = append(n.priorityProbes, r)
	}
}

// continueProbe goes on with a probe that was not answered in time.
func (n *Node) continueProbe(now time.Duration, p *probe) {
	if !p.indirect {
		p.indirect, p.next = true, p.until
		for _, r := range n.sample(indirectProbes, now, true) {
			if r != p.target {
				n.send(now, r, message{kind: kindPingRequest, seq: p.seq, target: p.target}, true)
			}
		}
		return
	}
	n.probe = nil
	n.adjustHealth(1)
	m := &n.members[p.target]
	m.missedProbes = min(m.missedProbes+1, n.maxMissed())
	switch {
	case m.record.Incarnation == 0:
	case m.missedProbes < n.maxMissed(): // chance, where datagrams are lost
		n.probeOutOfTurn(p.target)
	case m.record.State == Alive:
		n.stats.Suspected++
		r := m.record
		r.State = Suspect
		n.mergeRecord(now, r)
	case m.record.State == Suspect && m.lastReceived > m.suspectedAt:
		m.suspectedAt = now // it spoke since, and is silent again
	}
}

// receiveAck takes an answer.
func (n *Node) receiveAck(now time.Duration, from Rank, seq uint32) {
	if p := n.probe; p != nil && p.target == from && p.seq == seq {
		n.probe = nil
		n.adjustHealth(-1)
		return
	}
	for i, r := range n.relays {
		if r.target == from && r.seq == seq {
			n.relays = slices.Delete(n.relays, i, i+1)
			n.send(now, r.requester, message{kind: kindIndirectAck, seq: r.requesterSeq, target: from}, true)
			return
		}
	}
}

// relayProbe pings target for another.
func (n *Node) relayProbe(now time.Duration, requester, target Rank, seq uint32) {
	n.relays = slices.DeleteFunc(n.relays, func(r relay) bool { return now >= r.until })
	if target == n.config.Self || target == requester || len(n.relays) >= maxRelays {
		return
	}
	n.seq++
	n.relays = append(n.relays, relay{requester: requester, requesterSeq: seq, target: target, seq: n.seq, until: now + n.config.Period})
	n.send(now, target, message{kind: kindPing, seq: n.seq}, true)
}

// receiveIndirectAck takes that another has reached the target of this sidecar's probe.
func (n *Node) receiveIndirectAck(now time.Duration, target Rank, seq uint32) {
	if p := n.probe; p != nil && p.target == target && p.seq == seq {
		n.probe = nil
		n.members[target].missedProbes = 0
		n.adjustHealth(-1)
	}
}
