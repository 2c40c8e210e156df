package link

import (
	"fmt"
	"os"
	"syscall"
	"unsafe"

	"golang.org/x/sys/unix"

	"chalkrack/internal/handover/idtable"
)

// IDs is a table of ids in memory that two processes map.
type IDs struct {
	*idtable.Table
	mem []byte
}

const idsBytes = idtable.Slots * 8

// newIDs makes a table and returns the file to pass on, which the caller closes.
func newIDs() (t *IDs, f *os.File, err error) {
	fd, err := unix.MemfdCreate("sidecar-ids", unix.MFD_CLOEXEC)
	if err != nil {
		return nil, nil, fmt.Errorf("link: a table of ids: %w", err)
	}
	f = os.NewFile(uintptr(fd), "ids")
	if err = f.Truncate(idsBytes); err == nil {
		t, err = mapIDs(f)
	}
	if err != nil {
		f.Close()
		return nil, nil, err
	}
	return t, f, nil
}

// mapIDs maps the table of a file that another process made.
func mapIDs(f *os.File) (*IDs, error) {
	info, err := f.Stat()
	if err != nil {
		return nil, fmt.Errorf("link: a table of ids: %w", err)
	}
	if info.Size() != idsBytes {
		return nil, fmt.Errorf("link: a table of ids of %d bytes, want %d", info.Size(), idsBytes)
	}
	mem, err := syscall.Mmap(int(f.Fd()), 0, idsBytes, syscall.PROT_READ|syscall.PROT_WRITE, syscall.MAP_SHARED)
	if err != nil {
		return nil, fmt.Errorf("link: a table of ids: %w", err)
	}
	// A mapping begins at a page, so it is aligned.
	return &IDs{Table: idtable.Over(unsafe.Slice((*uint64)(unsafe.Pointer(&mem[0])), idtable.Slots)), mem: mem}, nil
}

// Close unmaps the table: nobody of this process may use it any more.
func (t *IDs) Close() { syscall.Munmap(t.mem) }
