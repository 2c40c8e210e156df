// Package settings decodes and checks a deployment's settings, and converts them to a
// martendrum.Config and the limits of a sidecar.
//
// It owns the JSON keys of the settings object (type document) and the checks of their
// values. The sidecar and the simulator's adapter share it. It reads no file and has no
// state of its own.
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

// minDialTimeout is the lowest value that Parse reduces the dial timeout to. The timeout is the
// configured one, but at most a quarter of the shortest latency objective: a failed dial proves
// that nothing ran, so the request can be sent to another server and should arrive there in time.
const minDialTimeout = 30 * time.Millisecond

// Settings are the decoded settings of a deployment. They are not changed once they are in use.
type Settings struct {
	Config    martendrum.Config
	Deadlines []time.Duration // by index of the class: the longest that a client waits

	// The simulator does not use the following fields.
	ConnIdle    time.Duration // idle time after which a server closes a connection
	DialTimeout time.Duration
	DrainGrace  time.Duration // attempts to a draining server must end within it
	MaxInFlight int           // limit of requests in flight
	Rank        int           // number of this sidecar among those of its tier
	Peers       bool          // sidecars may exchange state
	Cluster     string        // identifies the tier

	classes, tenants map[string]int // index by name
	nameByIndex      []string       // name by index of the class; empty: the index is unused
	tenantNames      []string       // name by index of the tenant; empty: the index is unused
}

// Class is one request class of a Settings. A request keeps the Class that was in force when it
// was read.
type Class struct {
	Name    string
	Index   int // index in Config.Classes
	Rules   *martendrum.Class
	MaxWait time.Duration // the longest that a client waits
}

// ExplainJSONError rewords an error of encoding/json for the author of the JSON. A syntax error states its
// offset. A type error names the field by its JSON keys; a Go name gets a lower-case first letter.
func ExplainJSONError(err error) error {
	if syntaxErr, ok := errors.AsType[*json.SyntaxError](err); ok {
		return fmt.Errorf("invalid JSON: %w, at byte %d", err, syntaxErr.Offset)
	}
	typeErr, ok := errors.AsType[*json.UnmarshalTypeError](err)
	if !ok {
		return err
	}
	parts := strings.Split(typeErr.Field, ".")
	for n, part := range parts {
		if part != "" {
			parts[n] = strings.ToLower(part[:1]) + part[1:]
		}
	}
	return fmt.Errorf("JSON field %q can't be a %s; want %s", strings.Join(parts, "."), typeErr.Value, typeErr.Type.Kind())
}

// ClassByName returns the class with the given name, nil if there is none.
func (s *Settings) ClassByName(name string) *Class {
	n, ok := s.classes[name]
	if !ok {
		return nil
	}
	return &Class{Name: name, Index: n, Rules: &s.Config.Classes[n], MaxWait: s.Deadlines[n]}
}

// KeepIndexes gives the classes and tenants that the old settings also have the same indexes as there.
// New ones take the indexes of removed ones or are appended. An unused index keeps its old values,
// and no name refers to it. KeepIndexes must be called before s is used.
func (s *Settings) KeepIndexes(old *Settings) {
	indexes := assignIndexes(old.nameByIndex, s.nameByIndex)
	for n, index := range indexes {
		s.classes[s.nameByIndex[n]] = index
	}
	s.Config.Classes = mergeByIndex(old.Config.Classes, s.Config.Classes, indexes)
	s.Deadlines = mergeByIndex(old.Deadlines, s.Deadlines, indexes)
	s.nameByIndex = mergeByIndex(make([]string, len(old.nameByIndex)), s.nameByIndex, indexes)
	indexes = assignIndexes(old.tenantNames, s.tenantNames)
	for n, index := range indexes {
		s.tenants[s.tenantNames[n]] = index
	}
	s.Config.TenantQuotas = mergeByIndex(old.Config.TenantQuotas, s.Config.TenantQuotas, indexes)
	s.tenantNames = mergeByIndex(make([]string, len(old.tenantNames)), s.tenantNames, indexes)
}

// mergeByIndex returns a copy of old in which next[n] is at indexes[n]. Indexes beyond the end of
// old are appended.
func mergeByIndex[T any](old, next []T, indexes []int) []T {
	merged := slices.Clone(old)
	for n, index := range indexes {
		merged = append(merged, next[n])[:max(len(merged), index+1)]
		merged[index] = next[n]
	}
	return merged
}

// assignIndexes returns the index of each name: the one that it has in old, otherwise the lowest
// unused one.
func assignIndexes(old, names []string) []int {
	indexes, taken := make([]int, len(names)), make([]bool, len(old)+len(names))
	for n, name := range names {
		if indexes[n] = slices.Index(old, name); indexes[n] >= 0 {
			taken[indexes[n]] = true
		}
	}
	for n := range indexes {
		if indexes[n] < 0 {
			indexes[n] = slices.Index(taken, false)
			taken[indexes[n]] = true
		}
	}
	return indexes
}

// document is the settings object in JSON. Unknown keys are ignored.
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

// Parse decodes the settings object and checks its values. Errors name the field by its JSON key.
// Classes and tenants get the indexes of their order in the object.
func Parse(data []byte) (*Settings, error) {
	var doc document
	if err := json.Unmarshal(data, &doc); err != nil {
		return nil, fmt.Errorf("settings: %w", ExplainJSONError(err))
	}
	if len(doc.Classes) == 0 {
		return nil, errors.New("settings: classes must be non-empty")
	}
	s := &Settings{
		Config:      balancerConfig(&doc),
		ConnIdle:    microseconds(doc.Caps.ConnIdleUs),
		DialTimeout: microseconds(doc.Caps.DialTimeoutUs),
		DrainGrace:  microseconds(doc.Guarantees.DrainGraceUs),
		MaxInFlight: doc.Caps.MaxInFlight,
		Rank:        doc.Rank,
		Peers:       doc.Caps.Peers,
		Cluster:     fmt.Sprintf("%s/%d/%s", doc.Family, doc.Tier, strings.Join(doc.Tiers, ",")),
		classes:     make(map[string]int),
		tenants:     make(map[string]int),
	}
	if err := check(&s.Config, &doc); err != nil {
		return nil, err
	}
	for n, c := range doc.Classes {
		if c.Name == "" {
			return nil, fmt.Errorf("settings: classes[%d].name is missing", n)
		}
		if _, twice := s.classes[c.Name]; twice {
			return nil, fmt.Errorf("settings: classes[%d].name: there are two classes named %q", n, c.Name)
		}
		s.classes[c.Name] = n
		s.nameByIndex = append(s.nameByIndex, c.Name)
		s.Deadlines = append(s.Deadlines, microseconds(c.DeadlineUs))
	}
	for _, c := range s.Config.Classes {
		s.DialTimeout = min(s.DialTimeout, max(c.LatencyObjective/4, minDialTimeout))
	}
	for n, t := range doc.Tenants {
		s.tenants[t.Name] = n
		s.tenantNames = append(s.tenantNames, t.Name)
	}
	return s, nil
}

// ClassIndex returns the index of the class with the given name, -1 if there is none.
func (s *Settings) ClassIndex(name []byte) int { return indexOf(s.classes, name) }

// ClassNames returns the names of the classes, sorted.
func (s *Settings) ClassNames() (names []string) {
	for name := range s.classes {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}

// TenantIndex returns the index of the tenant with the given name, -1 if there is none.
func (s *Settings) TenantIndex(name []byte) int { return indexOf(s.tenants, name) }

// indexOf returns the index of a name, -1 if there is none.
func indexOf(indexes map[string]int, name []byte) int {
	if n, ok := indexes[string(name)]; ok {
		return n
	}
	return -1
}

// The valid values of classes[].effect and classes[].dedupScope.
var (
	effects = []string{"repeatable", "by_key", "once"}
	scopes  = []string{"all", "zone", "cell"}
)

// check returns an error that names the first field whose value is out of range.
func check(c *martendrum.Config, doc *document) error {
	var err error
	require := func(ok bool, field, want string) {
		if !ok && err == nil {
			err = fmt.Errorf("settings: %s must be %s", field, want)
		}
	}
	require(c.Instances >= 1, "replicasOfMe", "at least 1")
	require(len(c.Classes) > 0, "classes", "non-empty")
	require(c.MaxAttempts >= 1, "caps.attemptsCap", "at least 1")
	require(c.MaxRetryAfter >= 0, "caps.maxRetryAfterUs", "0 or more")
	require(c.SlowStartInitialFraction >= 0 && c.SlowStartInitialFraction <= 1, "guarantees.coldFrom", "between 0 and 1")
	require(c.SlowStartDuration >= 0, "guarantees.coldUs", "0 or more")
	require(c.OverloadDuration >= 0, "guarantees.overloadForUs", "0 or more")
	require(c.OverloadFactor >= 0, "guarantees.overloadFactor", "0 or more")
	require(c.MaxListAge >= 0, "guarantees.askWithinUs", "0 or more")
	for n, class := range c.Classes {
		raw := &doc.Classes[n]
		prefix := fmt.Sprintf("classes[%d] (%s).", n, raw.Name)
		require(class.LatencyObjective > 0, prefix+"promiseUs", "above 0")
		require(raw.DeadlineUs >= 0, prefix+"hardLimitUs", "0 or more")
		require(slices.Contains(effects, raw.Idempotency), prefix+"effect", "one of "+strings.Join(effects, ", "))
		require(raw.DedupScope == "" || slices.Contains(scopes, raw.DedupScope), prefix+"dedupScope", "one of "+strings.Join(scopes, ", "))
	}
	return err
}

// balancerConfig returns the balancer's configuration of a document.
func balancerConfig(doc *document) martendrum.Config {
	cfg := martendrum.Config{
		Instances:                doc.Instances,
		Zone:                     doc.Zone,
		OverQuotaWeight:          doc.OverQuotaWeight,
		MaxAttempts:              doc.Caps.MaxAttempts,
		AllowCancellation:        doc.Caps.AllowCancellation,
		AllowHedging:             doc.Caps.AllowHedging,
		WastedWorkCost:           doc.Costs.Waste,
		Probes:                   doc.Caps.Probes && doc.Feedback.How == "probe",
		ProbeCost:                doc.Costs.Probe,
		ConnectionCost:           doc.Costs.Connection,
		CrossZoneCost:            doc.Costs.CrossZone,
		SlowStartInitialFraction: doc.Guarantees.SlowStartInitialFraction,
		SlowStartDuration:        microseconds(doc.Guarantees.SlowStartUs),
		OverloadFactor:           doc.Guarantees.OverloadFactor,
		OverloadDuration:         microseconds(doc.Guarantees.OverloadUs),
	}
	if doc.DiscoveryMode == "subscribe" {
		cfg.MaxListAge = microseconds(doc.Guarantees.MaxListAgeUs)
	}
	if doc.Caps.RetryAfter {
		cfg.MaxRetryAfter = microseconds(doc.Caps.MaxRetryAfterUs)
	}
	for _, t := range doc.Tenants {
		cfg.TenantQuotas = append(cfg.TenantQuotas, t.QuotaPerSecond)
	}
	for _, c := range doc.Classes {
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

// microseconds converts a number of microseconds to a duration.
func microseconds(us int64) time.Duration { return time.Duration(us) * time.Microsecond }
