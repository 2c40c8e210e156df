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

// SharedTable is memory that both processes map: a table of request ids and the number of
// requests that each has in flight.
type SharedTable struct {
	*idtable.Table
	memory   []byte
	inFlight []uint64 // by side; nil: the other process does not support counts
	side     side
}

// side says which of the two a process is.
type side int

const (
	predecessorSide side = iota
	successorSide
	sides
)

// wordBytes is the size of a word of the table.
const wordBytes = 8

// tableBytes is the size of a table, with or without counts.
func tableBytes(counted bool) int {
	if counted {
		return (idtable.Slots + int(sides)) * wordBytes
	}
	return idtable.Slots * wordBytes
}

// CountsInFlight says whether the table has counts of requests in flight.
func (t *SharedTable) CountsInFlight() bool { return t.inFlight != nil }

// SetInFlight says that this process has n requests in flight and returns how many the
// other one has. Of two processes that call it at the same time at least one sees the
// other's number, so that two that each keep the sum within a limit do not exceed it
// together. Calls of one process must not be concurrent.
func (t *SharedTable) SetInFlight(n int) (others int) {
	// A swap, as under the race detector an atomic store is weaker and let both processes
	// take the last place.
	atomic.SwapUint64(&t.inFlight[t.side], uint64(n))
	return int(atomic.LoadUint64(&t.inFlight[sides-1-t.side]))
}

// newSharedTable makes the predecessor's table and returns the file to pass on, which the
// caller closes.
func newSharedTable(counted bool) (table *SharedTable, file *os.File, err error) {
	descriptor, err := unix.MemfdCreate("sidecar-ids", unix.MFD_CLOEXEC)
	if err != nil {
		return nil, nil, fmt.Errorf("link: a table of ids: %w", err)
	}
	file = os.NewFile(uintptr(descriptor), "ids")
	if err = file.Truncate(int64(tableBytes(counted))); err == nil {
		table, err = mapSharedTable(file, counted, predecessorSide)
	}
	if err != nil {
		file.Close()
		return nil, nil, err
	}
	return table, file, nil
}

// mapSharedTable maps the table in a file.
func mapSharedTable(file *os.File, counted bool, side side) (*SharedTable, error) {
	size := tableBytes(counted)
	info, err := file.Stat()
	if err != nil {
		return nil, fmt.Errorf("link: a table of ids: %w", err)
	}
	if info.Size() != int64(size) {
		return nil, fmt.Errorf("link: a table of ids of %d bytes, want %d", info.Size(), size)
	}
	memory, err := syscall.Mmap(int(file.Fd()), 0, size, syscall.PROT_READ|syscall.PROT_WRITE, syscall.MAP_SHARED)
	if err != nil {
		return nil, fmt.Errorf("link: a table of ids: %w", err)
	}
	// A mapping begins at a page, so its words are aligned.
	words := unsafe.Slice((*uint64)(unsafe.Pointer(&memory[0])), size/wordBytes)
	table := &SharedTable{Table: idtable.NewTable(words), memory: memory, side: side}
	if counted {
		table.inFlight = words[idtable.Slots:]
	}
	return table, nil
}

// Close unmaps the table, which nobody in this process may use any more.
func (t *SharedTable) Close() { syscall.Munmap(t.memory) }
