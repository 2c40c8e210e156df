package distribution

import (
	"errors"
	"fmt"
	"slices"
	"testing"
	"time"
)

func TestRegistryTracksChangesInInterest(t *testing.T) {
	log, registry := newLog(testLimits()), NewRegistry("r1", 10)
	registry.Advance(log)
	interestX, interestY := interestIn("hx", "x"), interestIn("hy", "y")
	mustJoin(t, registry, interestX, 1, settledAt(log.Revision()))
	mustJoin(t, registry, interestY, 2, settledAt(log.Revision()))
	requireCounts(t, registry, Revision{}, counts{hosts: 2, inForce: 2})

	resource := publish(t, log, put("a", "x", content(1)))
	registry.Advance(log)
	requireCounts(t, registry, Revision{}, counts{hosts: 2, inForce: 1, behind: 1})
	sendUpdate(t, registry, log, interestX, 1, Revision{1, 0})
	requireCounts(t, registry, Revision{}, counts{hosts: 2, inForce: 1, behind: 1})
	registry.Acknowledge("hx", 1, HostState{Received: resource.Revision, Applied: Revision{1, 0}, Waiting: "an operation"})
	requireCounts(t, registry, Revision{}, counts{hosts: 2, inForce: 1, behind: 1})
	registry.Acknowledge("hx", 1, settledAt(resource.Revision))
	requireCounts(t, registry, Revision{}, counts{hosts: 2, inForce: 2})
	requireCounts(t, registry, Revision{1, 99}, counts{hosts: 2, behind: 2})

	publish(t, log, put("b", "z", content(1)))
	registry.Advance(log)
	requireCounts(t, registry, Revision{}, counts{hosts: 2, inForce: 2})

	registry.Acknowledge("hx", 1, rejectedAt(log.Revision()))
	requireCounts(t, registry, Revision{}, counts{hosts: 2, inForce: 1, rejected: 1})
	requireCounts(t, registry, resource.Revision, counts{hosts: 2, inForce: 2})
	if status := registry.Status(Revision{}, 0); len(status.Missing) != 0 {
		t.Errorf("Status with the limit 0 lists the hosts %v, want none", status.Missing)
	}
}

// A host that joins with an earlier revision counts as behind until the relay has checked
// whether the changes since are in its interest.
func TestRegistryDoesNotTrustJoinWithEarlierRevision(t *testing.T) {
	log, registry := newLog(testLimits()), NewRegistry("r1", 10)
	before := log.Revision()
	publish(t, log, put("a", "x", content(1)))
	registry.Advance(log)
	interestX, interestY := interestIn("hx", "x"), interestIn("hy", "y")
	mustJoin(t, registry, interestX, 1, settledAt(before))
	mustJoin(t, registry, interestY, 2, settledAt(before))
	requireCounts(t, registry, Revision{}, counts{hosts: 2, behind: 2})
	writer := NewRegistry("writer", 10)
	forward(registry, writer, 1)
	requireCounts(t, writer, log.Revision(), counts{hosts: 2, behind: 2})

	if update := sendUpdate(t, registry, log, interestY, 2, before); !update.Empty() {
		t.Fatalf("update for the host without a change in its interest is %+v, want an empty one", update)
	}
	if update := sendUpdate(t, registry, log, interestX, 1, before); update.Empty() {
		t.Fatalf("update for the host with a change in its interest is %+v, want the change", update)
	}
	requireCounts(t, registry, Revision{}, counts{hosts: 2, inForce: 1, behind: 1})
	forward(registry, writer, 1)
	requireCounts(t, writer, log.Revision(), counts{hosts: 2, inForce: 1, behind: 1})
}

// An update that was read before a change and recorded after it does not include the change.
func TestRegistryUpdateReadBeforeAChange(t *testing.T) {
	log, registry := newLog(testLimits()), NewRegistry("r1", 10)
	registry.Advance(log)
	interest := interestIn("hx", "x")
	mustJoin(t, registry, interest, 1, settledAt(log.Revision()))
	first := publish(t, log, put("a", "x", content(1)))
	registry.Advance(log)
	update, err := log.Read(Query{After: Revision{1, 0}, Interest: &interest})
	if err != nil {
		t.Fatal(err)
	}
	publish(t, log, put("a", "x", content(2)))
	registry.Advance(log)
	registry.RecordRead("hx", 1, &update)
	registry.Acknowledge("hx", 1, settledAt(first.Revision))
	requireCounts(t, registry, Revision{}, counts{hosts: 1, behind: 1})
	requireCounts(t, registry, first.Revision, counts{hosts: 1, inForce: 1})
}

func TestRegistryAfterCompaction(t *testing.T) {
	log, relay := newLog(Limits{Resources: 10, History: 2}), NewState(testLimits())
	registry := NewRegistry("r1", 10)
	catchUp(t, log, relay, 0)
	registry.Advance(relay)
	interest := interestIn("hy", "y")
	mustJoin(t, registry, interest, 1, settledAt(relay.Revision()))
	for n := range 5 {
		publish(t, log, put("a", "x", content(n)))
	}
	catchUp(t, log, relay, 0)
	registry.Advance(relay)
	requireCounts(t, registry, Revision{}, counts{hosts: 1, behind: 1})
	registry.Acknowledge("hy", 1, settledAt(relay.Revision()))
	requireCounts(t, registry, Revision{}, counts{hosts: 1, inForce: 1})
}

func TestRegistryBoundsSubscribers(t *testing.T) {
	registry := NewRegistry("r1", 2)
	mustJoin(t, registry, interestIn("h1", "x"), 1, HostState{})
	mustJoin(t, registry, interestIn("h2", "x"), 2, HostState{})
	mustJoin(t, registry, interestIn("h2", "x"), 3, HostState{})
	err := registry.Join(testTime, interestIn("h3", "x"), 4, HostState{})
	if full, ok := errors.AsType[*FullError](err); !ok || full.Limit != 2 {
		t.Errorf("Join of a third subscriber: got error %v, want a FullError with the limit 2", err)
	}
	if err := registry.Join(testTime, interestIn("h2", "x"), 2, HostState{}); !isInvalid(err) {
		t.Errorf("Join with an earlier session: got error %v, want an InvalidError", err)
	}
	registry.Leave(testTime, "h2", 2)
	if registry.Subscribers() != 2 {
		t.Errorf("%d subscribers after the end of an earlier session, want 2", registry.Subscribers())
	}
	registry.Leave(testTime, "h2", 3)
	registry.Leave(testTime, "h2", 3)
	if registry.Subscribers() != 1 {
		t.Errorf("%d subscribers after one of two left, want 1", registry.Subscribers())
	}
	mustJoin(t, registry, interestIn("h3", "x"), 5, HostState{})
}

func TestRegistryBoundsRejections(t *testing.T) {
	registry := NewRegistry("r1", 2)
	state := HostState{Settled: true, Rejections: make([]Rejection, maxRejections+5)}
	mustJoin(t, registry, interestIn("h1", "x"), 1, state)
	reports, _ := registry.Reports(1)
	if len(reports[0].State.Rejections) != maxRejections {
		t.Errorf("report has %d rejections, want %d", len(reports[0].State.Rejections), maxRejections)
	}
}

func TestRegistrySessionMovesBetweenRelays(t *testing.T) {
	log := newLog(testLimits())
	publish(t, log, put("a", "x", content(1)))
	writer, near, far := NewRegistry("writer", 10), NewRegistry("near", 10), NewRegistry("far", 10)
	for _, registry := range []*Registry{writer, near, far} {
		registry.Advance(log)
	}
	interest := interestIn("h", "x")
	mustJoin(t, near, interest, 1, settledAt(log.Revision()))
	forward(near, writer, 1)
	requireCounts(t, writer, Revision{}, counts{hosts: 1, inForce: 1})

	// The host moves to another relay, and the first relay's report that the host is absent arrives
	// last.
	mustJoin(t, far, interest, 2, rejectedAt(log.Revision()))
	forward(far, writer, 1)
	requireCounts(t, writer, Revision{}, counts{hosts: 1, rejected: 1})
	near.Leave(testTime, "h", 1)
	forward(near, writer, 1)
	requireCounts(t, writer, Revision{}, counts{hosts: 1, rejected: 1})

	// The host moves to the writer itself and back.
	mustJoin(t, writer, interest, 3, settledAt(log.Revision()))
	far.Leave(testTime, "h", 2)
	forward(far, writer, 1)
	requireCounts(t, writer, Revision{}, counts{hosts: 1, inForce: 1})
	mustJoin(t, near, interest, 4, settledAt(log.Revision()))
	forward(near, writer, 1)
	if writer.Subscribers() != 0 {
		t.Errorf("writer has %d subscribers after the host moved away, want 0", writer.Subscribers())
	}
	writer.Leave(testTime, "h", 3)
	if writer.Subscribers() != 0 {
		t.Errorf("writer has %d subscribers after the end of the earlier session, want 0", writer.Subscribers())
	}
	if reports, all := writer.Reports(10); len(reports) != 0 || !all {
		t.Errorf("writer reports %v, want no reports on a subscriber of another relay", reports)
	}
	requireCounts(t, writer, Revision{}, counts{hosts: 1, inForce: 1})
}

func TestRegistryUsesPositionOfRelay(t *testing.T) {
	log := newLog(testLimits())
	writer, relay := NewRegistry("writer", 10), NewRegistry("r1", 10)
	relay.Advance(log)
	mustJoin(t, relay, interestIn("hx", "x"), 1, settledAt(log.Revision()))
	mustJoin(t, relay, interestIn("hy", "y"), 2, settledAt(log.Revision()))
	forward(relay, writer, 10)
	publish(t, log, put("a", "x", content(1)))
	writer.Advance(log)
	requireCounts(t, writer, Revision{}, counts{hosts: 2, behind: 2})
	relay.Advance(log)
	reports, all := relay.Reports(10)
	if len(reports) != 1 || !all || reports[0].Host != "hx" {
		t.Errorf("Reports = %v, %v; want only the report on hx, whose interest the change affects", reports, all)
	}
	writer.MergeReports("r1", relay.Position(), reports)
	requireCounts(t, writer, Revision{}, counts{hosts: 2, inForce: 1, behind: 1})
}

func TestRegistryRelayLost(t *testing.T) {
	log := newLog(testLimits())
	writer, relay := NewRegistry("writer", 10), NewRegistry("r1", 10)
	relay.Advance(log)
	mustJoin(t, relay, interestIn("hx", "x"), 1, settledAt(log.Revision()))
	mustJoin(t, relay, interestIn("hy", "y"), 2, settledAt(log.Revision()))
	forward(relay, writer, 10)
	publish(t, log, put("a", "x", content(1)))
	writer.Advance(log)
	writer.RelayLost(testTime, "r1")
	requireCounts(t, writer, Revision{}, counts{hosts: 2, unavailable: 2})
	requireCounts(t, writer, Revision{1, 0}, counts{hosts: 2, inForce: 2})

	relay.Advance(log)
	relay.ReportAll()
	forward(relay, writer, 1)
	requireCounts(t, writer, Revision{}, counts{hosts: 2, inForce: 1, behind: 1})

	writer.RelayLost(testTime, "r1")
	writer.ForgetAbsent(testTime.Add(hostRetention))
	requireCounts(t, writer, Revision{}, counts{hosts: 2, inForce: 1, unavailable: 1})
	writer.ForgetAbsent(testTime.Add(hostRetention + 1))
	requireCounts(t, writer, Revision{}, counts{})
}

func TestRegistryForgetsAbsentHosts(t *testing.T) {
	log, registry := newLog(testLimits()), NewRegistry("r1", 10)
	registry.Advance(log)
	mustJoin(t, registry, interestIn("h", "x"), 1, settledAt(log.Revision()))
	publish(t, log, put("a", "y", content(1)))
	registry.Advance(log)
	registry.Leave(testTime, "h", 1)
	requireCounts(t, registry, Revision{}, counts{hosts: 1, inForce: 1})
	publish(t, log, put("a", "y", content(2)))
	registry.Advance(log)
	requireCounts(t, registry, Revision{}, counts{hosts: 1, unavailable: 1})
	registry.ForgetAbsent(testTime.Add(hostRetention + 1))
	requireCounts(t, registry, Revision{}, counts{})
	if reports, all := registry.Reports(1); len(reports) != 0 || !all {
		t.Errorf("Reports after the host was forgotten = %v, %v; want none", reports, all)
	}
}

func TestRegistryListsRejectionsFirst(t *testing.T) {
	log, registry := newLog(testLimits()), NewRegistry("r1", 100)
	publish(t, log, put("a", "x", content(1)))
	registry.Advance(log)
	for n := range 10 {
		state := HostState{}
		if n == 7 {
			state = rejectedAt(log.Revision())
		}
		mustJoin(t, registry, interestIn(fmt.Sprintf("h%d", n), "x"), int64(n+1), state)
	}
	status := registry.Status(Revision{}, 2)
	if len(status.Missing) != 2 || status.Missing[0].Host != "h7" || status.Missing[1].Host != "h0" {
		t.Errorf("Status lists the missing hosts %v, want h7, which has a rejection, and then h0", status.Missing)
	}
}

func TestRegistryForwardsReportsInParts(t *testing.T) {
	registry, writer := NewRegistry("r1", 100), NewRegistry("writer", 1)
	for n := range 10 {
		mustJoin(t, registry, interestIn(fmt.Sprintf("h%d", n), "x"), int64(n+1), HostState{})
	}
	var seen []string
	for all := false; !all; {
		var reports []HostReport
		if reports, all = registry.Reports(3); len(reports) > 3 {
			t.Errorf("Reports(3) returned %d reports, want at most 3", len(reports))
		}
		for _, report := range reports {
			seen = append(seen, report.Host)
		}
		writer.MergeReports("r1", Revision{}, reports)
	}
	slices.Sort(seen)
	if len(slices.Compact(seen)) != 10 || writer.Status(Revision{}, 0).Hosts != 10 {
		t.Errorf("reported hosts are %v, and the writer knows %d; want 10", seen, writer.Status(Revision{}, 0).Hosts)
	}
}

func TestRegistryBoundsHosts(t *testing.T) {
	t.Parallel()
	registry := NewRegistry("writer", 1)
	reports := make([]HostReport, MaxHosts+1)
	for n := range reports {
		reports[n] = HostReport{Host: hostName(n), Session: 1, Present: true, Since: testTime}
	}
	registry.MergeReports("r1", Revision{1, 1}, reports)
	if hosts := registry.Status(Revision{1, 1}, 0).Hosts; hosts != MaxHosts {
		t.Errorf("registry has %d hosts, want the maximum of %d", hosts, MaxHosts)
	}
	if err := registry.Join(testTime.Add(time.Hour), interestIn("new", "x"), 1, HostState{}); err == nil {
		t.Error("Join succeeded with the maximum number of hosts, want an error")
	}
}

// A host that receives only empty updates, which it does not acknowledge, stays settled: it has every
// change that it was sent.
func TestRegistryKeepsHostSettledOverEmptyUpdates(t *testing.T) {
	state := NewState(DefaultLimits())
	registry := NewRegistry("relay", 10)
	interest := Interest{Host: "host", Instances: []map[string]string{{"service": "one"}}}
	now := time.Unix(1789000000, 0)
	publishChange := func(name, service string) Revision {
		t.Helper()
		resource, step, err := state.Propose(now, 1, Put{Name: name, Scope: Scope{Labels: map[string]string{"service": service}}, Content: []byte(`{"a":1}`)})
		if err != nil {
			t.Fatal(err)
		}
		state.Apply(step)
		registry.Advance(state)
		return resource.Revision
	}
	poll := func(after Revision) Update {
		t.Helper()
		update, err := state.Read(Query{After: after, Interest: &interest})
		if err != nil {
			t.Fatal(err)
		}
		registry.RecordRead("host", 1, &update)
		return update
	}
	first := publishChange("limits", "one")
	if err := registry.Join(now, interest, 1, HostState{Received: first, Settled: true, Applied: first}); err != nil {
		t.Fatal(err)
	}
	poll(first)
	for n := range 3 {
		latest := publishChange("other", []string{"two", "three"}[n%2])
		update := poll(first)
		if !update.Empty() {
			t.Fatalf("update after a change of another service is %+v, want an empty one", update)
		}
		// The next poll continues from the empty update, without an acknowledgement.
		poll(update.Revision)
		if status := registry.Status(latest, 1); status.InForce != 1 {
			t.Errorf("status after %d changes of other services is %+v, want the revision in force at the host", n+1, status)
		}
	}
	if latest := publishChange("limits/more", "one"); registry.Status(latest, 1).Behind != 1 {
		t.Error("host is not behind although a change in its interest was not sent yet")
	}
}
