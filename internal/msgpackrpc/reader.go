package msgpackrpc

import (
	"bufio"
	"errors"
	"net"
	"os"
	"time"
)

// reader reads messages off a connection, each within its time.
type reader struct {
	conn     net.Conn
	buffered *bufio.Reader
	limits   Limits
}

func newReader(conn net.Conn, limits Limits) *reader {
	return &reader{conn: conn, buffered: bufio.NewReaderSize(conn, readBufferSize), limits: limits}
}

// readBufferSize is the size of a connection's buffer, in bytes. It is held as long as the
// connection, most of which are idle; longer bodies are read past it.
const readBufferSize = 2 << 10

var errIdle = errors.New("msgpackrpc: connection idle for too long")

// next waits for a message for idle at most, 0 for ever, and reads it whole.
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
