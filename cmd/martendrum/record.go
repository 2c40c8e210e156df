package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"text/tabwriter"
	"time"

	"github.com/spf13/cobra"

	"martendrum/internal/idempotency"
	"martendrum/internal/idempotency/storeconfig"
)

// recordFlags holds the flags that the commands on a store share.
type recordFlags struct {
	*globalFlags
	configPath string        // the file that describes the store
	timeout    time.Duration // of the whole command
}

// withStore opens the store, calls do and closes the store, all within the timeout. With exclusive, it
// opens a SQLite file as the file's owner, which fails while a sidecar owns it. An error without an
// exit code gets exitUnreachable, unless it is one of the store's configuration.
func (r *recordFlags) withStore(c *cobra.Command, exclusive bool, do func(ctx context.Context, store idempotency.Backend) error) error {
	config, err := storeconfig.Load(r.configPath)
	if err != nil {
		if errors.Is(err, os.ErrNotExist) {
			err = fmt.Errorf("%w: name the store's configuration file with --config", err)
		}
		return err
	}
	ctx, cancel := context.WithTimeout(c.Context(), r.timeout)
	defer cancel()
	store, err := config.Open(ctx, exclusive, nil)
	if err != nil {
		return &exitError{exitUnreachable, err}
	}
	defer store.Close()
	err = do(ctx, store)
	if _, ok := errors.AsType[*exitError](err); err != nil && !ok {
		err = &exitError{exitUnreachable, err}
	}
	return err
}

// recordCommand returns the command with the subcommands on a store of record.
func recordCommand(g *globalFlags) *cobra.Command {
	r := &recordFlags{globalFlags: g}
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
	root.PersistentFlags().StringVar(&r.configPath, "config", "deploy/record.toml", "the store's file, as MARTENDRUM_RECORD names it to the sidecar")
	root.PersistentFlags().DurationVar(&r.timeout, "timeout", 5*time.Minute, "give up after")

	root.AddCommand(recordLookCommand(r), recordListCommand(r), recordExportCommand(r), recordSettleCommand(r),
		recordStatsCommand(r), recordCheckCommand(r), recordCompactCommand(r))
	return root
}

// recordLookCommand returns the command that shows the entry of one key.
func recordLookCommand(r *recordFlags) *cobra.Command {
	look := &cobra.Command{Use: "look CLASS KEY", Short: "Show what is known of a key", Args: cobra.ExactArgs(2),
		Long: "Show what is known of a key. Exit code 1 if nothing is."}
	look.RunE = func(c *cobra.Command, args []string) error {
		return r.withStore(c, false, func(ctx context.Context, store idempotency.Backend) error {
			entry, err := store.Get(ctx, args[0], args[1])
			if err != nil {
				return err
			}
			if entry.State == idempotency.Unknown {
				return &exitError{exitPartial, fmt.Errorf("class %s has no key %q in the record: it was never sent, or its entry is no longer kept", args[0], args[1])}
			}
			return r.printEntry(newRecordEntry(&entry))
		})
	}
	return look
}

// printEntry prints all fields of an entry.
func (r *recordFlags) printEntry(entry recordEntry) error {
	if r.json {
		return printJSON(entry)
	}
	w := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', 0)
	for _, line := range [][2]string{
		{"class", entry.Class},
		{"key", entry.Key},
		{"state", entry.State},
		{"request", entry.Request},
		{"attempts", fmt.Sprintf("%d %s", entry.Attempts, entry.Servers)},
		{"owner", entry.Owner},
		{"began", entry.Began.Format(time.RFC3339Nano)},
		{"changed", entry.Changed.Format(time.RFC3339Nano)},
		{"answer", describeAnswer(&entry)},
		{"settled by", entry.Settled},
		{"note", entry.Note},
	} {
		fmt.Fprintf(w, "%s\t%s\n", line[0], line[1])
	}
	return w.Flush()
}

// recordCheckCommand returns the command that checks the store for damage.
func recordCheckCommand(r *recordFlags) *cobra.Command {
	check := &cobra.Command{Use: "check", Short: "Check the file and the store for damage", Args: cobra.NoArgs}
	check.RunE = func(c *cobra.Command, _ []string) error {
		return r.withStore(c, false, func(ctx context.Context, store idempotency.Backend) error {
			damage, err := store.Check(ctx)
			if err != nil {
				return err
			}
			return r.printDamage(damage)
		})
	}
	return check
}

// printDamage prints the damage that a check has found, and returns an error if there is any.
func (r *recordFlags) printDamage(damage []string) error {
	if r.json {
		if err := printJSON(append([]string{}, damage...)); err != nil {
			return err
		}
	} else {
		for _, line := range damage {
			fmt.Println(line)
		}
	}
	if len(damage) > 0 {
		return &exitError{exitPartial, errors.New("the record is damaged: export what can be read, move the file aside, and settle by hand what is missing")}
	}
	if !r.json {
		fmt.Println("no damage found")
	}
	return nil
}

// recordCompactCommand returns the command that frees unused space.
func recordCompactCommand(r *recordFlags) *cobra.Command {
	compact := &cobra.Command{Use: "compact", Short: "Give unused room back; a SQLite file must not be in use", Args: cobra.NoArgs}
	compact.RunE = func(c *cobra.Command, _ []string) error {
		return r.withStore(c, true, func(ctx context.Context, store idempotency.Backend) error { return store.Compact(ctx) })
	}
	return compact
}
