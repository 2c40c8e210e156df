// Package soak runs real sidecars under a seeded script of faults and signals and judges
// what happened by what clients, servers and discovery recorded, never by the sidecars' own
// words.
//
// A Script is drawn from a seed, prints as text and can be read again. World plays it: it
// starts the sidecars' processes, the servers, the discovery and the clients, and sends the
// signals. Judge, which is pure, takes the Script and the Record and names each broken rule.
//
// It promises that the same seed gives the same script. It does not promise the same run:
// processes are real and the machine schedules them.
package soak
