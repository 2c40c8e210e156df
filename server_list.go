package martendrum

import (
	"cmp"
	"time"
)

// EndpointState is a server's state on the list.
type EndpointState int

const (
	Serving EndpointState = iota
	Draining
	Removed
)

// Endpoint is one entry of the server list.
type Endpoint struct {
	Name         string
	Zone         string
	Group        int           // cell that shares which keys it has seen
	CapacityHint float64       // capacity hint; only comparisons mean anything
	Started      time.Duration // time of its last start; 0: long ago
	State        EndpointState
}

// ServersChanged takes changed entries of the server list.
func (b *Balancer) ServersChanged(now time.Duration, changed []Endpoint) {
	b.pollBackoff = b.config.MaxListAge / 2
	b.endpoints.applyChanges(changed, now)
	b.endpoints.listReceived = true
}

// ServersListed takes the whole server list.
func (b *Balancer) ServersListed(now time.Duration, list []Endpoint) {
	b.pollBackoff = b.config.MaxListAge / 2
	b.endpoints.replaceAll(list, now)
	b.endpoints.listReceived = true
}

// ServersRestored takes a list that was known before discovery told one. It may be old: its
// starts, and those of the first list that is told, may be of long ago.
func (b *Balancer) ServersRestored(now time.Duration, list []Endpoint) {
	b.endpoints.replaceAll(list, now)
}

// ServerCounts counts the servers on the list, and those that get nothing for their failures.
func (b *Balancer) ServerCounts(now time.Duration) (listed, avoided int) {
	for _, s := range b.endpoints.members {
		if now < s.ejectedUntil {
			avoided++
		}
	}
	return len(b.endpoints.byName), avoided
}

// DiscoveryFailed says that a call to discovery failed or the subscription broke.
func (b *Balancer) DiscoveryFailed(now time.Duration) {
	if b.config.MaxListAge == 0 {
		return
	}
	back := min(b.pollBackoff, cmp.Or(b.config.RetryWithin*2/3, 2*b.config.MaxListAge))
	b.pollTimer = b.setTimer(back/2 + time.Duration(b.rng.Float64()*float64(back)))
	b.pollBackoff = min(b.pollBackoff*2, 2*b.config.MaxListAge)
}
