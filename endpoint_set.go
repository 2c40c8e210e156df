package martendrum

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// localPreference is the factor by which a server of the balancer's own zone is more likely to be
// in the working set than one of another zone. It is used if Config.CrossZoneCost is above 0.
const localPreference = 3.0

// server is a server on the server list, with this balancer's observations of it.
type server struct {
	name, zone       string
	group            int
	capacityHint     float64       // from the server list, 1 if the list has none
	weightCorrection float64       // observed capacity divided by capacityHint
	started          time.Duration // time of its last start, by the server's clock
	slowStartBegan   time.Duration // time of its last start, by the balancer's clock
	slowStartEnds    time.Duration // when slow start ends; 0 if the server started long ago
	serving          bool          // in state Serving on the list
	inWorkingSet     bool
	inFlight         int // this balancer's attempts in flight

	failures     int           // consecutive failures
	ejections    int           // consecutive ejections; they set the length of the next one
	ejectedUntil time.Duration // end of the last ejection

	latencySum, latencyWeight float64 // decaying sum and count of latencies relative to meanLatency
	load                      float64 // requests in flight at the server, by its last load report
	latencyAt, loadAt         time.Duration
	answeredAt                time.Duration       // time of the last answer without an error, or of the last rejection
	errorRates                map[int]tokenBucket // by class: the decaying fraction of errors, stored as a number of tokens
	weightCorrectedAt         time.Duration
	priority                  float64     // place in the order of members, lowest first
	slowStartTokens           tokenBucket // sends that it may get from this balancer during slow start
}

// endpointSet holds the servers on the list, the working set, and the sampling weights of the
// working set.
type endpointSet struct {
	config           *Config
	random           func() float64
	byName           map[string]*server
	members          []*server     // serving servers, by priority
	workingSet       []*server     // the servers that requests are sampled from
	weights          []float64     // running sum of the sampling weights in workingSet
	capacityHintSum  float64       // of the servers in workingSet, as of weightsAt
	weightsAt        time.Duration // when weights were computed
	dirty            bool          // members or ejections have changed since weightsAt
	ejected          []*server
	listReceived     bool    // discovery has sent a list; see ServersPreloaded
	sendCount        float64 // decaying count of sends
	nominalRate      float64 // see Bounds.NominalRate
	acceptedFraction float64 // running fraction of sends that were not rejected
	sendCountAt      time.Duration
	// latencyPerQueued is the running median of the latency divided by the queue depth,
	// meanLatency the running mean of the latency. Both are fractions of the latency objective,
	// 0 until the first latency is recorded.
	latencyPerQueued, meanLatency float64
}

// replaceAll applies a complete server list: servers that are not on it are removed.
func (set *endpointSet) replaceAll(list []Endpoint, now time.Duration) {
	listed := make(map[string]bool, len(list))
	for _, endpoint := range list {
		listed[endpoint.Name] = true
	}
	for name := range set.byName { // in any order: the removal of one server does not change the others
		if !listed[name] {
			set.updateEndpoint(Endpoint{Name: name, State: Removed}, startTimeConverter{now: now})
		}
	}
	set.applyChanges(list, now)
}

// applyChanges applies changed entries of the server list.
func (set *endpointSet) applyChanges(changed []Endpoint, now time.Duration) {
	startTimes := set.newStartTimeConverter(changed, now)
	for _, endpoint := range changed {
		set.updateEndpoint(endpoint, startTimes)
	}
}

// updateEndpoint applies one entry of the server list: it adds, changes or removes the server.
func (set *endpointSet) updateEndpoint(endpoint Endpoint, startTimes startTimeConverter) {
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
		delete(set.byName, endpoint.Name) // attempts in flight keep their own pointer to it
		return
	}
	s.zone = endpoint.Zone
	s.group = endpoint.Group
	s.capacityHint = endpoint.CapacityHint
	if !(s.capacityHint > 0) || math.IsInf(s.capacityHint, 0) { // this catches NaN too
		s.capacityHint = 1
	}
	set.updateStart(s, endpoint.Started, startTimes)
}

// addServer adds a server that is new on the list. Its priority is random, so that each balancer
// orders the servers differently, and permanent, so that the working set changes little.
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

// setServing adds s to the members or removes it from them. It inserts at the sorted position,
// because sorting a large list after each of many small changes would cost more than the requests
// themselves.
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

// updateStart records the time of a server's last start, by the server's clock. If the time has
// changed, the server has restarted: the failures and latencies of the previous process are
// discarded and slow start begins. An earlier time counts as a restart too, because the server's
// clock may have been set back meanwhile.
func (set *endpointSet) updateStart(s *server, started time.Duration, startTimes startTimeConverter) {
	if started != s.started && started > 0 {
		s.failures = 0
		s.ejections = 0
		s.ejectedUntil = 0
		s.latencySum = 0
		s.latencyWeight = 0
		s.weightCorrection = 1
		s.slowStartTokens = tokenBucket{set.random(), startTimes.now}
		s.slowStartBegan = startTimes.toBalancerClock(started)
	}
	s.started = started
	s.slowStartEnds = 0
	if started > 0 {
		s.slowStartEnds = s.slowStartBegan + set.config.SlowStartDuration
	}
}
