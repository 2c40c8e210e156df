package peers

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// pending is news to be passed on: a row or a fact that has changed.
type pending struct {
	rank    Rank
	entry   entryKey
	isEntry bool
	hot     bool // waits to be spread at once
	weight  int
	sent    int
}

// same says that both are news of the same row or fact.
func (p pending) same(q pending) bool {
	return q.isEntry == p.isEntry && q.entry == p.entry && q.rank == p.rank
}

// queue makes something news, in place of what was news of it before. What is hot leaves
// soon.
func (n *Node) queue(now time.Duration, p pending) {
	n.pending = slices.DeleteFunc(n.pending, p.same)
	if len(n.pending) >= maxPending { // the one that was passed on most often, the lightest first
		least := 0
		for i, q := range n.pending {
			if o := n.pending[least]; cmp.Or(cmp.Compare(o.weight, q.weight), cmp.Compare(q.sent, o.sent)) > 0 {
				least = i
			}
		}
		n.pending = slices.Delete(n.pending, least, least+1)
	}
	n.pending = append(n.pending, p)
	if p.hot && n.hotAt == 0 {
		n.hotAt = now + time.Duration(n.rng.Float64()*float64(hotDelay)) + 1
	}
}

// maxSent is how often a piece of news is passed on.
func (n *Node) maxSent() int { return int(math.Ceil(sentFactor * n.logN)) }

// known takes that another told news that is held already: after a few such words it is
// news to nobody (rumour mongering with a counter, Demers and others 1987).
func (n *Node) known(p pending) {
	for i := range n.pending {
		if q := &n.pending[i]; p.same(*q) {
			q.sent += 1 + n.maxSent()/maxKnown
			return
		}
	}
}

// maxKnown words of others end one's own interest in a piece of news.
const maxKnown = 6

// news orders what is pending for a datagram: hot facts, weight, then what was passed on
// least, the latest first.
func (n *Node) news() []int {
	order := make([]int, len(n.pending))
	for i := range order {
		order[i] = len(order) - 1 - i
	}
	slices.SortStableFunc(order, func(a, b int) int {
		p, q := &n.pending[a], &n.pending[b]
		return cmp.Or(compareBool(q.hot, p.hot), cmp.Compare(q.weight, p.weight), cmp.Compare(p.sent, q.sent))
	})
	return order
}

func compareBool(a, b bool) int {
	switch {
	case a == b:
		return 0
	case a:
		return 1
	}
	return -1
}

// send puts a datagram to one sidecar into Out, with as much news as fits, if the ceiling
// allows; must lets it pass into debt of one burst: what keeps the fleet together.
func (n *Node) send(now time.Duration, to Rank, m message, must bool) bool {
	n.tokens = min(n.cfg.Burst, n.tokens+n.cfg.Rate*(now-n.filled).Seconds())
	n.filled = now
	if n.tokens < MaxDatagram && !(must && n.tokens > -n.cfg.Burst) {
		n.stats.Withheld++
		return false
	}
	m.self = n.self
	w := newWriter(now)
	w.head(m)
	theirs := n.members[to].record
	if theirs.Incarnation > 0 && (theirs.State != Alive || n.members[to].direct != theirs.Incarnation) {
		w.addRecord(theirs) // it can speak for itself
	}
	if m.publish != nil {
		w.addEntry(*m.publish)
	}
	limit, room := n.maxSent(), true
	order := n.news()
	if m.kind != kindUpdate && n.tokens < n.cfg.Burst/2 {
		order, room = nil, false // the rest is kept for what is hot
	}
	for _, i := range order {
		p := &n.pending[i]
		if !p.isEntry && p.rank == to || p.isEntry && p.entry.owner == to {
			continue
		}
		if room = n.pack(now, w, p); !room {
			break
		}
		p.sent++
	}
	n.pending = slices.DeleteFunc(n.pending, func(p pending) bool { return p.sent >= limit })
	if room {
		n.filler(now, w, to, m.kind == kindAck)
	}
	data := w.done(n)
	n.tokens -= float64(len(data))
	n.stats.Sent++
	n.stats.SentBytes += uint64(len(data))
	n.out = append(n.out, Datagram{to, data})
	return true
}

// pack adds one piece of news, false if it does not fit. What is news no more counts as
// packed.
func (n *Node) pack(now time.Duration, w *writer, p *pending) bool {
	if p.isEntry {
		h := n.facts.byKey[p.entry]
		if h == nil || !n.valid(h, now) {
			p.sent = math.MaxInt - 1
			return true
		}
		return w.addEntry(h.Entry)
	}
	if p.rank == n.cfg.Self {
		return true // it is in the head
	}
	return w.addRecord(n.members[p.rank].record)
}

// filler adds some of what is no news, in turn: for those that missed it. Whoever has just
// begun gets all that fits.
func (n *Node) filler(now time.Duration, w *writer, to Rank, answer bool) {
	left := fillers
	if m := &n.members[to]; answer && now-m.record.Born < 10*n.cfg.Period {
		left = math.MaxInt
	}
	all := len(n.members) + len(n.facts.order)
	for tries := 0; tries < min(all, 64) && left > 0; tries++ {
		n.fill = (n.fill + 1) % all
		var ok bool
		if i := n.fill - len(n.members); i >= 0 {
			h := n.facts.byKey[n.facts.order[i]]
			if h.Owner == to || !n.valid(h, now) {
				continue
			}
			ok = w.addEntry(h.Entry)
		} else {
			r := Rank(n.fill)
			if r == to || r == n.cfg.Self || n.members[r].record.Incarnation == 0 {
				continue
			}
			ok = w.addRecord(n.members[r].record)
		}
		if !ok {
			return
		}
		left--
	}
}

// maxSpread bounds the datagrams to each of a fan in which hot facts leave.
const maxSpread = 4

// spread passes hot facts on at once.
func (n *Node) spread(now time.Duration) {
	waits := func(p pending) bool {
		return p.hot && p.sent < n.cfg.Fan && (p.isEntry || n.tokens > n.cfg.Burst/2)
	}
	// One datagram may not hold them all. What the ceiling keeps back goes with probes.
	for round := 0; round < maxSpread && slices.ContainsFunc(n.pending, waits); round++ {
		for _, r := range n.sample(n.cfg.Fan, now, true) {
			n.send(now, r, message{kind: kindUpdate}, false)
		}
	}
	for i := range n.pending {
		n.pending[i].hot = false
	}
}

// Receive takes a datagram that came from a sidecar's address.
func (n *Node) Receive(now time.Duration, from Rank, data []byte) error {
	if int(from) >= len(n.members) || from == n.cfg.Self {
		return errSelf
	}
	n.stats.Received++
	n.stats.ReceivedBytes += uint64(len(data))
	d, err := n.decode(now, data)
	if err != nil {
		n.stats.Damaged++
		return err
	}
	d.self.Rank = from // nobody speaks in another's name
	n.receiveRecord(now, d.self)
	for _, r := range d.rows {
		if r.Rank == from {
			n.stats.Rejected++ // its own row is in the head
			continue
		}
		n.admit(now, from, r)
	}
	for _, f := range d.facts {
		n.receiveEntry(now, from, f)
	}
	switch d.kind {
	case kindPing:
		n.send(now, from, message{kind: kindAck, seq: d.seq}, true)
	case kindAck:
		n.acked(now, from, d.seq)
	case kindReach:
		n.reach(now, from, d.target, d.seq)
	case kindFound:
		n.found(now, d.target, d.seq)
	case kindPull:
		if f := n.localEntries[d.about]; f != nil {
			n.send(now, from, message{kind: kindUpdate, publish: f}, false)
		}
	}
	return nil
}
