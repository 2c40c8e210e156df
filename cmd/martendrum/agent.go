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

func agentCommand() *cobra.Command {
	c := &cobra.Command{
		Use: "agent", GroupID: "run", Short: "Look after the sidecars of this host", Args: cobra.NoArgs,
		Long: `The agent starts the sidecars of its host, keeps them running and answers the other
commands. SIGTERM ends it and leaves the sidecars running; started again it finds them.`,
	}
	path := c.Flags().String("config", "deploy/agent.toml", "the agent's configuration")
	check := c.Flags().Bool("check", false, "check the configuration and end")
	c.RunE = func(c *cobra.Command, _ []string) error {
		cfg, err := agent.LoadConfig(*path)
		if err != nil {
			return err
		}
		if *check {
			fmt.Printf("%s: good: agent %s, %d instances\n", *path, cfg.Name, len(cfg.Instances))
			return nil
		}
		// Little lives on: memory matters more than the collector's work.
		debug.SetGCPercent(50)
		a, err := agent.New(cfg, agent.Processes{}, agentstore.Record(cfg))
		if err != nil {
			return &exitError{exitPartial, err}
		}
		defer a.Close()
		return a.Serve(c.Context(), func(addrs []net.Addr) { slog.Info("agent listens", "name", cfg.Name, "at", fmt.Sprint(addrs)) })
	}
	return c
}
