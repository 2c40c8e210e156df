package martendrum

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// localPreference multiplies the odds that a server of the balancer's own zone is in its
// working set, where crossing zones has a price.
const localPreference = 3.0

// server is one entry of the server list with what this balancer has observed of it.
type server struct {
	name, zone       string
	group            int
	capacityHint     float64       // from the server list, 1 where it gives none
	weightCorrection float64       // observed capacity over the hint
	started          time.Duration // its last start, as the server states it
	slowStartBegan   time.Duration // when that start was, by the balancer's clock
	slowStartEnds    time.Duration // from then on it has its full capacity
	serving          bool          // listed as serving
	inWorkingSet     bool
	inFlight         int // attempts of this balancer

	failures     int           // consecutive
	ejections    int           // consecutive, for the backoff
	ejectedUntil time.Duration // ejected as an outlier until then

	latencySum, latencyWeight float64 // fading sum and weight of relative latencies
	load                      float64 // from the last load report, in requests in flight
	latencyAt, loadAt         time.Duration
	answeredAt                time.Duration       // last answer that was no error
	errorRates                map[int]tokenBucket // by class: fading fraction of errors
	weightCorrectedAt         time.Duration
	priority                  float64     // order among members, lowest first
	slowStartTokens           tokenBucket // sends that it may get during slow start
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

// replaceAll takes a complete list: servers missing from it are removed.
func (set *endpointSet) replaceAll(list []Endpoint, now time.Duration) {
	listed := make(map[string]bool, len(list))
	for _, endpoint := range list {
		listed[endpoint.Name] = true
	}
	for name := range set.byName { // the order does not matter: a removal does not change the others
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

// updateEndpoint takes one entry of the list.
func (set *endpointSet) updateEndpoint(endpoint Endpoint, reading startReading) {
	set.dirty = true
	s := set.byName[endpoint.Name]
	if s == nil {
		if endpoint.State == Removed {
			return
		}
		s = set.addServer(endpoint)
	}
	set.setServing(s, endpoint.State == Serving)
	if endpoint.State == Removed {
		delete(set.byName, endpoint.Name) // attempts in flight keep their own pointer
		return
	}
	s.zone = endpoint.Zone
	s.group = endpoint.Group
	s.capacityHint = endpoint.CapacityHint
	if !(s.capacityHint > 0) || math.IsInf(s.capacityHint, 0) { // NaN too
		s.capacityHint = 1
	}
	set.updateStart(s, endpoint.Started, reading)
}

// addServer adds a server that has not been listed before. Its priority is random, so that
// the order differs by balancer, and permanent, so that a working set changes little.
func (set *endpointSet) addServer(endpoint Endpoint) *server {
	s := &server{
		name:             endpoint.Name,
		errorRates:       make(map[int]tokenBucket),
		weightCorrection: 1,
		priority:         -math.Log(1 - set.random()),
	}
	if set.config.CrossZoneCost > 0 && endpoint.Zone == set.config.Zone {
		s.priority /= localPreference
	}
	set.byName[endpoint.Name] = s
	return s
}

// setServing adds s to the members or removes it. Members stay sorted: sorting a large list
// for each of many small changes would cost more than the requests do.
func (set *endpointSet) setServing(s *server, serving bool) {
	if serving == s.serving {
		return
	}
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

// updateStart takes the time of a server's last start. A restarted process keeps neither the
// failures nor the latencies of the one before. Any other start time counts as a restart,
// since the server's clock may have been set back meanwhile.
func (set *endpointSet) updateStart(s *server, started time.Duration, reading startReading) {
	if started != s.started && started > 0 {
		s.failures = 0
		s.ejections = 0
		s.ejectedUntil = 0
		s.latencySum = 0
		s.latencyWeight = 0
		s.weightCorrection = 1
		s.slowStartTokens = tokenBucket{set.random(), reading.now}
		s.slowStartBegan = reading.countsFrom(started)
	}
	s.started = started
	s.slowStartEnds = 0
	if started > 0 {
		s.slowStartEnds = s.slowStartBegan + set.config.SlowStartDuration
	}
}
