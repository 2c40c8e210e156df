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
func viewCommands(g *global) []*cobra.Command {
	return []*cobra.Command{listCommand(g), inspectCommand(g), logsCommand(g), auditCommand(g)}
}

// onInstance calls do with the agent of the host that has an instance. A name that several hosts
// use is an error.
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
