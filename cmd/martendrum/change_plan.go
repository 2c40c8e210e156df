package main

import (
	"fmt"
	"os"
	"text/tabwriter"

	"martendrum/internal/fleet/api"
	"martendrum/internal/fleet/control/client"
	"martendrum/internal/fleet/control/rollout"
)

// printPlan prints what a change would do.
func (g *global) printPlan(op *api.Operation, states []client.HostState) error {
	now := make(map[api.Target]api.Instance)
	for _, h := range states {
		for _, i := range h.Instances {
			now[api.Target{Host: h.Host.Name, Instance: i.Name}] = i
		}
	}
	type entry struct {
		Batch    int          `json:"batch"`
		Host     string       `json:"host"`
		Instance api.Instance `json:"instance"`
	}
	var plan []entry
	for n, b := range rollout.Batches(op.Policy, len(op.Targets)) {
		for _, i := range b {
			plan = append(plan, entry{n + 1, op.Targets[i].Host, now[op.Targets[i]]})
		}
	}
	if g.json {
		return printJSON(map[string]any{"operation": op, "plan": plan})
	}
	fmt.Printf("%s of %d instances: %d canaries, batches of %d, at most %d unavailable, %d failures allowed, then %s; soak %v\n",
		op.Action, len(op.Targets), op.Policy.Canaries, op.Policy.Batch, op.Policy.MaxUnavailable, op.Policy.MaxFailures, op.Policy.OnFailure, op.Soak)
	w := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "BATCH\tHOST\tINSTANCE\tSTATE\tRELEASE")
	for _, e := range plan {
		rel := shortHash(e.Instance.Release)
		if op.Release != "" {
			rel += " -> " + shortHash(op.Release)
		}
		fmt.Fprintf(w, "%d\t%s\t%s\t%s\t%s\n", e.Batch, e.Host, e.Instance.Name, e.Instance.State, rel)
	}
	w.Flush()
	fmt.Println("dry run: nothing was changed")
	return nil
}
