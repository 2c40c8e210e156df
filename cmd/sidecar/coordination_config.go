package main

import (
	"fmt"
	"strings"

	"martendrum/internal/peers"
	"martendrum/internal/peers/link"
	"martendrum/internal/settings"
)

// Features that MARTENDRUM_FLEET may list.
const (
	featureReturn = "return" // after a start, admit requests gradually while the servers warm up
	featurePeers  = "peers"  // exchange state with the other sidecars of the tier
)

// coordinationConfig configures how a sidecar cooperates with the other sidecars of its tier. The
// features that MARTENDRUM_FLEET lists turn its parts on; the zero value is no cooperation.
type coordinationConfig struct {
	gradualReturn  bool         // featureReturn is set
	peers          *link.Config // nil: featurePeers is not set
	checkpointPath string       // value of MARTENDRUM_CHECKPOINT; empty: no checkpoint is written
}

// CoordinationError is an invalid value of MARTENDRUM_FLEET, or a configuration that lacks what one
// of its features needs. Problem is what is wrong, and Remedy what an operator can do.
type CoordinationError struct{ Problem, Remedy string }

// Error returns the problem after the name of the variable.
func (e *CoordinationError) Error() string { return envFeatures + ": " + e.Problem }

// Advice returns what an operator can do about the error.
func (e *CoordinationError) Advice() string { return e.Remedy }

// loadCoordination parses the value of MARTENDRUM_FLEET, a list of features with commas or blanks
// between them. listen is the address of this sidecar's peer socket; addresses are those of all
// peers, this sidecar included. An error is a *CoordinationError.
func loadCoordination(features string, s *settings.Settings, listen string, addresses []string) (coordinationConfig, error) {
	var c coordinationConfig
	for _, feature := range strings.FieldsFunc(features, func(r rune) bool { return r == ',' || r == ' ' }) {
		switch feature {
		case featureReturn:
			c.gradualReturn = true
		case featurePeers:
			peersConfig, err := newPeersConfig(s, listen, addresses)
			if err != nil {
				return c, err
			}
			c.peers = peersConfig
		default:
			return c, &CoordinationError{fmt.Sprintf("unknown feature %q", feature), fmt.Sprintf("use %s, %s or both, separated by a comma", featureReturn, featurePeers)}
		}
	}
	return c, nil
}

// newPeersConfig returns the configuration of the link to peers, or a *CoordinationError.
func newPeersConfig(s *settings.Settings, listen string, addresses []string) (*link.Config, error) {
	if !s.Peers || listen == "" || len(addresses) == 0 {
		return nil, &CoordinationError{"peers: the configuration lacks peers, peer_listen or settings.caps.peers", "set all three, or remove peers from MARTENDRUM_FLEET"}
	}
	if s.Rank < 0 || s.Rank >= len(addresses) {
		return nil, &CoordinationError{fmt.Sprintf("peers: settings.rank is %d, which is out of range for %d peers", s.Rank, len(addresses)), "set settings.rank to the index of this sidecar in peers, counted from 0"}
	}
	return &link.Config{Listen: listen, Peers: addresses, Node: peers.Config{Cluster: s.Cluster, Self: peers.Rank(s.Rank)}}, nil
}
