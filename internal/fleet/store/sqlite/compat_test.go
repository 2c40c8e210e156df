package sqlite

import (
	"bytes"
	"database/sql"
	"fmt"
	"path/filepath"
	"reflect"
	"testing"
	"time"

	"martendrum/internal/fleet/api"
	"martendrum/internal/fleet/store"
	"martendrum/internal/fleet/store/storetest"
	"martendrum/internal/goldentest"
)

// goldenChange returns the content of the golden file: a row of each kind that the earlier build had,
// and an operation and a step with a value in every field.
func goldenChange() *store.Change {
	change := storetest.Full()
	change.DroppedUntil = time.Time{} // the earlier build had no properties
	operation := store.Operation{State: api.OpClosed, Result: "succeeded", Closed: time.Unix(1_789_000_100, 0)}
	goldentest.Fill(&operation.Operation)
	var step api.Step
	goldentest.Fill(&step)
	change.Operations = append(change.Operations, operation)
	change.Steps = append(change.Steps, step)
	return change
}

// writeGolden creates a store at path and commits goldenChange to it.
func writeGolden(t *testing.T, path string) {
	t.Helper()
	s, err := Open(path, maxBytes)
	if err != nil {
		t.Fatalf("opening %s: %v", path, err)
	}
	if err := s.Commit(ctx, goldenChange()); err != nil {
		t.Fatalf("Commit to %s: %v", path, err)
	}
	if err := s.Close(); err != nil {
		t.Fatalf("closing %s: %v", path, err)
	}
}

// dump returns the schema and all rows of the store at path as text.
func dump(t *testing.T, path string) []byte {
	t.Helper()
	db, err := sql.Open("sqlite", path)
	if err != nil {
		t.Fatalf("opening %s: %v", path, err)
	}
	defer db.Close()
	var out bytes.Buffer
	for _, query := range []string{
		"SELECT name, sql FROM sqlite_master WHERE sql IS NOT NULL ORDER BY name", "SELECT * FROM instances ORDER BY 1", "SELECT * FROM operations ORDER BY 1",
		"SELECT * FROM steps ORDER BY 1, 2, 3", "SELECT * FROM leases ORDER BY 1", "SELECT * FROM settings ORDER BY 1", "SELECT * FROM audit ORDER BY 1",
		"SELECT * FROM properties ORDER BY 1",
	} {
		rows, err := db.Query(query)
		if err != nil {
			t.Fatalf("executing %s: %v", query, err)
		}
		columns, err := rows.Columns()
		if err != nil {
			t.Fatalf("%s: columns: %v", query, err)
		}
		for rows.Next() {
			values, pointers := make([]any, len(columns)), make([]any, len(columns))
			for n := range values {
				pointers[n] = &values[n]
			}
			if err := rows.Scan(pointers...); err != nil {
				t.Fatalf("%s: scanning a row: %v", query, err)
			}
			fmt.Fprintf(&out, "%v %q\n", columns, fmt.Sprint(values...))
		}
		if err := rows.Err(); err != nil {
			t.Fatalf("%s: reading the rows: %v", query, err)
		}
	}
	return out.Bytes()
}

// TestRecordOfEarlierBuild checks that a store that an earlier build wrote is read with all its
// values, and that it has, once it is migrated, the schema and rows that this build writes.
func TestRecordOfEarlierBuild(t *testing.T) {
	written := filepath.Join(t.TempDir(), "written.db")
	writeGolden(t, written)
	earlier := goldentest.CopyFile(t, "agent-record.db", written)
	s, err := Open(earlier, maxBytes)
	if err != nil {
		t.Fatalf("opening the earlier build's store: %v", err)
	}
	defer s.Close()
	if got, want := dump(t, written), dump(t, earlier); !bytes.Equal(got, want) {
		t.Errorf("this build writes the schema and rows\n%s\nwant, as the earlier build\n%s", got, want)
	}
	got, err := s.Load(ctx)
	if err != nil {
		t.Fatalf("Load from the earlier build's store: %v", err)
	}
	change := goldenChange()
	want := &store.Snapshot{Instances: change.Instances, Operations: change.Operations, Steps: change.Steps, Leases: change.Leases, Settings: change.Settings}
	byID := func(operations []store.Operation) map[string]store.Operation {
		found := make(map[string]store.Operation)
		for _, operation := range operations {
			found[operation.ID] = operation
		}
		return found
	}
	if !reflect.DeepEqual(byID(got.Operations), byID(want.Operations)) {
		t.Errorf("Load: operations = %+v, want %+v", got.Operations, want.Operations)
	}
	byKey := func(steps []api.Step) map[string]api.Step {
		found := make(map[string]api.Step)
		for _, step := range steps {
			found[step.Op+" "+step.Instance+" "+step.Kind] = step
		}
		return found
	}
	if !reflect.DeepEqual(byKey(got.Steps), byKey(want.Steps)) {
		t.Errorf("Load: steps = %+v, want %+v", got.Steps, want.Steps)
	}
	got.Operations, want.Operations, got.Steps, want.Steps = nil, nil, nil, nil
	if !reflect.DeepEqual(got, want) {
		t.Errorf("Load, without operations and steps:\ngot  %+v\nwant %+v", got, want)
	}
}
