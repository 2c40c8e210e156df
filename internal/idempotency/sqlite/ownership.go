package sqlite

import (
	"errors"
	"fmt"
	"os"
	"strings"

	"martendrum/internal/filelock"
)

const (
	lockSuffix      = ".lock"
	lockPermissions = 0o600
	// maxProcessIDText is the maximum number of bytes that are read from a lock file, which
	// contains the process ID of its holder.
	maxProcessIDText = 32
)

// acquireLock locks the lock file and writes this process's ID to it. The kernel releases
// the lock when the process ends.
func (s *Store) acquireLock() error {
	file, err := filelock.Acquire(s.config.Path+lockSuffix, lockPermissions)
	if errors.Is(err, filelock.ErrLocked) {
		holder := make([]byte, maxProcessIDText)
		n, _ := file.Read(holder)
		file.Close()
		return &FileError{
			Problem: fmt.Errorf("locked by process %s", strings.TrimSpace(string(holder[:n]))),
			Next:    "only one sidecar can own a file; give this one a file of its own",
		}
	}
	if err != nil {
		return &FileError{Next: "the folder must exist and be writable", Cause: err}
	}
	s.lock = file
	file.Truncate(0)
	fmt.Fprintln(file, os.Getpid())
	return nil
}

// adoptLock checks that the lock that another process passed to this one belongs to this
// store's file, and writes this process's ID to the lock file.
func (s *Store) adoptLock() error {
	passed, err := s.lock.Stat()
	if err != nil {
		return err
	}
	lockFile, err := os.Stat(s.config.Path + lockSuffix)
	if err != nil {
		return err
	}
	if !os.SameFile(passed, lockFile) {
		return &FileError{Problem: errors.New("the predecessor owns another file"), Next: "end the predecessor before this process starts"}
	}
	s.lock.Truncate(0)
	_, err = s.lock.WriteAt(fmt.Appendln(nil, os.Getpid()), 0)
	return err
}

// Lock returns the file's lock, which this process passes to its successor, or nil if this
// Store does not own the file. From this call on, Close does not release the lock. The
// kernel releases it when the last process that has it ends.
func (s *Store) Lock() *os.File {
	s.shared.Store(true)
	return s.lock
}
