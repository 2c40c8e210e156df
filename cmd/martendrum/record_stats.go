package main

import (
	"context"
	"fmt"
	"time"

	"github.com/spf13/cobra"

	"martendrum/internal/idempotency"
)

// maxGaps bounds the number of gaps that are printed.
const maxGaps = 100

// recordStats is the state of a store as `record stats` prints it.
type recordStats struct {
	Entries  map[idempotency.State]int64 `json:"rows"` // number by state
	Bytes    int64                       `json:"bytes"`
	MaxBytes int64                       `json:"most,omitempty"`
	Gaps     []idempotency.Gap           `json:"gaps"`
}

// recordStatsCommand returns the command that counts entries and shows gaps, the times in which
// requests were sent without a record.
func recordStatsCommand(r *recordFlags) *cobra.Command {
	stats := &cobra.Command{Use: "stats", Short: "Count rows by state, and show the gaps", Args: cobra.NoArgs,
		Long: "Count rows by state, show the bytes used and the times in which requests went on without\na record. Exit code 1 if any key may have run."}
	stats.RunE = func(c *cobra.Command, _ []string) error {
		return r.withStore(c, false, func(ctx context.Context, store idempotency.Backend) error {
			counts, err := store.Stats(ctx)
			if err != nil {
				return err
			}
			gaps, err := store.Gaps(ctx, maxGaps)
			if err != nil {
				return err
			}
			stats := &recordStats{counts.Rows, counts.Bytes, counts.MaxBytes, gaps}
			if r.json {
				if err := printJSON(stats); err != nil {
					return err
				}
			} else {
				stats.print()
			}
			if stats.Entries[idempotency.MayHaveRun] > 0 {
				return &exitError{exitPartial, nil}
			}
			return nil
		})
	}
	return stats
}

// print prints the counts and the gaps as text.
func (s *recordStats) print() {
	for _, state := range idempotency.States {
		fmt.Printf("%-14s %d\n", state, s.Entries[state])
	}
	fmt.Printf("%-14s %d", "bytes", s.Bytes)
	if s.MaxBytes > 0 {
		fmt.Printf(" of %d", s.MaxBytes)
	}
	fmt.Println()
	for _, gap := range s.Gaps {
		fmt.Printf("gap: %d requests of %s without a record, %s to %s: %s\n", gap.Requests, gap.Class,
			time.UnixMicro(gap.From).UTC().Format(time.RFC3339), time.UnixMicro(gap.Until).UTC().Format(time.RFC3339), gap.Cause)
	}
}
