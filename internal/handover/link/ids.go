package link

import (
	"fmt"
	"os"
	"sync/atomic"
	"syscall"
	"unsafe"

	"golang.org/x/sys/unix"

	"martendrum/internal/handover/idtable"
)

// SharedTable is a table of ids in memory that two processes map, and beside it how many requests
// each of the two holds.
type SharedTable struct {
	*idtable.Table
	memory   []byte
	inFlight []uint64 // of either side; nil: the other process can't count with this one
	side     side
}

// side is which of the two a process is.
type side int

const (
	predecessorSide side = iota
	successorSide
	sides
)

// tableBytes is the size of a table.
func tableBytes(counted bool) int {
	if counted {
		return (idtable.Slots + int(sides)) * 8
	}
	return idtable.Slots * 8
}

// CountsInFlight says that the table has a count of the requests held.
func (t *SharedTable) CountsInFlight() bool { return t.inFlight != nil }

// SetInFlight says that this process holds n requests and returns how many the other one does.
// Of two that write at the same time at least one sees what the other wrote, so two
// that each keep the sum within a limit don't exceed it together. A process's own
// calls are in turn. (A swap, for a plain atomic store is weaker under the race detector:
// there it let both take the last place.)
func (t *SharedTable) SetInFlight(n int) (others int) {
	atomic.SwapUint64(&t.inFlight[t.side], uint64(n))
	return int(atomic.LoadUint64(&t.inFlight[sides-1-t.side]))
}

// newSharedTable makes a table and returns the file to pass on, which the caller closes.
func newSharedTable(counted bool) (t *SharedTable, f *os.File, err error) {
	fd, err := unix.MemfdCreate("sidecar-ids", unix.MFD_CLOEXEC)
	if err != nil {
		return nil, nil, fmt.Errorf("link: a table of ids: %w", err)
	}
	f = os.NewFile(uintptr(fd), "ids")
	if err = f.Truncate(int64(tableBytes(counted))); err == nil {
		t, err = mapSharedTable(f, counted, predecessorSide)
	}
	if err != nil {
		f.Close()
		return nil, nil, err
	}
	return t, f, nil
}

// mapSharedTable maps the table of a file that another process made.
func mapSharedTable(f *os.File, counted bool, s side) (*SharedTable, error) {
	size := tableBytes(counted)
	info, err := f.Stat()
	if err != nil {
		return nil, fmt.Errorf("link: a table of ids: %w", err)
	}
	if info.Size() != int64(size) {
		return nil, fmt.Errorf("link: a table of ids of %d bytes, want %d", info.Size(), size)
	}
	mem, err := syscall.Mmap(int(f.Fd()), 0, size, syscall.PROT_READ|syscall.PROT_WRITE, syscall.MAP_SHARED)
	if err != nil {
		return nil, fmt.Errorf("link: a table of ids: %w", err)
	}
	// A mapping begins at a page, so it is aligned.
	words := unsafe.Slice((*uint64)(unsafe.Pointer(&mem[0])), size/8)
	t := &SharedTable{Table: idtable.NewTable(words), memory: mem, side: s}
	if counted {
		t.inFlight = words[idtable.Slots:]
	}
	return t, nil
}

// Close unmaps the table: nobody of this process may use it any more.
func (t *SharedTable) Close() { syscall.Munmap(t.memory) }
