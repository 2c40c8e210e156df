// Package filelock takes and gives back the advisory lock of a file (flock), by which one
// process at a time owns what lies beside it.
//
// The kernel ties such a lock to the open file, not to the process. A child has a copy of
// each open file from its fork until its exec has closed it, so closing the file alone does
// not free the lock while a child is between the two: Release unlocks it first. A process
// that was killed could not, so Acquire waits a moment for what its last child may hold.
package filelock

import (
	"errors"
	"os"
	"syscall"
	"time"
)

const (
	// maxAcquire is how long Acquire waits for a lock that another holds. A child's way
	// from fork to exec takes microseconds, on a busy machine some milliseconds.
	maxAcquire = 500 * time.Millisecond
	// retryInterval is how often it tries.
	retryInterval = 5 * time.Millisecond
)

// ErrLocked says that another process, or another open file of this one, holds the lock.
var ErrLocked = errors.New("filelock: held by another")

// Acquire opens the file, makes it with the given permissions if there is none, and locks
// it. Where the error is ErrLocked, the file is returned all the same, open and not locked, so
// that what its holder wrote into it can be read; the caller closes it.
func Acquire(path string, permissions os.FileMode) (*os.File, error) {
	file, err := os.OpenFile(path, os.O_CREATE|os.O_RDWR, permissions)
	if err != nil {
		return nil, err
	}
	for until := time.Now().Add(maxAcquire); ; time.Sleep(retryInterval) {
		err := syscall.Flock(int(file.Fd()), syscall.LOCK_EX|syscall.LOCK_NB)
		switch {
		case err == nil:
			return file, nil
		case err == syscall.EINTR:
		case err != syscall.EWOULDBLOCK:
			file.Close()
			return nil, os.NewSyscallError("flock", err)
		case time.Now().After(until):
			return file, ErrLocked
		}
	}
}

// Release unlocks the file and closes it. Whoever opens it next gets the lock at once, also
// while a child has a copy of the file. A lock that was passed on to another process, which
// goes on with it, is not for Release: closing the file leaves it to that process.
func Release(file *os.File) error {
	unlocked := os.NewSyscallError("flock", syscall.Flock(int(file.Fd()), syscall.LOCK_UN))
	return errors.Join(unlocked, file.Close())
}
