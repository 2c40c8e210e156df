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

// Row is what is told of one sidecar.
type Row struct {
	Rank    Rank
	Life    uint64 // 0: nothing is known
	Beat    uint32 // counts what it told of itself in this life
	State   State
	Phase   uint8
	Traffic uint8         // by encodeTraffic
	Born    time.Duration // when this life began, by one's own clock
}

// compare orders rows of one sidecar by how much is known; Born is apart.
func (r Row) compare(o Row) int {
	return cmp.Or(cmp.Compare(r.Life, o.Life), cmp.Compare(r.Beat, o.Beat), cmp.Compare(r.State, o.State),
		cmp.Compare(r.Phase, o.Phase), cmp.Compare(r.Traffic, o.Traffic))
}

// Join is the least row that holds what both say: the later one, born at the earlier time
// if it is the same life, since a word that took its time makes a life look younger.
func (r Row) Join(o Row) Row {
	j := r
	if r.compare(o) < 0 {
		j = o
	}
	if r.Life == o.Life {
		j.Born = min(r.Born, o.Born)
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
	row       Row
	direct    uint64        // the life that it told of itself last, 0: none
	born      time.Duration // when that began, by its own word
	met       bool          // it spoke here
	heard     time.Duration // when it did last
	suspected time.Duration // since when row says Suspect
	missed    uint8         // probes in a row without an answer
}

// Member is one other sidecar, as of now.
type Member struct {
	Rank    Rank
	Life    uint64
	State   State
	Phase   uint8
	Traffic float64       // requests a second
	Age     time.Duration // of its life
	Direct  bool          // it told so itself
}

// status is what follows from a member's row.
func (n *Node) status(r Rank, now time.Duration) State {
	m := &n.members[r]
	switch {
	case m.row.Life == 0 && m.missed >= min(2, n.missedMost()):
		return Silent
	case m.row.Life == 0:
		return Unknown
	case m.row.State != Suspect:
		return m.row.State
	case m.direct == m.row.Life && m.heard > m.suspected:
		return Alive // it speaks here: whoever suspects it has another trouble
	case now-m.suspected >= n.patience():
		return Dead
	}
	return Suspect
}

// patience is how long a suspect has to speak up.
func (n *Node) patience() time.Duration {
	return time.Duration(suspectTimes * max(1, math.Log10(float64(n.cfg.Size))) * float64(n.cfg.Period))
}

// Member is what is known of one sidecar.
func (n *Node) Member(r Rank, now time.Duration) Member {
	m := &n.members[r]
	k := Member{
		Rank: r, Life: m.row.Life, State: n.status(r, now), Phase: m.row.Phase, Traffic: decodeTraffic(m.row.Traffic),
		Age: max(0, now-m.row.Born), Direct: r == n.cfg.Self || m.direct != 0 && m.direct == m.row.Life,
	}
	if k.Direct && r != n.cfg.Self {
		k.Age = max(0, now-m.born) // whatever others make of it
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

// Speaking yields the others that live and told of this life of theirs themselves: whose
// word is a voice.
func (n *Node) Speaking(now time.Duration) iter.Seq[Member] {
	return func(yield func(Member) bool) {
		for m := range n.Members(now) {
			if m.Direct && m.Rank != n.cfg.Self && (m.State == Alive || m.State == Suspect) && !yield(m) {
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
	c := Count{Size: n.cfg.Size}
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

// jumpMost is how far ahead of what is known a life or a beat may be that somebody else
// tells of. Guards against a liar who gives another a life that it can't go above; what
// lies further ahead has to be heard from the sidecar itself. Lives count in ms.
const (
	jumpMost = uint64(3600_000)
	beatMost = 1 << 10
)

// admit takes a row that from tells of another sidecar.
func (n *Node) admit(now time.Duration, from Rank, r Row) {
	if int(r.Rank) >= len(n.members) || r.Life == 0 || r.Life >= lifeMost || r.State > Left {
		n.stats.Refused++
		return
	}
	if r.Rank == n.cfg.Self {
		n.answer(now, from, r)
		return
	}
	m := &n.members[r.Rank]
	if m.row.compare(r) >= 0 {
		if m.row.Life == r.Life {
			m.row.Born = min(m.row.Born, r.Born)
		}
		if m.row.compare(r) == 0 {
			n.known(pending{rank: r.Rank})
		}
		return
	}
	if m.row.Life > 0 && (r.Life > m.row.Life+jumpMost || r.Life == m.row.Life && r.Beat > m.row.Beat+beatMost) {
		n.stats.Refused++
		n.lookAt(r.Rank)
		return
	}
	if r.State != Alive && m.direct == r.Life && now-m.heard < n.cfg.Period {
		n.lookAt(r.Rank) // it spoke here a moment ago: it is told, and can speak for itself
	}
	n.take(now, r)
}

// take merges a row and makes it news.
func (n *Node) take(now time.Duration, r Row) {
	m := &n.members[r.Rank]
	before := m.row
	m.row = m.row.Join(r)
	if m.row.compare(before) == 0 {
		return
	}
	if m.row.State == Suspect && (before.State != Suspect || before.Life != m.row.Life) {
		m.suspected = now
	}
	if m.row.Life > before.Life {
		m.missed = 0
		n.facts.void(n, r.Rank, m.row.Life)
	}
	// Who speaks up against a suspicion, or has begun a new life, is told of at once.
	n.queue(now, pending{rank: r.Rank, hot: before.Life > 0 && before.State != Alive && m.row.State == Alive})
}

// hear takes a sidecar's row from itself.
func (n *Node) hear(now time.Duration, r Row) {
	m := &n.members[r.Rank]
	if !m.met {
		m.met = true
		n.heardOf++
	}
	m.heard, m.missed = now, 0
	if m.direct == 0 && m.row.Life > r.Life+jumpMost {
		m.row = Row{Rank: r.Rank} // known by hearsay only, and out of reach for itself
	}
	if r.Life < m.row.Life {
		return // it is told so, and goes above
	}
	if m.direct != r.Life {
		m.direct, m.born = r.Life, r.Born
	}
	m.born = min(m.born, r.Born)
	n.take(now, r)
}

// lifeClaim is a higher life of this sidecar that one other told of.
type lifeClaim struct {
	life uint64
	from Rank
}

// answer takes what another holds of this sidecar: it goes above a suspicion, and above a
// life before this one whose number is not lower. Two must tell of one that is far ahead,
// where there are two, so that no single liar can use the numbers up.
func (n *Node) answer(now time.Duration, from Rank, r Row) {
	if n.self.compare(r) >= 0 {
		return
	}
	if r.Life > n.self.Life {
		if far := r.Life > n.self.Life+jumpMost; far && n.cfg.Size > 2 {
			if n.rival.life == 0 || n.rival.from == from || r.Life >= lifeMost-1 {
				n.rival = lifeClaim{r.Life, from}
				return
			}
			r.Life = min(r.Life, n.rival.life)
		}
		n.rival = lifeClaim{}
		n.self.Life, n.self.Beat = r.Life+1, 0
		n.restamp(now)
	} else {
		n.self.Beat = max(n.self.Beat, r.Beat)
		if r.State == Suspect && n.self.State != Left {
			n.stats.Refuted++
			n.sicken(1)
		}
	}
	n.advance(now)
}
