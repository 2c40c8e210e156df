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

// detectableHarm is the smallest harm by one measure that a stage is likely to detect.
type detectableHarm struct {
	Measure  canary.Measure `json:"measure"`
	Smallest float64        `json:"smallest"` // detected with a probability of one half by the end of the stage's maximum duration; infinite if no harm is
}

// plannedStage is a stage as a dry run prints it.
type plannedStage struct {
	Stage     int              `json:"stage"`     // counted from 1
	Upto      int              `json:"upto"`      // number of instances that run the change by the end of the stage
	Instances []api.Target     `json:"instances"` // those that the stage changes
	Rate      float64          `json:"rate"`      // requests per second of all instances that run the change by the end of the stage
	Notice    []detectableHarm `json:"notice"`
}

// printStagePlan prints the stages of a change and the harm that each is likely to detect.
func (g *globalFlags) printStagePlan(operation *api.Operation, instances map[api.Target]*api.Instance) error {
	stages, err := planStages(operation, instances)
	if err != nil {
		return err
	}
	if g.json {
		for n := range stages {
			for k := range stages[n].Notice {
				if math.IsInf(stages[n].Notice[k].Smallest, 1) {
					stages[n].Notice[k].Smallest = -1 // JSON has no infinity; -1 means that no harm is detected
				}
			}
		}
		return printJSON(map[string]any{"operation": operation, "plan": stages})
	}
	staged := operation.Staged
	fmt.Printf("%s of %d instances in %d stages, seed %d; each lasts %v to %v; if worse: %s; if inconclusive: %s\n",
		operation.Action, len(operation.Targets), len(stages), staged.Seed, staged.Plan.MinDuration, staged.Plan.MaxDuration, operation.Policy.OnFailure, staged.Plan.OnInconclusive)
	printStageTable(stages)
	fmt.Println("drift between instances and bursts of traffic raise the smallest harm that can be noticed; the last stage leaves no unchanged instances to compare with\ndry run: nothing was changed")
	return nil
}

// planStages returns the stages of an operation, with the harm that each is likely to detect.
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
	for n, upto := range operation.Staged.Plan.StageSizes {
		planned := plannedStage{Stage: n + 1, Upto: upto, Instances: operation.Targets[from:upto], Rate: sum(rates[:upto])}
		planned.Notice = detectableHarms(operation.Staged, len(judge.Tests()), planned.Rate, total-planned.Rate)
		stages = append(stages, planned)
		from = upto
	}
	return stages, nil
}

// usualAttempts is the number of attempts per request that the plan assumes for unchanged instances.
const usualAttempts = 1.1

// detectableHarms returns the smallest harm that a stage is likely to detect, by measure, with the
// given number of tests. changed and unchanged are the rates of the changed and the unchanged
// instances in requests per second.
func detectableHarms(staged *api.Staged, tests int, changed, unchanged float64) (harms []detectableHarm) {
	seconds := staged.Plan.MaxDuration.Seconds()
	for _, measure := range []canary.Measure{canary.WeightedLoss, canary.Unserved, canary.Attempts} {
		fraction, usual := 1.0, 0.0
		if measure == canary.Unserved {
			fraction /= float64(len(staged.Judge.Classes)) // one class's share of the requests, if all classes have the same rate
		}
		if measure == canary.Attempts {
			usual = usualAttempts
		}
		smallest := canary.SmallestDetectable(measure, usual, fraction*seconds*changed, fraction*seconds*unchanged,
			staged.Judge.FalseStops, tests, staged.Judge.Margins[measure])
		harms = append(harms, detectableHarm{measure, smallest})
	}
	return harms
}

func sum(values []float64) (total float64) {
	for _, v := range values {
		total += v
	}
	return total
}

// maxNames bounds the instances that are named for a stage.
const maxNames = 4

// printStageTable prints the stages as a table.
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
