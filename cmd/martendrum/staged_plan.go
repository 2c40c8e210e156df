package main

import (
	"fmt"
	"math"
	"os"
	"strings"
	"text/tabwriter"

	"martendrum/internal/fleet/api"
	"martendrum/internal/fleet/canary"
)

// printStagePlan prints who is in which stage, and what harm could be noticed in it.
func (g *global) printStagePlan(op *api.Operation, now map[api.Target]*api.Instance) error {
	s := op.Staged
	type sight struct {
		Measure  canary.Measure `json:"measure"`
		Smallest float64        `json:"smallest"` // harm that is noticed with even odds by the stage's longest time
	}
	type entry struct {
		Stage     int          `json:"stage"`
		Upto      int          `json:"upto"`
		Instances []api.Target `json:"instances"`
		Rate      float64      `json:"rate"` // requests a second of all that run it by then
		Notice    []sight      `json:"notice"`
	}
	j, err := canary.New(s.Judge)
	if err != nil {
		return err
	}
	var plan []entry
	var rates []float64
	for _, t := range op.Targets {
		rates = append(rates, now[t].Rate)
	}
	sum := func(rs []float64) (v float64) {
		for _, r := range rs {
			v += r
		}
		return v
	}
	from := 0
	for n, upto := range s.Plan.Upto {
		e := entry{Stage: n + 1, Upto: upto, Instances: op.Targets[from:upto], Rate: sum(rates[:upto])}
		for _, m := range []canary.Measure{canary.WeightedLoss, canary.Unserved, canary.Attempts} {
			share := 1.0
			if m == canary.Unserved {
				share /= float64(len(s.Judge.Classes)) // of one class, were all alike
			}
			seconds := s.Plan.MaxDuration.Seconds()
			e.Notice = append(e.Notice, sight{m, canary.Smallest(m, map[canary.Measure]float64{canary.Attempts: 1.1}[m], share*seconds*e.Rate, share*seconds*(sum(rates)-e.Rate),
				s.Judge.FalseStops, len(j.Tests()), s.Judge.Margins[m])})
		}
		plan = append(plan, e)
		from = upto
	}
	if g.json {
		for n := range plan {
			for k := range plan[n].Notice {
				if math.IsInf(plan[n].Notice[k].Smallest, 1) {
					plan[n].Notice[k].Smallest = -1 // JSON has no infinity: none can be noticed
				}
			}
		}
		return printJSON(map[string]any{"operation": op, "plan": plan})
	}
	fmt.Printf("%s of %d instances in %d stages, seed %d; each lasts %v to %v; on worse: %s; when it can't be told: %s\n",
		op.Action, len(op.Targets), len(plan), s.Seed, s.Plan.MinDuration, s.Plan.MaxDuration, op.Policy.OnFailure, s.Plan.OnInconclusive)
	w := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "STAGE\tRUN IT\tREQ/S\tNOTICED BY ITS END, WITH EVEN ODDS\tNEW IN IT")
	for _, e := range plan {
		var notice, names []string
		for _, x := range e.Notice {
			if math.IsInf(x.Smallest, 1) {
				notice = append(notice, fmt.Sprintf("%s: nothing", x.Measure))
			} else {
				notice = append(notice, fmt.Sprintf("%s +%.2g", x.Measure, x.Smallest))
			}
		}
		for _, t := range e.Instances[:min(4, len(e.Instances))] {
			names = append(names, t.Instance)
		}
		if more := len(e.Instances) - len(names); more > 0 {
			names = append(names, fmt.Sprintf("and %d more", more))
		}
		fmt.Fprintf(w, "%d\t%d\t%.1f\t%s\t%s\n", e.Stage, e.Upto, e.Rate, strings.Join(notice, ", "), strings.Join(names, " "))
	}
	w.Flush()
	fmt.Println("drift between instances and bursts come on top; in the last stage nobody is left to compare with\ndry run: nothing was changed")
	return nil
}
