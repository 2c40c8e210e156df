package main

import (
	"fmt"
	"strings"

	"martendrum/internal/peers"
	"martendrum/internal/peers/link"
	"martendrum/internal/settings"
)

// Words of MARTENDRUM_FLEET.
const (
	wordReturn = "return" // admit gradually after a start while servers are cold
	wordPeers  = "peers"  // exchange state with the other sidecars of the tier
)

// fleetConfig is what a sidecar does together with the others of its tier, by the words
// of MARTENDRUM_FLEET. The zero value is nothing.
type fleetConfig struct {
	gradualReturn  bool         // wordReturn is set
	peers          *link.Config // nil: wordPeers is not set
	checkpointPath string       // empty: no checkpoint is kept
}

// FleetError is an invalid value of MARTENDRUM_FLEET, with what to do about it.
type FleetError struct{ What, Do string }

// Error implements error.
func (e *FleetError) Error() string { return "MARTENDRUM_FLEET: " + e.What }

// Advice says what an operator can do.
func (e *FleetError) Advice() string { return e.Do }

// loadFleet parses the words of MARTENDRUM_FLEET. listen and addresses are those of this
// sidecar's peer socket and of all peers.
func loadFleet(words string, s *settings.Settings, listen string, addresses []string) (fleetConfig, error) {
	var c fleetConfig
	for _, word := range strings.FieldsFunc(words, func(r rune) bool { return r == ',' || r == ' ' }) {
		switch word {
		case wordReturn:
			c.gradualReturn = true
		case wordPeers:
			peersConfig, err := newPeersConfig(s, listen, addresses)
			if err != nil {
				return c, err
			}
			c.peers = peersConfig
		default:
			return c, &FleetError{fmt.Sprintf("unknown word %q", word), fmt.Sprintf("use %s, %s or both, with a comma between", wordReturn, wordPeers)}
		}
	}
	return c, nil
}

// newPeersConfig returns the configuration of the link to peers.
func newPeersConfig(s *settings.Settings, listen string, addresses []string) (*link.Config, error) {
	if !s.Peers || listen == "" || len(addresses) == 0 {
		return nil, &FleetError{"peers: the configuration has no peers to tell anything", "give peers, peer_listen and settings.caps.peers, or leave the word out"}
	}
	if s.Rank < 0 || s.Rank >= len(addresses) {
		return nil, &FleetError{fmt.Sprintf("peers: settings.rank is %d of %d peers", s.Rank, len(addresses)), "number the sidecars of the tier from 0 in settings.rank, in the order of peers"}
	}
	return &link.Config{Listen: listen, Peers: addresses, Node: peers.Config{Cluster: s.Cluster, Self: peers.Rank(s.Rank)}}, nil
}
