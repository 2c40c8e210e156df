package filelock

import (
	"errors"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"testing"
	"time"
)

// acquire acquires the lock of a path, and fails the test if it can't.
func acquire(t *testing.T, path string) *os.File {
	t.Helper()
	file, err := Acquire(path, 0o600)
	if err != nil {
		t.Fatalf("Acquire: %v", err)
	}
	return file
}

// tryLock tries once to lock a path. It returns nil if the lock was free, and leaves it free.
func tryLock(t *testing.T, path string) error {
	t.Helper()
	file, err := os.OpenFile(path, os.O_CREATE|os.O_RDWR, 0o600)
	if err != nil {
		t.Fatal(err)
	}
	defer file.Close()
	return syscall.Flock(int(file.Fd()), syscall.LOCK_EX|syscall.LOCK_NB)
}

// TestReleaseFreesTheLockBeforeAChildsExec checks that Release frees the lock even if a copy of the
// open file exists, as in a child between its fork and its exec.
func TestReleaseFreesTheLockBeforeAChildsExec(t *testing.T) {
	path := filepath.Join(t.TempDir(), "lock")
	file := acquire(t, path)
	copied, err := syscall.Dup(int(file.Fd()))
	if err != nil {
		t.Fatalf("dup: %v", err)
	}
	defer syscall.Close(copied)
	if err := Release(file); err != nil {
		t.Fatalf("Release: %v", err)
	}
	if err := tryLock(t, path); err != nil {
		t.Errorf("the lock is not free after Release: %v", err)
	}
}

// TestLockIsReusedWhileProcessesStart checks that a released lock is free at once, even if other
// goroutines start processes, which have a copy of the open file from fork to exec.
func TestLockIsReusedWhileProcessesStart(t *testing.T) {
	const starters, rounds = 4, 200
	path := filepath.Join(t.TempDir(), "lock")
	done := make(chan struct{})
	var wg sync.WaitGroup
	for range starters {
		wg.Go(func() {
			for {
				select {
				case <-done:
					return
				default:
				}
				if err := exec.Command("/bin/true").Run(); err != nil {
					t.Errorf("run /bin/true: %v", err)
					return
				}
			}
		})
	}
	for range rounds {
		file := acquire(t, path)
		if err := Release(file); err != nil {
			t.Errorf("Release: %v", err)
		}
		if err := tryLock(t, path); err != nil { // without Acquire's retries
			t.Errorf("the lock is not free after Release: %v", err)
		}
	}
	close(done)
	wg.Wait()
}

// TestAcquireRetries checks that Acquire returns ErrLocked if the lock stays held, and acquires a
// lock that is released within acquireTimeout.
func TestAcquireRetries(t *testing.T) {
	path := filepath.Join(t.TempDir(), "lock")
	owner := acquire(t, path)
	lockedFile, err := Acquire(path, 0o600)
	if !errors.Is(err, ErrLocked) {
		t.Fatalf("Acquire() of a held lock: error = %v, want ErrLocked", err)
	}
	lockedFile.Close()
	acquired := make(chan error, 1)
	began := make(chan struct{})
	go func() {
		close(began)
		file, err := Acquire(path, 0o600)
		if err == nil {
			defer file.Close()
		}
		acquired <- err
	}()
	<-began
	time.Sleep(2 * retryInterval) // in most runs Acquire has then found the lock held
	if err := Release(owner); err != nil {
		t.Fatalf("Release: %v", err)
	}
	if err := <-acquired; err != nil {
		t.Errorf("Acquire() of a lock that was released: %v", err)
	}
}
