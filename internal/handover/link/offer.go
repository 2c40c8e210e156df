package link

import (
	"fmt"
	"log/slog"
	"net"
	"os"
	"syscall"

	"martendrum/internal/handover"
)

// offeredFiles is what came with an offer: the listeners, the rendezvous' lock, the
// shared table where there is one, and the idempotency store's lock where there is one, in
// this order.
type offeredFiles struct {
	listeners []*net.TCPListener
	lock      *os.File
	table     *SharedTable // nil: none
	storeLock *os.File     // nil: none
}

func (o *offeredFiles) close() {
	for _, listener := range o.listeners {
		listener.Close()
	}
	if o.lock != nil {
		o.lock.Close()
	}
	if o.table != nil {
		o.table.Close()
	}
	if o.storeLock != nil {
		o.storeLock.Close()
	}
}

// open opens what came with an offer to a process that listens at an address. The caller
// closes the files and, also after an error, o. lockPath names the lock.
func (o *offeredFiles) open(offer handover.Message, files []*os.File, listen, lockPath string) error {
	listeners := max(1, offer.ListenerCount)
	want := listeners + 1
	if offer.IDTable {
		want++
	}
	if offer.IdempotencyStore {
		want++
	}
	if len(files) != want || offer.Listen != listen {
		return fmt.Errorf("%w: %d descriptors for %s, want %d for %s", handover.ErrInvalidOffer, len(files), offer.Listen, want, listen)
	}
	if err := o.openListeners(files[:listeners]); err != nil {
		return err
	}
	var err error
	if o.lock, err = duplicate(files[listeners], lockPath); err != nil {
		return err
	}
	if offer.IdempotencyStore {
		if o.storeLock, err = duplicate(files[want-1], "the record's lock"); err != nil {
			return err
		}
	}
	if offer.IDTable {
		return o.openTable(files[listeners+1], offer.InFlightCounts)
	}
	return nil
}

func (o *offeredFiles) openListeners(files []*os.File) error {
	for _, file := range files {
		listener, err := net.FileListener(file)
		if err != nil {
			return fmt.Errorf("%w: %w", handover.ErrInvalidOffer, err)
		}
		tcpListener, ok := listener.(*net.TCPListener)
		if !ok {
			listener.Close()
			return fmt.Errorf("%w: a socket at %s", handover.ErrInvalidOffer, listener.Addr())
		}
		o.listeners = append(o.listeners, tcpListener)
	}
	return nil
}

// openTable maps the shared table. Without counts the process can do without it; with
// them, the predecessor limits the sum.
func (o *offeredFiles) openTable(file *os.File, counted bool) (err error) {
	o.table, err = mapSharedTable(file, counted, successorSide)
	if err != nil && !counted {
		slog.Warn("ids are not shared", "err", err)
		return nil
	}
	return err
}

// duplicate is a file with a descriptor of its own.
func duplicate(file *os.File, name string) (*os.File, error) {
	descriptor, err := syscall.Dup(int(file.Fd()))
	if err != nil {
		return nil, fmt.Errorf("link: %w", err)
	}
	syscall.CloseOnExec(descriptor)
	return os.NewFile(uintptr(descriptor), name), nil
}
