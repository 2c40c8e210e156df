// Package filelock acquires and releases advisory locks of files (flock), by which one
// process at a time owns a resource.
//
// The kernel ties a lock to the open file, not to the process. A child process has a copy
// of each open file from its fork until its exec, so closing the file does not free the
// lock while a child is between the two. Release therefore unlocks the file first. A
// process that was killed can't, so Acquire retries for a short time.
package filelock

import (
	"errors"
	"os"
	"syscall"
	"time"
)

const (
	// acquireTimeout is how long Acquire retries. A child takes microseconds from fork to
	// exec, on a busy machine some milliseconds.
	acquireTimeout = 500 * time.Millisecond
	retryInterval  = 5 * time.Millisecond
)

// ErrLocked says that another process, or another open file of this one, has the lock.
var ErrLocked = errors.New("filelock: held by another")

// Acquire opens a file, creates it with permissions if there is none, and locks it. With
// ErrLocked, it returns the open file too, for the caller to read what the owner of the
// lock wrote and to close.
func Acquire(path string, permissions os.FileMode) (*os.File, error) {
	file, err := os.OpenFile(path, os.O_CREATE|os.O_RDWR, permissions)
	if err != nil {
		return nil, err
	}
	for deadline := time.Now().Add(acquireTimeout); ; time.Sleep(retryInterval) {
		err := syscall.Flock(int(file.Fd()), syscall.LOCK_EX|syscall.LOCK_NB)
		switch {
		case err == nil:
			return file, nil
		case err == syscall.EINTR:
		case err != syscall.EWOULDBLOCK:
			file.Close()
			return nil, os.NewSyscallError("flock", err)
		case time.Now().After(deadline):
			return file, ErrLocked
		}
	}
}

// Release unlocks a file and closes it, so that another process can lock it at once, even
// while a child has a copy of the file. A lock that another process shares must not be
// released: closing the file leaves it to that process.
func Release(file *os.File) error {
	unlocked := os.NewSyscallError("flock", syscall.Flock(int(file.Fd()), syscall.LOCK_UN))
	return errors.Join(unlocked, file.Close())
}
