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
	Problem error  // nil where the next step says it
	Next    string // the next step
	Cause   error  // of the system; may be nil
}

// Error joins the problem, the next step and the cause.
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

// Unwrap returns the problem, which may be idempotency.ErrFull or ErrReadOnly, and the
// cause.
func (e *FileError) Unwrap() []error {
	var wrapped []error
	for _, err := range []error{e.Problem, e.Cause} {
		if err != nil {
			wrapped = append(wrapped, err)
		}
	}
	return wrapped
}

// Advice is the next step.
func (e *FileError) Advice() string { return e.Next }

// UnreadableError says that a file could not be read and may be damaged.
type UnreadableError struct{ Cause error }

// Error has the cause and the next step.
func (e *UnreadableError) Error() string {
	return fmt.Sprintf("it can't be read (%v): %s", e.Cause, e.Advice())
}

// Unwrap returns the cause.
func (e *UnreadableError) Unwrap() error { return e.Cause }

// Advice is the next step.
func (e *UnreadableError) Advice() string {
	return "if it is damaged, keep it with its -wal and -shm files for `martendrum record export`, move them aside and start again; keys that it held are then unknown"
}

// resultCode is SQLite's primary result code of an error, 0 if it has none.
func resultCode(err error) int {
	if e, ok := errors.AsType[*driver.Error](err); ok {
		return e.Code() & 0xff
	}
	return 0
}

// withAdvice adds to an error of SQLite what an operator can do about it.
func withAdvice(err error) error {
	switch resultCode(err) {
	case lib.SQLITE_FULL:
		return &FileError{Problem: idempotency.ErrFull, Next: "raise its bound, or free space on the disk", Cause: err}
	case lib.SQLITE_READONLY, lib.SQLITE_PERM, lib.SQLITE_CANTOPEN:
		return &FileError{Problem: idempotency.ErrReadOnly, Next: "the sidecar's user must be able to write the file and its folder", Cause: err}
	case lib.SQLITE_BUSY, lib.SQLITE_LOCKED:
		return &FileError{Problem: errors.New("locked by another program for longer than 3 s"), Next: "end what has it open", Cause: err}
	case lib.SQLITE_CORRUPT, lib.SQLITE_NOTADB:
		return &FileError{Problem: errors.New("the file is damaged"), Next: "`martendrum record check` tells more", Cause: err}
	}
	return err
}

// unreadable is the error of a file that failed its first read.
func unreadable(err error) error {
	if code := resultCode(err); code == lib.SQLITE_BUSY || code == lib.SQLITE_LOCKED {
		return withAdvice(err)
	}
	return &UnreadableError{Cause: err}
}
