package agent

import (
	"cmp"
	"time"

	"martendrum/internal/fleet/api"
	"martendrum/internal/fleet/distribution"
	"martendrum/internal/quantity"
)

// Config is an agent's configuration; deploy/agent.toml is an annotated example. Relative paths
// are relative to the file's folder.
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
		// HandOver lets an upgrade start the new process while the old one still serves.
		HandOver bool `toml:"hand_over"`
		// Fleet names the features that sidecars share, as MARTENDRUM_FLEET does.
		Fleet string `toml:"fleet"`
	} `toml:"sidecar"`
	// Recovery paces the start of instances after a power loss.
	Recovery struct {
		MinWave     quantity.Duration `toml:"wave_least"`
		WaveLongest quantity.Duration `toml:"wave_longest"`
		MaxWave     int               `toml:"wave_most"` // instances in a wave; 0: no limit
		Shop        string            `toml:"shop"`      // the label that names an instance's shop
		Zone        string            `toml:"zone"`      // the label that names its zone
		// Checkpoint lets each sidecar write its learned state to a file in state_dir.
		Checkpoint bool `toml:"checkpoint"`
	} `toml:"recovery"`
	// Metrics are collected from each instance that has an admin address, at multiples of Slot.
	Metrics struct {
		Slot      quantity.Duration `toml:"slot"` // 0: never
		Retention quantity.Duration `toml:"keep"`
	} `toml:"figures"`
	Distribution Distribution `toml:"distribution"`
	// Relay, if set, makes the agent a relay, which serves settings to other hosts.
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

// Distribution configures how settings reach the host; see package distribution. Without relays
// no settings are distributed.
type Distribution struct {
	// Subscribe applies the relays' settings to the host's instances.
	Subscribe bool                 `toml:"subscribe"`
	Region    string               `toml:"region"` // of this host, as the relays' entries name them
	Zone      string               `toml:"zone"`
	Coalesce  quantity.Duration    `toml:"coalesce"` // changes within this time are applied together
	Writer    string               `toml:"writer"`   // the relay that writes until an operator promotes another
	Relays    []distribution.Relay `toml:"relay"`
}

// RelayConfig limits what a relay serves.
type RelayConfig struct {
	Subscribers int `toml:"subscribers"`
	Resources   int `toml:"resources"`
	History     int `toml:"history"` // changes that a relay retains
}

// maxSubscribers bounds a relay's subscribers: each takes a file descriptor.
const maxSubscribers = 16000

// InstanceConfig configures one sidecar of the host.
type InstanceConfig struct {
	Name   string            `toml:"name"`
	Config string            `toml:"config"` // the sidecar's configuration, JSON, as BALANCER_CONFIG names it
	Record string            `toml:"record"` // the file of its idempotency store; "": none
	Labels map[string]string `toml:"labels"`
	Stop   bool              `toml:"stopped"` // initially; later the agent's record holds the desired state

	listen        string
	adminAddress  string // of its admin endpoint; "": none
	memoryLimitMB int    // 0: none
}

// Stores of an agent's record.
const (
	SQLite   = "sqlite" // a file in state_dir
	Postgres = "postgres"
)

// maxRetainedSlots bounds the slots whose metrics are retained.
const maxRetainedSlots = 2000

// MaxInstances bounds the sidecars of one agent.
const MaxInstances = 256

// LoadConfig reads and checks a configuration. Errors name the file and the place.
func LoadConfig(path string) (*Config, error) {
	c := defaultConfig()
	if err := quantity.Load(path, c); err != nil {
		return nil, err
	}
	if err := c.resolvePaths(path); err != nil {
		return nil, err
	}
	if c.Relay != nil {
		c.Relay.setDefaults()
	}
	if err := c.check(); err != nil {
		return nil, &ConfigError{Path: path, Err: err}
	}
	return c, nil
}

// defaultConfig returns what applies to keys that the file leaves out.
func defaultConfig() *Config {
	c := &Config{}
	c.Listen.PlainRole = api.View
	c.Record.Store = SQLite
	c.Record.Statement = quantity.Duration(2 * time.Second)
	c.Record.Connect = quantity.Duration(2 * time.Second)
	c.Sidecar.HandOver = true

	c.Recovery.MinWave = quantity.Duration(300 * time.Millisecond)
	c.Recovery.WaveLongest = quantity.Duration(10 * time.Second)
	c.Recovery.Shop = "shop"
	c.Recovery.Zone = "zone"

	c.Metrics.Slot = quantity.Duration(10 * time.Second)
	c.Metrics.Retention = quantity.Duration(time.Hour)
	c.Distribution.Coalesce = quantity.Duration(time.Second)

	limits := &c.Limits
	limits.KillAfter = quantity.Duration(5 * time.Second)
	limits.HealthInterval = quantity.Duration(time.Second)
	limits.BackoffMin = quantity.Duration(500 * time.Millisecond)
	limits.BackoffMax = quantity.Duration(30 * time.Second)
	limits.MaxCrash = 5
	limits.CrashWithin = quantity.Duration(time.Minute)
	limits.Log = 8 << 20
	limits.Record = 64 << 20
	limits.Operations = 100
	limits.Audit = 10000
	limits.Releases = 3
	return c
}

// resolvePaths makes relative paths relative to the folder of the configuration.
func (c *Config) resolvePaths(path string) error {
	paths := []*string{
		&c.StateDir, &c.Listen.Unix, &c.TLS.CA, &c.TLS.Cert, &c.TLS.Key,
		&c.Sidecar.Binary, &c.Sidecar.Overlay, &c.Record.PasswordFile, &c.Record.CA,
	}
	for n := range c.Instances {
		paths = append(paths, &c.Instances[n].Config, &c.Instances[n].Record)
	}
	return quantity.ResolvePaths(path, paths...)
}

// setDefaults sets what a [relay] section leaves out.
func (c *RelayConfig) setDefaults() {
	limits := distribution.DefaultLimits()
	c.Subscribers = cmp.Or(c.Subscribers, 4000)
	c.Resources = cmp.Or(c.Resources, limits.Resources)
	c.History = cmp.Or(c.History, limits.History)
}
