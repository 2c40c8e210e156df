package main

import (
	"fmt"
	"os"
	"text/tabwriter"

	"martendrum/internal/fleet/control/client"
	"martendrum/internal/fleet/control/rollout"
)

// printReport prints a report and says by the exit code how it went.
func (g *global) printReport(rep *client.Report) error {
	if g.json {
		if err := printJSON(rep); err != nil {
			return err
		}
	} else {
		fmt.Fprintln(os.Stderr)
		w := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', 0)
		fmt.Fprintln(w, "HOST\tINSTANCE\tOUTCOME\tNOW\tRELEASE\tPID\tREASON")
		for _, r := range rep.Rows {
			state, rel, pid, why := "-", "-", 0, r.Reason
			if r.State != nil {
				state, rel, pid = r.State.State, shortHash(r.State.Running), r.State.PID
			}
			if r.Unknown != "" {
				state, why = "unknown", r.Unknown
			}
			fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%s\t%d\t%s\n", r.Host, r.Instance, r.Outcome, state, rel, pid, why)
		}
		w.Flush()
		fmt.Printf("operation %s (%s by %s): %s\n", rep.Operation.ID, rep.Operation.Action, rep.Operation.Operator, rep.Result)
		if rep.Why != "" && rep.Result != rollout.Succeeded {
			fmt.Println("because:", rep.Why)
		}
		if rep.LeaseHolder != "" {
			fmt.Println("held by:", rep.LeaseHolder)
		}
		if rep.Operation.Staged != nil {
			fmt.Print(describeNote(rep.Stages, rep.Operation.Staged))
		}
		for _, n := range rep.Notes {
			fmt.Println(n)
		}
	}
	if !rep.OK() {
		return &exitError{exitPartial, nil}
	}
	return nil
}
