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
	scaleSizes    = flag.String("scale", "", "comma-separated numbers of subscribers, such as 1300,2600, at each of which TestScale measures; empty: TestScale is skipped")
	scaleRelays   = flag.Int("scale.relays", 16, "number of relays in TestScale, including the writer")
	scaleOut      = flag.String("scale.out", "", "file to which results are appended in the format of Go's benchmarks")
	scaleSpan     = flag.Duration("scale.span", 30*time.Second, "how long changes are published at a rate")
	scaleRest     = flag.Duration("scale.rest", 20*time.Second, "how long the fleet is measured without changes")
	scaleCases    = flag.String("scale.cases", "", "comma-separated cases to measure after the start, such as rest,power-loss; empty: all")
	scaleProfiles = flag.String("scale.profiles", "", "folder for profiles of the relays and workers; empty: no profiles")
)

// coalesce is how long subscribers wait for further changes before they apply one. It is the
// agents' default.
const coalesce = time.Second

// Intervals between changes: at 13,000 a day, an ordinary day's number, and at ten times that.
const (
	ordinaryInterval = 24 * time.Hour / 13000
	tenfoldInterval  = ordinaryInterval / 10
)

// cutDuration is how long the processes of a region are stopped.
const cutDuration = 10 * time.Second

// acceptTimeout bounds the wait until all subscribers have a change in force.
const acceptTimeout = 60 * time.Second

// scaleRun is a measurement with one number of subscribers: its processes, settings and results.
type scaleRun struct {
	t       testing.TB
	cluster *cluster
	workers *workers
	results *results
	version int           // of the latest content: each change has a new one
	rest    time.Duration // how long the fleet is measured without changes
	span    time.Duration // how long changes are published at a rate
	cut     time.Duration // how long the processes of a region are stopped
}

// TestScale measures the distribution of settings with each number of subscribers in the flag
// -scale. The measured delays have no bounds: the test fails only if a step fails or times out.
func TestScale(t *testing.T) {
	if *scaleSizes == "" {
		t.Skip("no sizes are given by -scale")
	}
	results := newResults(t, *scaleOut)
	results.note("relays", fmt.Sprint(*scaleRelays))
	results.note("layout", fmt.Sprintf("%d regions, %d zones, %d services with sizes as rank^-%v", Regions, Regions*ZonesPerRegion, Services, serviceSkew))
	results.note("coalesce", coalesce.String())
	results.note("baseline", "one command's reload, measured apart: 2.4-2.7 s at 400 hosts, 10-12 s at 1,600 (quadratic), one descriptor a host")
	for _, field := range strings.Split(*scaleSizes, ",") {
		size, err := strconv.Atoi(field)
		if err != nil {
			t.Fatalf("size in -scale: %v", err)
		}
		t.Run(field, func(t *testing.T) { measure(t, results, size) })
	}
}

// measure measures the cases of -scale.cases with one number of subscribers.
func measure(t *testing.T, results *results, size int) {
	results.load()
	results.subscribers = size
	const relaySubscribers = 8000
	s := &scaleRun{t: t, results: results, rest: *scaleRest, span: *scaleSpan, cut: cutDuration}
	s.cluster = newCluster(t, *scaleRelays, relaySubscribers, *scaleProfiles)
	s.workers = newWorkers(s.cluster, size, coalesce)
	s.publishInitialSettings(Services)
	s.startAll("start")
	for _, c := range s.cases() {
		if *scaleCases == "" || slices.Contains(strings.Split(*scaleCases, ","), c.name) {
			c.run()
		}
	}
}

// measuredCase is a case of the scale test. Its name is a value of -scale.cases.
type measuredCase struct {
	name string
	run  func()
}

// cases returns the cases that are measured after the start, in the order of their runs.
func (s *scaleRun) cases() []measuredCase {
	largestService := distribution.Scope{Labels: map[string]string{"service": ServiceName(0)}}
	return []measuredCase{
		{"rest", s.atRest},
		{"change-all", func() { s.singleChanges("change-all", distribution.Scope{}, 3) }},
		{"change-service", func() { s.singleChanges("change-service", largestService, 3) }},
		{"rate-ordinary", func() { s.changesAtRate("rate-ordinary", ordinaryInterval, s.span) }},
		{"rate-tenfold", func() { s.changesAtRate("rate-tenfold", tenfoldInterval, s.span) }},
		{"profiles", s.heapProfiles},
		{"relays-killed", s.relaysKilled},
		{"relays-silent", s.relaysSilent},
		{"region-cut", s.regionCut},
		{"power-loss", s.powerLoss},
	}
}

// TestHollowSubscribers runs most cases of the scale test with 60 subscribers and short times. It
// is small enough for each run of the tests.
func TestHollowSubscribers(t *testing.T) {
	results := newResults(t, filepath.Join(t.TempDir(), "results"))
	results.subscribers = 60
	s := &scaleRun{t: t, results: results, rest: 500 * time.Millisecond, span: time.Second, cut: 500 * time.Millisecond}
	s.cluster = newCluster(t, 3, 60, "")
	s.workers = newWorkers(s.cluster, 60, 100*time.Millisecond)
	s.publishInitialSettings(10)
	s.startAll("start")
	s.atRest()
	s.singleChanges("change-all", distribution.Scope{}, 1)
	s.singleChanges("change-service", distribution.Scope{Labels: map[string]string{"service": ServiceName(0)}}, 1)
	s.changesAtRate("rate", 100*time.Millisecond, s.span)
	s.relaysKilled()
	s.regionCut()
	s.powerLoss()
}

// contentBytes is about the size of one resource's content.
const contentBytes = 600

// content returns the content of a resource: an overlay for the configuration of instances. It
// differs from all earlier ones.
func (s *scaleRun) content() []byte {
	s.version++
	return fmt.Appendf(nil, `{"limits":{"memory_mb":%d},"comment":%q}`, 64+s.version, strings.Repeat("x", contentBytes))
}

// publishInitialSettings publishes a resource for all hosts, one for each zone and one for each of
// the given number of services.
func (s *scaleRun) publishInitialSettings(services int) {
	s.t.Helper()
	s.publish("fleet/base", distribution.Scope{})
	for zone := range Regions * ZonesPerRegion {
		s.publish("zone/"+ZoneName(zone), distribution.Scope{Labels: map[string]string{"zone": ZoneName(zone)}})
	}
	for rank := range services {
		s.publish("service/"+ServiceName(rank), distribution.Scope{Labels: map[string]string{"service": ServiceName(rank)}})
	}
}

// change is a published change.
type change struct {
	Change
	acknowledged time.Time // by the writer
	subscribers  int       // in its scope
}

// publish publishes a change of a resource with a new content.
func (s *scaleRun) publish(name string, scope distribution.Scope) change {
	s.t.Helper()
	published, at := s.cluster.publish(distribution.Put{Name: name, Scope: scope, Content: s.content()})
	return change{Change: published, acknowledged: at, subscribers: s.workers.countInScope(scope)}
}

// awaitAccepted waits until all subscribers in the scopes of changes have accepted them. It returns
// for each change the times at which subscribers accepted it, sorted.
func (s *scaleRun) awaitAccepted(changes []change) [][]time.Time {
	s.t.Helper()
	asked := make([]Change, len(changes))
	for n, change := range changes {
		asked[n] = change.Change
	}
	const askInterval = 500 * time.Millisecond // short intervals would load the workers with collecting replies
	var times [][]time.Time
	missing := ""
	for until := time.Now().Add(acceptTimeout); ; time.Sleep(askInterval) {
		times, missing = s.workers.accepted(asked...), ""
		for n, change := range changes {
			if len(times[n]) < change.subscribers {
				missing = fmt.Sprintf("%s at revision %v was accepted by %d of %d subscribers", change.Name, change.Revision, len(times[n]), change.subscribers)
			}
		}
		if missing == "" {
			return times
		}
		if time.Now().After(until) {
			s.t.Fatalf("timed out after %v: %s", acceptTimeout, missing)
		}
	}
}

// awaitKnown waits until the writer's status counts a revision as in force at all subscribers, and
// returns the time at which it did.
func (s *scaleRun) awaitKnown(revision distribution.Revision) time.Time {
	s.t.Helper()
	const askInterval = 100 * time.Millisecond
	var status distribution.Status
	for until := time.Now().Add(acceptTimeout); time.Now().Before(until); time.Sleep(askInterval) {
		if status = s.cluster.status(revision); status.InForce == len(s.workers.hosts) {
			return time.Now()
		}
	}
	s.t.Fatalf("the writer does not count revision %v as in force at all subscribers after %v; its status is %+v", revision, acceptTimeout, status)
	return time.Time{}
}

// relayUsage returns the usage of each running relay.
func (s *scaleRun) relayUsage() []Usage {
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

// startAll starts all subscribers at once, and measures when they have the initial settings.
func (s *scaleRun) startAll(name string) {
	s.t.Helper()
	s.workers.startProcesses()
	peak := s.watchDescriptors()
	began := s.workers.startSubscribers()
	s.awaitInitialSettings(name, began, peak)
}

// awaitInitialSettings waits until all subscribers have the initial settings in force, and writes
// a result line with the delays since began and the peaks of usage.
func (s *scaleRun) awaitInitialSettings(name string, began time.Time, peak *descriptorPeak) {
	s.t.Helper()
	var settled []time.Time
	until := time.Now().Add(acceptTimeout)
	for settled = s.workers.settled(); len(settled) < len(s.workers.hosts); settled = s.workers.settled() {
		if time.Now().After(until) {
			s.t.Fatalf("%d of %d subscribers have the initial settings after %v", len(settled), len(s.workers.hosts), acceptTimeout)
		}
		time.Sleep(250 * time.Millisecond)
	}
	known := s.awaitKnown(distribution.Revision{})
	delay999, delayAll := delays(began, settled)
	var peaks []int64
	for _, usage := range s.relayUsage() {
		peaks = append(peaks, usage.ResidentPeak)
	}
	s.results.add(name, metric{seconds(delay999), "s-999"}, metric{seconds(delayAll), "s-all"}, metric{seconds(known.Sub(began)), "s-known"},
		metric{float64(peak.stop()), "peak-descriptors/relay"}, metric{float64(largest(peaks)), "peak-B/relay"},
		metric{float64(s.workers.usage().ResidentPeak) / float64(len(s.workers.hosts)), "peak-B/subscriber"})
}

// atRest measures the usage over a time without changes.
func (s *scaleRun) atRest() {
	s.t.Helper()
	before := s.cost()
	time.Sleep(s.rest)
	s.addCost("rest", before)
}

// singleChanges publishes changes one at a time, each after the previous one is in force at all
// subscribers, and measures the delays of each.
func (s *scaleRun) singleChanges(name string, scope distribution.Scope, repeats int) {
	s.t.Helper()
	for range repeats {
		published := s.publish("single/"+name, scope)
		known := s.awaitKnown(published.Revision)
		times := s.awaitAccepted([]change{published})
		delay999, delayAll := delays(published.acknowledged, times[0])
		s.results.add(name, metric{float64(published.subscribers), "concerned"}, metric{seconds(delay999), "s-999"}, metric{seconds(delayAll), "s-all"},
			metric{seconds(known.Sub(published.acknowledged)), "s-known"})
	}
}

// publishAtRate publishes changes at an interval for a time span. One change in ten has the scope
// of all hosts, each of the others that of one service.
func (s *scaleRun) publishAtRate(interval, span time.Duration) []change {
	s.t.Helper()
	var published []change
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for until := time.Now().Add(span); time.Now().Before(until); <-ticker.C {
		n := len(published)
		if n%10 == 0 {
			published = append(published, s.publish(fmt.Sprint("rate/all-", n), distribution.Scope{}))
			continue
		}
		// The factor spreads the ranks over all services, including the largest.
		service := ServiceName((n - 1) * 37 % s.services())
		published = append(published, s.publish("rate/"+service, distribution.Scope{Labels: map[string]string{"service": service}}))
	}
	return published
}

// services returns how many services have a subscriber.
func (s *scaleRun) services() int {
	seen := make(map[string]bool)
	for _, host := range s.workers.hosts {
		seen[host.Service] = true
	}
	return min(len(seen), Services)
}

// changesAtRate publishes changes at an interval for a time span, and measures their delays and
// the usage.
func (s *scaleRun) changesAtRate(name string, interval, span time.Duration) {
	s.t.Helper()
	before := s.cost()
	published := s.publishAtRate(interval, span)
	s.addCost(name, before)
	s.addChanges(name, published)
}

// addChanges waits until all changes are in force, and writes the median and the maximum of the
// changes' delays.
func (s *scaleRun) addChanges(name string, published []change) {
	s.t.Helper()
	var delays999, delaysAll []time.Duration
	for n, times := range s.awaitAccepted(published) {
		if len(times) == 0 {
			continue // no subscriber of this fleet is in its scope
		}
		delay999, delayAll := delays(published[n].acknowledged, times)
		delays999, delaysAll = append(delays999, delay999), append(delaysAll, delayAll)
	}
	s.results.add(name, metric{float64(len(published)), "changes"},
		metric{seconds(median(delays999)), "median-s-999"}, metric{seconds(largest(delays999)), "worst-s-999"},
		metric{seconds(median(delaysAll)), "median-s-all"}, metric{seconds(largest(delaysAll)), "worst-s-all"})
}
