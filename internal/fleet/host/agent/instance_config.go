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
func (a *Agent) configure(i *instance, hash, seed string) error {
	a.mu.Lock()
	var settings []distribution.Resource
	if i.settings.applier != nil {
		settings = i.settings.applier.Accepted()
	}
	a.mu.Unlock()
	_, err := a.configureWith(i, hash, settings, seed)
	return err
}

// configureWith writes an instance's configuration with the given distributed settings and
// returns its SHA-256 hash in hex.
func (a *Agent) configureWith(i *instance, hash string, settings []distribution.Resource, seed string) (configHash string, err error) {
	base, err := os.ReadFile(i.config.Config)
	if err != nil {
		return "", err
	}
	overlay, err := os.ReadFile(a.releases.Path(hash, release.Overlay))
	if err != nil && !errors.Is(err, os.ErrNotExist) {
		return "", err
	}
	data, err := render(base, overlay, settings, seed)
	if err != nil {
		return "", err
	}
	if err := writeFile(a.configPath(i.config.Name), data); err != nil {
		return "", err
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	i.writtenConfigHash = fmt.Sprintf("%x", sha256.Sum256(data))
	return i.writtenConfigHash, nil
}

// render makes an instance's configuration: its own file, with the release's overlay merged
// into it (RFC 7396), then the distributed settings in their order, then the seed.
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

// mergeJSON applies a JSON merge patch (RFC 7396) to a configuration.
func mergeJSON(into map[string]any, patch []byte) error {
	var from map[string]any
	if err := json.Unmarshal(patch, &from); err != nil {
		return err
	}
	merge(into, from)
	return nil
}

// merge applies a decoded merge patch: null deletes a key, objects merge, other values replace.
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

// adminEndpoint reads a sidecar's admin address, "" for none, and its memory limit in MiB from
// its configuration.
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
