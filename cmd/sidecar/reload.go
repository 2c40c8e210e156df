package main

import (
	"fmt"
	"maps"
	"slices"
	"strings"
)

// reloadConfig reads the file again; inForce is the configuration in force. The environment cannot
// change after the start, so the address of discovery is read from the file alone.
func reloadConfig(getenv func(string) string, inForce *config) (*config, error) {
	c, err := loadConfig(func(name string) string {
		if name == envDiscovery {
			return ""
		}
		return getenv(name)
	})
	if err != nil {
		return nil, err
	}
	if key := missingKey("", inForce.fileKeys, c.fileKeys); key != "" {
		missing := &ConfigError{Field: key, Problem: "is missing; the file in force has it", Do: "add the key, or start a new process if it is omitted on purpose"}
		return nil, fmt.Errorf("config: %w", missing)
	}
	return c, nil
}

// optionalKeys are the top-level keys of the file that may come and go.
var optionalKeys = map[string]bool{"known": true, "peers": true, "peers_all": true, "peer_listen": true, "mgmt": true, "name": true}

// missingKey returns the first key that the file in force has and next lacks, empty if
// there is none. In a list, every object must have the keys that all objects of the list
// in force have. This rejects a file that was written in part, whose missing keys would count as
// zero. A file that omits a key on purpose must say null, or needs a new process.
func missingKey(at string, inForce, next any) string {
	switch old := inForce.(type) {
	case map[string]any:
		fields, _ := next.(map[string]any)
		return missingField(at, old, fields)
	case []any:
		items, _ := next.([]any)
		return missingInItems(at, commonKeys(old), items)
	}
	return ""
}

// missingField is missingKey for objects.
func missingField(at string, inForce, next map[string]any) string {
	for _, key := range slices.Sorted(maps.Keys(inForce)) {
		if at == "" && optionalKeys[key] {
			continue
		}
		value, ok := next[key]
		if !ok {
			return strings.TrimPrefix(at+"."+key, ".")
		}
		if missing := missingKey(at+"."+key, inForce[key], value); missing != "" {
			return missing
		}
	}
	return ""
}

// missingInItems is missingKey for the items of a list, each of which must have the
// common keys.
func missingInItems(at string, common map[string]any, items []any) string {
	if len(common) == 0 {
		return ""
	}
	for i, item := range items {
		if missing := missingKey(fmt.Sprintf("%s[%d]", at, i), common, item); missing != "" {
			return missing
		}
	}
	return ""
}

// commonKeys returns the keys that all objects of a list have; empty if it holds
// anything else.
func commonKeys(list []any) map[string]any {
	var common map[string]any
	for _, item := range list {
		object, ok := item.(map[string]any)
		if !ok {
			return nil
		}
		if common == nil {
			common = maps.Clone(object)
		}
		maps.DeleteFunc(common, func(key string, _ any) bool { _, ok := object[key]; return !ok })
	}
	for key := range common {
		common[key] = nil
	}
	return common
}
