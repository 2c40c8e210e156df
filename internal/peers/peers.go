// Package peers is the gossip protocol between the sidecars of one fleet. It owns the membership
// (state, incarnation and phase of each sidecar) and entries that each sidecar publishes about
// itself. It has no I/O, clock or goroutine.
//
// A Node is one member. Its caller passes it the datagrams that arrive, calls Tick at the time that
// Due returns, and sends the datagrams that Out returns. Datagrams may be lost, delayed, duplicated
// and reordered, and have at most 256 bytes. The protocol guarantees:
//
//   - Records and entries merge as a join-semilattice (Record.Join, Entry.Join): members that
//     received the same information have the same state, whatever the order, loss or repetition.
//   - No result depends on another member's wall clock: datagrams carry ages, and merging
//     never makes information younger.
//   - The bytes that a member sends per second have a limit that does not depend on the fleet's
//     size.
//   - Information received from its owner is distinguished from forwarded information
//     (Entry.Direct): a member that lies has one vote, its own, in decisions that require direct
//     entries.
//
// The package does not know servers, requests or the meaning of an entry, and it sends nothing to
// servers. Members' views may differ, and code that uses them must be safe when they do.
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

// Rank is a sidecar's number in the fleet, from 0, as in the settings.
type Rank uint16

// MaxDatagram is the maximum length of a datagram, in bytes.
const MaxDatagram = 256

// Config configures a Node. The zero value of a tuning field means its default.
type Config struct {
	Cluster     string // name of the fleet; datagrams of another one are dropped
	Self        Rank
	Size        int         // number of sidecars in the fleet, including this one
	Incarnation uint64      // of this process; a later process has a higher one, see Node.Incarnation
	Kinds       []EntryKind // accepted kinds of entries; others are dropped

	Period  time.Duration // interval between probes
	Timeout time.Duration // of a direct probe, before indirect ones are requested
	Rate    float64       // maximum bytes sent per second
	Burst   float64       // capacity of the token bucket, in bytes
	Fanout  int           // number of members to which a new hot entry is forwarded
}

// EntryKind configures a kind of entry.
type EntryKind struct {
	ID     uint8
	TTL    time.Duration // an older entry is dropped
	Weight int           // entries of higher weight are sent first if not all fit
	Hot    bool          // forwarded immediately by every member that receives it
}

// ConfigError reports an invalid field of a configuration.
type ConfigError struct{ Field, Want string }

// Error implements error.
func (e *ConfigError) Error() string { return fmt.Sprintf("peers: %s must be %s", e.Field, e.Want) }

// Advice returns the operator's next step.
func (e *ConfigError) Advice() string {
	return "correct " + e.Field + " in the sidecar's configuration; without peers the sidecar serves without the others"
}

// Defaults of the tuning fields, and bounds that can't be configured.
const (
	defaultPeriod  = time.Second
	defaultTimeout = 250 * time.Millisecond // the platform's longest round trip is 70 ms
	defaultRate    = 600.0                  // two full datagrams and some entries per second
	defaultBurst   = 4096.0
	defaultFanout  = 4

	maxSize            = 1 << 16
	maxIncarnation     = 1 << 52 // leaves room above every incarnation that is accepted from others
	maxEntries         = 2048
	maxEntriesPerOwner = 64 // bounds the memory that one owner can claim
	maxUpdates         = 512
	startFanout        = 8 // members pinged in each round at the start
	startRounds        = 3 // maximum number of rounds; the rounds end once startFanout/2 members have sent a datagram
	startInterval      = 90 * time.Millisecond
	hotDelay           = 20 * time.Millisecond // maximum delay, during which hot entries are collected into one datagram
	indirectProbes     = 3
	suspicionFactor    = 4  // a suspect counts as dead after this number of periods times log10 of the fleet's size, or times 1 in a fleet below 10
	maxHealth          = 8  // probe intervals are multiplied by Health plus 1, so by 9 at most, as in Lifeguard (Dadgar et al. 2018)
	transmitFactor     = 3  // an update is sent this number times log2 of the fleet's size
	maxFillers         = 3  // known records and entries added to a datagram with free space
	maxPriorityProbes  = 64 // members queued to be probed out of turn
	trafficInterval    = 30 * time.Second
)

// Node is one member of the fleet. It is not safe for concurrent use.
type Node struct {
	config  Config
	rng     *rand.Rand
	kinds   map[uint8]*EntryKind
	logSize float64

	self         Record
	members      []member
	entries      entryTable
	localEntries map[entryKey]*Entry // this member's entries in this incarnation
	sequence     uint32              // of the latest local entry

	updates       []update // to be sent
	lastFiller    int      // position of the latest filler
	out           []Datagram
	tokens        float64       // bytes that may be sent now; below 0: a debt
	tokensUpdated time.Duration // time of the latest refill

	probeOrder       []Rank // members still to probe in this round
	priorityProbes   []Rank // probed before probeOrder
	probe            *probe // in progress; nil: none
	relays           []relay
	seq              uint32 // of the latest ping
	health           int    // see Health
	claimed          incarnationClaim
	probeDue         time.Duration // time of the next probe
	startRoundsLeft  int           // rounds of pingAtStart left
	startPingDue     time.Duration
	hotDue           time.Duration // when hot updates are sent; 0: none are queued
	contactedMembers int           // members that have sent a datagram
	trafficPublished time.Duration // time of the latest change of traffic
	expectedTick     time.Duration // due time of the next Tick, to detect a hung process
	stats            Stats
}

// Datagram is a datagram to send.
type Datagram struct {
	To   Rank
	Data []byte
}

// Stats counts events of a Node.
type Stats struct {
	Sent, SentBytes         uint64
	Received, ReceivedBytes uint64
	Damaged                 uint64 // datagrams that are not decodable, or of another fleet
	Rejected                uint64 // invalid or implausible records and entries
	RateLimited             uint64 // datagrams not sent because of the rate limit
	Refuted                 uint64 // suspicions of this member that it refuted
	Suspected               uint64 // suspicions raised by this member
	Evicted                 uint64 // entries evicted or dropped because of a bound
}

// New returns a Node that starts at now. It draws random numbers from rng. The error of an invalid
// configuration is a *ConfigError.
func New(config Config, now time.Duration, rng *rand.Rand) (*Node, error) {
	switch {
	case config.Size < 1 || config.Size > maxSize:
		return nil, &ConfigError{"peers", fmt.Sprintf("a list of 1 to %d addresses", maxSize)}
	case int(config.Self) >= config.Size:
		return nil, &ConfigError{"settings.rank", fmt.Sprintf("less than the number of peers, which is %d", config.Size)}
	case config.Incarnation == 0 || config.Incarnation >= maxIncarnation:
		return nil, &ConfigError{"the incarnation", fmt.Sprintf("from 1 to %d", uint64(maxIncarnation-1))}
	}
	config.Period = cmp.Or(config.Period, defaultPeriod)
	config.Timeout = cmp.Or(config.Timeout, min(defaultTimeout, config.Period/3))
	config.Rate, config.Burst, config.Fanout = cmp.Or(config.Rate, defaultRate), cmp.Or(config.Burst, defaultBurst), cmp.Or(config.Fanout, defaultFanout)
	n := &Node{
		config:          config,
		rng:             rng,
		kinds:           make(map[uint8]*EntryKind),
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

// Due returns the time at which Tick must be called next.
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

// Out returns the datagrams to be sent now, and clears them.
func (n *Node) Out() []Datagram {
	out := n.out
	n.out = nil
	return out
}

// Tick performs the actions that are due.
func (n *Node) Tick(now time.Duration) {
	if now-n.expectedTick > n.config.Period/2 && n.probe != nil {
		// This process was suspended: missing acknowledgements say nothing about others (as in Lifeguard).
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

// pingAtStart pings several members at once after the start, because decisions at the start depend
// on the ages of others.
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

// sample draws up to k other members at random. If living is set it excludes members that appear
// not to be alive.
func (n *Node) sample(k int, now time.Duration, living bool) []Rank {
	var some []Rank
	for attempts := 0; attempts < 8*k && len(some) < k && len(some) < n.config.Size-1; attempts++ {
		r := Rank(n.rng.IntN(n.config.Size))
		if s := n.status(r, now); r == n.config.Self || living && (s == Dead || s == Silent || s == Left) || slices.Contains(some, r) {
			continue
		}
		some = append(some, r)
	}
	return some
}

// SetPhase publishes this member's phase, 0 to 255. Within an incarnation phases only increase; a
// lower one is ignored, and false returned.
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

// SetTraffic publishes this member's rate of requests. A change of at most one step of
// encodeTraffic, or within trafficInterval of the latest one, is not published, because every member
// forwards each of them.
func (n *Node) SetTraffic(now time.Duration, perSecond float64) {
	t := int(encodeTraffic(perSecond))
	if off := t - int(n.self.Traffic); off >= -1 && off <= 1 || n.trafficPublished > 0 && now-n.trafficPublished < trafficInterval {
		return
	}
	n.self.Traffic, n.trafficPublished = uint8(t), now
	n.advance(now)
}

// Leave notifies some members that this one leaves, so that they do not suspect it.
func (n *Node) Leave(now time.Duration) {
	n.self.State = Left
	n.advance(now)
	for _, r := range n.sample(n.config.Fanout, now, true) {
		n.send(now, r, message{kind: kindUpdate}, true)
	}
}

// advance increases the heartbeat of this member's own record and queues an update of it.
func (n *Node) advance(now time.Duration) {
	n.self.Heartbeat++
	n.members[n.config.Self].record = n.self
	n.queueUpdate(now, update{rank: n.config.Self, hot: true})
}

// Incarnation returns this member's incarnation. It may increase: if the clock went back before this
// start, an earlier incarnation has a higher number. A member that learns of it takes a number above
// that one.
func (n *Node) Incarnation() uint64 { return n.self.Incarnation }

// Stats returns the counts so far.
func (n *Node) Stats() Stats { return n.stats }

// Health returns this member's estimate of its own slowness, from 0 (none) to 8.
func (n *Node) Health() int { return n.health }

// adjustHealth changes Health within its bounds.
func (n *Node) adjustHealth(by int) { n.health = max(0, min(n.health+by, maxHealth)) }

// errSelf reports a datagram from this member's own rank, or from one that is not in the fleet.
var errSelf = errors.New("peers: datagram from this member's own address or an unknown rank")
