// Package msgpackrpc is MessagePack-RPC on stream connections, after its
// published specification (msgpack-rpc, spec.md): a request is
// [0, msgid, method, params], a response [1, msgid, error, result] and a
// notification [2, method, params], one after the other with nothing between.
//
// It owns connections and the message ids on them. It promises that each call
// ends, that an answer reaches the call it was made for and no other, and that
// bytes from outside cost bounded memory and never a panic. What methods mean,
// who may call them and whether one may be sent again is its callers' matter.
package msgpackrpc

import (
	"bufio"
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"math"
	"net"
	"os"
	"time"

	"github.com/vmihailenco/msgpack/v5"
)

// Limits bound what one connection may cost. Zero fields take the default.
type Limits struct {
	Message     int           // bytes of one message, at most; 1 MiB
	Depth       int           // nesting of arrays and maps in one message; 32
	Outstanding int           // requests open at once on a connection; 1,024
	Queued      int           // bytes waiting to be written on a connection; 4 MiB
	Receive     time.Duration // for a message, from its first byte to its last; 10 s
	Send        time.Duration // for a write; a peer that takes nothing for so long has hung; 10 s
	Idle        time.Duration // between messages while none is open; 0: no limit
}

func (l Limits) withDefaults() Limits {
	if l.Message <= 0 {
		l.Message = 1 << 20
	}
	if l.Depth <= 0 {
		l.Depth = 32
	}
	if l.Outstanding <= 0 {
		l.Outstanding = 1024
	}
	if l.Queued <= 0 {
		l.Queued = 4 << 20
	}
	if l.Receive <= 0 {
		l.Receive = 10 * time.Second
	}
	if l.Send <= 0 {
		l.Send = 10 * time.Second
	}
	return l
}

// Errors of a message that can't be used. Each ends the connection: where the
// next message would begin is not known, or not to be trusted.
var (
	ErrTooLong = errors.New("msgpackrpc: message over the limit of bytes")
	ErrTooDeep = errors.New("msgpackrpc: message nested over the limit")
	ErrFormat  = errors.New("msgpackrpc: not a MessagePack-RPC message")
)

// bodyChunk is how much of a body is made room for ahead of its bytes: a length that
// is claimed costs nothing until the bytes have come.
const bodyChunk = 16 << 10

// readObject reads one whole MessagePack object. buf is reused where it fits.
func readObject(buffered *bufio.Reader, limits Limits, buf []byte) ([]byte, error) {
	buf = buf[:0]
	open := make([]uint64, 1, 8) // objects still to come, by level
	open[0] = 1
	for len(open) > 0 {
		top := &open[len(open)-1]
		if *top == 0 {
			open = open[:len(open)-1]
			continue
		}
		*top--
		code, err := buffered.ReadByte()
		if err != nil {
			return nil, unexpected(err, len(buf))
		}
		buf = append(buf, code)
		extra, body, children, err := objectLayout(code)
		if err != nil {
			return nil, err
		}
		if extra > 0 {
			at := len(buf)
			if buf, err = readBody(buffered, buf, uint64(extra), limits.Message); err != nil {
				return nil, err
			}
			body, children = lengthLayout(code, decodeUint(buf[at:]))
		}
		if body > 0 {
			if buf, err = readBody(buffered, buf, body, limits.Message); err != nil {
				return nil, err
			}
		}
		if children > 0 {
			// Every child takes a byte at least.
			if children > uint64(limits.Message) {
				return nil, ErrTooLong
			}
			if len(open) >= limits.Depth {
				return nil, ErrTooDeep
			}
			open = append(open, children)
		}
		if len(buf) > limits.Message {
			return nil, ErrTooLong
		}
	}
	return buf, nil
}

func unexpected(err error, had int) error {
	if err == io.EOF && had > 0 {
		return io.ErrUnexpectedEOF
	}
	return err
}

func readBody(buffered *bufio.Reader, buf []byte, n uint64, limit int) ([]byte, error) {
	if n > uint64(limit) || len(buf)+int(n) > limit {
		return nil, ErrTooLong
	}
	for left := int(n); left > 0; {
		part := min(left, bodyChunk)
		at := len(buf)
		buf = append(buf, make([]byte, part)...)
		if _, err := io.ReadFull(buffered, buf[at:]); err != nil {
			return nil, unexpected(err, 1)
		}
		left -= part
	}
	return buf, nil
}

// objectLayout tells what follows a type byte: a big-endian length of extra bytes, or a
// body of known size, or children.
func objectLayout(code byte) (extra int, body, children uint64, err error) {
	switch {
	case code <= 0x7f, code >= 0xe0: // fixint
	case code <= 0x8f:
		children = 2 * uint64(code&0x0f)
	case code <= 0x9f:
		children = uint64(code & 0x0f)
	case code <= 0xbf:
		body = uint64(code & 0x1f)
	case code == 0xc1:
		err = fmt.Errorf("%w: type byte c1 is never used", ErrFormat)
	case code <= 0xc3: // nil, false, true
	case code <= 0xc6: // bin
		extra = 1 << (code - 0xc4)
	case code <= 0xc9: // ext
		extra = 1 << (code - 0xc7)
	case code == 0xca:
		body = 4
	case code == 0xcb:
		body = 8
	case code <= 0xcf: // uint
		body = 1 << (code - 0xcc)
	case code <= 0xd3: // int
		body = 1 << (code - 0xd0)
	case code <= 0xd8: // fixext, with its type byte
		body = 1 + 1<<(code-0xd4)
	case code <= 0xdb: // str
		extra = 1 << (code - 0xd9)
	default: // array and map, 16 and 32
		extra = 2 << (code & 1)
	}
	return extra, body, children, err
}

// lengthLayout tells what follows a length of n, for a type that shape gives extra bytes.
func lengthLayout(code byte, n uint64) (body, children uint64) {
	switch {
	case code >= 0xde: // map
		return 0, 2 * n
	case code >= 0xdc: // array
		return 0, n
	case code >= 0xc7 && code <= 0xc9: // ext: a type byte and its data
		return n + 1, 0
	}
	return n, 0
}

func decodeUint(b []byte) uint64 {
	switch len(b) {
	case 1:
		return uint64(b[0])
	case 2:
		return uint64(binary.BigEndian.Uint16(b))
	case 4:
		return uint64(binary.BigEndian.Uint32(b))
	}
	return binary.BigEndian.Uint64(b)
}

// objectLength is the length of the first object in b, which readObject has passed.
func objectLength(b []byte) int {
	at := 0
	for left := uint64(1); left > 0; left-- {
		code := b[at]
		at++
		extra, body, children, _ := objectLayout(code)
		if extra > 0 {
			body, children = lengthLayout(code, decodeUint(b[at:at+extra]))
			at += extra
		}
		at += int(body)
		left += children
	}
	return at
}

// Kinds of messages.
const (
	kindRequest  = 0
	kindResponse = 1
	kindNotify   = 2
)

// message is a message taken apart. Its slices point into what was read.
type message struct {
	kind          uint64
	id            uint32
	method        string
	first, second msgpack.RawMessage // params; error and result
}

// parse takes a whole object apart.
func parse(raw []byte) (m message, err error) {
	n, at := parseArrayHeader(raw)
	if n != 3 && n != 4 {
		return m, fmt.Errorf("%w: no array of three or four", ErrFormat)
	}
	var part [4][]byte
	for i := range n {
		size := objectLength(raw[at:])
		part[i] = raw[at : at+size]
		at += size
	}
	kind, ok := parseUint(part[0])
	if !ok {
		return m, fmt.Errorf("%w: its type is no whole number", ErrFormat)
	}
	m.kind = kind
	want := 4
	if kind == kindNotify {
		want = 3
	}
	if kind > kindNotify || n != want {
		return m, fmt.Errorf("%w: type %d in an array of %d", ErrFormat, kind, n)
	}
	if kind != kindNotify {
		id, ok := parseUint(part[1])
		if !ok || id > math.MaxUint32 {
			return m, fmt.Errorf("%w: its msgid is no number of 32 bits", ErrFormat)
		}
		m.id = uint32(id)
	}
	if kind == kindResponse {
		m.first, m.second = part[2], part[3]
		return m, nil
	}
	method, ok := parseString(part[n-2])
	if !ok {
		return m, fmt.Errorf("%w: its method is no string", ErrFormat)
	}
	m.method, m.first = method, part[n-1]
	if k, _ := parseArrayHeader(m.first); k < 0 {
		return m, fmt.Errorf("%w: its params are no array", ErrFormat)
	}
	return m, nil
}

// parseArrayHeader is the number of elements and where the first begins; -1 if b holds
// no array.
func parseArrayHeader(b []byte) (n, at int) {
	switch code := b[0]; {
	case code >= 0x90 && code <= 0x9f:
		return int(code & 0x0f), 1
	case code == 0xdc:
		return int(binary.BigEndian.Uint16(b[1:])), 3
	case code == 0xdd:
		return int(binary.BigEndian.Uint32(b[1:])), 5
	}
	return -1, 0
}

// parseUint reads a whole number that is not negative, in any of its forms.
func parseUint(b []byte) (uint64, bool) {
	switch code := b[0]; {
	case code <= 0x7f:
		return uint64(code), true
	case code >= 0xcc && code <= 0xcf:
		return decodeUint(b[1:]), true
	case code >= 0xd0 && code <= 0xd3: // signed: fine where it is not negative
		return decodeUint(b[1:]), b[1] < 0x80
	}
	return 0, false
}

// parseString reads a string, also one that an old client sends as raw bytes.
func parseString(b []byte) (string, bool) {
	code := b[0]
	if code >= 0xa0 && code <= 0xbf {
		return string(b[1:]), true
	}
	if code >= 0xd9 && code <= 0xdb {
		return string(b[1+1<<(code-0xd9):]), true
	}
	if code >= 0xc4 && code <= 0xc6 {
		return string(b[1+1<<(code-0xc4):]), true
	}
	return "", false
}

func isNil(b []byte) bool { return len(b) == 1 && b[0] == 0xc0 }

// appendHeader begins a message: its array, type and, but for notifications, msgid.
func appendHeader(b []byte, kind byte, id uint32) []byte {
	if kind == kindNotify {
		return append(b, 0x93, kind)
	}
	return binary.BigEndian.AppendUint32(append(b, 0x94, kind, 0xce), id)
}

func appendString(b []byte, s string) []byte {
	switch n := len(s); {
	case n < 32:
		b = append(b, 0xa0|byte(n))
	case n < 1<<8:
		b = append(b, 0xd9, byte(n))
	case n < 1<<16:
		b = binary.BigEndian.AppendUint16(append(b, 0xda), uint16(n))
	default:
		b = binary.BigEndian.AppendUint32(append(b, 0xdb), uint32(n))
	}
	return append(b, s...)
}

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
