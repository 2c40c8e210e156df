package msgpackrpc

import (
	"bufio"
	"errors"
	"net"
	"os"
	"time"
)

// reader reads messages from a connection, each within Limits.Receive.
type reader struct {
	conn     net.Conn
	buffered *bufio.Reader
	limits   Limits
}

func newReader(conn net.Conn, limits Limits) *reader {
	return &reader{conn: conn, buffered: bufio.NewReaderSize(conn, readBufferSize), limits: limits}
}

// readBufferSize is the size of a connection's buffer, in bytes. It is retained for the lifetime of
// the connection, most of which are idle; longer bodies bypass it.
const readBufferSize = 2 << 10

var errIdle = errors.New("msgpackrpc: connection idle for too long")

// next waits for the first byte of a message for at most idle, without limit if that is 0, and
// reads the complete message.
func (r *reader) next(idle time.Duration) (message, error) {
	if r.buffered.Buffered() == 0 {
		var until time.Time
		if idle > 0 {
			until = time.Now().Add(idle)
		}
		if err := r.conn.SetReadDeadline(until); err != nil {
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
