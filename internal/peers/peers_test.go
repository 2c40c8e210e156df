package peers

import (
	"cmp"
	"errors"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// Kinds of entries in tests.
const hot, plain = 1, 2

func testConfig(self Rank, size int) Config {
	return Config{
		Cluster: "test", Self: self, Size: size, Incarnation: 1000,
		Kinds: []Kind{{ID: hot, TTL: time.Minute, Weight: 2, Hot: true}, {ID: plain, TTL: time.Minute, Weight: 1}},
	}
}

func newNode(t rapid.TB, config Config) *Node {
	t.Helper()
	n, err := New(config, 0, rand.New(rand.NewPCG(uint64(config.Self), 1)))
	if err != nil {
		t.Fatal(err)
	}
	return n
}

// datagramFrom returns a datagram in which from, in the given incarnation, sends records and entries.
func datagramFrom(from Rank, size int, incarnation uint64, now time.Duration, records []Record, entries []Entry) []byte {
	n := &Node{config: testConfig(from, size)}
	w := newWriter(now)
	w.header(message{kind: kindUpdate, self: Record{Incarnation: incarnation, StartedAt: 0}})
	for _, r := range records {
		w.addRecord(r)
	}
	for _, entry := range entries {
		w.addEntry(entry)
	}
	return w.finish(n)
}

func drawRecord(t *rapid.T) Record {
	return Record{
		Rank: 3, Incarnation: rapid.Uint64Range(1, 3).Draw(t, "life"), Heartbeat: rapid.Uint32Range(0, 2).Draw(t, "beat"),
		State: State(rapid.IntRange(0, int(Left)).Draw(t, "state")), Phase: rapid.Uint8Range(0, 2).Draw(t, "phase"),
		Traffic: rapid.Uint8Range(0, 2).Draw(t, "traffic"), StartedAt: time.Duration(rapid.IntRange(0, 3).Draw(t, "born")),
	}
}

func drawEntry(t *rapid.T) Entry {
	return Entry{
		Owner: Rank(rapid.IntRange(1, 4).Draw(t, "owner")), Kind: rapid.Uint8Range(hot, plain).Draw(t, "kind"),
		Subject: rapid.Uint64Range(1, 3).Draw(t, "subject"), Incarnation: rapid.Uint64Range(1, 3).Draw(t, "life"),
		Sequence: rapid.Uint32Range(1, 3).Draw(t, "count"), Value: rapid.Uint32Range(0, 2).Draw(t, "value"),
		CreatedAt: time.Duration(rapid.IntRange(0, 20).Draw(t, "born")) * ageUnit,
	}
}

// laws checks that join is commutative, associative and idempotent.
func laws[T comparable](t *rapid.T, join func(a, b T) T, a, b, c T) {
	switch {
	case join(a, b) != join(b, a):
		t.Errorf("order matters: %+v, %+v", join(a, b), join(b, a))
	case join(join(a, b), c) != join(a, join(b, c)):
		t.Errorf("grouping matters: %+v, %+v", join(join(a, b), c), join(a, join(b, c)))
	case join(a, a) != a || join(join(a, b), b) != join(a, b):
		t.Errorf("repetition matters: %+v", join(a, b))
	}
}

func TestJoinLaws(t *testing.T) {
	t.Run("records", rapid.MakeCheck(func(t *rapid.T) { laws(t, Record.Join, drawRecord(t), drawRecord(t), drawRecord(t)) }))
	t.Run("entries", rapid.MakeCheck(func(t *rapid.T) {
		a, b, c := drawEntry(t), drawEntry(t), drawEntry(t)
		b.Owner, b.Kind, b.Subject, c.Owner, c.Kind, c.Subject = a.Owner, a.Kind, a.Subject, a.Owner, a.Kind, a.Subject
		laws(t, Entry.Join, a, b, c)
	}))
}

// state returns what a node holds, except whether it is direct.
func state(n *Node, now time.Duration) (records []Record, entries []Entry) {
	for r := range n.members {
		if Rank(r) != n.config.Self {
			records = append(records, n.members[r].record)
		}
	}
	for _, kind := range []uint8{hot, plain} {
		for entry := range n.Entries(now, kind) {
			entry.Direct = false
			entries = append(entries, entry)
		}
	}
	slices.SortFunc(entries, func(a, b Entry) int {
		return cmp.Or(cmp.Compare(a.Owner, b.Owner), cmp.Compare(a.Kind, b.Kind), cmp.Compare(a.Subject, b.Subject))
	})
	return records, entries
}

// Nodes that receive the same datadatagrams hold the same state, whatever the order and the repetition,
// and nothing of an earlier incarnation.
func TestStateIndependentOfOrderAndRepetition(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const size, now = 6, 10 * time.Second
		var datagrams [][]byte
		var from []Rank
		for range rapid.IntRange(1, 12).Draw(t, "datadatagrams") {
			sender := Rank(rapid.IntRange(1, 5).Draw(t, "teller"))
			var records []Record
			if r := drawRecord(t); r.Rank != sender {
				records = append(records, r)
			}
			datagrams = append(datagrams, datagramFrom(sender, size, uint64(rapid.IntRange(1, 3).Draw(t, "own life")), now, records, []Entry{drawEntry(t), drawEntry(t)}))
			from = append(from, sender)
		}
		receive := func(order []int) *Node {
			n := newNode(t, testConfig(0, size))
			for _, i := range order {
				if err := n.Receive(now, from[i], datagrams[i]); err != nil {
					t.Fatal(err)
				}
			}
			return n
		}
		order := make([]int, len(datagrams))
		for i := range order {
			order[i] = i
		}
		other := rapid.Permutation(append(slices.Clone(order), order...)).Draw(t, "order")
		ra, fa := state(receive(order), now)
		rb, fb := state(receive(other), now)
		if !slices.Equal(ra, rb) {
			t.Errorf("records differ:\n%+v\n%+v", ra, rb)
		}
		if !slices.Equal(fa, fb) {
			t.Errorf("entries differ:\n%+v\n%+v", fa, fb)
		}
		for _, entry := range fa {
			if entry.Incarnation < ra[entry.Owner-1].Incarnation {
				t.Errorf("an entry of an earlier incarnation: %+v, its owner's is %d", entry, ra[entry.Owner-1].Incarnation)
			}
		}
	})
}

// A lying member can't raise others' incarnations or heartbeats out of their reach, can't send in
// another's name, and entries that it forwards are not direct.
func TestLiarCannotSpeakForOthers(t *testing.T) {
	const size, liar, victim, now = 5, 4, 2, 20 * time.Second
	n := newNode(t, testConfig(0, size))
	honest := newNode(t, testConfig(victim, size))
	meet := func(to, by *Node, at time.Duration) {
		by.send(at, to.config.Self, message{kind: kindUpdate}, true)
		for _, d := range by.Out() {
			if d.To == to.config.Self {
				if err := to.Receive(at, by.config.Self, d.Data); err != nil {
					t.Fatal(err)
				}
			}
		}
	}
	meet(n, honest, now)
	lies := datagramFrom(liar, size, 1000, now, []Record{
		{Rank: victim, Incarnation: maxIncarnation - 1},
		{Rank: victim, Incarnation: 1000, Heartbeat: 1 << 30, State: Left},
		{Rank: victim, Incarnation: 1000, Heartbeat: 0, State: Suspect, StartedAt: -1000 * time.Hour},
		{Rank: 0, Incarnation: maxIncarnation - 2},
		{Rank: liar, Incarnation: 7, State: Left},
	}, []Entry{
		{Owner: victim, Kind: hot, Subject: 5, Incarnation: 1000, Sequence: 9, Value: 1, CreatedAt: now},
		{Owner: 1, Kind: hot, Subject: 5, Incarnation: 1, Sequence: 9, Value: 1, CreatedAt: now},
		{Owner: 0, Kind: hot, Subject: 6, Incarnation: 1000, Sequence: 1<<32 - 1, Value: 1, CreatedAt: now},
		{Owner: liar, Kind: hot, Subject: 5, Incarnation: 1000, Sequence: 1, Value: 1, CreatedAt: now},
	})
	for range 3 {
		if err := n.Receive(now, liar, lies); err != nil {
			t.Fatal(err)
		}
	}
	if m := n.Member(victim, now); m.Incarnation != 1000 || m.State == Left || m.State == Dead || m.Age > now {
		t.Errorf("the victim's record is %+v", m)
	}
	if n.Incarnation() > 1001 {
		t.Errorf("one member raised this one's incarnation to %d", n.Incarnation())
	}
	direct := 0
	for entry := range n.Entries(now, hot) {
		if entry.Direct {
			direct++
		}
		if entry.Owner == 0 && entry.Value != 0 {
			t.Errorf("a forged entry of this member is stored: %+v", entry)
		}
	}
	if direct != 2 { // the liar's own, and this member's withdrawal of the forged one
		t.Errorf("%d entries count as direct", direct)
	}
	for step := range 4 { // the victim receives the claims, and refutes them
		meet(honest, n, now+time.Duration(step)*time.Second)
		meet(n, honest, now+time.Duration(step)*time.Second)
	}
	if m := n.Member(victim, now+4*time.Second); m.State != Alive {
		t.Errorf("the victim refuted the claims; its state is %v", m.State)
	}
}

// An incarnation below the member's earlier one, after a clock went back by years, rises above that
// once two members have reported it.
func TestIncarnationRisesAboveEarlierOne(t *testing.T) {
	const size, far = 4, 50 * 365 * 24 * 3600_000
	config := testConfig(1, size)
	n := newNode(t, config)
	for _, c := range []struct {
		teller Rank
		want   uint64
	}{{2, 1000}, {2, 1000}, {3, far + 1}} {
		n.Receive(time.Second, c.teller, datagramFrom(c.teller, size, 5, time.Second, []Record{{Rank: 1, Incarnation: far, Heartbeat: 7, Phase: 3}}, nil))
		if n.Incarnation() != c.want {
			t.Errorf("after a report of %d the incarnation is %d, want %d", c.teller, n.Incarnation(), c.want)
		}
	}
	n.Receive(time.Second, 2, datagramFrom(2, size, 5, time.Second, []Record{{Rank: 1, Incarnation: far + 10}}, nil))
	if n.Incarnation() != far+11 {
		t.Errorf("an incarnation just ahead: the incarnation is %d", n.Incarnation())
	}
}

// Within an incarnation phases never decrease, whatever is set and received.
func TestPhasesNeverDecrease(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const size = 3
		n, other := newNode(t, testConfig(1, size)), newNode(t, testConfig(0, size))
		seen := Record{}
		for i := range rapid.IntRange(1, 30).Draw(t, "steps") {
			now := time.Duration(i) * 100 * time.Millisecond
			switch rapid.IntRange(0, 2).Draw(t, "what") {
			case 0:
				n.SetPhase(now, rapid.Uint8Range(0, 5).Draw(t, "phase"))
			case 1:
				r := drawRecord(t)
				r.Rank, r.Incarnation = 1, 1000+r.Incarnation-1
				n.Receive(now, 2, datagramFrom(2, size, 5, now, []Record{r}, nil))
			case 2:
				n.send(now, 0, message{kind: kindUpdate}, true)
			}
			datagrams := n.Out()
			if len(datagrams) > 0 && rapid.Bool().Draw(t, "late") {
				slices.Reverse(datagrams)
			}
			for _, d := range datagrams {
				if d.To == 0 {
					other.Receive(now, 1, d.Data)
				}
			}
			record := other.members[1].record
			if record.Incarnation == seen.Incarnation && record.Phase < seen.Phase && record.Heartbeat <= seen.Heartbeat {
				t.Fatalf("from %+v back to %+v", seen, record)
			}
			seen = record
		}
	})
}

// Under any load a datagram holds at most 256 bytes, and what is sent and stored stays within its
// bounds.
func TestBounds(t *testing.T) {
	const size = 400
	n := newNode(t, testConfig(0, size))
	sent := 0
	for now := time.Duration(0); now < 60*time.Second; now += 20 * time.Millisecond {
		for range 3 {
			owner := Rank(1 + n.rng.IntN(size-1))
			if n.rng.IntN(2) == 0 {
				owner = 1
			}
			entry := Entry{Owner: owner, Kind: hot, Subject: n.rng.Uint64(), Incarnation: 5, Sequence: n.rng.Uint32(), Value: n.rng.Uint32(), CreatedAt: now}
			n.Receive(now, owner, datagramFrom(owner, size, 5, now, []Record{{Rank: Rank(1 + n.rng.IntN(size-1)), Incarnation: n.rng.Uint64N(1000) + 1}}, []Entry{entry}))
		}
		n.Publish(now, plain, n.rng.Uint64(), 1)
		if now >= n.Due() {
			n.Tick(now)
		}
		for _, d := range n.Out() {
			if len(d.Data) > MaxDatagram {
				t.Fatalf("a datagram of %d bytes", len(d.Data))
			}
			sent += len(d.Data)
		}
	}
	if limit := int(60*n.config.Rate + 2*n.config.Burst); sent > limit {
		t.Errorf("%d bytes sent in a minute, the limit is %d", sent, limit)
	}
	switch {
	case len(n.entries.byKey) > maxEntries, n.entries.byOwner[1] > maxEntriesPerOwner, n.entries.byOwner[0] > maxEntriesPerOwner:
		t.Errorf("%d entries, %d of one owner, %d of its own", len(n.entries.byKey), n.entries.byOwner[1], n.entries.byOwner[0])
	case len(n.entries.order) != len(n.entries.byKey), len(n.localEntries) > maxEntriesPerOwner, len(n.updates) > maxUpdates, len(n.priorityProbes) > maxPriorityProbes:
		t.Errorf("%d in order of %d, %d own, %d updates, %d priority probes", len(n.entries.order), len(n.entries.byKey), len(n.localEntries), len(n.updates), len(n.priorityProbes))
	}
}

// A process that was suspended lowers its own health instead of suspecting the members whose
// acknowledgements it missed.
func TestHungProcessSuspectsItself(t *testing.T) {
	n := newNode(t, testConfig(0, 3))
	n.Receive(0, 1, datagramFrom(1, 3, 5, 0, nil, nil))
	n.Receive(0, 2, datagramFrom(2, 3, 5, 0, nil, nil))
	for now := time.Duration(0); now < time.Minute; now += 10 * time.Second { // each tick is late
		n.Tick(now)
	}
	if n.Stats().Suspected > 0 || n.Health() == 0 {
		t.Errorf("%d suspected by a suspended process, its health %d", n.Stats().Suspected, n.Health())
	}
}

// The errors of an invalid configuration and of an undecodable datagram have text and advice.
func TestErrorsHaveAdvice(t *testing.T) {
	type advised interface {
		error
		Advice() string
	}
	n := newNode(t, testConfig(0, 3))
	good := datagramFrom(1, 3, 5, 0, nil, nil)
	errs := []error{
		n.Receive(0, 1, nil),
		n.Receive(0, 1, make([]byte, 300)),
		n.Receive(0, 1, append(slices.Clone(good), 1)),
		n.Receive(0, 1, datagramFrom(1, 3, 0, 0, nil, nil)),
	}
	for _, edit := range []func(*Config){func(c *Config) { c.Size = 0 }, func(c *Config) { c.Self = 3 }, func(c *Config) { c.Incarnation = 0 }} {
		config := testConfig(0, 3)
		edit(&config)
		_, err := New(config, 0, rand.New(rand.NewPCG(1, 1)))
		errs = append(errs, err)
	}
	for i, err := range errs {
		var a advised
		if !errors.As(err, &a) || a.Advice() == "" || a.Error() == "" {
			t.Errorf("error %d, %v, has no advice", i, err)
		}
	}
	if n.Stats().Damaged != 4 {
		t.Errorf("%d counted as damaged", n.Stats().Damaged)
	}
	if err := n.Receive(0, 0, good); !errors.Is(err, errSelf) {
		t.Errorf("a datagram from oneself: %v", err)
	}
}

func FuzzReceive(f *testing.F) {
	records, entries := []Record{{Rank: 2, Incarnation: 9, State: Suspect}}, []Entry{{Owner: 2, Kind: hot, Subject: 1, Incarnation: 9, Sequence: 1, Value: 1}}
	f.Add(datagramFrom(1, 3, 5, 0, records, entries)[4:])
	f.Add([]byte{Version, byte(kindPull)})
	f.Fuzz(func(t *testing.T, body []byte) {
		n := newNode(t, testConfig(0, 3))
		sum := n.checksum(body)
		data := append([]byte{byte(sum >> 24), byte(sum >> 16), byte(sum >> 8), byte(sum)}, body...)
		if n.Receive(0, 1, data) != nil {
			return
		}
		n.Tick(time.Second)
		for _, d := range n.Out() {
			if len(d.Data) > MaxDatagram {
				t.Fatalf("%d bytes", len(d.Data))
			}
			if _, err := n.decode(time.Second, d.Data); err != nil {
				t.Fatalf("a sent datagram can't be decoded: %v", err)
			}
		}
	})
}
