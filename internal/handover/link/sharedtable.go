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

// SharedTable is memory that the predecessor and the successor both map: a table of request ids and,
// if both support it, the number of requests that each process has in flight.
type SharedTable struct {
	*idtable.Table
	memory   []byte
	inFlight []uint64 // indexed by side; nil: the table has no counts
	side     side
}

// side identifies one of the two processes of a hand-over.
type side int

const (
	predecessorSide side = iota
	successorSide
	sides // the number of sides
)

// wordBytes is the size of a word of the table.
const wordBytes = 8

// tableBytes returns the size of a table with or without counts.
func tableBytes(withCounts bool) int {
	if withCounts {
		return (idtable.Slots + int(sides)) * wordBytes
	}
	return idtable.Slots * wordBytes
}

// CountsInFlight reports whether the table has counts of requests in flight.
func (t *SharedTable) CountsInFlight() bool { return t.inFlight != nil }

// SetInFlight publishes that this process has n requests in flight, and returns how many the
// other process has. It must be called only if CountsInFlight. If both processes call it at the
// same time, at least one of them sees the other's new number, so two processes that each keep
// the sum within a limit do not exceed it together. Calls within one process must not be
// concurrent.
func (t *SharedTable) SetInFlight(n int) (otherInFlight int) {
	// A swap instead of a store: under the race detector an atomic store is weaker, and both
	// processes could take the last place below the limit.
	atomic.SwapUint64(&t.inFlight[t.side], uint64(n))
	return int(atomic.LoadUint64(&t.inFlight[sides-1-t.side]))
}

// newSharedTable creates the predecessor's table and returns the file to pass to the successor,
// which the caller closes.
func newSharedTable(withCounts bool) (table *SharedTable, file *os.File, err error) {
	descriptor, err := unix.MemfdCreate("sidecar-ids", unix.MFD_CLOEXEC)
	if err != nil {
		return nil, nil, fmt.Errorf("link: shared table: %w", err)
	}
	file = os.NewFile(uintptr(descriptor), "ids")
	if err = file.Truncate(int64(tableBytes(withCounts))); err == nil {
		table, err = mapSharedTable(file, withCounts, predecessorSide)
	}
	if err != nil {
		file.Close()
		return nil, nil, err
	}
	return table, file, nil
}

// mapSharedTable maps the table in a file for one of the two processes. The file must have the
// size of a table with or without counts, as requested.
func mapSharedTable(file *os.File, withCounts bool, side side) (*SharedTable, error) {
	size := tableBytes(withCounts)
	info, err := file.Stat()
	if err != nil {
		return nil, fmt.Errorf("link: shared table: %w", err)
	}
	if info.Size() != int64(size) {
		return nil, fmt.Errorf("link: shared table has %d bytes, want %d", info.Size(), size)
	}
	memory, err := syscall.Mmap(int(file.Fd()), 0, size, syscall.PROT_READ|syscall.PROT_WRITE, syscall.MAP_SHARED)
	if err != nil {
		return nil, fmt.Errorf("link: shared table: %w", err)
	}
	// A mapping starts at a page boundary, so its words are aligned.
	words := unsafe.Slice((*uint64)(unsafe.Pointer(&memory[0])), size/wordBytes)
	table := &SharedTable{Table: idtable.NewTable(words), memory: memory, side: side}
	if withCounts {
		table.inFlight = words[idtable.Slots:]
	}
	return table, nil
}

// Close unmaps the table, which this process must not use afterwards.
func (t *SharedTable) Close() { syscall.Munmap(t.memory) }
