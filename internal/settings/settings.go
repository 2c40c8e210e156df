// Package settings reads the settings of a deployment into what the balancer
// and its hosts need of them, so that all hosts share one mapping.
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

// minDial is what a dial is given at least. It may take the settings' time, but a
// quarter of the shortest aim at most: one that fails proves that nothing ran, and
// the request should still be in time elsewhere.
const minDial = 30 * time.Millisecond

// Settings is what a deployment's settings say.
type Settings struct {
	Config    martendrum.Config
	Deadlines []time.Duration // by class: how long a client waits at most

	// What only a host on real sockets needs.
	ConnIdle    time.Duration // a server closes a connection that has been idle for so long
	DialTimeout time.Duration
	DrainGrace  time.Duration // sends to a server that drains must stop within it
	MaxInFlight int           // requests held at once
	Rank        int           // this sidecar's number among those of its tier
	Peers       bool          // sidecars may tell each other
	Cluster     string        // names the tier

	classes, tenants map[string]int
	names            []string // of classes by place; empty: dropped
	owners           []string // of tenants by place
}

// Class is one class as these settings have it. A request holds the one that it was
// read under to its end.
type Class struct {
	Name  string
	Place int // in the balancer's configuration
	Rules *martendrum.Class
	Wait  time.Duration // how long a client waits at most
}

// Explain words an error of reading JSON by the fields' own names.
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

// ByName is the class of a name, nil if there is none.
func (s *Settings) ByName(name string) *Class {
	n, ok := s.classes[name]
	if !ok {
		return nil
	}
	return &Class{Name: name, Place: n, Rules: &s.Config.Classes[n], Wait: s.Deadlines[n]}
}

// Follow gives the classes and tenants that were there before their old places. New
// ones take the places of dropped ones, or come behind; a place that is free keeps what
// stood there, and no name leads to it.
func (s *Settings) Follow(old *Settings) {
	places := follow(old.names, s.names)
	for n, at := range places {
		s.classes[s.names[n]] = at
	}
	s.Config.Classes = placed(old.Config.Classes, s.Config.Classes, places)
	s.Deadlines = placed(old.Deadlines, s.Deadlines, places)
	s.names = placed(make([]string, len(old.names)), s.names, places)
	places = follow(old.owners, s.owners)
	for n, at := range places {
		s.tenants[s.owners[n]] = at
	}
	s.Config.TenantQuotas = placed(old.Config.TenantQuotas, s.Config.TenantQuotas, places)
	s.owners = placed(make([]string, len(old.owners)), s.owners, places)
}

// placed is old with next's values at their places, the last of which come behind it.
func placed[T any](old, next []T, places []int) []T {
	list := slices.Clone(old)
	for n, at := range places {
		list = append(list, next[n])[:max(len(list), at+1)]
		list[at] = next[n]
	}
	return list
}

// follow places names: each where it was, else on a place of none, the first first.
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

// env is the settings object; keys that have no use here are skipped.
type env struct {
	Caps struct {
		AttemptsCap     int   `json:"attemptsCap"`
		MayCancel       bool  `json:"mayCancel"`
		AllowHedging    bool  `json:"secondCopies"`
		Probes          bool  `json:"probes"`
		MaxRetryAfterUs int64 `json:"maxRetryAfterUs"`
		RetryAfter      bool  `json:"retryAfter"`
		ConnIdleUs      int64 `json:"connIdleUs"`
		DialTimeoutUs   int64 `json:"dialTimeoutUs"`
		MaxInFlight     int   `json:"mostHeld"`
		Peers           bool  `json:"peers"`
	} `json:"caps"`
	Classes []struct {
		Name           string  `json:"name"`
		PromiseUs      int64   `json:"promiseUs"`
		HardLimitUs    int64   `json:"hardLimitUs"`
		Effect         string  `json:"effect"`
		DedupScope     string  `json:"dedupScope"`
		LateValue      float64 `json:"lateValue"`
		RepeatWindowUs int64   `json:"repeatWindowUs"`
		Worth          float64 `json:"worth"`
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
		AskWithinUs    int64   `json:"askWithinUs"`
		ColdFrom       float64 `json:"coldFrom"`
		ColdUs         int64   `json:"coldUs"`
		DrainGraceUs   int64   `json:"drainGraceUs"`
		OverloadFactor float64 `json:"overloadFactor"`
		OverloadForUs  int64   `json:"overloadForUs"`
	} `json:"guarantees"`
	OverQuotaWeight float64 `json:"overShareWorth"`
	Tenants         []struct {
		Name          string  `json:"name"`
		AllowancePerS float64 `json:"allowancePerS"`
	} `json:"tenants"`
	RegistryMode string   `json:"registryMode"`
	ReplicasOfMe int      `json:"replicasOfMe"`
	Rank         int      `json:"rank"`
	Family       string   `json:"family"`
	Tier         int      `json:"tier"`
	Tiers        []string `json:"tiers"`
	Zone         string   `json:"zone"`
}

// Parse reads the settings object.
func Parse(data []byte) (*Settings, error) {
	var e env
	if err := json.Unmarshal(data, &e); err != nil {
		return nil, fmt.Errorf("settings: %w", Explain(err))
	}
	if len(e.Classes) == 0 {
		return nil, errors.New("settings: classes must be non-empty")
	}
	s := &Settings{
		Config:      config(&e),
		ConnIdle:    micros(e.Caps.ConnIdleUs),
		DialTimeout: micros(e.Caps.DialTimeoutUs),
		DrainGrace:  micros(e.Guarantees.DrainGraceUs),
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
		s.names = append(s.names, c.Name)
		s.Deadlines = append(s.Deadlines, micros(c.HardLimitUs))
	}
	for _, c := range s.Config.Classes {
		s.DialTimeout = min(s.DialTimeout, max(c.LatencyObjective/4, minDial))
	}
	for n, t := range e.Tenants {
		s.tenants[t.Name] = n
		s.owners = append(s.owners, t.Name)
	}
	return s, nil
}

// Class is the place of a class, -1 if there is none of that name.
func (s *Settings) Class(name []byte) int { return index(s.classes, name) }

// Names are those of the classes.
func (s *Settings) Names() (names []string) {
	for name := range s.classes {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}

// Tenant is the place of a tenant, -1 if there is none of that name.
func (s *Settings) Tenant(name []byte) int { return index(s.tenants, name) }

func index(places map[string]int, name []byte) int {
	if n, ok := places[string(name)]; ok {
		return n
	}
	return -1
}

// The words of the settings for what repeating a request does, and who drops repeats.
var (
	effects = []string{"repeatable", "by_key", "once"}
	scopes  = []string{"all", "zone", "cell"}
)

// check names the first field that is out of its range.
func check(c *martendrum.Config, e *env) error {
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
		need(raw.HardLimitUs >= 0, at+"hardLimitUs", "0 or more")
		need(slices.Contains(effects, raw.Effect), at+"effect", "one of "+strings.Join(effects, ", "))
		need(raw.DedupScope == "" || slices.Contains(scopes, raw.DedupScope), at+"dedupScope", "one of "+strings.Join(scopes, ", "))
	}
	return err
}

func config(e *env) martendrum.Config {
	cfg := martendrum.Config{
		Instances:                e.ReplicasOfMe,
		Zone:                     e.Zone,
		OverQuotaWeight:          e.OverQuotaWeight,
		MaxAttempts:              e.Caps.AttemptsCap,
		AllowCancellation:        e.Caps.MayCancel,
		AllowHedging:             e.Caps.AllowHedging,
		WastedWorkCost:           e.Costs.Waste,
		Probes:                   e.Caps.Probes && e.Feedback.How == "probe",
		ProbeCost:                e.Costs.Probe,
		ConnectionCost:           e.Costs.Connection,
		CrossZoneCost:            e.Costs.CrossZone,
		SlowStartInitialFraction: e.Guarantees.ColdFrom,
		SlowStartDuration:        micros(e.Guarantees.ColdUs),
		OverloadFactor:           e.Guarantees.OverloadFactor,
		OverloadDuration:         micros(e.Guarantees.OverloadForUs),
	}
	if e.RegistryMode == "subscribe" {
		cfg.MaxListAge = micros(e.Guarantees.AskWithinUs)
	}
	if e.Caps.RetryAfter {
		cfg.MaxRetryAfter = micros(e.Caps.MaxRetryAfterUs)
	}
	for _, t := range e.Tenants {
		cfg.TenantQuotas = append(cfg.TenantQuotas, t.AllowancePerS)
	}
	for _, c := range e.Classes {
		class := martendrum.Class{
			LatencyObjective: micros(c.PromiseUs),
			LateWeight:       c.LateValue,
			Weight:           c.Worth,
			DedupWindow:      micros(c.RepeatWindowUs),
		}
		switch c.Effect {
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

func micros(us int64) time.Duration { return time.Duration(us) * time.Microsecond }
