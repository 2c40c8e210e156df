package api

import (
	"fmt"
)

// Error codes of all methods; those of the settings are in distribution.go.
const (
	InvalidParams      = "bad_params"
	UnsupportedVersion = "bad_version"
	NoMethod           = "no_such_method"
	NoInstance         = "no_such_instance"
	NoOperation        = "no_such_operation"
	NoRelease          = "no_such_release"
	InvalidRelease     = "bad_release"
	Forbidden          = "forbidden"
	LeaseHeld          = "held"       // another run holds the lease, or another operation is open on the instance
	Fenced             = "fenced"     // the caller's token is not, or no longer, that of the lease
	Closed             = "closed"     // the operation is closed or aborting, or was dropped after it was closed
	Unwritable         = "unwritable" // the agent's store (package store) can't be written; nothing was changed
	Internal           = "internal"
	HelloRequired      = "hello_first" // a method was called before Hello
)

// Error is the error of a call as it is sent to the caller. Message is meant for people.
type Error struct {
	Code    string `msgpack:"code" json:"code"`
	Message string `msgpack:"message" json:"message"`
}

// Error implements error.
func (e *Error) Error() string { return e.Message }

// ErrorValue implements msgpackrpc.ErrorValuer: the error is sent as a map.
func (e *Error) ErrorValue() any { return e }

// Errorf returns an error with a code and a formatted message.
func Errorf(code, format string, a ...any) *Error {
	return &Error{Code: code, Message: fmt.Sprintf(format, a...)}
}

// ReturningError reports a host that is returning from a power loss. No operation starts until the host
// has returned and the capacity of the fleet is complete again. How is the progress of the return.
type ReturningError struct{ Host, How string }

// Error implements error.
func (e *ReturningError) Error() string {
	return fmt.Sprintf("host %s is returning from a power loss: %s", e.Host, e.How)
}

// Advice says what an operator can do.
func (e *ReturningError) Advice() string {
	return "wait until all waves of instances on the host have begun (see `martendrum list`), then run the command again"
}

// DroppedError reports an operation that may have ended at a host whose agent does not know it: the agent
// has dropped ended operations as old as this one from its store, or its store is newer than the operation.
type DroppedError struct{ Operation, Host string }

// Error implements error.
func (e *DroppedError) Error() string {
	return fmt.Sprintf("operation %s may have ended at host %s, which no longer has its record", e.Operation, e.Host)
}

// Advice says what an operator can do.
func (e *DroppedError) Advice() string {
	return "it changes nothing there any more: check the host's instances, and start a new operation for those that still need the change"
}
