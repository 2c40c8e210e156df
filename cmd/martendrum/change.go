package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"sort"
	"time"

	"github.com/spf13/cobra"

	"martendrum/internal/fleet/api"
	"martendrum/internal/fleet/control/client"
	"martendrum/internal/fleet/control/inventory"
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
