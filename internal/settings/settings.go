// Package settings maps a deployment's settings to the terms of this code.
//
// It owns the JSON keys of the settings object (type document) and the checks of their
// values; the sidecar and the simulator's adapter share it. It reads no file and keeps
// nothing.
package settings

import (
	"encoding/json"
	"errors"
	"fmt"
	"slices"
	"strings"
	"time"

	"martendrum"
)

// minDial is the least timeout of a dial. A dial gets the settings' time, but at most a
// quarter of the shortest latency objective: a dial that fails proves that nothing ran, and
// the request should still be in time at another server.
const minDial = 30 * time.Millisecond

// Settings are a deployment's settings in this code's terms.
type Settings struct {
	Config    martendrum.Config
	Deadlines []time.Duration // by class: how long a client waits at most

	// Only for a host on real sockets.
	ConnIdle    time.Duration // after which a server closes an idle connection
	DialTimeout time.Duration
	DrainGrace  time.Duration // attempts to a draining server must stop within it
	MaxInFlight int           // requests in flight at once
	Rank        int           // this sidecar's number among those of its tier
	Peers       bool          // sidecars may exchange state
	Cluster     string        // names the tier

	classes, tenants map[string]int
	classNames       []string // of classes by place; empty: dropped
	tenantNames      []string // of tenants by place
}

// Class is one class of these settings. A request keeps the one that it was read under.
type Class struct {
	Name  string
	Place int // in the balancer's configuration
	Rules *martendrum.Class
	Wait  time.Duration // how long a client waits at most
}

// Explain rewords an error of encoding/json with the JSON names of the fields.
func Explain(err error) error {
	if syntax, ok := errors.AsType[*json.SyntaxError](err); ok {
		return fmt.Errorf("no whole JSON: %w, at byte %d", err, syntax.Offset)
	}
	kind, ok := errors.AsType[*json.UnmarshalTypeError](err)
	if !ok {
		return err
	}
	parts := strings.Split(kind.Field, ".")
	for n, part := range parts {
		if part != "" {
			parts[n] = strings.ToLower(part[:1]) + part[1:]
		}
	}
	return fmt.Errorf("JSON field %q can't be a %s; want %s", strings.Join(parts, "."), kind.Value, kind.Type.Kind())
}

// ByName returns the class of a name, nil if there is none.
func (s *Settings) ByName(name string) *Class {
	n, ok := s.classes[name]
	if !ok {
		return nil
	}
	return &Class{Name: name, Place: n, Rules: &s.Config.Classes[n], Wait: s.Deadlines[n]}
}

// Follow gives classes and tenants that the old settings had the same places again. New ones
// take the places of dropped ones or are appended. A free place keeps its old values, and no
// name refers to it.
func (s *Settings) Follow(old *Settings) {
	places := follow(old.classNames, s.classNames)
	for n, at := range places {
		s.classes[s.classNames[n]] = at
	}
	s.Config.Classes = placed(old.Config.Classes, s.Config.Classes, places)
	s.Deadlines = placed(old.Deadlines, s.Deadlines, places)
	s.classNames = placed(make([]string, len(old.classNames)), s.classNames, places)
	places = follow(old.tenantNames, s.tenantNames)
	for n, at := range places {
		s.tenants[s.tenantNames[n]] = at
	}
	s.Config.TenantQuotas = placed(old.Config.TenantQuotas, s.Config.TenantQuotas, places)
	s.tenantNames = placed(make([]string, len(old.tenantNames)), s.tenantNames, places)
}

// placed returns old with next's values at their places; places beyond old are appended.
func placed[T any](old, next []T, places []int) []T {
	list := slices.Clone(old)
	for n, at := range places {
		list = append(list, next[n])[:max(len(list), at+1)]
		list[at] = next[n]
	}
	return list
}

// follow returns the place of each name: where it was, else the first free place.
func follow(old, names []string) []int {
	places, taken := make([]int, len(names)), make([]bool, len(old)+len(names))
	for n, name := range names {
		if places[n] = slices.Index(old, name); places[n] >= 0 {
			taken[places[n]] = true
		}
	}
	for n := range places {
		if places[n] < 0 {
			places[n] = slices.Index(taken, false)
			taken[places[n]] = true
		}
	}
	return places
}

// document is the settings object on the wire. Keys without a use here are skipped.
type document struct {
	Caps struct {
		MaxAttempts       int   `json:"attemptsCap"`
		AllowCancellation bool  `json:"mayCancel"`
		AllowHedging      bool  `json:"secondCopies"`
		Probes            bool  `json:"probes"`
		MaxRetryAfterUs   int64 `json:"maxRetryAfterUs"`
		RetryAfter        bool  `json:"retryAfter"`
		ConnIdleUs        int64 `json:"connIdleUs"`
		DialTimeoutUs     int64 `json:"dialTimeoutUs"`
		MaxInFlight       int   `json:"mostHeld"`
		Peers             bool  `json:"peers"`
	} `json:"caps"`
	Classes []struct {
		Name               string  `json:"name"`
		LatencyObjectiveUs int64   `json:"promiseUs"`
		DeadlineUs         int64   `json:"hardLimitUs"`
		Idempotency        string  `json:"effect"`
		DedupScope         string  `json:"dedupScope"`
		LateWeight         float64 `json:"lateValue"`
		DedupWindowUs      int64   `json:"repeatWindowUs"`
		Weight             float64 `json:"worth"`
	} `json:"classes"`
	Costs struct {
		Connection float64 `json:"connection"`
		CrossZone  float64 `json:"crossZone"`
		Probe      float64 `json:"probe"`
		Waste      float64 `json:"waste"`
	} `json:"costs"`
	Feedback struct {
		How string `json:"how"`
	} `json:"feedback"`
	Guarantees struct {
		MaxListAgeUs             int64   `json:"askWithinUs"`
		SlowStartInitialFraction float64 `json:"coldFrom"`
		SlowStartUs              int64   `json:"coldUs"`
		DrainGraceUs             int64   `json:"drainGraceUs"`
		OverloadFactor           float64 `json:"overloadFactor"`
		OverloadUs               int64   `json:"overloadForUs"`
	} `json:"guarantees"`
	OverQuotaWeight float64 `json:"overShareWorth"`
	Tenants         []struct {
		Name           string  `json:"name"`
		QuotaPerSecond float64 `json:"allowancePerS"`
	} `json:"tenants"`
	DiscoveryMode string   `json:"registryMode"`
	Instances     int      `json:"replicasOfMe"`
	Rank          int      `json:"rank"`
	Family        string   `json:"family"`
	Tier          int      `json:"tier"`
	Tiers         []string `json:"tiers"`
	Zone          string   `json:"zone"`
}

// Parse decodes and checks the settings object. Errors name the field by its JSON key.
func Parse(data []byte) (*Settings, error) {
	var e document
	if err := json.Unmarshal(data, &e); err != nil {
		return nil, fmt.Errorf("settings: %w", Explain(err))
	}
	if len(e.Classes) == 0 {
		return nil, errors.New("settings: classes must be non-empty")
	}
	s := &Settings{
		Config:      balancerConfig(&e),
		ConnIdle:    microseconds(e.Caps.ConnIdleUs),
		DialTimeout: microseconds(e.Caps.DialTimeoutUs),
		DrainGrace:  microseconds(e.Guarantees.DrainGraceUs),
		MaxInFlight: e.Caps.MaxInFlight,
		Rank:        e.Rank,
		Peers:       e.Caps.Peers,
		Cluster:     fmt.Sprintf("%s/%d/%s", e.Family, e.Tier, strings.Join(e.Tiers, ",")),
		classes:     make(map[string]int),
		tenants:     make(map[string]int),
	}
	if err := check(&s.Config, &e); err != nil {
		return nil, err
	}
	for n, c := range e.Classes {
		if c.Name == "" {
			return nil, fmt.Errorf("settings: classes[%d].name is missing", n)
		}
		if _, twice := s.classes[c.Name]; twice {
			return nil, fmt.Errorf("settings: classes[%d].name: there are two classes %q", n, c.Name)
		}
		s.classes[c.Name] = n
		s.classNames = append(s.classNames, c.Name)
		s.Deadlines = append(s.Deadlines, microseconds(c.DeadlineUs))
	}
	for _, c := range s.Config.Classes {
		s.DialTimeout = min(s.DialTimeout, max(c.LatencyObjective/4, minDial))
	}
	for n, t := range e.Tenants {
		s.tenants[t.Name] = n
		s.tenantNames = append(s.tenantNames, t.Name)
	}
	return s, nil
}

// Class returns the place of a class, -1 if there is none of that name.
func (s *Settings) Class(name []byte) int { return index(s.classes, name) }

// Names returns the names of the classes, sorted.
func (s *Settings) Names() (names []string) {
	for name := range s.classes {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}

// Tenant returns the place of a tenant, -1 if there is none of that name.
func (s *Settings) Tenant(name []byte) int { return index(s.tenants, name) }

func index(places map[string]int, name []byte) int {
	if n, ok := places[string(name)]; ok {
		return n
	}
	return -1
}

// The values of classes[].effect and classes[].dedupScope.
var (
	effects = []string{"repeatable", "by_key", "once"}
	scopes  = []string{"all", "zone", "cell"}
)

// check returns an error that names the first field out of its range.
func check(c *martendrum.Config, e *document) error {
	var err error
	need := func(ok bool, field, want string) {
		if !ok && err == nil {
			err = fmt.Errorf("settings: %s must be %s", field, want)
		}
	}
	need(c.Instances >= 1, "replicasOfMe", "at least 1")
	need(len(c.Classes) > 0, "classes", "non-empty")
	need(c.MaxAttempts >= 1, "caps.attemptsCap", "at least 1")
	need(c.MaxRetryAfter >= 0, "caps.maxRetryAfterUs", "0 or more")
	need(c.SlowStartInitialFraction >= 0 && c.SlowStartInitialFraction <= 1, "guarantees.coldFrom", "within 0 and 1")
	need(c.SlowStartDuration >= 0, "guarantees.coldUs", "0 or more")
	need(c.OverloadDuration >= 0, "guarantees.overloadForUs", "0 or more")
	need(c.OverloadFactor >= 0, "guarantees.overloadFactor", "0 or more")
	need(c.MaxListAge >= 0, "guarantees.askWithinUs", "0 or more")
	for n, k := range c.Classes {
		raw := &e.Classes[n]
		at := fmt.Sprintf("classes[%d] (%s).", n, raw.Name)
		need(k.LatencyObjective > 0, at+"promiseUs", "above 0")
		need(raw.DeadlineUs >= 0, at+"hardLimitUs", "0 or more")
		need(slices.Contains(effects, raw.Idempotency), at+"effect", "one of "+strings.Join(effects, ", "))
		need(raw.DedupScope == "" || slices.Contains(scopes, raw.DedupScope), at+"dedupScope", "one of "+strings.Join(scopes, ", "))
	}
	return err
}

// balancerConfig maps the document to the decision module's configuration.
func balancerConfig(e *document) martendrum.Config {
	cfg := martendrum.Config{
		Instances:                e.Instances,
		Zone:                     e.Zone,
		OverQuotaWeight:          e.OverQuotaWeight,
		MaxAttempts:              e.Caps.MaxAttempts,
		AllowCancellation:        e.Caps.AllowCancellation,
		AllowHedging:             e.Caps.AllowHedging,
		WastedWorkCost:           e.Costs.Waste,
		Probes:                   e.Caps.Probes && e.Feedback.How == "probe",
		ProbeCost:                e.Costs.Probe,
		ConnectionCost:           e.Costs.Connection,
		CrossZoneCost:            e.Costs.CrossZone,
		SlowStartInitialFraction: e.Guarantees.SlowStartInitialFraction,
		SlowStartDuration:        microseconds(e.Guarantees.SlowStartUs),
		OverloadFactor:           e.Guarantees.OverloadFactor,
		OverloadDuration:         microseconds(e.Guarantees.OverloadUs),
	}
	if e.DiscoveryMode == "subscribe" {
		cfg.MaxListAge = microseconds(e.Guarantees.MaxListAgeUs)
	}
	if e.Caps.RetryAfter {
		cfg.MaxRetryAfter = microseconds(e.Caps.MaxRetryAfterUs)
	}
	for _, t := range e.Tenants {
		cfg.TenantQuotas = append(cfg.TenantQuotas, t.QuotaPerSecond)
	}
	for _, c := range e.Classes {
		class := martendrum.Class{
			LatencyObjective: microseconds(c.LatencyObjectiveUs),
			LateWeight:       c.LateWeight,
			Weight:           c.Weight,
			DedupWindow:      microseconds(c.DedupWindowUs),
		}
		switch c.Idempotency {
		case "by_key":
			class.Idempotency = martendrum.IdempotencyKeyed
		case "once":
			class.Idempotency = martendrum.NonIdempotent
		}
		switch c.DedupScope {
		case "zone":
			class.DedupScope = martendrum.DedupScopeZone
		case "cell":
			class.DedupScope = martendrum.DedupScopeGroup
		}
		cfg.Classes = append(cfg.Classes, class)
	}
	return cfg
}

func microseconds(us int64) time.Duration { return time.Duration(us) * time.Microsecond }
