package main

import (
	"context"
	"fmt"
	"maps"
	"os"
	"slices"
	"strings"
	"time"

	"github.com/spf13/cobra"

	"martendrum/internal/fleet/api"
	"martendrum/internal/fleet/control/client"
	"martendrum/internal/fleet/control/rollout"
)

// resumeCommand returns the command that resumes a staged change.
func resumeCommand(g *globalFlags) *cobra.Command {
	run := &runFlags{}
	c := &cobra.Command{Use: "resume OPERATION", Short: "Go on with a change where it stood", Args: cobra.ExactArgs(1),
		Long: "Resume goes on with a change whose command has died or that holds. Evidence that the\nagents have gathered meanwhile counts; time in which nobody looked does not."}
	goOn := c.Flags().Bool("go-on", false, "let a change that holds go on to its next stage, though it can't be told whether it does worse")
	run.add(c)
	c.RunE = func(c *cobra.Command, args []string) error {
		fleet, err := g.openFleet()
		if err != nil {
			return err
		}
		defer fleet.Close()
		options := run.options(g)
		options.Release = *goOn
		return g.resume(c.Context(), fleet, args[0], options)
	}
	return c
}

// minWatchInterval is the shortest interval at which `change watch` polls the agents.
const minWatchInterval = 100 * time.Millisecond

// watchCommand returns the command that prints the progress of a change, which another command runs.
func watchCommand(g *globalFlags) *cobra.Command {
	c := &cobra.Command{Use: "watch OPERATION", Short: "Follow a change, from the agents' records", Args: cobra.ExactArgs(1)}
	interval := c.Flags().Duration("each", 2*time.Second, "look so often")
	c.RunE = func(c *cobra.Command, args []string) error {
		if *interval < minWatchInterval {
			return fmt.Errorf("--each %v: want at least 100ms", *interval)
		}
		fleet, err := g.openFleet()
		if err != nil {
			return err
		}
		defer fleet.Close()
		return g.watch(c.Context(), fleet, args[0], *interval)
	}
	return c
}

// watch prints the progress of an operation at each interval until the operation or ctx ends. It
// returns an error with the exit code exitPartial if the operation did not succeed.
func (g *globalFlags) watch(ctx context.Context, fleet *client.Fleet, id string, interval time.Duration) error {
	info, err := os.Stdout.Stat()
	terminal := err == nil && info.Mode()&os.ModeCharDevice != 0 && !g.json
	lastText := ""
	for {
		report, err := fleet.Report(ctx, id)
		if err != nil {
			return err
		}
		text := describeChange(report)
		if g.json {
			if err := printJSON(report); err != nil {
				return err
			}
		} else if terminal {
			fmt.Printf("%s%s", clearScreen, text)
		} else if text != lastText { // without a terminal, unchanged text is not repeated
			fmt.Print(text)
		}
		lastText = text
		if report.Result != api.OpOpened && report.Result != api.OpAborting {
			if report.Result != rollout.Succeeded {
				return &exitError{exitPartial, nil}
			}
			return nil
		}
		select {
		case <-ctx.Done():
			return nil
		case <-time.After(interval):
		}
	}
}

// clearScreen is the control sequence that moves a terminal's cursor to the top and clears the screen.
const clearScreen = "\x1b[H\x1b[2J"

// evidenceCommand returns the command that prints the report of a staged change with its evidence.
func evidenceCommand(g *globalFlags) *cobra.Command {
	c := &cobra.Command{Use: "report OPERATION", Short: "Tell what became of a change, and on what evidence", Args: cobra.ExactArgs(1),
		Long:    "Report tells what became of a change and how it came there, from the agents' records.\nWith --plot it judges again, from the figures that the agents still keep, and draws one test.",
		Example: "  martendrum change report 20261201-201500-5f2c1a --plot worth.svg --test worth"}
	path := c.Flags().String("plot", "", "draw to this file (.svg, .png or .pdf)")
	test := c.Flags().String("test", "worth", "which test is drawn, as its evidence names it")
	c.RunE = func(c *cobra.Command, args []string) error {
		fleet, err := g.openFleet()
		if err != nil {
			return err
		}
		defer fleet.Close()
		report, err := fleet.Report(c.Context(), args[0])
		if err != nil {
			return err
		}
		if *path != "" {
			if err := plotReport(c.Context(), fleet, report, *test, *path); err != nil {
				return err
			}
		}
		return g.printReport(report)
	}
	return c
}

// plotReport repeats the canary analysis of a change, draws one test of it to the file at path, and
// sets the report's judgement to the latest of the repeated ones.
func plotReport(ctx context.Context, fleet *client.Fleet, report *client.Report, test, path string) error {
	series, missing, err := fleet.Replay(ctx, report)
	if err != nil {
		return err
	}
	if len(missing) > 0 {
		fmt.Fprintf(os.Stderr, "the plot lacks the metrics of %s, which don't answer\n", strings.Join(missing, ", "))
	}
	if len(series) > 0 {
		report.Judgement = &series[len(series)-1]
	}
	if err := plotEvidence(series, report.Operation.Staged.Plan.Slot.Seconds(), test, path); err != nil {
		return err
	}
	fmt.Fprintln(os.Stderr, "plot written to", path)
	return nil
}

// describeChange returns the progress of an operation and the number of instances by outcome as text.
func describeChange(report *client.Report) string {
	var b strings.Builder
	outcomes := make(map[rollout.State]int)
	for _, r := range report.Rows {
		outcomes[r.Outcome]++
	}
	fmt.Fprintf(&b, "operation %s (%s by %s): %s", report.Operation.ID, report.Operation.Action, report.Operation.Operator, report.Result)
	if report.LeaseHolder == "" && report.Result == api.OpOpened {
		b.WriteString(", and no command runs it: `martendrum change resume` continues it")
	}
	b.WriteString("\n")
	for _, outcome := range slices.Sorted(maps.Keys(outcomes)) {
		fmt.Fprintf(&b, "  %d %s", outcomes[outcome], outcome)
	}
	b.WriteString("\n" + describeNote(report.Stages, report.Operation.Staged))
	return b.String()
}

// describeNote returns the progress of a staged change and its latest verdicts as text. note is nil
// before the first stage. staged is nil for an operation without stages.
func describeNote(note *api.Note, staged *api.Staged) string {
	if staged == nil {
		return "not a staged change\n"
	}
	if note == nil {
		return "no stage has begun\n"
	}
	var b strings.Builder
	fmt.Fprintf(&b, "stage %d of %d, %v of evidence in it, as of %s\n", note.State.Stage, len(staged.Plan.StageSizes), time.Duration(note.State.Slots)*staged.Plan.Slot, note.At.Format(time.RFC3339))
	for _, condition := range []struct{ name, reason string }{{"holds", note.State.HoldReason}, {"waits", note.State.PauseReason}, {"judged worse", note.State.Worse}} {
		if condition.reason != "" {
			fmt.Fprintf(&b, "%s: %s\n", condition.name, condition.reason)
		}
	}
	for _, verdict := range note.Log {
		fmt.Fprintf(&b, "  %s  stage %d: %s\n", verdict.At.Format(time.TimeOnly), verdict.Stage, verdict.Text)
		for _, evidence := range verdict.Evidence {
			fmt.Fprintf(&b, "            %s\n", evidence)
		}
	}
	return b.String()
}
