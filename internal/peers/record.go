package peers

import (
	"cmp"
	"iter"
	"math"
	"time"
)

// State is what is told of a sidecar, or derived.
type State uint8

// The states. Rows tell Alive, Suspect and Left; Unknown, Silent and Dead are each one's
// own conclusion.
const (
	Alive   State = iota // speaks, or is told to
	Suspect              // did not answer somebody
	Left                 // ended on purpose
	Unknown              // nothing is known of it
	Dead                 // a suspect that did not speak up in time
	Silent               // never heard of, and did not answer
)

func (s State) String() string {
	return [...]string{"alive", "suspect", "left", "unknown", "dead", "silent"}[s]
}

// Record is what is told of one sidecar.
type Record struct {
	Rank        Rank
	Incarnation uint64 // 0: nothing is known
	Heartbeat   uint32 // counts what it told of itself in this life
	State       State
	Phase       uint8
	Traffic     uint8         // by encodeTraffic
	StartedAt   time.Duration // when this life began, by one's own clock
}

// compare orders rows of one sidecar by how much is known; Born is apart.
func (r Record) compare(o Record) int {
	return cmp.Or(cmp.Compare(r.Incarnation, o.Incarnation), cmp.Compare(r.Heartbeat, o.Heartbeat), cmp.Compare(r.State, o.State),
		cmp.Compare(r.Phase, o.Phase), cmp.Compare(r.Traffic, o.Traffic))
}

// Join is the least row that holds what both say: the later one, born at the earlier time
// if it is the same life, since a word that took its time makes a life look younger.
func (r Record) Join(o Record) Record {
	j := r
	if r.compare(o) < 0 {
		j = o
	}
	if r.Incarnation == o.Incarnation {
		j.StartedAt = min(r.StartedAt, o.StartedAt)
	}
	return j
}

// encodeTraffic is a rate in steps of about a fifth: 0 is none, 1 is 0.1 a second.
func encodeTraffic(perSecond float64) uint8 {
	if !(perSecond >= 0.1) {
		return 0
	}
	return uint8(min(255, 1+math.Round(4*math.Log2(perSecond/0.1))))
}

func decodeTraffic(t uint8) float64 {
	if t == 0 {
		return 0
	}
	return 0.1 * math.Exp2(float64(t-1)/4)
}

// member is one sidecar as this one sees it.
type member struct {
	record            Record
	directIncarnation uint64        // the life that it told of itself last, 0: none
	directStartedAt   time.Duration // when that began, by its own word
	contacted         bool          // it spoke here
	lastReceived      time.Duration // when it did last
	suspectedAt       time.Duration // since when row says Suspect
	missedProbes      uint8         // probes in a row without an answer
}

// Member is one other sidecar, as of now.
type Member struct {
	Rank        Rank
	Incarnation uint64
	State       State
	Phase       uint8
	Traffic     float64       // requests a second
	Age         time.Duration // of its life
	Direct      bool          // it told so itself
}

// status is what follows from a member's row.
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
		return Alive // it speaks here: whoever suspects it has another trouble
	case now-m.suspectedAt >= n.suspicionTimeout():
		return Dead
	}
	return Suspect
}

// suspicionTimeout is how long a suspect has to speak up.
func (n *Node) suspicionTimeout() time.Duration {
	return time.Duration(suspicionFactor * max(1, math.Log10(float64(n.config.Size))) * float64(n.config.Period))
}

// Member is what is known of one sidecar.
func (n *Node) Member(r Rank, now time.Duration) Member {
	m := &n.members[r]
	k := Member{
		Rank: r, Incarnation: m.record.Incarnation, State: n.status(r, now), Phase: m.record.Phase, Traffic: decodeTraffic(m.record.Traffic),
		Age: max(0, now-m.record.StartedAt), Direct: r == n.config.Self || m.directIncarnation != 0 && m.directIncarnation == m.record.Incarnation,
	}
	if k.Direct && r != n.config.Self {
		k.Age = max(0, now-m.directStartedAt) // whatever others make of it
	}
	return k
}

// Members yields all sidecars of the fleet of which something is known, this one too, in
// the order of their ranks.
func (n *Node) Members(now time.Duration) iter.Seq[Member] {
	return func(yield func(Member) bool) {
		for r := range n.members {
			if m := n.Member(Rank(r), now); m.State != Unknown && !yield(m) {
				return
			}
		}
	}
}

// DirectMembers yields the others that live and told of this life of theirs themselves: whose
// word is a voice.
func (n *Node) DirectMembers(now time.Duration) iter.Seq[Member] {
	return func(yield func(Member) bool) {
		for m := range n.Members(now) {
			if m.Direct && m.Rank != n.config.Self && (m.State == Alive || m.State == Suspect) && !yield(m) {
				return
			}
		}
	}
}

// Count is how many sidecars there are.
type Count struct {
	Size   int // in the fleet
	Known  int // of which something is known
	Living int // of those known, this one too
}

// Estimate is the number that live, were all like those known. Nothing known but
// oneself: all.
func (c Count) Estimate() float64 {
	if c.Known <= 1 {
		return float64(c.Size)
	}
	return max(1, float64(c.Size)*float64(c.Living)/float64(c.Known))
}

// Count counts the sidecars.
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

// maxIncarnationJump is how far ahead of what is known a life or a beat may be that somebody else
// tells of. Guards against a liar who gives another a life that it can't go above; what
// lies further ahead has to be heard from the sidecar itself. Lives count in ms.
const (
	maxIncarnationJump = uint64(3600_000)
	maxHeartbeatJump   = 1 << 10
)

// receiveIndirectRecord takes a row that from tells of another sidecar.
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
		n.probeOutOfTurn(r.Rank)
		return
	}
	if r.State != Alive && m.directIncarnation == r.Incarnation && now-m.lastReceived < n.config.Period {
		n.probeOutOfTurn(r.Rank) // it spoke here a moment ago: it is told, and can speak for itself
	}
	n.mergeRecord(now, r)
}

// mergeRecord merges a row and makes it news.
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
	// Who speaks up against a suspicion, or has begun a new life, is told of at once.
	n.queueUpdate(now, update{rank: r.Rank, hot: before.Incarnation > 0 && before.State != Alive && m.record.State == Alive})
}

// receiveSenderRecord takes a sidecar's row from itself.
func (n *Node) receiveSenderRecord(now time.Duration, r Record) {
	m := &n.members[r.Rank]
	if !m.contacted {
		m.contacted = true
		n.contactedMembers++
	}
	m.lastReceived, m.missedProbes = now, 0
	if m.directIncarnation == 0 && m.record.Incarnation > r.Incarnation+maxIncarnationJump {
		m.record = Record{Rank: r.Rank} // known by hearsay only, and out of reach for itself
	}
	if r.Incarnation < m.record.Incarnation {
		return // it is told so, and goes above
	}
	if m.directIncarnation != r.Incarnation {
		m.directIncarnation, m.directStartedAt = r.Incarnation, r.StartedAt
	}
	m.directStartedAt = min(m.directStartedAt, r.StartedAt)
	n.mergeRecord(now, r)
}

// incarnationClaim is a higher life of this sidecar that one other told of.
type incarnationClaim struct {
	incarnation uint64
	from        Rank
}

// refute takes what another holds of this sidecar: it goes above a suspicion, and above a
// life before this one whose number is not lower. Two must tell of one that is far ahead,
// where there are two, so that no single liar can use the numbers up.
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
