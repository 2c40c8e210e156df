// Package peers is what the sidecars of one fleet tell each other, without I/O, clock or
// goroutine: who lives, in which life and phase, and facts that each may tell of itself.
//
// A Node is one sidecar's part. Its owner hands it datagrams as they come and calls Tick
// when Due says so; what the Node wants sent lies in Out. Datagrams may be lost, late,
// doubled and out of order, and hold 256 bytes at most. What it promises:
//
//   - Rows and facts merge as a join-semilattice (Row.Join, Fact.Join): whatever the order,
//     loss or repetition, those who have heard the same hold the same.
//   - Nothing rests on another's wall clock: ages travel, and only make what is told older.
//   - What a sidecar sends in a second has a ceiling in bytes that does not depend on the
//     fleet's size.
//   - Who says something of itself is told from who passes it on (Fact.Direct): whoever
//     lies has one voice, its own, where a decision asks for direct words.
//
// It does not know servers, requests or what a fact means, and it sends to no server.
// Views may differ: what is built on them has to be safe when they do.
package peers

import (
	"cmp"
	"errors"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"
)

// Rank is a sidecar's number in the fleet, from 0, as the settings have it.
type Rank uint16

// MaxDatagram is the longest datagram, in bytes.
const MaxDatagram = 256

// Config is what a Node is told. The zero value of a tuning field means its default.
type Config struct {
	Cluster     string // names the fleet: datagrams of another one are dropped
	Self        Rank
	Size        int    // sidecars in the fleet, this one included
	Incarnation uint64 // number of this life; a later one has a higher one, see Node.Life
	Kinds       []Kind // of the facts that are told here; others are dropped

	Period  time.Duration // between two probes
	Timeout time.Duration // of a probe, before others are asked to try
	Rate    float64       // bytes a second to send, at most
	Burst   float64       // bytes that may be saved up
	Fanout  int           // to how many a new fact of a hot kind is passed on
}

// Kind is a sort of facts.
type Kind struct {
	ID     uint8
	TTL    time.Duration // a fact older than this is forgotten
	Weight int           // higher goes first where not all fits
	Hot    bool          // passed on at once, by everyone who learns of it
}

// ConfigError says what of a configuration can't be.
type ConfigError struct{ Field, Want string }

// Error implements error.
func (e *ConfigError) Error() string { return fmt.Sprintf("peers: %s must be %s", e.Field, e.Want) }

// Advice says what an operator can do.
func (e *ConfigError) Advice() string {
	return "correct " + e.Field + " in the sidecar's configuration; without peers it serves as it did alone"
}

// The defaults, and bounds that are nobody's to set.
const (
	defaultPeriod  = time.Second
	defaultTimeout = 250 * time.Millisecond // longest way there and back on the platform: 70 ms
	defaultRate    = 600.0                  // two full datagrams a second, and some of facts
	defaultBurst   = 4096.0
	defaultFanout  = 4

	maxSize            = 1 << 16
	maxIncarnation     = 1 << 52 // of a life's number: room to go above any that is told
	maxEntries         = 2048
	maxEntriesPerOwner = 64 // of one owner
	maxUpdates         = 512
	startFanout        = 8 // asked at once at the start
	startRounds        = 3 // so often, while fewer than half of a fan have answered
	startInterval      = 90 * time.Millisecond
	hotDelay           = 20 * time.Millisecond // new facts that come together leave together
	indirectProbes     = 3
	suspicionFactor    = 4  // periods that a suspect has to speak up, times log of the fleet
	maxHealth          = 8  // Lifeguard's: how far one's own slowness stretches probes
	transmitFactor     = 3  // how often news is passed on, times log of the fleet
	maxFillers         = 3  // old rows in a datagram that has room
	maxPriorityProbes  = 64 // members to be probed out of turn
	trafficInterval    = 30 * time.Second
)

// Node is one sidecar's part in the fleet. It is not safe for use by several goroutines.
type Node struct {
	config  Config
	rng     *rand.Rand
	kinds   map[uint8]*Kind
	logSize float64

	self         Record
	members      []member
	entries      entryTable
	localEntries map[entryKey]*Entry // this life's
	sequence     uint32              // of this life's words

	updates       []update // news to pass on
	lastFiller    int      // where the next filler is looked for
	out           []Datagram
	tokens        float64
	tokensUpdated time.Duration // when tokens were

	probeOrder       []Rank // of probes, in this round
	priorityProbes   []Rank // to be probed before
	probe            *probe
	relays           []relay
	seq              uint32
	health           int
	claimed          incarnationClaim
	probeDue         time.Duration // the next probe
	startRoundsLeft  int           // rounds left
	startPingDue     time.Duration
	hotDue           time.Duration // when hot facts leave; 0: none wait
	contactedMembers int           // members that spoke since the start
	trafficPublished time.Duration // when traffic was told last
	expectedTick     time.Duration // when Tick was due last, to see one's own slowness
	stats            Stats
}

// Datagram is one to send.
type Datagram struct {
	To   Rank
	Data []byte
}

// Stats counts what a Node has done.
type Stats struct {
	Sent, SentBytes         uint64
	Received, ReceivedBytes uint64
	Damaged                 uint64 // did not decode, or came from another fleet
	Rejected                uint64 // rows and facts that can't be, by what is known
	Withheld                uint64 // datagrams that the ceiling kept back
	Refuted                 uint64 // suspicions of this sidecar
	Suspected               uint64 // by this sidecar itself
	Forgotten               uint64 // facts that a bound pushed out
}

// New returns a Node that begins its life at now. Random choices are drawn from rng.
func New(config Config, now time.Duration, rng *rand.Rand) (*Node, error) {
	switch {
	case config.Size < 1 || config.Size > maxSize:
		return nil, &ConfigError{"peers", fmt.Sprintf("a list of 1 to %d addresses", maxSize)}
	case int(config.Self) >= config.Size:
		return nil, &ConfigError{"settings.rank", fmt.Sprintf("below the number of peers, which is %d", config.Size)}
	case config.Incarnation == 0 || config.Incarnation >= maxIncarnation:
		return nil, &ConfigError{"the life's number", fmt.Sprintf("from 1 to %d", uint64(maxIncarnation-1))}
	}
	config.Period = cmp.Or(config.Period, defaultPeriod)
	config.Timeout = cmp.Or(config.Timeout, min(defaultTimeout, config.Period/3))
	config.Rate, config.Burst, config.Fanout = cmp.Or(config.Rate, defaultRate), cmp.Or(config.Burst, defaultBurst), cmp.Or(config.Fanout, defaultFanout)
	n := &Node{
		config:          config,
		rng:             rng,
		kinds:           make(map[uint8]*Kind),
		logSize:         math.Log2(float64(config.Size) + 1),
		self:            Record{Rank: config.Self, Incarnation: config.Incarnation, StartedAt: now},
		members:         make([]member, config.Size),
		entries:         entryTable{byKey: make(map[entryKey]*storedEntry), byOwner: make(map[Rank]int)},
		localEntries:    make(map[entryKey]*Entry),
		tokens:          config.Burst,
		tokensUpdated:   now,
		startRoundsLeft: startRounds,
		startPingDue:    now,
		probeDue:        now + time.Duration(rng.Float64()*float64(config.Period)),
	}
	for i := range config.Kinds {
		n.kinds[config.Kinds[i].ID] = &config.Kinds[i]
	}
	for r := range n.members {
		n.members[r].record.Rank = Rank(r)
	}
	n.members[config.Self].record = n.self
	if config.Size == 1 {
		n.startRoundsLeft = 0
	}
	n.expectedTick = n.Due()
	return n, nil
}

// Due is when Tick is to be called next.
func (n *Node) Due() time.Duration {
	due := n.probeDue
	if n.startRoundsLeft > 0 {
		due = min(due, n.startPingDue)
	}
	if n.hotDue > 0 {
		due = min(due, n.hotDue)
	}
	if p := n.probe; p != nil {
		due = min(due, p.next)
	}
	return due
}

// Out hands over the datagrams to be sent now.
func (n *Node) Out() []Datagram {
	out := n.out
	n.out = nil
	return out
}

// Tick does what is due by now.
func (n *Node) Tick(now time.Duration) {
	if now-n.expectedTick > n.config.Period/2 && n.probe != nil {
		// This process hung: what did not come says nothing of others (Lifeguard).
		n.probe = nil
		n.adjustHealth(1)
	}
	if n.startRoundsLeft > 0 && now >= n.startPingDue {
		n.pingAtStart(now)
	}
	if p := n.probe; p != nil && now >= p.next {
		n.continueProbe(now, p)
	}
	if now >= n.probeDue {
		n.startProbe(now)
	}
	if n.hotDue > 0 && now >= n.hotDue {
		n.hotDue = 0
		n.pushHot(now)
	}
	n.entries.sweep(n, now)
	n.expectedTick = n.Due()
}

// pingAtStart asks some at once at the start, for all that follows from how old others are.
func (n *Node) pingAtStart(now time.Duration) {
	n.startRoundsLeft--
	n.startPingDue = now + startInterval
	if n.contactedMembers >= startFanout/2 {
		n.startRoundsLeft = 0
		return
	}
	for _, r := range n.sample(startFanout, now, false) {
		n.seq++
		n.send(now, r, message{kind: kindPing, seq: n.seq}, true)
	}
}

// sample draws up to k other members at random; living leaves out those that seem dead.
func (n *Node) sample(k int, now time.Duration, living bool) []Rank {
	var some []Rank
	for tries := 0; tries < 8*k && len(some) < k && len(some) < n.config.Size-1; tries++ {
		r := Rank(n.rng.IntN(n.config.Size))
		if s := n.status(r, now); r == n.config.Self || living && (s == Dead || s == Silent || s == Left) || slices.Contains(some, r) {
			continue
		}
		some = append(some, r)
	}
	return some
}

// SetPhase tells the fleet which phase this sidecar is in, 0 to 255. Within a life phases
// only go up; one below is ignored, and false returned.
func (n *Node) SetPhase(now time.Duration, phase uint8) bool {
	if phase < n.self.Phase {
		return false
	}
	if phase > n.self.Phase {
		n.self.Phase = phase
		n.advance(now)
	}
	return true
}

// SetTraffic tells how many requests a second come here. A change of less than a half is
// not worth telling, nor is a second one soon after: each is passed on by the whole fleet.
func (n *Node) SetTraffic(now time.Duration, perSecond float64) {
	t := int(encodeTraffic(perSecond))
	if off := t - int(n.self.Traffic); off >= -1 && off <= 1 || n.trafficPublished > 0 && now-n.trafficPublished < trafficInterval {
		return
	}
	n.self.Traffic, n.trafficPublished = uint8(t), now
	n.advance(now)
}

// Leave tells some that this sidecar ends on purpose: nobody has to suspect it.
func (n *Node) Leave(now time.Duration) {
	n.self.State = Left
	n.advance(now)
	for _, r := range n.sample(n.config.Fanout, now, true) {
		n.send(now, r, message{kind: kindUpdate}, true)
	}
}

// advance makes this sidecar's row news.
func (n *Node) advance(now time.Duration) {
	n.self.Heartbeat++
	n.members[n.config.Self].record = n.self
	n.queueUpdate(now, update{rank: n.config.Self, hot: true})
}

// Incarnation is the number of this life. It may rise: one that began with a lower number than
// the life before it (a clock that went back) takes a higher one once told.
func (n *Node) Incarnation() uint64 { return n.self.Incarnation }

// Stats counts what was done so far.
func (n *Node) Stats() Stats { return n.stats }

// Health is how slow this sidecar takes itself to be, from 0 (not at all) to 8.
func (n *Node) Health() int { return n.health }

func (n *Node) adjustHealth(by int) { n.health = max(0, min(n.health+by, maxHealth)) }

// errSelf is for datagrams in one's own name.
var errSelf = errors.New("peers: a datagram from oneself")
