package sqlite

import (
	"fmt"

	driver "modernc.org/sqlite"
	lib "modernc.org/sqlite/lib"

	"errors"
	"martendrum/internal/idempotency"
)

func resultCode(err error) int {
	if e, ok := errors.AsType[*driver.Error](err); ok {
		return e.Code() & 0xff
	}
	return 0
}

// withAdvice says what an operator can do about an error.
func withAdvice(err error) error {
	switch resultCode(err) {
	case 0:
		return err
	case lib.SQLITE_FULL:
		return fmt.Errorf("%w: raise its bound, or free space on the disk: %w", idempotency.ErrFull, err)
	case lib.SQLITE_READONLY, lib.SQLITE_PERM, lib.SQLITE_CANTOPEN:
		return fmt.Errorf("%w: the sidecar's user must be able to write the file and its folder: %w", idempotency.ErrReadOnly, err)
	case lib.SQLITE_BUSY, lib.SQLITE_LOCKED:
		return fmt.Errorf("locked by another program for longer than 3 s: end what has it open: %w", err)
	case lib.SQLITE_CORRUPT, lib.SQLITE_NOTADB:
		return fmt.Errorf("the file is damaged: `martendrum record check` tells more: %w", err)
	}
	return err
}

func damagedError(err error) error {
	if resultCode(err) == lib.SQLITE_BUSY || resultCode(err) == lib.SQLITE_LOCKED {
		return withAdvice(err)
	}
	return fmt.Errorf("it can't be read (%w): if it is damaged, keep it with its -wal and -shm files for `martendrum record export`, move them aside and start again; keys that it held are then unknown", err)
}
