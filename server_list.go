package martendrum

import (
	"cmp"
	"time"
)

// EndpointState is a server's state on the server list.
type EndpointState int

const (
	// Serving means that the server takes requests.
	Serving EndpointState = iota
	// Draining means that the server takes no new requests.
	Draining
	// Removed means that the server is no longer on the list.
	Removed
)

// Endpoint is one entry of the server list.
type Endpoint struct {
	Name         string // unique on the list
	Zone         string
	Group        int           // servers of the same zone and group deduplicate requests together; see DedupScopeGroup
	CapacityHint float64       // capacity relative to other servers; unknown if not above 0
	Started      time.Duration // time of its last start by the server's clock; 0 if it started long ago
	State        EndpointState
}

// ServersChanged applies changed entries of the server list from discovery.
func (b *Balancer) ServersChanged(now time.Duration, changed []Endpoint) {
	b.pollBackoff = b.config.MaxListAge / 2
	b.endpoints.applyChanges(changed, now)
	b.endpoints.listReceived = true
}

// ServersListed applies a complete server list from discovery. Servers that are not on it are
// removed.
func (b *Balancer) ServersListed(now time.Duration, list []Endpoint) {
	b.pollBackoff = b.config.MaxListAge / 2
	b.endpoints.replaceAll(list, now)
	b.endpoints.listReceived = true
}

// ServersPreloaded applies a complete server list that does not come from discovery, such as one of
// the configuration or of an earlier process. Call it before discovery has sent a list. The list may
// be old, so the next list from discovery still counts as the first one: the start times on both
// lists may be long past and are not treated as new starts.
func (b *Balancer) ServersPreloaded(now time.Duration, list []Endpoint) {
	b.endpoints.replaceAll(list, now)
}

// ServerCounts returns the number of servers on the list, draining ones included, and the number of
// servers that are ejected as outliers.
func (b *Balancer) ServerCounts(now time.Duration) (listed, ejected int) {
	for _, s := range b.endpoints.members {
		if now < s.ejectedUntil {
			ejected++
		}
	}
	return len(b.endpoints.byName), ejected
}

// DiscoveryFailed schedules the next poll after a poll of discovery has failed or the subscription
// has broken. The delay is random and grows exponentially until a list arrives. It does nothing
// where Config.MaxListAge is 0.
func (b *Balancer) DiscoveryFailed(now time.Duration) {
	maxListAge := b.config.MaxListAge
	if maxListAge == 0 {
		return
	}
	// The delay is at most 3/2 of its mean, so a mean of 2/3 of PollRetryWithin keeps it within
	// PollRetryWithin.
	maxBackoff := cmp.Or(b.config.PollRetryWithin*2/3, 2*maxListAge)
	backoff := min(b.pollBackoff, maxBackoff)
	b.pollTimer = b.setTimer(backoff/2 + time.Duration(b.rng.Float64()*float64(backoff)))
	b.pollBackoff = min(b.pollBackoff*2, 2*maxListAge)
}
