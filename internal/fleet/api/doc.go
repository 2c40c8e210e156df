// Package api is what a fleet's agents and its command line say to each other:
// the methods, their parameters and results, and the errors' codes. Every method
// takes one parameter, a map. It owns no connection and decides nothing.
package api
