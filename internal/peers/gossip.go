package peers

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// update is news to be passed on: a row or a fact that has changed.
type update struct {
	rank      Rank
	entry     entryKey
	isEntry   bool
	hot       bool // waits to be spread at once
	weight    int
	transmits int
}

// sameSubject says that both are news of the same row or fact.
func (p update) sameSubject(q update) bool {
	return q.isEntry == p.isEntry && q.entry == p.entry && q.rank == p.rank
}

// queueUpdate makes something news, in place of what was news of it before. What is hot leaves
// soon.
func (n *Node) queueUpdate(now time.Duration, p update) {
	n.updates = slices.DeleteFunc(n.updates, p.sameSubject)
	if len(n.updates) >= maxUpdates { // the one that was passed on most often, the lightest first
		least := 0
		for i, q := range n.updates {
			if o := n.updates[least]; cmp.Or(cmp.Compare(o.weight, q.weight), cmp.Compare(q.transmits, o.transmits)) > 0 {
				least = i
			}
		}
		n.updates = slices.Delete(n.updates, least, least+1)
	}
	n.updates = append(n.updates, p)
	if p.hot && n.hotDue == 0 {
		n.hotDue = now + time.Duration(n.rng.Float64()*float64(hotDelay)) + 1
	}
}

// maxTransmits is how often a piece of news is passed on.
func (n *Node) maxTransmits() int { return int(math.Ceil(transmitFactor * n.logSize)) }

// countDuplicate takes that another told news that is held already: after a few such words it is
// news to nobody (rumour mongering with a counter, Demers and others 1987).
func (n *Node) countDuplicate(p update) {
	for i := range n.updates {
		if q := &n.updates[i]; p.sameSubject(*q) {
			q.transmits += 1 + n.maxTransmits()/maxDuplicates
			return
		}
	}
}

// maxDuplicates words of others end one's own interest in a piece of news.
const maxDuplicates = 6

// updateOrder orders what is pending for a datagram: hot facts, weight, then what was passed on
// least, the latest first.
func (n *Node) updateOrder() []int {
	order := make([]int, len(n.updates))
	for i := range order {
		order[i] = len(order) - 1 - i
	}
	slices.SortStableFunc(order, func(a, b int) int {
		p, q := &n.updates[a], &n.updates[b]
		return cmp.Or(compareBool(q.hot, p.hot), cmp.Compare(q.weight, p.weight), cmp.Compare(p.transmits, q.transmits))
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
	n.tokens = min(n.config.Burst, n.tokens+n.config.Rate*(now-n.tokensUpdated).Seconds())
	n.tokensUpdated = now
	if n.tokens < MaxDatagram && !(must && n.tokens > -n.config.Burst) {
		n.stats.Withheld++
		return false
	}
	m.self = n.self
	w := newWriter(now)
	w.header(m)
	theirs := n.members[to].record
	if theirs.Incarnation > 0 && (theirs.State != Alive || n.members[to].directIncarnation != theirs.Incarnation) {
		w.addRecord(theirs) // it can speak for itself
	}
	if m.publish != nil {
		w.addEntry(*m.publish)
	}
	limit, hasCapacity := n.maxTransmits(), true
	order := n.updateOrder()
	if m.kind != kindUpdate && n.tokens < n.config.Burst/2 {
		order, hasCapacity = nil, false // the rest is kept for what is hot
	}
	for _, i := range order {
		p := &n.updates[i]
		if !p.isEntry && p.rank == to || p.isEntry && p.entry.owner == to {
			continue
		}
		if hasCapacity = n.addUpdate(now, w, p); !hasCapacity {
			break
		}
		p.transmits++
	}
	n.updates = slices.DeleteFunc(n.updates, func(p update) bool { return p.transmits >= limit })
	if hasCapacity {
		n.addFillers(now, w, to, m.kind == kindAck)
	}
	data := w.finish(n)
	n.tokens -= float64(len(data))
	n.stats.Sent++
	n.stats.SentBytes += uint64(len(data))
	n.out = append(n.out, Datagram{to, data})
	return true
}

// addUpdate adds one piece of news, false if it does not fit. What is news no more counts as
// packed.
func (n *Node) addUpdate(now time.Duration, w *writer, p *update) bool {
	if p.isEntry {
		stored := n.entries.byKey[p.entry]
		if stored == nil || !n.isCurrent(stored, now) {
			p.transmits = math.MaxInt - 1
			return true
		}
		return w.addEntry(stored.Entry)
	}
	if p.rank == n.config.Self {
		return true // it is in the head
	}
	return w.addRecord(n.members[p.rank].record)
}

// addFillers adds some of what is no news, in turn: for those that missed it. Whoever has just
// begun gets all that fits.
func (n *Node) addFillers(now time.Duration, w *writer, to Rank, answer bool) {
	left := maxFillers
	if m := &n.members[to]; answer && now-m.record.StartedAt < 10*n.config.Period {
		left = math.MaxInt
	}
	all := len(n.members) + len(n.entries.order)
	for tries := 0; tries < min(all, 64) && left > 0; tries++ {
		n.lastFiller = (n.lastFiller + 1) % all
		var ok bool
		if i := n.lastFiller - len(n.members); i >= 0 {
			stored := n.entries.byKey[n.entries.order[i]]
			if stored.Owner == to || !n.isCurrent(stored, now) {
				continue
			}
			ok = w.addEntry(stored.Entry)
		} else {
			r := Rank(n.lastFiller)
			if r == to || r == n.config.Self || n.members[r].record.Incarnation == 0 {
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

// maxPushRounds bounds the datagrams to each of a fan in which hot facts leave.
const maxPushRounds = 4

// pushHot passes hot facts on at once.
func (n *Node) pushHot(now time.Duration) {
	waits := func(p update) bool {
		return p.hot && p.transmits < n.config.Fanout && (p.isEntry || n.tokens > n.config.Burst/2)
	}
	// One datagram may not hold them all. What the ceiling keeps back goes with probes.
	for round := 0; round < maxPushRounds && slices.ContainsFunc(n.updates, waits); round++ {
		for _, r := range n.sample(n.config.Fanout, now, true) {
			n.send(now, r, message{kind: kindUpdate}, false)
		}
	}
	for i := range n.updates {
		n.updates[i].hot = false
	}
}

// Receive takes a datagram that came from a sidecar's address.
func (n *Node) Receive(now time.Duration, from Rank, data []byte) error {
	if int(from) >= len(n.members) || from == n.config.Self {
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
	n.receiveSenderRecord(now, d.self)
	for _, r := range d.records {
		if r.Rank == from {
			n.stats.Rejected++ // its own row is in the head
			continue
		}
		n.receiveIndirectRecord(now, from, r)
	}
	for _, entry := range d.entries {
		n.receiveEntry(now, from, entry)
	}
	switch d.kind {
	case kindPing:
		n.send(now, from, message{kind: kindAck, seq: d.seq}, true)
	case kindAck:
		n.receiveAck(now, from, d.seq)
	case kindPingRequest:
		n.relayProbe(now, from, d.target, d.seq)
	case kindIndirectAck:
		n.receiveIndirectAck(now, d.target, d.seq)
	case kindPull:
		if entry := n.localEntries[d.pulled]; entry != nil {
			n.send(now, from, message{kind: kindUpdate, publish: entry}, false)
		}
	}
	return nil
}
