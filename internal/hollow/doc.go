// Package hollow runs hollow subscribers of distributed settings: the code of an agent that
// follows relays (node.Subscriber over connections with mutual TLS, distribution.Replica and
// distribution.Applier), with copies in memory and without sidecars, many to a process.
//
// An instance of a hollow subscriber accepts all that it is given after a fixed time. What a
// subscriber costs, and when it has a change in force, can so be measured at the size of a
// fleet on one machine; the scale test (TestScale) does. The package takes no part in the
// product.
package hollow
