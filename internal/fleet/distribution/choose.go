package distribution

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Relay is one of the machines that serve settings.
type Relay struct {
	Name    string `toml:"name"`    // of its agent
	Address string `toml:"address"` // as in the inventory: tls:HOST:PORT, unix:PATH, tcp:HOST:PORT
	Region  string `toml:"region"`
	Zone    string `toml:"zone"`
}

// Chooser decides which relay a host asks: of its own zone first, then of its region, then
// any, and among equals in an order that is drawn for each host by rendezvous hashing. A relay
// that failed is left out for a time, so that its hosts spread over all others.
type Chooser struct {
	order  []Relay
	failed map[string]failure
	wait   time.Duration // before any relay is asked, since none was left
}

type failure struct {
	until time.Time
	count int
}

// Times of a Chooser. Waits are drawn from half to one and a half of what is due, so that
// many hosts that lost the same relay do not come back together.
const (
	initialAvoidance  = 5 * time.Second
	maxAvoidance      = time.Minute
	initialRetryDelay = 200 * time.Millisecond
	maxRetryDelay     = 3 * time.Second
)

// NewChooser returns the order of relays for a host.
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

func weight(host, relay string) uint64 { return xxhash.Sum64String(host + "\x00" + relay) }

// Next is the relay to ask, and how long to wait before; draw returns a number from 0 up to,
// not including, 1. Where all have failed of late it is the one whose time is over first.
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

// Failed notes that a relay gave no answer or turned the host away.
func (c *Chooser) Failed(now time.Time, relay string) {
	f := c.failed[relay]
	avoid := min(initialAvoidance<<min(f.count, 8), maxAvoidance)
	c.failed[relay] = failure{until: now.Add(avoid), count: f.count + 1}
	c.wait = min(max(2*c.wait, initialRetryDelay), maxRetryDelay)
}

// Served notes that a relay answered.
func (c *Chooser) Served(relay string) {
	delete(c.failed, relay)
	c.wait = 0
}

// Better says whether a relay that comes before the one in use may be asked again.
func (c *Chooser) Better(now time.Time, inUse string) bool {
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

// Preferred is the relay that a host asks when all live.
func (c *Chooser) Preferred() Relay { return c.order[0] }
