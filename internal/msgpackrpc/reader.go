package msgpackrpc

import (
	"bufio"
	"errors"
	"net"
	"os"
	"time"
)

// reader reads messages from a connection. Limits.Receive bounds the time of each.
type reader struct {
	conn     net.Conn
	buffered *bufio.Reader
	limits   Limits
}

func newReader(conn net.Conn, limits Limits) *reader {
	return &reader{conn: conn, buffered: bufio.NewReaderSize(conn, readBufferSize), limits: limits}
}

// readBufferSize is the size of a connection's buffer, in bytes. It is small because each connection
// keeps its buffer until it ends, and most connections are idle. Longer bodies bypass the buffer.
const readBufferSize = 2 << 10

// errIdle reports that no message began within the idle timeout.
var errIdle = errors.New("msgpackrpc: connection idle for too long")

// next waits for the first byte of a message and reads the complete message. If the first byte does
// not arrive within idle, it returns errIdle; 0 means to wait without limit.
func (r *reader) next(idle time.Duration) (message, error) {
	if r.buffered.Buffered() == 0 {
		var deadline time.Time
		if idle > 0 {
			deadline = time.Now().Add(idle)
		}
		if err := r.conn.SetReadDeadline(deadline); err != nil {
			return message{}, err
		}
		if _, err := r.buffered.Peek(1); err != nil {
			if errors.Is(err, os.ErrDeadlineExceeded) {
				err = errIdle
			}
			return message{}, err
		}
	}
	if err := r.conn.SetReadDeadline(time.Now().Add(r.limits.Receive)); err != nil {
		return message{}, err
	}
	raw, err := readObject(r.buffered, r.limits, nil)
	if err != nil {
		return message{}, err
	}
	return parse(raw)
}
