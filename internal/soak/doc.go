// Package soak runs real sidecars under a seeded script of faults and signals. It judges the run
// only by what clients, servers and discovery recorded, never by what the sidecars report
// themselves.
//
// A Script is generated from a seed; it can be printed as text and parsed again. Run starts the
// sidecars' processes and stand-ins for the servers, the discovery and the clients, and carries out
// the script's events. Judge, which has no side effects, compares the Script with the Record of the
// run and returns each breach of a rule.
//
// The same seed gives the same script, but not the same run: the processes are real, and the
// operating system schedules them.
package soak
