package sqlite

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"reflect"
	"strings"
	"testing"
	"time"

	"chalkrack/internal/fleet/api"
	"chalkrack/internal/fleet/lease"
	"chalkrack/internal/fleet/store"
)

const room = 8 << 20

var ctx = context.Background()

func full() *store.Change {
	at := time.Unix(1789000000, 5)
	return &store.Change{
		Instances: []store.Instance{{Name: "n1", Desired: api.Running, Generation: 3, Release: "r2", Previous: "r1", Launch: "x", Process: 3,
			Running: "r2", PID: 77, Ticks: 1 << 40, Boot: "b", Launched: at, Restarts: 2, LastExit: "exit status 1"}},
		Operations: []store.Operation{{Operation: api.Operation{ID: "op1", Action: api.ActUpgrade, Targets: []api.Target{{Host: "h", Instance: "n1"}},
			Created: at.UTC(), Soak: time.Second}, State: api.OpOpened}},
		Steps:  []api.Step{{Op: "op1", Instance: "n1", Kind: api.Change, Status: api.StepRunning, Generation: 3, Started: at.UTC()}},
		Leases: []lease.Lease{{Instance: "n1", Op: "op1", Holder: "sari", Token: 9, Granted: at, Expires: at.Add(time.Minute)}},
		Audit:  []api.AuditEntry{{At: at, Who: "sari", What: "op.open", Target: "op1", Result: "ok"}},
	}
}

func TestWhatIsWrittenIsRead(t *testing.T) {
	path := filepath.Join(t.TempDir(), "a record?#%.db")
	s, err := Open(path, room)
	if err != nil {
		t.Fatal(err)
	}
	c := full()
	for range 2 { // again does no harm
		if err := s.Commit(ctx, c); err != nil {
			t.Fatal(err)
		}
	}
	s.Close()
	if s, err = Open(path, room); err != nil {
		t.Fatal(err)
	}
	defer s.Close()
	got, err := s.Load(ctx)
	want := &store.Snapshot{Instances: c.Instances, Operations: c.Operations, Steps: c.Steps, Leases: c.Leases}
	if err != nil || !reflect.DeepEqual(got, want) {
		t.Errorf("got  %+v %v\nwant %+v", got, err, want)
	}
	if err := s.Commit(ctx, &store.Change{DropOperations: []string{"op1"}, DropInstances: []string{"n1"}, AuditKeep: 1}); err != nil {
		t.Fatal(err)
	}
	if got, _ := s.Load(ctx); !reflect.DeepEqual(got, &store.Snapshot{}) {
		t.Errorf("after the drop: %+v", got)
	}
	if a, err := s.Audit(ctx, 10); err != nil || len(a) != 1 {
		t.Error(a, err)
	}
	var mode, sync string
	s.db.QueryRow("PRAGMA journal_mode").Scan(&mode)
	s.db.QueryRow("PRAGMA synchronous").Scan(&sync)
	if mode != "wal" || sync != "2" {
		t.Errorf("journal_mode %s, synchronous %s", mode, sync)
	}
}

// A file of each older schema is brought up to date with what it holds.
func TestMigrations(t *testing.T) {
	for from := range Version {
		t.Run(fmt.Sprint("from ", from), func(t *testing.T) {
			path := filepath.Join(t.TempDir(), "r.db")
			old, err := open(path, room, from)
			if err != nil {
				t.Fatal(err)
			}
			if from >= 1 {
				if _, err := old.db.Exec(`INSERT INTO instances VALUES ('n1','running',4,'r',"x",4,'r',5,6,'b',7);
					INSERT INTO leases VALUES ('n1','op','sari',3,1,2); INSERT INTO steps VALUES ('op','n1','change','ok','{"op":"op"}');
					INSERT INTO operations VALUES ('op','{"id":"op"}','open','',0)`); err != nil {
					t.Fatal(err)
				}
			}
			old.Close()
			s, err := Open(path, room)
			if err != nil {
				t.Fatal(err)
			}
			defer s.Close()
			got, err := s.Load(ctx)
			if err != nil {
				t.Fatal(err)
			}
			if from >= 1 && (len(got.Instances) != 1 || got.Instances[0].Generation != 4 || got.Instances[0].Ticks != 6 ||
				len(got.Leases) != 1 || got.Leases[0].Token != 3 || len(got.Steps) != 1 || got.Operations[0].ID != "op") {
				t.Errorf("%+v", got)
			}
			if err := s.Commit(ctx, full()); err != nil {
				t.Error(err)
			}
		})
	}
}

func TestFilesThatCantBeUsed(t *testing.T) {
	dir := t.TempDir()
	newer := filepath.Join(dir, "newer.db")
	s, err := Open(newer, room)
	if err != nil {
		t.Fatal(err)
	}
	s.db.Exec("PRAGMA user_version = 99")
	s.Close()
	damaged := filepath.Join(dir, "damaged.db")
	os.WriteFile(damaged, []byte(strings.Repeat("no database at all ", 1000)), 0o600)
	for path, want := range map[string]string{
		newer: "newer build", damaged: "aside", filepath.Join(dir, "none", "r.db"): "none/r.db",
	} {
		if _, err := Open(path, room); err == nil || !strings.Contains(err.Error(), want) || !strings.Contains(err.Error(), path) {
			t.Errorf("%s: %v; want it to say %q", path, err, want)
		}
	}
}

// A record that has no room left refuses, keeps what it has, and goes on when it
// has room again.
func TestFull(t *testing.T) {
	path := filepath.Join(t.TempDir(), "r.db")
	s, err := Open(path, 0) // the least: 64 pages
	if err != nil {
		t.Fatal(err)
	}
	defer s.Close()
	if err := s.Commit(ctx, full()); err != nil {
		t.Fatal(err)
	}
	long := strings.Repeat("x", 10000)
	n := 0
	for ; err == nil && n < 1000; n++ {
		err = s.Commit(ctx, &store.Change{Audit: []api.AuditEntry{{Target: long}}})
	}
	if err == nil || !strings.Contains(err.Error(), "full") {
		t.Fatalf("after %d entries: %v", n, err)
	}
	if got, err := s.Load(ctx); err != nil || len(got.Instances) != 1 {
		t.Error(got, err)
	}
	if err := s.Commit(ctx, &store.Change{AuditKeep: 1}); err != nil {
		t.Fatal(err)
	}
	if err := s.Commit(ctx, full()); err != nil {
		t.Error(err)
	}
}
