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

// stored is a change with a row of each kind, one operation with a value in every field.
func stored() *store.Change {
	c := storetest.Full()
	operation := store.Operation{State: api.OpClosed, Result: "succeeded", Closed: time.Unix(1_789_000_100, 0)}
	goldentest.Fill(&operation.Operation)
	var step api.Step
	goldentest.Fill(&step)
	c.Operations = append(c.Operations, operation)
	c.Steps = append(c.Steps, step)
	return c
}

// writeStored creates a store at path that holds stored.
func writeStored(t *testing.T, path string) {
	t.Helper()
	s, err := Open(path, maxBytes)
	if err != nil {
		t.Fatal(err)
	}
	if err := s.Commit(ctx, stored()); err != nil {
		t.Fatal(err)
	}
	if err := s.Close(); err != nil {
		t.Fatal(err)
	}
}

// dump returns the schema and all rows of a store.
func dump(t *testing.T, path string) []byte {
	t.Helper()
	db, err := sql.Open("sqlite", path)
	if err != nil {
		t.Fatal(err)
	}
	defer db.Close()
	var out bytes.Buffer
	for _, query := range []string{
		"SELECT name, sql FROM sqlite_master WHERE sql IS NOT NULL ORDER BY name", "SELECT * FROM instances ORDER BY 1", "SELECT * FROM operations ORDER BY 1",
		"SELECT * FROM steps ORDER BY 1, 2, 3", "SELECT * FROM leases ORDER BY 1", "SELECT * FROM settings ORDER BY 1", "SELECT * FROM audit ORDER BY 1",
	} {
		rows, err := db.Query(query)
		if err != nil {
			t.Fatal(err)
		}
		columns, err := rows.Columns()
		if err != nil {
			t.Fatal(err)
		}
		for rows.Next() {
			values, pointers := make([]any, len(columns)), make([]any, len(columns))
			for n := range values {
				pointers[n] = &values[n]
			}
			if err := rows.Scan(pointers...); err != nil {
				t.Fatal(err)
			}
			fmt.Fprintf(&out, "%v %q\n", columns, fmt.Sprint(values...))
		}
		if err := rows.Err(); err != nil {
			t.Fatal(err)
		}
	}
	return out.Bytes()
}

// TestRecordOfEarlierBuild checks that an earlier build's store is read with its values and
// written again row by row.
func TestRecordOfEarlierBuild(t *testing.T) {
	written := filepath.Join(t.TempDir(), "written.db")
	writeStored(t, written)
	earlier := goldentest.CopyFile(t, "agent-record.db", written)
	if got, want := dump(t, written), dump(t, earlier); !bytes.Equal(got, want) {
		t.Errorf("rows\n%s\nwant\n%s", got, want)
	}
	s, err := Open(earlier, maxBytes)
	if err != nil {
		t.Fatal(err)
	}
	defer s.Close()
	got, err := s.Load(ctx)
	if err != nil {
		t.Fatal(err)
	}
	c := stored()
	want := &store.Snapshot{Instances: c.Instances, Operations: c.Operations, Steps: c.Steps, Leases: c.Leases, Settings: c.Settings}
	byID := func(operations []store.Operation) map[string]store.Operation {
		found := make(map[string]store.Operation)
		for _, operation := range operations {
			found[operation.ID] = operation
		}
		return found
	}
	if !reflect.DeepEqual(byID(got.Operations), byID(want.Operations)) {
		t.Errorf("operations %+v; want %+v", got.Operations, want.Operations)
	}
	byInstance := func(steps []api.Step) map[string]api.Step {
		found := make(map[string]api.Step)
		for _, step := range steps {
			found[step.Op+" "+step.Instance+" "+step.Kind] = step
		}
		return found
	}
	if !reflect.DeepEqual(byInstance(got.Steps), byInstance(want.Steps)) {
		t.Errorf("steps %+v; want %+v", got.Steps, want.Steps)
	}
	got.Operations, want.Operations, got.Steps, want.Steps = nil, nil, nil, nil
	if !reflect.DeepEqual(got, want) {
		t.Errorf("got  %+v\nwant %+v", got, want)
	}
}
