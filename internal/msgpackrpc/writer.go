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
		for len(w.queue) == 0 && w.err == nil && !w.stopping {
			w.cond.Wait()
		}
		if w.err != nil || len(w.queue) == 0 {
			err := w.err
			w.mu.Unlock()
			return err
		}
		batch = batch[:0]
		taken, bytes := 0, 0
		for _, it := range w.queue {
			if len(batch) > 0 && bytes+len(it.data) > maxBatchBytes {
				break
			}
			taken++
			if it.withdrawn {
				w.queued -= len(it.data)
				continue
			}
			// From here on all of it may be out; the write's end tells.
			it.sent = SentCompletely
			batch = append(batch, it)
			bytes += len(it.data)
		}
		clear(w.queue[:taken])
		w.queue = w.queue[taken:]
		if len(w.queue) == 0 {
			w.queue = nil
		}
		w.mu.Unlock()

		n, err := 0, w.conn.SetWriteDeadline(time.Now().Add(w.limits.Send))
		if err == nil && bytes > 0 {
			n, err = w.conn.Write(joinBatch(batch, bytes))
		}
		w.mu.Lock()
		at := 0
		for _, it := range batch {
			switch at += len(it.data); {
			case at <= n:
			case at-len(it.data) >= n:
				it.sent = SentNone
			default:
				it.sent = SentPart
			}
			w.queued -= len(it.data)
			it.data = nil
		}
		if err != nil && w.err == nil {
			w.err = err
		}
		clear(batch)
		w.cond.Broadcast()
		w.mu.Unlock()
	}
}

// joinBatch is the bytes of a batch for one write. A buffer is made only for several messages,
// and not kept: most connections are idle.
func joinBatch(batch []*item, bytes int) []byte {
	if len(batch) == 1 {
		return batch[0].data
	}
	data := make([]byte, 0, bytes)
	for _, it := range batch {
		data = append(data, it.data...)
	}
	return data
}
