package main

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"sort"
	"strconv"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/spf13/cobra"

	"martendrum/internal/fleet/api"
	"martendrum/internal/fleet/control/client"
	"martendrum/internal/fleet/control/inventory"
	"martendrum/internal/fleet/control/rollout"
	"martendrum/internal/fleet/release"
)

// rollingFlags is the flags of a rolling change.
type rollingFlags struct {
	selection                    *inventory.Select
	all, dryRun, skipUnreachable bool
	batch, maxUnavailable        string
	policy                       api.Policy
	ready, soak                  time.Duration
	run                          runFlags
	binary, overlay              string
}

// runFlags is how a command runs an operation.
type runFlags struct {
	ttl, giveUp time.Duration
}

func (r *runFlags) add(c *cobra.Command) {
	c.Flags().DurationVar(&r.ttl, "lease", 15*time.Second, "how long the instances stay ours if this command stalls")
	c.Flags().DurationVar(&r.giveUp, "give-up", 30*time.Second, "how long a silent agent, or a change that can't go on, is waited for")
}

func (r *runFlags) options(g *global) client.Options {
	return client.Options{LeaseHolder: fmt.Sprintf("%s pid %d %s", operatorName(), os.Getpid(), randomHex(4)), TTL: r.ttl, GiveUp: r.giveUp, Progress: progress(g)}
}

func randomHex(n int) string {
	b := make([]byte, n)
	rand.Read(b)
	return hex.EncodeToString(b)
}

// progress draws a bar of its own on a terminal, one line an event otherwise.
func progress(g *global) func(client.Event) {
	st, err := os.Stderr.Stat()
	terminal := err == nil && st.Mode()&os.ModeCharDevice != 0 && !g.json
	lines := json.NewEncoder(os.Stderr)
	return func(e client.Event) {
		if g.json {
			lines.Encode(e)
			return
		}
		text := strings.TrimSpace(strings.Join([]string{e.Kind, e.Host, e.Instance, e.Step, e.Text}, " "))
		if terminal {
			width := 24
			fill := 0
			if e.Of > 0 {
				fill = width * e.Done / e.Of
			}
			fmt.Fprintf(os.Stderr, "\r\x1b[K[%s%s] %d/%d  %.100s", strings.Repeat("#", fill), strings.Repeat(".", width-fill), e.Done, e.Of, text)
			if e.Kind == "failed" || e.Kind == "silent" || e.Kind == "note" {
				fmt.Fprintln(os.Stderr)
			}
			return
		}
		fmt.Fprintf(os.Stderr, "%s %d/%d %s\n", e.At.Format(time.RFC3339), e.Done, e.Of, text)
	}
}

// parseCount reads a number or a percentage of n, of which at least 1 is meant.
func parseCount(s string, n int) (int, error) {
	if p, ok := strings.CutSuffix(s, "%"); ok {
		v, err := strconv.ParseFloat(p, 64)
		if err != nil || !(v > 0 && v <= 100) {
			return 0, fmt.Errorf("%q is no percentage above 0 and up to 100", s)
		}
		return max(1, int(float64(n)*v/100)), nil
	}
	v, err := strconv.Atoi(s)
	if err != nil || v < 1 {
		return 0, fmt.Errorf("%q is no number of 1 or more and no percentage", s)
	}
	return v, nil
}

var changes = []struct{ action, short, long string }{
	{api.ActDrain, "Take instances out of service until undrain", "Drain: SIGTERM, and SIGKILL once the longest deadline has passed. A drained instance\nstays down, also over restarts of its agent, until it is undrained."},
	{api.ActUndrain, "Bring drained instances back", ""},
	{api.ActStart, "Start stopped instances, or those in a crash loop", ""},
	{api.ActStop, "Stop instances", "Stop: as drain, but `start` brings the instance back."},
	{api.ActRestart, "Restart instances", ""},
	{api.ActReload, "Let instances take their changed configuration over (SIGHUP)", "Reload: the instance's configuration file is read again, merged with its release's\noverlay and taken over without a restart. The step succeeds when the sidecar tells\nthat it runs the new one."},
	{api.ActUpgrade, "Change instances to another release", "Upgrade: the program and the overlay are sent to the agents, checked there by their\nhash, and taken over instance by instance. With --on-failure rollback, too many\nfailures bring all that was changed back to what it ran before."},
	{api.ActRollback, "Change instances back to the release they ran before", ""},
}

func changeCommands(g *global) (out []*cobra.Command) {
	for _, ch := range changes {
		r := &rollingFlags{}
		c := &cobra.Command{Use: ch.action + " [INSTANCE...]", GroupID: "change", Short: ch.short, Long: ch.long}
		if ch.action == api.ActUpgrade {
			c.Example = "  martendrum upgrade --binary ./sidecar --overlay new.json --canaries 1 --batch 10% --soak 30s --all"
			c.Flags().StringVar(&r.binary, "binary", "", "the sidecar's program (needed)")
			c.Flags().StringVar(&r.overlay, "overlay", "", "JSON that is merged over each instance's configuration")
			c.MarkFlagRequired("binary")
		}
		r.selection = selectFlags(c)
		f := c.Flags()
		f.BoolVar(&r.all, "all", false, "all instances of the fleet")
		f.BoolVar(&r.dryRun, "dry-run", false, "print the plan and change nothing")
		f.BoolVar(&r.skipUnreachable, "skip-unreachable", false, "leave out hosts that don't answer, instead of changing nothing")
		f.StringVar(&r.batch, "batch", "1", "so many instances at a time, or a percentage")
		f.StringVar(&r.maxUnavailable, "max-unavailable", "", "no more than so many of them unavailable, or a percentage (default: the batch)")
		f.IntVar(&r.policy.Canaries, "canaries", 0, "so many instances first, and one failure among them is too many")
		f.IntVar(&r.policy.MaxFailures, "max-failures", 0, "so many may fail; one more stops the change")
		onFailure := api.OnFailureStop
		if ch.action == api.ActUpgrade {
			onFailure = api.OnFailureRollback
		}
		f.StringVar(&r.policy.OnFailure, "on-failure", onFailure, "after too many failures: stop, pause (to be resumed)"+map[bool]string{true: ", or rollback"}[onFailure == api.OnFailureRollback])
		f.DurationVar(&r.ready, "ready", 30*time.Second, "an instance must be ready within it")
		f.DurationVar(&r.soak, "soak", 2*time.Second, "and stay so for it")
		r.run.add(c)
		c.RunE = func(c *cobra.Command, args []string) error { return g.startChange(c.Context(), ch.action, r, args) }
		out = append(out, c)
	}
	return out
}

func (g *global) startChange(ctx context.Context, action string, r *rollingFlags, args []string) error {
	r.selection.Instances = append(r.selection.Instances, args...)
	if r.selection.Empty() == !r.all {
		return fmt.Errorf("say which instances: their names, --host, --label, --release, --state, or --all alone for every one")
	}
	if err := r.selection.Check(); err != nil {
		return err
	}
	f, err := g.openFleet()
	if err != nil {
		return err
	}
	defer f.Close()
	op := api.Operation{Action: action, Ready: r.ready, Soak: r.soak, Operator: operatorName(), Created: time.Now().UTC().Truncate(time.Millisecond)}
	op.ID = op.Created.Format("20060102-150405-") + randomHex(3)
	if action == api.ActUpgrade {
		if op.Release, err = hashRelease(r); err != nil {
			return err
		}
	} else if r.policy.OnFailure == api.OnFailureRollback {
		return fmt.Errorf("--on-failure rollback goes with upgrade; a %s can't be taken back", action)
	}
	states, agents, err := r.targets(ctx, f, &op)
	if err != nil {
		return err
	}
	spreadOverHosts(op.Targets)
	if r.policy.Batch, err = parseCount(r.batch, len(op.Targets)); err != nil {
		return fmt.Errorf("--batch: %w", err)
	}
	r.policy.MaxUnavailable = max(r.policy.Batch, r.policy.Canaries)
	if r.maxUnavailable != "" {
		if r.policy.MaxUnavailable, err = parseCount(r.maxUnavailable, len(op.Targets)); err != nil {
			return fmt.Errorf("--max-unavailable: %w", err)
		}
	}
	op.Policy = r.policy
	if err := op.Policy.Check(len(op.Targets)); err != nil {
		return err
	}
	if r.dryRun {
		return g.printPlan(&op, states)
	}
	if action == api.ActUpgrade {
		if err := f.Upload(ctx, agents, op.Release, r.binary, r.overlay, func(host string) {
			fmt.Fprintf(os.Stderr, "release %s is at %s\n", shortHash(op.Release), host)
		}); err != nil {
			return &exitError{exitPartial, fmt.Errorf("nothing was changed: %w", err)}
		}
	}
	fmt.Fprintf(os.Stderr, "operation %s: %s of %d instances\n", op.ID, action, len(op.Targets))
	rep, err := f.Start(ctx, op, r.run.options(g))
	if err != nil {
		if e, ok := errors.AsType[*api.Error](err); ok {
			return &exitError{exitPartial, e}
		}
		return err
	}
	return g.printReport(rep)
}

// targets lists the instances that are meant, and adds them to an operation.
func (r *rollingFlags) targets(ctx context.Context, f *client.Fleet, op *api.Operation) (states []client.HostState, agents []*client.Agent, err error) {
	states = f.List(ctx, r.selection)
	for _, h := range states {
		if h.Error != "" {
			if !r.skipUnreachable {
				return nil, nil, &exitError{exitUnreachable, fmt.Errorf("nothing was changed: %s; --skip-unreachable leaves such hosts out", h.Error)}
			}
			fmt.Fprintf(os.Stderr, "left out: %s\n", h.Error)
			continue
		}
		for _, i := range h.Instances {
			op.Targets = append(op.Targets, api.Target{Host: h.Host.Name, Instance: i.Name})
		}
		if len(h.Instances) > 0 {
			agents = append(agents, f.Agent(h.Host.Name))
		}
	}
	if len(op.Targets) == 0 {
		return nil, nil, &exitError{exitPartial, errors.New("nothing was changed: no instance fits")}
	}
	return states, agents, nil
}

// hashRelease reads a release from this machine.
func hashRelease(r *rollingFlags) (string, error) {
	if r.overlay != "" {
		b, err := os.ReadFile(r.overlay)
		if err == nil {
			err = release.CheckOverlay(b)
		}
		if err != nil {
			return "", fmt.Errorf("--overlay %s: %w", r.overlay, err)
		}
	}
	st, err := os.Stat(r.binary)
	if err == nil && (!st.Mode().IsRegular() || st.Mode()&0o111 == 0) {
		err = fmt.Errorf("%s is no program", r.binary)
	}
	if err != nil {
		return "", fmt.Errorf("--binary: %w", err)
	}
	return release.Hash(r.binary, r.overlay)
}

// spreadOverHosts orders targets so that neighbours are on different hosts: a batch takes
// little from each.
func spreadOverHosts(ts []api.Target) {
	turn := make(map[api.Target]int)
	seen := make(map[string]int)
	for _, t := range ts {
		turn[t] = seen[t.Host]
		seen[t.Host]++
	}
	sort.SliceStable(ts, func(a, b int) bool { return turn[ts[a]] < turn[ts[b]] })
}

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
