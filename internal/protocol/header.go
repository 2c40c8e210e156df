// Package protocol defines the names of the header fields that clients, sidecars and servers exchange. It
// maps the names on the wire to the terms of the code, and parses nothing.
//
// The names are in the canonical form of package textproto, so that they can index an http.Header directly.
package protocol

// Fields of requests.
const (
	// RequestID identifies a request. All attempts of a request carry the same one.
	RequestID = "Req-Id"
	// RequestClass is the class of a request, which is also the first segment of its path.
	RequestClass = "Req-Kind"
	// RequestDeadline is how long the sender waits for a response, in milliseconds.
	RequestDeadline = "Req-Deadline-Ms"
	// RequestTenant is the name of the tenant whose quota a request counts against.
	RequestTenant = "Req-Owner"
	// IdempotencyKey identifies the operation of a request whose class is idempotent by key.
	IdempotencyKey = "Idempotency-Key"
)

// Fields of servers' responses.
const (
	// ServerLoad is the server's load report. upstream.ParseLoad parses it.
	ServerLoad = "Srv-Load"
	// ServerRejected has the value ServerRejectedValue if the server rejected the request without
	// executing it.
	ServerRejected      = "Srv-Declined"
	ServerRejectedValue = "1"
)

// Fields of a sidecar's own responses.
const (
	// RetryAfter is how long the client should wait before it retries, in seconds with a fraction.
	RetryAfter = "Retry-After"
	// RecordState is the reason why the idempotency store prevents the execution of a request.
	RecordState = "Record-State"
)
