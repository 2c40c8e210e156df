package main

import (
	"fmt"
	"log/slog"
	"net"
	"runtime/debug"

	"github.com/spf13/cobra"

	"martendrum/internal/fleet/host/agent"
	"martendrum/internal/fleet/host/agentstore"
)

// agentGCPercent is the garbage collector's target percentage (GOGC) in the agent process.
const agentGCPercent = 50

// agentCommand returns the command that runs a host's agent.
func agentCommand() *cobra.Command {
	c := &cobra.Command{
		Use: "agent", GroupID: "run", Short: "Look after the sidecars of this host", Args: cobra.NoArgs,
		Long: `The agent starts the sidecars of its host, keeps them running and answers the other
commands. SIGTERM ends it and leaves the sidecars running; started again it finds them.`,
	}
	path := c.Flags().String("config", "deploy/agent.toml", "the agent's configuration")
	check := c.Flags().Bool("check", false, "check the configuration and end")
	c.RunE = func(c *cobra.Command, _ []string) error {
		config, err := agent.LoadConfig(*path)
		if err != nil {
			return err
		}
		if *check {
			fmt.Printf("%s is valid: agent %s, %d instances\n", *path, config.Name, len(config.Instances))
			return nil
		}
		// More frequent collections keep the agent's memory small. They cost little, because few of
		// its objects are long-lived.
		debug.SetGCPercent(agentGCPercent)
		a, err := agent.New(config, agent.LocalMachine{}, agentstore.Opener(config))
		if err != nil {
			return &exitError{exitPartial, err}
		}
		defer a.Close()
		return a.Serve(c.Context(), func(addrs []net.Addr) { slog.Info("agent is listening", "name", config.Name, "at", fmt.Sprint(addrs)) })
	}
	return c
}
