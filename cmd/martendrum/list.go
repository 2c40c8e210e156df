package main

import (
	"errors"
	"fmt"
	"os"
	"slices"
	"strings"
	"text/tabwriter"

	"github.com/spf13/cobra"

	"martendrum/internal/fleet/api"
	"martendrum/internal/fleet/control/client"
)

// listCommand returns the command that lists instances, or with --settings the hosts where a
// revision of the distributed settings is in force.
func listCommand(g *globalFlags) *cobra.Command {
	list := &cobra.Command{
		Use: "list", GroupID: "view", Short: "List instances and their states", Args: cobra.NoArgs,
		Long: "List the instances of the fleet. Hosts that don't answer are listed too, and make the exit code 1\n(3 if none answers).",
	}
	selection := selectFlags(list)
	settings := &settingsFlags{}
	settings.add(list)
	list.RunE = func(c *cobra.Command, _ []string) error {
		fleet, err := g.openFleet()
		if err == nil {
			err = selection.Check()
		}
		if err != nil {
			return err
		}
		defer fleet.Close()
		if settings.enabled {
			return settings.printProgress(c, g, fleet)
		}
		return printInstances(g, fleet.List(c.Context(), selection))
	}
	return list
}

// printInstances prints the instances of hosts. It returns an error with the exit code
// exitUnreachable if no host answered, and with exitPartial if some hosts didn't answer or the agents
// of some can't write their records.
func printInstances(g *globalFlags, hosts []client.HostState) error {
	if g.json {
		if err := printJSON(hosts); err != nil {
			return err
		}
	} else {
		printInstanceTable(hosts)
		printHostProblems(hosts)
	}
	unreachable := 0
	for _, h := range hosts {
		if h.Error != "" {
			unreachable++
		}
	}
	switch {
	case unreachable > 0 && unreachable == len(hosts):
		return &exitError{exitUnreachable, errors.New("none of the hosts answers")}
	case unreachable > 0:
		return &exitError{exitPartial, fmt.Errorf("%d of %d hosts don't answer", unreachable, len(hosts))}
	case slices.ContainsFunc(hosts, func(h client.HostState) bool { return h.Unwritable != "" }):
		return &exitError{exitPartial, nil}
	}
	return nil
}

// printInstanceTable prints the instances of hosts as a table.
func printInstanceTable(hosts []client.HostState) {
	w := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "HOST\tINSTANCE\tDESIRED\tSTATE\tFOR\tRELEASE\tRESTARTS\tPID\tNOTE")
	for _, h := range hosts {
		for _, i := range h.Instances {
			release := shortHash(i.Release)
			if i.Running != "" && i.Running != i.Release {
				release = shortHash(i.Running) + " -> " + release
			}
			fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%s\t%s\t%d\t%d\t%s\n", h.Host.Name, i.Name, i.Desired, i.State, age(i.Since), release, i.Restarts, i.PID, instanceNote(&i))
		}
	}
	w.Flush()
}

// instanceNote returns the note on an instance: the reason for its state, the operation that holds
// it, and whether its idempotency store is unavailable.
func instanceNote(i *api.Instance) string {
	note := i.Reason
	if i.Operation != "" {
		note = "operation " + i.Operation + " " + note
	}
	if strings.Contains(i.Record, "; breaker=") && !strings.Contains(i.Record, "; breaker=closed") {
		note += " its idempotency store is unavailable"
	}
	return note
}

// printHostProblems prints the problems of hosts to standard error.
func printHostProblems(hosts []client.HostState) {
	for _, h := range hosts {
		if h.Error != "" {
			fmt.Fprintf(os.Stderr, "%s: %s\n", h.Host.Name, h.Error)
		}
		if h.Returning != "" {
			fmt.Fprintf(os.Stderr, "%s comes back from a power loss: %s\n", h.Host.Name, h.Returning)
		}
		if h.Unwritable != "" {
			fmt.Fprintf(os.Stderr, "%s: its record can't be written: %s\n", h.Host.Name, h.Unwritable)
		}
	}
}
