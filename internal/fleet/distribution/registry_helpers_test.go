package distribution

import "testing"

// settledAt is the state of a host that has everything up to a revision in force.
func settledAt(revision Revision) HostState {
	return HostState{Received: revision, Settled: true, Applied: revision}
}

// rejectedAt is the state of a host with an instance that rejected a revision.
func rejectedAt(revision Revision) HostState {
	state := settledAt(revision)
	state.Rejections = []Rejection{{Instance: "i", Resource: "a", Revision: revision, Reason: "no"}}
	return state
}

// counts are those of a Status.
type counts struct{ hosts, inForce, rejected, behind, unavailable int }

func requireCounts(t failer, registry *Registry, revision Revision, want counts) {
	t.Helper()
	status := registry.Status(revision, 100)
	have := counts{status.Hosts, status.InForce, status.Rejected, status.Behind, status.Unavailable}
	if have != want {
		t.Errorf("at %v: %+v; want %+v", status.Revision, have, want)
	}
	requireSum(t, status)
	if len(status.Missing) != min(status.Hosts-status.InForce, 100) {
		t.Errorf("%d hosts are named", len(status.Missing))
	}
}

func requireSum(t failer, status Status) {
	t.Helper()
	if sum := status.InForce + status.Rejected + status.Behind + status.Unavailable; sum != status.Hosts {
		t.Errorf("%d of %d hosts are counted: %+v", sum, status.Hosts, status)
	}
}

// forward merges all reports of a relay into another registry, limit at a time.
func forward(from, to *Registry, limit int) {
	for {
		reports, all := from.Reports(limit)
		position := Revision{}
		if all {
			position = from.Position()
		}
		to.MergeReports(from.relay, position, reports)
		if all {
			return
		}
	}
}

func mustJoin(t testing.TB, registry *Registry, interest Interest, session int64, state HostState) {
	t.Helper()
	if err := registry.Join(testTime, interest, session, state); err != nil {
		t.Fatalf("%s, session %d: %v", interest.Host, session, err)
	}
}

// sendUpdate reads what a subscriber has not received, and records that it was sent.
func sendUpdate(t testing.TB, registry *Registry, state *State, interest Interest, session int64, held Revision) Update {
	t.Helper()
	update, err := state.Read(Query{After: held, Interest: &interest})
	if err != nil {
		t.Fatal(err)
	}
	registry.RecordRead(interest.Host, session, &update)
	return update
}
