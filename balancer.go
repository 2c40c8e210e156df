// Package martendrum makes the decisions of a client-side load balancer: which
// server a request goes to, when it is hedged or retried, and when it is rejected.
//
// A Balancer owns the state that these decisions depend on: the server list, its
// working set, each server's load and latency, the shed level, the hedging policy
// and the open requests. It picks the better of two randomly chosen servers, which it
// compares first by the number of its own requests in flight at each, and hedges by
// the SingleR policy (see hedge.go).
//
// A Balancer guarantees one final answer for each request that arrives, at most
// Config.MaxAttempts attempts for it, and no retry or hedge that could execute a
// request more often than its class allows. The same seed and the same events lead
// to the same actions.
//
// A Balancer has no goroutines, clock or I/O and is not safe for concurrent use. Its
// host calls one method per event, from one goroutine at a time, and carries out the
// actions that the Balancer requests through the Host interface. The host passes the
// current time to each method; that time must never decrease.
package martendrum

import (
	"errors"
	"math/rand/v2"
	"time"
)

// RequestID identifies a request; it is unique during the lifetime of a Balancer.
type RequestID uint64

// Host carries out a Balancer's decisions. The Balancer calls the methods of Host from
// within its own methods; they must not call the Balancer.
type Host interface {
	// Send starts the request's next attempt; attempts are numbered from 0. The attempt
	// times out after timeout. If the last byte of the request has not been sent within
	// sendWithin, the host must abort the attempt so that the server cannot execute it.
	Send(id RequestID, server string, timeout, sendWithin time.Duration)
	// Cancel cancels an attempt in flight.
	Cancel(id RequestID, attempt int)
	// Reject answers a request with an error after which the client may safely retry,
	// preferably not before retryAfter has passed.
	Reject(id RequestID, retryAfter time.Duration)
	// Fail answers a request with an error that does not tell whether a retry is safe.
	Fail(id RequestID)
	// SetTimer schedules a call of Balancer.TimerFired with the cookie after the delay.
	SetTimer(cookie uint64, after time.Duration)
	// CloseIdle closes the idle connections to a server.
	CloseIdle(server string)
	// Probe requests a load report from a server; the host passes the answer to
	// Balancer.ProbeAnswered.
	Probe(server string)
	// Subscribe asks discovery for the server list and for all later changes to it. The host
	// reports a failure to Balancer.DiscoveryFailed.
	Subscribe()
}

// Balancer makes the load-balancing decisions of one client process. Create it with New.
type Balancer struct {
	config      Config
	host        Host
	rng         *rand.Rand
	endpoints   endpointSet
	hedger      hedger
	admission   admissionController
	requests    map[RequestID]*openRequest
	timers      map[uint64]*openRequest // requests by the cookie of their timer
	retryTokens float64                 // retries left in the retry budget
	bounds      Bounds

	lastTimer   uint64        // cookie of the timer that was set last
	pollTimer   uint64        // cookie of the timer for the next poll of discovery, 0 if none is set
	pollBackoff time.Duration // mean delay before the next poll; Config.PollRetryWithin may shorten it
}

// rngStream is the second word of the random number generator's seed.
const rngStream = 0x9e3779b97f4a7c15

// firstPollSpread is the fraction of Config.MaxListAge over which the first polls of all
// balancers are spread.
const firstPollSpread = 0.8

// New returns a Balancer with the configuration cfg whose random numbers are derived from
// seed. It returns an error if cfg is invalid; see Reconfigure.
func New(cfg Config, seed uint64, host Host) (*Balancer, error) {
	b := &Balancer{
		host:        host,
		rng:         rand.New(rand.NewPCG(seed, rngStream)),
		hedger:      newHedger(cfg.WastedWorkCost),
		requests:    make(map[RequestID]*openRequest),
		timers:      make(map[uint64]*openRequest),
		retryTokens: maxRetryTokens,
	}
	b.endpoints = endpointSet{
		config:           &b.config,
		acceptedFraction: 1,
		byName:           make(map[string]*server),
		random:           b.rng.Float64,
	}
	b.admission = admissionController{config: &b.config}
	if err := b.Reconfigure(cfg); err != nil {
		return nil, err
	}
	if cfg.MaxListAge > 0 {
		// All balancers may start at the same time, and discovery answers their polls one
		// after another. The first polls are therefore spread at random over a fraction of
		// MaxListAge.
		b.pollBackoff = cfg.MaxListAge / 2
		b.pollTimer = b.setTimer(time.Duration(b.rng.Float64() * firstPollSpread * float64(cfg.MaxListAge)))
	}
	return b, nil
}

// Reconfigure applies a new configuration to requests that arrive from now on. Open requests keep
// their class, and a higher MaxAttempts does not apply to them; a lower one does. Classes and
// tenants keep their indexes: a new one is appended or takes the index of one that is no longer
// used. Only New reads WastedWorkCost and schedules the first poll of discovery, so a new
// WastedWorkCost has no effect, and a new MaxListAge starts no polls. Reconfigure returns an error,
// and changes nothing, if Instances or MaxAttempts is below 1, if there are no classes, or if there
// are fewer classes or tenants than before. It checks only these conditions.
func (b *Balancer) Reconfigure(cfg Config) error {
	switch {
	case cfg.Instances < 1 || len(cfg.Classes) == 0 || cfg.MaxAttempts < 1:
		return errors.New("martendrum: config: Instances, Classes and MaxAttempts must be above 0")
	case len(cfg.Classes) < len(b.config.Classes), len(cfg.TenantQuotas) < len(b.config.TenantQuotas):
		return errors.New("martendrum: config: classes and tenants must keep their indexes; none can be removed")
	}
	b.config = cfg
	b.config.Probes = cfg.Probes && probesPerRequest*cfg.ProbeCost <= maxProbeCost
	b.admission.configure()
	b.endpoints.dirty = true
	return nil
}
