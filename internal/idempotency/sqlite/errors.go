package sqlite

import (
	"errors"
	"fmt"
	"strings"

	driver "modernc.org/sqlite"
	lib "modernc.org/sqlite/lib"

	"martendrum/internal/idempotency"
)

// FileError is a problem of a store's file that an operator can solve.
type FileError struct {
	Problem error  // nil if Next describes the problem
	Next    string // what the operator can do
	Cause   error  // error of SQLite or the operating system; may be nil
}

// Error joins the problem, the operator's next step and the cause.
func (e *FileError) Error() string {
	var parts []string
	if e.Problem != nil {
		parts = append(parts, e.Problem.Error())
	}
	parts = append(parts, e.Next)
	if e.Cause != nil {
		parts = append(parts, e.Cause.Error())
	}
	return strings.Join(parts, ": ")
}

// Unwrap returns the problem, which may be idempotency.ErrFull or idempotency.ErrReadOnly,
// and the cause.
func (e *FileError) Unwrap() []error {
	var wrapped []error
	for _, err := range []error{e.Problem, e.Cause} {
		if err != nil {
			wrapped = append(wrapped, err)
		}
	}
	return wrapped
}

// Advice returns what the operator can do.
func (e *FileError) Advice() string { return e.Next }

// UnreadableError means that a file could not be read and may be damaged.
type UnreadableError struct{ Cause error }

// Error joins the cause and the operator's next step.
func (e *UnreadableError) Error() string {
	return fmt.Sprintf("the file can't be read (%v): %s", e.Cause, e.Advice())
}

// Unwrap returns the cause.
func (e *UnreadableError) Unwrap() error { return e.Cause }

// Advice returns what the operator can do.
func (e *UnreadableError) Advice() string {
	return "if it is damaged, keep it and its -wal and -shm files for `martendrum record export`, move them aside and start the sidecar again; the keys in the file are then unknown"
}

// resultCode returns the primary result code of an error of SQLite, or 0 for any other error.
func resultCode(err error) int {
	if e, ok := errors.AsType[*driver.Error](err); ok {
		return e.Code() & 0xff
	}
	return 0
}

// withAdvice returns a *FileError for an error of SQLite that an operator can solve, and
// any other error unchanged.
func withAdvice(err error) error {
	switch resultCode(err) {
	case lib.SQLITE_FULL:
		return &FileError{Problem: idempotency.ErrFull, Next: "raise sqlite.most, or free space on the disk", Cause: err}
	case lib.SQLITE_READONLY, lib.SQLITE_PERM, lib.SQLITE_CANTOPEN:
		return &FileError{Problem: idempotency.ErrReadOnly, Next: "allow the sidecar's user to write the file and its folder", Cause: err}
	case lib.SQLITE_BUSY, lib.SQLITE_LOCKED:
		return &FileError{Problem: errors.New("another program has locked the file for longer than 3 s"), Next: "end the program that has the file open", Cause: err}
	case lib.SQLITE_CORRUPT, lib.SQLITE_NOTADB:
		return &FileError{Problem: errors.New("the file is damaged"), Next: "run `martendrum record check` for details", Cause: err}
	}
	return err
}

// firstReadError returns the error for a file whose first read failed with err.
func firstReadError(err error) error {
	if code := resultCode(err); code == lib.SQLITE_BUSY || code == lib.SQLITE_LOCKED {
		return withAdvice(err)
	}
	return &UnreadableError{Cause: err}
}
