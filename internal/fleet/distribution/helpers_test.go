package distribution

import (
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"
)

// testTime is the time of all events in tests that do not need a time of their own.
var testTime = time.Date(2030, 1, 2, 3, 4, 5, 0, time.UTC)

// testReporter is the common part of testing.TB and rapid.T.
type testReporter interface {
	Helper()
	Errorf(format string, values ...any)
	Fatalf(format string, values ...any)
	Fatal(values ...any)
}

// disk is an in-memory store of entries.
type disk struct{ entries map[string][]byte }

func newDisk() *disk { return &disk{entries: make(map[string][]byte)} }

// write applies a batch.
func (d *disk) write(batch Batch) {
	for _, key := range batch.Drop {
		delete(d.entries, key)
	}
	for _, entry := range batch.Put {
		d.entries[entry.Key] = slices.Clone(entry.Value)
	}
}

// all returns the entries, ordered by key.
func (d *disk) all() []Entry {
	var entries []Entry
	for _, key := range slices.Sorted(maps.Keys(d.entries)) {
		entries = append(entries, Entry{Key: key, Value: d.entries[key]})
	}
	return entries
}

// testLimits returns limits that no test reaches unless it tests limits.
func testLimits() Limits { return Limits{Resources: 100, History: 100} }

// newLog returns a State promoted to epoch 1.
func newLog(limits Limits) *State {
	state := NewState(limits)
	state.Apply(state.Promote(1))
	return state
}

// publish proposes and applies a change in the state's own epoch.
func publish(t testing.TB, state *State, put Put) Resource {
	t.Helper()
	resource, next, err := state.Propose(testTime, state.Revision().Epoch, put)
	if err != nil {
		t.Fatalf("Propose for resource %s: %v", put.Name, err)
	}
	if next != nil {
		state.Apply(next)
	}
	return resource
}

// put returns a change of a resource whose scope is the instances of a service.
func put(name, service, content string) Put {
	return Put{Name: name, Scope: serviceScope(service), Content: []byte(content), Author: "test"}
}

// remove returns a change that removes a resource.
func remove(name string) Put { return Put{Name: name, Remove: true} }

// serviceScope returns the scope of all instances of a service.
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

// content returns settings that are different for each number.
func content(number int) string { return fmt.Sprintf(`{"limits":{"in_flight":%d}}`, number) }

// readComplete reads pages of about the given number of bytes until the update is complete. It calls
// between, unless nil, after each page but the last.
func readComplete(t testing.TB, state *State, reader *Reader, held Revision, interest *Interest, bytes int, between func()) Update {
	t.Helper()
	for range 10_000 {
		query := reader.Query(held, interest)
		query.Bytes = bytes
		page, err := state.Read(query)
		if err != nil {
			t.Fatalf("State.Read of the changes after %v: %v", query.After, err)
		}
		complete, err := reader.AddPage(page)
		if err != nil {
			t.Fatalf("Reader.AddPage of the page up to %v: %v", page.Revision, err)
		}
		if complete != nil {
			return *complete
		}
		if between != nil {
			between()
		}
	}
	t.Fatal("the update is not complete after 10,000 pages")
	return Update{}
}

// catchUp brings a relay's copy to the state of its source, in pages of about the given number of bytes.
func catchUp(t testing.TB, source, relay *State, bytes int) {
	t.Helper()
	update := readComplete(t, source, NewReader(testLimits()), relay.Revision(), nil, bytes, nil)
	next, err := relay.PrepareUpdate(update)
	if err != nil {
		t.Fatalf("PrepareUpdate of the relay's copy: %v", err)
	}
	if next != nil {
		relay.Apply(next)
	}
}

// subscribe brings a subscriber's copy to the state of its relay, in pages of about the given number of
// bytes.
func subscribe(t testing.TB, source *State, replica *Replica, interest Interest, bytes int) {
	t.Helper()
	update := readComplete(t, source, NewReader(testLimits()), replica.Revision(), &interest, bytes, nil)
	if _, err := replica.Apply(update); err != nil {
		t.Fatalf("Replica.Apply: %v", err)
	}
}

// namesInInterest returns the names of a state's resources that an interest includes.
func namesInInterest(state *State, interest Interest) []string {
	names := []string{}
	for _, r := range state.Resources() {
		if interest.Includes(r.Name, r.Scope) {
			names = append(names, r.Name)
		}
	}
	return names
}

// requireSameState requires two states to have the same revision and resources.
func requireSameState(t testReporter, want, have *State) {
	t.Helper()
	if want.revision != have.revision {
		t.Fatalf("state at revision %v, want %v", have.revision, want.revision)
	}
	if !slices.EqualFunc(want.Resources(), have.Resources(), sameResource) {
		t.Fatalf("state with the resources\n%v\nwant\n%v", have.Resources(), want.Resources())
	}
}

// sameResource reports whether two resources have the same revision and hash, and the same name,
// content and labels.
func sameResource(x, y Resource) bool {
	return x.Name == y.Name && x.Revision == y.Revision && x.Hash == y.Hash &&
		string(x.Content) == string(y.Content) && maps.Equal(x.Scope.Labels, y.Scope.Labels)
}

// requireReplica requires that a replica holds exactly the resources in its interest.
func requireReplica(t testReporter, state *State, replica *Replica, interest Interest) {
	t.Helper()
	want := namesInInterest(state, interest)
	if have := replica.Names(); !slices.Equal(want, have) {
		t.Fatalf("replica at revision %v of a log at %v: Names() = %v, want %v", replica.Revision(), state.Revision(), have, want)
	}
	for _, name := range want {
		resource, _ := state.Resource(name)
		if !sameResource(resource, replica.resources[name]) {
			t.Fatalf("replica holds the resource %+v, want %+v", replica.resources[name], resource)
		}
	}
}

func hostName(number int) string { return fmt.Sprintf("host-%05d.example", number) }
