// Package hollow runs hollow subscribers of distributed settings: the code of an agent that
// follows relays (node.Subscriber over connections with mutual TLS, distribution.Replica and
// distribution.Applier), with copies in memory and without sidecars, many to a process.
//
// An instance of a hollow subscriber accepts all settings after a fixed time. The package thereby
// allows measuring on one machine, at the size of a fleet, what a subscriber costs and when it has
// a change in force (TestScale). It runs no sidecar, and the product does not use it.
package hollow
