package main

import (
	"fmt"
	"os"
	"text/tabwriter"
	"time"

	"github.com/spf13/cobra"

	"martendrum/internal/fleet/api"
	"martendrum/internal/fleet/control/client"
)

// inspectCommand returns the command that shows one instance.
func inspectCommand(g *global) *cobra.Command {
	inspect := &cobra.Command{
		Use: "inspect INSTANCE", GroupID: "view", Short: "Show all that is known of one instance", Args: cobra.ExactArgs(1),
	}
	inspect.RunE = func(c *cobra.Command, args []string) error {
		return g.onInstance(c.Context(), args[0], func(a *client.Agent) error {
			var out api.InspectOut
			if err := a.Call(c.Context(), api.Inspect, &api.InstanceIn{Instance: args[0]}, &out); err != nil {
				return err
			}
			if g.json {
				return printJSON(out)
			}
			printInspection(&out)
			return nil
		})
	}
	return inspect
}

func printInspection(out *api.InspectOut) {
	i := &out.Instance
	w := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', 0)
	for _, line := range [][2]string{
		{"instance", i.Name},
		{"host", i.Host},
		{"labels", fmt.Sprint(i.Labels)},
		{"listen", i.Listen},
		{"desired", i.Desired},
		{"state", i.State + " for " + age(i.Since)},
		{"reason", i.Reason},
		{"release", i.Release},
		{"running", i.Running},
		{"previous", i.Previous},
		{"generation", fmt.Sprintf("%d, of the process %d", i.Generation, i.Process)},
		{"pid", fmt.Sprint(i.PID)},
		{"launched", age(i.Launched) + " ago"},
		{"restarts", fmt.Sprint(i.Restarts)},
		{"last exit", i.LastExit},
		{"record", i.Record},
		{"operation", i.Operation},
		{"held by", i.LeaseHolder},
	} {
		fmt.Fprintf(w, "%s\t%s\n", line[0], line[1])
	}
	w.Flush()
	printInstanceSettings(out.Settings)
	fmt.Println("\nlatest steps:")
	for _, s := range out.Steps {
		fmt.Printf("  %s  %s %s: %s %s\n", s.Started.Format(time.RFC3339), s.Action, s.Kind, s.Status, s.Reason)
	}
	fmt.Printf("\nend of its log:\n%s", out.Log)
}
