package main

import (
	"fmt"
	"os"
	"text/tabwriter"

	"martendrum/internal/fleet/api"
	"martendrum/internal/fleet/control/client"
	"martendrum/internal/fleet/control/rollout"
)

// plannedChange is one instance of a rolling change, as a dry run prints it.
type plannedChange struct {
	Batch    int          `json:"batch"`
	Host     string       `json:"host"`
	Instance api.Instance `json:"instance"`
}

// printPlan prints the batches of a rolling change, for --dry-run.
func (g *globalFlags) printPlan(operation *api.Operation, hosts []client.HostState) error {
	instances := make(map[api.Target]api.Instance)
	for _, h := range hosts {
		for _, i := range h.Instances {
			instances[api.Target{Host: h.Host.Name, Instance: i.Name}] = i
		}
	}
	var plan []plannedChange
	for n, batch := range rollout.Batches(operation.Policy, len(operation.Targets)) {
		for _, i := range batch {
			target := operation.Targets[i]
			plan = append(plan, plannedChange{n + 1, target.Host, instances[target]})
		}
	}
	if g.json {
		return printJSON(map[string]any{"operation": operation, "plan": plan})
	}
	policy := &operation.Policy
	fmt.Printf("%s of %d instances: %d canaries, batches of %d, at most %d unavailable, %d failures allowed, then %s; soak %v\n",
		operation.Action, len(operation.Targets), policy.Canaries, policy.Batch, policy.MaxUnavailable, policy.MaxFailures, policy.OnFailure, operation.Soak)
	w := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "BATCH\tHOST\tINSTANCE\tSTATE\tRELEASE")
	for _, change := range plan {
		release := shortHash(change.Instance.Release)
		if operation.Release != "" {
			release += " -> " + shortHash(operation.Release)
		}
		fmt.Fprintf(w, "%d\t%s\t%s\t%s\t%s\n", change.Batch, change.Host, change.Instance.Name, change.Instance.State, release)
	}
	w.Flush()
	fmt.Println("dry run: nothing was changed")
	return nil
}
