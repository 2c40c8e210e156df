package main

import (
	"context"
	"fmt"
	"os"
	"time"

	"github.com/spf13/cobra"

	"martendrum/internal/idempotency"
)

// settleFlags holds the flags of `record settle`.
type settleFlags struct {
	neverRan bool
	by, note string
	dryRun   bool
}

// recordSettleCommand returns the command that settles a key that may have run.
func recordSettleCommand(r *recordFlags) *cobra.Command {
	s := &settleFlags{}
	settle := &cobra.Command{Use: "settle CLASS KEY", Short: "Say what became of a key that may have run", Args: cobra.ExactArgs(2),
		Long: `Say what became of a key that may have run. --ran: a repeat is told that it ran.
--never-ran: a repeat goes through; be sure, and be sure that no server still has it.`}
	f := settle.Flags()
	f.Bool("ran", false, "it ran") // one of --ran and --never-ran is required; only the value of --never-ran is read
	f.BoolVar(&s.neverRan, "never-ran", false, "it did not run, and will not")
	f.StringVar(&s.by, "who", operatorName(), "who says so")
	f.StringVar(&s.note, "note", "", "how it is known")
	f.BoolVar(&s.dryRun, "dry-run", false, "only say what would be done")
	settle.MarkFlagsMutuallyExclusive("ran", "never-ran")
	settle.MarkFlagsOneRequired("ran", "never-ran")
	settle.RunE = func(c *cobra.Command, args []string) error {
		return r.withStore(c, false, func(ctx context.Context, store idempotency.Backend) error {
			entry, err := s.settle(ctx, store, args[0], args[1])
			if err != nil {
				return err
			}
			return r.printSettled(newRecordEntry(entry), s.dryRun)
		})
	}
	return settle
}

// settle settles a key, and returns its new entry. With dryRun it returns the entry without storing
// it. It returns an error if the state of the key is not may-have-run.
func (s *settleFlags) settle(ctx context.Context, store idempotency.Backend, class, key string) (*idempotency.Entry, error) {
	state := idempotency.Answered
	if s.neverRan {
		state = idempotency.NeverRan
	}
	entry, err := store.Get(ctx, class, key)
	if err != nil {
		return nil, err
	}
	op := &idempotency.Op{Kind: idempotency.Settle, Class: class, Key: key, Outcome: state, SettledBy: s.by, Note: s.note}
	if s.dryRun {
		idempotency.Apply(&entry, time.Now().UnixMicro(), op)
	} else if err := store.Apply(ctx, []*idempotency.Op{op}); err != nil {
		return nil, err
	}
	if op.Result != idempotency.Granted {
		state := string(op.Entry.State)
		if state == "" {
			state = "unknown"
		}
		return nil, &exitError{exitPartial, fmt.Errorf("%s %s is %s: only a key whose request may have run can be settled", class, key, state)}
	}
	return &op.Entry, nil
}

// printSettled prints the entry of a key that was settled, or with dryRun would be.
func (r *recordFlags) printSettled(entry recordEntry, dryRun bool) error {
	if dryRun {
		fmt.Fprintln(os.Stderr, "nothing was changed; the entry would become:")
	}
	if r.json {
		return printJSON(entry)
	}
	fmt.Printf("%s %s: %s, settled by %s\n", entry.Class, entry.Key, entry.State, entry.Settled)
	return nil
}
