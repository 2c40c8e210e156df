package agent

import (
	"encoding/json"
	"fmt"
	"net"
	"os"
	"regexp"
	"strings"
	"time"

	"martendrum/internal/fleet/api"
	"martendrum/internal/fleet/host/supervisor"
	"martendrum/internal/quantity"
)

// namePattern matches valid names of agents, instances and relays.
var namePattern = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._-]{0,62}$`)

// check returns the first error that it finds in the configuration, or nil.
func (c *Config) check() error {
	checks := []func() error{
		c.checkIdentity, c.checkRecord, c.checkSidecar, c.checkListen, c.checkLimits, c.checkMetrics, c.checkRecovery,
		c.checkInstanceCount, c.checkDistribution, c.checkPlainAddress, c.checkInstances,
	}
	for _, check := range checks {
		if err := check(); err != nil {
			return err
		}
	}
	return nil
}

// checkIdentity checks the agent's name and its state folder.
func (c *Config) checkIdentity() error {
	switch {
	case !namePattern.MatchString(c.Name):
		return fmt.Errorf("name: %q; want 1 to 63 letters, digits, '.', '_' or '-', the first a letter or a digit", c.Name)
	case c.StateDir == "":
		return fmt.Errorf("state_dir is missing: want a folder whose files survive restarts of the machine")
	}
	return nil
}

// checkRecord checks the section [record].
func (c *Config) checkRecord() error {
	switch {
	case c.Record.Store != SQLite && c.Record.Store != Postgres:
		return fmt.Errorf("record.store: %q; want %q or %q", c.Record.Store, SQLite, Postgres)
	case c.Record.Store == Postgres && c.Record.URL == "":
		return fmt.Errorf("record.url is missing: want a URL such as \"postgres://user@host/database\"")
	case c.Record.Store == SQLite && (c.Record.URL != "" || c.Record.PasswordFile != "" || c.Record.CA != ""):
		return fmt.Errorf("record: url, password_file and ca are valid only with store = %q", Postgres)
	case c.Record.Statement <= 0 || c.Record.Connect <= 0:
		return fmt.Errorf("record.statement and record.connect must be above 0")
	}
	return nil
}

// checkSidecar checks the section [sidecar].
func (c *Config) checkSidecar() error {
	switch {
	case c.Sidecar.Binary == "":
		return fmt.Errorf("sidecar.binary is missing: want the path of the program that new instances start with")
	}
	return nil
}

// checkListen checks the sections [listen] and [tls].
func (c *Config) checkListen() error {
	switch {
	case c.Listen.Unix == "" && c.Listen.TLS == "" && c.Listen.Plain == "":
		return fmt.Errorf("listen: none of unix, tls and plain is set, so no program could reach the agent")
	case c.Listen.TLS != "" && (c.TLS.CA == "" || c.TLS.Cert == "" || c.TLS.Key == ""):
		return fmt.Errorf("tls: ca, cert and key are needed for listen.tls; `martendrum ca` makes them")
	case c.Listen.PlainRole != api.View && c.Listen.PlainRole != api.Operate:
		return fmt.Errorf("listen.plain_role: %q; want %q or %q", c.Listen.PlainRole, api.View, api.Operate)
	}
	return nil
}

// checkLimits checks the section [limits].
func (c *Config) checkLimits() error {
	limits := &c.Limits
	switch {
	case time.Duration(limits.KillAfter) < supervisor.MinKillDelay:
		return fmt.Errorf("limits.kill_after: %v; want %v at least, because a sidecar may need that long from SIGTERM to its last response", time.Duration(limits.KillAfter), supervisor.MinKillDelay)
	case limits.HealthInterval < quantity.Duration(50*time.Millisecond):
		return fmt.Errorf("limits.health_each: %v; want 50ms at least", time.Duration(limits.HealthInterval))
	case limits.BackoffMin <= 0 || limits.BackoffMax < limits.BackoffMin:
		return fmt.Errorf("limits.backoff_min and backoff_max: %v and %v; want 0 < min <= max", time.Duration(limits.BackoffMin), time.Duration(limits.BackoffMax))
	case limits.MaxCrashes < 1 || limits.CrashWithin <= 0:
		return fmt.Errorf("limits.crash_most and crash_within must be above 0")
	case limits.Log < 64<<10:
		return fmt.Errorf("limits.log: want 64KiB at least")
	case limits.Operations < 1 || limits.Audit < 1 || limits.Releases < 0:
		return fmt.Errorf("limits.operations and limits.audit must be 1 at least, limits.releases 0 at least")
	}
	return nil
}

// checkMetrics checks the section [figures].
func (c *Config) checkMetrics() error {
	switch {
	case c.Metrics.Slot < 0 || c.Metrics.Slot > 0 && c.Metrics.Slot < quantity.Duration(200*time.Millisecond):
		return fmt.Errorf("figures.slot: %v; want 200ms at least, or 0s to turn metrics off", time.Duration(c.Metrics.Slot))
	case c.Metrics.Slot > 0 && (c.Metrics.Retention < c.Metrics.Slot || c.Metrics.Retention/c.Metrics.Slot > maxRetainedSlots):
		return fmt.Errorf("figures.keep: %v; want 1 to %d slots of %v", time.Duration(c.Metrics.Retention), maxRetainedSlots, time.Duration(c.Metrics.Slot))
	}
	return nil
}

// checkRecovery checks the section [recovery].
func (c *Config) checkRecovery() error {
	switch {
	case c.Recovery.MinWaveInterval < 0 || c.Recovery.MaxWaveInterval < c.Recovery.MinWaveInterval || c.Recovery.MaxWaveInterval > quantity.Duration(time.Hour):
		return fmt.Errorf("recovery.wave_least and wave_longest: %v and %v; want 0 <= wave_least <= wave_longest <= 1h", time.Duration(c.Recovery.MinWaveInterval), time.Duration(c.Recovery.MaxWaveInterval))
	case c.Recovery.Checkpoint && !strings.Contains(c.Sidecar.Fleet, "return"):
		return fmt.Errorf("recovery.checkpoint: a sidecar reads checkpoints only with the feature \"return\": add that to sidecar.fleet, or remove recovery.checkpoint")
	case c.Recovery.MaxWaveSize < 0:
		return fmt.Errorf("recovery.wave_most: %d; want 0 (no limit) or more", c.Recovery.MaxWaveSize)
	}
	return nil
}

// checkInstanceCount checks the number of instances.
func (c *Config) checkInstanceCount() error {
	if len(c.Instances) > MaxInstances {
		return fmt.Errorf("instance: %d sections; an agent supervises %d instances at most", len(c.Instances), MaxInstances)
	}
	return nil
}

// checkDistribution checks the sections [distribution] and [relay].
func (c *Config) checkDistribution() error {
	d := &c.Distribution
	names, err := c.checkRelayAddresses()
	if err != nil {
		return err
	}
	switch {
	case d.Coalesce < 0 || d.Coalesce > quantity.Duration(10*time.Second):
		return fmt.Errorf("distribution.coalesce: %v; want 0s to 10s", time.Duration(d.Coalesce))
	case d.Subscribe && len(d.Relays) == 0:
		return fmt.Errorf("distribution.subscribe: no [[distribution.relay]] is configured")
	case len(d.Relays) > 0 && !names[d.Writer]:
		return fmt.Errorf("distribution.writer: no [[distribution.relay]] has the name %q", d.Writer)
	case c.Relay == nil:
		return nil
	case !names[c.Name]:
		return fmt.Errorf("relay: no [[distribution.relay]] has the name of this agent, %s", c.Name)
	case c.Relay.Subscribers < 1 || c.Relay.Subscribers > maxSubscribers:
		return fmt.Errorf("relay.subscribers: %d; want 1 to %d", c.Relay.Subscribers, maxSubscribers)
	case c.Relay.Resources < 1 || c.Relay.History < 1:
		return fmt.Errorf("relay.resources and relay.history must be 1 at least")
	}
	return nil
}

// checkRelayAddresses checks the relays' names and addresses and returns the set of names.
func (c *Config) checkRelayAddresses() (map[string]bool, error) {
	names := make(map[string]bool)
	for n, relay := range c.Distribution.Relays {
		kind, rest, _ := strings.Cut(relay.Address, ":")
		switch {
		case !namePattern.MatchString(relay.Name) || names[relay.Name]:
			return nil, fmt.Errorf("distribution.relay %d: name %q is missing, invalid or used twice", n+1, relay.Name)
		case rest == "" || kind != "tls" && kind != "tcp" && kind != "unix":
			return nil, fmt.Errorf("distribution.relay %s: address %q; want tls:HOST:PORT, unix:PATH or tcp:HOST:PORT", relay.Name, relay.Address)
		case kind == "tls" && (c.TLS.CA == "" || c.TLS.Cert == "" || c.TLS.Key == ""):
			return nil, fmt.Errorf("distribution.relay %s: tls.ca, tls.cert and tls.key are needed for a TLS address; `martendrum ca` makes them", relay.Name)
		}
		names[relay.Name] = true
	}
	return names, nil
}

// checkPlainAddress checks that the listener without TLS has a loopback address.
func (c *Config) checkPlainAddress() error {
	if c.Listen.Plain == "" {
		return nil
	}
	host, _, err := net.SplitHostPort(c.Listen.Plain)
	if err != nil {
		return fmt.Errorf("listen.plain: %w", err)
	}
	if ip := net.ParseIP(host); ip == nil || !ip.IsLoopback() {
		return fmt.Errorf("listen.plain: %s is not a loopback address; use listen.tls beyond this machine", host)
	}
	return nil
}

// checkInstances checks the instances and reads what the agent needs from their configurations.
// Names and listening addresses must be unique.
func (c *Config) checkInstances() error {
	seen, nameByAddress := make(map[string]bool), make(map[string]string)
	for n := range c.Instances {
		inst := &c.Instances[n]
		switch {
		case !namePattern.MatchString(inst.Name):
			return fmt.Errorf("instance %d: name %q; want 1 to 63 letters, digits, '.', '_' or '-', the first a letter or a digit", n+1, inst.Name)
		case seen[inst.Name]:
			return fmt.Errorf("instance %s is configured twice", inst.Name)
		}
		seen[inst.Name] = true
		if err := inst.readConfig(); err != nil {
			return err
		}
		if other := nameByAddress[inst.listen]; other != "" {
			return fmt.Errorf("instances %s and %s both listen on %s", other, inst.Name, inst.listen)
		}
		nameByAddress[inst.listen] = inst.Name
	}
	return nil
}

// readConfig reads the sidecar's addresses and its memory limit from its configuration, and
// checks that the file of its idempotency store exists.
func (inst *InstanceConfig) readConfig() error {
	data, err := os.ReadFile(inst.Config)
	if err != nil {
		return fmt.Errorf("instance %s: config: %w", inst.Name, err)
	}
	if inst.Record != "" {
		if _, err := os.Stat(inst.Record); err != nil {
			return fmt.Errorf("instance %s: record: %w", inst.Name, err)
		}
	}
	var base struct {
		Listen string `json:"listen"`
	}
	if err := json.Unmarshal(data, &base); err != nil {
		return fmt.Errorf("instance %s: config %s: %w", inst.Name, inst.Config, err)
	}
	if _, _, err := net.SplitHostPort(base.Listen); err != nil {
		return fmt.Errorf("instance %s: config %s: listen: %w", inst.Name, inst.Config, err)
	}
	inst.listen = base.Listen
	inst.adminAddress, inst.memoryLimitMB = adminEndpoint(data)
	return nil
}
