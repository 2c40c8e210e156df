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

// completeOperation assigns the targets to stages at random, and completes the operation, the plan and
// the configuration of the canary analysis from the state of the fleet. first is the agent of one of
// the targets.
func (r *stagedFlags) completeOperation(ctx context.Context, fleet *client.Fleet, first *client.Agent, operation *api.Operation, instances map[api.Target]*api.Instance) error {
	var metrics api.MetricsOut
	if err := first.Call(ctx, api.Metrics, &api.MetricsIn{Limit: 1}, &metrics); err != nil {
		return err
	}
	if metrics.Slot == 0 {
		return fmt.Errorf("agent %s records no metrics: set figures.slot in its configuration", first.Host.Name)
	}
	r.analysis.Slot = metrics.Slot
	members, base, err := stageMembers(operation.Targets, instances)
	if err != nil {
		return err
	}
	r.analysis.Base = base
	if err := r.readClasses(ctx, fleet, operation.Targets[0]); err != nil {
		return err
	}
	if r.seed == 0 {
		r.seed = seedOf(operation.ID)
	}
	r.drawOrder(operation, members)
	if r.plan.StageSizes, err = stage.Sizes(r.stages, len(operation.Targets)); err != nil {
		return fmt.Errorf("--stages: %w", err)
	}
	if err := r.parseLimits(len(operation.Targets)); err != nil {
		return err
	}
	operation.Policy = r.policy
	return nil
}

// stageMembers returns the targets as members that can be assigned to stages, and the release that
// all of them run. It returns an error if an instance has no admin address, or if the instances run
// different releases or an unknown one.
func stageMembers(targets []api.Target, instances map[api.Target]*api.Instance) (members []stage.Member, base string, err error) {
	running := make(map[string]int)
	for _, t := range targets {
		instance := instances[t]
		if instance.AdminAddress == "" {
			return nil, "", fmt.Errorf("instance %s on %s has no admin address, so it could not be judged: set mgmt in its configuration, or leave it out", t.Instance, t.Host)
		}
		running[instance.Running]++
		base = instance.Running
		members = append(members, stage.Member{Host: t.Host, Instance: t.Instance, Zone: instance.Labels["zone"], Shop: instance.Labels["shop"], Rate: instance.Rate})
	}
	if len(running) != 1 || running[""] > 0 {
		var counts []string // of the instances that run each release
		for _, release := range slices.Sorted(maps.Keys(running)) {
			counts = append(counts, fmt.Sprintf("%d run %s", running[release], shortHash(release)))
		}
		return nil, "", fmt.Errorf("old and new instances can only be compared if all targets run the same release now, but %s: select with --release, or change all to one release first", strings.Join(counts, ", "))
	}
	return members, base, nil
}

// readClasses reads the classes of requests and their weights from a target's configuration. A
// negative weight counts as 0.
func (r *stagedFlags) readClasses(ctx context.Context, fleet *client.Fleet, target api.Target) error {
	var inspect api.InspectOut
	if err := fleet.Agent(target.Host).Call(ctx, api.Inspect, &api.InstanceIn{Instance: target.Instance}, &inspect); err != nil {
		return err
	}
	var config struct {
		Settings struct {
			Classes []struct {
				Name   string  `json:"name"`
				Weight float64 `json:"worth"`
			} `json:"classes"`
		} `json:"settings"`
	}
	if err := json.Unmarshal([]byte(inspect.Config), &config); err != nil {
		return fmt.Errorf("configuration of %s on %s: %w", target.Instance, target.Host, err)
	}
	for _, class := range config.Settings.Classes {
		r.analysis.Classes = append(r.analysis.Classes, class.Name)
		r.analysis.Weights = append(r.analysis.Weights, max(class.Weight, 0))
	}
	return nil
}

// seedOf derives a seed from an operation's ID.
func seedOf(id string) (seed uint64) {
	const prime = 1099511628211 // of the 64-bit FNV hash
	for _, b := range []byte(id) {
		seed = seed*prime + uint64(b)
	}
	return seed
}

// drawOrder puts the targets into the random order in which the stages take them, and records their
// zones and shops in that order.
func (r *stagedFlags) drawOrder(operation *api.Operation, members []stage.Member) {
	targets := operation.Targets
	operation.Targets = nil
	for _, i := range stage.Draw(members, r.seed) {
		operation.Targets = append(operation.Targets, targets[i])
		operation.Places = append(operation.Places, api.Place{Zone: members[i].Zone, Shop: members[i].Shop})
		r.analysis.Zones = append(r.analysis.Zones, members[i].Zone)
	}
}

// parseLimits parses the flags that limit how many instances change at once, for a number of targets.
func (r *stagedFlags) parseLimits(targets int) (err error) {
	for _, limit := range []struct {
		flag, text  string
		destination *int
	}{
		{"batch", r.batch, &r.policy.Batch},
		{"max-unavailable", r.maxUnavailable, &r.policy.MaxUnavailable},
		{"max-host", r.maxHost, &r.policy.MaxHost},
		{"max-zone", r.maxZone, &r.policy.MaxZone},
		{"max-shop", r.maxShop, &r.policy.MaxShop},
	} {
		if limit.text == "" {
			continue
		}
		if *limit.destination, err = parseCount(limit.text, targets); err != nil {
			return fmt.Errorf("--%s: %w", limit.flag, err)
		}
	}
	r.policy.MaxUnavailable = max(r.policy.MaxUnavailable, r.policy.Batch)
	return nil
}
