// Package storetest tests what each implementation of store.Store must do. The packages of the
// implementations run it in their tests.
package storetest

import (
	"context"
	"reflect"
	"testing"
	"time"

	"martendrum/internal/fleet/api"
	"martendrum/internal/fleet/distribution"
	"martendrum/internal/fleet/lease"
	"martendrum/internal/fleet/store"
)

// Full returns a change that writes at least one row of each kind.
func Full() *store.Change {
	at := time.Unix(1789000000, 5)
	return &store.Change{
		Instances: []store.Instance{{Name: "n1", Desired: api.Running, Generation: 3, Release: "r2", Previous: "r1", Launch: "x", Process: 3,
			Running: "r2", PID: 77, Ticks: 1 << 40, Boot: "b", Launched: at, Restarts: 2, LastExit: "exit status 1"}},
		Operations: []store.Operation{{Operation: api.Operation{ID: "op1", Action: api.ActUpgrade, Targets: []api.Target{{Host: "h", Instance: "n1"}},
			Created: at.UTC(), Soak: time.Second}, State: api.OpOpened}},
		Steps:  []api.Step{{Op: "op1", Instance: "n1", Kind: api.Change, Status: api.StepRunning, Generation: 3, Started: at.UTC()}},
		Leases: []lease.Lease{{Instance: "n1", Op: "op1", Holder: "sari", Token: 9, Granted: at, Expires: at.Add(time.Minute)}},
		Settings: []distribution.Entry{
			{Key: "change/00000000000000000001.00000000000000000001", Value: []byte(`{"name":"limits"}`)},
			{Key: "resource/limits", Value: []byte(`{"name":"limits","content":"eyJhIjoi4oKsIn0="}`)},
		},
		Audit:        []api.AuditEntry{{At: at, Who: "sari", What: "op.open", Target: "op1", Result: "ok"}},
		DroppedUntil: time.Date(3000, 1, 2, 3, 4, 5, 6, time.UTC), // callers may choose a time that has no Unix time in nanoseconds
	}
}

// Run checks that what was committed is loaded after a restart, and that what was dropped is
// deleted. Each call of open must open the same store, which is empty before the first call.
func Run(t *testing.T, open func() store.Store) {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), 30*time.Second)
	defer cancel()
	s := open()
	change := Full()
	for range 2 { // the second commit only adds the audit entries again
		if err := s.Commit(ctx, change); err != nil {
			t.Fatalf("Commit of a row of each kind: %v", err)
		}
	}
	s.Close()
	s = open()
	defer s.Close()
	got, err := s.Load(ctx)
	want := &store.Snapshot{Instances: change.Instances, Operations: change.Operations, Steps: change.Steps, Leases: change.Leases, Settings: change.Settings,
		DroppedUntil: change.DroppedUntil}
	if err != nil || !reflect.DeepEqual(got, want) {
		t.Errorf("Load after a restart:\ngot  %+v, error %v\nwant %+v", got, err, want)
	}
	if entries, err := s.Audit(ctx, 10); err != nil || len(entries) != 2 || entries[0] != change.Audit[0] {
		t.Errorf("Audit after two commits = %+v, %v; want the entry twice", entries, err)
	}
	kept := change.Settings[1:]
	if err := s.Commit(ctx, &store.Change{DropSettings: []string{change.Settings[0].Key}}); err != nil {
		t.Fatalf("Commit that drops an entry of the settings: %v", err)
	}
	if got, err := s.Load(ctx); err != nil || !reflect.DeepEqual(got.Settings, kept) {
		t.Errorf("after an entry was dropped, Load returns the settings %+v, error %v; want %+v", got.Settings, err, kept)
	}
	if err := s.Commit(ctx, &store.Change{DropOperations: []string{"op1"}, DropInstances: []string{"n1"}, DropSettings: []string{kept[0].Key}, AuditLimit: 1}); err != nil {
		t.Fatalf("Commit that drops all rows: %v", err)
	}
	if got, _ := s.Load(ctx); !reflect.DeepEqual(got, &store.Snapshot{DroppedUntil: change.DroppedUntil}) {
		t.Errorf("after all rows were dropped, Load = %+v; want a snapshot with nothing but DroppedUntil = %v", got, change.DroppedUntil)
	}
	if entries, err := s.Audit(ctx, 10); err != nil || len(entries) != 1 {
		t.Errorf("Audit with a limit of 1 = %+v, %v; want 1 entry", entries, err)
	}
}
