package api

import (
	"fmt"
)

// Codes of errors.
const (
	InvalidParams      = "bad_params"
	UnsupportedVersion = "bad_version"
	NoMethod           = "no_such_method"
	NoInstance         = "no_such_instance"
	NoOperation        = "no_such_operation"
	NoRelease          = "no_such_release"
	InvalidRelease     = "bad_release"
	Forbidden          = "forbidden"
	LeaseHeld          = "held"       // another holds the lease, or an operation is open
	Fenced             = "fenced"     // the caller's token is not, or no longer, the lease's
	Closed             = "closed"     // the operation has ended or is to end
	Unwritable         = "unwritable" // the record can't be written; nothing was touched
	Internal           = "internal"
	NotWelcomed        = "hello_first"
)

// Error is an error on the wire.
type Error struct {
	Code    string `msgpack:"code" json:"code"`
	Message string `msgpack:"message" json:"message"`
}

func (e *Error) Error() string { return e.Message }

// ErrorValue implements msgpackrpc.ErrorValuer.
func (e *Error) ErrorValue() any { return e }

// Errorf makes an error with a code.
func Errorf(code, format string, a ...any) *Error {
	return &Error{Code: code, Message: fmt.Sprintf(format, a...)}
}

// ReturningError tells that a host comes back from a power loss: nothing is taken away
// from a fleet that is not whole.
type ReturningError struct{ Host, How string }

func (e *ReturningError) Error() string {
	return fmt.Sprintf("host %s comes back from a power loss: %s", e.Host, e.How)
}

// Advice says what an operator can do.
func (e *ReturningError) Advice() string {
	return "wait until all its waves have begun, see `martendrum list`, and say it again"
}
