package pg

import (
	"errors"
	"fmt"
	"strings"

	"github.com/jackc/pgx/v5/pgconn"
)

// Errors of a database that can be reached.
var (
	ErrFull     = errors.New("the server has no room")
	ErrReadOnly = errors.New("the server is a standby or read-only by its settings; name the primary")
	// ErrUnusable: retrying does not help.
	ErrUnusable = errors.New("the database can't be used")
)

// The SQLSTATEs that are distinguished.
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
	// classOperatorIntervention is the prefix of the states of a server that shuts down.
	classOperatorIntervention = "57P"
)

// DatabaseError is an error of a database that an operator can solve.
type DatabaseError struct {
	Database string
	Kind     error  // ErrFull, ErrReadOnly, ErrUnusable or nil
	Detail   string // of the problem; may be empty
	Next     string // the next step
	Cause    error
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

// Advice is the next step.
func (e *DatabaseError) Advice() string { return e.Next }

// SQLState is an error's SQLSTATE, "" if it is none of the server's.
func SQLState(err error) string {
	if e, ok := errors.AsType[*pgconn.PgError](err); ok {
		return e.Code
	}
	return ""
}

// Explain adds to an error the database and what an operator can do.
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
		explained.Detail = "the server does not let this user in; see password_file"
		explained.Next = "check the user and password_file"
	case stateTooManyConnections:
		explained.Detail = "the server has no connection left; lower connections or raise its max_connections"
		explained.Next = "lower connections or raise the server's max_connections"
	case stateInsufficientRights:
		explained.Kind = ErrUnusable
		explained.Detail = "this user may not; it needs to read and write the tables martendrum_*, and at first to create them"
		explained.Next = "grant this user the tables martendrum_*, and the creation of tables for the first start"
	default:
		return fmt.Errorf("%s: %w", db.displayName, err)
	}
	return explained
}

// RolledBack says whether a transaction that failed with err was certainly rolled back in
// favour of another one.
func RolledBack(err error) bool {
	switch SQLState(err) {
	case stateSerializationFailure, stateDeadlock, stateLockNotAvailable:
		return true
	}
	return false
}

// OutcomeUnknown says whether a COMMIT that failed with err may have taken effect: the
// connection was lost, or the server shut down.
func OutcomeUnknown(err error) bool {
	state := SQLState(err)
	return err != nil && (state == "" || strings.HasPrefix(state, classOperatorIntervention))
}
