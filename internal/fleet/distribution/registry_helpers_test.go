package distribution

import "testing"

// settledAt returns the state of a host where all changes up to a revision are in force.
func settledAt(revision Revision) HostState {
	return HostState{Received: revision, Settled: true, Applied: revision}
}

// rejectedAt returns the state of a host with an instance that rejected a revision.
func rejectedAt(revision Revision) HostState {
	state := settledAt(revision)
	state.Rejections = []Rejection{{Instance: "i", Resource: "a", Revision: revision, Reason: "no"}}
	return state
}

// counts holds the counts of a Status.
type counts struct{ hosts, inForce, rejected, behind, unavailable int }

// requireCounts requires the registry to report these counts at a revision, zero for the latest.
func requireCounts(t testReporter, registry *Registry, revision Revision, want counts) {
	t.Helper()
	status := registry.Status(revision, 100)
	have := counts{status.Hosts, status.InForce, status.Rejected, status.Behind, status.Unavailable}
	if have != want {
		t.Errorf("Status at revision %v = %+v, want %+v", status.Revision, have, want)
	}
	requireEachHostCounted(t, status)
	if len(status.Missing) != min(status.Hosts-status.InForce, 100) {
		t.Errorf("Status lists %d missing hosts, want all %d where the revision is not in force, 100 at most", len(status.Missing), status.Hosts-status.InForce)
	}
}

// requireEachHostCounted requires that the counts of a status add up to the number of hosts.
func requireEachHostCounted(t testReporter, status Status) {
	t.Helper()
	if sum := status.InForce + status.Rejected + status.Behind + status.Unavailable; sum != status.Hosts {
		t.Errorf("status counts %d of %d hosts: %+v", sum, status.Hosts, status)
	}
}

// forward merges all changed reports of a relay into another registry, limit reports at a time.
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
		t.Fatalf("Join of host %s in session %d: %v", interest.Host, session, err)
	}
}

// sendUpdate reads the update for a subscriber that holds a revision, and records the read.
func sendUpdate(t testing.TB, registry *Registry, state *State, interest Interest, session int64, held Revision) Update {
	t.Helper()
	update, err := state.Read(Query{After: held, Interest: &interest})
	if err != nil {
		t.Fatalf("State.Read for host %s: %v", interest.Host, err)
	}
	registry.RecordRead(interest.Host, session, &update)
	return update
}
