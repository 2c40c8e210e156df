package main

import (
	"crypto/sha256"
	"encoding/json"
	"fmt"
	"log/slog"
	"net"
	"os"
	"strconv"
	"time"

	"martendrum/internal/discovery"
	"martendrum/internal/settings"
)

// Environment variables of the configuration.
const (
	envConfig     = "BALANCER_CONFIG"       // path of the configuration file
	envListen     = "BALANCER_LISTEN"       // replaces the file's listen
	envDiscovery  = "BALANCER_DISCOVERY"    // replaces the file's discovery
	envMgmt       = "BALANCER_MGMT"         // replaces the file's mgmt
	envRecord     = "MARTENDRUM_RECORD"     // path of the idempotency store's file; unset: no store
	envFeatures   = "MARTENDRUM_FLEET"      // features of coordinationConfig
	envCheckpoint = "MARTENDRUM_CHECKPOINT" // path of the checkpoint; unset: none is written
)

// The lowest limits under which a sidecar can serve.
const (
	minMemoryMB = 32
	minSockets  = 32
)

// config is the configuration of a sidecar.
type config struct {
	listenAddr, discoveryAddr string // addresses
	adminAddr                 string // address of the admin endpoint; empty: none
	seed                      uint64
	cores                     float64
	memoryMB, sockets         int
	knownServers              *discovery.List // servers known before discovery answers; nil: none
	settings                  *settings.Settings
	pollsDiscovery            bool // lists are polled; else discovery pushes them
	pace                      discovery.Pace
	record                    *recordConfig      // idempotency store; nil: off
	coordination              coordinationConfig // what it does together with other sidecars
	fileHash                  string             // SHA-256 of the file
	fileKeys                  any                // the decoded file, of which only the keys are used
}

// configFile is the form of the configuration file.
type configFile struct {
	Listen     string   `json:"listen"`
	Discovery  string   `json:"discovery"`
	PeerListen string   `json:"peer_listen"`
	Peers      []string `json:"peers"`
	Mgmt       string   `json:"mgmt"`
	Seed       string   `json:"seed"`
	Limits     struct {
		Cores    float64 `json:"cores"`
		MemoryMB float64 `json:"memory_mb"`
		Sockets  float64 `json:"sockets"`
	} `json:"limits"`
	Known    json.RawMessage `json:"known"`
	Settings json.RawMessage `json:"settings"`
}

// loadConfig reads the configuration from the environment and the file that it names. Errors name the
// field.
func loadConfig(getenv func(string) string) (*config, error) {
	path := getenv(envConfig)
	if path == "" {
		return nil, &ConfigError{Field: envConfig, Problem: "is not set", Do: "set it to the path of the configuration file"}
	}
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, &ConfigError{Field: envConfig, Cause: err, Do: "let it name a file that the sidecar may read"}
	}
	c, file, err := parseFile(data)
	if err != nil {
		return nil, &ConfigError{Field: envConfig, Cause: err, Do: "correct the JSON of the file at the place named"}
	}
	c.overrideAddresses(getenv)
	if err := c.parseFields(file); err != nil {
		return nil, fmt.Errorf("config: %w", err)
	}
	c.setDiscoveryPace()
	if err := c.loadExtras(getenv, file); err != nil {
		return nil, err
	}
	return c, nil
}

// parseFile decodes the file, without a check of its fields.
func parseFile(data []byte) (*config, *configFile, error) {
	var file configFile
	if err := json.Unmarshal(data, &file); err != nil {
		return nil, nil, settings.Explain(err)
	}
	var keys map[string]any
	if err := json.Unmarshal(data, &keys); err != nil {
		return nil, nil, err
	}
	delete(keys, "known") // it may be long
	c := &config{
		listenAddr:    file.Listen,
		discoveryAddr: file.Discovery,
		adminAddr:     file.Mgmt,
		cores:         file.Limits.Cores,
		memoryMB:      int(file.Limits.MemoryMB),
		sockets:       int(file.Limits.Sockets),
		fileHash:      fmt.Sprintf("%x", sha256.Sum256(data)),
		fileKeys:      keys,
	}
	return c, &file, nil
}

// overrideAddresses replaces addresses of the file by those that the environment sets.
func (c *config) overrideAddresses(getenv func(string) string) {
	override := func(address *string, name string) {
		if value := getenv(name); value != "" {
			*address = value
		}
	}
	override(&c.listenAddr, envListen)
	override(&c.discoveryAddr, envDiscovery)
	override(&c.adminAddr, envMgmt)
}

// parseFields parses and checks the fields.
func (c *config) parseFields(file *configFile) (err error) {
	if err := c.checkAddresses(); err != nil {
		return err
	}
	if c.seed, err = strconv.ParseUint(file.Seed, 16, 64); err != nil {
		return &ConfigError{Field: "seed", Cause: err, Do: "give a hexadecimal number of up to 16 digits"}
	}
	if err := c.checkLimits(); err != nil {
		return err
	}
	if len(file.Settings) == 0 {
		return &ConfigError{Field: "settings", Problem: "is missing", Do: "add the object settings to the file"}
	}
	if len(file.Known) > 0 && string(file.Known) != "null" {
		if c.knownServers, err = discovery.Parse(file.Known); err != nil {
			return &ConfigError{Field: "known", Cause: err, Do: "give a list of servers as discovery sends it, or leave the key out"}
		}
	}
	if c.settings, err = settings.Parse(file.Settings); err != nil {
		return &ConfigError{Cause: err, Do: "correct the settings at the place named"}
	}
	return checkSettings(c.settings)
}

// checkAddresses checks that the addresses have a host and a port.
func (c *config) checkAddresses() error {
	for _, field := range []struct{ name, address string }{{"listen", c.listenAddr}, {"discovery", c.discoveryAddr}, {"mgmt", c.adminAddr}} {
		if field.name == "mgmt" && field.address == "" {
			continue
		}
		if _, _, err := net.SplitHostPort(field.address); err != nil {
			return &ConfigError{Field: field.name, Cause: err, Do: "give an address as host:port"}
		}
	}
	return nil
}

// checkLimits checks the limits of the process.
func (c *config) checkLimits() error {
	switch {
	case !(c.cores > 0):
		return invalidLimit("limits.cores", "must be above 0")
	case c.memoryMB < minMemoryMB:
		return invalidLimit("limits.memory_mb", fmt.Sprintf("must be at least %d", minMemoryMB))
	case c.sockets < minSockets:
		return invalidLimit("limits.sockets", fmt.Sprintf("must be at least %d", minSockets))
	}
	return nil
}

// invalidLimit returns the error of a limit that is too low to serve.
func invalidLimit(field, problem string) error {
	return &ConfigError{Field: field, Problem: problem, Do: "raise the limit to what the sidecar may use"}
}

// checkSettings checks the settings that a sidecar on sockets needs.
func checkSettings(s *settings.Settings) error {
	for n, deadline := range s.Deadlines {
		if deadline <= 0 {
			return invalidSetting(fmt.Sprintf("settings.classes[%d].hardLimitUs", n), "must be above 0")
		}
	}
	switch {
	case s.DialTimeout <= 0:
		return invalidSetting("settings.caps.dialTimeoutUs", "must be above 0")
	case s.ConnIdle <= 0:
		return invalidSetting("settings.caps.connIdleUs", "must be above 0")
	case s.MaxInFlight < 0:
		return invalidSetting("settings.caps.mostHeld", "must be 0 or more")
	case s.DrainGrace < 0:
		return invalidSetting("settings.guarantees.drainGraceUs", "must be 0 or more")
	}
	return nil
}

// invalidSetting returns the error of a setting with an impossible value.
func invalidSetting(field, problem string) error {
	return &ConfigError{Field: field, Problem: problem, Do: "correct the setting; durations are in microseconds"}
}

// setDiscoveryPace sets how discovery is polled or followed.
func (c *config) setDiscoveryPace() {
	s := c.settings
	c.pollsDiscovery = s.Config.MaxListAge > 0
	if !c.pollsDiscovery {
		c.pace = discovery.Pushed(s.DrainGrace)
		return
	}
	c.pace = discovery.Polled()
	// The Balancer makes its first call within four fifths of MaxListAge.
	s.Config.MaxListAge = min(s.Config.MaxListAge, c.pace.InitialDelay*5/4)
	s.Config.RetryWithin = c.pace.MaxBackoff
}

// loadExtras loads what only the environment turns on: the idempotency store, coordination with
// other sidecars, and the checkpoint.
func (c *config) loadExtras(getenv func(string) string, file *configFile) (err error) {
	if path := getenv(envRecord); path != "" {
		if c.record, err = loadRecord(path, c.settings, (c.sockets-reservedSockets)/4); err != nil {
			return &ConfigError{Field: envRecord, Cause: err, Do: "correct the file that it names, or unset it"}
		}
	}
	if c.coordination, err = loadCoordination(getenv(envFeatures), c.settings, file.PeerListen, file.Peers); err != nil {
		return err
	}
	c.coordination.checkpointPath = getenv(envCheckpoint)
	if c.coordination.checkpointPath != "" && !c.coordination.gradualReturn {
		return &CoordinationError{"MARTENDRUM_CHECKPOINT is set, and nothing reads it", "add " + featureReturn + " to MARTENDRUM_FLEET, or unset the file"}
	}
	return nil
}

// logSettings logs the settings that decide how long requests may take, so that the log of an
// incident shows what was in force.
func (c *config) logSettings(event string) {
	attributes := []any{"config", c.fileHash[:8], "discovery", c.discoveryAddr, "longest_deadline", c.longestDeadline(), "drain_grace", c.settings.DrainGrace}
	for _, name := range c.settings.Names() {
		class := c.settings.ByName(name)
		attributes = append(attributes, "class_"+name, fmt.Sprintf("%v/%v", class.Rules.Idempotency, class.Wait))
	}
	slog.Info(event, attributes...)
}

// longestDeadline returns the longest deadline of any class.
func (c *config) longestDeadline() (longest time.Duration) {
	for _, deadline := range c.settings.Deadlines {
		longest = max(longest, deadline)
	}
	return longest
}
