// Package api defines the protocol between a fleet's agents and its command line: methods, their
// parameters and results, and error codes. Every method takes one parameter, a map.
//
// The names on the wire are those in the struct tags and in the values of the constants; a golden test
// guards them. Of the Go declarations, only two other things are seen from outside: an error about a
// parameter names the parameter's Go type, and fields are encoded in the order of the struct. The package
// opens no connection and makes no decision.
package api
