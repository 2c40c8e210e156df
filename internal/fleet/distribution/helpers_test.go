package distribution

import (
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"
)

// testTime is the time of all events that do not set their own.
var testTime = time.Date(2030, 1, 2, 3, 4, 5, 0, time.UTC)

// failer is the common part of testing.TB and rapid.T.
type failer interface {
	Helper()
	Errorf(format string, values ...any)
	Fatalf(format string, values ...any)
	Fatal(values ...any)
}

// disk is an in-memory store of Batches.
type disk struct{ entries map[string][]byte }

func newDisk() *disk { return &disk{entries: make(map[string][]byte)} }

// write applies a batch.
func (d *disk) write(batch Batch) {
	for _, key := range batch.Drop {
		delete(d.entries, key)
	}
	for _, r := range batch.Put {
		d.entries[r.Key] = slices.Clone(r.Value)
	}
}

// all returns the entries, ordered by key.
func (d *disk) all() []Entry {
	var rows []Entry
	for _, key := range slices.Sorted(maps.Keys(d.entries)) {
		rows = append(rows, Entry{Key: key, Value: d.entries[key]})
	}
	return rows
}

// testLimits are wide enough for tests that are not about limits.
func testLimits() Limits { return Limits{Resources: 100, History: 100} }

// newLog returns a State promoted to epoch 1.
func newLog(limits Limits) *State {
	state := NewState(limits)
	state.Apply(state.Promote(1))
	return state
}

// publish makes a change in the state's own epoch.
func publish(t testing.TB, state *State, put Put) Resource {
	t.Helper()
	resource, next, err := state.Propose(testTime, state.Revision().Epoch, put)
	if err != nil {
		t.Fatalf("%s: %v", put.Name, err)
	}
	if next != nil {
		state.Apply(next)
	}
	return resource
}

// put is a change of a resource for the instances of a service.
func put(name, service, content string) Put {
	return Put{Name: name, Scope: serviceScope(service), Content: []byte(content), Author: "test"}
}

func remove(name string) Put { return Put{Name: name, Remove: true} }

func serviceScope(service string) Scope {
	return Scope{Labels: map[string]string{"service": service}}
}

// interestIn returns the interest of a host with one instance of each service.
func interestIn(host string, services ...string) Interest {
	interest := Interest{Host: host}
	for _, service := range services {
		interest.Instances = append(interest.Instances, map[string]string{"service": service})
	}
	return interest
}

// content returns settings that differ by number.
func content(number int) string { return fmt.Sprintf(`{"limits":{"in_flight":%d}}`, number) }

// readComplete reads pages until the update is complete, and calls between, if given, after each
// page.
func readComplete(t testing.TB, state *State, reader *Reader, held Revision, interest *Interest, bytes int, between func()) Update {
	t.Helper()
	for range 10_000 {
		query := reader.Query(held, interest)
		query.Bytes = bytes
		page, err := state.Read(query)
		if err != nil {
			t.Fatalf("read after %v: %v", query.After, err)
		}
		complete, err := reader.Take(page)
		if err != nil {
			t.Fatalf("page of %v: %v", page.Revision, err)
		}
		if complete != nil {
			return *complete
		}
		if between != nil {
			between()
		}
	}
	t.Fatal("the pages do not end")
	return Update{}
}

// catchUp brings a relay's copy to the state of its source.
func catchUp(t testing.TB, source, copied *State, bytes int) {
	t.Helper()
	update := readComplete(t, source, NewReader(testLimits()), copied.Revision(), nil, bytes, nil)
	next, err := copied.PrepareUpdate(update)
	if err != nil {
		t.Fatalf("follow: %v", err)
	}
	if next != nil {
		copied.Apply(next)
	}
}

// subscribe brings a subscriber's copy to the state of its relay.
func subscribe(t testing.TB, source *State, replica *Replica, interest Interest, bytes int) {
	t.Helper()
	update := readComplete(t, source, NewReader(testLimits()), replica.Revision(), &interest, bytes, nil)
	if _, err := replica.Take(update); err != nil {
		t.Fatalf("take: %v", err)
	}
}

// wanted returns the names of the resources of a state that concern an interest.
func wanted(state *State, interest Interest) []string {
	names := []string{}
	for _, r := range state.Resources() {
		if interest.Includes(r.Name, r.Scope) {
			names = append(names, r.Name)
		}
	}
	return names
}

// requireSameState compares everything that two states hold.
func requireSameState(t failer, want, have *State) {
	t.Helper()
	if want.revision != have.revision {
		t.Fatalf("revision %v; want %v", have.revision, want.revision)
	}
	if !slices.EqualFunc(want.Resources(), have.Resources(), sameResource) {
		t.Fatalf("resources\n%v\nwant\n%v", have.Resources(), want.Resources())
	}
}

// sameResource compares what the hash covers, and the revision.
func sameResource(x, y Resource) bool {
	return x.Name == y.Name && x.Revision == y.Revision && x.Hash == y.Hash &&
		string(x.Content) == string(y.Content) && maps.Equal(x.Scope.Labels, y.Scope.Labels)
}

// requireReplica requires that a replica holds exactly the resources in its interest.
func requireReplica(t failer, state *State, replica *Replica, interest Interest) {
	t.Helper()
	want := wanted(state, interest)
	if have := replica.Names(); !slices.Equal(want, have) {
		t.Fatalf("at %v of %v the copy holds %v; want %v", replica.Revision(), state.Revision(), have, want)
	}
	for _, name := range want {
		resource, _ := state.Resource(name)
		if !sameResource(resource, replica.resources[name]) {
			t.Fatalf("the copy holds %+v; want %+v", replica.resources[name], resource)
		}
	}
}

func hostName(number int) string { return fmt.Sprintf("host-%05d.example", number) }
