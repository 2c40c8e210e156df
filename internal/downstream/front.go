// Package downstream is the client-facing side of the sidecar: it accepts connections, reads
// requests, writes responses and notices clients that disconnect.
//
// A Server owns the connections and their limits, a conn is one connection, an Exchange
// is one request with its response. It guarantees that each request read gets exactly one
// final response or a closed connection. It does not decide how a request is answered: the
// Handler does.
package downstream

import (
	"martendrum/internal/metrics"
	"martendrum/internal/settings"
)

// Handler handles requests. Each Exchange that arrives ends exactly once, by one of its own methods
// or by ClientDisconnected, and is released when its body is not needed any more.
type Handler interface {
	// Arrive handles a request that has been read.
	Arrive(x *Exchange)
	// ClientDisconnected ends a request because its client has disconnected. It returns false if
	// the response is being written.
	ClientDisconnected(x *Exchange) bool
	// Ready reports whether the sidecar accepts clients.
	Ready() bool
	// Class returns the request class of a name, nil if there is none.
	Class(name string) *settings.Class
}

// Meter counts the results of requests.
type Meter interface {
	// Answered counts a final response by its status; class is one of the settings.
	Answered(class string, status int)
	// Limited counts a request that the server itself rejected at a limit.
	Limited(reason metrics.Reason)
}

// unmetered is a Meter that counts nothing.
type unmetered struct{}

// Answered implements Meter.
func (unmetered) Answered(string, int) {}

// Limited implements Meter.
func (unmetered) Limited(metrics.Reason) {}

// Config holds the limits of a Server.
type Config struct {
	MaxConns int   // client connections at once
	MaxBody  int64 // bytes of buffered request bodies at once
}
