package main

import (
	"crypto/sha256"
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"net"
	"os"
	"slices"
	"strconv"
	"strings"

	"martendrum/internal/discovery"
	"martendrum/internal/settings"
)

// config is what a sidecar is told at its start.
type config struct {
	listen, discovery string
	mgmt              string // address of the admin endpoint; empty: none
	seed              uint64
	cores             float64
	memoryMB, sockets int
	known             *discovery.List // nil: none
	settings          *settings.Settings
	asks              bool // discovery must be asked
	pace              discovery.Pace
	record            *recordConfig // of the store of record; nil: off
	fleet             fleetConfig   // what it does together with others
	sum               string        // of the file
	keys              any           // those that the file has, as a tree
}

// spare are keys of the file that may come and go.
var spare = map[string]bool{"known": true, "peers": true, "peers_all": true, "peer_listen": true, "mgmt": true, "name": true}

// missing names the first key that the file in force has and next lacks, empty if
// there is none. A class lacks what every class of the file in force has. Guards
// against a file that was written in part: what it leaves out would fall to nought
// unseen. It may do harm to one that leaves a key out on purpose, which must then say
// null or start a new process.
func missing(at string, old, next any) string {
	switch o := old.(type) {
	case map[string]any:
		n, _ := next.(map[string]any)
		for _, key := range slices.Sorted(maps.Keys(o)) {
			if at == "" && spare[key] {
				continue
			}
			value, ok := n[key]
			if !ok {
				return strings.TrimPrefix(at+"."+key, ".")
			}
			if m := missing(at+"."+key, o[key], value); m != "" {
				return m
			}
		}
	case []any:
		common := shared(o)
		n, _ := next.([]any)
		for i, value := range n {
			if m := missing(fmt.Sprintf("%s[%d]", at, i), common, value); m != "" && len(common) > 0 {
				return m
			}
		}
	}
	return ""
}

// shared is the keys that all objects of a list have; empty where it holds others.
func shared(list []any) map[string]any {
	var common map[string]any
	for _, v := range list {
		o, ok := v.(map[string]any)
		if !ok {
			return nil
		}
		if common == nil {
			common = maps.Clone(o)
		}
		maps.DeleteFunc(common, func(key string, _ any) bool { _, ok := o[key]; return !ok })
	}
	for key := range common {
		common[key] = nil
	}
	return common
}

// reload reads the file again. The environment is as it was at the start, so that
// the file alone can tell where discovery has moved.
func reload(getenv func(string) string, force *config) (*config, error) {
	c, err := load(func(name string) string {
		if name == "BALANCER_DISCOVERY" {
			return ""
		}
		return getenv(name)
	})
	if err != nil {
		return nil, err
	}
	if m := missing("", force.keys, c.keys); m != "" {
		return nil, fmt.Errorf("config: %s is missing; the file in force has it", m)
	}
	return c, nil
}

// Less than this and nothing could be served.
const (
	memoryLeast  = 32
	socketsLeast = 32
)

// load reads the configuration from the environment and the file it names.
// Errors name the field.
func load(getenv func(string) string) (*config, error) {
	path := getenv("BALANCER_CONFIG")
	if path == "" {
		return nil, errors.New("BALANCER_CONFIG is not set")
	}
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("BALANCER_CONFIG: %w", err)
	}
	var raw struct {
		Listen, Discovery string
		PeerListen        string `json:"peer_listen"`
		Peers             []string
		Mgmt              string
		Seed              string
		Limits            struct {
			Cores    float64
			MemoryMB float64 `json:"memory_mb"`
			Sockets  float64
		}
		Known    json.RawMessage
		Settings json.RawMessage
	}
	if err := json.Unmarshal(data, &raw); err != nil {
		return nil, fmt.Errorf("BALANCER_CONFIG: %w", settings.Explain(err))
	}
	var keys map[string]any
	if err := json.Unmarshal(data, &keys); err != nil {
		return nil, fmt.Errorf("BALANCER_CONFIG: %w", err)
	}
	delete(keys, "known") // it may be long
	c := &config{
		keys:      keys,
		listen:    raw.Listen,
		discovery: raw.Discovery,
		mgmt:      raw.Mgmt,
		cores:     raw.Limits.Cores,
		memoryMB:  int(raw.Limits.MemoryMB),
		sockets:   int(raw.Limits.Sockets),
		sum:       fmt.Sprintf("%x", sha256.Sum256(data)),
	}
	if v := getenv("BALANCER_LISTEN"); v != "" {
		c.listen = v
	}
	if v := getenv("BALANCER_DISCOVERY"); v != "" {
		c.discovery = v
	}
	if v := getenv("BALANCER_MGMT"); v != "" {
		c.mgmt = v
	}
	for _, f := range []struct{ name, addr string }{{"listen", c.listen}, {"discovery", c.discovery}, {"mgmt", c.mgmt}} {
		if f.name == "mgmt" && f.addr == "" {
			continue
		}
		if _, _, err := net.SplitHostPort(f.addr); err != nil {
			return nil, fmt.Errorf("config: %s: %w", f.name, err)
		}
	}
	if c.seed, err = strconv.ParseUint(raw.Seed, 16, 64); err != nil {
		return nil, fmt.Errorf("config: seed: %w", err)
	}
	switch {
	case !(c.cores > 0):
		return nil, errors.New("config: limits.cores must be above 0")
	case c.memoryMB < memoryLeast:
		return nil, fmt.Errorf("config: limits.memory_mb must be at least %d", memoryLeast)
	case c.sockets < socketsLeast:
		return nil, fmt.Errorf("config: limits.sockets must be at least %d", socketsLeast)
	case len(raw.Settings) == 0:
		return nil, errors.New("config: settings is missing")
	}
	if len(raw.Known) > 0 && string(raw.Known) != "null" {
		if c.known, err = discovery.Parse(raw.Known); err != nil {
			return nil, fmt.Errorf("config: known: %w", err)
		}
	}
	if c.settings, err = settings.Parse(raw.Settings); err != nil {
		return nil, fmt.Errorf("config: %w", err)
	}
	s := c.settings
	for n, d := range s.Deadlines {
		if d <= 0 {
			return nil, fmt.Errorf("config: settings.classes[%d].hardLimitUs must be above 0", n)
		}
	}
	switch {
	case s.DialTimeout <= 0:
		return nil, errors.New("config: settings.caps.dialTimeoutUs must be above 0")
	case s.ConnIdle <= 0:
		return nil, errors.New("config: settings.caps.connIdleUs must be above 0")
	case s.MostHeld < 0:
		return nil, errors.New("config: settings.caps.mostHeld must be 0 or more")
	case s.DrainGrace < 0:
		return nil, errors.New("config: settings.guarantees.drainGraceUs must be 0 or more")
	}
	c.pace = discovery.Pushed(s.DrainGrace)
	if c.asks = s.Config.AskWithin > 0; c.asks {
		c.pace = discovery.Asked()
		// The first call comes within four fifths of AskWithin.
		s.Config.AskWithin = min(s.Config.AskWithin, c.pace.First*5/4)
		s.Config.AskAgain = c.pace.Back
	}
	if path := getenv("MARTENDRUM_RECORD"); path != "" {
		if c.record, err = loadRecord(path, s, (c.sockets-spareSockets)/4); err != nil {
			return nil, fmt.Errorf("MARTENDRUM_RECORD: %w", err)
		}
	}
	if c.fleet, err = loadFleet(getenv("MARTENDRUM_FLEET"), s, raw.PeerListen, raw.Peers); err != nil {
		return nil, err
	}
	if c.fleet.keep = getenv("MARTENDRUM_CHECKPOINT"); c.fleet.keep != "" && !c.fleet.comeBack {
		return nil, &FleetError{"MARTENDRUM_CHECKPOINT is set, and nothing reads it", "add " + wordReturn + " to MARTENDRUM_FLEET, or unset the file"}
	}
	return c, nil
}
