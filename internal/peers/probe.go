package peers

import (
	"math"
	"slices"
	"time"
)

// probe is the probe in progress: first direct, then indirect.
type probe struct {
	target   Rank
	seq      uint32
	next     time.Duration // when continueProbe is due
	indirect bool
	until    time.Duration // when the indirect probes time out
}

// relay is a probe of target on behalf of another member.
type relay struct {
	requester    Rank
	requesterSeq uint32 // of the requester's kindPingRequest
	target       Rank
	seq          uint32        // of this member's ping of target
	until        time.Duration // when the relay is dropped
}

// maxMissed returns the number of consecutive unacknowledged probes that raise a suspicion. It
// grows with the fleet, so that the rate of false suspicions, which every member receives, stays
// constant when datagrams are lost.
func (n *Node) maxMissed() uint8 {
	return uint8(1 + math.Ceil(math.Log10(float64(n.config.Size))))
}

// maxRelays is the maximum number of concurrent probes for others.
const maxRelays = 32

// startProbe starts the period's probe: of a member that was queued out of turn, otherwise of the
// next one in this round's order, which contains each member once.
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

// prioritizeProbe queues a member to be probed before the others of this round.
func (n *Node) prioritizeProbe(r Rank) {
	if len(n.priorityProbes) < maxPriorityProbes && !slices.Contains(n.priorityProbes, r) {
		n.priorityProbes = append(n.priorityProbes, r)
	}
}

// continueProbe requests indirect probes after the direct one has timed out, and ends the probe
// after the indirect ones have timed out too.
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
	case m.missedProbes < n.maxMissed(): // the missed probe may be due to a lost datagram
		n.prioritizeProbe(p.target)
	case m.record.State == Alive:
		n.stats.Suspected++
		r := m.record
		r.State = Suspect
		n.mergeRecord(now, r)
	case m.record.State == Suspect && m.lastReceived > m.suspectedAt:
		m.suspectedAt = now // it refuted the earlier suspicion and is silent again
	}
}

// receiveAck processes an acknowledgement of this member's own probe, or of one that it relays.
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

// relayProbe probes target on behalf of requester.
func (n *Node) relayProbe(now time.Duration, requester, target Rank, seq uint32) {
	n.relays = slices.DeleteFunc(n.relays, func(r relay) bool { return now >= r.until })
	if target == n.config.Self || target == requester || len(n.relays) >= maxRelays {
		return
	}
	n.seq++
	n.relays = append(n.relays, relay{requester: requester, requesterSeq: seq, target: target, seq: n.seq, until: now + n.config.Period})
	n.send(now, target, message{kind: kindPing, seq: n.seq}, true)
}

// receiveIndirectAck processes another member's report that it has reached the probe's target.
func (n *Node) receiveIndirectAck(now time.Duration, target Rank, seq uint32) {
	if p := n.probe; p != nil && p.target == target && p.seq == seq {
		n.probe = nil
		n.members[target].missedProbes = 0
		n.adjustHealth(-1)
	}
}
