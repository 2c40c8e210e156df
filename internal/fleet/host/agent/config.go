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
	Name     string `toml:"name"`      // as the fleet's inventory names the host
	StateDir string `toml:"state_dir"` // path of the state folder
	// Listen holds the agent's addresses; "" for none. At least one is needed.
	Listen struct {
		Unix      string `toml:"unix"`       // path of a Unix socket
		TLS       string `toml:"tls"`        // host and port, with mutual TLS
		Plain     string `toml:"plain"`      // loopback address and port, without TLS
		PlainRole string `toml:"plain_role"` // role of all callers at Plain
	} `toml:"listen"`
	// TLS holds the paths of the agent's certificates, in PEM.
	TLS struct {
		CA   string `toml:"ca"`
		Cert string `toml:"cert"`
		Key  string `toml:"key"`
	} `toml:"tls"`
	// Record configures the store of the agent's record. All fields but Store are for Postgres.
	Record struct {
		Store        string            `toml:"store"` // SQLite or Postgres
		URL          string            `toml:"url"`   // of the database, without a password
		PasswordFile string            `toml:"password_file"`
		CA           string            `toml:"ca"`        // path of the CA certificate that verifies the server
		Statement    quantity.Duration `toml:"statement"` // timeout of a statement
		Connect      quantity.Duration `toml:"connect"`   // timeout of a connection attempt
	} `toml:"record"`
	// Sidecar configures the program of the instances.
	Sidecar struct {
		Binary  string `toml:"binary"`  // path of the program of the first release
		Overlay string `toml:"overlay"` // path of a JSON merge patch for the instances' configurations; "": none
		// HandOver lets an upgrade start the new process while the previous one still serves.
		HandOver bool `toml:"hand_over"`
		// Fleet lists the features in which sidecars cooperate. It becomes the sidecars'
		// environment variable MARTENDRUM_FLEET.
		Fleet string `toml:"fleet"`
	} `toml:"sidecar"`
	// Recovery configures the waves in which instances start after a power loss.
	Recovery struct {
		MinWaveInterval quantity.Duration `toml:"wave_least"`   // from one wave to the next
		MaxWaveInterval quantity.Duration `toml:"wave_longest"` // after it, the next wave starts even if instances are not ready
		MaxWaveSize     int               `toml:"wave_most"`    // instances in a wave; 0: no limit
		Shop            string            `toml:"shop"`         // the label that names an instance's shop
		Zone            string            `toml:"zone"`         // the label that names an instance's zone
		// Checkpoint lets each sidecar write its learned state to a file in state_dir.
		Checkpoint bool `toml:"checkpoint"`
	} `toml:"recovery"`
	// Metrics are collected from each instance that has an admin address, at each multiple of Slot.
	Metrics struct {
		Slot      quantity.Duration `toml:"slot"` // 0: metrics are off
		Retention quantity.Duration `toml:"keep"` // how long samples are retained
	} `toml:"figures"`
	Distribution Distribution `toml:"distribution"`
	// Relay, if set, makes the agent a relay, which serves settings to other hosts.
	Relay  *RelayConfig `toml:"relay"`
	Limits struct {
		KillAfter      quantity.Duration `toml:"kill_after"`  // from SIGTERM to SIGKILL
		HealthInterval quantity.Duration `toml:"health_each"` // between the health checks of an instance
		BackoffMin     quantity.Duration `toml:"backoff_min"` // before the restart after a first crash; doubled after each further one
		BackoffMax     quantity.Duration `toml:"backoff_max"` // upper limit of that delay
		MaxCrashes     int               `toml:"crash_most"`  // this many crashes within CrashWithin end the restarts
		CrashWithin    quantity.Duration `toml:"crash_within"`
		Log            quantity.Bytes    `toml:"log"`        // maximum size of an instance's log, including the rotated file
		Record         quantity.Bytes    `toml:"record"`     // maximum size of the record, if it is a file
		Operations     int               `toml:"operations"` // closed operations that are retained
		Audit          int               `toml:"audit"`      // entries of the audit log that are retained
		Releases       int               `toml:"releases"`   // releases that are retained besides those in use
	} `toml:"limits"`
	Instances []InstanceConfig `toml:"instance"`
}

// Distribution configures how settings are distributed to the host; see package distribution.
// Without relays no settings are distributed.
type Distribution struct {
	// Subscribe makes the host apply the relays' settings to its instances.
	Subscribe bool                 `toml:"subscribe"`
	Region    string               `toml:"region"`   // of this host; Relays use the same names of regions and zones
	Zone      string               `toml:"zone"`     // of this host
	Coalesce  quantity.Duration    `toml:"coalesce"` // changes within this time are applied together
	Writer    string               `toml:"writer"`   // name of the relay that writes until an operator promotes another
	Relays    []distribution.Relay `toml:"relay"`
}

// RelayConfig limits what a relay serves. A zero means the default.
type RelayConfig struct {
	Subscribers int `toml:"subscribers"` // hosts connected at the same time
	Resources   int `toml:"resources"`   // settings resources that are published
	History     int `toml:"history"`     // changes that the relay retains
}

// maxSubscribers is the maximum of RelayConfig.Subscribers: each subscriber takes a file
// descriptor.
const maxSubscribers = 16000

// InstanceConfig configures one sidecar of the host.
type InstanceConfig struct {
	Name   string            `toml:"name"`
	Config string            `toml:"config"` // path of the sidecar's configuration, in JSON
	Record string            `toml:"record"` // path of the configuration of its idempotency store; "": none
	Labels map[string]string `toml:"labels"`
	// Stopped is the desired state until the agent's record holds one.
	Stopped bool `toml:"stopped"`

	listen        string
	adminAddress  string // address of its admin endpoint; "": none
	memoryLimitMB int    // 0: none
}

// The stores that can hold an agent's record.
const (
	SQLite   = "sqlite" // a file in the state folder
	Postgres = "postgres"
)

// maxRetainedSlots is the maximum number of slots whose metrics are retained.
const maxRetainedSlots = 2000

// MaxInstances is the maximum number of sidecars of one agent.
const MaxInstances = 256

// LoadConfig reads and checks the configuration file at path. Errors name the file and the line
// or the key; an invalid value is reported as a *ConfigError.
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

// defaultConfig returns the defaults for keys that the file does not set.
func defaultConfig() *Config {
	c := &Config{}
	c.Listen.PlainRole = api.View
	c.Record.Store = SQLite
	c.Record.Statement = quantity.Duration(2 * time.Second)
	c.Record.Connect = quantity.Duration(2 * time.Second)
	c.Sidecar.HandOver = true

	c.Recovery.MinWaveInterval = quantity.Duration(300 * time.Millisecond)
	c.Recovery.MaxWaveInterval = quantity.Duration(10 * time.Second)
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
	limits.MaxCrashes = 5
	limits.CrashWithin = quantity.Duration(time.Minute)
	limits.Log = 8 << 20
	limits.Record = 64 << 20
	limits.Operations = 100
	limits.Audit = 10000
	limits.Releases = 3
	return c
}

// resolvePaths resolves relative paths against the folder of the configuration file.
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

// setDefaults sets the defaults for keys that the section [relay] does not set.
func (c *RelayConfig) setDefaults() {
	limits := distribution.DefaultLimits()
	c.Subscribers = cmp.Or(c.Subscribers, 4000)
	c.Resources = cmp.Or(c.Resources, limits.Resources)
	c.History = cmp.Or(c.History, limits.History)
}
