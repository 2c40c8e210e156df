// Package downstream is the client-facing side of the sidecar: it accepts connections, reads
// requests, writes responses and notices clients that disconnect.
//
// A Server owns the connections and their limits, a conn is one connection, and an Exchange is one
// request with its response. The package guarantees that each request that was read gets exactly one
// final response or a closed connection. It does not decide how a request is answered; the Handler
// does.
package downstream

import (
	"time"

	"martendrum/internal/metrics"
	"martendrum/internal/settings"
)

// Handler handles requests. It ends each Exchange exactly once, by one of the Exchange's answering
// methods or by returning true from ClientDisconnected, and calls Release when the body is not needed
// any more. Its methods may be called concurrently.
type Handler interface {
	// Arrive handles a request that has been read. It should return without waiting for the
	// response, because a disconnect of the client is noticed only afterwards.
	Arrive(x *Exchange)
	// ClientDisconnected ends a request because its client has disconnected. It returns false if
	// the response is being written or has been.
	ClientDisconnected(x *Exchange) bool
	// WaitMoved tells that x.WaitFrom has changed, because more of the body has arrived.
	WaitMoved(x *Exchange)
	// Ready reports whether the sidecar accepts clients.
	Ready() bool
	// Class returns the request class with the given name, nil if there is none.
	Class(name string) *settings.Class
}

// Meter counts the results of requests.
type Meter interface {
	// Answered counts a final response by its status; class is the name of a class of the settings.
	Answered(class string, status int)
	// Limited counts a request that the Server rejected at one of its own limits.
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
	MaxConns int   // limit of open client connections
	MaxBody  int64 // limit of the bytes of request bodies buffered at once
	// IDRetention is how long the id of a request is known after its end: as long as an attempt of it
	// may still be executed or its client may ask again. 0: 4 s.
	IDRetention time.Duration
}
