package sqlite

import (
	"errors"
	"fmt"
	"os"
	"strings"

	"martendrum/internal/filelock"
)

// acquireLock takes the lock file, which the kernel frees when the process ends.
func (s *Store) acquireLock() error {
	f, err := filelock.Acquire(s.config.Path+".lock", 0o600)
	if errors.Is(err, filelock.ErrLocked) {
		holder := make([]byte, 32)
		n, _ := f.Read(holder)
		f.Close()
		return fmt.Errorf("locked by process %s: one sidecar owns a file; give this one a file of its own", strings.TrimSpace(string(holder[:n])))
	}
	if err != nil {
		return fmt.Errorf("the folder must be there and be writable: %w", err)
	}
	s.lock = f
	f.Truncate(0)
	fmt.Fprintln(f, os.Getpid())
	return nil
}

// adoptLock checks an ownership that was passed on: it must be of this file, and held.
func (s *Store) adoptLock() error {
	got, err := s.lock.Stat()
	if err != nil {
		return err
	}
	want, err := os.Stat(s.config.Path + ".lock")
	if err != nil {
		return err
	}
	if !os.SameFile(got, want) {
		return errors.New("the old process owns another file: end it before this one starts")
	}
	s.lock.Truncate(0)
	_, err = s.lock.WriteAt(fmt.Appendln(nil, os.Getpid()), 0)
	return err
}

// Lock is the ownership of the file, to be passed on to a process that takes this one's
// place; nil if this Store has none. The kernel frees it when the last process that has
// it ends.
func (s *Store) Lock() *os.File {
	s.shared.Store(true)
	return s.lock
}
