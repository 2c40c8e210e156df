// Package api defines the protocol between a fleet's agents and its command line: methods, their
// parameters and results, and error codes. Every method takes one parameter, a map.
//
// The names on the wire are those of the struct tags and of the constants' values; a golden test
// pins them. Two exceptions: an error about a parameter names its Go type, and fields are encoded
// in the order of the struct. The package opens no connection and makes no decision.
package api
