package martendrum

import (
	"cmp"
	"time"
)

// EndpointState is a server's state on the server list.
type EndpointState int

const (
	// Serving servers take requests.
	Serving EndpointState = iota
	// Draining servers take no new requests.
	Draining
	// Removed servers are no longer on the list.
	Removed
)

// Endpoint is one entry of the server list.
type Endpoint struct {
	Name         string
	Zone         string
	Group        int           // the servers of one zone and group deduplicate requests together
	CapacityHint float64       // relative capacity; not above 0: unknown
	Started      time.Duration // time of its last start; 0: long ago
	State        EndpointState
}

// ServersChanged takes changed entries of the server list.
func (b *Balancer) ServersChanged(now time.Duration, changed []Endpoint) {
	b.pollBackoff = b.config.MaxListAge / 2
	b.endpoints.applyChanges(changed, now)
	b.endpoints.listReceived = true
}

// ServersListed takes the complete server list; servers missing from it are removed.
func (b *Balancer) ServersListed(now time.Duration, list []Endpoint) {
	b.pollBackoff = b.config.MaxListAge / 2
	b.endpoints.replaceAll(list, now)
	b.endpoints.listReceived = true
}

// ServersRestored takes a list that was stored before discovery sent one. It may be old, so
// the starts on it, and on the first list from discovery, may be of long ago.
func (b *Balancer) ServersRestored(now time.Duration, list []Endpoint) {
	b.endpoints.replaceAll(list, now)
}

// ServerCounts counts the servers on the list and those that are ejected as outliers.
func (b *Balancer) ServerCounts(now time.Duration) (listed, ejected int) {
	for _, s := range b.endpoints.members {
		if now < s.ejectedUntil {
			ejected++
		}
	}
	return len(b.endpoints.byName), ejected
}

// DiscoveryFailed says that a poll of discovery failed or the subscription broke. The next
// poll follows after a random delay with exponential backoff.
func (b *Balancer) DiscoveryFailed(now time.Duration) {
	maxListAge := b.config.MaxListAge
	if maxListAge == 0 {
		return
	}
	// The delay is up to 3/2 of its mean, so that 2/3 of RetryWithin keeps within it.
	maxBackoff := cmp.Or(b.config.RetryWithin*2/3, 2*maxListAge)
	backoff := min(b.pollBackoff, maxBackoff)
	b.pollTimer = b.setTimer(backoff/2 + time.Duration(b.rng.Float64()*float64(backoff)))
	b.pollBackoff = min(b.pollBackoff*2, 2*maxListAge)
}
