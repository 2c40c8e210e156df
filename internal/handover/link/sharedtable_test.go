package link

import (
	"sync"
	"sync/atomic"
	"testing"
)

// TestInFlightOfTwoProcesses checks that two processes that each keep the sum of the requests in
// flight within a limit never exceed it together, and that no request is rejected if both
// together never need more than the limit.
func TestInFlightOfTwoProcesses(t *testing.T) {
	for _, test := range []struct{ predecessorMax, successorMax, limit int }{{4, 4, 8}, {8, 0, 8}, {6, 6, 8}, {1, 1, 1}} {
		predecessor, file, err := newSharedTable(true)
		if err != nil {
			t.Fatalf("newSharedTable: %v", err)
		}
		successor, err := mapSharedTable(file, true, successorSide)
		if err != nil {
			t.Fatalf("mapSharedTable: %v", err)
		}
		file.Close()
		var inFlight, exceeded, rejected atomic.Int64
		var wait sync.WaitGroup
		for _, process := range []struct {
			table       *SharedTable
			maxInFlight int
		}{{predecessor, test.predecessorMax}, {successor, test.successorMax}} {
			wait.Go(func() {
				own := 0
				for n := range 20000 {
					switch {
					case own > 0 && (own == process.maxInFlight || n%3 == 0):
						own--
						inFlight.Add(-1)
						process.table.SetInFlight(own)
					case own == process.maxInFlight: // a process with a maximum of 0
					case own+1+process.table.SetInFlight(own+1) > test.limit:
						process.table.SetInFlight(own)
						rejected.Add(1)
					default:
						if own++; inFlight.Add(1) > int64(test.limit) {
							exceeded.Add(1)
						}
					}
				}
				inFlight.Add(-int64(own))
				process.table.SetInFlight(0)
			})
		}
		wait.Wait()
		if exceeded.Load() > 0 || test.predecessorMax+test.successorMax <= test.limit && rejected.Load() > 0 {
			t.Errorf("%+v: limit exceeded %d times, want 0; %d requests rejected, want 0 if both maxima together are within the limit", test, exceeded.Load(), rejected.Load())
		}
		predecessor.Close()
		successor.Close()
	}
	withoutCounts, file, err := newSharedTable(false)
	if err != nil || withoutCounts.CountsInFlight() {
		t.Fatalf("newSharedTable(false): error = %v, want a table without counts and no error", err)
	}
	defer withoutCounts.Close()
	defer file.Close()
	if _, err := mapSharedTable(file, true, successorSide); err == nil {
		t.Error("mapSharedTable accepted a table without counts as one with counts, want an error")
	}
}
