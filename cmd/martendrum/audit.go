package main

import (
	"fmt"
	"os"
	"text/tabwriter"
	"time"

	"github.com/spf13/cobra"

	"martendrum/internal/fleet/api"
)

// auditCommand returns the command that prints the audit log of a host's agent.
func auditCommand(g *globalFlags) *cobra.Command {
	audit := &cobra.Command{
		Use: "audit HOST", GroupID: "view", Short: "Print who asked a host's agent for what", Args: cobra.ExactArgs(1),
	}
	limit := audit.Flags().Int("most", 50, "so many of the latest entries, 1000 at most")
	audit.RunE = func(c *cobra.Command, args []string) error {
		fleet, err := g.openFleet()
		if err != nil {
			return err
		}
		defer fleet.Close()
		a := fleet.Agent(args[0])
		if a == nil {
			return fmt.Errorf("host %s is not in the inventory %s", args[0], g.inventoryPath)
		}
		var out api.AuditOut
		if err := a.Call(c.Context(), api.Audit, &api.AuditIn{Limit: *limit}, &out); err != nil {
			return err
		}
		if g.json {
			return printJSON(out.Entries)
		}
		w := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', 0)
		fmt.Fprintln(w, "AT\tWHO\tWHAT\tTARGET\tRESULT")
		for _, e := range out.Entries {
			fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%s\n", e.At.Format(time.RFC3339), e.Who, e.What, e.Target, e.Result)
		}
		return w.Flush()
	}
	return audit
}
