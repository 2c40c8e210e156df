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

func viewCommands(g *global) []*cobra.Command {
	list := &cobra.Command{
		Use: "list", GroupID: "view", Short: "List instances and their states", Args: cobra.NoArgs,
		Long: "List the instances of the fleet. Hosts that don't answer are listed too, and make the exit code 1\n(3 if none answers).",
	}
	sel := selectFlags(list)
	settings := &settingsFlags{}
	settings.add(list)
	list.RunE = func(c *cobra.Command, _ []string) error {
		f, err := g.openFleet()
		if err == nil {
			err = sel.Check()
		}
		if err != nil {
			return err
		}
		defer f.Close()
		if settings.enabled {
			return settings.printProgress(c, g, f)
		}
		return printInstances(g, f.List(c.Context(), sel))
	}

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
			i := out.Instance
			w := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', 0)
			for _, l := range [][2]string{
				{"instance", i.Name}, {"host", i.Host}, {"labels", fmt.Sprint(i.Labels)}, {"listen", i.Listen}, {"desired", i.Desired},
				{"state", i.State + " for " + age(i.Since)}, {"reason", i.Reason}, {"release", i.Release}, {"running", i.Running}, {"previous", i.Previous},
				{"generation", fmt.Sprintf("%d, of the process %d", i.Generation, i.Process)}, {"pid", fmt.Sprint(i.PID)}, {"launched", age(i.Launched) + " ago"},
				{"restarts", fmt.Sprint(i.Restarts)}, {"last exit", i.LastExit}, {"record", i.Record}, {"operation", i.Operation}, {"held by", i.LeaseHolder},
			} {
				fmt.Fprintf(w, "%s\t%s\n", l[0], l[1])
			}
			w.Flush()
			printInstanceSettings(out.Settings)
			fmt.Println("\nlatest steps:")
			for _, s := range out.Steps {
				fmt.Printf("  %s  %s %s: %s %s\n", s.Started.Format(time.RFC3339), s.Action, s.Kind, s.Status, s.Reason)
			}
			fmt.Printf("\nend of its log:\n%s", out.Log)
			return nil
		})
	}

	logs := &cobra.Command{
		Use: "logs INSTANCE", GroupID: "view", Short: "Print an instance's log", Args: cobra.ExactArgs(1),
	}
	follow := logs.Flags().BoolP("follow", "f", false, "go on printing until interrupted")
	tail := logs.Flags().Int64("bytes", 16<<10, "begin so many bytes before the end")
	logs.RunE = func(c *cobra.Command, args []string) error {
		return g.onInstance(c.Context(), args[0], func(a *client.Agent) error {
			at := -max(1, *tail)
			for {
				var out api.LogsOut
				if err := a.Call(c.Context(), api.Logs, &api.LogsIn{Instance: args[0], Offset: at}, &out); err != nil {
					return err
				}
				os.Stdout.Write(out.Data)
				at = out.Next
				if len(out.Data) > 0 {
					continue
				}
				if !*follow {
					return nil
				}
				select {
				case <-c.Context().Done():
					return nil
				case <-time.After(500 * time.Millisecond):
				}
			}
		})
	}

	audit := &cobra.Command{
		Use: "audit HOST", GroupID: "view", Short: "Print who asked a host's agent for what", Args: cobra.ExactArgs(1),
	}
	limit := audit.Flags().Int("most", 50, "so many of the latest entries, 1000 at most")
	audit.RunE = func(c *cobra.Command, args []string) error {
		f, err := g.openFleet()
		if err != nil {
			return err
		}
		defer f.Close()
		a := f.Agent(args[0])
		if a == nil {
			return fmt.Errorf("host %s is not in %s", args[0], g.inventoryPath)
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
	return []*cobra.Command{list, inspect, logs, audit}
}
