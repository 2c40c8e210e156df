package main

import (
	"fmt"
	"os"
	"slices"
	"strconv"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/spf13/cobra"

	"martendrum/internal/fleet/canary/simulation"
)

// judgeCommand returns the command that simulates the canary analysis.
func judgeCommand(g *globalFlags) *cobra.Command {
	c := &cobra.Command{Use: "judge", GroupID: "run", Short: "Try the judge of staged changes on made-up fleets",
		Long: "The judge says whether sidecars that run a change do worse than those that don't.\nHow it is used: `martendrum change --help`."}
	trial := &cobra.Command{Use: "trial", Args: cobra.NoArgs, Short: "How often it stops a good change, and how soon a bad one",
		Long: `Trial plays changes on made-up fleets, of which the instances differ by more than an
order of magnitude in traffic, and compares three ways to judge: confidence sequences
(the one that is used), a fixed threshold, and a t-test repeated at each look.`,
		Example: "  martendrum judge trial --seed 1 --sizes 60,300 --runs 200 --plot trial.svg"}
	f := trial.Flags()
	seed := f.Uint64("seed", 1, "the runs' seed: the same one gives the same runs")
	runs := f.Int("runs", 1000, "runs without harm, for each size")
	harmRuns := f.Int("harm-runs", 100, "runs of each harm, for each size")
	sizes := f.IntSlice("sizes", []int{60, 300, 1000, 5000}, "instances of a fleet")
	plotTo := f.String("plot", "", "also draw the first size's runs to this file (.svg, .png or .pdf)")
	plotHarm := f.String("plot-harm", simulation.Harms()[2].Name, "the harm that is drawn")
	trial.RunE = func(*cobra.Command, []string) error {
		if *runs < 1 || *harmRuns < 0 || len(*sizes) == 0 || slices.Min(*sizes) < 10 || slices.Max(*sizes) > 5000 {
			return fmt.Errorf("--runs %d, --harm-runs %d, --sizes %v: want 1 or more runs, 0 or more harm runs, and sizes of 10 to 5000", *runs, *harmRuns, *sizes)
		}
		started := time.Now()
		lastProgress := time.Time{} // when progress was last printed
		rows := simulation.RunAll(*sizes, *runs, *harmRuns, *seed, func(done, of int) {
			if time.Since(lastProgress) > time.Second || done == of {
				lastProgress = time.Now()
				fmt.Fprintf(os.Stderr, "\r%d of %d runs", done, of)
			}
		})
		fmt.Fprintf(os.Stderr, " in %v\n", time.Since(started).Round(time.Second))
		if *plotTo != "" {
			if err := simulation.Plot(rows, (*sizes)[0], *plotHarm, *plotTo); err != nil {
				return err
			}
		}
		if g.json {
			return printJSON(rows)
		}
		w := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', 0)
		fmt.Fprintln(w, "INSTANCES\tHARM\tMETHOD\tRUNS\tSTOPPED\tMEDIAN\tP90\tTOUCHED")
		for _, r := range rows {
			if r.Runs == 0 {
				continue
			}
			formatSeconds := func(seconds float64) string {
				if r.Stopped == 0 {
					return "-"
				}
				return strconv.Itoa(int(seconds)) + " s"
			}
			fmt.Fprintf(w, "%d\t%s\t%s\t%d\t%s\t%s\t%s\t%.0f %%\n", r.Instances, r.Harm, r.Method, r.Runs,
				strings.TrimSuffix(fmt.Sprintf("%.1f", 100*r.StopRate()), ".0")+" %", formatSeconds(r.Median), formatSeconds(r.P90), 100*r.ChangedFraction)
		}
		return w.Flush()
	}
	c.AddCommand(trial)
	return c
}
