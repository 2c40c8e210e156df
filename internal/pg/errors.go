package pg

import (
	"errors"
	"fmt"
	"strings"

	"github.com/jackc/pgx/v5/pgconn"
)

// Errors of a database server that replied.
var (
	ErrFull     = errors.New("the server is out of disk space or memory")
	ErrReadOnly = errors.New("the server is a standby or is configured to be read-only; name the primary")
	// ErrUnusable means that retrying does not help, for example after a wrong password.
	ErrUnusable = errors.New("the database can't be used")
)

// The SQLSTATE codes that the package handles.
const (
	stateDiskFull             = "53100"
	stateOutOfMemory          = "53200"
	stateTooManyConnections   = "53300"
	stateReadOnlyTransaction  = "25006"
	stateInvalidPassword      = "28P01"
	stateInvalidAuthorization = "28000"
	stateInsufficientRights   = "42501"
	stateSerializationFailure = "40001"
	stateDeadlock             = "40P01"
	stateLockNotAvailable     = "55P03"
	// classOperatorIntervention is the prefix of the codes of a server that is shutting down,
	// has crashed or is starting.
	classOperatorIntervention = "57P"
)

// DatabaseError is an error of a database that an operator can solve.
type DatabaseError struct {
	Database string // host, port and name
	Kind     error  // ErrFull, ErrReadOnly, ErrUnusable or nil
	Detail   string // further description of the problem; may be empty
	Next     string // what the operator can do
	Cause    error  // error of the server
}

// Error joins the database, the kind, the detail and the cause.
func (e *DatabaseError) Error() string {
	parts := []string{e.Database}
	if e.Kind != nil {
		parts = append(parts, e.Kind.Error())
	}
	if e.Detail != "" {
		parts = append(parts, e.Detail)
	}
	return strings.Join(append(parts, e.Cause.Error()), ": ")
}

// Unwrap returns the kind and the cause.
func (e *DatabaseError) Unwrap() []error {
	if e.Kind == nil {
		return []error{e.Cause}
	}
	return []error{e.Kind, e.Cause}
}

// Advice returns what the operator can do.
func (e *DatabaseError) Advice() string { return e.Next }

// SQLState returns the SQLSTATE code of an error that the server reported, or "" for any
// other error.
func SQLState(err error) string {
	if e, ok := errors.AsType[*pgconn.PgError](err); ok {
		return e.Code
	}
	return ""
}

// Explain adds the database's name to an error. If an operator can solve the problem, the
// result is a *DatabaseError. nil stays nil.
func (db *DB) Explain(err error) error {
	if err == nil {
		return nil
	}
	explained := &DatabaseError{Database: db.displayName, Cause: err}
	switch SQLState(err) {
	case stateDiskFull, stateOutOfMemory:
		explained.Kind = ErrFull
		explained.Next = "free disk space or memory on the server"
	case stateReadOnlyTransaction:
		explained.Kind = ErrReadOnly
		explained.Next = "name the primary in the connection's URL"
	case stateInvalidPassword, stateInvalidAuthorization:
		explained.Kind = ErrUnusable
		explained.Detail = "the server rejected the user or the password; see password_file"
		explained.Next = "check the user and password_file"
	case stateTooManyConnections:
		explained.Detail = "the server has no free connection; lower connections or raise the server's max_connections"
		explained.Next = "lower connections or raise the server's max_connections"
	case stateInsufficientRights:
		explained.Kind = ErrUnusable
		explained.Detail = "the user lacks a privilege; it must be allowed to read and write the tables martendrum_* and, for the first start, to create them"
		explained.Next = "grant the user access to the tables martendrum_* and, for the first start, the creation of tables"
	default:
		return fmt.Errorf("%s: %w", db.displayName, err)
	}
	return explained
}

// RolledBack reports whether a transaction that failed with err was certainly rolled back
// because of a conflict with another transaction, so that it may be repeated.
func RolledBack(err error) bool {
	switch SQLState(err) {
	case stateSerializationFailure, stateDeadlock, stateLockNotAvailable:
		return true
	}
	return false
}

// OutcomeUnknown reports whether a COMMIT that failed with err may have taken effect, as the
// connection was lost or the server was shutting down.
func OutcomeUnknown(err error) bool {
	state := SQLState(err)
	return err != nil && (state == "" || strings.HasPrefix(state, classOperatorIntervention))
}
