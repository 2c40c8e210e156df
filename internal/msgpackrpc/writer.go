package msgpackrpc

import (
	"net"
	"sync"
	"time"
)

// Sent is how much of a message was sent before its connection ended.
type Sent int

const (
	SentNone       Sent = iota // no byte: the peer can't have executed it
	SentPart                   // some bytes but not the last: a peer that follows the specification has not executed it
	SentCompletely             // all bytes: the peer may have executed it
)

// String returns s as text for error messages.
func (s Sent) String() string {
	return [...]string{"never sent", "sent in part", "sent completely"}[s]
}

// item is a message to write. Its fields sent and withdrawn are guarded by the writer's lock.
type item struct {
	data      []byte
	sent      Sent
	withdrawn bool // withdrawn before any byte was sent
}

// maxBatchBytes is the maximum number of bytes of several messages in one write.
const maxBatchBytes = 64 << 10

// writer writes queued messages in order, in one goroutine that ends with the connection. Its queue
// is bounded in bytes; add blocks while it is full.
type writer struct {
	conn   net.Conn
	limits Limits

	mu       sync.Mutex
	cond     sync.Cond // signals a change of queue, stopping or err
	queue    []*item
	queued   int // bytes in the queue and in the current write
	stopping bool
	err      error // why the writer ended; nil while it runs
}

func newWriter(conn net.Conn, limits Limits) *writer {
	w := &writer{conn: conn, limits: limits}
	w.cond.L = &w.mu
	return w
}

// add queues a message. It blocks while the queue is full, until the peer reads or the connection
// ends, at the latest when a write exceeds Limits.Send. It returns an error if the message was not
// queued because the writer has ended or is stopping.
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

// withdraw keeps a message from being sent. It returns false if a byte of it may have been sent already.
func (w *writer) withdraw(it *item) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if it.sent == SentNone {
		it.withdrawn = true
	}
	return it.withdrawn
}

// sentState returns how much of an item was sent.
func (w *writer) sentState(it *item) Sent {
	w.mu.Lock()
	defer w.mu.Unlock()
	return it.sent
}

// fail ends the writer with an error. Queued messages are not sent. A later error is ignored.
func (w *writer) fail(err error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.err == nil {
		w.err = err
	}
	w.cond.Broadcast()
}

// finish ends the writer without an error once its queue is empty.
func (w *writer) finish() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.stopping = true
	w.cond.Broadcast()
}

// run writes queued messages until fail, finish or an error of the connection. It returns nil after
// finish, and otherwise the error.
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
		// Until the write returns, any number of bytes may have been sent, so all of them are assumed to be.
		// Then recordSent corrects this to what was sent.
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

// write writes a batch, which may be empty, within Limits.Send and returns the number of bytes written.
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
