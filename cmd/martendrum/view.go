package main

import (
	"context"
	"errors"
	"fmt"

	"github.com/spf13/cobra"

	"martendrum/internal/fleet/control/client"
	"martendrum/internal/fleet/control/inventory"
)

// viewCommands returns the commands that show state and change nothing.
func viewCommands(g *globalFlags) []*cobra.Command {
	return []*cobra.Command{listCommand(g), inspectCommand(g), logsCommand(g), auditCommand(g)}
}

// onInstance calls do with the agent of the host that has the instance called name. It returns an
// error if no host or several hosts have one, with the exit code exitUnreachable if a host that
// doesn't answer may have it.
func (g *globalFlags) onInstance(ctx context.Context, name string, do func(a *client.Agent) error) error {
	fleet, err := g.openFleet()
	if err != nil {
		return err
	}
	defer fleet.Close()
	var hosts []string
	var unreachable error // of one of the hosts that don't answer
	for _, h := range fleet.List(ctx, &inventory.Select{Instances: []string{name}}) {
		if len(h.Instances) > 0 {
			hosts = append(hosts, h.Host.Name)
		}
		if h.Error != "" {
			unreachable = errors.New(h.Error)
		}
	}
	switch {
	case len(hosts) == 1:
		return do(fleet.Agent(hosts[0]))
	case len(hosts) > 1:
		return fmt.Errorf("instance %s is on several hosts, %v: give each instance a name of its own", name, hosts)
	case unreachable != nil:
		return &exitError{exitUnreachable, fmt.Errorf("none of the hosts that answered has an instance %s: %w", name, unreachable)}
	}
	return fmt.Errorf("no host has an instance %s", name)
}
