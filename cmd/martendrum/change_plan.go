package main

import (
	"fmt"
	"os"
	"text/tabwriter"

	"martendrum/internal/fleet/api"
	"martendrum/internal/fleet/control/client"
	"martendrum/internal/fleet/control/rollout"
)

// plannedChange is the change of an instance as it is printed.
type plannedChange struct {
	Batch    int          `json:"batch"`
	Host     string       `json:"host"`
	Instance api.Instance `json:"instance"`
}

// printPlan prints what a rolling change would do.
func (g *global) printPlan(operation *api.Operation, hosts []client.HostState) error {
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
	for _, p := range plan {
		release := shortHash(p.Instance.Release)
		if operation.Release != "" {
			release += " -> " + shortHash(operation.Release)
		}
		fmt.Fprintf(w, "%d\t%s\t%s\t%s\t%s\n", p.Batch, p.Host, p.Instance.Name, p.Instance.State, release)
	}
	w.Flush()
	fmt.Println("dry run: nothing was changed")
	return nil
}
