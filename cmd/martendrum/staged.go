package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"maps"
	"math"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/spf13/cobra"

	"martendrum/internal/fleet/api"
	"martendrum/internal/fleet/canary"
	"martendrum/internal/fleet/control/client"
	"martendrum/internal/fleet/control/rollout"
	"martendrum/internal/fleet/release"
	"martendrum/internal/fleet/stage"
)

// startStaged is the flags of a staged change.
type stagedFlags struct {
	rollingFlags
	stages, maxHost, maxZone, maxShop string
	plan                              stage.Plan
	analysis                          canary.Config
	margins                           []string
	seed                              uint64
	unattended                        time.Duration
}

func stagedCommand(g *global) *cobra.Command {
	c := &cobra.Command{Use: "change", GroupID: "change", Short: "Change the program or its settings in stages, and stop by itself when a stage does worse",
		Long: `A change goes through the fleet in stages, new and old sidecars side by side. After each
stage the new ones are compared with the old ones over the same time, and each with its
own past: worth served, requests refused and failed by class and zone, attempts sent,
time in the sidecar, memory, crashes. If they do worse, the change is taken back; if it
can't be told, it holds.

Every instance needs a door ("mgmt" in its configuration), and its agent takes the
figures ("figures.slot" in the agent's file, the same at all hosts).`,
		Example: `  martendrum change start --binary ./sidecar --stages 1,10%,50%,100% --least 5m --all --dry-run
  martendrum change start --overlay new.json --all          # settings alone: SIGHUP, no restart
  martendrum change watch 20261201-201500-5f2c1a
  martendrum change resume 20261201-201500-5f2c1a --go-on   # it holds, and you have looked`}
	c.AddCommand(startCommand(g), resumeCommand(g), watchCommand(g), evidenceCommand(g),
		publishCommand(g), promoteCommand(g))
	for _, op := range opCommands(g) {
		switch op.Name() {
		case "abort":
			op.GroupID = ""
			c.AddCommand(op)
		case "operations":
			op.GroupID, op.Use, op.Short = "", "list", "List operations, those that are open first"
			c.AddCommand(op)
		}
	}
	return c
}

func startCommand(g *global) *cobra.Command {
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
	f.DurationVar(&r.analysis.Warm, "warm", 30*time.Second, "a process counts once it is so old")
	f.DurationVar(&r.analysis.Settle, "settle", 5*time.Minute, "and its memory and descriptors, which grow at first, once it is so old")
	f.Uint64Var(&r.seed, "seed", 0, "of the draw of who is in which stage (0: from the operation's name)")
	f.DurationVar(&r.unattended, "alone", 2*time.Minute, "once nobody directs it for so long, agents take back what plainly fails; 0s: never")
	f.DurationVar(&r.ready, "ready", 30*time.Second, "an instance must be ready within it")
	f.DurationVar(&r.soak, "soak", 2*time.Second, "and stay so for it")
	r.run.add(c)
	c.RunE = func(c *cobra.Command, args []string) error { return g.startStaged(c.Context(), r, args) }
	return c
}

// parseMargins reads --margin.
func parseMargins(texts []string) (map[canary.Measure]canary.Margin, error) {
	out := canary.Margins()
	for _, t := range texts {
		name, rest, ok := strings.Cut(t, "=")
		low, high, ok2 := strings.Cut(rest, ":")
		tolerate, err1 := strconv.ParseFloat(low, 64)
		exclude, err2 := strconv.ParseFloat(high, 64)
		if _, known := out[canary.Measure(name)]; !known {
			return nil, fmt.Errorf("--margin %q: measures are %s", t, join(slices.Sorted(maps.Keys(out))))
		}
		if rest == "off" {
			delete(out, canary.Measure(name))
			continue
		}
		if !ok || !ok2 || err1 != nil || err2 != nil {
			return nil, fmt.Errorf("--margin %q; want MEASURE=TOLERATE:EXCLUDE, as in unserved=0.01:0.05, or MEASURE=off", t)
		}
		out[canary.Measure(name)] = canary.Margin{Tolerate: tolerate, Exclude: exclude}
	}
	return out, nil
}

func join[T ~string](ss []T) string {
	var out []string
	for _, s := range ss {
		out = append(out, string(s))
	}
	return strings.Join(out, ", ")
}

func (g *global) startStaged(ctx context.Context, r *stagedFlags, args []string) (err error) {
	r.selection.Instances = append(r.selection.Instances, args...)
	if r.selection.Empty() == !r.all {
		return fmt.Errorf("say which instances: their names, --host, --label, --release, --state, or --all alone for every one")
	}
	if err := r.selection.Check(); err != nil {
		return err
	}
	if r.binary == "" && r.overlay == "" {
		return fmt.Errorf("say what changes: --binary for the program, --overlay for its settings, or both")
	}
	if r.analysis.Margins, err = parseMargins(r.margins); err != nil {
		return err
	}
	f, err := g.openFleet()
	if err != nil {
		return err
	}
	defer f.Close()
	op := api.Operation{Action: api.ActUpgrade, Ready: r.ready, Soak: r.soak, Operator: operatorName(), Created: time.Now().UTC().Truncate(time.Millisecond)}
	op.ID = op.Created.Format("20060102-150405-") + randomHex(3)
	states, agents, err := r.targets(ctx, f, &op)
	if err != nil {
		return err
	}
	now := make(map[api.Target]*api.Instance)
	for h := range states {
		for i := range states[h].Instances {
			x := &states[h].Instances[i]
			for k, v := range states[h].Host.Labels {
				if _, own := x.Labels[k]; !own {
					if x.Labels == nil {
						x.Labels = make(map[string]string)
					}
					x.Labels[k] = v
				}
			}
			now[api.Target{Host: states[h].Host.Name, Instance: x.Name}] = x
		}
	}
	if err := r.completeOperation(ctx, f, agents[0], &op, now); err != nil {
		return err
	}
	if r.binary == "" {
		op.Action = api.ActSettings
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
	if op.Release, err = hashRelease(&r.rollingFlags); err != nil {
		return err
	}
	r.analysis.Change = op.Release
	r.plan.Slot = r.analysis.Slot
	op.Staged = &api.Staged{Plan: r.plan, Judge: r.analysis, Seed: r.seed, Alone: r.unattended}
	s := op.Staged
	back := int64(max(60, 2*r.plan.HistorySlots))
	s.First = time.Now().UnixNano()/int64(s.Judge.Slot) - back
	s.Judge.MaxSlots = int(back) + len(s.Plan.Upto)*int(2*s.Plan.MaxDuration/s.Judge.Slot+10)
	if err := errors.Join(s.Plan.Check(len(op.Targets)), s.Judge.Check(), op.Policy.Check(len(op.Targets))); err != nil {
		return err
	}
	if r.dryRun {
		return g.printStagePlan(&op, now)
	}
	if err := f.Upload(ctx, agents, op.Release, r.binary, r.overlay, func(host string) {
		fmt.Fprintf(os.Stderr, "release %s is at %s\n", shortHash(op.Release), host)
	}); err != nil {
		return &exitError{exitPartial, fmt.Errorf("nothing was changed: %w", err)}
	}
	fmt.Fprintf(os.Stderr, "operation %s: %s of %d instances in %d stages\n", op.ID, op.Action, len(op.Targets), len(s.Plan.Upto))
	rep, err := f.Start(ctx, op, r.run.options(g))
	if err != nil {
		if _, ok := errors.AsType[*api.Error](err); ok {
			return &exitError{exitPartial, err}
		}
		return err
	}
	return g.printReport(rep)
}

// completeOperation draws the stages and completes plan, policy and judge from what the fleet is.
func (r *stagedFlags) completeOperation(ctx context.Context, f *client.Fleet, first *client.Agent, op *api.Operation, now map[api.Target]*api.Instance) error {
	var figures api.MetricsOut
	if err := first.Call(ctx, api.Metrics, &api.MetricsIn{Limit: 1}, &figures); err != nil {
		return err
	}
	if figures.Slot == 0 {
		return fmt.Errorf("agent %s takes no figures: set figures.slot in its file", first.Host.Name)
	}
	r.analysis.Slot = figures.Slot
	var members []stage.Member
	running := make(map[string]int)
	for _, t := range op.Targets {
		i := now[t]
		if i.AdminAddress == "" {
			return fmt.Errorf("instance %s on %s has no door, so nobody could judge it: set mgmt in its configuration, or leave it out", t.Instance, t.Host)
		}
		running[i.Running]++
		members = append(members, stage.Member{Host: t.Host, Instance: t.Instance, Zone: i.Labels["zone"], Shop: i.Labels["shop"], Rate: i.Rate})
	}
	if len(running) != 1 || running[""] > 0 {
		var list []string
		for _, rel := range slices.Sorted(maps.Keys(running)) {
			list = append(list, fmt.Sprintf("%d run %s", running[rel], shortHash(rel)))
		}
		return fmt.Errorf("old and new can only be compared if all run one release now; of these, %s: choose with --release, or bring them to one first", strings.Join(list, ", "))
	}
	for rel := range running {
		r.analysis.Base = rel
	}
	var inspect api.InspectOut
	one := op.Targets[0]
	if err := f.Agent(one.Host).Call(ctx, api.Inspect, &api.InstanceIn{Instance: one.Instance}, &inspect); err != nil {
		return err
	}
	var conf struct {
		Settings struct {
			Classes []struct {
				Name  string  `json:"name"`
				Worth float64 `json:"worth"`
			} `json:"classes"`
		} `json:"settings"`
	}
	if err := json.Unmarshal([]byte(inspect.Config), &conf); err != nil {
		return fmt.Errorf("configuration of %s on %s: %w", one.Instance, one.Host, err)
	}
	for _, c := range conf.Settings.Classes {
		r.analysis.Classes, r.analysis.Weights = append(r.analysis.Classes, c.Name), append(r.analysis.Weights, max(c.Worth, 0))
	}
	if r.seed == 0 {
		for _, b := range []byte(op.ID) {
			r.seed = r.seed*1099511628211 + uint64(b)
		}
	}
	targets := op.Targets
	op.Targets = nil
	for _, i := range stage.Draw(members, r.seed) {
		op.Targets = append(op.Targets, targets[i])
		op.Places = append(op.Places, api.Place{Zone: members[i].Zone, Shop: members[i].Shop})
		r.analysis.Zones = append(r.analysis.Zones, members[i].Zone)
	}
	n := len(op.Targets)
	var err error
	if r.plan.Upto, err = stage.Sizes(r.stages, n); err != nil {
		return fmt.Errorf("--stages: %w", err)
	}
	for _, x := range []struct {
		flag, text string
		to         *int
	}{{"batch", r.batch, &r.policy.Batch}, {"max-unavailable", r.maxUnavailable, &r.policy.MaxUnavailable}, {"max-host", r.maxHost, &r.policy.MaxHost},
		{"max-zone", r.maxZone, &r.policy.MaxZone}, {"max-shop", r.maxShop, &r.policy.MaxShop}} {
		if x.text == "" {
			continue
		}
		if *x.to, err = parseCount(x.text, n); err != nil {
			return fmt.Errorf("--%s: %w", x.flag, err)
		}
	}
	r.policy.MaxUnavailable = max(r.policy.MaxUnavailable, r.policy.Batch)
	op.Policy = r.policy
	return nil
}

// fetchProgram brings the program of a release from an agent, and checks it.
func fetchProgram(ctx context.Context, a *client.Agent, hash, to string) error {
	f, err := os.OpenFile(to, os.O_CREATE|os.O_WRONLY, 0o700)
	if err != nil {
		return err
	}
	defer f.Close()
	for at := int64(0); ; {
		var out api.ReadOut
		if err := a.Call(ctx, api.ReleaseRead, &api.ReadIn{Release: hash, File: release.Sidecar, Offset: at}, &out); err != nil {
			return fmt.Errorf("the program that runs now, release %s: %w", shortHash(hash), err)
		}
		if _, err := f.Write(out.Data); err != nil {
			return err
		}
		if at += int64(len(out.Data)); at >= out.Size {
			return f.Close()
		}
		if len(out.Data) == 0 {
			return fmt.Errorf("the program that runs now, release %s: %w", shortHash(hash), io.ErrUnexpectedEOF)
		}
	}
}

// printStagePlan prints who is in which stage, and what harm could be noticed in it.
func (g *global) printStagePlan(op *api.Operation, now map[api.Target]*api.Instance) error {
	s := op.Staged
	type sight struct {
		Measure  canary.Measure `json:"measure"`
		Smallest float64        `json:"smallest"` // harm that is noticed with even odds by the stage's longest time
	}
	type entry struct {
		Stage     int          `json:"stage"`
		Upto      int          `json:"upto"`
		Instances []api.Target `json:"instances"`
		Rate      float64      `json:"rate"` // requests a second of all that run it by then
		Notice    []sight      `json:"notice"`
	}
	j, err := canary.New(s.Judge)
	if err != nil {
		return err
	}
	var plan []entry
	var rates []float64
	for _, t := range op.Targets {
		rates = append(rates, now[t].Rate)
	}
	sum := func(rs []float64) (v float64) {
		for _, r := range rs {
			v += r
		}
		return v
	}
	from := 0
	for n, upto := range s.Plan.Upto {
		e := entry{Stage: n + 1, Upto: upto, Instances: op.Targets[from:upto], Rate: sum(rates[:upto])}
		for _, m := range []canary.Measure{canary.WeightedLoss, canary.Unserved, canary.Attempts} {
			share := 1.0
			if m == canary.Unserved {
				share /= float64(len(s.Judge.Classes)) // of one class, were all alike
			}
			seconds := s.Plan.MaxDuration.Seconds()
			e.Notice = append(e.Notice, sight{m, canary.Smallest(m, map[canary.Measure]float64{canary.Attempts: 1.1}[m], share*seconds*e.Rate, share*seconds*(sum(rates)-e.Rate),
				s.Judge.FalseStops, len(j.Tests()), s.Judge.Margins[m])})
		}
		plan = append(plan, e)
		from = upto
	}
	if g.json {
		for n := range plan {
			for k := range plan[n].Notice {
				if math.IsInf(plan[n].Notice[k].Smallest, 1) {
					plan[n].Notice[k].Smallest = -1 // JSON has no infinity: none can be noticed
				}
			}
		}
		return printJSON(map[string]any{"operation": op, "plan": plan})
	}
	fmt.Printf("%s of %d instances in %d stages, seed %d; each lasts %v to %v; on worse: %s; when it can't be told: %s\n",
		op.Action, len(op.Targets), len(plan), s.Seed, s.Plan.MinDuration, s.Plan.MaxDuration, op.Policy.OnFailure, s.Plan.OnInconclusive)
	w := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "STAGE\tRUN IT\tREQ/S\tNOTICED BY ITS END, WITH EVEN ODDS\tNEW IN IT")
	for _, e := range plan {
		var notice, names []string
		for _, x := range e.Notice {
			if math.IsInf(x.Smallest, 1) {
				notice = append(notice, fmt.Sprintf("%s: nothing", x.Measure))
			} else {
				notice = append(notice, fmt.Sprintf("%s +%.2g", x.Measure, x.Smallest))
			}
		}
		for _, t := range e.Instances[:min(4, len(e.Instances))] {
			names = append(names, t.Instance)
		}
		if more := len(e.Instances) - len(names); more > 0 {
			names = append(names, fmt.Sprintf("and %d more", more))
		}
		fmt.Fprintf(w, "%d\t%d\t%.1f\t%s\t%s\n", e.Stage, e.Upto, e.Rate, strings.Join(notice, ", "), strings.Join(names, " "))
	}
	w.Flush()
	fmt.Println("drift between instances and bursts come on top; in the last stage nobody is left to compare with\ndry run: nothing was changed")
	return nil
}

func resumeCommand(g *global) *cobra.Command {
	run := &runFlags{}
	c := &cobra.Command{Use: "resume OPERATION", Short: "Go on with a change where it stood", Args: cobra.ExactArgs(1),
		Long: "Resume goes on with a change whose command has died or that holds. Evidence that the\nagents have gathered meanwhile counts; time in which nobody looked does not."}
	goOn := c.Flags().Bool("go-on", false, "let a change that holds go on to its next stage, though it can't be told whether it does worse")
	run.add(c)
	c.RunE = func(c *cobra.Command, args []string) error {
		f, err := g.openFleet()
		if err != nil {
			return err
		}
		defer f.Close()
		opt := run.options(g)
		opt.Release = *goOn
		rep, err := f.Resume(c.Context(), args[0], opt)
		if err != nil {
			if e, ok := errors.AsType[*api.Error](err); ok {
				return &exitError{exitPartial, e}
			}
			return err
		}
		return g.printReport(rep)
	}
	return c
}

func watchCommand(g *global) *cobra.Command {
	c := &cobra.Command{Use: "watch OPERATION", Short: "Follow a change, from the agents' records", Args: cobra.ExactArgs(1)}
	each := c.Flags().Duration("each", 2*time.Second, "look so often")
	c.RunE = func(c *cobra.Command, args []string) error {
		if *each < 100*time.Millisecond {
			return fmt.Errorf("--each %v; 100ms at least", *each)
		}
		f, err := g.openFleet()
		if err != nil {
			return err
		}
		defer f.Close()
		st, err := os.Stdout.Stat()
		terminal := err == nil && st.Mode()&os.ModeCharDevice != 0 && !g.json
		shown := ""
		for {
			rep, err := f.Report(c.Context(), args[0])
			if err != nil {
				return err
			}
			text := describeChange(rep)
			if g.json {
				if err := printJSON(rep); err != nil {
					return err
				}
			} else if terminal {
				fmt.Printf("\x1b[H\x1b[2J%s", text)
			} else if text != shown { // off a terminal only what has changed
				fmt.Print(text)
			}
			shown = text
			if rep.Result != api.OpOpened && rep.Result != api.OpAborting {
				if rep.Result != rollout.Succeeded {
					return &exitError{exitPartial, nil}
				}
				return nil
			}
			select {
			case <-c.Context().Done():
				return nil
			case <-time.After(*each):
			}
		}
	}
	return c
}

func evidenceCommand(g *global) *cobra.Command {
	c := &cobra.Command{Use: "report OPERATION", Short: "Tell what became of a change, and on what evidence", Args: cobra.ExactArgs(1),
		Long:    "Report tells what became of a change and how it came there, from the agents' records.\nWith --plot it judges again, from the figures that the agents still keep, and draws one test.",
		Example: "  martendrum change report 20261201-201500-5f2c1a --plot worth.svg --test worth"}
	path := c.Flags().String("plot", "", "draw to this file (.svg, .png or .pdf)")
	test := c.Flags().String("test", "worth", "which test is drawn, as its evidence names it")
	c.RunE = func(c *cobra.Command, args []string) error {
		f, err := g.openFleet()
		if err != nil {
			return err
		}
		defer f.Close()
		rep, err := f.Report(c.Context(), args[0])
		if err != nil {
			return err
		}
		if *path != "" {
			series, missing, err := f.Replay(c.Context(), rep)
			if err != nil {
				return err
			}
			if len(missing) > 0 {
				fmt.Fprintf(os.Stderr, "without the figures of %s, which don't answer\n", strings.Join(missing, ", "))
			}
			if len(series) > 0 {
				rep.Judgement = &series[len(series)-1]
			}
			if err := plotEvidence(series, rep.Operation.Staged.Plan.Slot.Seconds(), *test, *path); err != nil {
				return err
			}
			fmt.Fprintln(os.Stderr, "drawn to", *path)
		}
		return g.printReport(rep)
	}
	return c
}

// describeChange is a change as a person follows it.
func describeChange(rep *client.Report) string {
	var b strings.Builder
	count := make(map[rollout.State]int)
	for _, r := range rep.Rows {
		count[r.Outcome]++
	}
	fmt.Fprintf(&b, "operation %s (%s by %s): %s", rep.Operation.ID, rep.Operation.Action, rep.Operation.Operator, rep.Result)
	if rep.LeaseHolder == "" && rep.Result == api.OpOpened {
		b.WriteString(", held by nobody: `martendrum change resume` goes on")
	}
	b.WriteString("\n")
	for _, s := range slices.Sorted(maps.Keys(count)) {
		fmt.Fprintf(&b, "  %d %s", count[s], s)
	}
	b.WriteString("\n" + describeNote(rep.Stages, rep.Operation.Staged))
	return b.String()
}

// describeNote is where a staged change stands, and how it came there.
func describeNote(n *api.Note, s *api.Staged) string {
	if s == nil {
		return "no change in stages\n"
	}
	if n == nil {
		return "no stage has begun\n"
	}
	var b strings.Builder
	fmt.Fprintf(&b, "stage %d of %d, %v of evidence in it, as of %s\n", n.State.Stage, len(s.Plan.Upto), time.Duration(n.State.Slots)*s.Plan.Slot, n.At.Format(time.RFC3339))
	for _, x := range []struct{ what, text string }{{"holds", n.State.HoldReason}, {"waits", n.State.PauseReason}, {"judged worse", n.State.Worse}} {
		if x.text != "" {
			fmt.Fprintf(&b, "%s: %s\n", x.what, x.text)
		}
	}
	for _, v := range n.Log {
		fmt.Fprintf(&b, "  %s  stage %d: %s\n", v.At.Format(time.TimeOnly), v.Stage, v.Text)
		for _, e := range v.Evidence {
			fmt.Fprintf(&b, "            %s\n", e)
		}
	}
	return b.String()
}
