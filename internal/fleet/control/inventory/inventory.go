// Package inventory is the operator's list of hosts, and the selection of
// instances on them. It reads one file and opens no connection.
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

// Inventory is the file; see deploy/fleet.toml.
type Inventory struct {
	TLS struct {
		CA   string `toml:"ca"`
		Cert string `toml:"cert"`
		Key  string `toml:"key"`
	} `toml:"tls"`
	Timeout quantity.Duration `toml:"timeout"` // of one call to an agent
	Hosts   []Host            `toml:"host"`
}

// Host is a host and where its agent listens: unix:PATH, tls:HOST:PORT, or
// tcp:HOST:PORT without TLS.
type Host struct {
	Name    string            `toml:"name" json:"name"`
	Address string            `toml:"address" json:"address"`
	Labels  map[string]string `toml:"labels" json:"labels,omitempty"`
}

// Load reads and checks a file. Relative paths are relative to its folder.
func Load(file string) (*Inventory, error) {
	v := &Inventory{Timeout: quantity.Duration(5 * time.Second)}
	if err := quantity.Load(file, v); err != nil {
		return nil, err
	}
	if err := quantity.ResolvePaths(file, &v.TLS.CA, &v.TLS.Cert, &v.TLS.Key); err != nil {
		return nil, err
	}
	if v.Timeout <= 0 {
		return nil, fmt.Errorf("%s: timeout must be above 0", file)
	}
	if len(v.Hosts) == 0 {
		return nil, fmt.Errorf("%s: no [[host]]", file)
	}
	seen := make(map[string]bool)
	for n := range v.Hosts {
		h := &v.Hosts[n]
		if h.Name == "" || seen[h.Name] {
			return nil, fmt.Errorf("%s: host %d: its name %q is missing or there twice", file, n+1, h.Name)
		}
		seen[h.Name] = true
		kind, rest, _ := strings.Cut(h.Address, ":")
		switch kind {
		case "unix":
			if rest == "" {
				return nil, fmt.Errorf("%s: host %s: address %q names no path", file, h.Name, h.Address)
			}
			if err := quantity.ResolvePaths(file, &rest); err != nil {
				return nil, err
			}
			h.Address = "unix:" + rest
		case "tls", "tcp":
			if _, _, err := net.SplitHostPort(rest); err != nil {
				return nil, fmt.Errorf("%s: host %s: address: %w", file, h.Name, err)
			}
			if kind == "tls" && (v.TLS.CA == "" || v.TLS.Cert == "" || v.TLS.Key == "") {
				return nil, fmt.Errorf("%s: host %s: tls.ca, tls.cert and tls.key are needed for it; `martendrum ca` makes them", file, h.Name)
			}
		default:
			return nil, fmt.Errorf("%s: host %s: address %q; want unix:PATH, tls:HOST:PORT or tcp:HOST:PORT", file, h.Name, h.Address)
		}
	}
	return v, nil
}

// Select says which instances are meant: those that fit in every field that is
// set. Within a field one fit is enough; names may hold * and ?.
type Select struct {
	Hosts     []string
	Labels    []string // KEY=VALUE, of the instance or its host
	Instances []string
	Releases  []string // running or wanted; the hash's beginning
	States    []string // desired or actual
}

// Empty says that nothing is narrowed down.
func (s *Select) Empty() bool {
	return len(s.Hosts)+len(s.Labels)+len(s.Instances)+len(s.Releases)+len(s.States) == 0
}

// Check says what is wrong with a selection.
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

// Host says whether a host may have instances that are meant.
func (s *Select) Host(name string) bool { return len(s.Hosts) == 0 || fits(s.Hosts, name) }

// Fits says whether an instance is meant.
func (s *Select) Fits(h Host, i *api.Instance) bool {
	return s.Host(h.Name) &&
		(len(s.Instances) == 0 || fits(s.Instances, i.Name)) &&
		(len(s.States) == 0 || slices.Contains(s.States, i.State) || slices.Contains(s.States, i.Desired)) &&
		(len(s.Releases) == 0 || slices.ContainsFunc(s.Releases, func(r string) bool {
			return strings.HasPrefix(i.Release, r) || strings.HasPrefix(i.Running, r)
		})) &&
		(len(s.Labels) == 0 || slices.ContainsFunc(s.Labels, func(l string) bool {
			k, v, _ := strings.Cut(l, "=")
			have, ok := i.Labels[k]
			if !ok {
				have, ok = h.Labels[k]
			}
			return ok && have == v
		}))
}

func fits(patterns []string, name string) bool {
	return slices.ContainsFunc(patterns, func(p string) bool {
		ok, _ := path.Match(p, name)
		return ok
	})
}
