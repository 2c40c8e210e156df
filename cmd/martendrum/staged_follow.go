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
func resumeCommand(g *global) *cobra.Command {
	run := &runFlags{}
	c := &cobra.Command{Use: "resume OPERATION", Short: "Go on with a change where it stood", Args: cobra.ExactArgs(1),
		Long: "Resume goes on with a change whose command has died or that holds. Evidence that the\nagents have gathered meanwhile counts; time in which nobody looked does not."}
	goOn := c.Flags().Bool("go-on", false, "let a change that holds go on to its next stage, though it can't be told whether it does worse")
	run.add(c)
	c.RunE = func(c *cobra.Command, args []string) error {
		f, err := g.openFleet()
		if err != nil {
			return err
		}
		defer f.Close()
		options := run.options(g)
		options.Release = *goOn
		return g.resume(c.Context(), f, args[0], options)
	}
	return c
}

// minWatchInterval bounds how often the agents are polled.
const minWatchInterval = 100 * time.Millisecond

// watchCommand returns the command that follows a change without taking part in it.
func watchCommand(g *global) *cobra.Command {
	c := &cobra.Command{Use: "watch OPERATION", Short: "Follow a change, from the agents' records", Args: cobra.ExactArgs(1)}
	interval := c.Flags().Duration("each", 2*time.Second, "look so often")
	c.RunE = func(c *cobra.Command, args []string) error {
		if *interval < minWatchInterval {
			return fmt.Errorf("--each %v; 100ms at least", *interval)
		}
		f, err := g.openFleet()
		if err != nil {
			return err
		}
		defer f.Close()
		return g.watch(c.Context(), f, args[0], *interval)
	}
	return c
}

// watch prints a change at each interval until it ends, or until ctx does.
func (g *global) watch(ctx context.Context, f *client.Fleet, id string, interval time.Duration) error {
	st, err := os.Stdout.Stat()
	terminal := err == nil && st.Mode()&os.ModeCharDevice != 0 && !g.json
	shown := ""
	for {
		report, err := f.Report(ctx, id)
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
		} else if text != shown { // without a terminal, only what has changed
			fmt.Print(text)
		}
		shown = text
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

// clearScreen moves a terminal's cursor to the top and clears the screen.
const clearScreen = "\x1b[H\x1b[2J"

// evidenceCommand returns the command that reports a change with its evidence.
func evidenceCommand(g *global) *cobra.Command {
	c := &cobra.Command{Use: "report OPERATION", Short: "Tell what became of a change, and on what evidence", Args: cobra.ExactArgs(1),
		Long:    "Report tells what became of a change and how it came there, from the agents' records.\nWith --plot it judges again, from the figures that the agents still keep, and draws one test.",
		Example: "  martendrum change report 20261201-201500-5f2c1a --plot worth.svg --test worth"}
	path := c.Flags().String("plot", "", "draw to this file (.svg, .png or .pdf)")
	test := c.Flags().String("test", "worth", "which test is drawn, as its evidence names it")
	c.RunE = func(c *cobra.Command, args []string) error {
		f, err := g.openFleet()
		if err != nil {
			return err
		}
		defer f.Close()
		report, err := f.Report(c.Context(), args[0])
		if err != nil {
			return err
		}
		if *path != "" {
			if err := plotReport(c.Context(), f, report, *test, *path); err != nil {
				return err
			}
		}
		return g.printReport(report)
	}
	return c
}

// plotReport repeats the canary analysis of a change, draws one test of it to a file and puts the
// latest result into the report.
func plotReport(ctx context.Context, f *client.Fleet, report *client.Report, test, path string) error {
	series, missing, err := f.Replay(ctx, report)
	if err != nil {
		return err
	}
	if len(missing) > 0 {
		fmt.Fprintf(os.Stderr, "without the figures of %s, which don't answer\n", strings.Join(missing, ", "))
	}
	if len(series) > 0 {
		report.Judgement = &series[len(series)-1]
	}
	if err := plotEvidence(series, report.Operation.Staged.Plan.Slot.Seconds(), test, path); err != nil {
		return err
	}
	fmt.Fprintln(os.Stderr, "drawn to", path)
	return nil
}

// describeChange returns the state of a change as text.
func describeChange(report *client.Report) string {
	var b strings.Builder
	outcomes := make(map[rollout.State]int)
	for _, r := range report.Rows {
		outcomes[r.Outcome]++
	}
	fmt.Fprintf(&b, "operation %s (%s by %s): %s", report.Operation.ID, report.Operation.Action, report.Operation.Operator, report.Result)
	if report.LeaseHolder == "" && report.Result == api.OpOpened {
		b.WriteString(", held by nobody: `martendrum change resume` goes on")
	}
	b.WriteString("\n")
	for _, s := range slices.Sorted(maps.Keys(outcomes)) {
		fmt.Fprintf(&b, "  %d %s", outcomes[s], s)
	}
	b.WriteString("\n" + describeNote(report.Stages, report.Operation.Staged))
	return b.String()
}

// describeNote returns the progress of a staged change and its latest verdicts as text.
func describeNote(n *api.Note, s *api.Staged) string {
	if s == nil {
		return "no change in stages\n"
	}
	if n == nil {
		return "no stage has begun\n"
	}
	var b strings.Builder
	fmt.Fprintf(&b, "stage %d of %d, %v of evidence in it, as of %s\n", n.State.Stage, len(s.Plan.Upto), time.Duration(n.State.Slots)*s.Plan.Slot, n.At.Format(time.RFC3339))
	for _, x := range []struct{ what, text string }{{"holds", n.State.HoldReason}, {"waits", n.State.PauseReason}, {"judged worse", n.State.Worse}} {
		if x.text != "" {
			fmt.Fprintf(&b, "%s: %s\n", x.what, x.text)
		}
	}
	for _, v := range n.Log {
		fmt.Fprintf(&b, "  %s  stage %d: %s\n", v.At.Format(time.TimeOnly), v.Stage, v.Text)
		for _, e := range v.Evidence {
			fmt.Fprintf(&b, "            %s\n", e)
		}
	}
	return b.String()
}
