package main

import (
	"context"
	"os"
	"time"

	"github.com/spf13/cobra"

	"martendrum/internal/fleet/api"
	"martendrum/internal/fleet/control/client"
)

// logPollInterval is the interval at which --follow polls the agent for new output.
const logPollInterval = 500 * time.Millisecond

// logsCommand returns the command that prints an instance's log.
func logsCommand(g *globalFlags) *cobra.Command {
	logs := &cobra.Command{
		Use: "logs INSTANCE", GroupID: "view", Short: "Print an instance's log", Args: cobra.ExactArgs(1),
	}
	follow := logs.Flags().BoolP("follow", "f", false, "go on printing until interrupted")
	tail := logs.Flags().Int64("bytes", 16<<10, "begin so many bytes before the end")
	logs.RunE = func(c *cobra.Command, args []string) error {
		return g.onInstance(c.Context(), args[0], func(a *client.Agent) error {
			return printLog(c.Context(), a, args[0], max(1, *tail), *follow)
		})
	}
	return logs
}

// printLog prints the last tail bytes of an instance's log. With follow it continues with new output
// until ctx ends.
func printLog(ctx context.Context, a *client.Agent, instance string, tail int64, follow bool) error {
	for offset := -tail; ; {
		var out api.LogsOut
		if err := a.Call(ctx, api.Logs, &api.LogsIn{Instance: instance, Offset: offset}, &out); err != nil {
			return err
		}
		os.Stdout.Write(out.Data)
		offset = out.Next
		if len(out.Data) > 0 {
			continue
		}
		if !follow {
			return nil
		}
		select {
		case <-ctx.Done():
			return nil
		case <-time.After(logPollInterval):
		}
	}
}
