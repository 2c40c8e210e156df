package martendrum

import (
	"cmp"
	"math"
	"slices"
	"time"
)

const (
	samplerAge = 200 * time.Millisecond // how long sampling weights are kept
	// localPreference multiplies the odds that a server of the balancer's own
	// zone is in its working set, where crossing zones has a price.
	localPreference = 3.0
	// A balancer keeps to a working set that it can know: setPerRate servers
	// for each send a second, at least setMin. Where open connections have a
	// price, connBudget (in points) shrinks the set further, to connMin at least.
	setPerRate = 1.0
	setMin     = 4
	connBudget = 0.08
	connMin    = 3
	// learnLatency is how strongly one latency corrects a server's learned weight,
	// which stays within learnMax of the hint's, above and below.
	learnLatency = 0.2
	learnMax     = 4.0
	learnEvery   = 2 * time.Second
	sickStep     = 0.3
	sickMost     = 0.15 // more keeps the class away
	sickMemory   = time.Second
	meanStep     = 0.04            // of running means over all servers
	rateMemory   = 4 * time.Second // what the count of recent sends looks back on
	// latencyPrior is the weight, in samples, of "as fast as the fleet" in a
	// server's latency estimate; latencyMemory is how fast old samples fade.
	latencyPrior  = 1.0
	latencyMemory = 12 * time.Second
	inFlightFirst = 1e4 // puts one request in flight above all other signs of cost
	// ejectAfter consecutive failures make a server suspect. It is ejected for
	// ejectBase, doubled each time up to ejectMax, with a random part so that
	// balancers do not return together. One that answered well within ejectSilence is
	// not: where connections break by chance, the rest would overflow. It may do harm
	// for that time where a process has died.
	ejectAfter   = 2
	ejectSilence = 100 * time.Millisecond
	ejectBase    = time.Second
	ejectMax     = 16 * time.Second
	// ejectShare of the fleet at most: past it, failures are everyone's or our own.
	ejectShare   = 0.4
	coldPart     = 0.5             // of what fells a cold server is sent at most; the rest is for chance
	reportMemory = 3 * time.Second // how fast a load report loses its weight: queues stay seconds
	// The load that a late answer stands for, and what it leaves of the weight.
	jammedLoad   = 8.0
	jammedWeight = 0.7
)

// server is one member as this balancer sees it.
type server struct {
	name, zone          string
	group               int
	hint                float64       // the list's capacity hint, 1 where it gives none
	learned             float64       // corrects the hint by what was seen
	started             time.Duration // its last start, by its own word
	countsFrom, warmAt  time.Duration // from when that start counts, and when it is warm at the latest
	serving, inSet      bool          // listed as serving; in the working set
	inFlight            int
	failures, ejections int           // in a row; for the backoff
	ejectedUntil        time.Duration // suspect until then
	latSum, latN        float64       // fading sum and weight of relative latencies
	load                float64       // last load report, in requests held
	latAt, loadAt       time.Duration
	heardAt             time.Duration  // last answer but errors
	sick                map[int]bucket // by class: share of errors
	learnedAt           time.Duration
	priority            float64 // order among members, lowest first
	cold                bucket  // sends that it may get while cold
}

// fleet is the membership, the working set and the sampling table over it.
type fleet struct {
	cfg     *Config
	rand    func() float64
	byName  map[string]*server
	members []*server     // serving servers, by priority
	set     []*server     // the working set
	weights []float64     // running sums over set
	fresh   time.Duration // when weights were made
	dirty   bool          // membership or ejections changed
	ejected []*server
	told    bool    // discovery has told a list
	sent    float64 // fading count of sends
	nominal float64 // sends a second, were all taken: see Bounds
	taken   float64 // running share of sends that were not turned away
	sentAt  time.Duration
	// The running median of latency by requests held, the mean in fractions of the aim.
	perHeld, meanLat float64
}

// update takes over what discovery says of one server. Members stay sorted: in a
// large fleet many small changes come, and sorting it for each cost more than requests.
func (f *fleet) update(e Endpoint, reading startReading) {
	now := reading.now
	f.dirty = true
	s := f.byName[e.Name]
	if s == nil && e.State == Gone {
		return
	}
	if s == nil {
		// The order differs by balancer and stays, so that a working set changes little.
		s = &server{name: e.Name, sick: make(map[int]bucket), learned: 1, priority: -math.Log(1 - f.rand())}
		if f.cfg.CrossZoneCost > 0 && e.Zone == f.cfg.Zone {
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
	if e.State == Gone {
		delete(f.byName, e.Name) // attempts still out hold their own pointer
		return
	}
	s.zone, s.group, s.hint = e.Zone, e.Group, e.Hint
	if !(s.hint > 0) || math.IsInf(s.hint, 0) {
		s.hint = 1
	}
	if e.Started != s.started && e.Started > 0 {
		// A restarted process has none of its old faults and none of its speed. Its own clock
		// may have been set back meanwhile.
		s.failures, s.ejections, s.ejectedUntil = 0, 0, 0
		s.latSum, s.latN, s.learned, s.cold = 0, 0, 1, bucket{f.rand(), now}
		s.countsFrom = reading.countsFrom(e.Started)
	}
	s.started, s.warmAt = e.Started, 0
	if e.Started > 0 {
		s.warmAt = s.countsFrom + f.cfg.ColdFor
	}
}

// replace takes a whole list: servers missing from it are gone.
func (f *fleet) replace(list []Endpoint, now time.Duration) {
	listed := make(map[string]bool, len(list))
	for _, e := range list {
		listed[e.Name] = true
	}
	for name := range f.byName { // in any order: what goes leaves the others as they are
		if !listed[name] {
			f.update(Endpoint{Name: name, State: Gone}, startReading{now: now})
		}
	}
	f.change(list, now)
}

// change takes changes of the list.
func (f *fleet) change(changed []Endpoint, now time.Duration) {
	reading := f.readStarts(changed, now)
	for _, e := range changed {
		f.update(e, reading)
	}
}

// warmth is the share of its full capacity that a server surely has by now.
func (f *fleet) warmth(s *server, now time.Duration) float64 {
	if now >= s.warmAt || f.cfg.ColdFor <= 0 {
		return 1
	}
	return f.cfg.ColdFrom + (1-f.cfg.ColdFrom)*float64(max(0, now-s.countsFrom))/float64(f.cfg.ColdFor)
}

// refresh rebuilds the sampling table when it is old or what it stands on changed.
func (f *fleet) refresh(now time.Duration) {
	ejected := len(f.ejected)
	f.ejected = slices.DeleteFunc(f.ejected, func(s *server) bool { return now >= s.ejectedUntil || !s.serving })
	f.dirty = f.dirty || len(f.ejected) < ejected
	if !f.dirty && now-f.fresh < samplerAge {
		return
	}
	if size := f.setSize(now); f.dirty || size > len(f.set) || size < len(f.set)*2/3 {
		f.chooseSet(size, now)
	}
	f.dirty, f.fresh, f.weights = false, now, f.weights[:0]
	sum := 0.0
	for _, s := range f.set {
		if now >= s.ejectedUntil {
			sum += s.hint * s.learned * f.warmth(s, now)
		}
		f.weights = append(f.weights, sum)
	}
}

// setSize is how many servers this balancer's traffic lets it know well.
func (f *fleet) setSize(now time.Duration) int {
	n := len(f.members)
	size := max(setMin, int(setPerRate*f.rate(now)))
	if f.cfg.ConnectionCost > 0 && n > 0 {
		each := f.cfg.ConnectionCost * float64(f.cfg.Instances) / (100 * float64(n))
		size = max(connMin, min(size, int(math.Sqrt(connBudget/each)+0.5)))
	}
	return min(size, n)
}

// chooseSet takes the first servers by priority into the working set, ejected ones last.
func (f *fleet) chooseSet(size int, now time.Duration) {
	for _, s := range f.set {
		s.inSet = false
	}
	f.set = f.set[:0]
	for _, ejected := range []bool{false, true} {
		for i := 0; i < len(f.members) && len(f.set) < size; i++ {
			if s := f.members[i]; now < s.ejectedUntil == ejected {
				s.inSet = true
				f.set = append(f.set, s)
			}
		}
	}
}

// draw samples one member by weight, nil if none has any.
func (f *fleet) draw() *server {
	n := len(f.weights)
	if n == 0 || f.weights[n-1] <= 0 {
		return nil
	}
	// The next float up: a server of no weight is never hit, even by a draw of 0.
	i, _ := slices.BinarySearch(f.weights, math.Nextafter(f.rand()*f.weights[n-1], math.Inf(1)))
	return f.set[min(i, n-1)]
}

// pick is the two-choice pick: of two random servers the one with the lower
// cost. ok restricts the choice to servers that the request may go to.
func (f *fleet) pick(now time.Duration, ok func(*server) bool) *server {
	f.refresh(now)
	best, bestCost := (*server)(nil), math.Inf(1)
	for tries, found := 0, 0; tries < 8 && found < 2; tries++ {
		s := f.draw()
		if s == nil {
			break
		}
		if s == best || !ok(s) || !f.coldRoom(s, now) {
			continue
		}
		found++
		if c := f.cost(s, now); c < bestCost {
			best, bestCost = s, c
		}
	}
	// Else any server, ejected too, from a random place: balancers must not herd.
	n := len(f.members)
	start := int(f.rand() * float64(n))
	for i := 0; i < n && (best == nil || now < best.ejectedUntil); i++ {
		if s := f.members[(start+i)%n]; ok(s) && f.coldRoom(s, now) && (best == nil || now >= s.ejectedUntil) {
			best = s
		}
	}
	return best
}

// cost compares candidates: own in-flight first; quiet balancers mostly tie
// there, so that the seen latency and the load report decide between equals.
func (f *fleet) cost(s *server, now time.Duration) float64 {
	return inFlightFirst*float64(s.inFlight) + s.held(now)*s.latency(now)
}

// held is how many requests s holds with one more, by its load report.
func (s *server) held(now time.Duration) float64 { return 1 + s.load*fade(now-s.loadAt, reportMemory) }

// latency is a server's recent latency relative to the fleet's.
func (s *server) latency(now time.Duration) float64 {
	w := fade(now-s.latAt, latencyMemory)
	return (s.latSum*w + latencyPrior) / (s.latN*w + latencyPrior)
}

// report logs how long a send took, in fractions of the aim, takes its load
// report over and corrects its learned weight. Guards against capacity hints
// that are missing or wrong: with equal shares a slow kind of server fills first.
func (f *fleet) report(s *server, o Outcome, rep Report, took, held float64, now time.Duration) {
	took = max(took, 1e-6)
	f.meanLat = cmp.Or(f.meanLat, took) // starts at the first
	f.meanLat += meanStep * (took - f.meanLat)
	if f.cfg.Probes { // only their limit reads it
		f.perHeld = cmp.Or(f.perHeld, took/held)
		f.perHeld *= math.Pow(1+meanStep, math.Copysign(1, took-f.perHeld*held))
	}
	w := fade(now-s.latAt, latencyMemory)
	s.latSum, s.latN, s.latAt = s.latSum*w+took/f.meanLat, s.latN*w+1, now
	// Scaled to time: a busy balancer has many answers before a step shows.
	strength := learnLatency * min(1, float64(now-s.learnedAt)/float64(learnEvery))
	s.learnedAt = now
	correct := math.Pow(f.meanLat/took, strength)
	if o == TimedOut || took > 1 {
		// Guards against a jam that feeds itself: each balancer keeps just one
		// send there, yet all of them together hold the queue full.
		s.load, s.loadAt, correct = jammedLoad, now, jammedWeight
	} else {
		s.heed(rep, now)
	}
	s.learned = max(1/learnMax, min(s.learned*correct, learnMax))
}

// heed takes a load report over.
func (s *server) heed(rep Report, now time.Duration) {
	switch {
	case rep.HasInFlight:
		s.load, s.loadAt = rep.InFlight, now
	case rep.HasUtil:
		s.load, s.loadAt = min(rep.Util/(1.01-min(rep.Util, 1)), jammedLoad), now
	}
}

// ails is a server's fading share of errors in a class. Guards against one that
// fails a class only: it serves the others well and would never be left out.
func (s *server) ails(class int, now time.Duration) float64 {
	return s.sick[class].tokens * fade(now-s.sick[class].at, sickMemory)
}

// failed counts a failure against a server and ejects it when they add up.
func (f *fleet) failed(s *server, now time.Duration) {
	s.failures++
	if s.failures < ejectAfter || s.heardAt > 0 && now-s.heardAt < ejectSilence || now < s.ejectedUntil || float64(len(f.ejected)+1) > ejectShare*float64(len(f.members)) {
		return
	}
	span := min(ejectBase<<min(s.ejections, 10), ejectMax)
	s.ejections++
	s.failures = ejectAfter - 1 // one more failure on return ejects it again
	s.ejectedUntil = now + span/2 + time.Duration(f.rand()*float64(span))
	f.ejected = append(f.ejected, s)
	f.dirty = true
}

// coldRoom says whether a cold server can take one more send from here, guided by what a
// warm one takes, times what this one can stand: all balancers do the same, so that the sum
// stays under the fleet's limit. Many small shares, each kept until it is a whole send, would
// be let go together: they are drawn anew instead. Guests, on which all may fall back, get none.
func (f *fleet) coldRoom(s *server, now time.Duration) bool {
	if now >= s.warmAt || !s.inSet {
		return now >= s.warmAt
	}
	span, part := max(f.cfg.OverloadFor, time.Millisecond), 1/float64(len(f.set))
	rate := max(f.taken*f.rate(now), f.nominal) * part * coldPart * f.cfg.OverloadFactor * f.warmth(s, now)
	// where nothing was sent yet, one send in span from all balancers together
	rate = max(rate, min(1, float64(len(f.members))*part/float64(f.cfg.Instances))/span.Seconds())
	if rate*span.Seconds() < 1 && f.rand() > fade(now-s.cold.at, span) {
		s.cold.tokens = f.rand()
	}
	s.cold.refill(rate, rate*span.Seconds(), now)
	return s.cold.tokens >= 1
}

// rate is this balancer's recent sends a second.
func (f *fleet) rate(now time.Duration) float64 {
	return f.sent * fade(now-f.sentAt, rateMemory) / rateMemory.Seconds()
}

// fade is the weight left to what is age old.
func fade(age, memory time.Duration) float64 { return math.Exp(-float64(age) / float64(memory)) }

// noteSend books a send to s.
func (f *fleet) noteSend(s *server, now time.Duration) {
	f.sent = f.sent*fade(now-f.sentAt, rateMemory) + 1
	f.sentAt = now
	s.inFlight++
	if now < s.warmAt {
		s.cold.tokens--
	}
}
