package main

import (
	"errors"
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
		opt := run.options(g)
		opt.Release = *goOn
		rep, err := f.Resume(c.Context(), args[0], opt)
		if err != nil {
			if e, ok := errors.AsType[*api.Error](err); ok {
				return &exitError{exitPartial, e}
			}
			return err
		}
		return g.printReport(rep)
	}
	return c
}

func watchCommand(g *global) *cobra.Command {
	c := &cobra.Command{Use: "watch OPERATION", Short: "Follow a change, from the agents' records", Args: cobra.ExactArgs(1)}
	each := c.Flags().Duration("each", 2*time.Second, "look so often")
	c.RunE = func(c *cobra.Command, args []string) error {
		if *each < 100*time.Millisecond {
			return fmt.Errorf("--each %v; 100ms at least", *each)
		}
		f, err := g.openFleet()
		if err != nil {
			return err
		}
		defer f.Close()
		st, err := os.Stdout.Stat()
		terminal := err == nil && st.Mode()&os.ModeCharDevice != 0 && !g.json
		shown := ""
		for {
			rep, err := f.Report(c.Context(), args[0])
			if err != nil {
				return err
			}
			text := describeChange(rep)
			if g.json {
				if err := printJSON(rep); err != nil {
					return err
				}
			} else if terminal {
				fmt.Printf("\x1b[H\x1b[2J%s", text)
			} else if text != shown { // off a terminal only what has changed
				fmt.Print(text)
			}
			shown = text
			if rep.Result != api.OpOpened && rep.Result != api.OpAborting {
				if rep.Result != rollout.Succeeded {
					return &exitError{exitPartial, nil}
				}
				return nil
			}
			select {
			case <-c.Context().Done():
				return nil
			case <-time.After(*each):
			}
		}
	}
	return c
}

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
		rep, err := f.Report(c.Context(), args[0])
		if err != nil {
			return err
		}
		if *path != "" {
			series, missing, err := f.Replay(c.Context(), rep)
			if err != nil {
				return err
			}
			if len(missing) > 0 {
				fmt.Fprintf(os.Stderr, "without the figures of %s, which don't answer\n", strings.Join(missing, ", "))
			}
			if len(series) > 0 {
				rep.Judgement = &series[len(series)-1]
			}
			if err := plotEvidence(series, rep.Operation.Staged.Plan.Slot.Seconds(), *test, *path); err != nil {
				return err
			}
			fmt.Fprintln(os.Stderr, "drawn to", *path)
		}
		return g.printReport(rep)
	}
	return c
}

// describeChange is a change as a person follows it.
func describeChange(rep *client.Report) string {
	var b strings.Builder
	count := make(map[rollout.State]int)
	for _, r := range rep.Rows {
		count[r.Outcome]++
	}
	fmt.Fprintf(&b, "operation %s (%s by %s): %s", rep.Operation.ID, rep.Operation.Action, rep.Operation.Operator, rep.Result)
	if rep.LeaseHolder == "" && rep.Result == api.OpOpened {
		b.WriteString(", held by nobody: `martendrum change resume` goes on")
	}
	b.WriteString("\n")
	for _, s := range slices.Sorted(maps.Keys(count)) {
		fmt.Fprintf(&b, "  %d %s", count[s], s)
	}
	b.WriteString("\n" + describeNote(rep.Stages, rep.Operation.Staged))
	return b.String()
}

// describeNote is where a staged change stands, and how it came there.
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
