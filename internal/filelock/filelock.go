// Package filelock acquires and releases advisory locks on files (flock), which let one process at
// a time own a resource.
//
// The kernel ties a lock to the open file, not to the process. From its fork until its exec, a child
// process has a copy of each open file, so closing the file does not free the lock while a child is
// between the two. Release therefore unlocks the file before closing it. A process that was killed
// can't, so Acquire retries for a short time.
package filelock

import (
	"errors"
	"os"
	"syscall"
	"time"
)

const (
	// acquireTimeout is how long Acquire retries. A child takes microseconds from its fork to
	// its exec, on a busy machine some milliseconds.
	acquireTimeout = 500 * time.Millisecond
	retryInterval  = 5 * time.Millisecond
)

// ErrLocked reports that another process, or another open file of this process, has the lock.
var ErrLocked = errors.New("filelock: the lock is held by another process or open file")

// Acquire opens a file, which it creates with permissions if there is none, and locks it. It retries
// for acquireTimeout while the lock is held, and then returns ErrLocked together with the open file:
// the caller can read what the owner of the lock wrote, and closes the file.
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

// Release unlocks a file and closes it, so that another process can lock it at once, even while a
// child has a copy of the open file. It must not be called for a lock that is shared with another
// process: close the file instead, which leaves the lock to that process.
func Release(file *os.File) error {
	unlockErr := os.NewSyscallError("flock", syscall.Flock(int(file.Fd()), syscall.LOCK_UN))
	return errors.Join(unlockErr, file.Close())
}
