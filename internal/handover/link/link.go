// Package link carries a hand-over over a Unix socket in a directory that the old
// process of a sidecar and the new one share. It brings messages to the machines of
// package handover and carries out what these ask for; it decides nothing itself.
//
// A file beside the socket is locked for as long as any process serves at the
// address. The lock goes with the listening socket from the old process to the new
// one, so that it is free only when both have ended, however they did: a socket file
// that a killed process left behind is known for what it is.
package link

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"hash/fnv"
	"io"
	"net"
	"os"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"martendrum/internal/handover"
)

const (
	// maxMessageBytes is the longest message, a snapshot's.
	maxMessageBytes = 192 << 10
	// sendTimeout is how long a message may take to be sent.
	sendTimeout = 500 * time.Millisecond
	// servingTimeout is how long a new process may take from its offer to serving.
	servingTimeout = 15 * time.Second
	// maxPeers is how many processes may talk to the old one at once.
	maxPeers = 4
)

// Rendezvous is where the processes of one sidecar find each other.
type Rendezvous struct {
	dir, name string

	mu   sync.Mutex
	lock *os.File // nil: not held
}

// Errors of a place.
var (
	// ErrLocked says that a process serves already.
	ErrLocked = errors.New("link: another process serves at this address")
	// ErrForeign says that what lies in the way is not this user's.
	ErrForeign = errors.New("link: a file in the way")
)

// NewRendezvous is the place in dir of the sidecar that listens at an address.
func NewRendezvous(dir, listen string) *Rendezvous {
	h := fnv.New64a()
	h.Write([]byte(listen))
	return &Rendezvous{dir: dir, name: fmt.Sprintf("sidecar-%016x", h.Sum64())}
}

func (p *Rendezvous) path(suffix string) string { return filepath.Join(p.dir, p.name+suffix) }

// Lock takes the place; ErrLocked if a process has it.
func (p *Rendezvous) Lock() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.lock != nil {
		return nil
	}
	path := p.path(".lock")
	f, err := os.OpenFile(path, os.O_RDWR|os.O_CREATE|syscall.O_NOFOLLOW, 0o600)
	if err != nil {
		return fmt.Errorf("%w: %w", ErrForeign, err)
	}
	if err := checkOwner(path, f); err != nil {
		f.Close()
		return err
	}
	if err := syscall.Flock(int(f.Fd()), syscall.LOCK_EX|syscall.LOCK_NB); err != nil {
		f.Close()
		if errors.Is(err, syscall.EWOULDBLOCK) {
			return ErrLocked
		}
		return fmt.Errorf("link: lock %s: %w", path, err)
	}
	p.lock = f
	return nil
}

// checkOwner says whether f is a plain file of this user's.
func checkOwner(path string, f *os.File) error {
	info, err := f.Stat()
	if err != nil {
		return fmt.Errorf("link: %w", err)
	}
	st, ok := info.Sys().(*syscall.Stat_t)
	if !ok || !info.Mode().IsRegular() || int(st.Uid) != os.Geteuid() {
		return fmt.Errorf("%w: %s is not a file of this user's", ErrForeign, path)
	}
	return nil
}

// Locked says that this process has the place.
func (p *Rendezvous) Locked() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.lock != nil
}

// adoptLock makes a lock that another process passed on this one's.
func (p *Rendezvous) adoptLock(lock *os.File) {
	p.Close()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.lock = lock
}

// Close gives the place up. Where the lock was passed on, the other process has it.
func (p *Rendezvous) Close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.lock != nil {
		p.lock.Close()
		p.lock = nil
	}
}

// socketAddress is the socket's, short enough for any directory: closing done frees it.
func (p *Rendezvous) socketAddress(suffix string) (addr string, done func(), err error) {
	addr = p.path(suffix)
	if len(addr) < 100 { // sun_path holds 108 bytes
		return addr, func() {}, nil
	}
	fd, err := syscall.Open(p.dir, syscall.O_DIRECTORY|syscall.O_CLOEXEC|syscall.O_RDONLY, 0)
	if err != nil {
		return "", nil, fmt.Errorf("link: %s: %w", p.dir, err)
	}
	return fmt.Sprintf("/proc/self/fd/%d/%s%s", fd, p.name, suffix), func() { syscall.Close(fd) }, nil
}

// SaveSnapshot keeps a snapshot for the next process. Only the one that has the place may.
func (p *Rendezvous) SaveSnapshot(data []byte) error {
	if !p.Locked() {
		return ErrLocked
	}
	part := p.path(".snap.new")
	os.Remove(part)
	f, err := os.OpenFile(part, os.O_WRONLY|os.O_CREATE|os.O_EXCL|syscall.O_NOFOLLOW, 0o600)
	if err != nil {
		return fmt.Errorf("link: %w", err)
	}
	_, err = f.Write(data)
	if e := f.Close(); err == nil {
		err = e
	}
	if err == nil {
		err = os.Rename(part, p.path(".snap"))
	}
	if err != nil {
		os.Remove(part)
		return fmt.Errorf("link: %w", err)
	}
	return nil
}

// LoadSnapshot is the snapshot that an earlier process kept; empty if there is none.
func (p *Rendezvous) LoadSnapshot() ([]byte, error) {
	path := p.path(".snap")
	f, err := os.OpenFile(path, os.O_RDONLY|syscall.O_NOFOLLOW|syscall.O_NONBLOCK, 0)
	if errors.Is(err, os.ErrNotExist) {
		return nil, nil
	}
	if err != nil {
		return nil, fmt.Errorf("link: %w", err)
	}
	defer f.Close()
	if err := checkOwner(path, f); err != nil {
		return nil, err
	}
	return io.ReadAll(io.LimitReader(f, handover.MaxSnapshotSize+1))
}

// connection is one end of a hand-over. Reads are one goroutine's.
type connection struct {
	unix    *net.UnixConn
	writeMu sync.Mutex // of writes
}

// send sends m, with the descriptors beside it.
func (c *connection) send(m handover.Message, fds ...int) error {
	data, err := json.Marshal(m)
	if err != nil {
		return fmt.Errorf("link: %w", err)
	}
	if len(data) > maxMessageBytes {
		m.Snapshot = nil // a start without it is slower, and no worse
		if data, err = json.Marshal(m); err != nil {
			return fmt.Errorf("link: %w", err)
		}
	}
	var oob []byte
	if len(fds) > 0 {
		oob = syscall.UnixRights(fds...)
	}
	c.writeMu.Lock()
	defer c.writeMu.Unlock()
	c.unix.SetWriteDeadline(time.Now().Add(sendTimeout))
	_, _, err = c.unix.WriteMsgUnix(data, oob, nil)
	return err
}

// receive waits for a message. The caller closes the files that came with it.
func (c *connection) receive(buf []byte) (m handover.Message, files []*os.File, err error) {
	oob := make([]byte, syscall.CmsgSpace(4*(handover.MaxListeners+3))) // and the lock, the table, and the record's lock
	n, oobn, flags, _, err := c.unix.ReadMsgUnix(buf, oob)
	if err != nil {
		return m, nil, err
	}
	if n == 0 {
		return m, nil, net.ErrClosed
	}
	if controls, err := syscall.ParseSocketControlMessage(oob[:oobn]); err == nil {
		for i := range controls {
			fds, err := syscall.ParseUnixRights(&controls[i])
			if err != nil {
				continue
			}
			for _, fd := range fds {
				files = append(files, os.NewFile(uintptr(fd), "handed over"))
			}
		}
	}
	if flags&(syscall.MSG_TRUNC|syscall.MSG_CTRUNC) != 0 {
		err = errors.New("link: a message too long")
	} else {
		err = json.Unmarshal(buf[:n], &m)
	}
	if err != nil {
		closeAll(files)
		files = nil
	}
	return m, files, err
}

func closeAll(files []*os.File) {
	for _, f := range files {
		f.Close()
	}
}

// isSameUser says whether the process at the other end is this user's.
func isSameUser(uc *net.UnixConn) bool {
	raw, err := uc.SyscallConn()
	if err != nil {
		return false
	}
	same := false
	raw.Control(func(fd uintptr) {
		cred, err := syscall.GetsockoptUcred(int(fd), syscall.SOL_SOCKET, syscall.SO_PEERCRED)
		same = err == nil && int(cred.Uid) == os.Geteuid()
	})
	return same
}

// Listen opens the socket at which sidecars serve, so that others of the same user
// may listen at the address too.
func Listen(addr string) (*net.TCPListener, error) {
	lc := net.ListenConfig{Control: func(_, _ string, raw syscall.RawConn) error {
		var err error
		if e := raw.Control(func(fd uintptr) { err = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, soReusePort, 1) }); e != nil {
			return e
		}
		return err
	}}
	ln, err := lc.Listen(context.Background(), "tcp", addr)
	if err != nil {
		return nil, err
	}
	return ln.(*net.TCPListener), nil
}

const soReusePort = 0xf // SO_REUSEPORT on Linux
