package agent

import (
	"crypto/sha256"
	"encoding/json"
	"errors"
	"fmt"
	"os"

	"martendrum/internal/fleet/distribution"
	"martendrum/internal/fleet/release"
)

// configure writes an instance's configuration with the overlay of a release and the distributed
// settings that the instance accepted last.
func (a *Agent) configure(inst *instance, releaseHash, seed string) error {
	a.mu.Lock()
	var settings []distribution.Resource
	if inst.settings.applier != nil {
		settings = inst.settings.applier.Accepted()
	}
	a.mu.Unlock()
	_, err := a.configureWith(inst, releaseHash, settings, seed)
	return err
}

// configureWith writes an instance's configuration with the given distributed settings and
// returns its SHA-256 hash in hex.
func (a *Agent) configureWith(inst *instance, releaseHash string, settings []distribution.Resource, seed string) (configHash string, err error) {
	base, err := os.ReadFile(inst.config.Config)
	if err != nil {
		return "", err
	}
	overlay, err := os.ReadFile(a.releases.Path(releaseHash, release.Overlay))
	if err != nil && !errors.Is(err, os.ErrNotExist) {
		return "", err
	}
	data, err := render(base, overlay, settings, seed)
	if err != nil {
		return "", err
	}
	if err := writeFile(a.configPath(inst.config.Name), data); err != nil {
		return "", err
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	inst.writtenConfigHash = fmt.Sprintf("%x", sha256.Sum256(data))
	return inst.writtenConfigHash, nil
}

// render returns an instance's configuration: its base configuration, with the release's overlay
// merged into it (RFC 7396), then the distributed settings in their order, then the seed of the
// sidecar's random choices.
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

// mergeJSON applies an encoded JSON merge patch (RFC 7396) to a decoded configuration.
func mergeJSON(into map[string]any, patch []byte) error {
	var from map[string]any
	if err := json.Unmarshal(patch, &from); err != nil {
		return err
	}
	merge(into, from)
	return nil
}

// merge applies a decoded merge patch: null deletes a key, objects are merged, and other values
// replace the old value.
func merge(into, from map[string]any) {
	for key, value := range from {
		if value == nil {
			delete(into, key)
			continue
		}
		patch, ok := value.(map[string]any)
		if !ok {
			into[key] = value
			continue
		}
		object, ok := into[key].(map[string]any)
		if !ok {
			object = make(map[string]any)
			into[key] = object
		}
		merge(object, patch)
	}
}

// adminEndpoint reads a sidecar's admin address and its memory limit in MiB from the sidecar's
// configuration. They are "" and 0 if they are not set or the configuration is not valid JSON.
func adminEndpoint(config []byte) (address string, memoryLimitMB int) {
	var sidecar struct {
		Mgmt   string `json:"mgmt"`
		Limits struct {
			MemoryMB int `json:"memory_mb"`
		} `json:"limits"`
	}
	if json.Unmarshal(config, &sidecar) != nil {
		return "", 0
	}
	return sidecar.Mgmt, sidecar.Limits.MemoryMB
}
