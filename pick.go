package martendrum

import (
	"cmp"
	"math"
	"slices"
	"time"
)

const (
	maxWeightsAge = 200 * time.Millisecond // how long sampling weights are kept
	// localPreference multiplies the odds that a server of the balancer's own
	// zone is in its working set, where crossing zones has a price.
	localPreference = 3.0
	// A balancer keeps to a working set that it can know: serversPerRate servers
	// for each send a second, at least minWorkingSet. Where open connections have a
	// price, connectionCostBudget (in points) shrinks the set further, to minConnectedServers at least.
	serversPerRate       = 1.0
	minWorkingSet        = 4
	connectionCostBudget = 0.08
	minConnectedServers  = 3
	// weightCorrectionRate is how strongly one latency corrects a server's learned weight,
	// which stays within maxWeightCorrection of the hint's, above and below.
	weightCorrectionRate     = 0.2
	maxWeightCorrection      = 4.0
	weightCorrectionInterval = 2 * time.Second
	errorRateStep            = 0.3
	maxErrorRate             = 0.15 // more keeps the class away
	errorRateMemory          = time.Second
	meanStep                 = 0.04            // of running means over all servers
	rateMemory               = 4 * time.Second // what the count of recent sends looks back on
	// latencyPrior is the weight, in samples, of "as fast as the fleet" in a
	// server's latency estimate; latencyMemory is how fast old samples fade.
	latencyPrior  = 1.0
	latencyMemory = 12 * time.Second
	inFlightCost  = 1e4 // puts one request in flight above all other signs of cost
	// ejectionThreshold consecutive failures make a server suspect. It is ejected for
	// baseEjectionTime, doubled each time up to maxEjectionTime, with a random part so that
	// balancers do not return together. One that answered well within ejectionGrace is
	// not: where connections break by chance, the rest would overflow. It may do harm
	// for that time where a process has died.
	ejectionThreshold = 2
	ejectionGrace     = 100 * time.Millisecond
	baseEjectionTime  = time.Second
	maxEjectionTime   = 16 * time.Second
	// maxEjectedFraction of the fleet at most: past it, failures are everyone's or our own.
	maxEjectedFraction    = 0.4
	slowStartSafetyFactor = 0.5             // of what fells a cold server is sent at most; the rest is for chance
	loadReportMemory      = 3 * time.Second // how fast a load report loses its weight: queues stay seconds
	// The load that a late answer stands for, and what it leaves of the weight.
	overloadedLoad         = 8.0
	overloadedWeightFactor = 0.7
)

// server is one member as this balancer sees it.
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

// endpointSet is the membership, the working set and the sampling table over it.
type endpointSet struct {
	config           *Config
	random           func() float64
	byName           map[string]*server
	members          []*server     // serving servers, by priority
	workingSet       []*server     // the working set
	weights          []float64     // running sums over set
	weightsAt        time.Duration // when weights were made
	dirty            bool          // membership or ejections changed
	ejected          []*server
	listReceived     bool    // discovery has told a list
	sendCount        float64 // fading count of sends
	nominalRate      float64 // sends a second, were all taken: see Bounds
	acceptedFraction float64 // running share of sends that were not turned away
	sendCountAt      time.Duration
	// The running median of latency by requests held, the mean in fractions of the aim.
	latencyPerQueued, meanLatency float64
}

// updateEndpoint takes over what discovery says of one server. Members stay sorted: in a
// large fleet many small changes come, and sorting it for each cost more than requests.
func (f *endpointSet) updateEndpoint(e Endpoint, reading startReading) {
	now := reading.now
	f.dirty = true
	s := f.byName[e.Name]
	if s == nil && e.State == Removed {
		return
	}
	if s == nil {
		// The order differs by balancer and stays, so that a working set changes little.
		s = &server{name: e.Name, errorRates: make(map[int]tokenBucket), weightCorrection: 1, priority: -math.Log(1 - f.random())}
		if f.config.CrossZoneCost > 0 && e.Zone == f.config.Zone {
			s.priority /= localPreference
		}
		f.byName[e.Name] = s
	}
	if serving := e.State == Serving; serving != s.serving {
		s.serving = serving
		i, _ := slices.BinarySearchFunc(f.members, s, func(a, b *server) int {
			return cmp.Or(cmp.Compare(a.priority, b.priority), cmp.Compare(a.name, b.name))
		})
		if serving {
			f.members = slices.Insert(f.members, i, s)
		} else {
			f.members = slices.Delete(f.members, i, i+1)
		}
	}
	if e.State == Removed {
		delete(f.byName, e.Name) // attempts still out hold their own pointer
		return
	}
	s.zone, s.group, s.capacityHint = e.Zone, e.Group, e.CapacityHint
	if !(s.capacityHint > 0) || math.IsInf(s.capacityHint, 0) {
		s.capacityHint = 1
	}
	if e.Started != s.started && e.Started > 0 {
		// A restarted process has none of its old faults and none of its speed. Its own clock
		// may have been set back meanwhile.
		s.failures, s.ejections, s.ejectedUntil = 0, 0, 0
		s.latencySum, s.latencyWeight, s.weightCorrection, s.slowStartTokens = 0, 0, 1, tokenBucket{f.random(), now}
		s.slowStartBegan = reading.countsFrom(e.Started)
	}
	s.started, s.slowStartEnds = e.Started, 0
	if e.Started > 0 {
		s.slowStartEnds = s.slowStartBegan + f.config.SlowStartDuration
	}
}

// replaceAll takes a whole list: servers missing from it are gone.
func (f *endpointSet) replaceAll(list []Endpoint, now time.Duration) {
	listed := make(map[string]bool, len(list))
	for _, e := range list {
		listed[e.Name] = true
	}
	for name := range f.byName { // in any order: what goes leaves the others as they are
		if !listed[name] {
			f.updateEndpoint(Endpoint{Name: name, State: Removed}, startReading{now: now})
		}
	}
	f.applyChanges(list, now)
}

// applyChanges takes changes of the list.
func (f *endpointSet) applyChanges(changed []Endpoint, now time.Duration) {
	reading := f.readStarts(changed, now)
	for _, e := range changed {
		f.updateEndpoint(e, reading)
	}
}

// slowStartFactor is the share of its full capacity that a server surely has by now.
func (f *endpointSet) slowStartFactor(s *server, now time.Duration) float64 {
	if now >= s.slowStartEnds || f.config.SlowStartDuration <= 0 {
		return 1
	}
	return f.config.SlowStartInitialFraction + (1-f.config.SlowStartInitialFraction)*float64(max(0, now-s.slowStartBegan))/float64(f.config.SlowStartDuration)
}

// refresh rebuilds the sampling table when it is old or what it stands on changed.
func (f *endpointSet) refresh(now time.Duration) {
	ejected := len(f.ejected)
	f.ejected = slices.DeleteFunc(f.ejected, func(s *server) bool { return now >= s.ejectedUntil || !s.serving })
	f.dirty = f.dirty || len(f.ejected) < ejected
	if !f.dirty && now-f.weightsAt < maxWeightsAge {
		return
	}
	if size := f.workingSetSize(now); f.dirty || size > len(f.workingSet) || size < len(f.workingSet)*2/3 {
		f.chooseWorkingSet(size, now)
	}
	f.dirty, f.weightsAt, f.weights = false, now, f.weights[:0]
	sum := 0.0
	for _, s := range f.workingSet {
		if now >= s.ejectedUntil {
			sum += s.capacityHint * s.weightCorrection * f.slowStartFactor(s, now)
		}
		f.weights = append(f.weights, sum)
	}
}

// workingSetSize is how many servers this balancer's traffic lets it know well.
func (f *endpointSet) workingSetSize(now time.Duration) int {
	n := len(f.members)
	size := max(minWorkingSet, int(serversPerRate*f.rate(now)))
	if f.config.ConnectionCost > 0 && n > 0 {
		each := f.config.ConnectionCost * float64(f.config.Instances) / (100 * float64(n))
		size = max(minConnectedServers, min(size, int(math.Sqrt(connectionCostBudget/each)+0.5)))
	}
	return min(size, n)
}

// chooseWorkingSet takes the first servers by priority into the working set, ejected ones last.
func (f *endpointSet) chooseWorkingSet(size int, now time.Duration) {
	for _, s := range f.workingSet {
		s.inWorkingSet = false
	}
	f.workingSet = f.workingSet[:0]
	for _, ejected := range []bool{false, true} {
		for i := 0; i < len(f.members) && len(f.workingSet) < size; i++ {
			if s := f.members[i]; now < s.ejectedUntil == ejected {
				s.inWorkingSet = true
				f.workingSet = append(f.workingSet, s)
			}
		}
	}
}

// draw samples one member by weight, nil if none has any.
func (f *endpointSet) draw() *server {
	n := len(f.weights)
	if n == 0 || f.weights[n-1] <= 0 {
		return nil
	}
	// The next float up: a server of no weight is never hit, even by a draw of 0.
	i, _ := slices.BinarySearch(f.weights, math.Nextafter(f.random()*f.weights[n-1], math.Inf(1)))
	return f.workingSet[min(i, n-1)]
}

// pick is the two-choice pick: of two random servers the one with the lower
// cost. ok restricts the choice to servers that the request may go to.
func (f *endpointSet) pick(now time.Duration, ok func(*server) bool) *server {
	f.refresh(now)
	best, bestCost := (*server)(nil), math.Inf(1)
	for tries, found := 0, 0; tries < 8 && found < 2; tries++ {
		s := f.draw()
		if s == nil {
			break
		}
		if s == best || !ok(s) || !f.hasSlowStartBudget(s, now) {
			continue
		}
		found++
		if c := f.cost(s, now); c < bestCost {
			best, bestCost = s, c
		}
	}
	// Else any server, ejected too, from a random place: balancers must not herd.
	n := len(f.members)
	start := int(f.random() * float64(n))
	for i := 0; i < n && (best == nil || now < best.ejectedUntil); i++ {
		if s := f.members[(start+i)%n]; ok(s) && f.hasSlowStartBudget(s, now) && (best == nil || now >= s.ejectedUntil) {
			best = s
		}
	}
	return best
}

// cost compares candidates: own in-flight first; quiet balancers mostly tie
// there, so that the seen latency and the load report decide between equals.
func (f *endpointSet) cost(s *server, now time.Duration) float64 {
	return inFlightCost*float64(s.inFlight) + s.queueDepth(now)*s.latency(now)
}

// queueDepth is how many requests s holds with one more, by its load report.
func (s *server) queueDepth(now time.Duration) float64 {
	return 1 + s.load*decay(now-s.loadAt, loadReportMemory)
}

// latency is a server's recent latency relative to the fleet's.
func (s *server) latency(now time.Duration) float64 {
	w := decay(now-s.latencyAt, latencyMemory)
	return (s.latencySum*w + latencyPrior) / (s.latencyWeight*w + latencyPrior)
}

// recordLatency logs how long a send took, in fractions of the aim, takes its load
// report over and corrects its learned weight. Guards against capacity hints
// that are missing or wrong: with equal shares a slow kind of server fills first.
func (f *endpointSet) recordLatency(s *server, o Outcome, rep LoadReport, took, held float64, now time.Duration) {
	took = max(took, 1e-6)
	f.meanLatency = cmp.Or(f.meanLatency, took) // starts at the first
	f.meanLatency += meanStep * (took - f.meanLatency)
	if f.config.Probes { // only their limit reads it
		f.latencyPerQueued = cmp.Or(f.latencyPerQueued, took/held)
		f.latencyPerQueued *= math.Pow(1+meanStep, math.Copysign(1, took-f.latencyPerQueued*held))
	}
	w := decay(now-s.latencyAt, latencyMemory)
	s.latencySum, s.latencyWeight, s.latencyAt = s.latencySum*w+took/f.meanLatency, s.latencyWeight*w+1, now
	// Scaled to time: a busy balancer has many answers before a step shows.
	strength := weightCorrectionRate * min(1, float64(now-s.weightCorrectedAt)/float64(weightCorrectionInterval))
	s.weightCorrectedAt = now
	correct := math.Pow(f.meanLatency/took, strength)
	if o == TimedOut || took > 1 {
		// Guards against a jam that feeds itself: each balancer keeps just one
		// send there, yet all of them together hold the queue full.
		s.load, s.loadAt, correct = overloadedLoad, now, overloadedWeightFactor
	} else {
		s.updateLoad(rep, now)
	}
	s.weightCorrection = max(1/maxWeightCorrection, min(s.weightCorrection*correct, maxWeightCorrection))
}

// updateLoad takes a load report over.
func (s *server) updateLoad(rep LoadReport, now time.Duration) {
	switch {
	case rep.HasInFlight:
		s.load, s.loadAt = rep.InFlight, now
	case rep.HasUtilization:
		s.load, s.loadAt = min(rep.Utilization/(1.01-min(rep.Utilization, 1)), overloadedLoad), now
	}
}

// errorRate is a server's fading share of errors in a class. Guards against one that
// fails a class only: it serves the others well and would never be left out.
func (s *server) errorRate(class int, now time.Duration) float64 {
	return s.errorRates[class].tokens * decay(now-s.errorRates[class].at, errorRateMemory)
}

// recordFailure counts a failure against a server and ejects it when they add up.
func (f *endpointSet) recordFailure(s *server, now time.Duration) {
	s.failures++
	if s.failures < ejectionThreshold || s.answeredAt > 0 && now-s.answeredAt < ejectionGrace || now < s.ejectedUntil || float64(len(f.ejected)+1) > maxEjectedFraction*float64(len(f.members)) {
		return
	}
	span := min(baseEjectionTime<<min(s.ejections, 10), maxEjectionTime)
	s.ejections++
	s.failures = ejectionThreshold - 1 // one more failure on return ejects it again
	s.ejectedUntil = now + span/2 + time.Duration(f.random()*float64(span))
	f.ejected = append(f.ejected, s)
	f.dirty = true
}

// hasSlowStartBudget says whether a cold server can take one more send from here, guided by what a
// warm one takes, times what this one can stand: all balancers do the same, so that the sum
// stays under the fleet's limit. Many small shares, each kept until it is a whole send, would
// be let go together: they are drawn anew instead. Guests, on which all may fall back, get none.
func (f *endpointSet) hasSlowStartBudget(s *server, now time.Duration) bool {
	if now >= s.slowStartEnds || !s.inWorkingSet {
		return now >= s.slowStartEnds
	}
	span, part := max(f.config.OverloadDuration, time.Millisecond), 1/float64(len(f.workingSet))
	rate := max(f.acceptedFraction*f.rate(now), f.nominalRate) * part * slowStartSafetyFactor * f.config.OverloadFactor * f.slowStartFactor(s, now)
	// where nothing was sent yet, one send in span from all balancers together
	rate = max(rate, min(1, float64(len(f.members))*part/float64(f.config.Instances))/span.Seconds())
	if rate*span.Seconds() < 1 && f.random() > decay(now-s.slowStartTokens.at, span) {
		s.slowStartTokens.tokens = f.random()
	}
	s.slowStartTokens.refill(rate, rate*span.Seconds(), now)
	return s.slowStartTokens.tokens >= 1
}

// rate is this balancer's recent sends a second.
func (f *endpointSet) rate(now time.Duration) float64 {
	return f.sendCount * decay(now-f.sendCountAt, rateMemory) / rateMemory.Seconds()
}

// decay is the weight left to what is age old.
func decay(age, memory time.Duration) float64 { return math.Exp(-float64(age) / float64(memory)) }

// recordSend books a send to s.
func (f *endpointSet) recordSend(s *server, now time.Duration) {
	f.sendCount = f.sendCount*decay(now-f.sendCountAt, rateMemory) + 1
	f.sendCountAt = now
	s.inFlight++
	if now < s.slowStartEnds {
		s.slowStartTokens.tokens--
	}
}
