// Command martendrum is the operators' program: the agent that runs on each host, and the commands
// that manage the sidecars of a fleet through the agents. It parses flags, prints results and sets
// exit codes; what the commands do is in the packages under internal.
package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/spf13/cobra"

	"martendrum/internal/fleet/control/client"
	"martendrum/internal/fleet/control/inventory"
)

// Exit codes other than 0.
const (
	exitPartial     = 1 // some of the work failed; the output says which
	exitUsage       = 2 // wrong usage, or an error that has no exit code of its own
	exitUnreachable = 3 // a host, relay or store that the command needs is unreachable
)

// exitError is an error that sets the program's exit code.
type exitError struct {
	code int
	err  error // nil if the output already shows the failure
}

// Error implements error.
func (e *exitError) Error() string { return fmt.Sprint(e.err) }

// Unwrap returns the cause.
func (e *exitError) Unwrap() error { return e.err }

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	os.Exit(run(ctx, os.Args[1:]))
}

// run executes a command line, prints its error to standard error and returns the exit code.
func run(ctx context.Context, args []string) int {
	root := newRoot()
	root.SetArgs(args)
	err := root.ExecuteContext(ctx)
	if err == nil {
		return 0
	}
	code := exitUsage
	if exit, ok := errors.AsType[*exitError](err); ok {
		code = exit.code
		if exit.err == nil {
			return code
		}
	} else if errors.As(err, new(*client.UnreachableError)) {
		code = exitUnreachable
	}
	fmt.Fprintln(os.Stderr, "martendrum:", err)
	return code
}

// globalFlags holds the flags that all commands have.
type globalFlags struct {
	inventoryPath string // the file that lists the hosts
	json          bool   // print JSON instead of text
}

// newRoot returns the root command with all of its subcommands.
func newRoot() *cobra.Command {
	g := &globalFlags{}
	root := &cobra.Command{
		Use:   "martendrum",
		Short: "Manage many sidecars at once",
		Long: `martendrum manages the sidecars of a fleet through the agents on its hosts.

The hosts are listed in an inventory (--fleet, or MARTENDRUM_FLEET). A change goes
through the selected instances in batches, under a lease that keeps others off, and
can be resumed by anyone if the command that began it dies.

Exit codes: 0 all well; 1 some of the work failed, the report says which; 2 bad use;
3 what is needed could not be reached.`,
		Example: `  martendrum dev                                  # a small fleet on this machine, to try things on
  martendrum list --label zone=jakarta
  martendrum upgrade --binary ./sidecar --canaries 1 --batch 10% --dry-run
  martendrum resume 20260318-201500-5f2c          # go on with a change whose command died`,
		SilenceUsage: true, SilenceErrors: true,
	}
	inventoryPath := os.Getenv("MARTENDRUM_FLEET")
	if inventoryPath == "" {
		inventoryPath = "deploy/fleet.toml"
	}
	root.PersistentFlags().StringVar(&g.inventoryPath, "fleet", inventoryPath, "inventory of hosts")
	root.PersistentFlags().BoolVar(&g.json, "json", false, "print JSON for programs")
	root.AddGroup(&cobra.Group{ID: "view", Title: "Look:"}, &cobra.Group{ID: "change", Title: "Change:"}, &cobra.Group{ID: "op", Title: "Operations:"}, &cobra.Group{ID: "run", Title: "Run and set up:"})
	root.AddCommand(viewCommands(g)...)
	root.AddCommand(changeCommands(g)...)
	root.AddCommand(opCommands(g)...)
	root.AddCommand(stagedCommand(g), judgeCommand(g), recordCommand(g), agentCommand(), caCommand(), devCommand())
	return root
}

// openFleet reads the inventory and returns the fleet, without connecting to any agent. The caller
// closes it.
func (g *globalFlags) openFleet() (*client.Fleet, error) {
	hosts, err := inventory.Load(g.inventoryPath)
	if err != nil {
		if errors.Is(err, os.ErrNotExist) {
			err = fmt.Errorf("%w: name your inventory with --fleet or MARTENDRUM_FLEET", err)
		}
		return nil, err
	}
	return client.New(hosts, operatorName())
}
