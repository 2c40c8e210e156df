package martendrum

import "time"

// Idempotency tells whether a request may be executed more than once.
type Idempotency int

const (
	// Idempotent requests may be executed any number of times.
	Idempotent Idempotency = iota
	// IdempotencyKeyed requests carry a key by which the servers of Class.DedupScope deduplicate
	// them during Class.DedupWindow.
	IdempotencyKeyed
	// NonIdempotent requests must not be executed twice.
	NonIdempotent
)

// String returns the name that the settings use: safe, keyed or unsafe.
func (i Idempotency) String() string {
	switch i {
	case Idempotent:
		return "safe"
	case IdempotencyKeyed:
		return "keyed"
	}
	return "unsafe"
}

// DedupScope is the set of servers that deduplicate an IdempotencyKeyed request together.
type DedupScope int

const (
	// DedupScopeAll is every server.
	DedupScopeAll DedupScope = iota
	// DedupScopeZone is the servers of one zone.
	DedupScopeZone
	// DedupScopeGroup is the servers of one zone and Endpoint.Group.
	DedupScopeGroup
)

// Class describes one class of requests. LatencyObjective must be above 0.
type Class struct {
	LatencyObjective time.Duration // from arrival to answer; an answer within it counts with the full weight
	LateWeight       float64       // fraction of the weight with which a later answer counts
	Weight           float64       // priority of a request relative to other classes
	Idempotency      Idempotency
	DedupScope       DedupScope    // only for IdempotencyKeyed
	DedupWindow      time.Duration // only for IdempotencyKeyed: how long after the first attempt repeats are deduplicated
}

// Config is the configuration of a Balancer. Costs are in points of the score by which the service
// is judged; a cost of 0 means that the resource is free.
type Config struct {
	Instances         int // number of balancers that share the servers, this one included
	Classes           []Class
	TenantQuotas      []float64     // by tenant, in requests a second over all balancers together
	OverQuotaWeight   float64       // factor on the weight of a request above its tenant's quota
	Zone              string        // zone of this balancer
	MaxAttempts       int           // for one request, the first attempt and hedges included
	AllowCancellation bool          // attempts may be cancelled
	AllowHedging      bool          // two attempts of a request may be in flight at the same time
	MaxRetryAfter     time.Duration // upper bound of the delay that a rejection suggests to the client
	CrossZoneCost     float64       // of requests to other zones; only whether it is above 0 matters
	ConnectionCost    float64       // of 100 open connections per server
	WastedWorkCost    float64       // of wasted work that amounts to as much as all requested work
	Probes            bool          // servers report their load only when probed
	ProbeCost         float64       // of one probe per request

	// MaxListAge above 0 means that discovery sends the server list only to subscribers, and that
	// after MaxListAge without a poll it assumes all the same that a balancer has the list. The
	// first poll is sent within that time. 0 means that the balancer never polls.
	MaxListAge time.Duration
	// PollRetryWithin is the longest delay before a failed poll of discovery is repeated. 0 means that
	// the delay is bounded by MaxListAge instead: its mean is at most twice MaxListAge.
	PollRetryWithin time.Duration

	SlowStartInitialFraction float64       // fraction of its full capacity that a server has when it starts
	SlowStartDuration        time.Duration // time from its start until a server has its full capacity
	OverloadFactor           float64       // load that crashes a server in slow start, as a multiple of its present capacity
	OverloadDuration         time.Duration // how long such a load must last to crash the server
}
