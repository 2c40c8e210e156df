package agent

import (
	"cmp"
	"encoding/json"
	"fmt"
	"net"
	"os"
	"regexp"
	"strings"
	"time"

	"martendrum/internal/fleet/api"
	"martendrum/internal/fleet/distribution"
	"martendrum/internal/fleet/host/supervisor"
	"martendrum/internal/quantity"
)

// Config is an agent's file; see deploy/agent.toml. Relative paths in it are
// relative to its folder.
type Config struct {
	Name     string `toml:"name"`
	StateDir string `toml:"state_dir"`
	Listen   struct {
		Unix      string `toml:"unix"`
		TLS       string `toml:"tls"`
		Plain     string `toml:"plain"`
		PlainRole string `toml:"plain_role"`
	} `toml:"listen"`
	TLS struct {
		CA   string `toml:"ca"`
		Cert string `toml:"cert"`
		Key  string `toml:"key"`
	} `toml:"tls"`
	Record struct {
		Store        string            `toml:"store"`
		URL          string            `toml:"url"`
		PasswordFile string            `toml:"password_file"`
		CA           string            `toml:"ca"`
		Statement    quantity.Duration `toml:"statement"`
		Connect      quantity.Duration `toml:"connect"`
	} `toml:"record"`
	Sidecar struct {
		Binary  string `toml:"binary"`
		Overlay string `toml:"overlay"`
		// HandOver lets an upgrade start the new process beside the old one.
		HandOver bool `toml:"hand_over"`
		// Fleet is what sidecars do together, the words of MARTENDRUM_FLEET.
		Fleet string `toml:"fleet"`
	} `toml:"sidecar"`
	// Recovery is how instances come back after the host lost its power.
	Recovery struct {
		MinWave     quantity.Duration `toml:"wave_least"`
		WaveLongest quantity.Duration `toml:"wave_longest"`
		MaxWave     int               `toml:"wave_most"` // instances in a wave; 0: no bound
		Shop        string            `toml:"shop"`      // names of labels
		Zone        string            `toml:"zone"`
		// Checkpoint has each sidecar keep what it learns in a file in state_dir.
		Checkpoint bool `toml:"checkpoint"`
	} `toml:"recovery"`
	// Metrics are taken of each instance that has a door, at the multiples of Slot.
	Metrics struct {
		Slot      quantity.Duration `toml:"slot"` // 0: never
		Retention quantity.Duration `toml:"keep"`
	} `toml:"figures"`
	Distribution Distribution `toml:"distribution"`
	// Relay, where set, makes the agent one of the machines that serve settings.
	Relay  *RelayConfig `toml:"relay"`
	Limits struct {
		KillAfter      quantity.Duration `toml:"kill_after"`
		HealthInterval quantity.Duration `toml:"health_each"`
		BackoffMin     quantity.Duration `toml:"backoff_min"`
		BackoffMax     quantity.Duration `toml:"backoff_max"`
		MaxCrash       int               `toml:"crash_most"`
		CrashWithin    quantity.Duration `toml:"crash_within"`
		Log            quantity.Bytes    `toml:"log"`
		Record         quantity.Bytes    `toml:"record"`
		Operations     int               `toml:"operations"`
		Audit          int               `toml:"audit"`
		Releases       int               `toml:"releases"`
	} `toml:"limits"`
	Instances []InstanceConfig `toml:"instance"`
}

// Distribution is how settings reach the host; see package distribution. Without relays
// there is none.
type Distribution struct {
	// Subscribe lets the host's instances follow the relays.
	Subscribe bool                 `toml:"subscribe"`
	Region    string               `toml:"region"` // of this host, as the relays' entries name them
	Zone      string               `toml:"zone"`
	Coalesce  quantity.Duration    `toml:"coalesce"` // changes within it are applied together
	Writer    string               `toml:"writer"`   // the relay that writes until an operator promotes another
	Relays    []distribution.Relay `toml:"relay"`
}

// RelayConfig bounds what a relay serves.
type RelayConfig struct {
	Subscribers int `toml:"subscribers"`
	Resources   int `toml:"resources"`
	History     int `toml:"history"` // changes
}

// maxSubscribers is how many subscribers one relay may have: each costs a descriptor.
const maxSubscribers = 16000

// InstanceConfig is one sidecar of the host.
type InstanceConfig struct {
	Name   string            `toml:"name"`
	Config string            `toml:"config"` // the sidecar's configuration, JSON, as BALANCER_CONFIG names it
	Record string            `toml:"record"` // its store of record's file; "": none
	Labels map[string]string `toml:"labels"`
	Stop   bool              `toml:"stopped"` // at first; later the record tells

	listen        string
	adminAddress  string // of operators, "" for none
	memoryLimitMB int    // its limit, MiB
}

// Where an agent's record may be kept.
const (
	SQLite   = "sqlite" // a file in state_dir
	Postgres = "postgres"
)

// maxRetainedSlots is how many slots' figures are kept at most.
const maxRetainedSlots = 2000

// MaxInstances is how many sidecars one agent looks after.
const MaxInstances = 256

var nameForm = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._-]{0,62}$`)

// LoadConfig reads and checks a whole file. Errors name the file and the place.
func LoadConfig(path string) (*Config, error) {
	c := &Config{}
	l := &c.Limits
	l.KillAfter, l.HealthInterval = quantity.Duration(5*time.Second), quantity.Duration(time.Second)
	l.BackoffMin, l.BackoffMax = quantity.Duration(500*time.Millisecond), quantity.Duration(30*time.Second)
	l.MaxCrash, l.CrashWithin = 5, quantity.Duration(time.Minute)
	l.Log, l.Record = 8<<20, 64<<20
	l.Operations, l.Audit, l.Releases = 100, 10000, 3
	c.Metrics.Slot, c.Metrics.Retention = quantity.Duration(10*time.Second), quantity.Duration(time.Hour)
	c.Listen.PlainRole, c.Sidecar.HandOver = api.View, true
	c.Record.Store, c.Record.Statement, c.Record.Connect = SQLite, quantity.Duration(2*time.Second), quantity.Duration(2*time.Second)
	c.Recovery.MinWave, c.Recovery.WaveLongest = quantity.Duration(300*time.Millisecond), quantity.Duration(10*time.Second)
	c.Recovery.Shop, c.Recovery.Zone = "shop", "zone"
	c.Distribution.Coalesce = quantity.Duration(time.Second)
	if err := quantity.Load(path, c); err != nil {
		return nil, err
	}
	paths := []*string{&c.StateDir, &c.Listen.Unix, &c.TLS.CA, &c.TLS.Cert, &c.TLS.Key, &c.Sidecar.Binary, &c.Sidecar.Overlay, &c.Record.PasswordFile, &c.Record.CA}
	for n := range c.Instances {
		paths = append(paths, &c.Instances[n].Config, &c.Instances[n].Record)
	}
	if err := quantity.ResolvePaths(path, paths...); err != nil {
		return nil, err
	}
	if c.Relay != nil {
		c.Relay.fill()
	}
	if err := c.check(); err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	return c, nil
}

// fill sets what a [relay] section leaves out.
func (c *RelayConfig) fill() {
	limits := distribution.DefaultLimits()
	c.Subscribers = cmp.Or(c.Subscribers, 4000)
	c.Resources = cmp.Or(c.Resources, limits.Resources)
	c.History = cmp.Or(c.History, limits.History)
}

// checkDistribution says what is wrong with the sections [distribution] and [relay].
func (c *Config) checkDistribution() error {
	d := &c.Distribution
	names := make(map[string]bool)
	for n, relay := range d.Relays {
		kind, rest, _ := strings.Cut(relay.Address, ":")
		switch {
		case !nameForm.MatchString(relay.Name) || names[relay.Name]:
			return fmt.Errorf("distribution.relay %d: its name %q is missing or there twice", n+1, relay.Name)
		case rest == "" || kind != "tls" && kind != "tcp" && kind != "unix":
			return fmt.Errorf("distribution.relay %s: address %q; want tls:HOST:PORT, unix:PATH or tcp:HOST:PORT", relay.Name, relay.Address)
		case kind == "tls" && (c.TLS.CA == "" || c.TLS.Cert == "" || c.TLS.Key == ""):
			return fmt.Errorf("distribution.relay %s: tls.ca, tls.cert and tls.key are needed for it; `martendrum ca` makes them", relay.Name)
		}
		names[relay.Name] = true
	}
	switch {
	case d.Coalesce < 0 || d.Coalesce > quantity.Duration(10*time.Second):
		return fmt.Errorf("distribution.coalesce: %v; want 0s to 10s", time.Duration(d.Coalesce))
	case d.Subscribe && len(d.Relays) == 0:
		return fmt.Errorf("distribution.subscribe: no [[distribution.relay]] is there to ask")
	case len(d.Relays) > 0 && !names[d.Writer]:
		return fmt.Errorf("distribution.writer: %q is none of the relays", d.Writer)
	case c.Relay == nil:
		return nil
	case !names[c.Name]:
		return fmt.Errorf("relay: this agent, %s, is none of [[distribution.relay]]", c.Name)
	case c.Relay.Subscribers < 1 || c.Relay.Subscribers > maxSubscribers:
		return fmt.Errorf("relay.subscribers: %d; want 1 to %d", c.Relay.Subscribers, maxSubscribers)
	case c.Relay.Resources < 1 || c.Relay.History < 1:
		return fmt.Errorf("relay.resources and relay.history must be 1 at least")
	}
	return nil
}

func (c *Config) check() error {
	l := &c.Limits
	switch {
	case !nameForm.MatchString(c.Name):
		return fmt.Errorf("name: %q; want letters, digits, '.', '_' or '-', 63 at most", c.Name)
	case c.StateDir == "":
		return fmt.Errorf("state_dir is missing: a folder that outlives restarts")
	case c.Record.Store != SQLite && c.Record.Store != Postgres:
		return fmt.Errorf("record.store: %q; want %q or %q", c.Record.Store, SQLite, Postgres)
	case c.Record.Store == Postgres && c.Record.URL == "":
		return fmt.Errorf("record.url is missing, as in \"postgres://user@host/database\"")
	case c.Record.Store == SQLite && (c.Record.URL != "" || c.Record.PasswordFile != "" || c.Record.CA != ""):
		return fmt.Errorf("record: url, password_file and ca go with store = %q", Postgres)
	case c.Record.Statement <= 0 || c.Record.Connect <= 0:
		return fmt.Errorf("record.statement and record.connect must be above 0")
	case c.Sidecar.Binary == "":
		return fmt.Errorf("sidecar.binary is missing: the program that instances begin with")
	case c.Listen.Unix == "" && c.Listen.TLS == "" && c.Listen.Plain == "":
		return fmt.Errorf("listen: none of unix, tls and plain is set, so nobody could ask")
	case c.Listen.TLS != "" && (c.TLS.CA == "" || c.TLS.Cert == "" || c.TLS.Key == ""):
		return fmt.Errorf("tls: ca, cert and key are needed for listen.tls; `martendrum ca` makes them")
	case c.Listen.PlainRole != api.View && c.Listen.PlainRole != api.Operate:
		return fmt.Errorf("listen.plain_role: %q; want %q or %q", c.Listen.PlainRole, api.View, api.Operate)
	case time.Duration(l.KillAfter) < supervisor.MinKillDelay:
		return fmt.Errorf("limits.kill_after: %v; a sidecar may need %v from SIGTERM to its last answer", time.Duration(l.KillAfter), supervisor.MinKillDelay)
	case l.HealthInterval < quantity.Duration(50*time.Millisecond):
		return fmt.Errorf("limits.health_each: %v; 50ms at least", time.Duration(l.HealthInterval))
	case l.BackoffMin <= 0 || l.BackoffMax < l.BackoffMin:
		return fmt.Errorf("limits.backoff_min and backoff_max: %v and %v; want 0 < min <= max", time.Duration(l.BackoffMin), time.Duration(l.BackoffMax))
	case l.MaxCrash < 1 || l.CrashWithin <= 0:
		return fmt.Errorf("limits.crash_most and crash_within must be above 0")
	case l.Log < 64<<10:
		return fmt.Errorf("limits.log: 64KiB at least")
	case l.Operations < 1 || l.Audit < 1 || l.Releases < 0:
		return fmt.Errorf("limits.operations and audit must be 1 at least, releases 0")
	case c.Metrics.Slot < 0 || c.Metrics.Slot > 0 && c.Metrics.Slot < quantity.Duration(200*time.Millisecond):
		return fmt.Errorf("figures.slot: %v; 200ms at least, or 0s for none", time.Duration(c.Metrics.Slot))
	case c.Metrics.Slot > 0 && (c.Metrics.Retention < c.Metrics.Slot || c.Metrics.Retention/c.Metrics.Slot > maxRetainedSlots):
		return fmt.Errorf("figures.keep: %v; want 1 to %d slots of %v", time.Duration(c.Metrics.Retention), maxRetainedSlots, time.Duration(c.Metrics.Slot))
	case c.Recovery.MinWave < 0 || c.Recovery.WaveLongest < c.Recovery.MinWave || c.Recovery.WaveLongest > quantity.Duration(time.Hour):
		return fmt.Errorf("recovery.wave_least and wave_longest: %v and %v; want 0 <= least <= longest <= 1h", time.Duration(c.Recovery.MinWave), time.Duration(c.Recovery.WaveLongest))
	case c.Recovery.Checkpoint && !strings.Contains(c.Sidecar.Fleet, "return"):
		return fmt.Errorf("recovery.checkpoint: only a sidecar that comes back by rules reads one: add \"return\" to sidecar.fleet, or leave it out")
	case c.Recovery.MaxWave < 0:
		return fmt.Errorf("recovery.wave_most: %d; want 0 (no bound) or more", c.Recovery.MaxWave)
	case len(c.Instances) > MaxInstances:
		return fmt.Errorf("instance: %d of them; an agent looks after %d at most", len(c.Instances), MaxInstances)
	}
	if err := c.checkDistribution(); err != nil {
		return err
	}
	if c.Listen.Plain != "" {
		host, _, err := net.SplitHostPort(c.Listen.Plain)
		if err != nil {
			return fmt.Errorf("listen.plain: %w", err)
		}
		if ip := net.ParseIP(host); ip == nil || !ip.IsLoopback() {
			return fmt.Errorf("listen.plain: %s is not a loopback address; use listen.tls beyond this machine", host)
		}
	}
	seen, addrs := make(map[string]bool), make(map[string]string)
	for n := range c.Instances {
		i := &c.Instances[n]
		switch {
		case !nameForm.MatchString(i.Name):
			return fmt.Errorf("instance %d: name %q; want letters, digits, '.', '_' or '-', 63 at most", n+1, i.Name)
		case seen[i.Name]:
			return fmt.Errorf("instance %s is there twice", i.Name)
		}
		seen[i.Name] = true
		data, err := os.ReadFile(i.Config)
		if err != nil {
			return fmt.Errorf("instance %s: config: %w", i.Name, err)
		}
		if i.Record != "" {
			if _, err := os.Stat(i.Record); err != nil {
				return fmt.Errorf("instance %s: record: %w", i.Name, err)
			}
		}
		var base struct {
			Listen string `json:"listen"`
		}
		if err := json.Unmarshal(data, &base); err != nil {
			return fmt.Errorf("instance %s: config %s: %w", i.Name, i.Config, err)
		}
		if _, _, err := net.SplitHostPort(base.Listen); err != nil {
			return fmt.Errorf("instance %s: config %s: listen: %w", i.Name, i.Config, err)
		}
		if other := addrs[base.Listen]; other != "" {
			return fmt.Errorf("instances %s and %s both listen on %s", other, i.Name, base.Listen)
		}
		i.listen, addrs[base.Listen] = base.Listen, i.Name
		i.adminAddress, i.memoryLimitMB = adminEndpoint(data)
	}
	return nil
}

// render makes an instance's configuration: its own file, the release's overlay merged over
// it (RFC 7396), then the distributed settings in their order, and the seed.
func render(base, overlay []byte, settings []distribution.Resource, seed string) ([]byte, error) {
	var config map[string]any
	if err := json.Unmarshal(base, &config); err != nil {
		return nil, fmt.Errorf("the instance's configuration: %w", err)
	}
	if len(overlay) > 0 {
		if err := mergeJSON(config, overlay); err != nil {
			return nil, fmt.Errorf("the release's overlay: %w", err)
		}
	}
	for _, resource := range settings {
		if err := mergeJSON(config, resource.Content); err != nil {
			return nil, fmt.Errorf("settings %s of revision %v: %w", resource.Name, resource.Revision, err)
		}
	}
	config["seed"] = seed
	return json.MarshalIndent(config, "", " ")
}

func mergeJSON(into map[string]any, patch []byte) error {
	var from map[string]any
	if err := json.Unmarshal(patch, &from); err != nil {
		return err
	}
	merge(into, from)
	return nil
}

func merge(into, from map[string]any) {
	for k, v := range from {
		if v == nil {
			delete(into, k)
			continue
		}
		sub, ok := v.(map[string]any)
		if !ok {
			into[k] = v
			continue
		}
		have, ok := into[k].(map[string]any)
		if !ok {
			have = make(map[string]any)
			into[k] = have
		}
		merge(have, sub)
	}
}
