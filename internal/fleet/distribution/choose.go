package distribution

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Relay is a host that serves settings.
type Relay struct {
	Name    string `toml:"name"`    // of the relay's agent
	Address string `toml:"address"` // as in the inventory: tls:HOST:PORT, unix:PATH, tcp:HOST:PORT
	Region  string `toml:"region"`
	Zone    string `toml:"zone"`
}

// Chooser decides which relay a host uses. Relays of the host's own zone come first, then those of
// its region, then all others. Relays at the same distance are ordered per host by rendezvous
// hashing. A failed relay is avoided for some time, and its hosts spread over the other relays. A
// Chooser is not safe for concurrent use.
type Chooser struct {
	order  []Relay            // in the host's order of preference
	failed map[string]failure // by relay
	wait   time.Duration      // backoff before the next attempt; grows while no relay answers
}

// failure records that a relay failed.
type failure struct {
	until time.Time // end of the avoidance
	count int       // consecutive failures
}

// Times of a Chooser. Retry delays are spread over half to one and a half times their nominal value,
// so that hosts that lost the same relay do not reconnect all at once.
const (
	initialAvoidance  = 5 * time.Second
	maxAvoidance      = time.Minute
	initialRetryDelay = 200 * time.Millisecond
	maxRetryDelay     = 3 * time.Second
)

// NewChooser returns a Chooser with the relays in the host's order of preference.
func NewChooser(host, region, zone string, relays []Relay) *Chooser {
	order := slices.Clone(relays)
	distance := func(r Relay) int {
		switch {
		case zone != "" && r.Zone == zone && r.Region == region:
			return 0
		case region != "" && r.Region == region:
			return 1
		}
		return 2
	}
	slices.SortFunc(order, func(x, y Relay) int {
		return cmp.Or(distance(x)-distance(y), cmp.Compare(weight(host, y.Name), weight(host, x.Name)), strings.Compare(x.Name, y.Name))
	})
	return &Chooser{order: order, failed: make(map[string]failure)}
}

// weight returns a relay's weight for a host in rendezvous hashing.
func weight(host, relay string) uint64 { return xxhash.Sum64String(host + "\x00" + relay) }

// Next returns the relay to use next and how long to wait before connecting to it. draw returns a
// random number in [0, 1). If every relay is being avoided, Next returns the one whose avoidance ends
// first.
func (c *Chooser) Next(now time.Time, draw func() float64) (Relay, time.Duration) {
	spread := func(d time.Duration) time.Duration { return time.Duration(float64(d) * (0.5 + draw())) }
	for _, r := range c.order {
		if f, ok := c.failed[r.Name]; !ok || !now.Before(f.until) {
			wait := c.wait
			return r, spread(wait)
		}
	}
	c.wait = min(max(2*c.wait, initialRetryDelay), maxRetryDelay)
	earliest := slices.MinFunc(c.order, func(x, y Relay) int {
		return c.failed[x.Name].until.Compare(c.failed[y.Name].until)
	})
	return earliest, spread(c.wait)
}

// Failed records that a relay did not answer or rejected the host.
func (c *Chooser) Failed(now time.Time, relay string) {
	f := c.failed[relay]
	avoid := min(initialAvoidance<<min(f.count, 8), maxAvoidance)
	c.failed[relay] = failure{until: now.Add(avoid), count: f.count + 1}
	c.wait = min(max(2*c.wait, initialRetryDelay), maxRetryDelay)
}

// Succeeded records that a relay answered.
func (c *Chooser) Succeeded(relay string) {
	delete(c.failed, relay)
	c.wait = 0
}

// HasBetter reports whether a relay that the host prefers to the one in use is not being avoided.
func (c *Chooser) HasBetter(now time.Time, inUse string) bool {
	for _, r := range c.order {
		if r.Name == inUse {
			return false
		}
		if f, ok := c.failed[r.Name]; !ok || !now.Before(f.until) {
			return true
		}
	}
	return false
}

// Preferred returns the relay that the host uses when all relays are available.
func (c *Chooser) Preferred() Relay { return c.order[0] }
