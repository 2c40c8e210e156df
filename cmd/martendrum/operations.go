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

func opCommands(g *global) []*cobra.Command {
	with := func(use, short, long string, do func(c *cobra.Command, f *client.Fleet, id string) error) *cobra.Command {
		return &cobra.Command{Use: use, GroupID: "op", Short: short, Long: long, Args: cobra.ExactArgs(1), RunE: func(c *cobra.Command, args []string) error {
			f, err := g.openFleet()
			if err != nil {
				return err
			}
			defer f.Close()
			return do(c, f, args[0])
		}}
	}
	report := with("report OPERATION", "Tell what became of an operation, from the agents' records", "", func(c *cobra.Command, f *client.Fleet, id string) error {
		rep, err := f.Report(c.Context(), id)
		if err != nil {
			return err
		}
		return g.printReport(rep)
	})
	run := &runFlags{}
	resume := with("resume OPERATION", "Go on with an operation where it stood", "Resume goes on with an operation whose command has died, was interrupted or has paused.\nWhat is done stays done: no instance is changed twice.", func(c *cobra.Command, f *client.Fleet, id string) error {
		rep, err := f.Resume(c.Context(), id, run.options(g))
		if err != nil {
			if e, ok := errors.AsType[*api.Error](err); ok {
				return &exitError{exitPartial, e}
			}
			return err
		}
		return g.printReport(rep)
	})
	run.add(resume)
	abort := with("abort OPERATION", "End an operation: what is under way is finished, nothing new begins", "", func(c *cobra.Command, f *client.Fleet, id string) error {
		failed, err := f.Abort(c.Context(), id)
		if err != nil {
			return err
		}
		for host, err := range failed {
			fmt.Fprintf(os.Stderr, "%s: not ended there: %v\n", host, err)
		}
		if len(failed) > 0 {
			return &exitError{exitPartial, errors.New("say it again once those hosts answer")}
		}
		fmt.Printf("operation %s ends; `martendrum report %s` tells how\n", id, id)
		return nil
	})
	ops := &cobra.Command{Use: "operations", GroupID: "op", Short: "List operations, those that are open first", Args: cobra.NoArgs}
	ops.RunE = func(c *cobra.Command, _ []string) error {
		f, err := g.openFleet()
		if err != nil {
			return err
		}
		defer f.Close()
		outs := make([]api.OpsOut, len(f.Agents))
		errs := client.ForEach(f.Agents, func(n int, a *client.Agent) error {
			return a.Call(c.Context(), api.OpList, api.Empty{}, &outs[n])
		})
		type row struct {
			api.Operation
			State  string   `json:"state"`
			Result string   `json:"result"`
			Holder string   `json:"holder,omitempty"`
			Hosts  []string `json:"hosts"`
		}
		byID := make(map[string]*row)
		for n, out := range outs {
			for _, o := range out.Ops {
				r := byID[o.Operation.ID]
				if r == nil {
					r = &row{Operation: o.Operation, State: o.State, Result: o.Result}
					byID[o.Operation.ID] = r
				}
				if o.State != api.OpClosed {
					r.State, r.Result = o.State, ""
				}
				if o.LeaseHolder != "" {
					r.Holder = o.LeaseHolder
				}
				r.Hosts = append(r.Hosts, f.Agents[n].Host.Name)
			}
		}
		var rows []*row
		for _, r := range byID {
			rows = append(rows, r)
		}
		sort.Slice(rows, func(a, b int) bool {
			if x, y := rows[a].State == api.OpClosed, rows[b].State == api.OpClosed; x != y {
				return y
			}
			return rows[a].Created.After(rows[b].Created)
		})
		if g.json {
			err = printJSON(rows)
		} else {
			w := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', 0)
			fmt.Fprintln(w, "OPERATION\tACTION\tBY\tSTATE\tRESULT\tHOSTS\tHELD BY")
			for _, r := range rows {
				fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%s\t%d\t%s\n", r.ID, r.Action, r.Operator, r.State, r.Result, len(r.Hosts), r.Holder)
			}
			err = w.Flush()
		}
		if err == nil {
			if silent := errors.Join(errs...); silent != nil {
				err = &exitError{exitPartial, silent}
			}
		}
		return err
	}
	return []*cobra.Command{ops, report, resume, abort}
}
