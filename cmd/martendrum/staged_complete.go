package main

import (
	"context"
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"strings"

	"martendrum/internal/fleet/api"
	"martendrum/internal/fleet/control/client"
	"martendrum/internal/fleet/stage"
)

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
