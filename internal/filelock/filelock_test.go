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

func acquire(t *testing.T, path string) *os.File {
	t.Helper()
	file, err := Acquire(path, 0o600)
	if err != nil {
		t.Fatal(err)
	}
	return file
}

// locked tries to lock a path once; nil if the lock was free.
func locked(t *testing.T, path string) error {
	t.Helper()
	file, err := os.OpenFile(path, os.O_CREATE|os.O_RDWR, 0o600)
	if err != nil {
		t.Fatal(err)
	}
	defer file.Close()
	return syscall.Flock(int(file.Fd()), syscall.LOCK_EX|syscall.LOCK_NB)
}

// TestReleaseFreesTheLockBeforeAChildsExec checks that Release frees the lock while a copy of
// the open file exists, as in a child between its fork and its exec.
func TestReleaseFreesTheLockBeforeAChildsExec(t *testing.T) {
	path := filepath.Join(t.TempDir(), "lock")
	file := acquire(t, path)
	copied, err := syscall.Dup(int(file.Fd()))
	if err != nil {
		t.Fatal(err)
	}
	defer syscall.Close(copied)
	if err := Release(file); err != nil {
		t.Fatal(err)
	}
	if err := locked(t, path); err != nil {
		t.Errorf("the lock is not free after Release: %v", err)
	}
}

// TestLockIsReusedWhileProcessesStart acquires and releases the lock while processes are
// started.
func TestLockIsReusedWhileProcessesStart(t *testing.T) {
	const starters, turns = 4, 200
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
					t.Error(err)
					return
				}
			}
		})
	}
	for range turns {
		file := acquire(t, path)
		if err := Release(file); err != nil {
			t.Error(err)
		}
		if err := locked(t, path); err != nil { // without Acquire's retries
			t.Errorf("the lock was not free: %v", err)
		}
	}
	close(done)
	wg.Wait()
}

// TestAcquireRetries checks that Acquire gets a lock that is released soon, and returns an
// error for one that is not.
func TestAcquireRetries(t *testing.T) {
	path := filepath.Join(t.TempDir(), "lock")
	owner := acquire(t, path)
	rejected, err := Acquire(path, 0o600)
	if !errors.Is(err, ErrLocked) {
		t.Fatalf("a lock that is held: %v", err)
	}
	rejected.Close()
	waiting := make(chan error, 1)
	began := make(chan struct{})
	go func() {
		close(began)
		file, err := Acquire(path, 0o600)
		if err == nil {
			defer file.Close()
		}
		waiting <- err
	}()
	<-began
	time.Sleep(2 * retryInterval) // it has found the lock held, in most runs
	if err := Release(owner); err != nil {
		t.Fatal(err)
	}
	if err := <-waiting; err != nil {
		t.Errorf("a lock that became free: %v", err)
	}
}
