package martendrum

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// server is one entry of the server list with what this balancer has observed of it.
type server struct {
	name, zone                    string
	group                         int
	capacityHint                  float64       // the list's capacity hint, 1 where it gives none
	weightCorrection              float64       // corrects the hint by what was seen
	started                       time.Duration // its last start, by its own word
	slowStartBegan, slowStartEnds time.Duration // from when that start counts, and when it is warm at the latest
	serving, inWorkingSet         bool          // listed as serving; in the working set
	inFlight                      int
	failures, ejections           int           // in a row; for the backoff
	ejectedUntil                  time.Duration // suspect until then
	latencySum, latencyWeight     float64       // fading sum and weight of relative latencies
	load                          float64       // last load report, in requests held
	latencyAt, loadAt             time.Duration
	answeredAt                    time.Duration       // last answer but errors
	errorRates                    map[int]tokenBucket // by class: share of errors
	weightCorrectedAt             time.Duration
	priority                      float64     // order among members, lowest first
	slowStartTokens               tokenBucket // sends that it may get while cold
}

// endpointSet is the servers on the list, the working set and the sampling table over it.
type endpointSet struct {
	config           *Config
	random           func() float64
	byName           map[string]*server
	members          []*server     // serving servers, by priority
	workingSet       []*server     // the servers that requests are sampled from
	weights          []float64     // cumulative over workingSet
	weightsAt        time.Duration // when weights were computed
	dirty            bool          // membership or ejections have changed since
	ejected          []*server
	listReceived     bool    // discovery has sent a list
	sendCount        float64 // fading count of sends
	nominalRate      float64 // see Bounds.NominalRate
	acceptedFraction float64 // running fraction of sends that were not rejected
	sendCountAt      time.Duration
	// latencyPerQueued is the running median of the latency per request in the queue,
	// meanLatency the running mean, both in fractions of the latency objective.
	latencyPerQueued, meanLatency float64
}

// updateEndpoint takes one entry of the list.
func (set *endpointSet) updateEndpoint(endpoint Endpoint, reading startReading) {
	now := reading.now
	set.dirty = true
	s := set.byName[endpoint.Name]
	if s == nil && endpoint.State == Removed {
		return
	}
	if s == nil {
		// The order differs by balancer and stays, so that a working set changes little.
		s = &server{name: endpoint.Name, errorRates: make(map[int]tokenBucket), weightCorrection: 1, priority: -math.Log(1 - set.random())}
		if set.config.CrossZoneCost > 0 && endpoint.Zone == set.config.Zone {
			s.priority /= localPreference
		}
		set.byName[endpoint.Name] = s
	}
	if serving := endpoint.State == Serving; serving != s.serving {
		s.serving = serving
		i, _ := slices.BinarySearchFunc(set.members, s, func(a, b *server) int {
			return cmp.Or(cmp.Compare(a.priority, b.priority), cmp.Compare(a.name, b.name))
		})
		if serving {
			set.members = slices.Insert(set.members, i, s)
		} else {
			set.members = slices.Delete(set.members, i, i+1)
		}
	}
	if endpoint.State == Removed {
		delete(set.byName, endpoint.Name) // attempts still out hold their own pointer
		return
	}
	s.zone, s.group, s.capacityHint = endpoint.Zone, endpoint.Group, endpoint.CapacityHint
	if !(s.capacityHint > 0) || math.IsInf(s.capacityHint, 0) {
		s.capacityHint = 1
	}
	if endpoint.Started != s.started && endpoint.Started > 0 {
		// A restarted process has none of its old faults and none of its speed. Its own clock
		// may have been set back meanwhile.
		s.failures, s.ejections, s.ejectedUntil = 0, 0, 0
		s.latencySum, s.latencyWeight, s.weightCorrection, s.slowStartTokens = 0, 0, 1, tokenBucket{set.random(), now}
		s.slowStartBegan = reading.countsFrom(endpoint.Started)
	}
	s.started, s.slowStartEnds = endpoint.Started, 0
	if endpoint.Started > 0 {
		s.slowStartEnds = s.slowStartBegan + set.config.SlowStartDuration
	}
}

// replaceAll takes a complete list: servers missing from it are removed.
func (set *endpointSet) replaceAll(list []Endpoint, now time.Duration) {
	listed := make(map[string]bool, len(list))
	for _, endpoint := range list {
		listed[endpoint.Name] = true
	}
	for name := range set.byName { // the order does not matter: a removal leaves the others as they are
		if !listed[name] {
			set.updateEndpoint(Endpoint{Name: name, State: Removed}, startReading{now: now})
		}
	}
	set.applyChanges(list, now)
}

// applyChanges takes changed entries of the list.
func (set *endpointSet) applyChanges(changed []Endpoint, now time.Duration) {
	reading := set.readStarts(changed, now)
	for _, endpoint := range changed {
		set.updateEndpoint(endpoint, reading)
	}
}
