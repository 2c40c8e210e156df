// Package inventory reads the operator's list of hosts and selects instances on them. It reads one
// file and opens no connection.
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

// Inventory is the content of the file; deploy/fleet.toml is an annotated example.
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

// InvalidError reports an inventory that was read and is not valid.
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

// defaultTimeout bounds a call to an agent.
const defaultTimeout = 5 * time.Second

// Load reads and checks an inventory. Relative paths are relative to the file's folder.
func Load(file string) (*Inventory, error) {
	v := &Inventory{Timeout: quantity.Duration(defaultTimeout)}
	if err := quantity.Load(file, v); err != nil {
		return nil, err
	}
	if err := quantity.ResolvePaths(file, &v.TLS.CA, &v.TLS.Cert, &v.TLS.Key); err != nil {
		return nil, err
	}
	if err := v.check(); err != nil {
		return nil, &InvalidError{File: file, Err: err}
	}
	for n := range v.Hosts {
		if err := v.Hosts[n].resolveSocket(file); err != nil {
			return nil, err
		}
	}
	return v, nil
}

func (v *Inventory) check() error {
	if v.Timeout <= 0 {
		return fmt.Errorf("timeout must be above 0")
	}
	if len(v.Hosts) == 0 {
		return fmt.Errorf("no [[host]]")
	}
	seen := make(map[string]bool)
	for n, h := range v.Hosts {
		if h.Name == "" || seen[h.Name] {
			return fmt.Errorf("host %d: its name %q is missing or there twice", n+1, h.Name)
		}
		seen[h.Name] = true
		if err := v.checkAddress(h); err != nil {
			return fmt.Errorf("host %s: %w", h.Name, err)
		}
	}
	return nil
}

func (v *Inventory) checkAddress(h Host) error {
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
		if kind == "tls" && (v.TLS.CA == "" || v.TLS.Cert == "" || v.TLS.Key == "") {
			return fmt.Errorf("tls.ca, tls.cert and tls.key are needed for it; `martendrum ca` makes them")
		}
	default:
		return fmt.Errorf("address %q; want unix:PATH, tls:HOST:PORT or tcp:HOST:PORT", h.Address)
	}
	return nil
}

// resolveSocket makes the path of a Unix socket relative to the file's folder.
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

// Select selects the instances that match every field that is set. Within a field one match is
// enough; names may contain the wildcards * and ?.
type Select struct {
	Hosts     []string
	Labels    []string // KEY=VALUE, of the instance or its host
	Instances []string
	Releases  []string // running or desired; prefixes of the hash
	States    []string // desired or actual
}

// Empty says that no field is set.
func (s *Select) Empty() bool {
	return len(s.Hosts)+len(s.Labels)+len(s.Instances)+len(s.Releases)+len(s.States) == 0
}

// Check returns the first error of a selection.
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
			return fmt.Errorf("--release %q; give 4 digits of its hash at least", r)
		}
	}
	return nil
}

// Host says whether a host may have selected instances.
func (s *Select) Host(name string) bool { return len(s.Hosts) == 0 || matches(s.Hosts, name) }

// Fits says whether an instance is selected.
func (s *Select) Fits(h Host, i *api.Instance) bool {
	return s.Host(h.Name) &&
		(len(s.Instances) == 0 || matches(s.Instances, i.Name)) &&
		(len(s.States) == 0 || slices.Contains(s.States, i.State) || slices.Contains(s.States, i.Desired)) &&
		(len(s.Releases) == 0 || s.fitsRelease(i)) &&
		(len(s.Labels) == 0 || s.fitsLabel(h, i))
}

func (s *Select) fitsRelease(i *api.Instance) bool {
	return slices.ContainsFunc(s.Releases, func(prefix string) bool {
		return strings.HasPrefix(i.Release, prefix) || strings.HasPrefix(i.Running, prefix)
	})
}

// fitsLabel says whether an instance has one of the labels. Its own take precedence over those of
// its host.
func (s *Select) fitsLabel(h Host, i *api.Instance) bool {
	return slices.ContainsFunc(s.Labels, func(label string) bool {
		key, want, _ := strings.Cut(label, "=")
		value, ok := i.Labels[key]
		if !ok {
			value, ok = h.Labels[key]
		}
		return ok && value == want
	})
}

// matches says whether a name matches one of the patterns.
func matches(patterns []string, name string) bool {
	return slices.ContainsFunc(patterns, func(pattern string) bool {
		ok, _ := path.Match(pattern, name)
		return ok
	})
}
