package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"slices"
	"strings"
	"text/tabwriter"

	"martendrum/internal/fleet/control/client"
	"martendrum/internal/fleet/control/inventory"
)

// onInstance finds the host of an instance. Its name may be in use on several hosts.
func (g *global) onInstance(ctx context.Context, name string, do func(a *client.Agent) error) error {
	f, err := g.openFleet()
	if err != nil {
		return err
	}
	defer f.Close()
	var hosts []string
	var silent error
	for _, h := range f.List(ctx, &inventory.Select{Instances: []string{name}}) {
		if len(h.Instances) > 0 {
			hosts = append(hosts, h.Host.Name)
		}
		if h.Error != "" {
			silent = errors.New(h.Error)
		}
	}
	switch {
	case len(hosts) == 1:
		return do(f.Agent(hosts[0]))
	case len(hosts) > 1:
		return fmt.Errorf("instance %s is on the hosts %v: their names should differ", name, hosts)
	case silent != nil:
		return &exitError{exitUnreachable, fmt.Errorf("no host that answered has an instance %s: %w", name, silent)}
	}
	return fmt.Errorf("no host has an instance %s", name)
}

// printInstances prints a list and says how well it went.
func printInstances(g *global, states []client.HostState) error {
	silent := 0
	for _, h := range states {
		if h.Error != "" {
			silent++
		}
	}
	if g.json {
		if err := printJSON(states); err != nil {
			return err
		}
	} else {
		w := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', 0)
		fmt.Fprintln(w, "HOST\tINSTANCE\tDESIRED\tSTATE\tFOR\tRELEASE\tRESTARTS\tPID\tNOTE")
		for _, h := range states {
			for _, i := range h.Instances {
				note := i.Reason
				if i.Operation != "" {
					note = "operation " + i.Operation + " " + note
				}
				if strings.Contains(i.Record, "; breaker=") && !strings.Contains(i.Record, "; breaker=closed") {
					note += " its store of record is away"
				}
				rel := shortHash(i.Release)
				if i.Running != "" && i.Running != i.Release {
					rel = shortHash(i.Running) + " -> " + rel
				}
				fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%s\t%s\t%d\t%d\t%s\n", h.Host.Name, i.Name, i.Desired, i.State, age(i.Since), rel, i.Restarts, i.PID, note)
			}
		}
		w.Flush()
		for _, h := range states {
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
	switch {
	case silent > 0 && silent == len(states):
		return &exitError{exitUnreachable, errors.New("no host answers")}
	case silent > 0:
		return &exitError{exitPartial, fmt.Errorf("%d of %d hosts don't answer", silent, len(states))}
	case slices.ContainsFunc(states, func(h client.HostState) bool { return h.Unwritable != "" }):
		return &exitError{exitPartial, nil}
	}
	return nil
}
