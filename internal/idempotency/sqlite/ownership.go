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
	// maxProcessIDText bounds what is read of a lock file: the process ID of its holder.
	maxProcessIDText = 32
)

// acquireLock takes the lock file, which the kernel releases when the process ends.
func (s *Store) acquireLock() error {
	file, err := filelock.Acquire(s.config.Path+lockSuffix, lockPermissions)
	if errors.Is(err, filelock.ErrLocked) {
		holder := make([]byte, maxProcessIDText)
		n, _ := file.Read(holder)
		file.Close()
		return &FileError{
			Problem: fmt.Errorf("locked by process %s", strings.TrimSpace(string(holder[:n]))),
			Next:    "one sidecar owns a file; give this one a file of its own",
		}
	}
	if err != nil {
		return &FileError{Next: "the folder must be there and be writable", Cause: err}
	}
	s.lock = file
	file.Truncate(0)
	fmt.Fprintln(file, os.Getpid())
	return nil
}

// adoptLock checks a lock that another process passed to this one: it must be this
// file's. It writes this process's ID into it.
func (s *Store) adoptLock() error {
	got, err := s.lock.Stat()
	if err != nil {
		return err
	}
	want, err := os.Stat(s.config.Path + lockSuffix)
	if err != nil {
		return err
	}
	if !os.SameFile(got, want) {
		return &FileError{Problem: errors.New("the old process owns another file"), Next: "end it before this one starts"}
	}
	s.lock.Truncate(0)
	_, err = s.lock.WriteAt(fmt.Appendln(nil, os.Getpid()), 0)
	return err
}

// Lock is the file's lock, to be passed to the process that replaces this one; nil if
// this Store does not own the file. The kernel releases it when the last process that
// has it ends.
func (s *Store) Lock() *os.File {
	s.shared.Store(true)
	return s.lock
}
