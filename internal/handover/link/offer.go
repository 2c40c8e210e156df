package link

import (
	"fmt"
	"log/slog"
	"net"
	"os"
	"syscall"

	"martendrum/internal/handover"
)

// offeredFiles is what came with an offer. The files are passed in this order: the listeners,
// the rendezvous' lock, the shared table if there is one, and the idempotency store's lock if
// there is one.
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

// open opens what came with an offer. listen is the address of this process, lockPath the path
// of the rendezvous' lock. The caller closes the files, and owns what o holds, also after an error.
func (o *offeredFiles) open(offer handover.Message, files []*os.File, listen, lockPath string) error {
	listenerCount := max(1, offer.ListenerCount)
	want := listenerCount + 1
	if offer.IDTable {
		want++
	}
	if offer.IdempotencyStore {
		want++
	}
	if len(files) != want || offer.Listen != listen {
		return fmt.Errorf("%w: %d descriptors for %s, want %d for %s", handover.ErrInvalidOffer, len(files), offer.Listen, want, listen)
	}
	if err := o.openListeners(files[:listenerCount]); err != nil {
		return err
	}
	var err error
	if o.lock, err = duplicate(files[listenerCount], lockPath); err != nil {
		return err
	}
	if offer.IdempotencyStore {
		if o.storeLock, err = duplicate(files[want-1], "idempotency store lock"); err != nil {
			return err
		}
	}
	if offer.IDTable {
		return o.openTable(files[listenerCount+1], offer.InFlightCounts)
	}
	return nil
}

// openListeners opens the listening sockets.
func (o *offeredFiles) openListeners(files []*os.File) error {
	for _, file := range files {
		listener, err := net.FileListener(file)
		if err != nil {
			return fmt.Errorf("%w: %w", handover.ErrInvalidOffer, err)
		}
		tcpListener, ok := listener.(*net.TCPListener)
		if !ok {
			listener.Close()
			return fmt.Errorf("%w: the socket at %s is not a TCP socket", handover.ErrInvalidOffer, listener.Addr())
		}
		o.listeners = append(o.listeners, tcpListener)
	}
	return nil
}

// openTable maps the shared table. A process can do without a table that has no counts, so an
// error is only logged. It needs one with counts, because the predecessor limits the sum of both
// processes' requests in flight.
func (o *offeredFiles) openTable(file *os.File, withCounts bool) (err error) {
	o.table, err = mapSharedTable(file, withCounts, successorSide)
	if err != nil && !withCounts {
		slog.Warn("request ids are not shared with the predecessor", "err", err)
		return nil
	}
	return err
}

// duplicate returns the open file under a descriptor of its own.
func duplicate(file *os.File, name string) (*os.File, error) {
	descriptor, err := syscall.Dup(int(file.Fd()))
	if err != nil {
		return nil, fmt.Errorf("link: %w", err)
	}
	syscall.CloseOnExec(descriptor)
	return os.NewFile(uintptr(descriptor), name), nil
}
