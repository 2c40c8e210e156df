package link

import (
	"errors"
	"fmt"
	"hash/fnv"
	"io"
	"os"
	"path/filepath"
	"sync"
	"syscall"

	"martendrum/internal/handover"
)

const (
	// filePermissions are the permissions of the lock, the socket and the snapshot.
	filePermissions = 0o600
	// maxSocketPath is the maximum length of a path that is used as a socket's address
	// unchanged. sun_path holds 108 bytes.
	maxSocketPath = 99
)

// Suffixes of the files of a rendezvous.
const (
	lockSuffix        = ".lock"
	socketSuffix      = ".sock"
	newSocketSuffix   = ".new" // a socket before it replaces the one of an ended process
	snapshotSuffix    = ".snap"
	newSnapshotSuffix = ".snap.new"
)

// Rendezvous is where the processes of one sidecar find each other: a lock, a socket and a
// snapshot in a directory. It is safe for concurrent use.
type Rendezvous struct {
	directory, name string

	mu   sync.Mutex
	lock *os.File // nil: not held
}

// Errors of a rendezvous.
var (
	// ErrLocked reports that another process has the lock.
	ErrLocked = errors.New("link: another process serves at this address")
	// ErrForeign reports that the lock file can't be opened, or that a file or process of the
	// rendezvous is not this user's.
	ErrForeign = errors.New("link: rendezvous can't be used")
)

// NewRendezvous returns the rendezvous of the sidecar that listens at the address listen. Its
// files are in directory.
func NewRendezvous(directory, listen string) *Rendezvous {
	hash := fnv.New64a()
	hash.Write([]byte(listen))
	return &Rendezvous{directory: directory, name: fmt.Sprintf("sidecar-%016x", hash.Sum64())}
}

func (r *Rendezvous) path(suffix string) string { return filepath.Join(r.directory, r.name+suffix) }

// Lock takes the lock of the rendezvous, unless this process has it already. It returns ErrLocked
// if another process has it.
func (r *Rendezvous) Lock() error {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.lock != nil {
		return nil
	}
	path := r.path(lockSuffix)
	file, err := os.OpenFile(path, os.O_RDWR|os.O_CREATE|syscall.O_NOFOLLOW, filePermissions)
	if err != nil {
		return fmt.Errorf("%w: %w", ErrForeign, err)
	}
	if err := checkOwner(path, file); err != nil {
		file.Close()
		return err
	}
	if err := syscall.Flock(int(file.Fd()), syscall.LOCK_EX|syscall.LOCK_NB); err != nil {
		file.Close()
		if errors.Is(err, syscall.EWOULDBLOCK) {
			return ErrLocked
		}
		return fmt.Errorf("link: lock %s: %w", path, err)
	}
	r.lock = file
	return nil
}

// checkOwner returns an error unless file is a regular file of this user.
func checkOwner(path string, file *os.File) error {
	info, err := file.Stat()
	if err != nil {
		return fmt.Errorf("link: %w", err)
	}
	status, ok := info.Sys().(*syscall.Stat_t)
	if !ok || !info.Mode().IsRegular() || int(status.Uid) != os.Geteuid() {
		return fmt.Errorf("%w: %s is not a regular file of this user", ErrForeign, path)
	}
	return nil
}

// Locked reports whether this process has the lock.
func (r *Rendezvous) Locked() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.lock != nil
}

// adoptLock replaces the lock by one that the predecessor has passed.
func (r *Rendezvous) adoptLock(lock *os.File) {
	r.Close()
	r.mu.Lock()
	defer r.mu.Unlock()
	r.lock = lock
}

// Close closes the lock. The rendezvous stays locked as long as another process has the same
// lock.
func (r *Rendezvous) Close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.lock != nil {
		r.lock.Close()
		r.lock = nil
	}
}

// socketAddress returns the address of the socket file with a suffix, in a form that is short
// enough for any directory. It is valid until done is called.
func (r *Rendezvous) socketAddress(suffix string) (address string, done func(), err error) {
	address = r.path(suffix)
	if len(address) <= maxSocketPath {
		return address, func() {}, nil
	}
	directory, err := syscall.Open(r.directory, syscall.O_DIRECTORY|syscall.O_CLOEXEC|syscall.O_RDONLY, 0)
	if err != nil {
		return "", nil, fmt.Errorf("link: %s: %w", r.directory, err)
	}
	return fmt.Sprintf("/proc/self/fd/%d/%s%s", directory, r.name, suffix), func() { syscall.Close(directory) }, nil
}

// SaveSnapshot stores a snapshot for the next process. It returns ErrLocked if this process does
// not have the lock.
func (r *Rendezvous) SaveSnapshot(data []byte) error {
	if !r.Locked() {
		return ErrLocked
	}
	unfinished := r.path(newSnapshotSuffix)
	os.Remove(unfinished)
	file, err := os.OpenFile(unfinished, os.O_WRONLY|os.O_CREATE|os.O_EXCL|syscall.O_NOFOLLOW, filePermissions)
	if err != nil {
		return fmt.Errorf("link: %w", err)
	}
	_, err = file.Write(data)
	if closeErr := file.Close(); err == nil {
		err = closeErr
	}
	if err == nil {
		err = os.Rename(unfinished, r.path(snapshotSuffix))
	}
	if err != nil {
		os.Remove(unfinished)
		return fmt.Errorf("link: %w", err)
	}
	return nil
}

// LoadSnapshot returns the snapshot that an earlier process stored, or nil if there is none. It
// reads at most one byte more than a valid snapshot may have.
func (r *Rendezvous) LoadSnapshot() ([]byte, error) {
	path := r.path(snapshotSuffix)
	file, err := os.OpenFile(path, os.O_RDONLY|syscall.O_NOFOLLOW|syscall.O_NONBLOCK, 0)
	if errors.Is(err, os.ErrNotExist) {
		return nil, nil
	}
	if err != nil {
		return nil, fmt.Errorf("link: %w", err)
	}
	defer file.Close()
	if err := checkOwner(path, file); err != nil {
		return nil, err
	}
	return io.ReadAll(io.LimitReader(file, handover.MaxSnapshotSize+1))
}
