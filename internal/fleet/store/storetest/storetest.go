// Package storetest is what each store.Store must do, as a test that the stores' packages
// run.
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

// Full is a change with a row of each kind.
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
		Audit: []api.AuditEntry{{At: at, Who: "sari", What: "op.open", Target: "op1", Result: "ok"}},
	}
}

// Run checks that what is written is read again after a restart, and that what is dropped
// is deleted. open opens the same store each time.
func Run(t *testing.T, open func() store.Store) {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), 30*time.Second)
	defer cancel()
	s := open()
	c := Full()
	for range 2 { // committing again has no further effect
		if err := s.Commit(ctx, c); err != nil {
			t.Fatal(err)
		}
	}
	s.Close()
	s = open()
	defer s.Close()
	got, err := s.Load(ctx)
	want := &store.Snapshot{Instances: c.Instances, Operations: c.Operations, Steps: c.Steps, Leases: c.Leases, Settings: c.Settings}
	if err != nil || !reflect.DeepEqual(got, want) {
		t.Errorf("got  %+v %v\nwant %+v", got, err, want)
	}
	if a, err := s.Audit(ctx, 10); err != nil || len(a) != 2 || a[0] != c.Audit[0] {
		t.Error(a, err)
	}
	kept := c.Settings[1:]
	if err := s.Commit(ctx, &store.Change{DropSettings: []string{c.Settings[0].Key}}); err != nil {
		t.Fatal(err)
	}
	if got, err := s.Load(ctx); err != nil || !reflect.DeepEqual(got.Settings, kept) {
		t.Errorf("after a row was dropped: %+v %v", got.Settings, err)
	}
	if err := s.Commit(ctx, &store.Change{DropOperations: []string{"op1"}, DropInstances: []string{"n1"}, DropSettings: []string{kept[0].Key}, AuditLimit: 1}); err != nil {
		t.Fatal(err)
	}
	if got, _ := s.Load(ctx); !reflect.DeepEqual(got, &store.Snapshot{}) {
		t.Errorf("after the drop: %+v", got)
	}
	if a, err := s.Audit(ctx, 10); err != nil || len(a) != 1 {
		t.Error(a, err)
	}
}
