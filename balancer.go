// Package martendrum makes the decisions of a client-side load balancer: which
// server a request goes to, when it is hedged or retried, and when it is rejected.
//
// A Balancer owns the state behind these decisions: the server list, its working
// set, each server's load and latency, the shed level, the hedging policy and the
// requests that are open. It picks servers by two random choices over its own
// in-flight requests and hedges by SingleR.
//
// It promises one final answer for each request that arrives, at most
// Config.MaxAttempts attempts for it, and no retry or hedge that could execute a
// request more often than its class allows. The same seed and events give the
// same actions.
//
// It has no goroutines, clock or I/O and is not safe for concurrent use. The host
// calls one method per event, from one goroutine at a time, with a time that never
// decreases, and carries out the actions that arrive through Host.
package martendrum

import (
	"errors"
	"math/rand/v2"
	"time"
)

// RequestID identifies a request for the life of a Balancer.
type RequestID uint64

// Host carries out a Balancer's decisions. Its methods are called from within
// the Balancer's own and must not call back into it.
type Host interface {
	// Send starts the request's next attempt; attempts are numbered from 0. The attempt
	// times out after timeout. If its last byte has not been sent when sendWithin has
	// passed, the attempt must not execute.
	Send(id RequestID, server string, timeout, sendWithin time.Duration)
	// Cancel stops waiting for an attempt.
	Cancel(id RequestID, attempt int)
	// Reject ends a request with an answer that says that a retry is harmless,
	// preferably not before retryAfter.
	Reject(id RequestID, retryAfter time.Duration)
	// Fail ends a request without saying whether a retry is harmless.
	Fail(id RequestID)
	// SetTimer requests a call of Balancer.TimerFired with the cookie after a delay.
	SetTimer(cookie uint64, after time.Duration)
	// CloseIdle closes the idle connections to a server.
	CloseIdle(server string)
	// Probe requests a load report from a server; see Balancer.ProbeAnswered.
	Probe(server string)
	// Subscribe polls discovery for the server list and its changes from now on.
	Subscribe()
}

// Balancer makes the decisions of one client process.
type Balancer struct {
	config      Config
	host        Host
	rng         *rand.Rand
	endpoints   endpointSet
	hedger      hedger
	admission   admissionController
	requests    map[RequestID]*openRequest
	timers      map[uint64]*openRequest // by cookie
	retryTokens float64                 // retries left in the budget
	bounds      Bounds

	lastTimer   uint64        // the last cookie given out
	pollTimer   uint64        // the cookie of the next poll of discovery, 0 if none is due
	pollBackoff time.Duration // the mean delay before the next poll, less where RetryWithin bounds it
}

// rngStream is the second word of the random number generator's seed.
const rngStream = 0x9e3779b97f4a7c15

// firstPollSpread is the fraction of Config.MaxListAge over which first polls are spread.
const firstPollSpread = 0.8

// New returns a Balancer for cfg that draws its random numbers from seed. It
// returns an error where Reconfigure would.
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
		// All balancers may start at once and discovery serves them in turn, so the
		// first polls are spread over the time that this may take.
		b.pollBackoff = cfg.MaxListAge / 2
		b.pollTimer = b.setTimer(time.Duration(b.rng.Float64() * firstPollSpread * float64(cfg.MaxListAge)))
	}
	return b, nil
}

// Reconfigure takes a new configuration for requests that arrive from now on; open requests
// keep their class and number of attempts. Classes and tenants keep their indexes: new ones are
// appended or replace dropped ones. Only what the Balancer relies on is checked here.
func (b *Balancer) Reconfigure(cfg Config) error {
	switch {
	case cfg.Instances < 1 || len(cfg.Classes) == 0 || cfg.MaxAttempts < 1:
		return errors.New("martendrum: config: Instances, Classes and MaxAttempts must be above 0")
	case len(cfg.Classes) < len(b.config.Classes), len(cfg.TenantQuotas) < len(b.config.TenantQuotas):
		return errors.New("martendrum: config: classes and tenants must keep their places")
	}
	b.config = cfg
	b.config.Probes = cfg.Probes && probesPerRequest*cfg.ProbeCost <= maxProbeCost
	b.admission.configure()
	b.endpoints.dirty = true
	return nil
}
