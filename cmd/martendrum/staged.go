package main

import (
	"github.com/spf13/cobra"
)

// stagedCommand returns the command `change`, with the subcommands of staged changes and of distributed
// settings.
func stagedCommand(g *globalFlags) *cobra.Command {
	c := &cobra.Command{Use: "change", GroupID: "change", Short: "Change the program or its settings in stages, and stop by itself when a stage does worse",
		Long: `A change goes through the fleet in stages, new and old sidecars side by side. After each
stage the new ones are compared with the old ones over the same time, and each with its
own past: worth served, requests refused and failed by class and zone, attempts sent,
time in the sidecar, memory, crashes. If they do worse, the change is taken back; if it
can't be told, it holds.

Every instance needs a door ("mgmt" in its configuration), and its agent takes the
figures ("figures.slot" in the agent's file, the same at all hosts).`,
		Example: `  martendrum change start --binary ./sidecar --stages 1,10%,50%,100% --least 5m --all --dry-run
  martendrum change start --overlay new.json --all          # settings alone: SIGHUP, no restart
  martendrum change watch 20261201-201500-5f2c1a
  martendrum change resume 20261201-201500-5f2c1a --go-on   # it holds, and you have looked`}
	c.AddCommand(startCommand(g), resumeCommand(g), watchCommand(g), evidenceCommand(g),
		publishCommand(g), promoteCommand(g))
	for _, op := range opCommands(g) {
		switch op.Name() {
		case "abort":
			op.GroupID = ""
			c.AddCommand(op)
		case "operations":
			op.GroupID, op.Use, op.Short = "", "list", "List operations, those that are open first"
			c.AddCommand(op)
		}
	}
	return c
}
