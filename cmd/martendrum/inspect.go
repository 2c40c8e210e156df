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

// inspectCommand returns the command that shows all details of one instance.
func inspectCommand(g *globalFlags) *cobra.Command {
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

// printInspection prints the details of an instance, its latest steps and the end of its log.
func printInspection(out *api.InspectOut) {
	instance := &out.Instance
	w := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', 0)
	for _, line := range [][2]string{
		{"instance", instance.Name},
		{"host", instance.Host},
		{"labels", fmt.Sprint(instance.Labels)},
		{"listen", instance.Listen},
		{"desired", instance.Desired},
		{"state", instance.State + " for " + age(instance.Since)},
		{"reason", instance.Reason},
		{"release", instance.Release},
		{"running", instance.Running},
		{"previous", instance.Previous},
		{"generation", fmt.Sprintf("%d, of the running process: %d", instance.Generation, instance.Process)},
		{"pid", fmt.Sprint(instance.PID)},
		{"launched", age(instance.Launched) + " ago"},
		{"restarts", fmt.Sprint(instance.Restarts)},
		{"last exit", instance.LastExit},
		{"record", instance.Record},
		{"operation", instance.Operation},
		{"held by", instance.LeaseHolder},
	} {
		fmt.Fprintf(w, "%s\t%s\n", line[0], line[1])
	}
	w.Flush()
	printInstanceSettings(out.Settings)
	fmt.Println("\nlatest steps:")
	for _, step := range out.Steps {
		fmt.Printf("  %s  %s %s: %s %s\n", step.Started.Format(time.RFC3339), step.Action, step.Kind, step.Status, step.Reason)
	}
	fmt.Printf("\nend of its log:\n%s", out.Log)
}
