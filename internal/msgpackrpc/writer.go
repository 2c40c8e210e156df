package msgpackrpc

import (
	"net"
	"sync"
	"time"
)

// Sent tells how much of a message went out before its connection ended.
type Sent int

const (
	SentNone       Sent = iota // not a byte: the peer can't have taken it
	SentPart                   // some bytes, not the last: a peer that keeps to the specification has not taken it
	SentCompletely             // all: it may have been carried out
)

func (s Sent) String() string {
	return [...]string{"never sent", "sent in part", "sent whole"}[s]
}

// item is a message on its way out. Its field sent is guarded by the writer's lock.
type item struct {
	data      []byte
	sent      Sent
	withdrawn bool // taken back before a byte of it went out
}

// maxBatchBytes is how many bytes are handed to the socket in one write.
const maxBatchBytes = 64 << 10

// writer writes queued messages in order, from one goroutine that ends with the
// connection. Its queue is bounded in bytes: who adds to a full one waits.
type writer struct {
	conn   net.Conn
	limits Limits

	mu       sync.Mutex
	cond     sync.Cond // the queue, stop or err changed
	queue    []*item
	queued   int // bytes, with those being written
	stopping bool
	err      error // why nothing more goes out
}

func newWriter(conn net.Conn, limits Limits) *writer {
	w := &writer{conn: conn, limits: limits}
	w.cond.L = &w.mu
	return w
}

// add queues a message. It waits while the queue is full, which ends when the
// peer takes what it is sent or, after Limits.Send, with the connection.
func (w *writer) add(it *item) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	for w.err == nil && !w.stopping && w.queued > 0 && w.queued+len(it.data) > w.limits.Queued {
		w.cond.Wait()
	}
	if w.err != nil {
		return w.err
	}
	if w.stopping {
		return net.ErrClosed
	}
	w.queue = append(w.queue, it)
	w.queued += len(it.data)
	w.cond.Broadcast()
	return nil
}

// withdraw takes a message back if not a byte of it has gone out.
func (w *writer) withdraw(it *item) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if it.sent == SentNone {
		it.withdrawn = true
	}
	return it.withdrawn
}

func (w *writer) sentState(it *item) Sent {
	w.mu.Lock()
	defer w.mu.Unlock()
	return it.sent
}

// fail ends the writer at once.
func (w *writer) fail(err error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.err == nil {
		w.err = err
	}
	w.cond.Broadcast()
}

// finish ends the writer when all that is queued has gone out.
func (w *writer) finish() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.stopping = true
	w.cond.Broadcast()
}

// run writes until fail, finish or an error of the connection.
func (w *writer) run() error {
	var batch []*item
	for {
		w.mu.Lock()
		if !w.waitForItems() {
			err := w.err
			w.mu.Unlock()
			return err
		}
		batch = w.takeBatch(batch[:0])
		w.mu.Unlock()

		written, err := w.write(batch)
		w.mu.Lock()
		w.recordSent(batch, written)
		if err != nil && w.err == nil {
			w.err = err
		}
		clear(batch)
		w.cond.Broadcast()
		w.mu.Unlock()
	}
}

// waitForItems waits until the queue holds items. It returns false if the writer must end.
// The caller holds mu.
func (w *writer) waitForItems() bool {
	for len(w.queue) == 0 && w.err == nil && !w.stopping {
		w.cond.Wait()
	}
	return w.err == nil && len(w.queue) > 0
}

// takeBatch moves items from the queue to a batch of at most maxBatchBytes, or of one
// longer item, and drops withdrawn ones. The caller holds mu.
func (w *writer) takeBatch(batch []*item) []*item {
	taken, bytes := 0, 0
	for _, next := range w.queue {
		if len(batch) > 0 && bytes+len(next.data) > maxBatchBytes {
			break
		}
		taken++
		if next.withdrawn {
			w.queued -= len(next.data)
			continue
		}
		// From here on all of it may be sent. recordSent corrects that after the write.
		next.sent = SentCompletely
		batch = append(batch, next)
		bytes += len(next.data)
	}
	clear(w.queue[:taken])
	w.queue = w.queue[taken:]
	if len(w.queue) == 0 {
		w.queue = nil
	}
	return batch
}

// write writes a batch, which may be empty, and returns the number of bytes written.
func (w *writer) write(batch []*item) (int, error) {
	if err := w.conn.SetWriteDeadline(time.Now().Add(w.limits.Send)); err != nil {
		return 0, err
	}
	if len(batch) == 0 {
		return 0, nil
	}
	return w.conn.Write(joinBatch(batch))
}

// recordSent records how much of each item of a batch was sent. The caller holds mu.
func (w *writer) recordSent(batch []*item, written int) {
	end := 0
	for _, next := range batch {
		begin := end
		end += len(next.data)
		switch {
		case end <= written: // sent completely, as takeBatch has recorded
		case begin >= written:
			next.sent = SentNone
		default:
			next.sent = SentPart
		}
		w.queued -= len(next.data)
		next.data = nil
	}
}

// joinBatch returns the bytes of a batch for one write. A buffer is allocated only for several
// items, and not retained, because most connections are idle.
func joinBatch(batch []*item) []byte {
	if len(batch) == 1 {
		return batch[0].data
	}
	bytes := 0
	for _, next := range batch {
		bytes += len(next.data)
	}
	data := make([]byte, 0, bytes)
	for _, next := range batch {
		data = append(data, next.data...)
	}
	return data
}
