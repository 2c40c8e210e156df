// Package protocol names the header fields of the protocol between clients, sidecars and servers.
// It is the one place where the words of the wire meet the terms of the code; it parses nothing.
//
// The names are in canonical form, so that they can index an http.Header directly.
package protocol

// Fields of requests.
const (
	// RequestID identifies a request; all attempts of a request carry the same one.
	RequestID = "Req-Id"
	// RequestClass repeats the class, which is the first segment of the path.
	RequestClass = "Req-Kind"
	// RequestDeadline is how long the sender waits for a response, in milliseconds.
	RequestDeadline = "Req-Deadline-Ms"
	// RequestTenant names the tenant on whose quota a request counts.
	RequestTenant = "Req-Owner"
	// IdempotencyKey identifies the operation of a request whose class is idempotent by key.
	IdempotencyKey = "Idempotency-Key"
)

// Fields of servers' responses.
const (
	// ServerLoad is a load report, see upstream.ParseLoad.
	ServerLoad = "Srv-Load"
	// ServerRejected is ServerRejectedValue if the server rejected a request without executing it.
	ServerRejected      = "Srv-Declined"
	ServerRejectedValue = "1"
)

// Fields of a sidecar's own responses.
const (
	// RetryAfter is the earliest time for a retry, in seconds with a fraction.
	RetryAfter = "Retry-After"
	// RecordState is why the idempotency store does not let a request be executed.
	RecordState = "Record-State"
)
