package main

import (
	"fmt"
	"maps"
	"slices"
	"strings"
)

// reloadConfig reads the configuration file again; inForce is the configuration in force. The
// environment of a process can't change, so BALANCER_DISCOVERY is ignored: a reload can change the
// address of discovery by the file. A file that lacks a key of the one in force is an error.
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
		missing := &ConfigError{Field: key, Problem: "is missing; the file in force has it", Remedy: "add the key, or start a new process if it is omitted on purpose"}
		return nil, fmt.Errorf("config: %w", missing)
	}
	return c, nil
}

// optionalKeys are the top-level keys that a new file may omit although the file in force has them.
var optionalKeys = map[string]bool{"known": true, "peers": true, "peers_all": true, "peer_listen": true, "mgmt": true, "name": true}

// missingKey returns the path of the first key that the file in force has and next lacks, empty if
// there is none. inForce and next are the values at path. In a list, every object must have the
// keys that all objects of the list in force have. This rejects a file that was written only in
// part, whose missing keys would count as zero. An operator who omits a key on purpose must set it
// to null or start a new process.
func missingKey(path string, inForce, next any) string {
	switch old := inForce.(type) {
	case map[string]any:
		fields, _ := next.(map[string]any)
		return missingField(path, old, fields)
	case []any:
		items, _ := next.([]any)
		return missingInItems(path, commonKeys(old), items)
	}
	return ""
}

// missingField is missingKey for the fields of two objects at path.
func missingField(path string, inForce, next map[string]any) string {
	for _, key := range slices.Sorted(maps.Keys(inForce)) {
		if path == "" && optionalKeys[key] {
			continue
		}
		value, ok := next[key]
		if !ok {
			return strings.TrimPrefix(path+"."+key, ".")
		}
		if missing := missingKey(path+"."+key, inForce[key], value); missing != "" {
			return missing
		}
	}
	return ""
}

// missingInItems is missingKey for the items of the list at path, each of which must have the common
// keys.
func missingInItems(path string, common map[string]any, items []any) string {
	if len(common) == 0 {
		return ""
	}
	for i, item := range items {
		if missing := missingKey(fmt.Sprintf("%s[%d]", path, i), common, item); missing != "" {
			return missing
		}
	}
	return ""
}

// commonKeys returns the keys that all objects of a list have, with nil values. It returns no keys
// for a list with an item that is not an object.
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
