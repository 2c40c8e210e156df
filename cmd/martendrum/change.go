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

// rollingFlags holds the flags of a command that starts a rolling change.
type rollingFlags struct {
	selection                    *inventory.Select
	all, dryRun, skipUnreachable bool
	batch, maxUnavailable        string // numbers of instances, or percentages of the targets
	policy                       api.Policy
	ready, soak                  time.Duration
	run                          runFlags
	binary, overlay              string // paths of the files of a release
}

// changes lists the actions of a rolling change. Each has a command of its own.
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

// changeCommands returns a command for each action in changes.
func changeCommands(g *globalFlags) (out []*cobra.Command) {
	for _, change := range changes {
		r := &rollingFlags{}
		c := &cobra.Command{Use: change.action + " [INSTANCE...]", GroupID: "change", Short: change.short, Long: change.long}
		r.add(c, change.action)
		c.RunE = func(c *cobra.Command, args []string) error { return g.startChange(c.Context(), change.action, r, args) }
		out = append(out, c)
	}
	return out
}

// add defines the flags of an action on its command.
func (r *rollingFlags) add(c *cobra.Command, action string) {
	f := c.Flags()
	onFailure, onFailureHelp := api.OnFailureStop, "after too many failures: stop, pause (to be resumed)"
	if action == api.ActUpgrade {
		c.Example = "  martendrum upgrade --binary ./sidecar --overlay new.json --canaries 1 --batch 10% --soak 30s --all"
		f.StringVar(&r.binary, "binary", "", "the sidecar's program (needed)")
		f.StringVar(&r.overlay, "overlay", "", "JSON that is merged over each instance's configuration")
		c.MarkFlagRequired("binary")
		onFailure = api.OnFailureRollback
		onFailureHelp += ", or rollback"
	}
	r.selection = selectFlags(c)
	f.BoolVar(&r.all, "all", false, "all instances of the fleet")
	f.BoolVar(&r.dryRun, "dry-run", false, "print the plan and change nothing")
	f.BoolVar(&r.skipUnreachable, "skip-unreachable", false, "leave out hosts that don't answer, instead of changing nothing")
	f.StringVar(&r.batch, "batch", "1", "so many instances at a time, or a percentage")
	f.StringVar(&r.maxUnavailable, "max-unavailable", "", "no more than so many of them unavailable, or a percentage (default: the batch)")
	f.IntVar(&r.policy.Canaries, "canaries", 0, "so many instances first, and one failure among them is too many")
	f.IntVar(&r.policy.MaxFailures, "max-failures", 0, "so many may fail; one more stops the change")
	f.StringVar(&r.policy.OnFailure, "on-failure", onFailure, onFailureHelp)
	f.DurationVar(&r.ready, "ready", 30*time.Second, "an instance must be ready within it")
	f.DurationVar(&r.soak, "soak", 2*time.Second, "and stay so for it")
	r.run.add(c)
}

// selectInstances adds the instance names in args to the selection. It returns an error if the
// selection is invalid, if there is neither a selection nor --all, or if there are both.
func (r *rollingFlags) selectInstances(args []string) error {
	r.selection.Instances = append(r.selection.Instances, args...)
	if r.selection.Empty() == !r.all {
		return fmt.Errorf("no instances are selected: give names, --host, --label, --release or --state, or only --all for every instance")
	}
	return r.selection.Check()
}

// newOperation returns an operation without targets. Its ID has the current time and random digits.
func newOperation(action string, r *rollingFlags) api.Operation {
	created := time.Now().UTC().Truncate(time.Millisecond)
	return api.Operation{
		ID:     created.Format("20060102-150405-") + randomHex(3),
		Action: action, ReadyTimeout: r.ready, Soak: r.soak, Operator: operatorName(), Created: created,
	}
}

// startChange starts a rolling change, waits until it has ended and prints its report.
func (g *globalFlags) startChange(ctx context.Context, action string, r *rollingFlags, args []string) error {
	if err := r.selectInstances(args); err != nil {
		return err
	}
	fleet, err := g.openFleet()
	if err != nil {
		return err
	}
	defer fleet.Close()
	operation := newOperation(action, r)
	if action == api.ActUpgrade {
		if operation.Release, err = hashRelease(r); err != nil {
			return err
		}
	} else if r.policy.OnFailure == api.OnFailureRollback {
		return fmt.Errorf("--on-failure rollback is valid for upgrade only: a %s can't be rolled back", action)
	}
	hosts, agents, err := r.targets(ctx, fleet, &operation)
	if err != nil {
		return err
	}
	spreadOverHosts(operation.Targets)
	if operation.Policy, err = r.completePolicy(len(operation.Targets)); err != nil {
		return err
	}
	if r.dryRun {
		return g.printPlan(&operation, hosts)
	}
	if action == api.ActUpgrade {
		if err := r.upload(ctx, fleet, agents, operation.Release); err != nil {
			return err
		}
	}
	fmt.Fprintf(os.Stderr, "operation %s: %s of %d instances\n", operation.ID, action, len(operation.Targets))
	report, err := fleet.Start(ctx, operation, r.run.options(g))
	if err != nil {
		if rejection, ok := errors.AsType[*api.Error](err); ok {
			return &exitError{exitPartial, rejection}
		}
		return err
	}
	return g.printReport(report)
}

// completePolicy returns the policy that the flags describe for a number of targets. It returns an
// error if the policy is invalid.
func (r *rollingFlags) completePolicy(targets int) (api.Policy, error) {
	policy := r.policy
	var err error
	if policy.Batch, err = parseCount(r.batch, targets); err != nil {
		return policy, fmt.Errorf("--batch: %w", err)
	}
	policy.MaxUnavailable = max(policy.Batch, policy.Canaries)
	if r.maxUnavailable != "" {
		if policy.MaxUnavailable, err = parseCount(r.maxUnavailable, targets); err != nil {
			return policy, fmt.Errorf("--max-unavailable: %w", err)
		}
	}
	return policy, policy.Check(targets)
}

// upload sends the release to the agents and prints each host that has received it.
func (r *rollingFlags) upload(ctx context.Context, fleet *client.Fleet, agents []*client.Agent, hash string) error {
	err := fleet.Upload(ctx, agents, hash, r.binary, r.overlay, func(host string) {
		fmt.Fprintf(os.Stderr, "release %s is on host %s\n", shortHash(hash), host)
	})
	if err != nil {
		return &exitError{exitPartial, fmt.Errorf("nothing was changed: %w", err)}
	}
	return nil
}

// targets adds the selected instances to an operation's targets. It returns the hosts that may
// have selected instances, and the agents of those that have targets. A host that doesn't answer is
// an error, or is left out with --skip-unreachable. It is also an error if there are no targets.
func (r *rollingFlags) targets(ctx context.Context, fleet *client.Fleet, operation *api.Operation) (hosts []client.HostState, agents []*client.Agent, err error) {
	hosts = fleet.List(ctx, r.selection)
	for _, h := range hosts {
		if h.Error != "" {
			if !r.skipUnreachable {
				return nil, nil, &exitError{exitUnreachable, fmt.Errorf("nothing was changed: %s; use --skip-unreachable to leave out such hosts", h.Error)}
			}
			fmt.Fprintf(os.Stderr, "host left out: %s\n", h.Error)
			continue
		}
		for _, i := range h.Instances {
			operation.Targets = append(operation.Targets, api.Target{Host: h.Host.Name, Instance: i.Name})
		}
		if len(h.Instances) > 0 {
			agents = append(agents, fleet.Agent(h.Host.Name))
		}
	}
	if len(operation.Targets) == 0 {
		return nil, nil, &exitError{exitPartial, errors.New("nothing was changed: no instance matches the selection")}
	}
	return hosts, agents, nil
}

// hashRelease checks the files that --binary and --overlay name, and returns the hash of their
// release.
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
	info, err := os.Stat(r.binary)
	if err == nil && (!info.Mode().IsRegular() || info.Mode()&0o111 == 0) {
		err = fmt.Errorf("%s is not a program: want an executable regular file", r.binary)
	}
	if err != nil {
		return "", fmt.Errorf("--binary: %w", err)
	}
	return release.Hash(r.binary, r.overlay)
}

// spreadOverHosts reorders targets so that they alternate between hosts, and a batch has few
// instances of each host.
func spreadOverHosts(targets []api.Target) {
	position := make(map[api.Target]int) // of a target among those of its host
	count := make(map[string]int)        // of targets so far, by host
	for _, t := range targets {
		position[t] = count[t.Host]
		count[t.Host]++
	}
	sort.SliceStable(targets, func(a, b int) bool { return position[targets[a]] < position[targets[b]] })
}
