package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"maps"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/spf13/cobra"

	"martendrum/internal/fleet/api"
	"martendrum/internal/fleet/canary"
	"martendrum/internal/fleet/control/client"
	"martendrum/internal/fleet/release"
	"martendrum/internal/fleet/stage"
)

// stagedFlags holds the flags of a staged change.
type stagedFlags struct {
	rollingFlags
	stages, maxHost, maxZone, maxShop string
	plan                              stage.Plan
	analysis                          canary.Config
	margins                           []string
	seed                              uint64
	unattended                        time.Duration // how long agents wait without a command before they roll back their harmed instances; 0: they never do
}

// startCommand returns the command that starts a staged change.
func startCommand(g *globalFlags) *cobra.Command {
	r := &stagedFlags{}
	c := &cobra.Command{Use: "start [INSTANCE...]", Short: "Begin a change in stages",
		Long: "With --binary the program changes (and its overlay with it), without only the settings.\nThe command stays until the change has passed or was stopped. If it dies, the change\nholds, and `martendrum change resume` goes on with it: no time or evidence is skipped."}
	f := c.Flags()
	f.StringVar(&r.binary, "binary", "", "the new program; without it the one that runs stays, and --overlay is needed")
	f.StringVar(&r.overlay, "overlay", "", "JSON that is merged over each instance's configuration")
	r.selection = selectFlags(c)
	f.BoolVar(&r.all, "all", false, "all instances of the fleet")
	f.BoolVar(&r.dryRun, "dry-run", false, "print who is in which stage and what harm could be noticed, and change nothing")
	f.BoolVar(&r.skipUnreachable, "skip-unreachable", false, "leave out hosts that don't answer, instead of changing nothing")
	f.StringVar(&r.stages, "stages", "1,2%,10%,50%,100%", "how many run it by the end of each stage")
	f.DurationVar(&r.plan.MinDuration, "least", 5*time.Minute, "each stage lasts so long at least")
	f.DurationVar(&r.plan.MaxDuration, "longest", 30*time.Minute, "and so long at most before it must be said whether it does worse")
	f.IntVar(&r.plan.HistorySlots, "past", 12, "so many slots of figures are wanted before anything is changed")
	f.StringVar(&r.plan.OnInconclusive, "on-cant-tell", stage.Hold, "when it can't be told at --longest: hold or go-on")
	f.StringVar(&r.policy.OnFailure, "on-worse", api.OnFailureRollback, "when it does worse, or too many fail: stop, rollback-stage, rollback (all of it)")
	f.IntVar(&r.policy.MaxFailures, "max-failures", 0, "so many instances may fail to change")
	f.StringVar(&r.batch, "batch", "5%", "so many instances at a time within a stage, or a percentage")
	f.StringVar(&r.maxUnavailable, "max-unavailable", "", "no more than so many unavailable, or a percentage (default: the batch)")
	f.StringVar(&r.maxHost, "max-host", "", "no more than so many of a host at once, or a percentage of all")
	f.StringVar(&r.maxZone, "max-zone", "", "no more than so many of a zone (label zone) at once")
	f.StringVar(&r.maxShop, "max-shop", "1", "no more than so many of a shop (label shop) at once")
	f.StringArrayVar(&r.margins, "margin", nil, "MEASURE=TOLERATE:EXCLUDE, as in unserved=0.01:0.05, or MEASURE=off")
	f.Float64Var(&r.analysis.FalseStops, "false-stops", 0.01, "how often a change that does no harm may be stopped, over all looks and measures")
	f.DurationVar(&r.analysis.WarmUp, "warm", 30*time.Second, "a process counts once it is so old")
	f.DurationVar(&r.analysis.MinGaugeAge, "settle", 5*time.Minute, "and its memory and descriptors, which grow at first, once it is so old")
	f.Uint64Var(&r.seed, "seed", 0, "of the draw of who is in which stage (0: from the operation's name)")
	f.DurationVar(&r.unattended, "alone", 2*time.Minute, "once nobody directs it for so long, agents take back what plainly fails; 0s: never")
	f.DurationVar(&r.ready, "ready", 30*time.Second, "an instance must be ready within it")
	f.DurationVar(&r.soak, "soak", 2*time.Second, "and stay so for it")
	r.run.add(c)
	c.RunE = func(c *cobra.Command, args []string) error { return g.startStaged(c.Context(), r, args) }
	return c
}

// parseMargins returns the default margins as changed by --margin flags.
func parseMargins(texts []string) (map[canary.Measure]canary.Margin, error) {
	margins := canary.Margins()
	for _, text := range texts {
		name, bounds, hasBounds := strings.Cut(text, "=")
		tolerateText, excludeText, hasBoth := strings.Cut(bounds, ":")
		tolerate, tolerateErr := strconv.ParseFloat(tolerateText, 64)
		exclude, excludeErr := strconv.ParseFloat(excludeText, 64)
		if _, known := margins[canary.Measure(name)]; !known {
			return nil, fmt.Errorf("--margin %q: want one of the measures %s", text, join(slices.Sorted(maps.Keys(margins))))
		}
		if bounds == "off" {
			delete(margins, canary.Measure(name))
			continue
		}
		if !hasBounds || !hasBoth || tolerateErr != nil || excludeErr != nil {
			return nil, fmt.Errorf("--margin %q: want MEASURE=TOLERATE:EXCLUDE, as in unserved=0.01:0.05, or MEASURE=off", text)
		}
		margins[canary.Measure(name)] = canary.Margin{Tolerate: tolerate, Exclude: exclude}
	}
	return margins, nil
}

// join joins strings of any type with commas.
func join[T ~string](list []T) string {
	var out []string
	for _, s := range list {
		out = append(out, string(s))
	}
	return strings.Join(out, ", ")
}

// startStaged starts a staged change, follows it until it ends and prints its report.
func (g *globalFlags) startStaged(ctx context.Context, r *stagedFlags, args []string) (err error) {
	if err := r.check(args); err != nil {
		return err
	}
	fleet, err := g.openFleet()
	if err != nil {
		return err
	}
	defer fleet.Close()
	operation := newOperation(api.ActUpgrade, &r.rollingFlags)
	hosts, agents, err := r.targets(ctx, fleet, &operation)
	if err != nil {
		return err
	}
	instances := instancesByTarget(hosts)
	if err := r.completeOperation(ctx, fleet, agents[0], &operation, instances); err != nil {
		return err
	}
	if r.binary == "" {
		operation.Action = api.ActSettings
		dir, err := os.MkdirTemp("", "martendrum-change-")
		if err != nil {
			return err
		}
		defer os.RemoveAll(dir)
		r.binary = filepath.Join(dir, "sidecar")
		if err := fetchProgram(ctx, agents[0], r.analysis.Base, r.binary); err != nil {
			return err
		}
	}
	if operation.Release, err = hashRelease(&r.rollingFlags); err != nil {
		return err
	}
	operation.Staged = r.staged(operation.Release)
	staged := operation.Staged
	if err := errors.Join(staged.Plan.Check(len(operation.Targets)), staged.Judge.Check(), operation.Policy.Check(len(operation.Targets))); err != nil {
		return err
	}
	if r.dryRun {
		return g.printStagePlan(&operation, instances)
	}
	if err := r.upload(ctx, fleet, agents, operation.Release); err != nil {
		return err
	}
	fmt.Fprintf(os.Stderr, "operation %s: %s of %d instances in %d stages\n", operation.ID, operation.Action, len(operation.Targets), len(staged.Plan.StageSizes))
	report, err := fleet.Start(ctx, operation, r.run.options(g))
	if err != nil {
		if _, ok := errors.AsType[*api.Error](err); ok {
			return &exitError{exitPartial, err}
		}
		return err
	}
	return g.printReport(report)
}

// check checks the flags that can be checked without an agent, and parses the margins.
func (r *stagedFlags) check(args []string) (err error) {
	if err := r.selectInstances(args); err != nil {
		return err
	}
	if r.binary == "" && r.overlay == "" {
		return fmt.Errorf("say what to change: --binary for the program, --overlay for its settings, or both")
	}
	r.analysis.Margins, err = parseMargins(r.margins)
	return err
}

// minHistorySlots is the minimum number of slots before the change that the analysis covers.
const minHistorySlots = 60

// staged returns the configuration of the stages and of the canary analysis for a change to a release.
// Slot 0 of the analysis is before the change, so that it uses the history of the instances too.
func (r *stagedFlags) staged(release string) *api.Staged {
	r.analysis.Change = release
	r.plan.Slot = r.analysis.Slot
	staged := &api.Staged{Plan: r.plan, Judge: r.analysis, Seed: r.seed, UnattendedRollbackDelay: r.unattended}
	history := int64(max(minHistorySlots, 2*r.plan.HistorySlots))
	staged.First = time.Now().UnixNano()/int64(staged.Judge.Slot) - history
	staged.Judge.MaxSlots = int(history) + len(staged.Plan.StageSizes)*int(2*staged.Plan.MaxDuration/staged.Judge.Slot+10)
	return staged
}

// instancesByTarget returns the instances of hosts by target. It adds the labels of the host to each
// instance that has no label with the same key.
func instancesByTarget(hosts []client.HostState) map[api.Target]*api.Instance {
	instances := make(map[api.Target]*api.Instance)
	for h := range hosts {
		host := &hosts[h]
		for n := range host.Instances {
			instance := &host.Instances[n]
			for key, value := range host.Host.Labels {
				if _, own := instance.Labels[key]; own {
					continue
				}
				if instance.Labels == nil {
					instance.Labels = make(map[string]string)
				}
				instance.Labels[key] = value
			}
			instances[api.Target{Host: host.Host.Name, Instance: instance.Name}] = instance
		}
	}
	return instances
}

// fetchProgram downloads the program of a release from an agent to the file at path. It doesn't check
// the program: the agents check later that the new release has the same one.
func fetchProgram(ctx context.Context, a *client.Agent, hash, path string) error {
	file, err := os.OpenFile(path, os.O_CREATE|os.O_WRONLY, 0o700)
	if err != nil {
		return err
	}
	defer file.Close()
	for offset := int64(0); ; {
		var out api.ReadOut
		if err := a.Call(ctx, api.ReleaseRead, &api.ReadIn{Release: hash, File: release.Sidecar, Offset: offset}, &out); err != nil {
			return fmt.Errorf("downloading the current program, release %s: %w", shortHash(hash), err)
		}
		if _, err := file.Write(out.Data); err != nil {
			return err
		}
		if offset += int64(len(out.Data)); offset >= out.Size {
			return file.Close()
		}
		if len(out.Data) == 0 {
			return fmt.Errorf("downloading the current program, release %s: %w", shortHash(hash), io.ErrUnexpectedEOF)
		}
	}
}
