// Package hollow runs hollow subscribers of distributed settings, many in one process. A hollow
// subscriber runs the same code with which an agent follows relays (node.Subscriber over
// connections with mutual TLS, distribution.Replica and distribution.Applier), but it keeps its
// copy of the settings in memory and has no sidecars.
//
// The instance of a hollow subscriber accepts all settings after a fixed time. TestScale can
// thereby measure on one machine, at the size of a fleet, what a subscriber costs and when it has a
// change in force. The package runs no sidecar, and the product does not use it.
package hollow
