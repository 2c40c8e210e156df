package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"text/tabwriter"

	"martendrum/internal/fleet/api"
	"martendrum/internal/fleet/control/client"
	"martendrum/internal/fleet/control/rollout"
)

// printReport prints the report of an operation. It returns an error with the exit code exitPartial if
// the operation did not succeed.
func (g *globalFlags) printReport(report *client.Report) error {
	if g.json {
		if err := printJSON(report); err != nil {
			return err
		}
	} else {
		fmt.Fprintln(os.Stderr)
		printResults(report.Rows)
		printSummary(report)
	}
	if !report.OK() {
		return &exitError{exitPartial, nil}
	}
	return nil
}

// printResults prints the result of each instance as a table.
func printResults(results []client.InstanceResult) {
	w := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "HOST\tINSTANCE\tOUTCOME\tNOW\tRELEASE\tPID\tREASON")
	for _, r := range results {
		state, release, pid, reason := "-", "-", 0, r.Reason
		if r.State != nil {
			state, release, pid = r.State.State, shortHash(r.State.Running), r.State.PID
		}
		if r.Unknown != "" {
			state, reason = "unknown", r.Unknown
		}
		fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%s\t%d\t%s\n", r.Host, r.Instance, r.Outcome, state, release, pid, reason)
	}
	w.Flush()
}

// printSummary prints the result of an operation, its progress if it is staged, and its notes.
func printSummary(report *client.Report) {
	operation := &report.Operation
	fmt.Printf("operation %s (%s by %s): %s\n", operation.ID, operation.Action, operation.Operator, report.Result)
	if report.Why != "" && report.Result != rollout.Succeeded {
		fmt.Println("because:", report.Why)
	}
	if report.LeaseHolder != "" {
		fmt.Println("held by:", report.LeaseHolder)
	}
	if operation.Staged != nil {
		fmt.Print(describeNote(report.Stages, operation.Staged))
	}
	for _, note := range report.Notes {
		fmt.Println(note)
	}
}

// resume resumes an operation and prints its report.
func (g *globalFlags) resume(ctx context.Context, fleet *client.Fleet, id string, options client.Options) error {
	report, err := fleet.Resume(ctx, id, options)
	if err != nil {
		if rejection, ok := errors.AsType[*api.Error](err); ok {
			return &exitError{exitPartial, rejection}
		}
		return err
	}
	return g.printReport(report)
}
