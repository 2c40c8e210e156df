package sqlite

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"martendrum/internal/fleet/api"
	"martendrum/internal/fleet/store"
	"martendrum/internal/fleet/store/storetest"
)

// maxBytes bounds the size of the files in the tests.
const maxBytes = 8 << 20

var ctx = context.Background()

// TestWhatIsWrittenIsRead runs the tests of package storetest on a file whose name has characters
// with a meaning in URIs, and checks that the file is synced at each commit.
func TestWhatIsWrittenIsRead(t *testing.T) {
	path := filepath.Join(t.TempDir(), "a record?#%.db")
	storetest.Run(t, func() store.Store {
		s, err := Open(path, maxBytes)
		if err != nil {
			t.Fatalf("opening %s: %v", path, err)
		}
		return s
	})
	s, err := Open(path, maxBytes)
	if err != nil {
		t.Fatalf("opening %s again: %v", path, err)
	}
	defer s.Close()
	var mode, sync string
	s.db.QueryRow("PRAGMA journal_mode").Scan(&mode)
	s.db.QueryRow("PRAGMA synchronous").Scan(&sync)
	if mode != "wal" || sync != "2" {
		t.Errorf("journal_mode = %s, synchronous = %s; want wal and 2", mode, sync)
	}
}

// TestMigrations checks that a file of each older schema version is migrated, that its content is
// retained, and that it can be written.
func TestMigrations(t *testing.T) {
	for from := range Version {
		t.Run(fmt.Sprint("from ", from), func(t *testing.T) {
			path := filepath.Join(t.TempDir(), "r.db")
			old, err := open(path, maxBytes, from)
			if err != nil {
				t.Fatalf("creating a file of schema version %d: %v", from, err)
			}
			if from >= 1 {
				if _, err := old.db.Exec(`INSERT INTO instances (name, desired, generation, release, launch, process, running, pid, ticks, boot, launched) VALUES ('n1','running',4,'r',"x",4,'r',5,6,'b',7);
					INSERT INTO leases VALUES ('n1','op','sari',3,1,2); INSERT INTO steps VALUES ('op','n1','change','ok','{"op":"op"}');
					INSERT INTO operations VALUES ('op','{"id":"op"}','open','',0)`); err != nil {
					t.Fatalf("writing rows of schema version %d: %v", from, err)
				}
			}
			old.Close()
			s, err := Open(path, maxBytes)
			if err != nil {
				t.Fatalf("opening the file with a migration: %v", err)
			}
			defer s.Close()
			got, err := s.Load(ctx)
			if err != nil {
				t.Fatalf("Load after the migration: %v", err)
			}
			if from >= 1 && (len(got.Instances) != 1 || got.Instances[0].Generation != 4 || got.Instances[0].Ticks != 6 ||
				len(got.Leases) != 1 || got.Leases[0].Token != 3 || len(got.Steps) != 1 || got.Operations[0].ID != "op") {
				t.Errorf("Load after the migration = %+v, want the instance, lease, step and operation written before", got)
			}
			if err := s.Commit(ctx, storetest.Full()); err != nil {
				t.Errorf("Commit after the migration: %v", err)
			}
		})
	}
}

// TestFilesThatCantBeUsed checks that the errors for a file of a newer schema, a damaged file and a
// missing folder name the file and say what is wrong.
func TestFilesThatCantBeUsed(t *testing.T) {
	dir := t.TempDir()
	newer := filepath.Join(dir, "newer.db")
	s, err := Open(newer, maxBytes)
	if err != nil {
		t.Fatalf("creating %s: %v", newer, err)
	}
	s.db.Exec("PRAGMA user_version = 99")
	s.Close()
	damaged := filepath.Join(dir, "damaged.db")
	os.WriteFile(damaged, []byte(strings.Repeat("no database at all ", 1000)), 0o600)
	for path, want := range map[string]string{
		newer: "newer build", damaged: "aside", filepath.Join(dir, "none", "r.db"): "none/r.db",
	} {
		if _, err := Open(path, maxBytes); err == nil || !strings.Contains(err.Error(), want) || !strings.Contains(err.Error(), path) {
			t.Errorf("opening %s: got error %v, want one that contains the path and %q", path, err, want)
		}
	}
}

// TestFull checks that a full store rejects changes but loses nothing, and that it accepts changes
// again after rows were deleted.
func TestFull(t *testing.T) {
	path := filepath.Join(t.TempDir(), "r.db")
	s, err := Open(path, 0) // the smallest limit: 64 pages
	if err != nil {
		t.Fatalf("opening %s: %v", path, err)
	}
	defer s.Close()
	if err := s.Commit(ctx, storetest.Full()); err != nil {
		t.Fatalf("Commit to the empty store: %v", err)
	}
	long := strings.Repeat("x", 10000)
	n := 0
	for ; err == nil && n < 1000; n++ {
		err = s.Commit(ctx, &store.Change{Audit: []api.AuditEntry{{Target: long}}})
	}
	if err == nil || !strings.Contains(err.Error(), "full") {
		t.Fatalf("Commit of audit entries: got error %v after %d of them, want one that says full", err, n)
	}
	if got, err := s.Load(ctx); err != nil || len(got.Instances) != 1 {
		t.Errorf("Load from the full store = %+v, %v; want 1 instance", got, err)
	}
	if err := s.Commit(ctx, &store.Change{AuditLimit: 1}); err != nil {
		t.Fatalf("deleting audit entries from the full store: %v", err)
	}
	if err := s.Commit(ctx, storetest.Full()); err != nil {
		t.Errorf("Commit after rows were deleted: %v", err)
	}
}
