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
	envListen     = "BALANCER_LISTEN"       // overrides the field listen of the file
	envDiscovery  = "BALANCER_DISCOVERY"    // overrides the field discovery of the file
	envMgmt       = "BALANCER_MGMT"         // overrides the field mgmt of the file
	envRecord     = "MARTENDRUM_RECORD"     // path of the idempotency store's configuration file; unset: no store
	envFeatures   = "MARTENDRUM_FLEET"      // list of features, see loadCoordination; unset: none
	envCheckpoint = "MARTENDRUM_CHECKPOINT" // path of the checkpoint file; unset: no checkpoint is written
)

// The lowest limits with which a sidecar can serve.
const (
	minMemoryMB = 32
	minSockets  = 32
)

// config is the configuration of a sidecar: the parsed and checked configuration file with the
// overrides of the environment.
type config struct {
	listenAddr, discoveryAddr string          // host:port for clients, and of discovery
	adminAddr                 string          // host:port of the admin endpoint; empty: no endpoint
	seed                      uint64          // of the random choices
	cores                     float64         // limit of CPU cores
	memoryMB, sockets         int             // limits of resident memory and of open descriptors
	knownServers              *discovery.List // servers known before discovery answers; nil: none
	settings                  *settings.Settings
	pollsDiscovery            bool               // lists are polled; else discovery pushes them
	pace                      discovery.Pace     // timeouts and delays of calls to discovery
	record                    *recordConfig      // idempotency store; nil: off
	coordination              coordinationConfig // cooperation with other sidecars
	fileHash                  string             // SHA-256 of the file, in hexadecimal
	fileKeys                  any                // the decoded file; a reload compares its keys
}

// configFile is the JSON object in the configuration file.
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

// loadConfig reads the configuration from the environment and from the file that the environment
// names. An error names the field or variable that is invalid.
func loadConfig(getenv func(string) string) (*config, error) {
	path := getenv(envConfig)
	if path == "" {
		return nil, &ConfigError{Field: envConfig, Problem: "is not set", Remedy: "set it to the path of the configuration file"}
	}
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, &ConfigError{Field: envConfig, Cause: err, Remedy: "set it to the path of a file that the sidecar can read"}
	}
	c, file, err := parseFile(data)
	if err != nil {
		return nil, &ConfigError{Field: envConfig, Cause: err, Remedy: "correct the JSON of the file at the position that the error names"}
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

// parseFile decodes the file without checking its fields.
func parseFile(data []byte) (*config, *configFile, error) {
	var file configFile
	if err := json.Unmarshal(data, &file); err != nil {
		return nil, nil, settings.ExplainJSONError(err)
	}
	var keys map[string]any
	if err := json.Unmarshal(data, &keys); err != nil {
		return nil, nil, err
	}
	delete(keys, "known") // the list may be long, and a reload doesn't compare it
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

// overrideAddresses replaces addresses from the file by those that the environment sets.
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

// parseFields parses and checks the fields that parseFile has only decoded.
func (c *config) parseFields(file *configFile) (err error) {
	if err := c.checkAddresses(); err != nil {
		return err
	}
	if c.seed, err = strconv.ParseUint(file.Seed, 16, 64); err != nil {
		return &ConfigError{Field: "seed", Cause: err, Remedy: "set it to a hexadecimal number of up to 16 digits"}
	}
	if err := c.checkLimits(); err != nil {
		return err
	}
	if len(file.Settings) == 0 {
		return &ConfigError{Field: "settings", Problem: "is missing", Remedy: "add the object settings to the file"}
	}
	if len(file.Known) > 0 && string(file.Known) != "null" {
		if c.knownServers, err = discovery.Parse(file.Known); err != nil {
			return &ConfigError{Field: "known", Cause: err, Remedy: "set it to a list of servers in the format of discovery, or omit the key"}
		}
	}
	if c.settings, err = settings.Parse(file.Settings); err != nil {
		return &ConfigError{Cause: err, Remedy: "correct the setting that the error names"}
	}
	return checkSettings(c.settings)
}

// checkAddresses checks that each address has a host and a port. Only the address of the admin
// endpoint may be empty.
func (c *config) checkAddresses() error {
	for _, field := range []struct{ name, address string }{{"listen", c.listenAddr}, {"discovery", c.discoveryAddr}, {"mgmt", c.adminAddr}} {
		if field.name == "mgmt" && field.address == "" {
			continue
		}
		if _, _, err := net.SplitHostPort(field.address); err != nil {
			return &ConfigError{Field: field.name, Cause: err, Remedy: "set it to an address in the form host:port"}
		}
	}
	return nil
}

// checkLimits checks that the limits of the process are high enough to serve.
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
	return &ConfigError{Field: field, Problem: problem, Remedy: "raise the limit to what the sidecar may use"}
}

// checkSettings checks that a sidecar can serve with the values of the settings.
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

// invalidSetting returns the error of a setting that is out of range.
func invalidSetting(field, problem string) error {
	return &ConfigError{Field: field, Problem: problem, Remedy: "correct the setting; durations are in microseconds"}
}

// setDiscoveryPace chooses by the settings whether discovery is polled or pushes its lists, and the
// pace of the calls.
func (c *config) setDiscoveryPace() {
	s := c.settings
	c.pollsDiscovery = s.Config.MaxListAge > 0
	if !c.pollsDiscovery {
		c.pace = discovery.PushedPace(s.DrainGrace)
		return
	}
	c.pace = discovery.PolledPace()
	// The Balancer polls discovery for the first time within four fifths of MaxListAge. This limit on
	// MaxListAge therefore keeps the first poll within InitialDelay.
	s.Config.MaxListAge = min(s.Config.MaxListAge, c.pace.InitialDelay*5/4)
	s.Config.PollRetryWithin = c.pace.MaxBackoff
}

// loadExtras loads the parts of the configuration that only environment variables turn on: the
// idempotency store, the cooperation with other sidecars, and the checkpoint. The store may use a
// quarter of the descriptors that are not reserved.
func (c *config) loadExtras(getenv func(string) string, file *configFile) (err error) {
	if path := getenv(envRecord); path != "" {
		if c.record, err = loadRecord(path, c.settings, (c.sockets-reservedSockets)/4); err != nil {
			return &ConfigError{Field: envRecord, Cause: err, Remedy: "correct the file that it names, or unset the variable"}
		}
	}
	if c.coordination, err = loadCoordination(getenv(envFeatures), c.settings, file.PeerListen, file.Peers); err != nil {
		return err
	}
	c.coordination.checkpointPath = getenv(envCheckpoint)
	if c.coordination.checkpointPath != "" && !c.coordination.gradualReturn {
		return &CoordinationError{"MARTENDRUM_CHECKPOINT is set, but only the feature \"return\" uses a checkpoint", "add " + featureReturn + " to MARTENDRUM_FLEET, or unset MARTENDRUM_CHECKPOINT"}
	}
	return nil
}

// logSettings logs the settings that decide how long requests may take, so that the log of an incident
// shows which of them were in force. event is the log message.
func (c *config) logSettings(event string) {
	attributes := []any{"config", c.fileHash[:8], "discovery", c.discoveryAddr, "longest_deadline", c.longestDeadline(), "drain_grace", c.settings.DrainGrace}
	for _, name := range c.settings.ClassNames() {
		class := c.settings.ClassByName(name)
		attributes = append(attributes, "class_"+name, fmt.Sprintf("%v/%v", class.Rules.Idempotency, class.MaxWait))
	}
	slog.Info(event, attributes...)
}

// longestDeadline returns the longest deadline of all classes.
func (c *config) longestDeadline() (longest time.Duration) {
	for _, deadline := range c.settings.Deadlines {
		longest = max(longest, deadline)
	}
	return longest
}
