package martendrum

import "time"

// Idempotency says what repeating a request does.
type Idempotency int

const (
	Idempotent       Idempotency = iota // may be repeated at will
	IdempotencyKeyed                    // repeats are dropped by a group of servers for a time
	NonIdempotent                       // must not run twice
)

// String implements fmt.Stringer.
func (e Idempotency) String() string {
	switch e {
	case Idempotent:
		return "safe"
	case IdempotencyKeyed:
		return "keyed"
	}
	return "unsafe"
}

// DedupScope is the group of servers that drops repeats of a keyed request.
type DedupScope int

const (
	DedupScopeAll DedupScope = iota
	DedupScopeZone
	DedupScopeGroup
)

// Class describes one class of requests.
type Class struct {
	LatencyObjective time.Duration // an answer within it earns the full worth
	LateWeight       float64       // share of the worth that a later answer earns
	Weight           float64
	Idempotency      Idempotency
	DedupScope       DedupScope    // for Keyed
	DedupWindow      time.Duration // for Keyed: how long repeats are dropped
}

// Config is what a Balancer is told of its site.
type Config struct {
	Instances         int // balancers in the tier, this one included
	Classes           []Class
	TenantQuotas      []float64 // requests a second of all balancers that are within the tenant's share
	OverQuotaWeight   float64   // share of its worth that a request above it has
	Zone              string
	MaxAttempts       int
	AllowCancellation bool
	AllowHedging      bool // two attempts of a request may be out together
	MaxRetryAfter     time.Duration
	CrossZoneCost     float64
	ConnectionCost    float64 // points lost for 100 open connections a server
	WastedWorkCost    float64 // points lost if as much work is wasted as is asked for
	Probes            bool    // servers report their load when probed, and only then
	ProbeCost         float64 // points lost for a probe a request

	// MaxListAge, where above 0, says that the server list comes only to those
	// who subscribe, and that one who has not asked for so long counts as told.
	MaxListAge  time.Duration
	RetryWithin time.Duration // a failed call is repeated within it; 0: by MaxListAge

	SlowStartInitialFraction float64       // share of its capacity that a fresh server has
	SlowStartDuration        time.Duration // a server is warm after this
	OverloadFactor           float64       // multiple of its capacity that fells a cold server
	OverloadDuration         time.Duration // when sent for this long
}
