package main

import (
	"errors"
	"fmt"
	"os"
	"sort"
	"text/tabwriter"

	"github.com/spf13/cobra"

	"martendrum/internal/fleet/api"
	"martendrum/internal/fleet/control/client"
)

// opCommands returns the commands that list, report, resume and abort operations.
func opCommands(g *globalFlags) []*cobra.Command {
	return []*cobra.Command{operationsCommand(g), reportCommand(g), resumeOperationCommand(g), abortCommand(g)}
}

// onOperation completes a command whose only argument is the ID of an operation. The command opens the
// fleet and calls do.
func (g *globalFlags) onOperation(c *cobra.Command, do func(c *cobra.Command, fleet *client.Fleet, id string) error) *cobra.Command {
	c.GroupID, c.Args = "op", cobra.ExactArgs(1)
	c.RunE = func(c *cobra.Command, args []string) error {
		fleet, err := g.openFleet()
		if err != nil {
			return err
		}
		defer fleet.Close()
		return do(c, fleet, args[0])
	}
	return c
}

// reportCommand returns the command that prints the report of an operation.
func reportCommand(g *globalFlags) *cobra.Command {
	report := &cobra.Command{Use: "report OPERATION", Short: "Tell what became of an operation, from the agents' records"}
	return g.onOperation(report, func(c *cobra.Command, fleet *client.Fleet, id string) error {
		report, err := fleet.Report(c.Context(), id)
		if err != nil {
			return err
		}
		return g.printReport(report)
	})
}

// resumeOperationCommand returns the command that resumes an operation.
func resumeOperationCommand(g *globalFlags) *cobra.Command {
	run := &runFlags{}
	resume := &cobra.Command{Use: "resume OPERATION", Short: "Go on with an operation where it stood",
		Long: "Resume goes on with an operation whose command has died, was interrupted or has paused.\nWhat is done stays done: no instance is changed twice."}
	run.add(resume)
	return g.onOperation(resume, func(c *cobra.Command, fleet *client.Fleet, id string) error {
		return g.resume(c.Context(), fleet, id, run.options(g))
	})
}

// abortCommand returns the command that aborts an operation.
func abortCommand(g *globalFlags) *cobra.Command {
	abort := &cobra.Command{Use: "abort OPERATION", Short: "End an operation: what is under way is finished, nothing new begins"}
	return g.onOperation(abort, func(c *cobra.Command, fleet *client.Fleet, id string) error {
		failed, err := fleet.Abort(c.Context(), id)
		if err != nil {
			return err
		}
		for host, err := range failed {
			fmt.Fprintf(os.Stderr, "%s: the operation was not aborted on this host: %v\n", host, err)
		}
		if len(failed) > 0 {
			return &exitError{exitPartial, errors.New("abort again once those hosts answer")}
		}
		fmt.Printf("operation %s is being aborted; `martendrum report %s` shows the outcome\n", id, id)
		return nil
	})
}

// listedOperation is an operation as operationsCommand prints it.
type listedOperation struct {
	api.Operation
	State       string   `json:"state"`
	Result      string   `json:"result"`
	LeaseHolder string   `json:"holder,omitempty"`
	Hosts       []string `json:"hosts"`
}

// operationsCommand returns the command that lists the operations of all hosts.
func operationsCommand(g *globalFlags) *cobra.Command {
	operations := &cobra.Command{Use: "operations", GroupID: "op", Short: "List operations, those that are open first", Args: cobra.NoArgs}
	operations.RunE = func(c *cobra.Command, _ []string) error {
		fleet, err := g.openFleet()
		if err != nil {
			return err
		}
		defer fleet.Close()
		byAgent := make([]api.OpsOut, len(fleet.Agents))
		errs := client.ForEach(fleet.Agents, func(n int, a *client.Agent) error {
			return a.Call(c.Context(), api.OpList, api.Empty{}, &byAgent[n])
		})
		listed := mergeOperations(fleet, byAgent)
		if g.json {
			err = printJSON(listed)
		} else {
			err = printOperations(listed)
		}
		if err != nil {
			return err
		}
		if unanswered := errors.Join(errs...); unanswered != nil {
			return &exitError{exitPartial, unanswered}
		}
		return nil
	}
	return operations
}

// mergeOperations merges the operations that each agent of the fleet has returned. An operation that
// is open at any agent is open. Open operations come before closed ones, and within each group newer
// ones before older ones.
func mergeOperations(fleet *client.Fleet, byAgent []api.OpsOut) []*listedOperation {
	byID := make(map[string]*listedOperation)
	for n, out := range byAgent {
		for _, o := range out.Ops {
			listed := byID[o.Operation.ID]
			if listed == nil {
				listed = &listedOperation{Operation: o.Operation, State: o.State, Result: o.Result}
				byID[o.Operation.ID] = listed
			}
			if o.State != api.OpClosed {
				listed.State, listed.Result = o.State, ""
			}
			if o.LeaseHolder != "" {
				listed.LeaseHolder = o.LeaseHolder
			}
			listed.Hosts = append(listed.Hosts, fleet.Agents[n].Host.Name)
		}
	}
	var all []*listedOperation
	for _, listed := range byID {
		all = append(all, listed)
	}
	sort.Slice(all, func(a, b int) bool {
		if aClosed, bClosed := all[a].State == api.OpClosed, all[b].State == api.OpClosed; aClosed != bClosed {
			return bClosed
		}
		return all[a].Created.After(all[b].Created)
	})
	return all
}

// printOperations prints operations as a table.
func printOperations(operations []*listedOperation) error {
	w := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "OPERATION\tACTION\tBY\tSTATE\tRESULT\tHOSTS\tHELD BY")
	for _, o := range operations {
		fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%s\t%d\t%s\n", o.ID, o.Action, o.Operator, o.State, o.Result, len(o.Hosts), o.LeaseHolder)
	}
	return w.Flush()
}
