package main

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/spf13/cobra"

	"martendrum/internal/idempotency"
	"martendrum/internal/idempotency/storeconfig"
)

// maxPage is how many rows are read from the store at once.
const maxPage = 500

// recordFlags is what the commands on a store share.
type recordFlags struct {
	*global
	config  string
	timeout time.Duration
}

// withStore opens the store, bounded in time, and closes it.
func (r *recordFlags) withStore(c *cobra.Command, owner bool, do func(ctx context.Context, b idempotency.Backend) error) error {
	cfg, err := storeconfig.Load(r.config)
	if err != nil {
		if errors.Is(err, os.ErrNotExist) {
			err = fmt.Errorf("%w: name the sidecar's file with --config", err)
		}
		return err
	}
	ctx, cancel := context.WithTimeout(c.Context(), r.timeout)
	defer cancel()
	b, err := cfg.Open(ctx, owner, nil)
	if err != nil {
		return &exitError{exitUnreachable, err}
	}
	defer b.Close()
	err = do(ctx, b)
	if _, ok := errors.AsType[*exitError](err); err != nil && !ok {
		err = &exitError{exitUnreachable, err}
	}
	return err
}

func recordCommand(g *global) *cobra.Command {
	r := &recordFlags{global: g}
	root := &cobra.Command{
		Use: "record", GroupID: "view", Args: cobra.NoArgs, RunE: func(c *cobra.Command, _ []string) error { return c.Help() },
		Short: "Look into a store of record, and settle what may have run",
		Long: `Look into the store of record of a sidecar (SQLite) or of many (PostgreSQL), as the
sidecar's own file (--config) names it. A SQLite file may be looked into and settled in
while its sidecar runs.

A key that may have run is never sent again by itself. Ask the activation system what
became of it, then settle it: a repeat goes through if it did not run, and is told that
it ran if it did.`,
		Example: `  martendrum record list --state may-have-run
  martendrum record look activate 8962100012345678901
  martendrum record settle activate 8962100012345678901 --never-ran --note "not at the registry, ticket 771"`,
	}
	root.PersistentFlags().StringVar(&r.config, "config", "deploy/record.toml", "the store's file, as MARTENDRUM_RECORD names it to the sidecar")
	root.PersistentFlags().DurationVar(&r.timeout, "timeout", 5*time.Minute, "give up after")

	look := &cobra.Command{Use: "look CLASS KEY", Short: "Show what is known of a key", Args: cobra.ExactArgs(2),
		Long: "Show what is known of a key. Exit code 1 if nothing is."}
	look.RunE = func(c *cobra.Command, args []string) error {
		return r.withStore(c, false, func(ctx context.Context, b idempotency.Backend) error {
			row, err := b.Get(ctx, args[0], args[1])
			if err != nil {
				return err
			}
			if row.State == idempotency.Unknown {
				return &exitError{exitPartial, fmt.Errorf("class %s has no key %q in the record: it was never sent, or what was known is no longer kept", args[0], args[1])}
			}
			p := newRecordEntry(&row)
			if r.json {
				return printJSON(p)
			}
			w := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', 0)
			for _, l := range [][2]string{{"class", p.Class}, {"key", p.Key}, {"state", p.State}, {"request", p.Request},
				{"attempts", fmt.Sprintf("%d %s", p.Attempts, p.Servers)}, {"owner", p.Owner}, {"began", p.Began.Format(time.RFC3339Nano)},
				{"changed", p.Changed.Format(time.RFC3339Nano)}, {"answer", describeAnswer(&p)}, {"settled by", p.Settled}, {"note", p.Note}} {
				fmt.Fprintf(w, "%s\t%s\n", l[0], l[1])
			}
			return w.Flush()
		})
	}

	var f idempotency.Filter
	var since time.Duration
	filter := func(c *cobra.Command) {
		c.Flags().StringVar((*string)(&f.State), "state", "", "only in this state: in-flight, answered, never-ran or may-have-run")
		c.Flags().StringVar(&f.Class, "class", "", "only of this class")
		c.Flags().DurationVar(&since, "since", 0, "only what changed in the last, as 24h")
		c.RegisterFlagCompletionFunc("state", cobra.FixedCompletions([]cobra.Completion{"in-flight", "answered", "never-ran", "may-have-run"}, cobra.ShellCompDirectiveNoFileComp))
	}
	each := func(ctx context.Context, b idempotency.Backend, limit int, do func(*idempotency.Entry) error) (more bool, err error) {
		if f.State != idempotency.Unknown && !strings.Contains(" in-flight answered never-ran may-have-run ", " "+string(f.State)+" ") {
			return false, &exitError{exitUse, fmt.Errorf("--state %s: want in-flight, answered, never-ran or may-have-run", f.State)}
		}
		if since > 0 {
			f.ChangedSince = time.Now().Add(-since).UnixMicro()
		}
		f.Limit = maxPage
		for n := 0; ; {
			rows, err := b.List(ctx, f)
			if err != nil {
				return false, err
			}
			for i := range rows {
				if n++; n > limit {
					return true, nil
				}
				if err := do(&rows[i]); err != nil {
					return false, err
				}
			}
			if len(rows) < f.Limit {
				return false, nil
			}
			f.AfterClass, f.AfterKey = rows[len(rows)-1].Class, rows[len(rows)-1].Key
		}
	}

	list := &cobra.Command{Use: "list", Short: "List keys", Args: cobra.NoArgs}
	filter(list)
	limit := list.Flags().Int("most", 1000, "so many at most")
	list.RunE = func(c *cobra.Command, _ []string) error {
		return r.withStore(c, false, func(ctx context.Context, b idempotency.Backend) error {
			out := []recordEntry{}
			more, err := each(ctx, b, *limit, func(row *idempotency.Entry) error {
				out = append(out, newRecordEntry(row))
				return nil
			})
			if err != nil {
				return err
			}
			if more {
				fmt.Fprintf(os.Stderr, "martendrum: there are more than %d; see --most, --state and --class, or export\n", *limit)
			}
			if r.json {
				return printJSON(out)
			}
			w := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', 0)
			fmt.Fprintln(w, "CLASS\tKEY\tSTATE\tCHANGED\tATTEMPTS\tSERVERS\tREQUEST\tSETTLED BY\tNOTE")
			for _, p := range out {
				fmt.Fprintf(w, "%s\t%s\t%s\t%s ago\t%d\t%s\t%s\t%s\t%s\n", p.Class, p.Key, p.State, age(p.Changed), p.Attempts, p.Servers, p.Request, p.Settled, p.Note)
			}
			return w.Flush()
		})
	}

	export := &cobra.Command{Use: "export", Short: "Write all rows, answers too, as JSON, one a line", Args: cobra.NoArgs}
	filter(export)
	export.RunE = func(c *cobra.Command, _ []string) error {
		return r.withStore(c, false, func(ctx context.Context, b idempotency.Backend) error {
			out := bufio.NewWriter(os.Stdout)
			e := json.NewEncoder(out)
			n := 0
			_, err := each(ctx, b, 1<<62, func(row *idempotency.Entry) error {
				whole, err := b.Get(ctx, row.Class, row.Key) // with its answer
				if err != nil || whole.State == idempotency.Unknown {
					return err
				}
				if n++; n%10000 == 0 {
					fmt.Fprintf(os.Stderr, "%d rows\n", n)
				}
				return e.Encode(newRecordEntry(&whole))
			})
			if err == nil {
				err = out.Flush()
			}
			return err
		})
	}

	settle := &cobra.Command{Use: "settle CLASS KEY", Short: "Say what became of a key that may have run", Args: cobra.ExactArgs(2),
		Long: `Say what became of a key that may have run. --ran: a repeat is told that it ran.
--never-ran: a repeat goes through; be sure, and be sure that no server still has it.`}
	settle.Flags().Bool("ran", false, "it ran") // the other one decides
	never := settle.Flags().Bool("never-ran", false, "it did not run, and will not")
	by := settle.Flags().String("who", operatorName(), "who says so")
	note := settle.Flags().String("note", "", "how it is known")
	dry := settle.Flags().Bool("dry-run", false, "only say what would be done")
	settle.MarkFlagsMutuallyExclusive("ran", "never-ran")
	settle.MarkFlagsOneRequired("ran", "never-ran")
	settle.RunE = func(c *cobra.Command, args []string) error {
		to := idempotency.Answered
		if *never {
			to = idempotency.NeverRan
		}
		return r.withStore(c, false, func(ctx context.Context, b idempotency.Backend) error {
			row, err := b.Get(ctx, args[0], args[1])
			if err != nil {
				return err
			}
			op := &idempotency.Op{Kind: idempotency.Settle, Class: args[0], Key: args[1], To: to, By: *by, Note: *note}
			if !*dry {
				if err := b.Apply(ctx, []*idempotency.Op{op}); err != nil {
					return err
				}
			} else {
				idempotency.Apply(&row, time.Now().UnixMicro(), op)
			}
			if op.Result != idempotency.Granted {
				state := string(op.Entry.State)
				if state == "" {
					state = "unknown"
				}
				return &exitError{exitPartial, fmt.Errorf("%s %s is %s: only what may have run can be settled", args[0], args[1], state)}
			}
			if *dry {
				fmt.Fprintln(os.Stderr, "nothing was changed; it would become:")
			}
			p := newRecordEntry(&op.Entry)
			if r.json {
				return printJSON(p)
			}
			fmt.Printf("%s %s: %s, settled by %s\n", p.Class, p.Key, p.State, p.Settled)
			return nil
		})
	}

	type state struct {
		Rows  map[idempotency.State]int64 `json:"rows"`
		Bytes int64                       `json:"bytes"`
		Most  int64                       `json:"most,omitempty"`
		Gaps  []idempotency.Gap           `json:"gaps"`
	}
	stats := &cobra.Command{Use: "stats", Short: "Count rows by state, and show the gaps", Args: cobra.NoArgs,
		Long: "Count rows by state, show the bytes used and the times in which requests went on without\na record. Exit code 1 if any key may have run."}
	stats.RunE = func(c *cobra.Command, _ []string) error {
		return r.withStore(c, false, func(ctx context.Context, b idempotency.Backend) error {
			st, err := b.Stats(ctx)
			if err != nil {
				return err
			}
			gaps, err := b.Gaps(ctx, 100)
			if err != nil {
				return err
			}
			if r.json {
				if err := printJSON(state{st.Rows, st.Bytes, st.MaxBytes, gaps}); err != nil {
					return err
				}
			} else {
				for _, s := range idempotency.States {
					fmt.Printf("%-14s %d\n", s, st.Rows[s])
				}
				fmt.Printf("%-14s %d", "bytes", st.Bytes)
				if st.MaxBytes > 0 {
					fmt.Printf(" of %d", st.MaxBytes)
				}
				fmt.Println()
				for _, g := range gaps {
					fmt.Printf("gap: %d requests of %s without a record, %s to %s: %s\n", g.Requests, g.Class,
						time.UnixMicro(g.From).UTC().Format(time.RFC3339), time.UnixMicro(g.Until).UTC().Format(time.RFC3339), g.Cause)
				}
			}
			if st.Rows[idempotency.MayHaveRun] > 0 {
				return &exitError{exitPartial, nil}
			}
			return nil
		})
	}

	check := &cobra.Command{Use: "check", Short: "Check the file and the store for damage", Args: cobra.NoArgs}
	check.RunE = func(c *cobra.Command, _ []string) error {
		return r.withStore(c, false, func(ctx context.Context, b idempotency.Backend) error {
			found, err := b.Check(ctx)
			if err != nil {
				return err
			}
			if r.json {
				if err := printJSON(append([]string{}, found...)); err != nil {
					return err
				}
			} else {
				for _, line := range found {
					fmt.Println(line)
				}
			}
			if len(found) > 0 {
				return &exitError{exitPartial, errors.New("the record is damaged: export what can be read, move the file aside, and settle by hand what is missing")}
			}
			if !r.json {
				fmt.Println("no damage found")
			}
			return nil
		})
	}

	compact := &cobra.Command{Use: "compact", Short: "Give unused room back; a SQLite file must not be in use", Args: cobra.NoArgs}
	compact.RunE = func(c *cobra.Command, _ []string) error {
		return r.withStore(c, true, func(ctx context.Context, b idempotency.Backend) error { return b.Compact(ctx) })
	}
	root.AddCommand(look, list, export, settle, stats, check, compact)
	return root
}
