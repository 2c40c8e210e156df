// Package inventory reads the operator's list of hosts from a file and selects instances on these
// hosts. It opens no connection.
package inventory

import (
	"fmt"
	"net"
	"path"
	"slices"
	"strings"
	"time"

	"martendrum/internal/fleet/api"
	"martendrum/internal/quantity"
)

// Inventory is the content of an inventory file; deploy/fleet.toml is an annotated example.
type Inventory struct {
	TLS struct {
		CA   string `toml:"ca"`
		Cert string `toml:"cert"`
		Key  string `toml:"key"`
	} `toml:"tls"`
	Timeout quantity.Duration `toml:"timeout"` // of one call to an agent
	Hosts   []Host            `toml:"host"`
}

// Host is a host and the address of its agent: unix:PATH, tls:HOST:PORT, or tcp:HOST:PORT without
// TLS.
type Host struct {
	Name    string            `toml:"name" json:"name"`
	Address string            `toml:"address" json:"address"`
	Labels  map[string]string `toml:"labels" json:"labels,omitempty"`
}

// InvalidError reports an inventory file that could be read but has invalid content.
type InvalidError struct {
	File string
	Err  error // names the host or the key
}

// Error implements error.
func (e *InvalidError) Error() string { return fmt.Sprintf("%s: %v", e.File, e.Err) }

// Unwrap returns the cause.
func (e *InvalidError) Unwrap() error { return e.Err }

// Advice says what an operator can do.
func (e *InvalidError) Advice() string {
	return "correct the inventory, or name another one with --fleet or MARTENDRUM_FLEET"
}

// defaultTimeout bounds a call to an agent if the inventory sets no timeout.
const defaultTimeout = 5 * time.Second

// Load reads and checks an inventory. Relative paths in it are relative to the file's folder. Invalid
// content is reported as an *InvalidError.
func Load(file string) (*Inventory, error) {
	inv := &Inventory{Timeout: quantity.Duration(defaultTimeout)}
	if err := quantity.Load(file, inv); err != nil {
		return nil, err
	}
	if err := quantity.ResolvePaths(file, &inv.TLS.CA, &inv.TLS.Cert, &inv.TLS.Key); err != nil {
		return nil, err
	}
	if err := inv.check(); err != nil {
		return nil, &InvalidError{File: file, Err: err}
	}
	for n := range inv.Hosts {
		if err := inv.Hosts[n].resolveSocket(file); err != nil {
			return nil, err
		}
	}
	return inv, nil
}

// check returns an error for the first invalid value.
func (inv *Inventory) check() error {
	if inv.Timeout <= 0 {
		return fmt.Errorf("timeout must be above 0")
	}
	if len(inv.Hosts) == 0 {
		return fmt.Errorf("no [[host]]")
	}
	seen := make(map[string]bool)
	for n, h := range inv.Hosts {
		if h.Name == "" || seen[h.Name] {
			return fmt.Errorf("host %d: the name %q is empty or used twice", n+1, h.Name)
		}
		seen[h.Name] = true
		if err := inv.checkAddress(h); err != nil {
			return fmt.Errorf("host %s: %w", h.Name, err)
		}
	}
	return nil
}

// checkAddress returns an error if the host's address is malformed, or needs TLS files that the
// inventory does not name.
func (inv *Inventory) checkAddress(h Host) error {
	kind, rest, _ := strings.Cut(h.Address, ":")
	switch kind {
	case "unix":
		if rest == "" {
			return fmt.Errorf("address %q names no path", h.Address)
		}
	case "tls", "tcp":
		if _, _, err := net.SplitHostPort(rest); err != nil {
			return fmt.Errorf("address: %w", err)
		}
		if kind == "tls" && (inv.TLS.CA == "" || inv.TLS.Cert == "" || inv.TLS.Key == "") {
			return fmt.Errorf("a tls: address needs tls.ca, tls.cert and tls.key; `martendrum ca` creates these files")
		}
	default:
		return fmt.Errorf("address %q; want unix:PATH, tls:HOST:PORT or tcp:HOST:PORT", h.Address)
	}
	return nil
}

// resolveSocket resolves the path of a Unix socket relative to the folder of the inventory file.
func (h *Host) resolveSocket(file string) error {
	path, ok := strings.CutPrefix(h.Address, "unix:")
	if !ok {
		return nil
	}
	if err := quantity.ResolvePaths(file, &path); err != nil {
		return err
	}
	h.Address = "unix:" + path
	return nil
}

// Select is a filter for instances. An instance is selected if it matches every field that is set. It
// matches a field if it matches one of the field's values. Names may contain the wildcards * and ?.
type Select struct {
	Hosts     []string
	Labels    []string // KEY=VALUE, of the instance or its host
	Instances []string
	Releases  []string // running or desired; prefixes of the hash
	States    []string // desired or actual
}

// Empty reports whether no field is set, which selects all instances.
func (s *Select) Empty() bool {
	return len(s.Hosts)+len(s.Labels)+len(s.Instances)+len(s.Releases)+len(s.States) == 0
}

// Check returns an error if a label or a pattern is malformed, or a release has fewer than 4 digits.
func (s *Select) Check() error {
	for _, l := range s.Labels {
		if k, _, ok := strings.Cut(l, "="); !ok || k == "" {
			return fmt.Errorf("--label %q; want KEY=VALUE", l)
		}
	}
	for _, p := range slices.Concat(s.Hosts, s.Instances) {
		if _, err := path.Match(p, ""); err != nil {
			return fmt.Errorf("pattern %q: %w", p, err)
		}
	}
	for _, r := range s.Releases {
		if len(r) < 4 {
			return fmt.Errorf("--release %q; give at least 4 digits of its hash", r)
		}
	}
	return nil
}

// Host reports whether a host's name is selected, so that it may have selected instances.
func (s *Select) Host(name string) bool { return len(s.Hosts) == 0 || matches(s.Hosts, name) }

// Selects reports whether an instance on host h is selected.
func (s *Select) Selects(h Host, i *api.Instance) bool {
	return s.Host(h.Name) &&
		(len(s.Instances) == 0 || matches(s.Instances, i.Name)) &&
		(len(s.States) == 0 || slices.Contains(s.States, i.State) || slices.Contains(s.States, i.Desired)) &&
		(len(s.Releases) == 0 || s.matchesRelease(i)) &&
		(len(s.Labels) == 0 || s.matchesLabel(h, i))
}

// matchesRelease reports whether the instance's desired or running release is selected.
func (s *Select) matchesRelease(i *api.Instance) bool {
	return slices.ContainsFunc(s.Releases, func(prefix string) bool {
		return strings.HasPrefix(i.Release, prefix) || strings.HasPrefix(i.Running, prefix)
	})
}

// matchesLabel reports whether an instance has one of the labels. Its own labels take precedence over
// those of its host.
func (s *Select) matchesLabel(h Host, i *api.Instance) bool {
	return slices.ContainsFunc(s.Labels, func(label string) bool {
		key, want, _ := strings.Cut(label, "=")
		value, ok := i.Labels[key]
		if !ok {
			value, ok = h.Labels[key]
		}
		return ok && value == want
	})
}

// matches reports whether a name matches one of the patterns.
func matches(patterns []string, name string) bool {
	return slices.ContainsFunc(patterns, func(pattern string) bool {
		ok, _ := path.Match(pattern, name)
		return ok
	})
}
