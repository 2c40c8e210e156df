package main

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"math"
	"os"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/spf13/cobra"

	"martendrum/internal/idempotency"
)

const (
	// pageEntries bounds the entries that are read from the store in one call.
	pageEntries = 500
	// exportProgressEntries is the number of entries after which an export prints its progress.
	exportProgressEntries = 10000
)

// recordFilter holds the flags that select entries.
type recordFilter struct {
	filter idempotency.Filter
	since  time.Duration
}

// add defines the flags on a command.
func (f *recordFilter) add(c *cobra.Command) {
	c.Flags().StringVar((*string)(&f.filter.State), "state", "", "only in this state: in-flight, answered, never-ran or may-have-run")
	c.Flags().StringVar(&f.filter.Class, "class", "", "only of this class")
	c.Flags().DurationVar(&f.since, "since", 0, "only what changed in the last, as 24h")
	c.RegisterFlagCompletionFunc("state", cobra.FixedCompletions([]cobra.Completion{"in-flight", "answered", "never-ran", "may-have-run"}, cobra.ShellCompDirectiveNoFileComp))
}

// forEach calls do for up to limit selected entries, without their answers, and reports whether there
// are more.
func (f *recordFilter) forEach(ctx context.Context, store idempotency.Backend, limit int, do func(*idempotency.Entry) error) (more bool, err error) {
	filter := f.filter
	if filter.State != idempotency.Unknown && !strings.Contains(" in-flight answered never-ran may-have-run ", " "+string(filter.State)+" ") {
		return false, &exitError{exitUsage, fmt.Errorf("--state %s: want in-flight, answered, never-ran or may-have-run", filter.State)}
	}
	if f.since > 0 {
		filter.ChangedSince = time.Now().Add(-f.since).UnixMicro()
	}
	filter.Limit = pageEntries
	for n := 0; ; {
		page, err := store.List(ctx, filter)
		if err != nil {
			return false, err
		}
		for i := range page {
			if n++; n > limit {
				return true, nil
			}
			if err := do(&page[i]); err != nil {
				return false, err
			}
		}
		if len(page) < filter.Limit {
			return false, nil
		}
		last := &page[len(page)-1]
		filter.AfterClass, filter.AfterKey = last.Class, last.Key
	}
}

// recordListCommand returns the command that lists the entries of keys.
func recordListCommand(r *recordFlags) *cobra.Command {
	list := &cobra.Command{Use: "list", Short: "List keys", Args: cobra.NoArgs}
	filter := &recordFilter{}
	filter.add(list)
	limit := list.Flags().Int("most", 1000, "so many at most")
	list.RunE = func(c *cobra.Command, _ []string) error {
		return r.withStore(c, false, func(ctx context.Context, store idempotency.Backend) error {
			entries := []recordEntry{}
			more, err := filter.forEach(ctx, store, *limit, func(entry *idempotency.Entry) error {
				entries = append(entries, newRecordEntry(entry))
				return nil
			})
			if err != nil {
				return err
			}
			if more {
				fmt.Fprintf(os.Stderr, "martendrum: there are more than %d entries; raise --most, select with --state or --class, or use export\n", *limit)
			}
			return r.printEntries(entries)
		})
	}
	return list
}

// printEntries prints a list of entries without their answers.
func (r *recordFlags) printEntries(entries []recordEntry) error {
	if r.json {
		return printJSON(entries)
	}
	w := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "CLASS\tKEY\tSTATE\tCHANGED\tATTEMPTS\tSERVERS\tREQUEST\tSETTLED BY\tNOTE")
	for _, e := range entries {
		fmt.Fprintf(w, "%s\t%s\t%s\t%s ago\t%d\t%s\t%s\t%s\t%s\n", e.Class, e.Key, e.State, age(e.Changed), e.Attempts, e.Servers, e.Request, e.Settled, e.Note)
	}
	return w.Flush()
}

// recordExportCommand returns the command that writes all entries with their answers.
func recordExportCommand(r *recordFlags) *cobra.Command {
	export := &cobra.Command{Use: "export", Short: "Write all rows, answers too, as JSON, one a line", Args: cobra.NoArgs}
	filter := &recordFilter{}
	filter.add(export)
	export.RunE = func(c *cobra.Command, _ []string) error {
		return r.withStore(c, false, func(ctx context.Context, store idempotency.Backend) error {
			out := bufio.NewWriter(os.Stdout)
			encoder := json.NewEncoder(out)
			n := 0
			_, err := filter.forEach(ctx, store, math.MaxInt, func(listed *idempotency.Entry) error {
				entry, err := store.Get(ctx, listed.Class, listed.Key) // List returns entries without their answers
				if err != nil || entry.State == idempotency.Unknown {
					return err
				}
				if n++; n%exportProgressEntries == 0 {
					fmt.Fprintf(os.Stderr, "%d entries exported\n", n)
				}
				return encoder.Encode(newRecordEntry(&entry))
			})
			if err == nil {
				err = out.Flush()
			}
			return err
		})
	}
	return export
}
