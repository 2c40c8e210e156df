package hollow

import (
	"flag"
	"fmt"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	"martendrum/internal/fleet/distribution"
)

var (
	scaleSizes    = flag.String("scale", "", "numbers of subscribers, such as 1300,2600: the scale test runs at each")
	scaleRelays   = flag.Int("scale.relays", 16, "relays of the scale test, the writer among them")
	scaleOut      = flag.String("scale.out", "", "file that results are added to, in the format of Go's benchmarks")
	scaleSpan     = flag.Duration("scale.span", 30*time.Second, "how long changes come at a rate")
	scaleRest     = flag.Duration("scale.rest", 20*time.Second, "how long the fleet at rest is measured")
	scaleCases    = flag.String("scale.cases", "", "cases to measure after the start, such as rest,power-loss; all by default")
	scaleProfiles = flag.String("scale.profiles", "", "folder for profiles of the relays and workers")
)

// coalesce is how long subscribers wait for more changes, the agents' default.
const coalesce = time.Second

// Rates of changes: 13,000 on an ordinary day, and ten times that.
const (
	ordinaryInterval = 24 * time.Hour / 13000
	tenfoldInterval  = ordinaryInterval / 10
)

// cutFor is how long a region is stopped.
const cutFor = 10 * time.Second

// acceptTimeout bounds the wait until all subscribers have a change.
const acceptTimeout = 60 * time.Second

// scale holds the processes, and the results, of a measurement at one size.
type scale struct {
	t       testing.TB
	cluster *cluster
	workers *workers
	results *results
	version int // of the contents: each change is a new one
	rest    time.Duration
	span    time.Duration
	cut     time.Duration // how long a region is cut off
}

// TestScale measures the distribution at the sizes of the flag -scale.
func TestScale(t *testing.T) {
	if *scaleSizes == "" {
		t.Skip("without -scale")
	}
	results := newResults(t, *scaleOut)
	results.note("relays", fmt.Sprint(*scaleRelays))
	results.note("layout", fmt.Sprintf("%d regions, %d zones, %d services with sizes as rank^-%v", Regions, Regions*ZonesPerRegion, Services, serviceSkew))
	results.note("coalesce", coalesce.String())
	results.note("baseline", "one command's reload, measured apart: 2.4-2.7 s at 400 hosts, 10-12 s at 1,600 (quadratic), one descriptor a host")
	for _, field := range strings.Split(*scaleSizes, ",") {
		size, err := strconv.Atoi(field)
		if err != nil {
			t.Fatal(err)
		}
		t.Run(field, func(t *testing.T) { measure(t, results, size) })
	}
}

// measure measures all cases at one size.
func measure(t *testing.T, results *results, size int) {
	results.load()
	results.subscribers = size
	const relaySubscribers = 8000
	s := &scale{t: t, results: results, rest: *scaleRest, span: *scaleSpan, cut: cutFor}
	s.cluster = newCluster(t, *scaleRelays, relaySubscribers, *scaleProfiles)
	s.workers = newWorkers(s.cluster, size, coalesce)
	s.publishState(Services)
	s.start("start")
	for _, c := range s.cases() {
		if *scaleCases == "" || slices.Contains(strings.Split(*scaleCases, ","), c.name) {
			c.run()
		}
	}
}

// measured is one case of the scale test.
type measured struct {
	name string
	run  func()
}

// cases returns the cases that are measured after the start, in order.
func (s *scale) cases() []measured {
	largestService := distribution.Scope{Labels: map[string]string{"service": ServiceName(0)}}
	return []measured{
		{"rest", s.atRest},
		{"change-all", func() { s.single("change-all", distribution.Scope{}, 3) }},
		{"change-service", func() { s.single("change-service", largestService, 3) }},
		{"rate-ordinary", func() { s.rate("rate-ordinary", ordinaryInterval, s.span) }},
		{"rate-tenfold", func() { s.rate("rate-tenfold", tenfoldInterval, s.span) }},
		{"profiles", s.heapProfiles},
		{"relays-killed", s.relaysKilled},
		{"relays-silent", s.relaysSilent},
		{"region-cut", s.regionCut},
		{"power-loss", s.powerLoss},
	}
}

// TestHollowSubscribers runs all cases of the scale test with few subscribers, small enough
// for each run of the tests.
func TestHollowSubscribers(t *testing.T) {
	results := newResults(t, filepath.Join(t.TempDir(), "results"))
	results.subscribers = 60
	s := &scale{t: t, results: results, rest: 500 * time.Millisecond, span: time.Second, cut: 500 * time.Millisecond}
	s.cluster = newCluster(t, 3, 60, "")
	s.workers = newWorkers(s.cluster, 60, 100*time.Millisecond)
	s.publishState(10)
	s.start("start")
	s.atRest()
	s.single("change-all", distribution.Scope{}, 1)
	s.single("change-service", distribution.Scope{Labels: map[string]string{"service": ServiceName(0)}}, 1)
	s.rate("rate", 100*time.Millisecond, s.span)
	s.relaysKilled()
	s.regionCut()
	s.powerLoss()
}

// contentBytes is about the size of one resource's content.
const contentBytes = 600

// content is a new overlay.
func (s *scale) content() []byte {
	s.version++
	return fmt.Appendf(nil, `{"limits":{"memory_mb":%d},"comment":%q}`, 64+s.version, strings.Repeat("x", contentBytes))
}

// publishState publishes a resource for all, one for each zone and one for each service.
func (s *scale) publishState(services int) {
	s.t.Helper()
	s.publish("fleet/base", distribution.Scope{})
	for zone := range Regions * ZonesPerRegion {
		s.publish("zone/"+ZoneName(zone), distribution.Scope{Labels: map[string]string{"zone": ZoneName(zone)}})
	}
	for rank := range services {
		s.publish("service/"+ServiceName(rank), distribution.Scope{Labels: map[string]string{"service": ServiceName(rank)}})
	}
}

// change is a published change with the subscribers in its scope.
type change struct {
	Change
	acknowledged time.Time
	concerned    int
}

func (s *scale) publish(name string, scope distribution.Scope) change {
	s.t.Helper()
	made, at := s.cluster.publish(distribution.Put{Name: name, Scope: scope, Content: s.content()})
	return change{Change: made, acknowledged: at, concerned: s.workers.concerned(scope)}
}

// inForce waits until all subscribers in the scope of changes have accepted them, and returns when
// each did.
func (s *scale) inForce(changes []change) [][]time.Time {
	s.t.Helper()
	asked := make([]Change, len(changes))
	for n, change := range changes {
		asked[n] = change.Change
	}
	const askInterval = 500 * time.Millisecond // an answer of all costs the workers time
	var times [][]time.Time
	missing := ""
	for until := time.Now().Add(acceptTimeout); ; time.Sleep(askInterval) {
		times, missing = s.workers.accepted(asked...), ""
		for n, change := range changes {
			if len(times[n]) < change.concerned {
				missing = fmt.Sprintf("%s %v at %d of %d", change.Name, change.Revision, len(times[n]), change.concerned)
			}
		}
		if missing == "" {
			return times
		}
		if time.Now().After(until) {
			s.t.Fatalf("not in force after %v: %s", acceptTimeout, missing)
		}
	}
}

// known waits until the writer's status counts all subscribers, and returns when it did.
func (s *scale) known(revision distribution.Revision) time.Time {
	s.t.Helper()
	const askInterval = 100 * time.Millisecond
	var status distribution.Status
	for until := time.Now().Add(acceptTimeout); time.Now().Before(until); time.Sleep(askInterval) {
		if status = s.cluster.status(revision); status.InForce == len(s.workers.hosts) {
			return time.Now()
		}
	}
	s.t.Fatalf("the writer does not know of %v after %v: %+v", revision, acceptTimeout, status)
	return time.Time{}
}

// relayUsage returns the usage of each running relay.
func (s *scale) relayUsage() []Usage {
	s.t.Helper()
	var usages []Usage
	for _, relay := range s.cluster.relays {
		if relay.process == nil {
			continue
		}
		usage, err := ReadUsage(relay.process.pid())
		s.cluster.must(err)
		usages = append(usages, usage)
	}
	return usages
}

// start starts all subscribers at once, and measures when they have the state.
func (s *scale) start(name string) {
	s.t.Helper()
	s.workers.launch()
	peak := s.watchDescriptors()
	began := s.workers.begin()
	s.awaitState(name, began, peak)
}

// awaitState waits until all have the state, and writes the result.
func (s *scale) awaitState(name string, began time.Time, peak *descriptorPeak) {
	s.t.Helper()
	var settled []time.Time
	until := time.Now().Add(acceptTimeout)
	for settled = s.workers.settled(); len(settled) < len(s.workers.hosts); settled = s.workers.settled() {
		if time.Now().After(until) {
			s.t.Fatalf("%d of %d have the state after %v", len(settled), len(s.workers.hosts), acceptTimeout)
		}
		time.Sleep(250 * time.Millisecond)
	}
	known := s.known(distribution.Revision{})
	limit, all := delays(began, settled)
	var peaks []int64
	for _, usage := range s.relayUsage() {
		peaks = append(peaks, usage.ResidentPeak)
	}
	s.results.add(name, value{seconds(limit), "s-999"}, value{seconds(all), "s-all"}, value{seconds(known.Sub(began)), "s-known"},
		value{float64(peak.stop()), "peak-descriptors/relay"}, value{float64(largest(peaks)), "peak-B/relay"},
		value{float64(s.workers.usage().ResidentPeak) / float64(len(s.workers.hosts)), "peak-B/subscriber"})
}

// atRest measures a time without changes.
func (s *scale) atRest() {
	s.t.Helper()
	before := s.cost()
	time.Sleep(s.rest)
	s.addCost("rest", before)
}

// single publishes changes one at a time, each once the one before is in force.
func (s *scale) single(name string, scope distribution.Scope, repeats int) {
	s.t.Helper()
	for range repeats {
		made := s.publish("single/"+name, scope)
		known := s.known(made.Revision)
		times := s.inForce([]change{made})
		limit, all := delays(made.acknowledged, times[0])
		s.results.add(name, value{float64(made.concerned), "concerned"}, value{seconds(limit), "s-999"}, value{seconds(all), "s-all"},
			value{seconds(known.Sub(made.acknowledged)), "s-known"})
	}
}

// changes publishes at a rate for a time: one in ten has the scope of all hosts, the others that
// of one service.
func (s *scale) changes(each, span time.Duration) []change {
	s.t.Helper()
	var made []change
	ticker := time.NewTicker(each)
	defer ticker.Stop()
	for until := time.Now().Add(span); time.Now().Before(until); <-ticker.C {
		n := len(made)
		if n%10 == 0 {
			made = append(made, s.publish(fmt.Sprint("rate/all-", n), distribution.Scope{}))
			continue
		}
		// Ranks spread over all services, the largest among them.
		service := ServiceName((n - 1) * 37 % s.services())
		made = append(made, s.publish("rate/"+service, distribution.Scope{Labels: map[string]string{"service": service}}))
	}
	return made
}

// services returns how many services have a subscriber.
func (s *scale) services() int {
	seen := make(map[string]bool)
	for _, host := range s.workers.hosts {
		seen[host.Service] = true
	}
	return min(len(seen), Services)
}

// rate publishes changes at a rate and measures times and cost.
func (s *scale) rate(name string, each, span time.Duration) {
	s.t.Helper()
	before := s.cost()
	made := s.changes(each, span)
	s.addCost(name, before)
	s.addChanges(name, made)
}

// addChanges waits until all changes are in force, and writes how long that took: the middle
// and the worst of them.
func (s *scale) addChanges(name string, made []change) {
	s.t.Helper()
	var mosts, alls []time.Duration
	for n, times := range s.inForce(made) {
		if len(times) == 0 {
			continue // it concerns nobody at this size
		}
		limit, all := delays(made[n].acknowledged, times)
		mosts, alls = append(mosts, limit), append(alls, all)
	}
	s.results.add(name, value{float64(len(made)), "changes"},
		value{seconds(middle(mosts)), "median-s-999"}, value{seconds(largest(mosts)), "worst-s-999"},
		value{seconds(middle(alls)), "median-s-all"}, value{seconds(largest(alls)), "worst-s-all"})
}
