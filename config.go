package martendrum

import "time"

// Idempotency says whether a request may be executed more than once.
type Idempotency int

const (
	// Idempotent requests may be executed any number of times.
	Idempotent Idempotency = iota
	// IdempotencyKeyed requests are deduplicated by a group of servers for a time.
	IdempotencyKeyed
	// NonIdempotent requests must not be executed twice.
	NonIdempotent
)

// String implements fmt.Stringer with the words of the settings.
func (i Idempotency) String() string {
	switch i {
	case Idempotent:
		return "safe"
	case IdempotencyKeyed:
		return "keyed"
	}
	return "unsafe"
}

// DedupScope is the group of servers that deduplicates an IdempotencyKeyed request.
type DedupScope int

const (
	// DedupScopeAll is every server.
	DedupScopeAll DedupScope = iota
	// DedupScopeZone is the servers of one zone.
	DedupScopeZone
	// DedupScopeGroup is the servers of one zone and Endpoint.Group.
	DedupScopeGroup
)

// Class describes one class of requests.
type Class struct {
	LatencyObjective time.Duration // an answer within it earns the full weight
	LateWeight       float64       // fraction of the weight that a later answer earns
	Weight           float64       // priority weight of a request
	Idempotency      Idempotency
	DedupScope       DedupScope    // for IdempotencyKeyed
	DedupWindow      time.Duration // for IdempotencyKeyed: how long repeats are deduplicated
}

// Config is the configuration of a Balancer. Costs are in points of the score.
type Config struct {
	Instances         int // balancers in the tier, this one included
	Classes           []Class
	TenantQuotas      []float64 // requests a second of all balancers together that are within the tenant's quota
	OverQuotaWeight   float64   // fraction of its weight that a request above the quota has
	Zone              string
	MaxAttempts       int  // for one request, the first attempt and hedges included
	AllowCancellation bool // attempts may be cancelled
	AllowHedging      bool // two attempts of a request may be in flight together
	MaxRetryAfter     time.Duration
	CrossZoneCost     float64 // only whether it is above 0 matters
	ConnectionCost    float64 // for 100 open connections per server
	WastedWorkCost    float64 // for as much wasted work as was requested
	Probes            bool    // servers report their load when probed, and only then
	ProbeCost         float64 // for one probe per request

	// MaxListAge, where above 0, says that discovery sends the server list only to
	// subscribers, and treats a balancer that has not polled for so long as informed.
	MaxListAge time.Duration
	// RetryWithin bounds the delay before a failed poll is repeated; 0: MaxListAge bounds it.
	RetryWithin time.Duration

	SlowStartInitialFraction float64       // fraction of its capacity that a server has when it starts
	SlowStartDuration        time.Duration // a server has its full capacity after this
	OverloadFactor           float64       // multiple of its present capacity that crashes a server in slow start
	OverloadDuration         time.Duration // if sent for this long
}
