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

// locked says whether an open file of the path's gets the lock now, without a wait.
func locked(t *testing.T, path string) error {
	t.Helper()
	file, err := os.OpenFile(path, os.O_CREATE|os.O_RDWR, 0o600)
	if err != nil {
		t.Fatal(err)
	}
	defer file.Close()
	return syscall.Flock(int(file.Fd()), syscall.LOCK_EX|syscall.LOCK_NB)
}

// A child between its fork and its exec has a copy of the open file. Here a copy stands for
// it, and stays.
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

// The lock changes hands within one process while others are started from it.
func TestLockChangesHandsWhileProcessesStart(t *testing.T) {
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
		if err := locked(t, path); err != nil { // at once, without Acquire's wait
			t.Errorf("the lock was not free: %v", err)
		}
	}
	close(done)
	wg.Wait()
}

// A lock that the child of a killed process still holds is waited for; one that is held for
// good is an error.
func TestAcquireWaitsForALateHolder(t *testing.T) {
	path := filepath.Join(t.TempDir(), "lock")
	holder := acquire(t, path)
	refused, err := Acquire(path, 0o600)
	if !errors.Is(err, ErrLocked) {
		t.Fatalf("a lock that is held: %v", err)
	}
	refused.Close()
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
	if err := Release(holder); err != nil {
		t.Fatal(err)
	}
	if err := <-waiting; err != nil {
		t.Errorf("a lock that became free: %v", err)
	}
}
