package peers

import (
	"cmp"
	"iter"
	"math"
	"time"
)

// State is the state of a member, as published or as concluded locally.
type State uint8

// The states. Records carry Alive, Suspect and Left. Each member concludes Unknown, Silent and
// Dead on its own.
const (
	Alive   State = iota // sends datagrams, or is reported to do so
	Suspect              // did not acknowledge another member's probes
	Left                 // left deliberately
	Unknown              // nothing is known about it
	Dead                 // a suspect that did not refute the suspicion in time
	Silent               // no record is known, and it did not acknowledge probes
)

// String returns the state's name.
func (s State) String() string {
	return [...]string{"alive", "suspect", "left", "unknown", "dead", "silent"}[s]
}

// Record is what is published about one member.
type Record struct {
	Rank        Rank
	Incarnation uint64 // 0: nothing is known about the member
	Heartbeat   uint32 // version of the record within the incarnation
	State       State
	Phase       uint8
	Traffic     uint8         // by encodeTraffic
	StartedAt   time.Duration // start of the incarnation, by the local clock
}

// compare orders records of one member, earlier before later. StartedAt is not compared.
func (r Record) compare(other Record) int {
	return cmp.Or(cmp.Compare(r.Incarnation, other.Incarnation), cmp.Compare(r.Heartbeat, other.Heartbeat), cmp.Compare(r.State, other.State),
		cmp.Compare(r.Phase, other.Phase), cmp.Compare(r.Traffic, other.Traffic))
}

// Join returns the least upper bound of two records: the later one, with the earlier start if both
// are of one incarnation. Network delay makes an incarnation appear younger than it is, so the earlier
// start is the more accurate one.
func (r Record) Join(other Record) Record {
	joined := r
	if r.compare(other) < 0 {
		joined = other
	}
	if r.Incarnation == other.Incarnation {
		joined.StartedAt = min(r.StartedAt, other.StartedAt)
	}
	return joined
}

// encodeTraffic encodes a rate in steps of about a fifth: 0 is none, 1 is 0.1 per second.
func encodeTraffic(perSecond float64) uint8 {
	if !(perSecond >= 0.1) {
		return 0
	}
	return uint8(min(255, 1+math.Round(4*math.Log2(perSecond/0.1))))
}

// decodeTraffic returns the rate per second that encodeTraffic encoded.
func decodeTraffic(t uint8) float64 {
	if t == 0 {
		return 0
	}
	return 0.1 * math.Exp2(float64(t-1)/4)
}

// member is the local view of one member.
type member struct {
	record            Record
	directIncarnation uint64        // the latest incarnation received from the member itself; 0: none
	directStartedAt   time.Duration // start of directIncarnation, as received from the member itself
	contacted         bool          // a datagram has been received from it
	lastReceived      time.Duration // time of the latest datagram
	suspectedAt       time.Duration // when the record's state became Suspect
	missedProbes      uint8         // consecutive probes without an acknowledgement
}

// Member is the current view of one member.
type Member struct {
	Rank        Rank
	Incarnation uint64
	State       State
	Phase       uint8
	Traffic     float64       // requests per second
	Age         time.Duration // of its incarnation
	Direct      bool          // its incarnation was received from the member itself
}

// status derives a member's state from its record.
func (n *Node) status(r Rank, now time.Duration) State {
	m := &n.members[r]
	switch {
	case m.record.Incarnation == 0 && m.missedProbes >= min(2, n.maxMissed()):
		return Silent
	case m.record.Incarnation == 0:
		return Unknown
	case m.record.State != Suspect:
		return m.record.State
	case m.directIncarnation == m.record.Incarnation && m.lastReceived > m.suspectedAt:
		return Alive // it is reachable from here, so the suspicion has another cause
	case now-m.suspectedAt >= n.suspicionTimeout():
		return Dead
	}
	return Suspect
}

// suspicionTimeout returns how long a suspect has to refute the suspicion.
func (n *Node) suspicionTimeout() time.Duration {
	return time.Duration(suspicionFactor * max(1, math.Log10(float64(n.config.Size))) * float64(n.config.Period))
}

// Member returns the view of one member.
func (n *Node) Member(r Rank, now time.Duration) Member {
	m := &n.members[r]
	view := Member{
		Rank: r, Incarnation: m.record.Incarnation, State: n.status(r, now), Phase: m.record.Phase, Traffic: decodeTraffic(m.record.Traffic),
		Age: max(0, now-m.record.StartedAt), Direct: r == n.config.Self || m.directIncarnation != 0 && m.directIncarnation == m.record.Incarnation,
	}
	if view.Direct && r != n.config.Self {
		view.Age = max(0, now-m.directStartedAt) // records that others forward can't change it
	}
	return view
}

// Members yields all members about which something is known, including this one, ordered by rank.
func (n *Node) Members(now time.Duration) iter.Seq[Member] {
	return func(yield func(Member) bool) {
		for r := range n.members {
			if m := n.Member(Rank(r), now); m.State != Unknown && !yield(m) {
				return
			}
		}
	}
}

// DirectMembers yields the other living members whose incarnation was received from themselves.
// Only their entries count as votes.
func (n *Node) DirectMembers(now time.Duration) iter.Seq[Member] {
	return func(yield func(Member) bool) {
		for m := range n.Members(now) {
			if m.Direct && m.Rank != n.config.Self && (m.State == Alive || m.State == Suspect) && !yield(m) {
				return
			}
		}
	}
}

// Count is the number of members by state.
type Count struct {
	Size   int // members in the fleet
	Known  int // members about which something is known
	Living int // known members that are alive or suspect, including this one
}

// Estimate extrapolates the number of living members from the known ones. If only this member is
// known, it returns the fleet's size.
func (c Count) Estimate() float64 {
	if c.Known <= 1 {
		return float64(c.Size)
	}
	return max(1, float64(c.Size)*float64(c.Living)/float64(c.Known))
}

// Count counts the members.
func (n *Node) Count(now time.Duration) Count {
	c := Count{Size: n.config.Size}
	for r := range n.members {
		switch n.status(Rank(r), now) {
		case Alive, Suspect:
			c.Known++
			c.Living++
		case Unknown:
		default:
			c.Known++
		}
	}
	return c
}

// Bounds on how far an incarnation or a heartbeat that another member forwards may exceed the known
// one. Larger values are accepted only from the member itself. Otherwise a lying member could raise
// another's incarnation to the maximum, above which that member can't rise. Incarnations are in
// milliseconds.
const (
	maxIncarnationJump = uint64(3600_000)
	maxHeartbeatJump   = 1 << 10
)

// receiveIndirectRecord processes a record in a datagram from the member from, which is not the record's
// subject.
func (n *Node) receiveIndirectRecord(now time.Duration, from Rank, r Record) {
	if int(r.Rank) >= len(n.members) || r.Incarnation == 0 || r.Incarnation >= maxIncarnation || r.State > Left {
		n.stats.Rejected++
		return
	}
	if r.Rank == n.config.Self {
		n.refute(now, from, r)
		return
	}
	m := &n.members[r.Rank]
	if m.record.compare(r) >= 0 {
		if m.record.Incarnation == r.Incarnation {
			m.record.StartedAt = min(m.record.StartedAt, r.StartedAt)
		}
		if m.record.compare(r) == 0 {
			n.countDuplicate(update{rank: r.Rank})
		}
		return
	}
	if m.record.Incarnation > 0 && (r.Incarnation > m.record.Incarnation+maxIncarnationJump || r.Incarnation == m.record.Incarnation && r.Heartbeat > m.record.Heartbeat+maxHeartbeatJump) {
		n.stats.Rejected++
		n.prioritizeProbe(r.Rank)
		return
	}
	if r.State != Alive && m.directIncarnation == r.Incarnation && now-m.lastReceived < n.config.Period {
		n.prioritizeProbe(r.Rank) // it was reachable a moment ago: the probe lets it refute this
	}
	n.mergeRecord(now, r)
}

// mergeRecord merges a record, and queues an update if it is new.
func (n *Node) mergeRecord(now time.Duration, r Record) {
	m := &n.members[r.Rank]
	before := m.record
	m.record = m.record.Join(r)
	if m.record.compare(before) == 0 {
		return
	}
	if m.record.State == Suspect && (before.State != Suspect || before.Incarnation != m.record.Incarnation) {
		m.suspectedAt = now
	}
	if m.record.Incarnation > before.Incarnation {
		m.missedProbes = 0
		n.entries.dropEarlierIncarnations(n, r.Rank, m.record.Incarnation)
	}
	// A record that becomes Alive again is sent immediately: a refuted suspicion, or a new
	// incarnation of a member that was a suspect or had left.
	n.queueUpdate(now, update{rank: r.Rank, hot: before.Incarnation > 0 && before.State != Alive && m.record.State == Alive})
}

// receiveSenderRecord processes the record in a datagram's header, which is the sender's own.
func (n *Node) receiveSenderRecord(now time.Duration, r Record) {
	m := &n.members[r.Rank]
	if !m.contacted {
		m.contacted = true
		n.contactedMembers++
	}
	m.lastReceived, m.missedProbes = now, 0
	if m.directIncarnation == 0 && m.record.Incarnation > r.Incarnation+maxIncarnationJump {
		m.record = Record{Rank: r.Rank} // known only from others, and too high for the sender to rise above
	}
	if r.Incarnation < m.record.Incarnation {
		return // this member sends it the higher incarnation, and the sender then takes one above that
	}
	if m.directIncarnation != r.Incarnation {
		m.directIncarnation, m.directStartedAt = r.Incarnation, r.StartedAt
	}
	m.directStartedAt = min(m.directStartedAt, r.StartedAt)
	n.mergeRecord(now, r)
}

// incarnationClaim is a higher incarnation of this member that another one has sent.
type incarnationClaim struct {
	incarnation uint64
	from        Rank
}

// refute responds to another member's record of this one: it refutes a suspicion, and takes
// an incarnation above an earlier one with a higher number. An incarnation that is far ahead must be
// reported by two members, unless the fleet has only two, so that a single lying member can't
// exhaust the numbers.
func (n *Node) refute(now time.Duration, from Rank, r Record) {
	if n.self.compare(r) >= 0 {
		return
	}
	if r.Incarnation > n.self.Incarnation {
		if far := r.Incarnation > n.self.Incarnation+maxIncarnationJump; far && n.config.Size > 2 {
			if n.claimed.incarnation == 0 || n.claimed.from == from || r.Incarnation >= maxIncarnation-1 {
				n.claimed = incarnationClaim{r.Incarnation, from}
				return
			}
			r.Incarnation = min(r.Incarnation, n.claimed.incarnation)
		}
		n.claimed = incarnationClaim{}
		n.self.Incarnation, n.self.Heartbeat = r.Incarnation+1, 0
		n.republishAll(now)
	} else {
		n.self.Heartbeat = max(n.self.Heartbeat, r.Heartbeat)
		if r.State == Suspect && n.self.State != Left {
			n.stats.Refuted++
			n.adjustHealth(1)
		}
	}
	n.advance(now)
}
