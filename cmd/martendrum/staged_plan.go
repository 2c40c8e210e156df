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

// noticeable is the smallest harm that a stage is likely to reveal.
type noticeable struct {
	Measure  canary.Measure `json:"measure"`
	Smallest float64        `json:"smallest"` // harm that is noticed with even odds by the stage's longest time
}

// plannedStage is a stage as it is printed.
type plannedStage struct {
	Stage     int          `json:"stage"`
	Upto      int          `json:"upto"`
	Instances []api.Target `json:"instances"`
	Rate      float64      `json:"rate"` // requests per second of all that run the change by then
	Notice    []noticeable `json:"notice"`
}

// printStagePlan prints the stages of a change and the harm that each is likely to reveal.
func (g *global) printStagePlan(operation *api.Operation, instances map[api.Target]*api.Instance) error {
	stages, err := planStages(operation, instances)
	if err != nil {
		return err
	}
	if g.json {
		for n := range stages {
			for k := range stages[n].Notice {
				if math.IsInf(stages[n].Notice[k].Smallest, 1) {
					stages[n].Notice[k].Smallest = -1 // JSON has no infinity: no harm is revealed
				}
			}
		}
		return printJSON(map[string]any{"operation": operation, "plan": stages})
	}
	staged := operation.Staged
	fmt.Printf("%s of %d instances in %d stages, seed %d; each lasts %v to %v; on worse: %s; when it can't be told: %s\n",
		operation.Action, len(operation.Targets), len(stages), staged.Seed, staged.Plan.MinDuration, staged.Plan.MaxDuration, operation.Policy.OnFailure, staged.Plan.OnInconclusive)
	printStageTable(stages)
	fmt.Println("drift between instances and bursts come on top; in the last stage nobody is left to compare with\ndry run: nothing was changed")
	return nil
}

// planStages returns the stages of an operation.
func planStages(operation *api.Operation, instances map[api.Target]*api.Instance) ([]plannedStage, error) {
	judge, err := canary.New(operation.Staged.Judge)
	if err != nil {
		return nil, err
	}
	var rates []float64
	for _, t := range operation.Targets {
		rates = append(rates, instances[t].Rate)
	}
	total := sum(rates)
	var stages []plannedStage
	from := 0
	for n, upto := range operation.Staged.Plan.Upto {
		planned := plannedStage{Stage: n + 1, Upto: upto, Instances: operation.Targets[from:upto], Rate: sum(rates[:upto])}
		planned.Notice = noticeableHarm(operation.Staged, len(judge.Tests()), planned.Rate, total-planned.Rate)
		stages = append(stages, planned)
		from = upto
	}
	return stages, nil
}

// usualAttempts is the number of attempts per request that the plan assumes.
const usualAttempts = 1.1

// noticeableHarm returns the smallest harm that a stage is likely to reveal, if changed and
// unchanged instances have these rates in requests per second.
func noticeableHarm(staged *api.Staged, tests int, changed, unchanged float64) (harms []noticeable) {
	seconds := staged.Plan.MaxDuration.Seconds()
	for _, measure := range []canary.Measure{canary.WeightedLoss, canary.Unserved, canary.Attempts} {
		fraction, usual := 1.0, 0.0
		if measure == canary.Unserved {
			fraction /= float64(len(staged.Judge.Classes)) // of one class, if all have the same rate
		}
		if measure == canary.Attempts {
			usual = usualAttempts
		}
		smallest := canary.SmallestDetectable(measure, usual, fraction*seconds*changed, fraction*seconds*unchanged,
			staged.Judge.FalseStops, tests, staged.Judge.Margins[measure])
		harms = append(harms, noticeable{measure, smallest})
	}
	return harms
}

func sum(values []float64) (total float64) {
	for _, v := range values {
		total += v
	}
	return total
}

// maxNames bounds the instances that are printed for a stage.
const maxNames = 4

func printStageTable(stages []plannedStage) {
	w := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "STAGE\tRUN IT\tREQ/S\tNOTICED BY ITS END, WITH EVEN ODDS\tNEW IN IT")
	for _, s := range stages {
		var notice, names []string
		for _, harm := range s.Notice {
			if math.IsInf(harm.Smallest, 1) {
				notice = append(notice, fmt.Sprintf("%s: nothing", harm.Measure))
			} else {
				notice = append(notice, fmt.Sprintf("%s +%.2g", harm.Measure, harm.Smallest))
			}
		}
		for _, t := range s.Instances[:min(maxNames, len(s.Instances))] {
			names = append(names, t.Instance)
		}
		if more := len(s.Instances) - len(names); more > 0 {
			names = append(names, fmt.Sprintf("and %d more", more))
		}
		fmt.Fprintf(w, "%d\t%d\t%.1f\t%s\t%s\n", s.Stage, s.Upto, s.Rate, strings.Join(notice, ", "), strings.Join(names, " "))
	}
	w.Flush()
}
