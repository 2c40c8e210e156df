package main

import (
	"fmt"
	"strings"

	"martendrum/internal/peers"
	"martendrum/internal/peers/link"
	"martendrum/internal/settings"
)

// The features that MARTENDRUM_FLEET names.
const (
	featureReturn = "return" // admit gradually after a start while servers warm up
	featurePeers  = "peers"  // exchange state with the other sidecars of the tier
)

// coordinationConfig is what a sidecar does together with the others of its tier, by the
// features of MARTENDRUM_FLEET. The zero value is none.
type coordinationConfig struct {
	gradualReturn  bool         // featureReturn is set
	peers          *link.Config // nil: featurePeers is not set
	checkpointPath string       // empty: no checkpoint is written
}

// CoordinationError is an invalid value of MARTENDRUM_FLEET, with what to do about it.
type CoordinationError struct{ What, Do string }

// Error implements error.
func (e *CoordinationError) Error() string { return envFeatures + ": " + e.What }

// Advice says what an operator can do.
func (e *CoordinationError) Advice() string { return e.Do }

// loadCoordination parses the features of MARTENDRUM_FLEET. listen and addresses are those of this
// sidecar's peer socket and of all peers.
func loadCoordination(words string, s *settings.Settings, listen string, addresses []string) (coordinationConfig, error) {
	var c coordinationConfig
	for _, word := range strings.FieldsFunc(words, func(r rune) bool { return r == ',' || r == ' ' }) {
		switch word {
		case featureReturn:
			c.gradualReturn = true
		case featurePeers:
			peersConfig, err := newPeersConfig(s, listen, addresses)
			if err != nil {
				return c, err
			}
			c.peers = peersConfig
		default:
			return c, &CoordinationError{fmt.Sprintf("unknown word %q", word), fmt.Sprintf("use %s, %s or both, with a comma between", featureReturn, featurePeers)}
		}
	}
	return c, nil
}

// newPeersConfig returns the configuration of the link to peers.
func newPeersConfig(s *settings.Settings, listen string, addresses []string) (*link.Config, error) {
	if !s.Peers || listen == "" || len(addresses) == 0 {
		return nil, &CoordinationError{"peers: the configuration has no peers to tell anything", "give peers, peer_listen and settings.caps.peers, or leave the word out"}
	}
	if s.Rank < 0 || s.Rank >= len(addresses) {
		return nil, &CoordinationError{fmt.Sprintf("peers: settings.rank is %d of %d peers", s.Rank, len(addresses)), "number the sidecars of the tier from 0 in settings.rank, in the order of peers"}
	}
	return &link.Config{Listen: listen, Peers: addresses, Node: peers.Config{Cluster: s.Cluster, Self: peers.Rank(s.Rank)}}, nil
}
